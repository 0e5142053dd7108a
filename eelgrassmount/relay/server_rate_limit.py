"""The rate limit that a backend server names in its answers."""

from __future__ import annotations

import math

from attrs import define

from eelgrassmount.policy.quotas import TokenBucket
from eelgrassmount.policy.rate_limits import MIN_RATE_PER_S, compute_burst

# Time without the limit in answers after which it ends. Each end and new beginning is
# reported to all nodes.
END_DELAY_S = 0.5


@define(eq=False, repr=False)
class ServerRateLimit:
    """Keeps the rate limit of a server, in requests per second of all nodes together.

    All calls pass through the node beside the server, so that it alone keeps the
    limit. ``per_s`` is ``None`` while the server names no limit.
    """

    per_s: float | None = None
    _answered: bool = False
    _named_s: float = -math.inf
    _bucket: TokenBucket | None = None

    def restore(self, per_s: float) -> None:
        """Apply a limit that was named before this node started.

        It holds until the first answer, which names the current limit or none.
        """
        if not self._answered:
            self.per_s = per_s

    def apply_answer(self, per_s: float | None, sent_s: float, now_s: float) -> None:
        """Apply the limit that an answer names, or that it names none.

        ``sent_s`` is the time at which the request was sent. An answer without a limit
        ends the current one only if its request was sent some time after the limit was
        last named: answers to earlier requests may arrive late, and a server may name
        its limit in some answers only.
        """
        self._answered = True
        if per_s is not None:
            self._named_s = now_s
            self.per_s = per_s
            self._find_bucket(now_s)
        elif sent_s > self._named_s + END_DELAY_S:
            self.per_s = None
            self._bucket = None

    def clear(self) -> None:
        """Forget the limit, as when the server is replaced."""
        self.per_s = None
        self._answered = False
        self._bucket = None

    def take(self, now_s: float) -> None:
        """Count a call that starts."""
        if self.per_s is not None:
            self._find_bucket(now_s).take(1, now_s)

    def compute_wait_s(self, now_s: float, ahead: int = 0) -> float:
        """Return the seconds until a call may start behind ``ahead`` others."""
        if self.per_s is None:
            return 0.0
        return self._find_bucket(now_s).compute_wait_s(ahead, now_s)

    def _find_bucket(self, now_s: float) -> TokenBucket:
        """Return the bucket of the current limit."""
        rate_per_s = max(MIN_RATE_PER_S, self.per_s)
        if self._bucket is None:
            # Empty, because the server has just run calls at a higher rate.
            self._bucket = TokenBucket(now_s)
        if self._bucket.rate != rate_per_s:
            self._bucket.resize(rate_per_s, compute_burst(rate_per_s), 0.0, 0.0, now_s)
        return self._bucket
