"""Rate-limited log lines for decisions about single requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

# Failures and retries; the burst is two seconds of lines.
MAX_LINES_PER_S = 10.0
MAX_BURST_LINES = 20.0
# Successful requests.
MAX_SAMPLES_PER_S = 0.2


@define(eq=False, repr=False)
class LineRateLimiter:
    """Token bucket for log lines; counts the lines dropped."""

    rate_per_s: float
    tokens: float
    dropped: int = 0
    _updated_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Return whether another line may be written, and take a token for it."""
        earned = (now_s - self._updated_s) * self.rate_per_s
        self._updated_s = now_s
        self.tokens = min(MAX_BURST_LINES, self.tokens + earned)
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True


@define(eq=False, repr=False)
class DecisionLog:
    """Logs one line per decision within the rate limits."""

    clock: Callable[[], float]
    failures: LineRateLimiter
    samples: LineRateLimiter

    @classmethod
    def create(cls, clock: Callable[[], float]) -> DecisionLog:
        """Return a log with the default limits."""
        return cls(
            clock,
            LineRateLimiter(MAX_LINES_PER_S, MAX_BURST_LINES),
            LineRateLimiter(MAX_SAMPLES_PER_S, 1),
        )

    def record(
        self, decision: str, request_id: str, outcome: str, **inputs: Any
    ) -> None:
        """Log a refusal, a failure or a retry."""
        if self.failures.take(self.clock()):
            logger.info(decision, request=request_id, outcome=outcome, **inputs)

    def may_sample(self) -> bool:
        """Return whether to log a successful request, and count its line."""
        return self.samples.take(self.clock())

    def sample(self, decision: str, request_id: str, **inputs: Any) -> None:
        """Log a successful request, after `may_sample` has allowed it."""
        logger.info(decision, request=request_id, outcome="answered", **inputs)

    def report_dropped_lines(self) -> None:
        """Log how many lines were dropped since the last report."""
        count = self.failures.dropped
        if count:
            self.failures.dropped = 0
            logger.info("lines left out", count=count)
