"""What the messages between members say, and what is learned from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.gen import ttypes
from eelgrassmount.members.counts import Count
from eelgrassmount.members.digest import find_bucket, name_summary
from eelgrassmount.members.merge import rank_member
from eelgrassmount.members.timing import (
    MAX_ADDRESSES,
    MAX_CROSS_SUMMARIES,
    MAX_JOIN_MEMBERS,
    MAX_JOIN_SUMMARIES,
    MAX_UPDATES,
    MAX_URGENT,
)
from eelgrassmount.members.table import ServiceSummary
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

_FEW_BUCKETS = 4
_MANY_BUCKETS = 128


def build_round(roster: Roster) -> Gossip:
    """Return the message of one round, which asks for an answer."""
    keys = roster.updates.take(MAX_UPDATES)
    gossip = build_updates(roster, keys)
    gossip.digest = roster.digest.total
    return gossip


def build_updates(roster: Roster, keys: Iterable[MemberKey | SummaryKey]) -> Gossip:
    """Return a message with the present state of what the keys name.

    The sender itself is always the first member: that costs little and keeps each
    receiver right about the node it talks to.
    """
    members = [roster.own]
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
    """Return a message with all that has to be told at once; it has no answer."""
    keys = list(roster.urgent)[:MAX_URGENT]
    for key in keys:
        del roster.urgent[key]
    return build_updates(roster, keys)


def build_join(roster: Roster) -> Gossip:
    """Return the message of a node that knows nobody yet, to any node."""
    gossip = _encode("", [roster.own], [])
    gossip.digest = 0
    gossip.full = True
    return gossip


def build_pull(roster: Roster, differing: list[int]) -> Gossip:
    """Return a message that asks for some of the parts that differ."""
    many = len(differing) > _MANY_BUCKETS
    count = min(len(differing), _MANY_BUCKETS if many else _FEW_BUCKETS)
    gossip = _encode(roster.identity.failure_domain, [roster.own], [])
    gossip.wanted = sorted(roster.rng.sample(differing, count))
    return gossip


def build_cross(roster: Roster, keys: Iterable[SummaryKey], repair: bool) -> Gossip:
    """Return the message of a delegate to another failure domain.

    With ``repair`` it asks for what the other side holds of this one.
    """
    known = (roster.summaries.get(key) for key in keys)
    summaries = [summary for summary in known if summary is not None]
    gossip = _encode("", [], summaries)
    gossip.digest = roster.domain_digests.get(roster.identity.failure_domain, 0)
    gossip.full = repair or None
    return gossip


def needs_answer(gossip: Gossip) -> bool:
    """Tell whether a message is a question."""
    return gossip.digest is not None or gossip.wanted is not None


def learn(roster: Roster, gossip: Gossip, now_s: float) -> None:
    """Take in all that a message says."""
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


def answer(roster: Roster, sender: Hello, gossip: Gossip) -> Gossip:
    """Return the answer to a question whose content was taken in before."""
    if gossip.wanted is not None:
        reply = _answer_pull(roster, gossip.wanted)
    elif gossip.full and gossip.members:
        reply = _answer_join(roster, sender)
    elif sender.failure_domain == roster.identity.failure_domain:
        reply = _answer_round(roster, gossip)
    else:
        reply = _answer_cross(roster, sender, gossip)
    _add_view_of_sender(roster, gossip, reply)
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
        if find_bucket(name_summary(key.failure_domain, key.service)) in chosen
    ]
    return _encode(roster.identity.failure_domain, [roster.own, *members], summaries)


def _answer_join(roster: Roster, sender: Hello) -> Gossip:
    """Return a first impression; the rest is pulled piece by piece."""
    members = [roster.own]
    summaries = [
        summary for key, summary in roster.summaries.items() if not key.service
    ]
    if sender.failure_domain == roster.identity.failure_domain:
        members += _sample(roster, roster.present, MAX_JOIN_MEMBERS)
        services = [summary for key, summary in roster.summaries.items() if key.service]
        summaries += _sample(roster, services, MAX_JOIN_SUMMARIES)
    elif SummaryKey(sender.failure_domain, "") not in roster.summaries:
        summaries.append(_hint_contacts(roster, sender.failure_domain))
    return _encode(sender.failure_domain, members, summaries)


def _hint_contacts(roster: Roster, failure_domain: str) -> ServiceSummary:
    """Return addresses that may be members, as a summary that any other replaces."""
    addresses = roster.contacts.list_known(failure_domain)[:MAX_ADDRESSES]
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
    """Return what is held of the sender's failure domain and is newer.

    After a restart of its whole failure domain a delegate begins anew with low
    sequence numbers; this is how it learns which ones to go above.
    """
    newer = []
    for struct in gossip.summaries or ():
        key = SummaryKey(struct.failure_domain, struct.service_name or "")
        held = roster.summaries.get(key)
        if held is not None and held.sequence > (struct.sequence or 0):
            newer.append(held)
    if gossip.full:
        held_all = [
            summary
            for key, summary in roster.summaries.items()
            if key.failure_domain == sender.failure_domain
        ]
        newer += _sample(roster, held_all, MAX_CROSS_SUMMARIES - len(newer))
    reply = _encode(sender.failure_domain, [], newer)
    reply.digest = roster.domain_digests.get(sender.failure_domain, 0)
    return reply


def _add_view_of_sender(roster: Roster, gossip: Gossip, reply: Gossip) -> None:
    """Tell the sender when something else is thought of it than it says itself."""
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
