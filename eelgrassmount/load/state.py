"""What is known of the load of services."""

from __future__ import annotations

from attrs import define, field, frozen

from eelgrassmount.context import PRIORITY_LEVELS

# thresholds count from 0 (admit nothing) to this (admit everything)
TIERS = 2
FULL_THRESHOLD = TIERS * PRIORITY_LEVELS


@frozen
class ServiceLoad:
    """How much work of a service is admitted, as last heard from a node.

    A call is admitted when ``rank_call`` of its tier and priority is below
    ``threshold``. ``headroom`` is the number of further calls that
    would start at once. ``retry_after_s`` is what refused callers are told.
    """

    service: str
    threshold: int = FULL_THRESHOLD
    headroom: int = 0
    retry_after_s: float = 0.0
    heard_s: float = 0.0


def rank_call(tier: int, priority: int) -> int:
    """Return the rank of a call: lower ranks are refused last."""
    return tier * PRIORITY_LEVELS + priority


@define
class LoadTable:
    """Load of services, and the services that each class touches.

    ``by_node`` holds what the nodes of a service said of their own server, by
    address; ``relayed`` what a node said of services deeper in the chain, by
    service and address. ``used_services`` holds, by class and service, the share of
    the class's recent requests that touched the service.
    """

    by_node: dict[str, ServiceLoad] = field(factory=dict)
    relayed: dict[str, dict[str, ServiceLoad]] = field(factory=dict)
    used_services: dict[str, dict[str, float]] = field(factory=dict)
