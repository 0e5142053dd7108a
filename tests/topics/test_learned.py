"""Keeping what was learned for nodes that start."""

from __future__ import annotations

import random

import pytest

from eelgrassmount.topics.learned import SETTLED_S, LearnedCalls, is_same
from tests.relay.test_learning import make_state

CALLS = {"shop/book/": {"shop/part/": 2.0}}


class Setup:
    def __init__(self, members: int = 1):
        self.now = [100.0]
        self.beliefs = make_state(self.now)
        self.beliefs.rng = random.Random(4)
        for number in range(members):
            self.beliefs.members.put(f"n{number}", f"a:{number}", "near", "list")
        self.learned = LearnedCalls(
            self.beliefs, lambda: len(self.beliefs.members.by_name)
        )

    def wait(self, seconds: int) -> list[bytes]:
        found = []
        for _ in range(seconds):
            self.now[0] += 1.0
            found.append(self.learned.find_record())
        return [record for record in found if record is not None]


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_nothing_learned_is_not_written(setup):
    setup.beliefs.graph.set_calls("shop/part/", {})
    assert setup.wait(20) == []


def test_what_has_settled_is_written_and_taken_up_elsewhere(setup):
    setup.beliefs.graph.set_calls("shop/book/", {"shop/part/": 2.0})
    assert setup.wait(int(SETTLED_S)) == []
    record = setup.wait(1)[0]
    other = Setup()
    other.learned.take(record)
    assert other.beliefs.graph.calls_per_run == CALLS
    assert other.beliefs.graph.is_called_by_servers("shop/part/")
    assert other.wait(20) == []


def test_what_changes_all_the_time_is_not_written(setup):
    written = []
    for number in range(20):
        setup.beliefs.graph.set_calls("shop/book/", {"shop/part/": 1.0 + number % 2})
        written += setup.wait(1)
    assert written == []


def test_own_learning_goes_before_a_record(setup):
    setup.beliefs.graph.set_calls("shop/book/", {"shop/part/": 4.0})
    other = Setup()
    other.beliefs.graph.set_calls("shop/book/", {"shop/part/": 2.0})
    record = other.wait(10)[0]
    setup.learned.take(record)
    assert setup.beliefs.graph.calls_per_run["shop/book/"] == {"shop/part/": 4.0}


def test_many_nodes_write_about_one_record_a_second():
    written = 0
    for seed in range(50):
        setup = Setup(members=50)
        setup.beliefs.rng = random.Random(seed)
        setup.beliefs.graph.set_calls("shop/book/", {"shop/part/": 2.0})
        written += len(setup.wait(int(SETTLED_S) + 10))
    assert 5 <= written <= 25


def test_small_differences_are_none():
    assert is_same(CALLS, {"shop/book/": {"shop/part/": 2.4}})
    assert not is_same(CALLS, {"shop/book/": {"shop/part/": 3.2}})
    assert not is_same(CALLS, {"shop/book/": {}})
    assert not is_same(CALLS, {})
