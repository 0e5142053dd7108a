"""Learning the calls per run."""

from __future__ import annotations

import random

import pytest

from eelgrassmount.relay.vectors import VectorLearner, solve_linear


def test_linear_system():
    assert solve_linear([[2.0, 1.0], [1.0, 3.0]], [5.0, 10.0]) == pytest.approx([1, 3])


def test_unknown_without_a_pivot_becomes_zero():
    assert solve_linear([[1.0, 0.0], [0.0, 0.0]], [4.0, 0.0]) == pytest.approx([4, 0])


def test_calls_of_two_routes_are_told_apart_from_those_of_clients():
    rng = random.Random(5)
    learner = VectorLearner()
    for _ in range(200):
        book = rng.randrange(0, 8)
        price = rng.randrange(0, 20)
        learner.add(
            {"book": book, "price": price},
            {"list": 2 * book + price, "ledger": price, "clients": rng.randrange(30)},
        )
    vectors = learner.solve()
    assert vectors["book"]["list"] == pytest.approx(2.0, abs=0.2)
    assert vectors["price"]["list"] == pytest.approx(1.0, abs=0.2)
    assert vectors["price"]["ledger"] == pytest.approx(1.0, abs=0.2)
    assert "clients" not in vectors["book"]
    assert "clients" not in vectors["price"]
    assert "ledger" not in vectors["book"]


def test_few_runs_are_not_believed():
    learner = VectorLearner()
    learner.add({"book": 3}, {"list": 6})
    assert learner.solve() == {}
