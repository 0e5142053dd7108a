"""The retry budget of a service, which its gates share."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.policy.repeats import (
    find_allowance,
    find_kept,
    refill_tokens,
    round_allowance,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.policy.repeats import Allowance
    from eelgrassmount.relay.messages import Origin

# sendings are counted in so many buckets of a window
BUCKETS_PER_WINDOW = 20
# a window is compared with requests of this many windows back, in steps of a half one
MAX_PAST_WINDOWS = 2
# part of the requests of an earlier window that a node counts: the windows with most
# differ from node to node, so that the sum over all nodes may be above that of any
EARLIER_WEIGHT = 0.7


@define
class BucketCounter:
    """How many events came in each of the latest buckets of time, the last one open."""

    bucket_s: float
    length: int
    _counts: deque[int] = field(factory=deque)
    _latest_bucket: int = 0

    def add(self, now_s: float) -> None:
        """Count an event."""
        self._advance(now_s)
        self._counts[-1] += 1

    def count(self, now_s: float, newest: int, buckets: int) -> int:
        """Return the events in buckets, of which ``newest`` is the latest: 0 is open."""
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
    """Requests and retries of one service in the latest buckets.

    ``tokens`` are the retries that may be sent now, and ``random_draw`` is the bucket from 0
    to 1 that was random_draw by chance in the window ``draw_window``.
    """

    window_s: float
    tokens: float = math.inf
    refilled_s: float = 0.0
    random_draw: float = 1.0
    draw_window: int = -1
    requests: BucketCounter = field(init=False)
    retries: BucketCounter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin to count."""
        bucket_s = self.window_s / BUCKETS_PER_WINDOW
        self.requests = BucketCounter(
            bucket_s, MAX_PAST_WINDOWS * BUCKETS_PER_WINDOW + 1
        )
        self.retries = BucketCounter(bucket_s, BUCKETS_PER_WINDOW + 1)

    def count_requests(self, now_s: float) -> float:
        """Return the requests of this window, or of the one before or half before.

        A repeat is allowed against whichever had most: when a shortage sends callers
        away, those that were begun before it still need their retries.
        """
        earlier = max(
            self.requests.count(now_s, newest, BUCKETS_PER_WINDOW)
            for newest in (BUCKETS_PER_WINDOW // 2, BUCKETS_PER_WINDOW)
        )
        return max(
            self.requests.count(now_s, 0, BUCKETS_PER_WINDOW), EARLIER_WEIGHT * earlier
        )

    def refill(self, allowed: Allowance, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        windows = (now_s - self.refilled_s) / self.window_s
        self.tokens = refill_tokens(self.tokens, allowed, windows)
        self.refilled_s = now_s

    def spend(self, now_s: float) -> None:
        """Count a repeat."""
        self.retries.add(now_s)
        self.tokens -= 1.0

    def count_retries(self, now_s: float) -> int:
        """Return the retries of this window, counted generously."""
        return self.retries.count(now_s, 0, BUCKETS_PER_WINDOW + 1)


@define(eq=False)
class RetryBudget:
    """Allows second sendings so that the sum over all nodes stays in bounds.

    Each gate counts the requests that come to it and takes retries of a part of them,
    plus its share of the slack. ``count_nodes`` tells among how many gates the slack is
    divided.
    """

    clock: Callable[[], float]
    ratio: float
    window_s: float
    slack: float
    count_nodes: Callable[[], int]
    rng: random.Random = field(factory=random.Random)
    _budgets: dict[str, ServiceBudget] = field(factory=dict)

    def count_request(self, service: str) -> None:
        """Count a first sending."""
        self._get_budget(service).requests.add(self.clock())

    def count_inherited_retry(self, service: str) -> None:
        """Count a call of a run that was a repeat, which counts as one itself."""
        self._get_budget(service).spend(self.clock())

    def take(self, service: str, origin: Origin, is_leaf: bool) -> bool:
        """Take one repeat of a call; ``False`` when there is none left for it.

        ``is_leaf`` says that a run makes no calls of its own.
        """
        budget = self._get_budget(service)
        now_s = self.clock()
        allowed = find_allowance(
            budget.count_requests(now_s),
            self.ratio,
            self.slack,
            self.count_nodes(),
            is_leaf,
        )
        if budget.count_retries(now_s) + 1 > self._round_allowance(
            budget, allowed.whole, now_s
        ):
            return False
        budget.refill(allowed, now_s)
        reserved = allowed.at_once * find_kept(origin.remaining_runs, origin.priority)
        # what may be sent at once is less than one on a node with few requests
        if budget.tokens < max(reserved, min(1.0, allowed.at_once)):
            return False
        budget.spend(now_s)
        return True

    def _round_allowance(
        self, budget: ServiceBudget, whole: float, now_s: float
    ) -> float:
        """Return the retries of a window, where a share below one is one by chance.

        A new draw is made in each window, so that of many gates with a fifth of a
        repeat each, every fifth takes one.
        """
        window = int(now_s / self.window_s)
        if window != budget.draw_window:
            budget.draw_window = window
            budget.random_draw = self.rng.random()
        return round_allowance(whole, budget.random_draw)

    def list_services(self) -> list[tuple[str, int, int]]:
        """Return each service with its requests and retries in the window now."""
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
