"""Holding back members that come and go."""

from __future__ import annotations

from attrs import define, field, frozen

HALF_LIFE_S = 60.0
HOLD_FROM_SCORE = 1.5
MAX_HOLD_S = 60.0
_FORGET_SCORE = 0.1


@frozen
class Flap:
    """The suspicions of one address, each counting less as time goes by."""

    score: float
    noted_s: float


def decay_score(flap: Flap, now_s: float) -> float:
    """Return what the suspicions of the past still count for."""
    return flap.score * 0.5 ** ((now_s - flap.noted_s) / HALF_LIFE_S)


def compute_hold_s(score: float) -> float:
    """Return how long a member that came back gets no new work.

    The first suspicion within a few minutes costs nothing, each further one
    doubles the hold.
    """
    if score < HOLD_FROM_SCORE:
        return 0.0
    return min(MAX_HOLD_S, 2.0**score)


@define
class Flapping:
    """The suspicions by address, and until when each address is held back."""

    _flaps: dict[str, Flap] = field(factory=dict)
    _until_s: dict[str, float] = field(factory=dict)

    def note_suspicion(self, address: str, now_s: float) -> None:
        """Count one suspicion."""
        flap = self._flaps.get(address)
        score = 1.0 if flap is None else decay_score(flap, now_s) + 1.0
        self._flaps[address] = Flap(score, now_s)

    def note_return(self, address: str, now_s: float) -> bool:
        """Hold a member that came back, if it did so too often; tell whether."""
        flap = self._flaps.get(address)
        hold_s = 0.0 if flap is None else compute_hold_s(decay_score(flap, now_s))
        if hold_s:
            self._until_s[address] = now_s + hold_s
        return hold_s > 0

    def holds(self, address: str) -> bool:
        """Tell whether an address is held back."""
        return address in self._until_s

    def release_due(self, now_s: float) -> list[str]:
        """Return the addresses whose hold has ended, and forget old suspicions."""
        due = [key for key, until_s in self._until_s.items() if until_s <= now_s]
        for address in due:
            del self._until_s[address]
        old = [
            key
            for key, flap in self._flaps.items()
            if decay_score(flap, now_s) < _FORGET_SCORE
        ]
        for address in old:
            del self._flaps[address]
        return due
