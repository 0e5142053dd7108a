"""What answers tell about the load of services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from eelgrassmount.context import PRIORITY_LEVELS
from eelgrassmount.load.state import FULL_THRESHOLD, LoadTable, ServiceLoad
from eelgrassmount.load.threshold import TIER_HOLD_S

if TYPE_CHECKING:
    from collections.abc import Iterable

# A load counts in full while fresh, then opens gradually until it lapses: first
# to all refused-last calls, sooner than any node stops shutting out the
# refused-first ones, then to these too.
MAX_FRESH_AGE_S = 0.3
_LAST_TIER_OPEN_AGE_S = TIER_HOLD_S
EXPIRY_AGE_S = 2.5
# what was heard longer ago is not passed on
_MAX_RELAYED_AGE_S = 0.5

_USAGE_SMOOTHING = 0.05
_MIN_USAGE_SHARE = 0.25
_FORGET_USAGE_SHARE = 0.01
_MAX_TRACKED_CALLS = 50_000


@define
class LoadExchange:
    """Merges the loads of answers and collects them for answers further up.

    ``used_services`` holds, for calls that run on this node's backend server, the
    services that their downstream calls have touched.
    """

    table: LoadTable
    used_services: dict[str, set[str]] = field(factory=dict)

    def merge(
        self, address: str, service: str, loads: Iterable[ServiceLoad], now_s: float
    ) -> None:
        """Take in the loads of one answer of the node at ``address``.

        ``service`` is what it was called for; other loads were relayed by it.
        """
        for load in loads:
            heard = evolve(load, heard_s=now_s)
            if load.service == service:
                self.table.by_node[address] = heard
            else:
                self.table.relayed.setdefault(load.service, {})[address] = heard

    def record_downstream(
        self, parent_id: str, service: str, loads: Iterable[ServiceLoad]
    ) -> None:
        """Note that a running call has called a service, and what that touched."""
        if (
            parent_id not in self.used_services
            and len(self.used_services) >= _MAX_TRACKED_CALLS
        ):
            return
        services = self.used_services.setdefault(parent_id, set())
        services.add(service)
        services.update(load.service for load in loads)

    def collect(
        self, call_id: str, own: ServiceLoad, now_s: float
    ) -> tuple[ServiceLoad, ...]:
        """Return the loads to send with the answer of a call, and forget it."""
        services = self.used_services.pop(call_id, set())
        loads = [own]
        for service in sorted(services - {own.service}):
            load = find_load(self.table, service, now_s, _MAX_RELAYED_AGE_S)
            loads.append(load or ServiceLoad(service))
        return tuple(loads)

    def learn(self, class_name: str, services: Iterable[str]) -> None:
        """Learn the services that one complete request of a class has touched."""
        shares = self.table.used_services.setdefault(class_name, {})
        seen = set(services)
        for service in seen:
            shares.setdefault(service, 1.0 if not shares else _MIN_USAGE_SHARE)
        for service in list(shares):
            share = shares[service]
            share += _USAGE_SMOOTHING * ((service in seen) - share)
            shares[service] = share
            if share < _FORGET_USAGE_SHARE:
                del shares[service]

    def drop_expired(self, now_s: float) -> None:
        """Drop loads that have lapsed; call it every few seconds."""
        by_node = self.table.by_node
        for address in [key for key in by_node if is_expired(by_node[key], now_s)]:
            del by_node[address]
        for loads in self.table.relayed.values():
            for address in [key for key in loads if is_expired(loads[key], now_s)]:
                del loads[address]


def is_expired(load: ServiceLoad, now_s: float) -> bool:
    """Tell whether a load was heard too long ago to mean anything."""
    return now_s - load.heard_s >= EXPIRY_AGE_S


def compute_effective_threshold(load: ServiceLoad, now_s: float) -> float:
    """Return the threshold of a load, opened by its age."""
    age_s = now_s - load.heard_s
    threshold = float(load.threshold)
    if age_s <= MAX_FRESH_AGE_S:
        return threshold
    opened = min(
        1.0, (age_s - MAX_FRESH_AGE_S) / (_LAST_TIER_OPEN_AGE_S - MAX_FRESH_AGE_S)
    )
    threshold += max(0.0, PRIORITY_LEVELS - threshold) * opened
    if age_s <= _LAST_TIER_OPEN_AGE_S:
        return threshold
    opened = min(
        1.0, (age_s - _LAST_TIER_OPEN_AGE_S) / (EXPIRY_AGE_S - _LAST_TIER_OPEN_AGE_S)
    )
    return threshold + (FULL_THRESHOLD - threshold) * opened


def find_services(table: LoadTable, class_name: str) -> list[str]:
    """Return the services that a good part of a class's requests touch."""
    shares = table.used_services.get(class_name, {})
    return [name for name, share in shares.items() if share >= _MIN_USAGE_SHARE]


def find_load(
    table: LoadTable, service: str, now_s: float, within_s: float = EXPIRY_AGE_S
) -> ServiceLoad | None:
    """Return the load of a service as a whole, ``None`` if not known.

    What its own servers said goes before what was relayed, unless it is older.
    """
    direct = [load for load in table.by_node.values() if load.service == service]
    relayed = list(table.relayed.get(service, {}).values())
    for loads in (direct, relayed):
        fresh = [load for load in loads if now_s - load.heard_s <= MAX_FRESH_AGE_S]
        if fresh:
            return combine_loads(service, fresh, now_s)
    newest = max(direct + relayed, key=lambda load: load.heard_s, default=None)
    if newest is None or now_s - newest.heard_s >= within_s:
        return None
    return combine_loads(service, [newest], now_s)


def combine_loads(service: str, loads: list[ServiceLoad], now_s: float) -> ServiceLoad:
    """Return the load of a service from those of its servers.

    Refused-first calls are admitted by the mean of the thresholds, but
    refused-last calls as long as any server still admits them: while one of
    them has to be refused, no server is open to refused-first calls.
    """
    thresholds = [compute_effective_threshold(load, now_s) for load in loads]
    mean = sum(thresholds) / len(thresholds)
    most = max(thresholds)
    threshold = most if most < PRIORITY_LEVELS else max(mean, PRIORITY_LEVELS)
    return ServiceLoad(
        service=service,
        threshold=round(threshold),
        headroom=sum(load.headroom for load in loads),
        retry_after_s=sum(load.retry_after_s for load in loads) / len(loads),
        heard_s=max(load.heard_s for load in loads),
    )
