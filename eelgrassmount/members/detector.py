"""Suspicion of members: whom to probe, how long to wait, when to give a verdict."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.members.timing import Timing, compute_dead_s

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

_MAX_HANDICAP = 4
_GAIN = 0.125
_DEVIATIONS = 8.0


@define
class RoundTrip:
    """The observed time from a probe to its answer, smoothed."""

    mean_s: float = 0.0
    deviation_s: float = 0.0

    def note(self, seconds: float) -> None:
        """Take one observation in."""
        if not self.mean_s:
            self.mean_s = seconds
            self.deviation_s = seconds / 2
            return
        self.deviation_s += _GAIN * (abs(seconds - self.mean_s) - self.deviation_s)
        self.mean_s += _GAIN * (seconds - self.mean_s)


def compute_probe_s(timing: Timing, trip: RoundTrip, handicap: int) -> float:
    """Return how long to wait for the answer to a probe.

    It follows the observed answers, and a node whose own probes failed lately
    (its ``handicap``) is more patient: the fault may be its own.
    """
    usual_s = trip.mean_s + _DEVIATIONS * trip.deviation_s
    least_s = max(timing.probe_least_s, usual_s) * (1 + handicap)
    return min(timing.probe_most_s, least_s)


@define
class Detector:
    """What this node holds against its members.

    A suspicion has a deadline; unless it is refuted until then, the member is
    declared dead. Each round probes the next member of a shuffled order, so that each
    member is probed by everyone within one pass.
    """

    timing: Timing
    rng: random.Random
    trip: RoundTrip = field(factory=RoundTrip)
    handicap: int = 0
    _order: list[str] = field(factory=list)
    _deadlines: dict[str, float] = field(factory=dict)

    def choose_target(self, present: Collection[str]) -> str | None:
        """Return the next address to probe out of those present."""
        while self._order:
            address = self._order.pop()
            if address in present:
                return address
        self._order = sorted(present)
        self.rng.shuffle(self._order)
        return self._order.pop() if self._order else None

    def compute_timeout_s(self) -> float:
        """Return how long to wait for the next answer."""
        return compute_probe_s(self.timing, self.trip, self.handicap)

    def note_answer(self, seconds: float) -> None:
        """Take in that a probe was answered after ``seconds``."""
        self.trip.note(seconds)
        self.handicap = max(0, self.handicap - 1)

    def note_silence(self) -> None:
        """Take in that a probe was answered by nobody."""
        self.handicap = min(_MAX_HANDICAP, self.handicap + 1)

    def start_suspicion(self, address: str, members: int, now_s: float) -> None:
        """Start the time within which a suspicion must be refuted."""
        patience = 1.0 + self.handicap / _MAX_HANDICAP
        wait_s = compute_dead_s(self.timing, members) * patience
        self._deadlines.setdefault(address, now_s + wait_s)

    def end_suspicion(self, address: str) -> None:
        """Drop a suspicion that was refuted or became a verdict."""
        self._deadlines.pop(address, None)

    def extend_suspicions(self, seconds: float) -> None:
        """Give every suspect more time, after a gap in this node's own time."""
        for address in self._deadlines:
            self._deadlines[address] += seconds

    def find_overdue(self, now_s: float) -> list[str]:
        """Return the suspects whose time to refute has passed."""
        return [
            address
            for address, deadline_s in self._deadlines.items()
            if deadline_s <= now_s
        ]
