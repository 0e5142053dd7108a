"""Shedding by urgency when a service is overloaded."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.shedding import (
    RequestClass,
    RequiredCalls,
    compute_admitted_fractions,
)

BOOK = RequestClass("shop/book/", 0)
PRICE = RequestClass("shop/price/", 2)
LISTING = RequestClass("shop/list/", 2)


@pytest.mark.parametrize(
    ("fraction", "book", "price"),
    [(1.0, 1.0, 1.0), (0.75, 1.0, 0.5), (0.5, 1.0, 0.0), (0.2, 0.4, 0.0)],
)
def test_least_urgent_requests_are_shed_first(fraction, book, price):
    required = [
        RequiredCalls(BOOK, 20.0),
        RequiredCalls(PRICE, 15.0),
        RequiredCalls(LISTING, 5.0),
    ]
    fractions = compute_admitted_fractions(required, fraction)
    assert fractions[BOOK] == pytest.approx(book)
    assert fractions[PRICE] == fractions[LISTING] == pytest.approx(price)


def test_admitted_requests_require_the_admitted_fraction_of_calls():
    required = [
        RequiredCalls(BOOK, 20.0),
        RequiredCalls(PRICE, 15.0),
        RequiredCalls(LISTING, 5.0),
    ]
    fractions = compute_admitted_fractions(required, 0.8)
    admitted = sum(one.calls * fractions[one.request_class] for one in required)
    assert admitted == pytest.approx(0.8 * 40.0)
