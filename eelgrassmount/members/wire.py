"""Conversion of members and summaries to and from thrift structs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.gen import ttypes
from eelgrassmount.members.table import (
    Identity,
    Member,
    MemberState,
    ServerState,
    ServiceSummary,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_NAME_CHARS = 256
_MAX_ADDRESSES = 64


def encode_member(member: Member, failure_domain: str) -> ttypes.Member:
    """Return the struct of a member for a receiver in ``failure_domain``.

    The failure domain and the region are omitted if they are the receiver's.
    """
    identity = member.identity
    same = identity.failure_domain == failure_domain
    return ttypes.Member(
        address=identity.address,
        failure_domain=None if same else identity.failure_domain,
        region=None if same else identity.region,
        incarnation=identity.incarnation,
        heartbeat=member.heartbeat,
        state=int(member.state) or None,
        service_name=member.service or None,
        server_state=int(member.server_state) or None,
        headroom=member.headroom or None,
        started=member.started,
        threshold=member.threshold or None,
    )


def decode_member(
    struct: ttypes.Member, receiver: Identity, now_s: float
) -> Member | None:
    """Return the member of a struct, or ``None`` if the struct is malformed."""
    if not _is_name(struct.address) or not _is_name(struct.incarnation):
        return None
    try:
        state = MemberState(struct.state or 0)
        server_state = ServerState(struct.server_state or 0)
    except ValueError:
        return None
    identity = Identity(
        struct.address,
        struct.failure_domain or receiver.failure_domain,
        struct.region or receiver.region,
        struct.incarnation,
    )
    return Member(
        identity,
        heartbeat=struct.heartbeat or 0,
        state=state,
        service=struct.service_name or "",
        server_state=server_state,
        headroom=struct.headroom or 0,
        threshold=struct.threshold or 0,
        started=struct.started or 0,
        received_s=now_s,
    )


def encode_summary(summary: ServiceSummary) -> ttypes.ServiceSummary:
    """Return the struct of a summary."""
    return ttypes.ServiceSummary(
        failure_domain=summary.failure_domain,
        service_name=summary.service or None,
        sequence=summary.sequence,
        servers=summary.servers,
        headroom=summary.headroom or None,
        addresses=list(summary.addresses) or None,
        threshold=summary.threshold or None,
    )


def decode_summary(
    struct: ttypes.ServiceSummary, now_s: float
) -> ServiceSummary | None:
    """Return the summary of a struct, or ``None`` if the struct is malformed."""
    if not _is_name(struct.failure_domain) or (struct.sequence or 0) < 0:
        return None
    addresses = struct.addresses or []
    if len(addresses) > _MAX_ADDRESSES or not all(map(_is_name, addresses)):
        return None
    return ServiceSummary(
        failure_domain=struct.failure_domain,
        service=struct.service_name or "",
        sequence=struct.sequence or 0,
        servers=max(0, struct.servers or 0),
        headroom=struct.headroom or 0,
        threshold=struct.threshold or 0,
        addresses=tuple(addresses),
        received_s=now_s,
    )


def decode_members(
    structs: Iterable[ttypes.Member] | None, receiver: Identity, now_s: float
) -> list[Member]:
    """Return the members of a message, except malformed ones."""
    decoded = (decode_member(struct, receiver, now_s) for struct in structs or ())
    return [member for member in decoded if member is not None]


def decode_summaries(
    structs: Iterable[ttypes.ServiceSummary] | None, now_s: float
) -> list[ServiceSummary]:
    """Return the summaries of a message, except malformed ones."""
    decoded = (decode_summary(struct, now_s) for struct in structs or ())
    return [summary for summary in decoded if summary is not None]


def _is_name(value: str | None) -> bool:
    return bool(value) and len(value) <= _MAX_NAME_CHARS
