"""Age of the last confirmation that the records of the log are current."""

from __future__ import annotations

import math
import random

import anyio
import pytest
from attrs import define
from loguru import logger

from eelgrassmount.topics.follower import CHECK_WAIT_S, TopicFollower
from eelgrassmount.topics.freshness import LOG_SOURCE, LogFreshness
from eelgrassmount.topics.store import Batch, Snapshot, StoredRecord
from tests.relay.virtual import run_virtually

ANSWER_TIME_S = 0.3


@define
class StubFollower:
    confirmed_s: float


def make_freshness(*read_s: float, now_s: float = 100.0) -> LogFreshness:
    return LogFreshness([StubFollower(one) for one in read_s], lambda: now_s)


def test_topic_that_was_read_longest_ago_counts():
    assert make_freshness(99.0, 97.0).compute_age_s() == 3.0
    assert math.isinf(make_freshness(99.0, -math.inf).compute_age_s())
    assert math.isinf(make_freshness().compute_age_s())


def test_later_of_own_reads_and_other_nodes_counts():
    freshness = make_freshness(97.0)
    freshness.receive(98.0, "node-2")
    freshness.receive(96.0, "node-3")
    assert (freshness.compute_age_s(), freshness.find_source()) == (2.0, "node-2")
    freshness.reset()
    assert (freshness.compute_age_s(), freshness.find_source()) == (3.0, LOG_SOURCE)


def test_old_records_are_reported_once_and_when_they_are_confirmed_again():
    lines = []
    sink = logger.add(lambda line: lines.append(line.record), level="INFO")
    freshness = make_freshness(-math.inf)
    # Nothing is confirmed yet at the start.
    freshness.report(0, reading=True)
    freshness.clock = lambda: 107.0
    freshness.receive(101.0, "node-3")
    for _ in range(3):
        freshness.report(7, reading=True)
    freshness.receive(106.0, "node-2")
    for _ in range(3):
        freshness.report(8, reading=True)
    logger.remove(sink)
    assert [line["message"] for line in lines] == ["log unconfirmed", "log confirmed"]
    extra = lines[0]["extra"]
    assert (extra["age_s"], extra["source"], extra["version"]) == (6.0, "node-3", 7)


@define(eq=False)
class SlowLog:
    """A log whose answers take some time in addition to what they wait for records."""

    records: tuple[StoredRecord, ...] = ()

    async def read_newest(self, topic: str) -> Snapshot:
        await anyio.sleep(ANSWER_TIME_S)
        return Snapshot((), 5)

    async def read(self, topic: str, offset: int, wait_s: float) -> Batch:
        await anyio.sleep(ANSWER_TIME_S if self.records else wait_s + ANSWER_TIME_S)
        return Batch(self.records, offset + len(self.records))


@pytest.mark.parametrize("records", [(), (StoredRecord("a", b"b"),)])
def test_read_confirms_what_was_on_the_log_when_it_was_sent(records):
    """Guards against counting a late answer as a recent one."""

    async def main(network: object) -> None:
        log = SlowLog(records)
        follower = TopicFollower(log, "keyed.x", lambda found: None, random.Random(1))
        follower.clock = anyio.current_time
        started_s = anyio.current_time()
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(ANSWER_TIME_S + 0.01)
            assert follower.confirmed_s == pytest.approx(started_s, abs=0.01)
            while follower.confirmed_s <= started_s + 0.01:
                await anyio.sleep(0.01)
            age_s = anyio.current_time() - follower.confirmed_s
            assert age_s == pytest.approx(ANSWER_TIME_S, abs=0.03)
            group.cancel_scope.cancel()

    run_virtually(main)


@define(eq=False)
class HastyLog:
    """A log whose reads return without records before they have waited."""

    reads: int = 0

    async def read_newest(self, topic: str) -> Snapshot:
        return Snapshot((), 5)

    async def read(self, topic: str, offset: int, wait_s: float) -> Batch:
        self.reads += 1
        await anyio.sleep(0.01)
        return Batch((), offset)


def test_read_that_returns_early_confirms_no_later_time():
    """Guards against records that count as confirmed for a time to come."""

    async def main(network: object) -> None:
        log = HastyLog()
        follower = TopicFollower(log, "keyed.x", lambda found: None, random.Random(1))
        follower.clock = anyio.current_time
        seconds = 3.0
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            with anyio.move_on_after(seconds):
                while True:
                    await anyio.sleep(0.003)
                    assert follower.confirmed_s <= anyio.current_time()
            group.cancel_scope.cancel()
        assert log.reads <= 1 + seconds / CHECK_WAIT_S

    run_virtually(main)
