"""How many calls runs make, counted on those that ended well."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Mapping

# what was counted fades with this factor each second
FADE = 0.97
# counts below it are as good as none
FORGET_COUNT = 0.5


@define(eq=False)
class CompletedRuns:
    """Counts the calls of runs that ended well, each with all calls that it makes.

    Runs in flight have begun and not yet called: in a surge, to count what is begun
    against what is called makes runs seem to make half of their calls. Calls whose run
    is not known are taken to belong to runs as the others of their route do::

        completed.note_run("book", {"list": 2})
        completed.list_calls()  # {("book", "list"): 2.0}
    """

    runs: dict[str, float] = field(factory=dict)
    _calls: dict[tuple[str, str], float] = field(factory=dict)
    _known: dict[str, float] = field(factory=dict)
    _unknown: dict[str, float] = field(factory=dict)

    def record_run(self, route_name: str, calls: Mapping[str, int]) -> None:
        """Count a run that ended well, with its calls by route."""
        self.runs[route_name] = self.runs.get(route_name, 0.0) + 1.0
        for called, count in calls.items():
            key = (route_name, called)
            self._calls[key] = self._calls.get(key, 0.0) + count

    def record_call(self, called_name: str, known: bool) -> None:
        """Count a call, whose run is known or not."""
        counts = self._known if known else self._unknown
        counts[called_name] = counts.get(called_name, 0.0) + 1.0

    def list_calls(self) -> dict[tuple[str, str], float]:
        """Return the calls of the runs that are counted, by run and called route."""
        return {
            (name, called): count * self._find_missing(called)
            for (name, called), count in self._calls.items()
        }

    def decay(self) -> None:
        """Let what was counted weigh less; it is done once a second."""
        for counts in (self.runs, self._calls, self._known, self._unknown):
            for key in list(counts):
                counts[key] *= FADE
                if counts[key] < FORGET_COUNT:
                    del counts[key]

    def _find_missing(self, called_name: str) -> float:
        """Return by how much calls of a route are more than those of known runs."""
        known = self._known.get(called_name, 0.0)
        if not known:
            return 1.0
        return 1.0 + self._unknown.get(called_name, 0.0) / known
