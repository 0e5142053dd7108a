"""Which routes are cut when a service that they lead to is short."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.piles import divide_level
from tests.relay.samples import make_route

BOOK = make_route("shop/book/", priority=0)
PRICE = make_route("shop/price/", priority=2)
LISTING = make_route("shop/list/", priority=2)


@pytest.mark.parametrize(
    ("level", "book", "price"),
    [(1.0, 1.0, 1.0), (0.75, 1.0, 0.5), (0.5, 1.0, 0.0), (0.2, 0.4, 0.0)],
)
def test_least_urgent_routes_are_cut_first(level, book, price):
    asked = [(BOOK, 20.0), (PRICE, 15.0), (LISTING, 5.0)]
    shares = divide_level(asked, level)
    assert shares[BOOK.name] == pytest.approx(book)
    assert shares[PRICE.name] == shares[LISTING.name] == pytest.approx(price)


def test_what_is_admitted_asks_for_the_level():
    asked = [(BOOK, 20.0), (PRICE, 15.0), (LISTING, 5.0)]
    shares = divide_level(asked, 0.8)
    admitted = sum(calls * shares[route.name] for route, calls in asked)
    assert admitted == pytest.approx(0.8 * 40.0)
