"""Counts and rate-limited log lines of rejected messages."""

from __future__ import annotations

from contextlib import contextmanager

from loguru import logger

from eelgrassmount.relay.rejected_messages import (
    LOG_INTERVAL_S,
    MAX_SHOWN_CHARS,
    MAX_TRACKED_CAUSES,
    MessageKind,
    RejectedMessages,
)

KIND = MessageKind.ANNOUNCEMENT


@contextmanager
def capture_lines():
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message} {extra}")
    try:
        yield lines
    finally:
        logger.remove(sink)


def make_rejected_messages(now_s: list[float]) -> RejectedMessages:
    return RejectedMessages(lambda: now_s[0])


def test_same_cause_is_logged_once_per_interval():
    now_s = [0.0]
    rejected = make_rejected_messages(now_s)
    with capture_lines() as lines:
        for _ in range(10):
            rejected.record(KIND, "10.0.0.1", "info.slots", "give a whole number")
        assert len(lines) == 1
        rejected.record(KIND, "10.0.0.1", "info.service", "give a text")
        rejected.record(KIND, "10.0.0.2", "info.slots", "give a whole number")
        assert len(lines) == 3
        now_s[0] = LOG_INTERVAL_S
        rejected.record(KIND, "10.0.0.1", "info.slots", "give a whole number")
        assert len(lines) == 4
    assert rejected.totals == {"announcement": 13}
    assert "10.0.0.1" in lines[3]
    assert "'refused': 13" in lines[3]


def test_many_sources_keep_lines_and_memory_bounded():
    now_s = [0.0]
    rejected = make_rejected_messages(now_s)
    with capture_lines() as lines:
        for number in range(3 * MAX_TRACKED_CAUSES):
            rejected.record(KIND, f"writer-{number}", "body", "not JSON")
        assert len(lines) == MAX_TRACKED_CAUSES
        assert len(rejected._logged_s) == MAX_TRACKED_CAUSES
        now_s[0] = LOG_INTERVAL_S
        rejected.record(KIND, "writer-x", "body", "not JSON")
    assert len(rejected._logged_s) == 1
    assert rejected.totals[KIND] == 3 * MAX_TRACKED_CAUSES + 1


def test_long_source_is_truncated():
    rejected = make_rejected_messages([0.0])
    with capture_lines() as lines:
        rejected.record(KIND, "s" * 10_000, "body", "d" * 10_000)
    assert len(lines[0]) < 4 * MAX_SHOWN_CHARS
    assert max(len(source) for _, source, _ in rejected._logged_s) == MAX_SHOWN_CHARS


def test_counter_is_incremented():
    counted = []
    rejected = RejectedMessages(
        lambda: 0.0, lambda kind, messages: counted.append((kind, messages))
    )
    rejected.record(MessageKind.NODE, "key", "address", "give an address")
    rejected.record(MessageKind.RECORD, "topic", "no key", "no key", 3)
    assert counted == [("node-record", 1), ("record", 3)]


def test_rejected_configuration_is_an_error():
    rejected = make_rejected_messages([0.0])
    lines: list[str] = []
    sink = logger.add(lines.append, format="{level}")
    try:
        rejected.record(
            MessageKind.CONFIGURATION, "", "version", "give one such as r12"
        )
        rejected.record(MessageKind.LEARNED, "", "bad record", "no name of a route")
    finally:
        logger.remove(sink)
    assert [line.strip() for line in lines] == ["ERROR", "WARNING"]
