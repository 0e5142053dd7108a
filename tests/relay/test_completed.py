"""Calls counted on runs that ended well."""

from __future__ import annotations

import random

import pytest

from eelgrassmount.relay.completed import CompletedRuns
from eelgrassmount.relay.vectors import pool_vectors


def test_calls_are_those_of_the_runs_that_ended_well():
    completed = CompletedRuns()
    for _ in range(30):
        completed.record_run("book", {"list": 2})
        completed.record_run("status", {})
    vectors = pool_vectors(completed.runs, completed.list_calls())
    assert vectors == {"book": {"list": 2.0}, "status": {}}


def test_calls_of_unknown_runs_belong_to_those_of_their_route():
    completed = CompletedRuns()
    rng = random.Random(1)
    for _ in range(400):
        known = [rng.random() < 0.4 for _ in range(4)]
        for one in known:
            completed.record_call("part", one)
        completed.record_run("list", {"part": sum(known)})
    calls = completed.list_calls()[("list", "part")]
    assert calls / completed.runs["list"] == pytest.approx(4.0)


# Counted against the runs that had begun, a list seemed to make 1.9 of its 4 calls in
# the first second of a surge, and 3.1 in the fourth.
def test_calls_are_right_within_the_first_second_of_a_surge():
    completed = CompletedRuns()
    rng = random.Random(2)
    for _ in range(300):
        begun_s = rng.uniform(0.0, 1.0)
        if begun_s + rng.uniform(0.2, 0.6) <= 1.0:
            completed.record_run("list", {"part": 4})
    vectors = pool_vectors(completed.runs, completed.list_calls())
    assert vectors["list"]["part"] == pytest.approx(4.0)


def test_what_was_counted_fades_and_is_forgotten():
    completed = CompletedRuns()
    completed.record_run("book", {"list": 2})
    completed.record_call("list", known=True)
    for _ in range(100):
        completed.decay()
    assert completed.runs == {}
    assert completed.list_calls() == {}
