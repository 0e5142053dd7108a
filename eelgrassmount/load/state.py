"""Load reports of services."""

from __future__ import annotations

from attrs import define, field, frozen

from eelgrassmount.context import PRIORITY_LEVELS

# Thresholds range from 0 (admit nothing) to FULL_THRESHOLD (admit everything).
TIERS = 2
FULL_THRESHOLD = TIERS * PRIORITY_LEVELS


@frozen
class ServiceLoad:
    """The load of a service, as last reported by a node.

    A call is admitted if ``rank_call`` of its tier and priority is below
    ``threshold``. ``headroom`` is the number of further calls that would start at
    once, ``retry_after_s`` the delay sent to refused callers, and ``received_s`` the
    time at which the report arrived.
    """

    service: str
    threshold: int = FULL_THRESHOLD
    headroom: int = 0
    retry_after_s: float = 0.0
    received_s: float = 0.0


def rank_call(tier: int, priority: int) -> int:
    """Return the rank of a call; lower ranks are refused last."""
    return tier * PRIORITY_LEVELS + priority


@define
class LoadTable:
    """The loads of services, and the services that requests of each class use.

    ``by_node`` holds the loads that nodes reported of their own server, by address;
    ``relayed`` the loads that they reported of downstream services, by service and
    address. ``used_services`` holds, by class and service, the share of recent requests
    that used the service.
    """

    by_node: dict[str, ServiceLoad] = field(factory=dict)
    relayed: dict[str, dict[str, ServiceLoad]] = field(factory=dict)
    used_services: dict[str, dict[str, float]] = field(factory=dict)
