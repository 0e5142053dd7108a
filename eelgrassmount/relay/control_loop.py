"""Periodic steps of a node: admitted fractions and load reports."""

from __future__ import annotations

import math
from heapq import nlargest
from operator import itemgetter
from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.rejections import write_rejections
from eelgrassmount.relay.rows import write_rows
from eelgrassmount.relay.server_notices import make_notice, write_notice

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.dispatcher import Dispatcher
    from eelgrassmount.relay.inbound import InboundLinks
    from eelgrassmount.relay.rejections import Rejections
    from eelgrassmount.relay.routes import RouteTable
    from eelgrassmount.relay.shared_state import SharedState

# Rows of each kind in one report.
MAX_ROWS = 200
# Steps between two reports with rows.
ROWS_PERIOD_STEPS = 5
# Limit on the mean number of reports per step. With more receivers, each gets reports
# less often; their number would otherwise grow with the square of the number of nodes.
MAX_REPORTS_PER_STEP = 16
# The same while the local server is loaded. Reports then go to all connected nodes, as
# requests of nodes that don't call this one may lead to it through other services.
MAX_REPORTS_PER_STEP_LOADED = 40
# Demand (fraction of capacity) and wait (fraction of the maximum mean wait) above which
# the local server counts as loaded.
MIN_LOADED_DEMAND = 0.7
MIN_LOADED_WAIT = 0.3
# Units of the integers in reports.
PER_MILLE = 1000
PPM = 1_000_000
MS_PER_S = 1000.0


@define(eq=False, repr=False)
class ControlLoop:
    """Updates the admitted fractions at each step and reports to other nodes.

    ``measure_rejections`` returns the rejections of the local server, if any.
    """

    state: SharedState
    dispatcher: Dispatcher
    inbound_links: InboundLinks
    update_service_fractions: Callable[[], None]
    update_class_fractions: Callable[[RouteTable], None]
    measure_rejections: Callable[[], Rejections | None] = lambda: None
    _steps: int = 0
    _last_report_step: int = 0
    _last_rows_step: int = 0
    _rejections: Rejections | None = None

    def step(self) -> None:
        """Update the admitted fractions, and send a report if one is due."""
        self.dispatcher.update_load()
        self._update_local_load()
        self.update_service_fractions()
        self.update_class_fractions(self.state.table)
        # In parts, so as not to block the event loop.
        self.state.learner.continue_solving()
        self._steps += 1
        if self._steps - self._last_report_step >= self._compute_report_period():
            self._last_report_step = self._steps
            with_rows = self._steps - self._last_rows_step >= ROWS_PERIOD_STEPS
            if with_rows:
                self._last_rows_step = self._steps
            report = self.make_report(with_rows)
            only_active = not self._is_loaded()
            self.inbound_links.broadcast(
                FrameKind.REPORT, report, only_active=only_active
            )

    def _compute_report_period(self) -> int:
        """Return the number of steps between two reports."""
        if self._is_loaded():
            connections = len(self.inbound_links.connections)
            return max(1, math.ceil(connections / MAX_REPORTS_PER_STEP_LOADED))
        senders = self.inbound_links.count_active_senders()
        return max(1, math.ceil(senders / MAX_REPORTS_PER_STEP))

    def _is_loaded(self) -> bool:
        load = self.dispatcher.measures.load
        return (
            load.demand > MIN_LOADED_DEMAND
            or load.wait > MIN_LOADED_WAIT
            or self._rejections is not None
        )

    def report_now(self) -> None:
        """Report to all connected nodes at once, for example when the server stops."""
        self._update_local_load()
        report = self.make_report(False)
        self.inbound_links.broadcast(FrameKind.REPORT, report, only_active=False)

    def make_report(self, with_rows: bool) -> ttypes.RelayReport:
        """Return the report on the local server."""
        state = self.state
        rows = []
        counts = []
        if with_rows:
            busiest = nlargest(
                MAX_ROWS, state.request_counts.items(), key=itemgetter(1)
            )
            counts = [ttypes.RouteCount(name, count) for name, count in busiest]
            rows = write_rows(state.local_vectors)
        return ttypes.RelayReport(
            self._is_accepting(),
            self.dispatcher.in_flight,
            self.dispatcher.queued,
            state.server.compute_concurrency_limit(),
            round(self.dispatcher.measures.load.demand * PER_MILLE),
            state.table.version,
            [
                ttypes.RouteTime(name, stats.run_s * MS_PER_S)
                for name, stats in self.dispatcher.measures.routes.items()
            ],
            rows[:MAX_ROWS],
            round(self.dispatcher.measures.failure_share * PPM),
            counts,
            round(self.dispatcher.measures.load.wait * PER_MILLE),
            round(self.dispatcher.measures.lost_share * PPM),
            self._find_usable_slots(),
            write_notice(make_notice(state.server)),
            write_rejections(self._rejections),
        )

    def _find_usable_slots(self) -> float | None:
        """Return the slots that a rate limit leaves, ``None`` without a limit."""
        if self.state.server.rate_limit.per_s is None:
            return None
        return self.dispatcher.compute_usable_slots()

    def _is_accepting(self) -> bool:
        state = self.state
        refusal = state.server.find_refusal_reason(state.clock())
        return refusal is None and not state.closing

    def _update_local_load(self) -> None:
        self._rejections = self.measure_rejections()
        local = self.state.members.by_name.get(self.state.name)
        if local is None:
            return
        load = local.load
        load.accepting = self._is_accepting()
        load.in_flight = self.dispatcher.in_flight
        load.queued = self.dispatcher.queued
        load.limit = self.dispatcher.compute_usable_slots()
        load.demand = self.dispatcher.measures.load.demand
        load.wait = self.dispatcher.measures.load.wait
        load.failure_share = self.dispatcher.measures.failure_share
        load.lost_share = self.dispatcher.measures.lost_share
        load.rejections = self._rejections
        routes = self.dispatcher.measures.routes
        load.run_s = {name: one.run_s for name, one in routes.items()}
        load.reported_s = self.state.clock()
        local.sent_since_report = 0
