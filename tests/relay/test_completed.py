"""Counts of the calls of successful runs."""

from __future__ import annotations

import random

import pytest

from eelgrassmount.relay.completed import CompletedRuns
from eelgrassmount.relay.vectors import pool_vectors


def test_calls_are_counted_for_successful_runs():
    completed = CompletedRuns()
    for _ in range(30):
        completed.record_run("book", {"list": 2})
        completed.record_run("status", {})
    vectors = pool_vectors(completed.runs, completed.list_calls())
    assert vectors == {"book": {"list": 2.0}, "status": {}}


def test_unattributed_calls_are_spread_like_attributed_ones():
    completed = CompletedRuns()
    rng = random.Random(1)
    for _ in range(400):
        attributed = [rng.random() < 0.4 for _ in range(4)]
        for one in attributed:
            completed.record_call("part", one)
        completed.record_run("list", {"part": sum(attributed)})
    calls = completed.list_calls()[("list", "part")]
    assert calls / completed.runs["list"] == pytest.approx(4.0)


# Guards against counting unfinished runs, which lowers the calls per run in a surge.
def test_calls_per_run_are_exact_within_the_first_second_of_a_surge():
    completed = CompletedRuns()
    rng = random.Random(2)
    for _ in range(300):
        started_s = rng.uniform(0.0, 1.0)
        if started_s + rng.uniform(0.2, 0.6) <= 1.0:
            completed.record_run("list", {"part": 4})
    vectors = pool_vectors(completed.runs, completed.list_calls())
    assert vectors["list"]["part"] == pytest.approx(4.0)


def test_counts_decay_and_are_dropped():
    completed = CompletedRuns()
    completed.record_run("book", {"list": 2})
    completed.record_call("list", attributed=True)
    for _ in range(100):
        completed.decay()
    assert completed.runs == {}
    assert completed.list_calls() == {}
