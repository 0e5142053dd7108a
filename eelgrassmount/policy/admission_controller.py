"""Computes the fraction of the offered load that an overloaded service admits.

Calls arrive up to a second after their requests were admitted, and load reports later
still. A feedback loop that ignores this delay reacts late and then overshoots.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field

from eelgrassmount.policy.forecast import estimate_offered_load

# Target demand, and the target while the mean wait exceeds its maximum.
TARGET_DEMAND = 0.97
TARGET_DEMAND_WITH_DELAY = 0.87
# Demand assumed while the mean wait exceeds its maximum. Measured demand is too low
# when servers slow down, and would raise the admitted fraction while requests fail.
MIN_DEMAND_WITH_DELAY = 0.95
DEMAND_PER_WAIT = 0.05
MAX_DEMAND_WITH_DELAY = 1.1
MIN_ADMITTED_FRACTION = 0.02
# Lower demand is too little to estimate the offered load.
MIN_DEMAND = 0.02
CONTROL_INTERVAL_S = 0.2
# Range of control steps after which admitted requests show up in measured demand: their
# calls follow each other for about a second, and mean demand is some steps old.
MIN_EFFECT_DELAY_STEPS = 2
MAX_EFFECT_DELAY_STEPS = 8
# Smoothing factor of the admitted fraction, per control step. With larger steps, the
# fraction follows the random variation of the counts.
FRACTION_SMOOTHING = 0.4
# Smaller differences are applied at once, so that the fraction reaches its target.
SNAP_DISTANCE = 0.01
# Growth factor per control step while no server reports its load.
MAX_GROWTH_FACTOR = 1.15
MAX_REPORT_AGE_STEPS = 8


def adjust_for_wait(demand: float, wait: float) -> tuple[float, float]:
    """Return the target demand and the demand to compare with it.

    Both are fractions of capacity; ``wait`` is relative to the maximum mean wait.
    """
    if wait <= 1.0:
        return TARGET_DEMAND, demand
    demand_by_wait = min(
        MAX_DEMAND_WITH_DELAY, MIN_DEMAND_WITH_DELAY + DEMAND_PER_WAIT * wait
    )
    return TARGET_DEMAND_WITH_DELAY, max(demand, demand_by_wait)


def compute_admitted_fraction(
    applied_fraction: float, demand: float, wait: float, forecast: float = 0.0
) -> float:
    """Return the fraction of the offered load at which demand meets its target.

    ``applied_fraction`` is the mean fraction at which the demand was admitted.
    ``forecast`` is the demand that follows from the requests that clients send.

        >>> round(
        ...     compute_admitted_fraction(
        ...         applied_fraction=0.5, demand=0.485, wait=0.0
        ...     ),
        ...     2,
        ... )
        1.0
        >>> round(
        ...     compute_admitted_fraction(
        ...         applied_fraction=0.5, demand=0.97, wait=0.0, forecast=4.0
        ...     ),
        ...     2,
        ... )
        0.24
    """
    target, demand = adjust_for_wait(demand, wait)
    measured = max(MIN_DEMAND, demand) / applied_fraction
    offered = estimate_offered_load(measured, forecast, demand)
    return min(1.0, max(MIN_ADMITTED_FRACTION, target / offered))


@define
class AdmissionController:
    """Sets the admitted fraction of a service from its demand.

    Queue lengths are no control signal: a backlog outlasts the demand that caused it,
    and they differ between fast and slow servers.
    """

    admitted_fraction: float = 1.0
    _history: deque[float] = field(init=False)
    _steps_at_full: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Fill the history with the initial fraction."""
        steps = MAX_EFFECT_DELAY_STEPS + MAX_REPORT_AGE_STEPS
        self._history = deque([self.admitted_fraction] * steps, maxlen=steps)
        self._steps_at_full = steps if self.admitted_fraction == 1.0 else 0

    def update(
        self, demand: float, wait: float, age_steps: int = 0, forecast: float = 0.0
    ) -> float:
        """Run one control step and return the admitted fraction.

        ``demand`` is relative to capacity and ``wait`` to the maximum mean wait, as
        reported ``age_steps`` ago. ``forecast`` is the demand forecast from current
        requests.
        """
        target_fraction = compute_admitted_fraction(
            self._compute_applied_fraction(age_steps), demand, wait, forecast
        )
        difference = target_fraction - self.admitted_fraction
        is_near = abs(difference) < SNAP_DISTANCE
        return self._set_fraction(
            target_fraction
            if is_near
            else self.admitted_fraction + FRACTION_SMOOTHING * difference
        )

    def stays_open(self, demand: float, wait: float, forecast: float = 0.0) -> bool:
        """Return whether `update` would change nothing, whatever the age of reports.

        This holds if all load has been admitted for long, and there is room for it::

            AdmissionController().stays_open(demand=0.5, wait=0.0)  # True
        """
        return (
            self._steps_at_full >= len(self._history)
            and wait <= 1.0
            and demand <= TARGET_DEMAND
            and forecast <= TARGET_DEMAND
        )

    def _compute_applied_fraction(self, age_steps: int) -> float:
        """Return the mean fraction at which the reported demand was admitted."""
        if self._steps_at_full >= len(self._history):
            return 1.0
        age = min(MAX_REPORT_AGE_STEPS, age_steps)
        history = list(self._history)
        applied = history[
            -MAX_EFFECT_DELAY_STEPS - age : len(history)
            - MIN_EFFECT_DELAY_STEPS
            - age
            + 1
        ]
        return sum(applied) / len(applied)

    def increase_without_reports(self) -> float:
        """Raise the fraction, since a service without calls may report no load."""
        return self._set_fraction(min(1.0, self.admitted_fraction * MAX_GROWTH_FACTOR))

    def _set_fraction(self, fraction: float) -> float:
        self.admitted_fraction = fraction
        self._history.append(fraction)
        self._steps_at_full = self._steps_at_full + 1 if fraction == 1.0 else 0
        return fraction
