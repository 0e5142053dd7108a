"""Which nodes read the log for the others."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.readers import (
    NODES_PER_READER,
    SUBSCRIBED_READERS,
    choose_readers,
    choose_subscribed_readers,
    count_readers,
)

NAMES = [f"n{number}" for number in range(200)]


def test_nodes_that_see_the_same_failures_choose_the_same_readers():
    gone = {"n0", "n2"}
    readers = choose_readers(NAMES, lambda name: name not in gone, 2)
    assert readers == ["n1", "n3"]


def test_those_who_know_only_the_first_nodes_choose_as_all_do():
    assert choose_readers(NAMES[:5], lambda name: True, 2) == choose_readers(
        NAMES, lambda name: True, 2
    )


def test_fewer_nodes_than_readers_all_read():
    assert choose_readers(["a"], lambda name: True, 2) == ["a"]
    assert choose_readers([], lambda name: True, 2) == []


@pytest.mark.parametrize("nodes", [1, 4, 33, 50, 170, 1700])
def test_calls_of_the_log_grow_by_one_reader_for_many_nodes(nodes):
    readers = count_readers(nodes)
    assert readers >= SUBSCRIBED_READERS
    assert readers <= max(SUBSCRIBED_READERS, nodes / NODES_PER_READER + 1)


def test_each_reader_of_a_large_domain_is_listened_to_by_some():
    readers = NAMES[: count_readers(200)]
    heard = [choose_subscribed_readers(name, readers) for name in NAMES[len(readers) :]]
    counts = [sum(reader in found for found in heard) for reader in readers]
    assert all(len(found) == SUBSCRIBED_READERS for found in heard)
    assert min(counts) > 0.5 * sum(counts) / len(readers)


def test_a_reader_listens_to_others_only():
    assert choose_subscribed_readers("n0", ["n0", "n1"]) == ["n1"]
    assert choose_subscribed_readers("n9", ["n0", "n1"], 1) in (["n0"], ["n1"])
