"""Computes the retry delay that is sent to refused callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.load.rates import DecayedCount

if TYPE_CHECKING:
    import random

_WINDOW_S = 5.0
_MIN_DELAY_S = 0.5
_MAX_DELAY_S = 30.0
_JITTER_SHARE = 0.5


@define
class AdmissionMeter:
    """Counts recently admitted and refused calls."""

    admitted: DecayedCount = field(factory=lambda: DecayedCount(_WINDOW_S))
    refused: DecayedCount = field(factory=lambda: DecayedCount(_WINDOW_S))

    def record_admitted(self, now_s: float) -> None:
        """Count an admitted call."""
        self.admitted.add(1.0, now_s)

    def record_refused(self, now_s: float) -> None:
        """Count a refused call."""
        self.refused.add(1.0, now_s)


def compute_retry_after(meter: AdmissionMeter, now_s: float) -> float:
    """Return the mean delay, in seconds, after which refused callers should retry.

    This is the time needed to admit all recently refused calls at the current rate, so
    that the retries stay within that rate.
    """
    admitted_per_s = max(meter.admitted.read_per_s(now_s), 1.0)
    delay_s = meter.refused.read(now_s) / admitted_per_s
    return min(max(delay_s, _MIN_DELAY_S), _MAX_DELAY_S)


def spread_retry_after(delay_s: float, rng: random.Random) -> float:
    """Return the delay with random jitter, so that callers don't retry all at once."""
    return delay_s * rng.uniform(1.0 - _JITTER_SHARE, 1.0 + _JITTER_SHARE)
