"""Admission control at the node where requests enter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.load.exchange import find_load, find_services
from eelgrassmount.load.refusals import (
    AdmissionMeter,
    compute_retry_after,
    spread_retry_after,
)
from eelgrassmount.load.state import rank_call
from eelgrassmount.verdict import NotRun, Reason

if TYPE_CHECKING:
    import random

    from eelgrassmount.config.classes import WorkClass
    from eelgrassmount.shared_node_state import SharedNodeState


@define
class EntryMeters:
    """Counts of requests that this node recently admitted and refused, by service."""

    meters: dict[str, AdmissionMeter] = field(factory=dict)

    def get_meter(self, service: str) -> AdmissionMeter:
        """Return the meter of a service, a new one if there is none."""
        return self.meters.setdefault(service, AdmissionMeter())


def find_bottleneck(
    shared_state: SharedNodeState,
    work_class: WorkClass,
    service: str,
    priority: int,
    now_s: float,
) -> str | None:
    """Return the service that would refuse a request or one of its downstream calls.

    The candidates are the service itself and those that requests of the class use.
    """
    rank = rank_call(work_class.tier, priority)
    names = {service, *find_services(shared_state.loads, work_class.name)}
    for name in sorted(names):
        load = find_load(shared_state.loads, name, now_s)
        if load is not None and rank >= load.threshold:
            return name
    return None


def admit_at_entry(
    shared_state: SharedNodeState,
    meters: EntryMeters,
    work_class: WorkClass,
    service: str,
    priority: int,
    rng: random.Random,
    now_s: float,
) -> NotRun | None:
    """Refuse a request if one of its downstream calls would be refused.

    ``priority`` is that of the root request, which all its downstream calls share.
    """
    bottleneck = find_bottleneck(shared_state, work_class, service, priority, now_s)
    if bottleneck is None:
        for name in {service, *find_services(shared_state.loads, work_class.name)}:
            meters.get_meter(name).record_admitted(now_s)
        return None
    meter = meters.get_meter(bottleneck)
    meter.record_refused(now_s)
    delay_s = compute_retry_after(meter, now_s)
    return NotRun(Reason.OVERLOAD, spread_retry_after(delay_s, rng))
