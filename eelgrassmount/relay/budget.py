"""Retry budget of a service, shared by its dispatchers."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.retries import (
    compute_reserved_share,
    compute_retry_allowance,
    refill_tokens,
    round_randomly,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.policy.retries import RetryAllowance
    from eelgrassmount.relay.messages import Origin

BUCKETS_PER_WINDOW = 20
# Windows whose requests count for the retry budget.
MAX_PAST_WINDOWS = 2
# Discount for requests of earlier windows. Nodes have their peaks in different
# windows, and the sum of the peaks exceeds the requests of any single window.
EARLIER_WEIGHT = 0.7


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
class ServiceBudget:
    """Recent requests and retries of one service.

    ``tokens`` are the retries that may be sent now. ``random_draw``, from 0 to 1, was
    drawn in the window ``draw_window``.
    """

    window_s: float
    tokens: float = math.inf
    refilled_s: float = 0.0
    random_draw: float = 1.0
    draw_window: int = -1
    requests: BucketCounter = field(init=False)
    retries: BucketCounter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the counters."""
        bucket_s = self.window_s / BUCKETS_PER_WINDOW
        self.requests = BucketCounter(
            bucket_s, MAX_PAST_WINDOWS * BUCKETS_PER_WINDOW + 1
        )
        self.retries = BucketCounter(bucket_s, BUCKETS_PER_WINDOW + 1)

    def count_requests(self, now_s: float) -> float:
        """Return the highest request count of this window and recent ones.

        The window ending half a window ago and the one ending a whole window ago are
        included with a lower weight: when an overload drives callers away, earlier
        requests still need their retries.
        """
        earlier = max(
            self.requests.count(now_s, newest, BUCKETS_PER_WINDOW)
            for newest in (BUCKETS_PER_WINDOW // 2, BUCKETS_PER_WINDOW)
        )
        return max(
            self.requests.count(now_s, 0, BUCKETS_PER_WINDOW), EARLIER_WEIGHT * earlier
        )

    def refill(self, allowed: RetryAllowance, now_s: float) -> None:
        """Add the tokens earned since the last call."""
        windows = (now_s - self.refilled_s) / self.window_s
        self.tokens = refill_tokens(self.tokens, allowed, windows)
        self.refilled_s = now_s

    def spend(self, now_s: float) -> None:
        """Count a retry."""
        self.retries.add(now_s)
        self.tokens -= 1.0

    def count_retries(self, now_s: float) -> int:
        """Return an upper bound of the retries in this window."""
        return self.retries.count(now_s, 0, BUCKETS_PER_WINDOW + 1)


@define(eq=False, repr=False)
class RetryBudget:
    """Limits the retries of a service over all of its nodes.

    Each dispatcher allows retries in proportion to the requests that it receives, plus
    its share of the slack, which is divided among ``count_nodes()`` dispatchers.
    """

    clock: Callable[[], float]
    ratio: float
    window_s: float
    slack: float
    count_nodes: Callable[[], int]
    rng: random.Random = field(factory=random.Random)
    _budgets: dict[str, ServiceBudget] = field(factory=dict)

    def count_request(self, service: str) -> None:
        """Count the first attempt of a call."""
        self._get_budget(service).requests.add(self.clock())

    def count_inherited_retry(self, service: str) -> None:
        """Charge a call of a retried run to the budget as a retry."""
        self._get_budget(service).spend(self.clock())

    def take(self, service: str, origin: Origin, is_leaf: bool) -> bool:
        """Return whether a call may be retried, and charge the retry to the budget.

        ``is_leaf`` is set if the run makes no downstream calls.
        """
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
            return False
        budget.refill(allowed, now_s)
        reserved = allowed.burst * compute_reserved_share(
            origin.remaining_runs, origin.priority
        )
        # Nodes with few requests may send less than one retry at once.
        if budget.tokens < max(reserved, min(1.0, allowed.burst)):
            return False
        budget.spend(now_s)
        return True

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
                budget.requests.count(now_s, 0, BUCKETS_PER_WINDOW),
                budget.count_retries(now_s),
            )
            for name, budget in sorted(self._budgets.items())
        ]

    def _get_budget(self, service: str) -> ServiceBudget:
        budget = self._budgets.get(service)
        if budget is None or budget.window_s != self.window_s:
            budget = self._budgets[service] = ServiceBudget(self.window_s)
        return budget
