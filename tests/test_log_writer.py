"""Log lines whose reader is slow, silent or gone."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time

import pytest

from eelgrassmount.log_writer import LogWriter

LINE = b"x" * 250 + b"\n"
BURST = 10_000
TIMEOUT_S = 10.0


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    yield read_end, write_end
    for descriptor in (read_end, write_end):
        try:
            os.close(descriptor)
        except OSError:
            continue


def describe_loss(lines: int) -> bytes:
    return b"lost %d\n" % lines


def sum_losses(lines: list[bytes]) -> int:
    return sum(int(line[5:]) for line in lines if line.startswith(b"lost "))


def read_until(read_end: int, is_complete) -> list[bytes]:
    """Read lines until they are complete."""
    data = b""
    while not is_complete(data.split(b"\n")[:-1]):
        data += os.read(read_end, 65536)
    lines = data.split(b"\n")
    assert lines.pop() == b""
    return lines


# Guards against a node that stands still while nobody reads its log.
@pytest.mark.parametrize("nonblocking", [False, True])
def test_lines_that_nobody_reads_are_counted_and_the_count_is_written(
    pipe, nonblocking
):
    read_end, write_end = pipe
    os.set_blocking(write_end, not nonblocking)
    writer = LogWriter(write_end, describe_loss, max_bytes=100_000)
    for _ in range(BURST):
        writer.write(LINE)
    assert not writer.flush(0.05)
    assert writer.lost_lines > 0
    lines = read_until(
        read_end,
        lambda lines: lines.count(LINE[:-1]) + sum_losses(lines) == BURST,
    )
    assert sum_losses(lines) == writer.lost_lines
    assert lines[-1].startswith(b"lost")
    writer.write(b"next\n")
    assert read_until(read_end, len) == [b"next"]
    assert writer.flush(TIMEOUT_S)


def test_loss_is_written_before_the_next_line(pipe):
    read_end, write_end = pipe
    writer = LogWriter(write_end, describe_loss, max_bytes=len(LINE) * 1000)
    while not writer.lost_lines:
        writer.write(LINE)
    lost = writer.lost_lines
    os.read(read_end, 65536)
    time.sleep(0.1)
    writer.write(b"next\n")
    lines = read_until(read_end, lambda lines: b"next" in lines)
    assert lines[-2:] == [b"lost %d" % lost, b"next"]


def test_burst_is_read_whole(pipe):
    read_end, write_end = pipe
    writer = LogWriter(write_end, describe_loss)
    expected = [b"%d" % number for number in range(BURST)]
    found = []
    reader = threading.Thread(
        target=lambda: found.extend(
            read_until(read_end, lambda lines: len(lines) >= BURST)
        )
    )
    reader.start()
    for line in expected:
        writer.write(line + b"\n")
    assert writer.flush(TIMEOUT_S)
    reader.join(TIMEOUT_S)
    assert found == expected


def test_reader_of_single_bytes_holds_up_nobody(pipe):
    read_end, write_end = pipe
    writer = LogWriter(write_end, describe_loss, max_bytes=100_000)
    started_s = time.monotonic()
    for _ in range(200):
        for _ in range(50):
            writer.write(LINE)
        os.read(read_end, 1)
    assert not writer.flush(0.1)
    assert time.monotonic() - started_s < TIMEOUT_S


@pytest.mark.parametrize("is_full", [True, False])
def test_lines_for_a_closed_pipe_are_dropped(pipe, is_full):
    read_end, write_end = pipe
    writer = LogWriter(write_end, describe_loss, max_bytes=100_000)
    if is_full:
        for _ in range(BURST):
            writer.write(LINE)
    os.close(read_end)
    for _ in range(3):
        writer.write(LINE)
        writer.flush(TIMEOUT_S)
    assert writer.closed
    assert writer.flush(0.0)


PROGRAM = """
import sys
from loguru import logger
from eelgrassmount.logging_setup import configure_logging
configure_logging("info", sys.stdout)
for number in range(int(sys.argv[1])):
    logger.info("line", number=number)
"""


@pytest.mark.parametrize(("lines", "is_read"), [(3, True), (5_000, False)])
def test_process_ends_with_its_last_lines_unless_nobody_reads(lines, is_read):
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(lines)], stdout=subprocess.PIPE
    )
    try:
        if not is_read:
            assert process.wait(TIMEOUT_S) == 0
        output = process.communicate(timeout=TIMEOUT_S)[0]
    finally:
        process.kill()
    if is_read:
        assert output.count(b"\n") == lines
