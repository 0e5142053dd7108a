"""Pauses of the event loop, and what the lines say of their cause."""

from __future__ import annotations

import pytest
from loguru import logger

from eelgrassmount.relay.stalls import ProcessTimes, StallWatch
from eelgrassmount.timers import SlowestAction


@pytest.fixture
def lines():
    found = []
    handle = logger.add(
        lambda message: found.append(
            {"message": message.record["message"], **message.record["extra"]}
        ),
        level="WARNING",
    )
    yield found
    logger.remove(handle)


class Process:
    """A process whose clocks the test moves on."""

    def __init__(self):
        self.times = ProcessTimes(100.0, 200.0, 5.0, 7)
        self.slowest = SlowestAction()
        self.counted = []
        self.watch = StallWatch(
            0.1, lambda: self.times, self.slowest.take, self.counted.append
        )

    def pass_time(self, steady_s, cpu_s=0.0, suspended_s=0.0, switches=0):
        times = self.times
        self.times = ProcessTimes(
            times.steady_s + steady_s,
            times.boot_s + steady_s + suspended_s,
            times.cpu_s + cpu_s,
            times.switches + switches,
        )
        self.watch.check()


def test_node_that_works_too_long_names_the_action(lines):
    process = Process()
    process.slowest.note(lines.append, 0.02)
    process.slowest.note(Process.pass_time, 0.9)
    process.pass_time(1.1, cpu_s=1.05)
    assert lines == [
        {
            "message": "node stalled",
            "stalled_s": 1.0,
            "suspended_s": 0.0,
            "cpu_s": 1.05,
            "switches": 0,
            "action": "Process.pass_time",
            "action_s": 0.9,
        }
    ]


def test_vm_that_stands_still_shows_no_work(lines):
    process = Process()
    process.pass_time(1.1, switches=12)
    assert (lines[0]["stalled_s"], lines[0]["cpu_s"]) == (1.0, 0.0)
    assert lines[0]["switches"] == 12


def test_suspension_shows_though_the_steady_clock_did_not_count_it(lines):
    process = Process()
    process.pass_time(0.1, suspended_s=3.0)
    assert (lines[0]["stalled_s"], lines[0]["suspended_s"]) == (0.0, 3.0)


def test_suspension_just_before_a_look_counts_no_time_of_its_own():
    # The looks were 98 ms apart by the steady clock, and the counter, which can't go
    # back, was told of -2 ms: the check ended with an exception and wrote no line.
    process = Process()
    process.pass_time(0.098, suspended_s=3.0)
    assert process.counted == [0.0]


def test_short_pauses_are_no_stalls(lines):
    process = Process()
    process.pass_time(0.25)
    assert lines == []
    assert process.counted == []


def test_lines_are_bounded_and_the_counter_is_complete(lines):
    process = Process()
    for _ in range(10):
        process.pass_time(0.4)
    assert len(process.counted) == 10
    assert len(lines) == 4


def test_slowest_action_begins_anew_when_taken():
    slowest = SlowestAction()
    slowest.note(slowest.take, 0.3)
    assert slowest.take() == ("SlowestAction.take", 0.3)
    assert slowest.take() == ("", 0.0)
