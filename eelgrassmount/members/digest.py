"""Digests with which two nodes find the parts in which their tables differ."""

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


def make_summary_key(failure_domain: str, service: str) -> str:
    """Return the key that determines the bucket of a summary."""
    return f"{failure_domain}/{service}"


def hash_member(member: Member) -> int:
    """Hash the stable fields of a member; 0 for a member that has left or died.

    Heartbeats and load are not hashed, since they differ between nodes most of
    the time.
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
    """Hash the stable fields of a summary; 0 for a service without servers."""
    if not summary.servers or not summary.service:
        return 0
    return _hash(summary.failure_domain, summary.service, *summary.addresses)


def _hash(*parts: str) -> int:
    # signed, because the wire type is i64
    value = xxhash.xxh3_64_intdigest("|".join(parts).encode())
    return value - _MODULUS if value >= _SIGN else value


@define
class Digest:
    """A digest of all items and one of each bucket."""

    total: int = 0
    buckets: list[int] = field(factory=lambda: [0] * BUCKETS)

    def toggle(self, key: str, value: int) -> None:
        """Add the hash of an item, or remove it if it was added before."""
        if value:
            self.total ^= value
            self.buckets[find_bucket(key)] ^= value

    def compare(self, buckets: list[int]) -> list[int]:
        """Return the indices of the buckets that differ from another node's."""
        return [
            index
            for index, (local, other) in enumerate(
                zip(self.buckets, buckets, strict=False)
            )
            if local != other
        ]
