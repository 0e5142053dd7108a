"""Writes log lines on a thread, so that no caller waits for their reader."""

from __future__ import annotations

import os
import select
import threading
import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines beyond this size, together, are lost while nobody reads.
MAX_QUEUED_BYTES = 4 * 1024 * 1024
# Interval of checks whether a non-blocking descriptor takes bytes again.
POLL_INTERVAL_S = 0.2


class LogWriter:
    r"""Writes whole lines to a file descriptor, in order.

    Lines that don't fit into the queue are lost. Before the next line, or once the
    queue is empty, a line made by ``describe_loss`` says how many they were::

        writer = LogWriter(1, lambda lines: b"%d lines lost\n" % lines)
        writer.write(b"started\n")
        writer.flush(0.5)

    A descriptor whose reader has closed it gets no more lines.
    """

    def __init__(
        self,
        descriptor: int,
        describe_loss: Callable[[int], bytes],
        max_bytes: int = MAX_QUEUED_BYTES,
    ):
        self.lost_lines = 0
        self.closed = False
        self._descriptor = descriptor
        self._describe_loss = describe_loss
        self._max_bytes = max_bytes
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._unreported = 0
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None

    def write(self, line: bytes) -> None:
        """Queue a line, or count it as lost."""
        with self._changed:
            if self.closed:
                return
            if self._queued_bytes + len(line) > self._max_bytes:
                self.lost_lines += 1
                self._unreported += 1
                return
            self._report_loss()
            self._add(line)
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()
            self._changed.notify_all()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all lines are written; return whether they are."""
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            while self._lines and not self.closed:
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0.0:
                    return False
                self._changed.wait(remaining_s)
            return not self._lines

    def _add(self, line: bytes) -> None:
        self._lines.append(line)
        self._queued_bytes += len(line)

    def _report_loss(self) -> None:
        if self._unreported:
            self._add(self._describe_loss(self._unreported))
            self._unreported = 0

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._lines:
                    self._changed.wait()
                line = self._lines[0]
            try:
                self._write_whole(line)
            except OSError:
                self._close()
                return
            with self._changed:
                self._lines.popleft()
                self._queued_bytes -= len(line)
                if not self._lines:
                    self._report_loss()
                self._changed.notify_all()

    def _write_whole(self, line: bytes) -> None:
        while line:
            try:
                line = line[os.write(self._descriptor, line) :]
            except BlockingIOError:
                select.select([], [self._descriptor], [], POLL_INTERVAL_S)

    def _close(self) -> None:
        with self._changed:
            self.closed = True
            self._lines.clear()
            self._queued_bytes = 0
            self._changed.notify_all()
