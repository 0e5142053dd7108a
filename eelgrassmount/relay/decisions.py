"""Log lines for decisions about single requests, bounded in number."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# lines a second for what went wrong or was done again; a burst may use two seconds'
LINES_PER_S = 10.0
MAX_SAVED = 20.0
# lines a second for plain successes, as samples
SAMPLES_PER_S = 0.2


@define(eq=False)
class LineBudget:
    """Counts how many lines may still be written, and those left out."""

    rate: float
    saved: float
    left_out: int = 0
    _read_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Take one line; ``False`` when there is none left."""
        earned = (now_s - self._read_s) * self.rate
        self._read_s = now_s
        self.saved = min(MAX_SAVED, self.saved + earned)
        if self.saved < 1.0:
            self.left_out += 1
            return False
        self.saved -= 1.0
        return True


@define(eq=False)
class DecisionLog:
    """Writes one line a decision while the budget lasts."""

    clock: Callable[[], float]
    failures: LineBudget
    samples: LineBudget

    @classmethod
    def create(cls, clock: Callable[[], float]) -> DecisionLog:
        """Return a log with the usual budgets."""
        return cls(
            clock, LineBudget(LINES_PER_S, MAX_SAVED), LineBudget(SAMPLES_PER_S, 1)
        )

    def note(self, decision: str, request_id: str, outcome: str, **inputs: Any) -> None:
        """Write a line about a refusal, a failure or a second sending."""
        if self.failures.take(self.clock()):
            logger.info(decision, request=request_id, outcome=outcome, **inputs)

    def sample(self, decision: str, request_id: str, **inputs: Any) -> None:
        """Write a line about a success, now and then."""
        if self.samples.take(self.clock()):
            logger.info(decision, request=request_id, outcome="answered", **inputs)

    def tell_left_out(self) -> None:
        """Say how many lines about failures were left out since the last time."""
        count = self.failures.left_out
        if count:
            self.failures.left_out = 0
            logger.info("lines left out", count=count)
