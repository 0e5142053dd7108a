"""Runs of one backend server, each reported to the journal before it starts."""

from __future__ import annotations

import itertools
import os
import time
from collections import Counter
from typing import Any

from attrs import asdict, define

from standins.journal import JournalConnection, open_connection


@define
class Run:
    """One run of a request; times are seconds of the monotonic clock."""

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
        """Time in milliseconds that the run has held a slot so far."""
        end = time.monotonic() if self.finished is None else self.finished
        return (end - self.started) * 1000


class RunTable:
    """Started runs; they are also sent to the journal if it has an address."""

    def __init__(self, service: str, server: str, journal_address: str) -> None:
        self.runs: list[Run] = []
        self._service = service
        self._server = server
        self._journal_address = journal_address
        self._connection: JournalConnection | None = None
        self._ids = itertools.count(1)

    def make(self, route: str, call: str, request: str) -> Run:
        """Create a run that has not started."""
        run_id = f"{self._server}.{os.getpid()}.{next(self._ids)}"
        return Run(run_id, self._service, self._server, route, call, request)

    async def start(self, run: Run) -> None:
        """Record the start of a run; return when the journal has stored it."""
        run.started = time.monotonic()
        run.outcome = "running"
        self.runs.append(run)
        if not self._journal_address:
            return
        if self._connection is None or self._connection.closed:
            self._connection = await open_connection(self._journal_address)
        await self._connection.write(asdict(run))

    def finish(self, run: Run, outcome: str) -> None:
        """Record the outcome of a run."""
        run.finished = time.monotonic()
        run.outcome = outcome
        if self._connection is not None and not self._connection.closed:
            self._connection.write(asdict(run))

    def count(self) -> dict[str, Any]:
        """Return busy time, wasted time, and counts by route and by outcome."""
        useful = ("finished", "running")
        wasted = [run.busy_ms for run in self.runs if run.outcome not in useful]
        return {
            "busy_ms": sum(run.busy_ms for run in self.runs),
            "wasted_ms": sum(wasted),
            "routes": dict(Counter(run.route for run in self.runs)),
            "outcomes": dict(Counter(run.outcome for run in self.runs)),
        }
