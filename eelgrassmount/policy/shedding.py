"""Chooses which requests are shed when a service that they need is overloaded."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable


class RequestClass(NamedTuple):
    """Requests of one route and rank; rank 0 is shed last."""

    route_name: str
    rank: int


@frozen
class RequiredCalls:
    """The calls to a service that the offered requests of a class require."""

    request_class: RequestClass
    calls: float


def compute_admitted_fractions(
    required: Iterable[RequiredCalls], admitted_fraction: float
) -> dict[RequestClass, float]:
    """Return the admitted fraction of each request class.

    ``admitted_fraction`` is that of the service: the fraction of all required calls
    that it can run. It is given to the ranks in order of urgency; classes of the rank
    at which it is used up are reduced by the same factor::

        book = RequestClass("shop/book/", 0)
        price = RequestClass("shop/price/", 2)
        required = [RequiredCalls(book, 20.0), RequiredCalls(price, 20.0)]
        compute_admitted_fractions(required, 0.75)
        # {book: 1.0, price: 0.5}
    """
    by_rank: dict[int, list[RequiredCalls]] = {}
    for one in required:
        by_rank.setdefault(one.request_class.rank, []).append(one)
    calls_by_rank = {rank: sum(one.calls for one in by_rank[rank]) for rank in by_rank}
    remaining_calls = admitted_fraction * sum(calls_by_rank.values())
    fractions: dict[RequestClass, float] = {}
    for rank in sorted(by_rank):
        fraction = max(0.0, min(1.0, remaining_calls / calls_by_rank[rank]))
        fractions.update({one.request_class: fraction for one in by_rank[rank]})
        remaining_calls -= calls_by_rank[rank]
    return fractions
