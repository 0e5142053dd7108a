"""Smoothed rates of the requests that a node receives."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from eelgrassmount.policy.admission_controller import CONTROL_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Hashable, Mapping

    Key = TypeVar("Key", bound=Hashable)

# Smoothing factor per control step. Lower rates are removed.
RATE_SMOOTHING = 0.3
MIN_RATE_PER_S = 0.01


def smooth_rates(rates: Mapping[Key, float], counts: Mapping[Key, int]) -> dict:
    """Return the rates per second after a control step with these new requests."""
    smoothed = {}
    for key in rates.keys() | counts.keys():
        rate = rates.get(key, 0.0)
        counted = counts.get(key, 0) / CONTROL_INTERVAL_S
        rate += RATE_SMOOTHING * (counted - rate)
        if rate >= MIN_RATE_PER_S:
            smoothed[key] = rate
    return smoothed
