"""Digests by which two nodes find out where their knowledge differs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from attrs import define, field

if TYPE_CHECKING:
    from eelgrassmount.members.table import Member, ServiceSummary

BUCKETS = 256
_SIGN = 1 << 63
_MODULUS = 1 << 64


def find_bucket(key: str) -> int:
    """Return the bucket of an address, or of a failure domain and service."""
    return xxhash.xxh32_intdigest(key.encode()) % BUCKETS


def name_summary(failure_domain: str, service: str) -> str:
    """Return the key under which a summary is placed in a bucket."""
    return f"{failure_domain}/{service}"


def hash_member(member: Member) -> int:
    """Hash what changes rarely of a member; 0 for one that is gone.

    Heartbeats and load are left out, so that equal digests are the rule.
    """
    if not member.present:
        return 0
    identity = member.identity
    return _hash(
        identity.address,
        identity.incarnation,
        str(member.started),
        member.service,
        str(int(member.server_state)),
    )


def hash_summary(summary: ServiceSummary) -> int:
    """Hash what changes rarely of a summary; 0 for a service without servers."""
    if not summary.servers or not summary.service:
        return 0
    return _hash(summary.failure_domain, summary.service, *summary.addresses)


def _hash(*parts: str) -> int:
    # signed, because it travels as an i64
    value = xxhash.xxh3_64_intdigest("|".join(parts).encode())
    return value - _MODULUS if value >= _SIGN else value


@define
class Digest:
    """A digest of everything and one of each bucket."""

    total: int = 0
    buckets: list[int] = field(factory=lambda: [0] * BUCKETS)

    def toggle(self, key: str, value: int) -> None:
        """Add an item, or take the same item out again."""
        if value:
            self.total ^= value
            self.buckets[find_bucket(key)] ^= value

    def compare(self, buckets: list[int]) -> list[int]:
        """Return the buckets that differ from another node's."""
        return [
            index
            for index, (mine, other) in enumerate(
                zip(self.buckets, buckets, strict=False)
            )
            if mine != other
        ]
