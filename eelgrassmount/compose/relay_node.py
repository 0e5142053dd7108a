"""A node beside its backend server, with the handlers that connect its parts."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

from attrs import asdict, define, evolve, field
from loguru import logger

from eelgrassmount.errors import BadFrameError, PlatformDocumentError
from eelgrassmount.gen import ttypes
from eelgrassmount.platform.configuration import read_configuration
from eelgrassmount.platform.topic_names import CONFIGURATION_KEY, LEARNED_KEY
from eelgrassmount.relay.frames import FrameKind, decode_struct
from eelgrassmount.relay.rejected_messages import MessageKind
from eelgrassmount.topics.freshness import LOG_SOURCE

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.balancing.work_stealing import WorkStealing
    from eelgrassmount.entry.call_budget import CallBudget
    from eelgrassmount.entry.group_metrics import GroupMetrics
    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.http1.server import HttpListener
    from eelgrassmount.platform.store_client import StoreClient
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.control_loop import ControlLoop
    from eelgrassmount.relay.decisions import DecisionLog
    from eelgrassmount.relay.dispatcher import Dispatcher
    from eelgrassmount.relay.inbound import InboundLinks
    from eelgrassmount.relay.ingress import Ingress
    from eelgrassmount.relay.links import LinkManager
    from eelgrassmount.relay.metrics import RelayMetrics
    from eelgrassmount.relay.peer_updates import PeerUpdates
    from eelgrassmount.relay.rejected_messages import RejectedMessages
    from eelgrassmount.relay.rejections import ServiceRejections
    from eelgrassmount.relay.settings import RelaySettings
    from eelgrassmount.relay.shared_state import SharedState
    from eelgrassmount.relay.startup_check import StartupCheck
    from eelgrassmount.teams.exchange import QuotaExchange
    from eelgrassmount.timers import TimerService
    from eelgrassmount.topics.follower import TopicFollower
    from eelgrassmount.topics.learned import LearnedCalls
    from eelgrassmount.topics.readers import LogReaders
    from eelgrassmount.topics.store import StoredRecord

STATE_PATH = "/state"
JSON_CONTENT_TYPE = b"content-type: application/json\r\n"
METRICS_CONTENT_TYPE = b"content-type: text/plain; version=0.0.4\r\n"


@define(eq=False, repr=False)
class RelayNode:
    """All parts of a node beside its backend server."""

    settings: RelaySettings
    state: SharedState
    dispatcher: Dispatcher
    inbound: InboundLinks
    ingress: Ingress
    admission: Admission
    control_loop: ControlLoop
    links: LinkManager
    peer_updates: PeerUpdates
    decisions: DecisionLog
    metrics: RelayMetrics
    store: StoreClient
    timers: TimerService
    callers: HttpListener
    learned: LearnedCalls
    readers: LogReaders
    quotas: QuotaExchange
    rng: random.Random
    rejected_messages: RejectedMessages
    group_metrics: GroupMetrics
    rejections: ServiceRejections
    call_budget: CallBudget
    work_stealing: WorkStealing
    startup_check: StartupCheck
    check_settings: Callable[[], None] = lambda: None
    listeners: list[HttpListener] = field(factory=list)
    has_node_records: bool = False

    @property
    def followers(self) -> list[TopicFollower]:
        """Return the followers of the topics of the log."""
        return self.readers.followers

    def end(self) -> None:
        """Close every listener and connection."""
        self.startup_check.end()
        for listener in self.listeners:
            listener.end()
        self.inbound.end()
        self.dispatcher.pool.close_idle_connections()
        for member in list(self.state.members.by_name.values()):
            if member.link is not None:
                member.link.close()
        for link in self.state.members.list_retired():
            link.close()
        self.store.close()

    def apply_settings(self, settings: RelaySettings) -> None:
        """Apply changed settings, except the name and addresses.

        Heartbeats may name a new service from now on. The previous server may keep
        running until the first such heartbeat.
        """
        fixed = (
            *("name", "caller_address", "peer_address", "ready_address"),
            *("announce_address", "server_address", "log_address"),
        )
        kept = [
            name
            for name in fixed
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        logger.info("settings reloaded", kept_until_restart=kept)
        budget = self.dispatcher.budget
        budget.ratio = settings.retry_ratio
        budget.window_s = settings.retry_window_s
        budget.slack = settings.retry_slack
        self.quotas.allocator.bounds = settings.find_quota_bounds()
        self.state.server.apply_settings(settings.service)
        self.settings = evolve(
            self.settings,
            service=settings.service,
            grace_s=settings.grace_s,
            retry_ratio=settings.retry_ratio,
            quota_window_s=settings.quota_window_s,
            quota_overage=settings.quota_overage,
            quota_slack=settings.quota_slack,
        )
        self._update_local_service()

    def apply_document(self, document: bytes, source: str = LOG_SOURCE) -> None:
        """Apply a configuration that is newer than the current one.

        ``source`` is ``log`` or the name of the node that sent it.
        """
        try:
            table = read_configuration(document)
        except PlatformDocumentError as error:
            kind = MessageKind.CONFIGURATION
            self.rejected_messages.record(kind, "", error.part, str(error))
            return
        state = self.state
        if table.version <= state.table.version:
            return
        logger.info(
            "configuration in force",
            version=table.version,
            before=state.table.version,
            routes=table.count_routes(),
            source=source,
        )
        state.table = table
        state.table_since_s = state.clock()
        state.table_source = source
        state.document = document
        state.graph.clear_caches()
        self.ingress.apply_table(table)
        self.callers.limits = table.limits
        self.startup_check.start()
        self.readers.publish()

    def apply_configuration_records(self, records: tuple[StoredRecord, ...]) -> None:
        """Apply records of the configuration topic."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value:
                self.apply_document(record.value)

    def apply_node_records(self, records: tuple[StoredRecord, ...]) -> None:
        """Apply records of nodes and of learned calls."""
        for record in records:
            kind = MessageKind.NODE
            if record.key == LEARNED_KEY:
                kind = MessageKind.LEARNED
            try:
                self._apply_record(record)
            except BadFrameError as error:
                # skip the bad record and apply the others
                self.rejected_messages.record(
                    kind, record.key, "bad record", error.detail
                )
        self.has_node_records = True

    def count_unreadable_records(self, topic: str, count: int) -> None:
        """Count records of a topic without a readable key or value."""
        cause = "no key or value that can be read"
        self.rejected_messages.record(MessageKind.RECORD, topic, cause, cause, count)

    def _apply_record(self, record: StoredRecord) -> None:
        if record.key == LEARNED_KEY:
            if record.value:
                self.learned.apply(record.value)
        elif record.key == self.settings.name:
            # the local settings take precedence over the stored record
            return
        elif record.value:
            self._register_node(record)
        else:
            self.state.members.remove(record.key)

    def _register_node(self, record: StoredRecord) -> None:
        members = self.state.members
        found = decode_struct(ttypes.NodeRecord, record.value)
        if found.node_name != record.key:
            raise BadFrameError(f"node {found.node_name!r} under another key")
        if members.is_full(found.node_name):
            raise BadFrameError(f"there are {len(members.by_name)} nodes already")
        members.put(
            found.node_name,
            found.address,
            found.failure_domain,
            found.service_name,
        )

    def is_ready(self) -> bool:
        """Return whether this node is ready for client requests."""
        state = self.state
        found = self.has_node_records or len(state.members.by_name) > 1
        return state.table.version > 0 and found and not state.stopping

    def handle_readiness_request(self, exchange: Exchange) -> None:
        """Answer a readiness probe of the platform."""
        exchange.respond(200 if self.is_ready() else 503)

    def handle_metrics_request(self, exchange: Exchange) -> None:
        """Answer with all metrics as text, or with the state of the node as JSON."""
        if exchange.target == STATE_PATH:
            # imported on demand: most nodes never serve this page
            from eelgrassmount.relay.status import collect_status

            state = json.dumps(asdict(collect_status(self))).encode()
            exchange.respond(200, JSON_CONTENT_TYPE, state)
            return
        self.update_gauges()
        exchange.respond(200, METRICS_CONTENT_TYPE, self.metrics.render())

    def update_gauges(self) -> None:
        """Set the gauges to the current state of the node."""
        gauges = self.metrics.state
        gauges.labels("configuration_version").set(self.state.table.version)
        if self.state.table.version:
            age_s = self.state.clock() - self.state.table_since_s
            gauges.labels("configuration_age_s").set(age_s)
            self.metrics.show_source(self.state.table_source, self.state.table.version)
        gauges.labels("log_age_s").set(self.readers.freshness.compute_age_s())
        gauges.labels("in_flight").set(self.dispatcher.in_flight)
        gauges.labels("queued").set(self.dispatcher.queued)
        gauges.labels("limit").set(self.state.server.compute_concurrency_limit())
        # Without a rate limit, the gauge is infinite.
        rate_limit = self.state.server.rate_limit.per_s
        gauges.labels("server_rate_limit").set(
            math.inf if rate_limit is None else rate_limit
        )
        gauges.labels("demand").set(self.dispatcher.measures.load.demand)
        for service, control in self.state.admission_controllers.items():
            self.metrics.admitted_fractions.labels(service).set(
                control.admitted_fraction
            )
        self.group_metrics.show_limited(self.admission.fair_shares.list_limited())
        for service in self.state.members.by_service:
            self.metrics.rejected_shares.labels(service).set(
                self.rejections.shares.get(service, 0.0)
            )
        budget = self.dispatcher.budget
        for service, _, used in budget.list_services():
            allowed = budget.find_allowed_retries(service)
            if allowed is not None:
                self.metrics.retry_use.labels(service).set(used / max(1.0, allowed))
        self.metrics.show_call_budgets(self.call_budget.budgets)
        gauges.labels("members").set(len(self.state.members.by_name))
        gauges.labels("reads_log").set(self.readers.reading)
        gauges.labels("log_subscribers").set(len(self.readers.subscribers))
        gauges.labels("log_substitutes").set(len(self.readers.substitutes))
        gauges.labels("log_era").set(self.readers.epoch_tracker.current)
        gauges.labels("log_next_offset").set(self.readers.record_table.next_offset)
        gauges.labels("counted_nodes").set(self.state.cluster_counts.nodes)
        gauges.labels("open_requests").set(self.ingress.responder.open_requests)
        gauges.labels("waiting").set(len(self.ingress.waiting_room))
        gauges.labels("expected_returns").set(self.ingress.returns.count_appointments())
        gauges.labels("lines_left_out").set(self.decisions.failures.dropped)

    def forget_routes(self) -> None:
        """Remove the state of routes that are no longer configured.

        Called periodically, because runs may finish after their route was removed.
        """
        state = self.state
        state.record_configured_routes()
        state.graph.keep_routes(state.knows_route)
        self.metrics.keep_routes(state.knows_route)
        self.ingress.responder.sender.router.keep_routes(state.knows_route)
        self.ingress.returns.keep_routes(state.knows_route)
        self.ingress.path_times.keep_routes(state.knows_route)
        # without a configuration, no route counts as removed
        if state.table.version:
            self.dispatcher.keep_routes(state.table.routes)

    def count_open(self) -> int:
        """Return the number of requests and calls without an answer."""
        return self.callers.count_open() + self.inbound.count_open()

    def handle_server_change(self) -> None:
        """Report a change of the server before its heartbeat is acknowledged."""
        self.control_loop.report_now()
        self._update_local_service()

    def _update_local_service(self) -> None:
        local = self.state.members.by_name.get(self.settings.name)
        if local is not None and local.service != self.state.server.service:
            self.register_local_node()
            self._announce_service()

    def _announce_service(self) -> None:
        """Introduce this node again to the nodes that know it by another service."""
        hello = self.state.make_hello()
        self.inbound.broadcast(FrameKind.HELLO, hello, only_active=False)
        for member in list(self.state.members.by_name.values()):
            if member.link is not None:
                hello = self.state.make_hello(member.notice)
                member.link.send(FrameKind.HELLO, hello)

    def register_local_node(self) -> None:
        """Add or update this node in the member table."""
        self.state.members.put(
            self.settings.name,
            str(self.settings.peer_address),
            self.settings.failure_domain,
            self.state.server.service,
        )
