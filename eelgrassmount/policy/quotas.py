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
DEBT_PART = 0.5
# part of it that a holder has at its start, for the first requests that come to it
FIRST_PART = 0.16
# part of a full bucket from which on nodes may take without asking, and below which
# they are told to ask: the first requests of a surge need not wait for it
FREE_FROM = 0.6
FREE_UNTIL = 0.4
# of the requests in a bucket, one in so many may be taken by nodes that don't ask
FREE_NODES_PART = 0.25
# a holder keeps for itself what its own nodes are likely to ask for in this time
RESERVE_S = 0.25
# requests that are borrowed at once, as the time for which they are likely to last
BORROW_S = 0.5
ROUNDING = 1e-9
# a rate below it, in requests a second, stands for none
LEAST_RATE = 0.01


@frozen
class QuotaBounds:
    """How much more than its quota a team may have run in any window.

    In ``window_s`` seconds it is ``overage`` of the quota of the window, and ``slack``
    requests.
    """

    window_s: float
    overage: float
    slack: float

    def find_debt(self, team: Team) -> float:
        """Return the requests that all holders together may hand out beyond a quota."""
        allowed = team.rate * self.window_s + team.burst
        return DEBT_PART * (self.overage * allowed + self.slack)


@define
class TokenBucket:
    """Requests that may begin now: ``rate`` more each second, up to ``burst``.

    Its level may fall to ``-debt`` by what is asked for, and lower by what was taken
    without asking, but to no more than ``worst`` below zero. It begins with hardly any,
    also where it grows, since whoever takes it over can't know what was taken before.
    Times are in seconds::

        bucket = TokenBucket(read_s=0.0)
        bucket.resize(rate=10.0, burst=20.0, debt=0.0, worst=60.0, now_s=0.0)
        bucket.take(3, now_s=0.2)  # 2
    """

    read_s: float
    rate: float = 0.0
    burst: float = 0.0
    debt: float = 0.0
    worst: float = 0.0
    level: float = 0.0

    def resize(
        self, rate: float, burst: float, debt: float, worst: float, now_s: float
    ) -> None:
        """Change the size; what is beyond a smaller one is lost."""
        self.refill(now_s)
        self.level -= (1.0 - FIRST_PART) * max(0.0, debt - self.debt)
        self.rate = rate
        self.burst = burst
        self.debt = debt
        self.worst = worst
        self.level = min(self.level, burst)

    def refill(self, now_s: float) -> None:
        """Add what the time since the last call has brought."""
        earned = self.rate * max(0.0, now_s - self.read_s)
        self.read_s = max(self.read_s, now_s)
        # what was lent by others may lie above the burst and is not lost
        if self.level < self.burst:
            self.level = min(self.burst, self.level + earned)

    def find_there(self, now_s: float) -> float:
        """Return how many requests may begin now, with parts of one."""
        self.refill(now_s)
        return self.level + self.debt

    def take(self, wanted: int, now_s: float) -> int:
        """Take as many requests as there are, and return their number."""
        # a sum of tenths may lie just below the whole number that it stands for
        there = math.floor(self.find_there(now_s) + ROUNDING)
        taken = max(0, min(wanted, there))
        self.level -= taken
        return taken

    def charge(self, used: float, now_s: float) -> None:
        """Take what has begun without asking, or give back if it is negative."""
        self.refill(now_s)
        if used >= 0:
            self.level = max(-self.worst, self.level - used)
        else:
            self.level = max(self.level, min(self.burst, self.level - used))

    def find_wait(self, ahead: float, now_s: float) -> float:
        """Return the seconds until a request may begin behind ``ahead`` others."""
        missing = max(0.0, 1.0 + ahead - self.find_there(now_s))
        return missing * self.find_gap()

    def find_gap(self) -> float:
        """Return the seconds between two requests of a team that sends many."""
        return 1.0 / max(self.rate, LEAST_RATE)

    def may_be_free(self, free_nodes: int) -> bool:
        """Tell whether one more node may take without asking, beside so many."""
        enough = self.level >= FREE_FROM * self.burst
        return enough and free_nodes + 1 <= FREE_NODES_PART * self.level

    def is_low(self) -> bool:
        """Tell whether nodes must no longer take without asking."""
        return self.level < FREE_UNTIL * self.burst


def find_portion(lenders: int, nodes: int) -> float:
    """Return the part of all quotas that one holder hands out.

    Each node of the deployment stands for an equal part, which it lends to one holder
    at a time; so all parts together are never more than the whole, whoever takes
    himself for a holder.

        >>> find_portion(18, nodes=72)
        0.25
    """
    return min(1.0, lenders / max(1, nodes, lenders))


def plan_borrowing(missing: float, asked_per_s: float) -> float:
    """Return the requests to ask each other holder for, as only one may have any.

    >>> plan_borrowing(1.0, asked_per_s=10.0)
    6.0
    """
    return missing + BORROW_S * asked_per_s


def find_spare(there: float, asked_per_s: float) -> float:
    """Return the requests that a holder may lend to another, also parts of one.

    >>> find_spare(10.0, asked_per_s=8.0)
    8.0
    """
    return max(0.0, there - RESERVE_S * asked_per_s)


def choose_holder(team_name: str, holders: Sequence[str]) -> str | None:
    """Return the holder of a team, which is another one only if that one is gone."""

    def rank(name: str) -> tuple[int, str]:
        return zlib.crc32(f"{team_name} {name}".encode()), name

    return max(holders, key=rank, default=None)
