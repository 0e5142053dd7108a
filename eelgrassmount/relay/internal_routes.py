"""Which routes clients use and which only servers call, by where they are asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from eelgrassmount.relay.tallies import ServiceCounts

# counts of calls fade with this factor at each interval
COUNT_FADE = 0.972
# count below which a route that has left the configuration is forgotten: it decides
# nothing, the least that does is CLIENT_SHARE of MIN_CALLS
LEAST_COUNT = 0.01
# calls on the VMs of a service, below which a route is not judged by being missing
# there: with as many, one of clients is missing by chance less than once in a million
MIN_CALLS = 15.0
# on the VMs of some service, a route that clients use is asked for at least at
# this part of its highest count on those of any
CLIENT_SHARE = 0.05


def update_counts(
    counts: dict[str, float], calls: dict[str, int], known: Collection[str] = ()
) -> None:
    """Take up the calls of one interval into the fading counts.

    Routes that are not ``known`` are forgotten once their count has faded.
    """
    for name in counts.keys() | calls.keys():
        count = counts.get(name, 0.0) * COUNT_FADE + calls.get(name, 0)
        if count >= LEAST_COUNT or name in known:
            counts[name] = count
        else:
            counts.pop(name, None)


def find_internal_routes(asked: dict[str, ServiceCounts]) -> set[str]:
    """Return the routes that only running servers call.

    ``asked`` holds, by service, the counts on all VMs of it that are known. Clients
    are on all VMs, so what they use is asked for everywhere; what a server calls
    is asked for on the VMs of its service only.
    """
    known = [
        one
        for one in asked.values()
        if one.nodes and sum(one.counts.values()) >= MIN_CALLS
    ]
    names = {name for one in known for name in one.counts}
    return {name for name in names if _is_inner(name, known)}


def find_client_routes(asked: dict[str, ServiceCounts]) -> set[str]:
    """Return the routes that clients are seen to use, as they do on all VMs.

    Of a route that is neither here nor among the inner ones, too little is known.
    """
    known = [one for one in asked.values() if one.nodes]
    names = {name for one in known for name in one.counts}
    return {name for name in names if _is_of_clients(name, known)}


def _is_of_clients(name: str, known: list[ServiceCounts]) -> bool:
    seen = _judge(name, known)
    return len(seen) > 1 and all(seen)


def _is_inner(name: str, known: list[ServiceCounts]) -> bool:
    """Tell whether a route is missing on the VMs of a service, of those that are known.

    It is if there should be many requests on them by what there are elsewhere.
    """
    return not all(_judge(name, known))


def _judge(name: str, known: list[ServiceCounts]) -> list[bool]:
    """Tell of each service whether a route is asked for there as clients would.

    Services are left out where too few requests of it are due to judge by.
    """
    highest = max(one.counts.get(name, 0.0) / one.nodes for one in known)
    return [
        one.counts.get(name, 0.0) >= CLIENT_SHARE * highest * one.nodes
        for one in known
        if highest * one.nodes >= MIN_CALLS
    ]
