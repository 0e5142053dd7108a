"""The choice of servers."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from attrs import evolve

from eelgrassmount.blackboard import Blackboard
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
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason

NOW_S = 100.0
NEAR = [f"127.0.0.{number}:1" for number in range(1, 5)]
FAR = ["127.0.1.1:1", "127.0.1.2:1"]
COMPLETE = Answered(200, (), b"")


@pytest.fixture
def board() -> Blackboard:
    board = Blackboard(Identity("127.0.0.9:1", "here", "region", "1"))
    for address in NEAR:
        board.members.members[address] = Member(
            Identity(address, "here", "region", "1"),
            service="a",
            server_state=ServerState.SERVING,
            headroom=50,
            threshold=FULL_THRESHOLD,
            heard_s=NOW_S,
        )
    board.members.summaries["there", "a"] = ServiceSummary(
        "there", "a", 1, 2, 100, FULL_THRESHOLD, tuple(FAR), NOW_S
    )
    return board


def change(board: Blackboard, address: str, **changes: object) -> None:
    members = board.members.members
    members[address] = evolve(members[address], **changes)


def choose(
    board: Blackboard,
    state: RoutingState,
    count: int = 400,
    rank: int = 0,
    now_s: float = NOW_S,
    excluded: tuple[str, ...] = (),
) -> Counter[str | None]:
    """Choose for calls that end at once."""
    rng = random.Random(3)
    chosen: Counter[str | None] = Counter()
    for _ in range(count):
        address = choose_server(board, state, "a", excluded, rank, rng, now_s)
        chosen[address] += 1
    return chosen


def test_own_failure_domain_first_and_evenly(board: Blackboard) -> None:
    chosen = choose(board, RoutingState(NOW_S))
    assert set(chosen) == set(NEAR)
    assert max(chosen.values()) < 2 * min(chosen.values())


@pytest.mark.parametrize(
    "gone",
    [
        {"state": MemberState.SUSPECT},
        {"state": MemberState.LEFT},
        {"server_state": ServerState.DRAINING},
        {"server_state": ServerState.STARTING},
    ],
)
def test_nothing_to_a_server_that_leaves(board: Blackboard, gone: dict) -> None:
    state = RoutingState(NOW_S)
    choose(board, state)
    change(board, NEAR[0], **gone)
    assert set(choose(board, state)) == set(NEAR[1:])
    for address in NEAR[1:]:
        change(board, address, **gone)
    assert set(choose(board, state)) == set(FAR)
    board.members.summaries.clear()
    assert set(choose(board, state)) == {None}


def test_spills_over_when_there_is_no_room(board: Blackboard) -> None:
    state = RoutingState(NOW_S)
    for address in NEAR:
        change(board, address, headroom=5)
    rng = random.Random(3)
    chosen = []
    for _ in range(30):
        address = choose_server(board, state, "a", (), 0, rng, NOW_S)
        state.record_start(address, NOW_S)
        chosen.append(address)
    assert set(chosen[:15]) <= set(NEAR)
    assert set(chosen[-5:]) <= set(FAR)


def test_prefers_servers_that_admit_the_rank(board: Blackboard) -> None:
    change(board, NEAR[0], threshold=500)
    change(board, NEAR[1], threshold=500)
    assert set(choose(board, RoutingState(NOW_S), rank=600)) == set(NEAR[2:])
    for address in NEAR:
        change(board, address, threshold=500)
    assert set(choose(board, RoutingState(NOW_S), rank=600)) == set(FAR)


def test_no_herd_on_a_new_server(board: Blackboard) -> None:
    state = RoutingState(NOW_S - 60)
    new = board.members.members.pop(NEAR[0])
    choose(board, state, now_s=NOW_S - 55)
    for second in range(55):
        state.refresh(board, NOW_S - 55 + second)
    board.members.members[NEAR[0]] = evolve(new, headroom=500)
    counts = []
    for second in range(31):
        state.refresh(board, NOW_S + second)
        counts.append(choose(board, state, now_s=NOW_S + second)[NEAR[0]])
    assert counts[0] < 40 < counts[4] < counts[30]


def test_failing_server_is_avoided_and_probed(board: Blackboard) -> None:
    state = RoutingState(NOW_S)
    for _ in range(3):
        state.record_start(NEAR[0], NOW_S)
        state.record_end(NEAR[0], MayHaveRun(Reason.SERVER_SILENT), 1.0, NOW_S)
    assert choose(board, state)[NEAR[0]] == 0
    later_s = NOW_S + 1.5
    assert choose(board, state, now_s=later_s)[NEAR[0]] > 0
    state.record_start(NEAR[0], later_s)
    assert choose(board, state, now_s=later_s)[NEAR[0]] == 0
    state.record_end(NEAR[0], COMPLETE, 0.1, later_s)
    change(board, NEAR[0], heard_s=later_s)
    assert choose(board, state, now_s=later_s)[NEAR[0]] > 40
    state.record_start(NEAR[1], later_s)
    state.record_end(NEAR[1], NotRun(Reason.DRAINING), 0.1, later_s)
    assert choose(board, state, now_s=later_s)[NEAR[1]] == 0


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


def test_member_that_is_held_back_serves_when_nobody_else_does(
    board: Blackboard,
) -> None:
    for address in NEAR:
        change(board, address, held=True)
    assert set(choose(board, RoutingState())) == set(FAR)
    board.members.summaries.clear()
    assert set(choose(board, RoutingState())) == set(NEAR)
    change(board, NEAR[0], server_state=ServerState.DRAINING)
    chosen = choose(board, RoutingState(), excluded=(NEAR[1],))
    assert set(chosen) == set(NEAR[2:])
