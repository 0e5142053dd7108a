"""Which requests are cut when a service that they lead to is short.

The load that this answers: several routes ask more of one service than it can do, of
which some are more urgent, and their requests make different numbers of calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable


class RequestClass(NamedTuple):
    """Requests of one route and rank; 0 is refused last."""

    route_name: str
    rank: int


@frozen
class RequiredCalls:
    """The calls that the offered requests of one demand ask of a service."""

    request_class: RequestClass
    calls: float


def compute_admitted_shares(
    asked: Iterable[RequiredCalls], level: float
) -> dict[RequestClass, float]:
    """Return the part of each demand that a service has room for.

    ``level`` is the part of all calls asked of it that it can do. Demands stand one
    above the other, the most urgent at the bottom; those at the level are cut in
    proportion::

        book = Demand("shop/book/", 0)
        price = Demand("shop/price/", 2)
        divide_level([AskedCalls(book, 20.0), AskedCalls(price, 20.0)], 0.75)
        # {book: 1.0, price: 0.5}
    """
    by_rank: dict[int, list[RequiredCalls]] = {}
    for one in asked:
        by_rank.setdefault(one.request_class.rank, []).append(one)
    heights = {rank: sum(one.calls for one in by_rank[rank]) for rank in by_rank}
    room = level * sum(heights.values())
    shares: dict[RequestClass, float] = {}
    for rank in sorted(by_rank):
        share = max(0.0, min(1.0, room / heights[rank]))
        shares.update({one.request_class: share for one in by_rank[rank]})
        room -= heights[rank]
    return shares
