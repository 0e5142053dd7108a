"""Exponential backoff with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    import random

_MAX_DOUBLINGS = 16


def compute_backoff(
    failures: int, rng: random.Random, base_s: float, limit_s: float
) -> float:
    """Return the seconds to wait after ``failures`` consecutive failures.

    The upper bound doubles with each failure, from ``base_s`` up to ``limit_s``. The
    wait is a random value from half the bound to the bound, so that nodes that
    failed together don't retry together.
    """
    doublings = min(max(failures - 1, 0), _MAX_DOUBLINGS)
    ceiling_s = min(limit_s, base_s * 2.0**doublings)
    return ceiling_s * rng.uniform(0.5, 1.0)


@define
class Backoff:
    """Counts consecutive failures and computes the delay before a retry.

    For example::

        backoff = Backoff(rng)
        backoff.fail()  # 0.1 to 0.2 seconds
        backoff.fail()  # 0.2 to 0.4 seconds
        backoff.reset()
    """

    rng: random.Random
    base_s: float = 0.2
    limit_s: float = 5.0
    failures: int = 0

    def fail(self) -> float:
        """Count a failure and return the seconds to wait before a retry."""
        self.failures += 1
        return compute_backoff(self.failures, self.rng, self.base_s, self.limit_s)

    def reset(self) -> None:
        """Reset the failure count after a success."""
        self.failures = 0
