"""Failure detector: order of probes, probe timeouts and deadlines of suspicions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.members.timing import Timing, compute_suspicion_timeout_s

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

_MAX_HEALTH_SCORE = 4
_SMOOTHING = 0.125
_TIMEOUT_DEVIATIONS = 8.0


@define
class RoundTrip:
    """Moving average and deviation of the time from a probe to its answer."""

    mean_s: float = 0.0
    deviation_s: float = 0.0

    def add_sample(self, seconds: float) -> None:
        """Update the averages with one sample."""
        if not self.mean_s:
            self.mean_s = seconds
            self.deviation_s = seconds / 2
            return
        self.deviation_s += _SMOOTHING * (abs(seconds - self.mean_s) - self.deviation_s)
        self.mean_s += _SMOOTHING * (seconds - self.mean_s)


def compute_probe_timeout_s(
    timing: Timing, round_trip: RoundTrip, health_score: int
) -> float:
    """Return how long to wait for the answer to a probe.

    The timeout follows the observed round trips and grows with ``health_score``,
    since a node whose probes of several members fail may be at fault itself.
    """
    expected_s = round_trip.mean_s + _TIMEOUT_DEVIATIONS * round_trip.deviation_s
    timeout_s = max(timing.min_probe_timeout_s, expected_s) * (1 + health_score)
    return min(timing.max_probe_timeout_s, timeout_s)


@define
class Detector:
    """Chooses members to probe and stores the deadlines of suspicions.

    A suspect that does not refute the suspicion by its deadline is declared
    dead. Each round probes the next member of a shuffled order, so that each
    member is probed in every pass. ``health_score`` is 0 for a healthy node and
    rises with probes that nobody answered.
    """

    timing: Timing
    rng: random.Random
    round_trip: RoundTrip = field(factory=RoundTrip)
    health_score: int = 0
    _order: list[str] = field(factory=list)
    _deadlines: dict[str, float] = field(factory=dict)

    def choose_target(self, present: Collection[str]) -> str | None:
        """Return the next of the present addresses to probe."""
        while self._order:
            address = self._order.pop()
            if address in present:
                return address
        self._order = sorted(present)
        self.rng.shuffle(self._order)
        return self._order.pop() if self._order else None

    def compute_timeout_s(self) -> float:
        """Return how long to wait for the answer to the next probe."""
        return compute_probe_timeout_s(self.timing, self.round_trip, self.health_score)

    def record_answer(self, seconds: float) -> None:
        """Record that a probe was answered after ``seconds``."""
        self.round_trip.add_sample(seconds)
        self.health_score = max(0, self.health_score - 1)

    def record_timeout(self) -> None:
        """Record that neither the target nor a helper answered a probe."""
        self.health_score = min(_MAX_HEALTH_SCORE, self.health_score + 1)

    def start_suspicion(self, address: str, members: int, now_s: float) -> None:
        """Set the deadline of a suspicion, unless it has one."""
        timeout_factor = 1.0 + self.health_score / _MAX_HEALTH_SCORE
        wait_s = compute_suspicion_timeout_s(self.timing, members) * timeout_factor
        self._deadlines.setdefault(address, now_s + wait_s)

    def end_suspicion(self, address: str) -> None:
        """Remove the deadline of a suspicion that was refuted or confirmed."""
        self._deadlines.pop(address, None)

    def extend_suspicions(self, seconds: float) -> None:
        """Extend all deadlines by the time for which this process was paused."""
        for address in self._deadlines:
            self._deadlines[address] += seconds

    def find_overdue(self, now_s: float) -> list[str]:
        """Return the suspects whose deadline has passed."""
        return [
            address
            for address, deadline_s in self._deadlines.items()
            if deadline_s <= now_s
        ]
