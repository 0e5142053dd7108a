"""Classification of routes as used by clients or internal (called by servers only)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from eelgrassmount.relay.tallies import ServiceCounts

# Factor by which request counts decay at each interval.
COUNT_DECAY_FACTOR = 0.972
# Count below which a route that has left the configuration is dropped.
MIN_COUNT = 0.01
# A route counts as missing on the VMs of a service only if at least this many requests
# are expected there. With as many, a route of clients is missing by chance less than
# once in a million.
MIN_REQUESTS = 15.0
# On the VMs of each service, clients request a route at least at this share of its
# highest rate on those of any service.
MIN_CLIENT_SHARE = 0.05


def update_counts(
    counts: dict[str, float], requests: dict[str, int], known: Collection[str] = ()
) -> None:
    """Add the requests of one interval to the decaying counts.

    Routes that are not ``known`` are dropped once their count has decayed.
    """
    for name in counts.keys() | requests.keys():
        count = counts.get(name, 0.0) * COUNT_DECAY_FACTOR + requests.get(name, 0)
        if count >= MIN_COUNT or name in known:
            counts[name] = count
        else:
            counts.pop(name, None)


def find_internal_routes(request_counts: dict[str, ServiceCounts]) -> set[str]:
    """Return the routes that only servers call.

    ``request_counts`` holds, by service, the counts of all known VMs of the service.
    Clients are on all VMs, so the routes that they use are requested everywhere;
    requests of a server are made on the VMs of its service only.
    """
    known = [
        service
        for service in request_counts.values()
        if service.nodes and sum(service.counts.values()) >= MIN_REQUESTS
    ]
    names = {name for service in known for name in service.counts}
    return {name for name in names if _is_internal(name, known)}


def find_client_routes(request_counts: dict[str, ServiceCounts]) -> set[str]:
    """Return the routes that clients use: those requested on the VMs of all services.

    A route that is neither among these nor among the internal routes has too few
    requests to be classified.
    """
    known = [service for service in request_counts.values() if service.nodes]
    names = {name for service in known for name in service.counts}
    return {name for name in names if _is_used_by_clients(name, known)}


def _is_used_by_clients(name: str, known: list[ServiceCounts]) -> bool:
    is_requested = _compare_services(name, known)
    return len(is_requested) > 1 and all(is_requested)


def _is_internal(name: str, known: list[ServiceCounts]) -> bool:
    """Return whether a route is missing on the VMs of a known service.

    The rate of requests on other VMs decides how many are expected there.
    """
    return not all(_compare_services(name, known))


def _compare_services(name: str, known: list[ServiceCounts]) -> list[bool]:
    """Return for each service whether its VMs request a route as often as clients do.

    Services at which too few requests are expected are omitted.
    """
    highest = max(service.counts.get(name, 0.0) / service.nodes for service in known)
    return [
        service.counts.get(name, 0.0) >= MIN_CLIENT_SHARE * highest * service.nodes
        for service in known
        if highest * service.nodes >= MIN_REQUESTS
    ]
