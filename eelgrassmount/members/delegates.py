"""Which members speak for their failure domain, and what they say of services."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import TYPE_CHECKING

import xxhash
from attrs import evolve, frozen

from eelgrassmount.members.timing import DELEGATES_PER_DOMAIN, MAX_ADDRESSES
from eelgrassmount.members.table import MemberState, ServerState, ServiceSummary

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from eelgrassmount.members.table import Member

_LOAD_FACTOR = 2.0
DOMAIN_ADDRESSES = 2


def _score(key: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{address}".encode())


def choose_addresses(key: str, addresses: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` addresses with the highest hash for a key.

    All who know the same addresses choose alike, and a change of the addresses
    changes as few choices as possible (rendezvous hashing).
    """
    return heapq.nlargest(count, addresses, key=lambda address: _score(key, address))


def choose_delegates(members: Iterable[Member], failure_domain: str) -> list[str]:
    """Return the addresses that speak for a failure domain, the first rank first."""
    candidates = [
        member.identity.address
        for member in members
        if member.state is MemberState.ALIVE
        and member.server_state is not ServerState.DRAINING
    ]
    return choose_addresses(failure_domain, candidates, DELEGATES_PER_DOMAIN)


class Weight(IntEnum):
    """How soon a change has to be known.

    Urgent is what would still send calls to a backend server that takes none,
    and a service that had no server. Other changes of the servers come next, and load
    alone comes last.
    """

    URGENT = 0
    SERVERS = 1
    LOAD = 2


@frozen
class Change:
    """A summary that should replace the one last published."""

    summary: ServiceSummary
    weight: Weight


def summarize_services(
    members: Iterable[Member],
    published: Mapping[str, ServiceSummary],
    failure_domain: str,
    now_s: float,
) -> dict[str, ServiceSummary]:
    """Return the present summary of each service of the own failure domain.

    Published addresses stay as long as they serve, so that the connections of
    other failure domains do too.
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
    kept = [
        address
        for address in (before.addresses if before else ())
        if address in present
    ]
    others = present.difference(kept)
    added = choose_addresses(service, others, MAX_ADDRESSES - len(kept))
    return ServiceSummary(
        failure_domain=failure_domain,
        service=service,
        sequence=before.sequence if before else 0,
        servers=len(servers),
        headroom=sum(member.headroom for member in servers),
        threshold=sum(member.threshold for member in servers) // len(servers),
        addresses=tuple(sorted(kept + added)),
        heard_s=now_s,
    )


def find_changes(
    published: Mapping[str, ServiceSummary],
    present: Mapping[str, ServiceSummary],
    serving: frozenset[str],
) -> list[Change]:
    """Return what has to be published anew, the most urgent first."""
    changes = []
    for service, summary in present.items():
        before = published.get(service)
        weight = _weigh(before, summary, serving)
        if weight is not None:
            changes.append(_raise_sequence(before, summary, weight))
    for service, before in published.items():
        if before.servers and service and service not in present:
            gone = evolve(before, servers=0, headroom=0, threshold=0, addresses=())
            changes.append(_raise_sequence(before, gone, Weight.URGENT))
    return sorted(changes, key=lambda change: change.weight)


def _raise_sequence(
    before: ServiceSummary | None, summary: ServiceSummary, weight: Weight
) -> Change:
    sequence = before.sequence + 1 if before else 1
    return Change(evolve(summary, sequence=sequence), weight)


def _weigh(
    before: ServiceSummary | None, summary: ServiceSummary, serving: frozenset[str]
) -> Weight | None:
    if before is None or not before.servers:
        return Weight.URGENT
    if not serving.issuperset(before.addresses):
        return Weight.URGENT
    if before.addresses != summary.addresses or before.servers != summary.servers:
        return Weight.SERVERS
    if differ_in_load(before.headroom, summary.headroom) or differ_in_load(
        before.threshold, summary.threshold
    ):
        return Weight.LOAD
    return None


def differ_in_load(before: int, after: int) -> bool:
    """Tell whether load changed enough to be told, that is by a factor of two."""
    low, high = sorted((before, after))
    return high > _LOAD_FACTOR * low
