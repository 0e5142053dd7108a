"""What a node does at each step: levels, shares and reports."""

from __future__ import annotations

import math
from heapq import nlargest
from operator import itemgetter
from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.rows import write_rows

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.beliefs import Beliefs
    from eelgrassmount.relay.gate import Gate
    from eelgrassmount.relay.inbound import Inbound
    from eelgrassmount.relay.routes import RouteTable

# rows of the vectors that one report carries at most
MAX_ROWS = 200
# the rows go along with the reports of every so many steps
ROWS_PERIOD = 5
# reports that one step sends at most on average: with more callers, not every step has
# one, as reports would else grow with the square of the nodes
REPORTS_PER_STEP = 16
# the same while the own server is short: those who send it nothing themselves are told
# as well, since their requests lead to it through others
REPORTS_PER_STEP_LOADED = 40
# demand and wait, as parts of what is possible and allowed, from which on they are told
LOADED_DEMAND = 0.7
LOADED_WAIT = 0.3
# shares and times travel as whole numbers
SCALE = 1000
PPM = 1_000_000
MS = 1000.0


@define(eq=False)
class Controllers:
    """What runs at each step: levels, shares, and reports to other nodes."""

    beliefs: Beliefs
    gate: Gate
    inbound: Inbound
    update_levels: Callable[[], None]
    update_shares: Callable[[RouteTable], None]
    _steps: int = 0
    _told_step: int = 0
    _rows_step: int = 0

    def step(self) -> None:
        """Work out the levels of all services and the shares of routes, and report."""
        self.gate.update_load()
        self._note_own_load()
        self.update_levels()
        self.update_shares(self.beliefs.table)
        # a second's worth of it at once would keep the node from answering
        self.beliefs.learner.solve_next()
        self._steps += 1
        if self._steps - self._told_step >= self._find_period():
            self._told_step = self._steps
            with_rows = self._steps - self._rows_step >= ROWS_PERIOD
            if with_rows:
                self._rows_step = self._steps
            report = self.make_report(with_rows)
            only_active = not self._is_loaded()
            self.inbound.tell_all(FrameKind.REPORT, report, only_active=only_active)

    def _find_period(self) -> int:
        """Return the steps between two reports, more with more callers."""
        if self._is_loaded():
            told = len(self.inbound.connections)
            return max(1, math.ceil(told / REPORTS_PER_STEP_LOADED))
        callers = self.inbound.count_active()
        return max(1, math.ceil(callers / REPORTS_PER_STEP))

    def _is_loaded(self) -> bool:
        load = self.gate.measures.load
        return load.demand > LOADED_DEMAND or load.wait > LOADED_WAIT

    def report_now(self) -> None:
        """Tell the other nodes at once, as when the server leaves."""
        self._note_own_load()
        report = self.make_report(False)
        self.inbound.tell_all(FrameKind.REPORT, report, only_active=False)

    def make_report(self, with_rows: bool) -> ttypes.RelayReport:
        """Return what this node tells of its server."""
        beliefs = self.beliefs
        rows = []
        counts = []
        if with_rows:
            busiest = nlargest(
                MAX_ROWS, beliefs.called_before.items(), key=itemgetter(1)
            )
            counts = [ttypes.RouteCount(name, count) for name, count in busiest]
            rows = write_rows(beliefs.own_vectors)
        return ttypes.RelayReport(
            self._accepts(),
            self.gate.in_flight,
            self.gate.queued,
            beliefs.server.compute_concurrency_limit(),
            round(self.gate.measures.load.demand * SCALE),
            beliefs.table.version,
            [
                ttypes.RouteTime(name, stats.run_s * MS)
                for name, stats in self.gate.measures.routes.items()
            ],
            rows[:MAX_ROWS],
            round(self.gate.measures.failure_share * PPM),
            counts,
            round(self.gate.measures.load.wait * SCALE),
            round(self.gate.measures.lost_share * PPM),
        )

    def _accepts(self) -> bool:
        beliefs = self.beliefs
        refusal = beliefs.server.find_refusal_reason(beliefs.clock())
        return refusal is None and not beliefs.closing

    def _note_own_load(self) -> None:
        own = self.beliefs.members.by_name.get(self.beliefs.name)
        if own is None:
            return
        load = own.load
        load.accepting = self._accepts()
        load.in_flight = self.gate.in_flight
        load.queued = self.gate.queued
        load.limit = self.beliefs.server.compute_concurrency_limit()
        load.demand = self.gate.measures.load.demand
        load.wait = self.gate.measures.load.wait
        load.failure_share = self.gate.measures.failure_share
        load.lost_share = self.gate.measures.lost_share
        routes = self.gate.measures.routes
        load.run_s = {name: one.run_s for name, one in routes.items()}
        load.reported_s = self.beliefs.clock()
        own.sent_since = 0
