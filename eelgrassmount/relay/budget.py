"""Retry budget of a service, shared by its dispatchers."""

from __future__ import annotations

import math
import random
from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.completion import compute_min_level, compute_retry_bid
from eelgrassmount.policy.retries import (
    COUNTED_PARTS,
    PARTS_PER_WINDOW,
    PLANNED_REFILL_SHARE,
    REFILL_SHARE,
    RetryAllowance,
    compute_planned_allowance,
    compute_reserved_share,
    compute_retry_allowance,
    count_budget_requests,
    refill_tokens,
    round_randomly,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from eelgrassmount.relay.messages import Origin

BUCKETS_PER_WINDOW = 20
# Where retries are planned. The oldest bucket of a window counts in full, so that
# longer ones would waste more of the budget.
PLANNED_BUCKETS_PER_WINDOW = 48
# Windows whose requests count for the retry budget.
MAX_PAST_WINDOWS = 2
# Discount for requests of earlier windows. Nodes have their peaks in different
# windows, and the sum of the peaks exceeds the requests of any single window.
EARLIER_WEIGHT = 0.7


class RetryDecision(StrEnum):
    """What a dispatcher decides on a retry."""

    GRANTED = "granted"
    # Too few tokens are left for a request of this value.
    OUTBID = "outbid"
    # The allowance of the window is used up.
    SPENT = "spent"
    # A call of a repeated run, which is always charged.
    INHERITED = "inherited"


@define
class BucketCounter:
    """Counts events in time buckets; the last bucket is still open."""

    bucket_s: float
    length: int
    _counts: deque[int] = field(factory=deque)
    _latest_bucket: int = 0

    def add(self, now_s: float) -> None:
        """Count an event."""
        self._advance(now_s)
        self._counts[-1] += 1

    def count(self, now_s: float, newest: int, buckets: int) -> int:
        """Return the events of some buckets; ``newest`` 0 is the open bucket."""
        self._advance(now_s)
        end = len(self._counts) - newest
        return sum(list(self._counts)[max(0, end - buckets) : max(0, end)])

    def _advance(self, now_s: float) -> None:
        bucket = int(now_s / self.bucket_s)
        new_buckets = min(self.length, bucket - self._latest_bucket)
        self._counts.extend([0] * new_buckets)
        self._latest_bucket = max(self._latest_bucket, bucket)
        while len(self._counts) > self.length:
            self._counts.popleft()


@define
class RetryPlan:
    """The retries that a dispatcher may send in the present time bucket.

    ``headroom`` is the number that it may still send in any window that includes now.
    """

    bucket: int = -1
    allowed: RetryAllowance = RetryAllowance(0.0, 0.0)
    headroom: float = 0.0


@define
class ServiceBudget:
    """Recent requests and retries of one service.

    ``tokens`` are the retries that may be sent now. ``random_draw``, from 0 to 1, was
    drawn in the window ``draw_window``.
    """

    window_s: float
    buckets: int = BUCKETS_PER_WINDOW
    tokens: float = math.inf
    refilled_s: float = 0.0
    random_draw: float = 1.0
    draw_window: int = -1
    plan: RetryPlan = field(factory=RetryPlan)
    requests: BucketCounter = field(init=False)
    retries: BucketCounter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the counters."""
        bucket_s = self.window_s / self.buckets
        self.requests = BucketCounter(bucket_s, MAX_PAST_WINDOWS * self.buckets + 1)
        self.retries = BucketCounter(bucket_s, self.buckets + 1)

    def count_requests(self, now_s: float) -> float:
        """Return the highest request count of this window and recent ones.

        The window ending half a window ago and the one ending a whole window ago are
        included with a lower weight: when an overload drives callers away, earlier
        requests still need their retries.
        """
        earlier = max(
            self.requests.count(now_s, newest, self.buckets)
            for newest in (self.buckets // 2, self.buckets)
        )
        return max(
            self.requests.count(now_s, 0, self.buckets), EARLIER_WEIGHT * earlier
        )

    def list_request_parts(self, now_s: float) -> list[int]:
        """Return the requests in each part of two windows, the latest first."""
        length = self.buckets // PARTS_PER_WINDOW
        return [
            self.requests.count(now_s, part * length, length)
            for part in range(COUNTED_PARTS)
        ]

    def refill(
        self,
        allowed: RetryAllowance,
        now_s: float,
        refill_share: float = REFILL_SHARE,
    ) -> None:
        """Add the tokens earned since the last call."""
        windows = (now_s - self.refilled_s) / self.window_s
        self.tokens = refill_tokens(self.tokens, allowed, windows, refill_share)
        self.refilled_s = now_s

    def spend(self, now_s: float) -> None:
        """Count a retry."""
        self.retries.add(now_s)
        self.tokens -= 1.0
        self.plan.headroom -= 1.0

    def count_retries(self, now_s: float, parts_ahead: int = 0) -> int:
        """Return an upper bound of the retries so far in the window of a time ahead."""
        past = PARTS_PER_WINDOW - parts_ahead
        buckets = past * self.buckets // PARTS_PER_WINDOW
        return self.retries.count(now_s, 0, buckets + 1)

    def has_current_plan(self, now_s: float) -> bool:
        """Return whether the plan was made in the present time bucket."""
        return self.plan.bucket == int(now_s / self.requests.bucket_s)


@define(eq=False, repr=False)
class RetryBudget:
    """Limits the retries of a service over all of its nodes.

    Each dispatcher allows retries in proportion to the requests that it receives, plus
    its share of the slack, which is divided among ``count_nodes()`` dispatchers.

    If ``plans_retries()``, retries of a leaf service use nearly all of the budget and
    have a price, see `compute_retry_bid`. ``find_other_requests`` then returns the
    requests of all other dispatchers of the service by part of a window, ``None`` if
    some are unknown, and ``find_rejected_share`` the share of calls that the server
    rejects. ``on_decision`` is called with each decision.
    """

    clock: Callable[[], float]
    ratio: float
    window_s: float
    slack: float
    count_nodes: Callable[[], int]
    rng: random.Random = field(factory=random.Random)
    plans_retries: Callable[[], bool] = lambda: False
    find_other_requests: Callable[[str], Collection[list[int]] | None] = (
        lambda service: None
    )
    find_rejected_share: Callable[[], float] = lambda: 0.0
    on_decision: Callable[[RetryDecision], None] = lambda decision: None
    _budgets: dict[str, ServiceBudget] = field(factory=dict)

    def count_request(self, service: str) -> None:
        """Count the first attempt of a call."""
        self._get_budget(service).requests.add(self.clock())

    def count_inherited_retry(self, service: str) -> None:
        """Charge a call of a retried run to the budget as a retry."""
        self._get_budget(service).spend(self.clock())
        self.on_decision(RetryDecision.INHERITED)

    def take(self, service: str, origin: Origin, is_leaf: bool) -> bool:
        """Return whether a call may be retried, and charge the retry to the budget.

        ``is_leaf`` is set if the run makes no downstream calls.
        """
        if is_leaf and self.plans_retries():
            decision = self._decide_planned(service, origin)
        else:
            decision = self._decide(service, origin, is_leaf)
        self.on_decision(decision)
        return decision is RetryDecision.GRANTED

    def _decide(self, service: str, origin: Origin, is_leaf: bool) -> RetryDecision:
        budget = self._get_budget(service)
        now_s = self.clock()
        allowed = compute_retry_allowance(
            budget.count_requests(now_s),
            self.ratio,
            self.slack,
            self.count_nodes(),
            is_leaf,
        )
        if budget.count_retries(now_s) + 1 > self._round_allowance(
            budget, allowed.total, now_s
        ):
            return RetryDecision.SPENT
        budget.refill(allowed, now_s)
        reserved = compute_reserved_share(origin.remaining_runs, origin.priority)
        return self._spend_above(budget, allowed.burst, reserved, now_s)

    def _decide_planned(self, service: str, origin: Origin) -> RetryDecision:
        budget = self._get_budget(service)
        now_s = self.clock()
        if not budget.has_current_plan(now_s):
            budget.plan = self._make_plan(service, budget, now_s)
        allowed = budget.plan.allowed
        # Refilled also while retries are refused, or the tokens of that time would
        # allow a burst.
        budget.refill(allowed, now_s, PLANNED_REFILL_SHARE)
        if budget.plan.headroom < 1.0:
            return RetryDecision.SPENT
        bid = compute_retry_bid(
            origin.remaining_runs, origin.priority, self.find_rejected_share()
        )
        reserved = compute_min_level(bid)
        return self._spend_above(budget, allowed.burst, reserved, now_s)

    def _make_plan(
        self, service: str, budget: ServiceBudget, now_s: float
    ) -> RetryPlan:
        """Return the retries that fit into this window and those that follow.

        Retries count for a window after they were sent. By then, the requests that
        allowed them may lie in different windows.
        """
        own = budget.list_request_parts(now_s)
        others = self.find_other_requests(service)
        allowances = [
            compute_planned_allowance(
                count_budget_requests(own, others, parts_ahead),
                self.ratio,
                self.slack,
                self.count_nodes(),
            )
            for parts_ahead in range(PARTS_PER_WINDOW)
        ]
        headroom = min(
            self._round_allowance(budget, allowed.total, now_s)
            - budget.count_retries(now_s, parts_ahead)
            for parts_ahead, allowed in enumerate(allowances)
        )
        bucket = int(now_s / budget.requests.bucket_s)
        return RetryPlan(bucket, allowances[0], headroom)

    def _spend_above(
        self, budget: ServiceBudget, burst: float, reserved_share: float, now_s: float
    ) -> RetryDecision:
        """Spend a token unless a share of the burst is reserved for other requests."""
        # Nodes with few requests may send less than one retry at once.
        if budget.tokens < max(burst * reserved_share, min(1.0, burst)):
            return RetryDecision.OUTBID
        budget.spend(now_s)
        return RetryDecision.GRANTED

    def _round_allowance(
        self, budget: ServiceBudget, total: float, now_s: float
    ) -> float:
        """Return the retries allowed in a window; an allowance below one is random.

        There is one draw per window, so that of many dispatchers that may each send a
        fifth of a retry, every fifth sends one.
        """
        window = int(now_s / self.window_s)
        if window != budget.draw_window:
            budget.draw_window = window
            budget.random_draw = self.rng.random()
        return round_randomly(total, budget.random_draw)

    def list_services(self) -> list[tuple[str, int, int]]:
        """Return each service with its requests and retries in this window."""
        now_s = self.clock()
        return [
            (
                name,
                budget.requests.count(now_s, 0, budget.buckets),
                budget.count_retries(now_s),
            )
            for name, budget in sorted(self._budgets.items())
        ]

    def find_allowed_retries(self, service: str) -> float | None:
        """Return the retries planned for this window, ``None`` if not planned."""
        if not self.plans_retries():
            return None
        plan = self._make_plan(service, self._get_budget(service), self.clock())
        return plan.allowed.total

    def list_request_parts(self, service: str) -> list[int]:
        """Return the recent requests of a service by part of a window."""
        return self._get_budget(service).list_request_parts(self.clock())

    def _get_budget(self, service: str) -> ServiceBudget:
        buckets = BUCKETS_PER_WINDOW
        if self.plans_retries():
            buckets = PLANNED_BUCKETS_PER_WINDOW
        budget = self._budgets.get(service)
        if (
            budget is None
            or budget.window_s != self.window_s
            or budget.buckets != buckets
        ):
            budget = self._budgets[service] = ServiceBudget(self.window_s, buckets)
        return budget
