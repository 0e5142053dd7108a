"""Admission at the entry node, shares of classes and retry delays."""

from __future__ import annotations

import random

import pytest

from eelgrassmount.config.classes import Document, WorkClass
from eelgrassmount.context import PRIORITY_LEVELS
from eelgrassmount.load.admission import EntryMeters, admit_at_entry
from eelgrassmount.load.exchange import LoadExchange, combine_loads
from eelgrassmount.load.refusals import (
    AdmissionMeter,
    compute_retry_after,
    spread_retry_after,
)
from eelgrassmount.load.shares import ShareTable, adjust_shares, scale_priority
from eelgrassmount.load.state import FULL_THRESHOLD, ServiceLoad
from eelgrassmount.members.table import Identity
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.verdict import Reason

NOW_S = 100.0
BOOKING = WorkClass("booking", (), False, True, 0.99, 1000)
LOOKUP = WorkClass("lookup", (), True, False, 0.8, 1000)
STATUS = WorkClass("status", (), True, False, 0.4, 1000)


@pytest.fixture
def shared_state() -> SharedNodeState:
    return SharedNodeState(Identity("127.0.0.1:1", "here", "region", "1"))


def is_admitted(
    shared_state: SharedNodeState, work_class: WorkClass, priority: int, now_s: float
) -> bool:
    refusal = admit_at_entry(
        shared_state, EntryMeters(), work_class, "a", priority, random.Random(1), now_s
    )
    assert refusal is None or refusal.reason is Reason.OVERLOAD
    assert refusal is None or refusal.retry_after_s > 0
    return refusal is None


def test_entry_refuses_what_a_downstream_service_would_refuse(
    shared_state: SharedNodeState,
) -> None:
    exchange = LoadExchange(shared_state.loads)
    deep = ServiceLoad("c", PRIORITY_LEVELS + 300)
    exchange.merge("127.0.0.1:7", "a", [ServiceLoad("a"), deep], NOW_S)
    assert is_admitted(shared_state, LOOKUP, 300, NOW_S)
    exchange.learn("lookup", ["a", "c"])
    assert not is_admitted(shared_state, LOOKUP, 300, NOW_S)
    assert is_admitted(shared_state, LOOKUP, 299, NOW_S)
    assert is_admitted(shared_state, BOOKING, 1023, NOW_S)
    assert is_admitted(shared_state, STATUS, 1023, NOW_S)
    # The threshold rises gradually without new reports.
    assert not is_admitted(shared_state, LOOKUP, 1000, NOW_S + 1.5)
    assert is_admitted(shared_state, LOOKUP, 600, NOW_S + 1.9)
    assert is_admitted(shared_state, LOOKUP, 1023, NOW_S + 3.0)


def test_fresh_relayed_load_goes_before_an_old_direct_one(
    shared_state: SharedNodeState,
) -> None:
    exchange = LoadExchange(shared_state.loads)
    exchange.merge("127.0.0.1:7", "c", [ServiceLoad("c", 2048)], NOW_S - 1.0)
    exchange.merge("127.0.0.1:8", "a", [ServiceLoad("c", 300)], NOW_S)
    exchange.learn("booking", ["a", "c"])
    assert not is_admitted(shared_state, BOOKING, 301, NOW_S)
    assert is_admitted(shared_state, BOOKING, 299, NOW_S)


def test_class_that_no_longer_uses_a_service_is_admitted(
    shared_state: SharedNodeState,
) -> None:
    exchange = LoadExchange(shared_state.loads)
    exchange.merge("127.0.0.1:7", "a", [ServiceLoad("c", 0)], NOW_S)
    exchange.learn("lookup", ["a", "c"])
    for _ in range(40):
        exchange.learn("lookup", ["a"])
    assert is_admitted(shared_state, LOOKUP, 300, NOW_S)


@pytest.mark.parametrize(
    ("thresholds", "combined"),
    [
        ((2048, 2048), 2048),
        ((2048, 1048), 1548),
        ((0, 1500), 1024),
        ((0, 500), 500),
    ],
)
def test_load_of_a_service_combines_the_thresholds_of_its_servers(
    thresholds: tuple[int, ...], combined: int
) -> None:
    loads = [ServiceLoad("a", threshold, received_s=NOW_S) for threshold in thresholds]
    assert combine_loads("a", loads, NOW_S).threshold == combined


def test_answer_carries_the_loads_of_all_used_services(
    shared_state: SharedNodeState,
) -> None:
    exchange = LoadExchange(shared_state.loads)
    exchange.merge("127.0.0.1:7", "b", [ServiceLoad("b", 700)], NOW_S)
    exchange.record_downstream("call", "b", [ServiceLoad("b"), ServiceLoad("c")])
    own = ServiceLoad("a", 900)
    loads = {load.service: load for load in exchange.collect("call", own, NOW_S)}
    assert loads["a"] == own
    assert loads["b"].threshold == 700
    assert loads["c"].threshold == FULL_THRESHOLD
    assert exchange.collect("call", own, NOW_S) == (own,)


def test_shares_follow_the_shortfall_of_each_target() -> None:
    table = ShareTable()

    def run(seconds: int, document: Document, start_s: float) -> float:
        """Admit 60 % of the tier by priority, scaled by the shares."""
        now_s = start_s
        rng = random.Random(1)
        threshold = 0.6 * PRIORITY_LEVELS
        capacity = 0.6
        for step in range(seconds * 100):
            now_s = start_s + step / 100
            for name in ("lookup", "status"):
                priority = rng.randrange(PRIORITY_LEVELS)
                scaled = scale_priority(priority, table.find_share(name))
                table.record_request(name, scaled < threshold, now_s)
                threshold += 10 * (capacity - (scaled < threshold))
            if step % 50 == 0:
                adjust_shares(table, document, now_s)
        record = table.records["lookup"]
        return record.complete.read(now_s) / record.offered.read(now_s)

    before = run(20, Document((LOOKUP, STATUS)), NOW_S)
    assert before == pytest.approx(0.8, abs=0.1)
    swapped = Document(
        (
            WorkClass("lookup", (), True, False, 0.4, 1000),
            WorkClass("status", (), True, False, 0.8, 1000),
        )
    )
    share = table.find_share("lookup")
    adjust_shares(table, swapped, NOW_S + 20)
    assert table.find_share("lookup") == pytest.approx(share, rel=0.5)
    after = run(30, swapped, NOW_S + 20)
    assert after < before - 0.15


def test_retry_delay_grows_with_the_refused_share() -> None:
    means = []
    for refused in (0, 1, 4):
        meter = AdmissionMeter()
        for step in range(2000):
            now_s = step / 100
            meter.record_admitted(now_s)
            for _ in range(refused):
                meter.record_refused(now_s)
        means.append(compute_retry_after(meter, now_s))
    assert means == [0.5, pytest.approx(5, rel=0.05), pytest.approx(20, rel=0.05)]
    rng = random.Random(1)
    delays = [spread_retry_after(means[1], rng) for _ in range(1000)]
    assert min(delays) < 3.0 and max(delays) > 7.0
