"""The runs of one backend server, each told to the journal before it begins."""

from __future__ import annotations

import itertools
import os
import time
from collections import Counter
from typing import Any

from attrs import asdict, define

from standins.journal import JournalConnection, open_line


@define
class Run:
    """One run of a request; times are of the machine's monotonic clock, in seconds."""

    run: str
    service: str
    server: str
    route: str
    call: str
    request: str
    started: float | None = None
    finished: float | None = None
    outcome: str = "waiting"

    @property
    def busy_ms(self) -> float:
        """Time that it held a slot, so far."""
        end = time.monotonic() if self.finished is None else self.finished
        return (end - self.started) * 1000


class RunTable:
    """Runs that have begun; without a journal address they are kept here only."""

    def __init__(self, service: str, server: str, journal_address: str) -> None:
        self.runs: list[Run] = []
        self._service = service
        self._server = server
        self._journal_address = journal_address
        self._line: JournalConnection | None = None
        self._ids = itertools.count(1)

    def make(self, route: str, call: str, request: str) -> Run:
        """Make a run that has not begun."""
        run_id = f"{self._server}.{os.getpid()}.{next(self._ids)}"
        return Run(run_id, self._service, self._server, route, call, request)

    async def begin(self, run: Run) -> None:
        """Record that it begins, and return when the journal has it."""
        run.started = time.monotonic()
        run.outcome = "running"
        self.runs.append(run)
        if not self._journal_address:
            return
        if self._line is None or self._line.closed:
            self._line = await open_line(self._journal_address)
        await self._line.write(asdict(run))

    def end(self, run: Run, outcome: str) -> None:
        """Record how it ended."""
        run.finished = time.monotonic()
        run.outcome = outcome
        if self._line is not None and not self._line.closed:
            self._line.write(asdict(run))

    def count(self) -> dict[str, Any]:
        """Return busy and wasted time and counts by route and outcome."""
        kept = ("finished", "running")
        wasted = [run.busy_ms for run in self.runs if run.outcome not in kept]
        return {
            "busy_ms": sum(run.busy_ms for run in self.runs),
            "wasted_ms": sum(wasted),
            "routes": dict(Counter(run.route for run in self.runs)),
            "outcomes": dict(Counter(run.outcome for run in self.runs)),
        }
