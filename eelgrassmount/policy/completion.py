"""Decides which requests are begun and completed while servers reject calls.

When all servers of a service reject a share of their calls whatever the load, most
requests with several calls are lost halfway unless the retries that the budget allows
go to the requests that need the fewest of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Collection

    from eelgrassmount.policy.shedding import RequestClass

# Weight of a request relative to one of the next more urgent rank.
RANK_WEIGHT_FACTOR = 0.5
# Completed share of the begun requests of a class below which fewer are begun. It is
# higher for requests that must not run twice, as their clients can't repeat them after
# a loss.
MIN_COMPLETED_SHARE = 0.05
MIN_COMPLETED_SHARE_UNREPEATABLE = 0.2
# Classes with no more calls per request count as having a single one.
MAX_SINGLE_CALLS = 1.2
# Halvings of the interval of the clearing price.
PRICE_STEPS = 24
# Accepted calls that are added to those counted.
ASSUMED_ACCEPTED = 5
# Requests with more remaining calls count as having this many.
MAX_REMAINING_CALLS = 1000.0
# Larger rejected shares count as this one, as no number of retries would suffice.
MAX_REJECTED_SHARE = 0.95


@frozen
class OfferedClass:
    """Requests of a class that clients offer, and their calls to a service.

    ``rate`` is in requests per second; ``calls`` is the mean number of calls of one
    request.
    """

    request_class: RequestClass
    rate: float
    calls: float
    idempotent: bool


def compute_rejected_share(rejected: int, answers: int) -> float:
    """Return the share of calls that a server rejects, from its recent answers.

    A few answers don't suffice: each server counts as having accepted some more.
    """
    return rejected / (answers + ASSUMED_ACCEPTED)


def compute_rank_weight(rank: int) -> float:
    """Return the weight of requests of a rank."""
    return RANK_WEIGHT_FACTOR**rank


def compute_retry_bid(remaining_calls: int, rank: int, rejected_share: float) -> float:
    """Return the highest price at which a retry of a rejected call is worth it.

    A request with n remaining calls, the rejected one included, needs 1 / a retries
    for this call and r / a for each further one, if servers accept the share a and
    reject the share r of their calls. Its weight divided by this sum is the optimal
    stopping price; the factor a, common to all requests, is left out::

        compute_retry_bid(1, rank=1, rejected_share=0.5)  # 0.5
        compute_retry_bid(7, rank=0, rejected_share=0.5)  # 0.25
    """
    further_calls = max(0, remaining_calls - 1)
    return compute_rank_weight(rank) / (1.0 + further_calls * rejected_share)


def compute_min_level(bid: float) -> float:
    """Return the level of the token bucket, from 0 to 1, from which a bid suffices.

    The price of a retry is 1 minus the level. It follows demand: a retry costs nothing
    while the bucket is full, so that no tokens are wasted, and as much as the last call
    of an urgent request is worth while the bucket is empty.
    """
    return 1.0 - bid


def estimate_remaining_calls(
    run_calls: float, finished_calls: float, other_calls: float
) -> int:
    """Return the calls to a service that a request still needs, one open included.

    ``run_calls`` is the mean number of calls of the run that makes the open call,
    ``finished_calls`` how many of them have finished. ``other_calls`` are those that
    the other runs of the request need in total, which are assumed to have come as far::

        # two chains of 4 calls side by side
        estimate_remaining_calls(4.0, finished_calls=3, other_calls=4.0)  # 2
    """
    remaining = max(1.0, run_calls - finished_calls)
    progress = remaining / max(1.0, run_calls)
    return max(1, round(min(MAX_REMAINING_CALLS, remaining + progress * other_calls)))


def compute_begin_fractions(
    offered: Collection[OfferedClass], rejected_share: float, retries_per_s: float
) -> dict[RequestClass, float]:
    """Return the fraction of each class to begin while servers reject calls.

    Retries go to the highest bids, so that they have a price at which the requests need
    as many as there are. At this price, a class whose begun requests are nearly all
    lost halfway is begun in part only. Requests with a single call are always begun: if
    it is rejected, nothing has run::

        orders = OfferedClass(RequestClass("shop/order/", 2), 290.0, 8.0, False)
        compute_begin_fractions([orders], rejected_share=0.55, retries_per_s=100.0)
        # {RequestClass("shop/order/", 2): 0.31}
    """
    rejected = min(MAX_REJECTED_SHARE, max(0.0, rejected_share))
    price = find_clearing_price(offered, rejected, retries_per_s)
    return {
        one.request_class: compute_begin_fraction(one, rejected, price)
        for one in offered
    }


def compute_begin_fraction(
    one: OfferedClass, rejected_share: float, price: float
) -> float:
    """Return the fraction of the requests of a class to begin at a price of retries."""
    if one.calls <= MAX_SINGLE_CALLS:
        return 1.0
    target = MIN_COMPLETED_SHARE if one.idempotent else MIN_COMPLETED_SHARE_UNREPEATABLE
    return min(1.0, compute_completed_share(one, rejected_share, price) / target)


def find_clearing_price(
    offered: Collection[OfferedClass], rejected_share: float, retries_per_s: float
) -> float:
    """Return the price at which all requests together need the available retries.

    The price is 0 if there are enough retries for all calls.
    """

    def count_needed(price: float) -> float:
        return sum(
            one.rate * count_needed_retries(one, rejected_share, price)
            for one in offered
        )

    if count_needed(0.0) <= retries_per_s:
        return 0.0
    low, high = 0.0, 1.0
    for _ in range(PRICE_STEPS):
        price = (low + high) / 2
        if count_needed(price) > retries_per_s:
            low = price
        else:
            high = price
    return high


def count_retried_calls(
    one: OfferedClass, rejected_share: float, price: float
) -> float:
    """Return how many of its last calls a request retries at a price.

    This inverts `compute_retry_bid`.
    """
    if price <= 0.0 or rejected_share <= 0.0:
        return one.calls
    excess = compute_rank_weight(one.request_class.rank) / price - 1.0
    if excess < 0.0:
        return 0.0
    return min(one.calls, 1.0 + excess / rejected_share)


def compute_completed_share(
    one: OfferedClass, rejected_share: float, price: float
) -> float:
    """Return the share of the begun requests of a class that are completed.

    They are completed if servers accept the first attempts of all calls before the
    last ones, which are retried until they succeed.
    """
    first_calls = one.calls - count_retried_calls(one, rejected_share, price)
    return (1.0 - rejected_share) ** first_calls


def count_needed_retries(
    one: OfferedClass, rejected_share: float, price: float
) -> float:
    """Return the retries that a begun request needs on average at a price."""
    retried = count_retried_calls(one, rejected_share, price)
    retries_per_call = rejected_share / (1.0 - rejected_share)
    share = compute_completed_share(one, rejected_share, price)
    return share * retried * retries_per_call
