"""Counts of the calls that successful runs make."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Mapping

# Factor by which the counts decay each second.
DECAY_FACTOR = 0.97
# Counts below this are dropped.
MIN_COUNT = 0.5


@define(eq=False, repr=False)
class CompletedRuns:
    """Decaying counts of successful runs and of the calls that they made.

    Only finished runs count, since runs in flight have yet to make part of their calls:
    counting these would underestimate the calls per run while load rises. Calls that
    are not attributed to a run are assumed to be spread over runs like the attributed
    calls to the same route::

        completed.record_run("book", {"list": 2})
        completed.list_calls()  # {("book", "list"): 2.0}
    """

    runs: dict[str, float] = field(factory=dict)
    _calls: dict[tuple[str, str], float] = field(factory=dict)
    _attributed: dict[str, float] = field(factory=dict)
    _unattributed: dict[str, float] = field(factory=dict)

    def record_run(self, route_name: str, calls: Mapping[str, int]) -> None:
        """Count a successful run and its calls by route."""
        self.runs[route_name] = self.runs.get(route_name, 0.0) + 1.0
        for called, count in calls.items():
            key = (route_name, called)
            self._calls[key] = self._calls.get(key, 0.0) + count

    def record_call(self, called_route: str, attributed: bool) -> None:
        """Count a call, whether or not it is attributed to a run."""
        counts = self._attributed if attributed else self._unattributed
        counts[called_route] = counts.get(called_route, 0.0) + 1.0

    def list_calls(self) -> dict[tuple[str, str], float]:
        """Return the estimated calls of the counted runs by run and called route."""
        return {
            (name, called): count * self._compute_correction(called)
            for (name, called), count in self._calls.items()
        }

    def decay(self) -> None:
        """Decay all counts; to be called once a second."""
        for counts in (self.runs, self._calls, self._attributed, self._unattributed):
            for key in list(counts):
                counts[key] *= DECAY_FACTOR
                if counts[key] < MIN_COUNT:
                    del counts[key]

    def _compute_correction(self, called_route: str) -> float:
        """Return the ratio of all calls to a route to its attributed calls."""
        attributed = self._attributed.get(called_route, 0.0)
        if not attributed:
            return 1.0
        return 1.0 + self._unattributed.get(called_route, 0.0) / attributed
