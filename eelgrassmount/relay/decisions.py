"""Log lines for decisions about single requests, bounded in number."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# lines a second for what went wrong or was done again; a burst may use two seconds'
MAX_LINES_PER_S = 10.0
MAX_BURST_LINES = 20.0
# lines a second for plain successes, as samples
MAX_SAMPLES_PER_S = 0.2


@define(eq=False)
class LineRateLimiter:
    """Counts how many lines may still be written, and those left out."""

    rate_per_s: float
    tokens: float
    dropped: int = 0
    _updated_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Take one line; ``False`` when there is none left."""
        earned = (now_s - self._updated_s) * self.rate_per_s
        self._updated_s = now_s
        self.tokens = min(MAX_BURST_LINES, self.tokens + earned)
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True


@define(eq=False)
class DecisionLog:
    """Writes one line a decision while the budget lasts."""

    clock: Callable[[], float]
    failures: LineRateLimiter
    samples: LineRateLimiter

    @classmethod
    def create(cls, clock: Callable[[], float]) -> DecisionLog:
        """Return a log with the usual budgets."""
        return cls(
            clock,
            LineRateLimiter(MAX_LINES_PER_S, MAX_BURST_LINES),
            LineRateLimiter(MAX_SAMPLES_PER_S, 1),
        )

    def record(
        self, decision: str, request_id: str, outcome: str, **inputs: Any
    ) -> None:
        """Write a line about a refusal, a failure or a second sending."""
        if self.failures.take(self.clock()):
            logger.info(decision, request=request_id, outcome=outcome, **inputs)

    def sample(self, decision: str, request_id: str, **inputs: Any) -> None:
        """Write a line about a success, now and then."""
        if self.samples.take(self.clock()):
            logger.info(decision, request=request_id, outcome="answered", **inputs)

    def report_dropped_lines(self) -> None:
        """Say how many lines about failures were left out since the last time."""
        count = self.failures.dropped
        if count:
            self.failures.dropped = 0
            logger.info("lines left out", count=count)
