"""The choice of a server for each call."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from attrs import evolve

from eelgrassmount.load.routing import choose_server
from eelgrassmount.load.servers import SUBSET_SIZE, RoutingState, choose_subset
from eelgrassmount.load.state import FULL_THRESHOLD
from eelgrassmount.members.table import (
    Identity,
    Member,
    MemberState,
    ServerState,
    ServiceSummary,
)
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason

NOW_S = 100.0
LOCAL = [f"127.0.0.{number}:1" for number in range(1, 5)]
REMOTE = ["127.0.1.1:1", "127.0.1.2:1"]
COMPLETE = Answered(200, (), b"")


@pytest.fixture
def shared_state() -> SharedNodeState:
    shared_state = SharedNodeState(Identity("127.0.0.9:1", "here", "region", "1"))
    for address in LOCAL:
        shared_state.members.members[address] = Member(
            Identity(address, "here", "region", "1"),
            service="a",
            server_state=ServerState.SERVING,
            headroom=50,
            threshold=FULL_THRESHOLD,
            received_s=NOW_S,
        )
    shared_state.members.summaries["there", "a"] = ServiceSummary(
        "there", "a", 1, 2, 100, FULL_THRESHOLD, tuple(REMOTE), NOW_S
    )
    return shared_state


def change(shared_state: SharedNodeState, address: str, **changes: object) -> None:
    members = shared_state.members.members
    members[address] = evolve(members[address], **changes)


def choose(
    shared_state: SharedNodeState,
    state: RoutingState,
    count: int = 400,
    rank: int = 0,
    now_s: float = NOW_S,
    excluded: tuple[str, ...] = (),
) -> Counter[str | None]:
    """Choose servers for calls that end at once, and count the choices."""
    rng = random.Random(3)
    chosen: Counter[str | None] = Counter()
    for _ in range(count):
        address = choose_server(shared_state, state, "a", excluded, rank, rng, now_s)
        chosen[address] += 1
    return chosen


def test_local_servers_are_chosen_first_and_evenly(
    shared_state: SharedNodeState,
) -> None:
    chosen = choose(shared_state, RoutingState(NOW_S))
    assert set(chosen) == set(LOCAL)
    assert max(chosen.values()) < 2 * min(chosen.values())


@pytest.mark.parametrize(
    "departure",
    [
        {"state": MemberState.SUSPECT},
        {"state": MemberState.LEFT},
        {"server_state": ServerState.DRAINING},
        {"server_state": ServerState.STARTING},
    ],
)
def test_leaving_server_receives_no_calls(
    shared_state: SharedNodeState, departure: dict
) -> None:
    state = RoutingState(NOW_S)
    choose(shared_state, state)
    change(shared_state, LOCAL[0], **departure)
    assert set(choose(shared_state, state)) == set(LOCAL[1:])
    for address in LOCAL[1:]:
        change(shared_state, address, **departure)
    assert set(choose(shared_state, state)) == set(REMOTE)
    shared_state.members.summaries.clear()
    assert set(choose(shared_state, state)) == {None}


def test_remote_servers_are_chosen_without_local_headroom(
    shared_state: SharedNodeState,
) -> None:
    state = RoutingState(NOW_S)
    for address in LOCAL:
        change(shared_state, address, headroom=5)
    rng = random.Random(3)
    chosen = []
    for _ in range(30):
        address = choose_server(shared_state, state, "a", (), 0, rng, NOW_S)
        state.record_start(address, NOW_S)
        chosen.append(address)
    assert set(chosen[:15]) <= set(LOCAL)
    assert set(chosen[-5:]) <= set(REMOTE)


def test_servers_that_admit_the_rank_are_preferred(
    shared_state: SharedNodeState,
) -> None:
    change(shared_state, LOCAL[0], threshold=500)
    change(shared_state, LOCAL[1], threshold=500)
    assert set(choose(shared_state, RoutingState(NOW_S), rank=600)) == set(LOCAL[2:])
    for address in LOCAL:
        change(shared_state, address, threshold=500)
    assert set(choose(shared_state, RoutingState(NOW_S), rank=600)) == set(REMOTE)


def test_new_server_receives_calls_gradually(shared_state: SharedNodeState) -> None:
    state = RoutingState(NOW_S - 60)
    new = shared_state.members.members.pop(LOCAL[0])
    choose(shared_state, state, now_s=NOW_S - 55)
    for second in range(55):
        state.refresh(shared_state, NOW_S - 55 + second)
    shared_state.members.members[LOCAL[0]] = evolve(new, headroom=500)
    counts = []
    for second in range(31):
        state.refresh(shared_state, NOW_S + second)
        counts.append(choose(shared_state, state, now_s=NOW_S + second)[LOCAL[0]])
    assert counts[0] < 40 < counts[4] < counts[30]


def test_failing_server_is_avoided_and_probed(shared_state: SharedNodeState) -> None:
    state = RoutingState(NOW_S)
    for _ in range(3):
        state.record_start(LOCAL[0], NOW_S)
        state.record_end(LOCAL[0], MayHaveRun(Reason.SERVER_SILENT), 1.0, NOW_S)
    assert choose(shared_state, state)[LOCAL[0]] == 0
    later_s = NOW_S + 1.5
    assert choose(shared_state, state, now_s=later_s)[LOCAL[0]] > 0
    state.record_start(LOCAL[0], later_s)
    assert choose(shared_state, state, now_s=later_s)[LOCAL[0]] == 0
    state.record_end(LOCAL[0], COMPLETE, 0.1, later_s)
    change(shared_state, LOCAL[0], received_s=later_s)
    assert choose(shared_state, state, now_s=later_s)[LOCAL[0]] > 40
    state.record_start(LOCAL[1], later_s)
    state.record_end(LOCAL[1], NotRun(Reason.DRAINING), 0.1, later_s)
    assert choose(shared_state, state, now_s=later_s)[LOCAL[1]] == 0


def test_subsets_are_small_and_even() -> None:
    servers = [f"10.1.{number // 250}.{number % 250}:1" for number in range(400)]
    nodes = [f"10.2.{number // 250}.{number % 250}:1" for number in range(1200)]
    counts = Counter()
    for node in nodes:
        subset = choose_subset(node, servers)
        assert len(subset) == SUBSET_SIZE
        counts.update(subset)
    mean = len(nodes) * SUBSET_SIZE / len(servers)
    assert len(counts) == len(servers)
    assert max(counts.values()) < 2 * mean


def test_held_member_serves_when_there_is_no_other_server(
    shared_state: SharedNodeState,
) -> None:
    for address in LOCAL:
        change(shared_state, address, held=True)
    assert set(choose(shared_state, RoutingState())) == set(REMOTE)
    shared_state.members.summaries.clear()
    assert set(choose(shared_state, RoutingState())) == set(LOCAL)
    change(shared_state, LOCAL[0], server_state=ServerState.DRAINING)
    chosen = choose(shared_state, RoutingState(), excluded=(LOCAL[1],))
    assert set(chosen) == set(LOCAL[2:])
