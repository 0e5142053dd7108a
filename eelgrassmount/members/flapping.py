"""Holds back members that fail and return repeatedly (flap damping)."""

from __future__ import annotations

from attrs import define, field, frozen

HALF_LIFE_S = 60.0
MIN_HOLD_SCORE = 1.5
MAX_HOLD_S = 60.0
_MIN_STORED_SCORE = 0.1


@frozen
class Flap:
    """The number of suspicions of one address, decayed up to ``recorded_s``."""

    score: float
    recorded_s: float


def decay_score(flap: Flap, now_s: float) -> float:
    """Return the exponentially decayed score of past suspicions."""
    return flap.score * 0.5 ** ((now_s - flap.recorded_s) / HALF_LIFE_S)


def compute_hold_s(score: float) -> float:
    """Return how long a returned member gets no new work.

    The first suspicion within a few minutes causes no hold, each further one
    doubles it.
    """
    if score < MIN_HOLD_SCORE:
        return 0.0
    return min(MAX_HOLD_S, 2.0**score)


@define
class Flapping:
    """Scores of suspicions and ends of holds by address."""

    _flaps: dict[str, Flap] = field(factory=dict)
    _until_s: dict[str, float] = field(factory=dict)

    def record_suspicion(self, address: str, now_s: float) -> None:
        """Count one suspicion."""
        flap = self._flaps.get(address)
        score = 1.0 if flap is None else decay_score(flap, now_s) + 1.0
        self._flaps[address] = Flap(score, now_s)

    def record_return(self, address: str, now_s: float) -> bool:
        """Hold back a returned member that flaps; return whether it does."""
        flap = self._flaps.get(address)
        hold_s = 0.0 if flap is None else compute_hold_s(decay_score(flap, now_s))
        if hold_s:
            self._until_s[address] = now_s + hold_s
        return hold_s > 0

    def holds(self, address: str) -> bool:
        """Return whether an address is held back."""
        return address in self._until_s

    def release_due(self, now_s: float) -> list[str]:
        """Remove ended holds and old suspicions; return addresses no longer held."""
        due = [key for key, until_s in self._until_s.items() if until_s <= now_s]
        for address in due:
            del self._until_s[address]
        old = [
            key
            for key, flap in self._flaps.items()
            if decay_score(flap, now_s) < _MIN_STORED_SCORE
        ]
        for address in old:
            del self._flaps[address]
        return due
