"""Stalls of the event loop and the causes that their log lines show."""

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
    """A process whose clocks the test advances."""

    def __init__(self):
        self.times = ProcessTimes(100.0, 200.0, 5.0, 7)
        self.slowest = SlowestAction()
        self.counted = []
        self.watch = StallWatch(
            0.1, lambda: self.times, self.slowest.pop, self.counted.append
        )

    def advance(self, steady_s, cpu_s=0.0, suspended_s=0.0, switches=0):
        times = self.times
        self.times = ProcessTimes(
            times.steady_s + steady_s,
            times.boot_s + steady_s + suspended_s,
            times.cpu_s + cpu_s,
            times.switches + switches,
        )
        self.watch.check()


def test_busy_node_logs_the_slowest_action(lines):
    process = Process()
    process.slowest.record(lines.append, 0.02)
    process.slowest.record(Process.advance, 0.9)
    process.advance(1.1, cpu_s=1.05)
    assert lines == [
        {
            "message": "node stalled",
            "stalled_s": 1.0,
            "suspended_s": 0.0,
            "cpu_s": 1.05,
            "switches": 0,
            "action": "Process.advance",
            "action_s": 0.9,
        }
    ]


def test_paused_vm_shows_no_processor_time(lines):
    process = Process()
    process.advance(1.1, switches=12)
    assert (lines[0]["stalled_s"], lines[0]["cpu_s"]) == (1.0, 0.0)
    assert lines[0]["switches"] == 12


def test_suspension_is_logged_although_the_steady_clock_excludes_it(lines):
    process = Process()
    process.advance(0.1, suspended_s=3.0)
    assert (lines[0]["stalled_s"], lines[0]["suspended_s"]) == (0.0, 3.0)


def test_suspension_before_an_early_check_counts_no_negative_stall():
    # A check slightly before its period must not count a negative stall: the counter
    # raises an exception on that, and no line is logged.
    process = Process()
    process.advance(0.098, suspended_s=3.0)
    assert process.counted == [0.0]


def test_short_pauses_are_ignored(lines):
    process = Process()
    process.advance(0.25)
    assert lines == []
    assert process.counted == []


def test_log_lines_are_limited_and_the_counter_is_complete(lines):
    process = Process()
    for _ in range(10):
        process.advance(0.4)
    assert len(process.counted) == 10
    assert len(lines) == 4


def test_slowest_action_is_reset_when_taken():
    slowest = SlowestAction()
    slowest.record(slowest.pop, 0.3)
    assert slowest.pop() == ("SlowestAction.pop", 0.3)
    assert slowest.pop() == ("", 0.0)
