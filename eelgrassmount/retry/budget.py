"""Limits on the retries of one request and of one node."""

from __future__ import annotations

from attrs import define

# Retries over the whole call tree of one request.
MAX_EXTRA_ATTEMPTS = 3
# Retry credit that each first attempt earns.
RETRY_CREDIT_PER_CALL = 0.1
# Credit below this grows with time, so that a node with few calls can retry.
MIN_RETRY_CREDIT = 10.0
MIN_RETRY_CREDIT_PER_S = 1.0
MAX_RETRY_CREDIT = 100.0


def split_attempts(attempts_left: int) -> int:
    """Return the part of the remaining attempts for one downstream call.

    The call gets half, rounded up, and returns what it does not use. The rest is for
    concurrent calls. The sum over a call tree never exceeds the attempts of its root.
    """
    return (attempts_left + 1) // 2


@define
class RetryBudget:
    """Limits the retries of a node to a fraction of its first attempts.

    Low credit also grows with time, up to ``MIN_RETRY_CREDIT``.
    """

    credit: float = MIN_RETRY_CREDIT
    _updated_s: float = 0.0

    def record_first_attempt(self) -> None:
        """Add the retry credit that a first attempt earns."""
        self.credit = min(MAX_RETRY_CREDIT, self.credit + RETRY_CREDIT_PER_CALL)

    def try_spend(self, now_s: float) -> bool:
        """Spend the credit for one retry; return ``False`` if there is too little."""
        self._add_time_credit(now_s - self._updated_s)
        self._updated_s = now_s
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def _add_time_credit(self, seconds: float) -> None:
        if self.credit < MIN_RETRY_CREDIT:
            earned = MIN_RETRY_CREDIT_PER_S * seconds
            self.credit = min(MIN_RETRY_CREDIT, self.credit + earned)
