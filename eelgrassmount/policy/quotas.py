"""How the quota of a team is divided among those who hand it out.

The load that this answers: a team sends many times its usual through a few of many
nodes, so that equal parts would refuse most of what it may have, and counts that go
round among the nodes are too old by the time at which it has used up its quota. Nodes
that are cut off, stand still or start anew must not hand out more than the quota.
"""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

from attrs import define, frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from eelgrassmount.teams.directory import Team

# part of what may be run beyond the quota that holders may hand out. The rest is for
# those that start, and for what is begun without asking while holders change
DEBT_SHARE = 0.5
# part of it that a holder has at its start, for the first requests that come to it
INITIAL_DEBT_SHARE = 0.16
# part of a full bucket from which on nodes may take without asking, and below which
# they are told to ask: the first requests of a surge need not wait for it
MIN_FILL_WITHOUT_GRANT = 0.6
GRANT_REQUIRED_FILL = 0.4
# of the requests in a bucket, one in so many may be taken by nodes that don't ask
NODES_WITHOUT_GRANT_PER_TOKEN = 0.25
# a holder keeps for itself what its own nodes are likely to ask for in this time
RESERVE_PERIOD_S = 0.25
# requests that are borrowed at once, as the time for which they are likely to last
BORROW_PERIOD_S = 0.5
ROUNDING_TOLERANCE = 1e-9
# a rate below it, in requests a second, stands for none
MIN_RATE_PER_S = 0.01


@frozen
class QuotaBounds:
    """How much more than its quota a team may have run in any window.

    In ``window_s`` seconds it is ``overage`` of the quota of the window, and ``slack``
    requests.
    """

    window_s: float
    overage: float
    slack: float

    def compute_max_debt(self, team: Team) -> float:
        """Return the requests that all holders together may hand out beyond a quota."""
        allowed = team.rate * self.window_s + team.burst
        return DEBT_SHARE * (self.overage * allowed + self.slack)


@define
class TokenBucket:
    """Requests that may begin now: ``rate`` more each second, up to ``burst``.

    Its level may fall to ``-debt`` by what is asked for, and lower by what was taken
    without asking, but to no more than ``max_deficit`` below zero. It begins with hardly any,
    also where it grows, since whoever takes it over can't know what was taken before.
    Times are in seconds::

        bucket = TokenBucket(read_s=0.0)
        bucket.resize(rate=10.0, burst=20.0, debt=0.0, worst=60.0, now_s=0.0)
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
        """Change the size; what is beyond a smaller one is lost."""
        self.refill(now_s)
        self.tokens -= (1.0 - INITIAL_DEBT_SHARE) * max(0.0, max_debt - self.max_debt)
        self.rate = rate
        self.burst = burst
        self.max_debt = max_debt
        self.max_deficit = max_deficit
        self.tokens = min(self.tokens, burst)

    def refill(self, now_s: float) -> None:
        """Add what the time since the last call has brought."""
        earned = self.rate * max(0.0, now_s - self.refilled_s)
        self.refilled_s = max(self.refilled_s, now_s)
        # what was lent by others may lie above the burst and is not lost
        if self.tokens < self.burst:
            self.tokens = min(self.burst, self.tokens + earned)

    def compute_available(self, now_s: float) -> float:
        """Return how many requests may begin now, with parts of one."""
        self.refill(now_s)
        return self.tokens + self.max_debt

    def take(self, requested: int, now_s: float) -> int:
        """Take as many requests as there are, and return their number."""
        # a sum of tenths may lie just below the whole number that it stands for
        available = math.floor(self.compute_available(now_s) + ROUNDING_TOLERANCE)
        taken = max(0, min(requested, available))
        self.tokens -= taken
        return taken

    def charge(self, used: float, now_s: float) -> None:
        """Take what has begun without asking, or give back if it is negative."""
        self.refill(now_s)
        if used >= 0:
            self.tokens = max(-self.max_deficit, self.tokens - used)
        else:
            self.tokens = max(self.tokens, min(self.burst, self.tokens - used))

    def compute_wait_s(self, ahead: float, now_s: float) -> float:
        """Return the seconds until a request may begin behind ``ahead`` others."""
        missing = max(0.0, 1.0 + ahead - self.compute_available(now_s))
        return missing * self.compute_interval_s()

    def compute_interval_s(self) -> float:
        """Return the seconds between two requests of a team that sends many."""
        return 1.0 / max(self.rate, MIN_RATE_PER_S)

    def may_admit_without_grant(self, nodes_without_grant: int) -> bool:
        """Tell whether one more node may take without asking, beside so many."""
        enough = self.tokens >= MIN_FILL_WITHOUT_GRANT * self.burst
        return (
            enough
            and nodes_without_grant + 1 <= NODES_WITHOUT_GRANT_PER_TOKEN * self.tokens
        )

    def requires_grants(self) -> bool:
        """Tell whether nodes must no longer take without asking."""
        return self.tokens < GRANT_REQUIRED_FILL * self.burst


def compute_allocator_share(lenders: int, nodes: int) -> float:
    """Return the part of all quotas that one holder hands out.

    Each node of the deployment stands for an equal part, which it lends to one holder
    at a time; so all parts together are never more than the whole, whoever takes
    himself for a holder.

        >>> compute_allocator_share(18, nodes=72)
        0.25
    """
    return min(1.0, lenders / max(1, nodes, lenders))


def compute_loan_request(missing: float, requested_per_s: float) -> float:
    """Return the requests to ask each other holder for, as only one may have any.

    >>> compute_loan_request(1.0, requested_per_s=10.0)
    6.0
    """
    return missing + BORROW_PERIOD_S * requested_per_s


def compute_spare_tokens(available: float, requested_per_s: float) -> float:
    """Return the requests that a holder may lend to another, also parts of one.

    >>> compute_spare_tokens(10.0, requested_per_s=8.0)
    8.0
    """
    return max(0.0, available - RESERVE_PERIOD_S * requested_per_s)


def choose_allocator(team_name: str, holders: Sequence[str]) -> str | None:
    """Return the holder of a team, which is another one only if that one is gone."""

    def rank(name: str) -> tuple[int, str]:
        return zlib.crc32(f"{team_name} {name}".encode()), name

    return max(holders, key=rank, default=None)
