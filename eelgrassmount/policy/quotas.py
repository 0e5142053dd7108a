"""Divides the quota of a team among the nodes that allocate it.

A team may send its whole quota through a few nodes, so equal parts would refuse most of
it, and counts exchanged among nodes arrive after it is used up. Partitioned, stalled or
restarted nodes must not exceed the quota.
"""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

from attrs import define, frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from eelgrassmount.teams.directory import Team

# Share of the permitted overrun that allocators may grant in advance. The rest covers
# allocators that start and requests admitted without a grant while allocators change.
DEBT_SHARE = 0.5
# Share of its debt that a new allocator may grant at once, for its first requests.
INITIAL_DEBT_SHARE = 0.16
# Nodes may admit requests without a grant from the first fill level of the bucket on,
# and need grants again below the second. The first requests of a surge need not wait.
MIN_FILL_WITHOUT_GRANT = 0.6
GRANT_REQUIRED_FILL = 0.4
NODES_WITHOUT_GRANT_PER_TOKEN = 0.25
# An allocator lends no tokens that its own clients will probably request in this time.
RESERVE_PERIOD_S = 0.25
# Time for which a loan should last.
BORROW_PERIOD_S = 0.5
ROUNDING_TOLERANCE = 1e-9
# Requests per second; bounds the wait of a team with a rate near 0.
MIN_RATE_PER_S = 0.01


@frozen
class QuotaBounds:
    """Permitted overrun of a quota.

    In any window of ``window_s`` seconds a team may exceed its quota by the share
    ``overage`` of the window's quota, burst included, plus ``slack`` requests.
    """

    window_s: float
    overage: float
    slack: float

    def compute_max_debt(self, team: Team) -> float:
        """Return how many requests all allocators may grant beyond the quota."""
        allowed = team.rate * self.window_s + team.burst
        return DEBT_SHARE * (self.overage * allowed + self.slack)


@define
class TokenBucket:
    """A token bucket of ``rate`` requests per second, up to ``burst``.

    Grants may take ``tokens`` down to ``-max_debt``. Requests admitted without a grant
    may take them further down, but not below ``-max_deficit``. New and added capacity
    starts almost empty, since earlier use of it is unknown. Times are in seconds::

        bucket = TokenBucket(refilled_s=0.0)
        bucket.resize(
            rate=10.0, burst=20.0, max_debt=0.0, max_deficit=60.0, now_s=0.0
        )
        bucket.take(3, now_s=0.2)  # 2
    """

    refilled_s: float
    rate: float = 0.0
    burst: float = 0.0
    max_debt: float = 0.0
    max_deficit: float = 0.0
    tokens: float = 0.0

    def resize(
        self,
        rate: float,
        burst: float,
        max_debt: float,
        max_deficit: float,
        now_s: float,
    ) -> None:
        """Change the bucket's size; tokens above a smaller burst are dropped."""
        self.refill(now_s)
        self.tokens -= (1.0 - INITIAL_DEBT_SHARE) * max(0.0, max_debt - self.max_debt)
        self.rate = rate
        self.burst = burst
        self.max_debt = max_debt
        self.max_deficit = max_deficit
        self.tokens = min(self.tokens, burst)

    def refill(self, now_s: float) -> None:
        """Add the tokens earned since the last refill."""
        earned = self.rate * max(0.0, now_s - self.refilled_s)
        self.refilled_s = max(self.refilled_s, now_s)
        # Borrowed tokens may exceed the burst and are retained.
        if self.tokens < self.burst:
            self.tokens = min(self.burst, self.tokens + earned)

    def compute_available(self, now_s: float) -> float:
        """Return how many requests may start now, as a fractional number."""
        self.refill(now_s)
        return self.tokens + self.max_debt

    def take(self, requested: int, now_s: float) -> int:
        """Take up to ``requested`` whole tokens and return their number."""
        # Floating-point sums may lie just below the whole number.
        available = math.floor(self.compute_available(now_s) + ROUNDING_TOLERANCE)
        taken = max(0, min(requested, available))
        self.tokens -= taken
        return taken

    def charge(self, used: float, now_s: float) -> None:
        """Charge requests admitted without a grant; return tokens if negative."""
        self.refill(now_s)
        if used >= 0:
            self.tokens = max(-self.max_deficit, self.tokens - used)
        else:
            self.tokens = max(self.tokens, min(self.burst, self.tokens - used))

    def compute_wait_s(self, ahead: float, now_s: float) -> float:
        """Return the seconds until a request may start behind ``ahead`` others."""
        missing = max(0.0, 1.0 + ahead - self.compute_available(now_s))
        return missing * self.compute_interval_s()

    def compute_interval_s(self) -> float:
        """Return the seconds between two requests at the full rate."""
        return 1.0 / max(self.rate, MIN_RATE_PER_S)

    def may_admit_without_grant(self, nodes_without_grant: int) -> bool:
        """Return whether one more node may admit requests without a grant."""
        enough = self.tokens >= MIN_FILL_WITHOUT_GRANT * self.burst
        return (
            enough
            and nodes_without_grant + 1 <= NODES_WITHOUT_GRANT_PER_TOKEN * self.tokens
        )

    def requires_grants(self) -> bool:
        """Return whether all nodes must request grants."""
        return self.tokens < GRANT_REQUIRED_FILL * self.burst


def compute_allocator_share(lenders: int, nodes: int) -> float:
    """Return the share of all quotas that an allocator with so many lenders grants.

    Each node lends an equal share to one allocator at a time, so the shares never add
    up to more than 1, however many nodes act as allocators.

        >>> compute_allocator_share(18, nodes=72)
        0.25
    """
    return min(1.0, lenders / max(1, nodes, lenders))


def compute_loan_request(missing: float, requested_per_s: float) -> float:
    """Return how many tokens to request from each of the other allocators.

    >>> compute_loan_request(1.0, requested_per_s=10.0)
    6.0
    """
    return missing + BORROW_PERIOD_S * requested_per_s


def compute_spare_tokens(available: float, requested_per_s: float) -> float:
    """Return how many tokens an allocator may lend to another one.

    >>> compute_spare_tokens(10.0, requested_per_s=8.0)
    8.0
    """
    return max(0.0, available - RESERVE_PERIOD_S * requested_per_s)


def choose_allocator(team_name: str, allocators: Sequence[str]) -> str | None:
    """Return the allocator of a team, by rendezvous hashing.

    The choice changes only when that allocator leaves or one of higher rank joins.
    """

    def rank(name: str) -> tuple[int, str]:
        return zlib.crc32(f"{team_name} {name}".encode()), name

    return max(allocators, key=rank, default=None)
