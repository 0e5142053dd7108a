"""The attempts that a whole request may spend."""

from __future__ import annotations

from attrs import define

# sendings beyond the first, over the whole tree of one request
MAX_EXTRA_ATTEMPTS = 3
# extra sendings that a node may make, as a part of the first sendings
RETRY_FRACTION = 0.1
# what a quiet node may still spend at once, and how fast it gets that back
MIN_RETRY_CREDIT = 10.0
MIN_RETRY_CREDIT_PER_S = 1.0
# credit is not saved up beyond this
MAX_RETRY_CREDIT = 100.0


def split_attempts(attempts_left: int) -> int:
    """Return the attempts that go down with one of several downstream calls.

    Half, rounded up, goes along and what is not used comes back; the rest
    stays for the calls made at the same time. The sum over a whole tree never
    exceeds what its root was given.
    """
    return (attempts_left + 1) // 2


@define
class RetryBudget:
    """Limits the retries of a node to a fraction of its first sendings.

    A node with little to send would save up next to nothing, so its credit
    also grows slowly with time, up to a small number.
    """

    credit: float = MIN_RETRY_CREDIT
    _read_s: float = 0.0

    def record_first_attempt(self) -> None:
        """Note a first sending, which earns credit for retries."""
        self.credit = min(MAX_RETRY_CREDIT, self.credit + RETRY_FRACTION)

    def try_spend(self, now_s: float) -> bool:
        """Take the credit for one retry; ``False`` when there is none."""
        self._earn(now_s - self._read_s)
        self._read_s = now_s
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def _earn(self, seconds: float) -> None:
        if self.credit < MIN_RETRY_CREDIT:
            earned = MIN_RETRY_CREDIT_PER_S * seconds
            self.credit = min(MIN_RETRY_CREDIT, self.credit + earned)
