"""The choice of nodes that read the log for their failure domain."""

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


def test_nodes_that_observe_the_same_failures_choose_the_same_readers():
    failed = {"n0", "n2"}
    readers = choose_readers(NAMES, lambda name: name not in failed, 2)
    assert readers == ["n1", "n3"]


def test_nodes_that_know_only_the_first_nodes_choose_the_same_readers():
    assert choose_readers(NAMES[:5], lambda name: True, 2) == choose_readers(
        NAMES, lambda name: True, 2
    )


def test_fewer_nodes_than_readers_all_read():
    assert choose_readers(["a"], lambda name: True, 2) == ["a"]
    assert choose_readers([], lambda name: True, 2) == []


@pytest.mark.parametrize("nodes", [1, 4, 33, 50, 170, 1700])
def test_number_of_readers_grows_slowly_with_nodes(nodes):
    readers = count_readers(nodes)
    assert readers >= SUBSCRIBED_READERS
    assert readers <= max(SUBSCRIBED_READERS, nodes / NODES_PER_READER + 1)


def test_subscriptions_are_spread_over_all_readers():
    readers = NAMES[: count_readers(200)]
    subscriptions = [
        choose_subscribed_readers(name, readers) for name in NAMES[len(readers) :]
    ]
    counts = [sum(reader in chosen for chosen in subscriptions) for reader in readers]
    assert all(len(chosen) == SUBSCRIBED_READERS for chosen in subscriptions)
    assert min(counts) > 0.5 * sum(counts) / len(readers)


def test_reader_does_not_subscribe_to_itself():
    assert choose_subscribed_readers("n0", ["n0", "n1"]) == ["n1"]
    assert choose_subscribed_readers("n9", ["n0", "n1"], 1) in (["n0"], ["n1"])
