"""How much of what is offered a short service can take.

The load that this answers: demand surges within a second, the calls that it leads to
arrive over the next one, and reports of them come later still. A level that is moved
step by step by what it sees is too late, and then goes on moving for what it has
changed already. So the level in force when the calls were admitted is taken into
account: it tells how much is offered, and that tells the level at once.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field

from eelgrassmount.policy.forecast import estimate_offered_load

# demand, as a part of what the servers can do, that admission aims at, and while
# calls wait longer than allowed
TARGET_DEMAND = 0.97
TARGET_DEMAND_WITH_DELAY = 0.87
# demand that waits above the allowed stand for, whatever was counted: servers that slow
# down make the count too small, and the level would rise while requests fail
MIN_DEMAND_WITH_DELAY = 0.95
DEMAND_PER_WAIT = 0.05
MAX_DEMAND_WITH_DELAY = 1.1
MIN_ADMITTED_FRACTION = 0.02
# less demand than this says nothing about how much was offered
MIN_DEMAND = 0.02
CONTROL_INTERVAL_S = 0.2
# steps after which what was admitted shows in the demand: calls follow each other for
# about a second, and the mean of the demand is some steps old
MIN_EFFECT_DELAY_STEPS = 2
MAX_EFFECT_DELAY_STEPS = 8
# part of the way to the level sought that one step takes: with all of it, the level
# swings by what is counted at random
FRACTION_SMOOTHING = 0.4
# a level this near to the one sought is set to it, so that it comes to an end
SNAP_DISTANCE = 0.01
# growth in one step while nothing is known
MAX_GROWTH_FACTOR = 1.15
# reports that are older are not waited for
MAX_REPORT_AGE_STEPS = 8


def adjust_for_wait(demand: float, wait: float) -> tuple[float, float]:
    """Return the demand to aim at and the one to go by.

    Both are parts of what the servers can do; ``wait`` is a part of what is allowed.
    """
    if wait <= 1.0:
        return TARGET_DEMAND, demand
    by_wait = min(MAX_DEMAND_WITH_DELAY, MIN_DEMAND_WITH_DELAY + DEMAND_PER_WAIT * wait)
    return TARGET_DEMAND_WITH_DELAY, max(demand, by_wait)


def compute_admitted_fraction(
    applied_fraction: float, demand: float, wait: float, forecast: float = 0.0
) -> float:
    """Return the level at which demand would meet its target.

    ``applied_fraction`` is the mean level at which the demand was admitted: demand over it is
    what was offered. ``forecast`` is what clients offer by their requests, and more
    where the calls of those that failed never came.

        >>> round(compute_admitted_fraction(applied_fraction=0.5, demand=0.485, wait=0.0), 2)
        1.0
        >>> round(compute_admitted_fraction(applied_fraction=0.5, demand=0.97, wait=0.0, forecast=4.0), 2)
        0.24
    """
    target, demand = adjust_for_wait(demand, wait)
    measured = max(MIN_DEMAND, demand) / applied_fraction
    offered = estimate_offered_load(measured, forecast, demand)
    return min(1.0, max(MIN_ADMITTED_FRACTION, target / offered))


@define
class AdmissionController:
    """The level of a service: the part of what is offered that is admitted.

    Each step compares the work that arrives at the servers with what they can do.
    The length of the queues says little, since a backlog stays for a while after
    the demand has fallen, and since fast servers have queues where slow ones don't.
    """

    admitted_fraction: float = 1.0
    _history: deque[float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin as if the level had been in force for long."""
        steps = MAX_EFFECT_DELAY_STEPS + MAX_REPORT_AGE_STEPS
        self._history = deque([self.admitted_fraction] * steps, maxlen=steps)

    def update(
        self, demand: float, wait: float, age_steps: int = 0, forecast: float = 0.0
    ) -> float:
        """Take up demand and wait, as parts of what is possible and allowed.

        They were reported so many steps ago; ``forecast`` is the demand that follows
        from what clients offer now.
        """
        age = min(MAX_REPORT_AGE_STEPS, age_steps)
        known = list(self._history)
        seen = known[
            -MAX_EFFECT_DELAY_STEPS - age : len(known)
            - MIN_EFFECT_DELAY_STEPS
            - age
            + 1
        ]
        target_fraction = compute_admitted_fraction(
            sum(seen) / len(seen), demand, wait, forecast
        )
        missing = target_fraction - self.admitted_fraction
        near = abs(missing) < SNAP_DISTANCE
        return self._set_fraction(
            target_fraction
            if near
            else self.admitted_fraction + FRACTION_SMOOTHING * missing
        )

    def increase_without_reports(self) -> float:
        """Rise while nothing is known: to go on refusing would keep it so."""
        return self._set_fraction(min(1.0, self.admitted_fraction * MAX_GROWTH_FACTOR))

    def _set_fraction(self, level: float) -> float:
        self.admitted_fraction = level
        self._history.append(level)
        return level
