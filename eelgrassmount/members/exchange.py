"""Builds the gossip messages between nodes and applies received ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.gen import ttypes
from eelgrassmount.members.counts import Count
from eelgrassmount.members.digest import find_bucket, make_summary_key
from eelgrassmount.members.merge import rank_member
from eelgrassmount.members.table import ServiceSummary
from eelgrassmount.members.timing import (
    MAX_ADDRESSES,
    MAX_CROSS_SUMMARIES,
    MAX_JOIN_MEMBERS,
    MAX_JOIN_SUMMARIES,
    MAX_UPDATES,
    MAX_URGENT,
)
from eelgrassmount.members.updates import MemberKey, SummaryKey
from eelgrassmount.members.wire import (
    decode_members,
    decode_summaries,
    encode_member,
    encode_summary,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.gen.ttypes import Gossip, Hello
    from eelgrassmount.members.roster import Roster
    from eelgrassmount.members.table import Member

_MAX_PULL_BUCKETS = 4
_MAX_BULK_PULL_BUCKETS = 128


def build_round(roster: Roster) -> Gossip:
    """Return the message of one gossip round, which expects a reply."""
    keys = roster.updates.take(MAX_UPDATES)
    gossip = build_updates(roster, keys)
    gossip.digest = roster.digest.total
    return gossip


def build_updates(roster: Roster, keys: Iterable[MemberKey | SummaryKey]) -> Gossip:
    """Return a message with the current members and summaries of the keys.

    The first member is always the sender, so that the receiver has its current
    state.
    """
    members = [roster.local_member]
    summaries = []
    for key in keys:
        if isinstance(key, SummaryKey):
            if key in roster.summaries:
                summaries.append(roster.summaries[key])
        elif key.address != roster.identity.address:
            member = roster.table.members.get(key.address)
            if member is not None:
                members.append(member)
    return _encode(roster.identity.failure_domain, members, summaries)


def build_urgent(roster: Roster) -> Gossip:
    """Return a message with urgent updates; it has no reply."""
    keys = list(roster.urgent)[:MAX_URGENT]
    for key in keys:
        del roster.urgent[key]
    return build_updates(roster, keys)


def build_join(roster: Roster) -> Gossip:
    """Return the message with which a node joins; any node can answer it."""
    gossip = _encode("", [roster.local_member], [])
    gossip.digest = 0
    gossip.full = True
    return gossip


def build_pull(roster: Roster, differing: list[int]) -> Gossip:
    """Return a message that requests some of the buckets that differ."""
    many = len(differing) > _MAX_BULK_PULL_BUCKETS
    count = min(len(differing), _MAX_BULK_PULL_BUCKETS if many else _MAX_PULL_BUCKETS)
    gossip = _encode(roster.identity.failure_domain, [roster.local_member], [])
    gossip.wanted = sorted(roster.rng.sample(differing, count))
    return gossip


def build_cross(roster: Roster, keys: Iterable[SummaryKey], repair: bool) -> Gossip:
    """Return the message of a delegate to another failure domain.

    With ``repair`` it requests the summaries of this failure domain that the
    receiver has stored.
    """
    known = (roster.summaries.get(key) for key in keys)
    summaries = [summary for summary in known if summary is not None]
    gossip = _encode("", [], summaries)
    gossip.digest = roster.domain_digests.get(roster.identity.failure_domain, 0)
    gossip.full = repair or None
    return gossip


def expects_reply(gossip: Gossip) -> bool:
    """Return whether the sender of a message waits for a reply."""
    return gossip.digest is not None or gossip.wanted is not None


def apply(roster: Roster, gossip: Gossip, now_s: float) -> None:
    """Apply the members and summaries of a message."""
    members = decode_members(gossip.members, roster.identity, now_s)
    summaries = decode_summaries(gossip.summaries, now_s)
    if len(members) < len(gossip.members or ()):
        roster.counts.add(Count.MALFORMED)
    if len(summaries) < len(gossip.summaries or ()):
        roster.counts.add(Count.MALFORMED)
    for member in members:
        roster.apply_member(member, now_s)
    for summary in summaries:
        roster.apply_summary(summary, now_s)


def build_reply(roster: Roster, sender: Hello, gossip: Gossip) -> Gossip:
    """Return the reply to a message that has been applied."""
    if gossip.wanted is not None:
        reply = _answer_pull(roster, gossip.wanted)
    elif gossip.full and gossip.members:
        reply = _answer_join(roster, sender)
    elif sender.failure_domain == roster.identity.failure_domain:
        reply = _answer_round(roster, gossip)
    else:
        reply = _answer_cross(roster, sender, gossip)
    _add_newer_sender_report(roster, gossip, reply)
    return reply


def _answer_round(roster: Roster, gossip: Gossip) -> Gossip:
    reply = build_updates(roster, roster.updates.take(MAX_UPDATES))
    reply.digest = roster.digest.total
    if gossip.digest != roster.digest.total:
        reply.buckets = roster.digest.buckets
    return reply


def _answer_pull(roster: Roster, wanted: list[int]) -> Gossip:
    chosen = frozenset(wanted)
    members = [
        member
        for address, member in roster.table.members.items()
        if find_bucket(address) in chosen
    ]
    summaries = [
        summary
        for key, summary in roster.summaries.items()
        if find_bucket(make_summary_key(key.failure_domain, key.service)) in chosen
    ]
    return _encode(
        roster.identity.failure_domain, [roster.local_member, *members], summaries
    )


def _answer_join(roster: Roster, sender: Hello) -> Gossip:
    """Return a sample of members and summaries; the rest is pulled by bucket."""
    members = [roster.local_member]
    summaries = [
        summary for key, summary in roster.summaries.items() if not key.service
    ]
    if sender.failure_domain == roster.identity.failure_domain:
        members += _sample(roster, roster.present, MAX_JOIN_MEMBERS)
        services = [summary for key, summary in roster.summaries.items() if key.service]
        summaries += _sample(roster, services, MAX_JOIN_SUMMARIES)
    elif SummaryKey(sender.failure_domain, "") not in roster.summaries:
        summaries.append(_build_contact_hint(roster, sender.failure_domain))
    return _encode(sender.failure_domain, members, summaries)


def _build_contact_hint(roster: Roster, failure_domain: str) -> ServiceSummary:
    """Return possible members as a summary that any published summary replaces."""
    addresses = roster.contacts.list_newest_first(failure_domain)[:MAX_ADDRESSES]
    return ServiceSummary(
        failure_domain=failure_domain,
        service="",
        sequence=0,
        servers=len(addresses),
        headroom=0,
        threshold=0,
        addresses=tuple(addresses),
    )


def _answer_cross(roster: Roster, sender: Hello, gossip: Gossip) -> Gossip:
    """Return newer summaries of the sender's failure domain.

    After a restart of its whole failure domain a delegate starts with low
    sequence numbers. The reply tells it which ones it must exceed.
    """
    newer = []
    for struct in gossip.summaries or ():
        key = SummaryKey(struct.failure_domain, struct.service_name or "")
        stored = roster.summaries.get(key)
        if stored is not None and stored.sequence > (struct.sequence or 0):
            newer.append(stored)
    if gossip.full:
        all_stored = [
            summary
            for key, summary in roster.summaries.items()
            if key.failure_domain == sender.failure_domain
        ]
        newer += _sample(roster, all_stored, MAX_CROSS_SUMMARIES - len(newer))
    reply = _encode(sender.failure_domain, [], newer)
    reply.digest = roster.domain_digests.get(sender.failure_domain, 0)
    return reply


def _add_newer_sender_report(roster: Roster, gossip: Gossip, reply: Gossip) -> None:
    """Add a report about the sender that outranks the sender's own."""
    if not gossip.members:
        return
    claimed = decode_members(gossip.members[:1], roster.identity, 0.0)
    for claim in claimed:
        known = roster.table.members.get(claim.identity.address)
        if known is not None and rank_member(known) > rank_member(claim):
            reply.members.append(encode_member(known, roster.identity.failure_domain))


def _sample(
    roster: Roster, items: list[Member] | list[ServiceSummary], count: int
) -> list[Member] | list[ServiceSummary]:
    return roster.rng.sample(items, max(0, min(count, len(items))))


def _encode(
    failure_domain: str, members: list[Member], summaries: list[ServiceSummary]
) -> Gossip:
    return ttypes.Gossip(
        members=[encode_member(member, failure_domain) for member in members],
        summaries=[encode_summary(summary) for summary in summaries] or None,
    )
