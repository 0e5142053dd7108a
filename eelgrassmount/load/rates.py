"""Exponentially decaying counts."""

from __future__ import annotations

import math

from attrs import define


@define
class DecayedCount:
    """A count that decays exponentially with the time constant ``window_s``.

    At a constant rate its value is the number of events in one window.
    """

    window_s: float
    _value: float = 0.0
    _updated_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add to the count now."""
        self._value = self.read(now_s) + amount
        self._updated_s = now_s

    def read(self, now_s: float) -> float:
        """Return the decayed count."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._value * math.exp(-elapsed_s / self.window_s)

    def read_per_s(self, now_s: float) -> float:
        """Return the current rate of events, per second."""
        return self.read(now_s) / self.window_s
