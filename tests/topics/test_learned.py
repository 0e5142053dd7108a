"""Storing learned calls on the log for nodes that start."""

from __future__ import annotations

import random

import pytest

from eelgrassmount.topics.learned import SETTLING_TIME_S, LearnedCalls, is_similar
from tests.relay.test_learning import make_state

CALLS = {"shop/book/": {"shop/part/": 2.0}}


class Setup:
    def __init__(self, members: int = 1):
        self.now = [100.0]
        self.state = make_state(self.now)
        self.state.rng = random.Random(4)
        for number in range(members):
            self.state.members.put(f"n{number}", f"a:{number}", "near", "list")
        self.learned = LearnedCalls(self.state, lambda: len(self.state.members.by_name))

    def wait(self, seconds: int) -> list[bytes]:
        found = []
        for _ in range(seconds):
            self.now[0] += 1.0
            found.append(self.learned.build_due_record())
        return [record for record in found if record is not None]


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_empty_calls_are_not_written(setup):
    setup.state.graph.set_calls("shop/part/", {})
    assert setup.wait(20) == []


def test_settled_calls_are_written_and_applied_by_other_nodes(setup):
    setup.state.graph.set_calls("shop/book/", {"shop/part/": 2.0})
    assert setup.wait(int(SETTLING_TIME_S)) == []
    record = setup.wait(1)[0]
    other = Setup()
    other.learned.apply(record)
    assert other.state.graph.calls_per_run == CALLS
    assert other.state.graph.is_called_by_servers("shop/part/")
    assert other.wait(20) == []


def test_calls_that_keep_changing_are_not_written(setup):
    written = []
    for number in range(20):
        setup.state.graph.set_calls("shop/book/", {"shop/part/": 1.0 + number % 2})
        written += setup.wait(1)
    assert written == []


def test_local_calls_take_precedence_over_a_record(setup):
    setup.state.graph.set_calls("shop/book/", {"shop/part/": 4.0})
    other = Setup()
    other.state.graph.set_calls("shop/book/", {"shop/part/": 2.0})
    record = other.wait(10)[0]
    setup.learned.apply(record)
    assert setup.state.graph.calls_per_run["shop/book/"] == {"shop/part/": 4.0}


def test_many_nodes_write_about_one_record_per_second():
    written = 0
    for seed in range(50):
        setup = Setup(members=50)
        setup.state.rng = random.Random(seed)
        setup.state.graph.set_calls("shop/book/", {"shop/part/": 2.0})
        written += len(setup.wait(int(SETTLING_TIME_S) + 10))
    assert 5 <= written <= 25


def test_small_differences_are_ignored():
    assert is_similar(CALLS, {"shop/book/": {"shop/part/": 2.4}})
    assert not is_similar(CALLS, {"shop/book/": {"shop/part/": 3.2}})
    assert not is_similar(CALLS, {"shop/book/": {}})
    assert not is_similar(CALLS, {})
