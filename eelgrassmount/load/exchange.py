"""Exchange of service loads by reports on answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from eelgrassmount.context import PRIORITY_LEVELS
from eelgrassmount.load.state import FULL_THRESHOLD, LoadTable, ServiceLoad
from eelgrassmount.load.threshold import TIER_HOLD_S

if TYPE_CHECKING:
    from collections.abc import Iterable

# The effective threshold of a load is raised gradually between these ages: first for
# refused-last calls, before any node admits refused-first calls again, then for all.
MAX_FRESH_AGE_S = 0.3
_LAST_TIER_OPEN_AGE_S = TIER_HOLD_S
EXPIRY_AGE_S = 2.5
# Older loads are not relayed on answers.
_MAX_RELAYED_AGE_S = 0.5

_USAGE_SMOOTHING = 0.05
_MIN_USAGE_SHARE = 0.25
_MIN_TRACKED_USAGE_SHARE = 0.01
_MAX_TRACKED_CALLS = 50_000


@define
class LoadExchange:
    """Merges the loads of received answers and collects loads for sent answers.

    ``used_services`` holds, by the id of a call that runs on this node's backend
    server, the services that its downstream calls have used.
    """

    table: LoadTable
    used_services: dict[str, set[str]] = field(factory=dict)

    def merge(
        self, address: str, service: str, loads: Iterable[ServiceLoad], now_s: float
    ) -> None:
        """Record the loads of an answer from the node at ``address``.

        ``service`` is the called service; loads of other services were relayed.
        """
        for load in loads:
            received = evolve(load, received_s=now_s)
            if load.service == service:
                self.table.by_node[address] = received
            else:
                self.table.relayed.setdefault(load.service, {})[address] = received

    def record_downstream(
        self, parent_id: str, service: str, loads: Iterable[ServiceLoad]
    ) -> None:
        """Record that a running call has used a service and those that it used."""
        if (
            parent_id not in self.used_services
            and len(self.used_services) >= _MAX_TRACKED_CALLS
        ):
            return
        services = self.used_services.setdefault(parent_id, set())
        services.add(service)
        services.update(load.service for load in loads)

    def collect(
        self, call_id: str, local_load: ServiceLoad, now_s: float
    ) -> tuple[ServiceLoad, ...]:
        """Return the loads to send with the answer of a call, and drop its record."""
        services = self.used_services.pop(call_id, set())
        loads = [local_load]
        for service in sorted(services - {local_load.service}):
            load = find_load(self.table, service, now_s, _MAX_RELAYED_AGE_S)
            loads.append(load or ServiceLoad(service))
        return tuple(loads)

    def learn(self, class_name: str, services: Iterable[str]) -> None:
        """Record the services that a complete request of a class has used."""
        shares = self.table.used_services.setdefault(class_name, {})
        used = set(services)
        for service in used:
            shares.setdefault(service, 1.0 if not shares else _MIN_USAGE_SHARE)
        for service in list(shares):
            share = shares[service]
            share += _USAGE_SMOOTHING * ((service in used) - share)
            shares[service] = share
            if share < _MIN_TRACKED_USAGE_SHARE:
                del shares[service]

    def drop_expired(self, now_s: float) -> None:
        """Drop expired loads; called every few seconds."""
        by_node = self.table.by_node
        for address in [key for key in by_node if is_expired(by_node[key], now_s)]:
            del by_node[address]
        for loads in self.table.relayed.values():
            for address in [key for key in loads if is_expired(loads[key], now_s)]:
                del loads[address]


def is_expired(load: ServiceLoad, now_s: float) -> bool:
    """Return whether a load is too old to be used."""
    return now_s - load.received_s >= EXPIRY_AGE_S


def compute_effective_threshold(load: ServiceLoad, now_s: float) -> float:
    """Return the threshold of a load, raised with its age."""
    age_s = now_s - load.received_s
    threshold = float(load.threshold)
    if age_s <= MAX_FRESH_AGE_S:
        return threshold
    raised_share = min(
        1.0, (age_s - MAX_FRESH_AGE_S) / (_LAST_TIER_OPEN_AGE_S - MAX_FRESH_AGE_S)
    )
    threshold += max(0.0, PRIORITY_LEVELS - threshold) * raised_share
    if age_s <= _LAST_TIER_OPEN_AGE_S:
        return threshold
    raised_share = min(
        1.0, (age_s - _LAST_TIER_OPEN_AGE_S) / (EXPIRY_AGE_S - _LAST_TIER_OPEN_AGE_S)
    )
    return threshold + (FULL_THRESHOLD - threshold) * raised_share


def find_services(table: LoadTable, class_name: str) -> list[str]:
    """Return the services that a sufficient share of a class's requests uses."""
    shares = table.used_services.get(class_name, {})
    return [name for name, share in shares.items() if share >= _MIN_USAGE_SHARE]


def find_load(
    table: LoadTable, service: str, now_s: float, within_s: float = EXPIRY_AGE_S
) -> ServiceLoad | None:
    """Return the combined load of a service, ``None`` if there is no recent report.

    Fresh reports from servers of the service take precedence over fresh relayed ones.
    Without fresh reports, the newest one counts.
    """
    direct = [load for load in table.by_node.values() if load.service == service]
    relayed = list(table.relayed.get(service, {}).values())
    for loads in (direct, relayed):
        fresh = [load for load in loads if now_s - load.received_s <= MAX_FRESH_AGE_S]
        if fresh:
            return combine_loads(service, fresh, now_s)
    newest = max(direct + relayed, key=lambda load: load.received_s, default=None)
    if newest is None or now_s - newest.received_s >= within_s:
        return None
    return combine_loads(service, [newest], now_s)


def combine_loads(service: str, loads: list[ServiceLoad], now_s: float) -> ServiceLoad:
    """Return the load of a service from those of its servers.

    The mean threshold applies to refused-first calls. Refused-last calls are admitted
    as long as any server admits them.
    """
    thresholds = [compute_effective_threshold(load, now_s) for load in loads]
    mean = sum(thresholds) / len(thresholds)
    highest = max(thresholds)
    threshold = highest if highest < PRIORITY_LEVELS else max(mean, PRIORITY_LEVELS)
    return ServiceLoad(
        service=service,
        threshold=round(threshold),
        headroom=sum(load.headroom for load in loads),
        retry_after_s=sum(load.retry_after_s for load in loads) / len(loads),
        received_s=max(load.received_s for load in loads),
    )
