"""Choice of a failure domain's delegates, and the summaries that they publish."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import TYPE_CHECKING

import xxhash
from attrs import evolve, frozen

from eelgrassmount.members.table import MemberState, ServerState, ServiceSummary
from eelgrassmount.members.timing import DELEGATES_PER_DOMAIN, MAX_ADDRESSES

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from eelgrassmount.members.table import Member

_LOAD_CHANGE_FACTOR = 2.0
HEARTBEAT_ADDRESSES = 2


def _score(key: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{address}".encode())


def choose_addresses(key: str, addresses: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` addresses with the highest hash for a key.

    Nodes with the same addresses make the same choice, and a changed address
    changes at most one choice (rendezvous hashing).
    """
    return heapq.nlargest(count, addresses, key=lambda address: _score(key, address))


def choose_delegates(members: Iterable[Member], failure_domain: str) -> list[str]:
    """Return the addresses of a failure domain's delegates in order of rank."""
    candidates = [
        member.identity.address
        for member in members
        if member.state is MemberState.ALIVE
        and member.server_state is not ServerState.DRAINING
    ]
    return choose_addresses(failure_domain, candidates, DELEGATES_PER_DOMAIN)


class Urgency(IntEnum):
    """How soon a change must reach the other failure domains.

    A change is urgent if a published address no longer serves, or if a service
    without servers gets one. Other changes of the servers come next, changes of
    load last.
    """

    URGENT = 0
    SERVERS = 1
    LOAD = 2


@frozen
class Change:
    """A summary that must replace the published one."""

    summary: ServiceSummary
    urgency: Urgency


def summarize_services(
    members: Iterable[Member],
    published: Mapping[str, ServiceSummary],
    failure_domain: str,
    now_s: float,
) -> dict[str, ServiceSummary]:
    """Return the current summary of each service of the local failure domain.

    A published address remains in the summary while it serves, so that other
    failure domains can retain their connections.
    """
    serving: dict[str, list[Member]] = {}
    for member in members:
        if member.serves and member.service:
            serving.setdefault(member.service, []).append(member)
    return {
        service: _summarize(
            service, servers, published.get(service), failure_domain, now_s
        )
        for service, servers in serving.items()
    }


def _summarize(
    service: str,
    servers: list[Member],
    before: ServiceSummary | None,
    failure_domain: str,
    now_s: float,
) -> ServiceSummary:
    present = {member.identity.address for member in servers}
    retained = [
        address
        for address in (before.addresses if before else ())
        if address in present
    ]
    others = present.difference(retained)
    added = choose_addresses(service, others, MAX_ADDRESSES - len(retained))
    return ServiceSummary(
        failure_domain=failure_domain,
        service=service,
        sequence=before.sequence if before else 0,
        servers=len(servers),
        headroom=sum(member.headroom for member in servers),
        threshold=sum(member.threshold for member in servers) // len(servers),
        addresses=tuple(sorted(retained + added)),
        received_s=now_s,
    )


def find_changes(
    published: Mapping[str, ServiceSummary],
    present: Mapping[str, ServiceSummary],
    serving: frozenset[str],
) -> list[Change]:
    """Return the summaries that differ from the published ones, most urgent first."""
    changes = []
    for service, summary in present.items():
        before = published.get(service)
        urgency = _find_urgency(before, summary, serving)
        if urgency is not None:
            changes.append(_increment_sequence(before, summary, urgency))
    for service, before in published.items():
        if before.servers and service and service not in present:
            withdrawn = evolve(before, servers=0, headroom=0, threshold=0, addresses=())
            changes.append(_increment_sequence(before, withdrawn, Urgency.URGENT))
    return sorted(changes, key=lambda change: change.urgency)


def _increment_sequence(
    before: ServiceSummary | None, summary: ServiceSummary, urgency: Urgency
) -> Change:
    sequence = before.sequence + 1 if before else 1
    return Change(evolve(summary, sequence=sequence), urgency)


def _find_urgency(
    before: ServiceSummary | None, summary: ServiceSummary, serving: frozenset[str]
) -> Urgency | None:
    if before is None or not before.servers:
        return Urgency.URGENT
    if not serving.issuperset(before.addresses):
        return Urgency.URGENT
    if before.addresses != summary.addresses or before.servers != summary.servers:
        return Urgency.SERVERS
    if has_load_changed(before.headroom, summary.headroom) or has_load_changed(
        before.threshold, summary.threshold
    ):
        return Urgency.LOAD
    return None


def has_load_changed(before: int, after: int) -> bool:
    """Return whether load changed by more than the factor worth publishing."""
    low, high = sorted((before, after))
    return high > _LOAD_CHANGE_FACTOR * low
