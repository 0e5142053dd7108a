"""A whole node beside its backend server, wired but not started."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from attrs import asdict, define, evolve, field
from loguru import logger

from eelgrassmount.errors import BadFrameError, PlatformDocumentError
from eelgrassmount.gen import ttypes
from eelgrassmount.platform.configuration import read_configuration
from eelgrassmount.platform.topic_names import CONFIGURATION_KEY, LEARNED_KEY
from eelgrassmount.relay.announcements import check_server
from eelgrassmount.relay.frames import decode_struct
from eelgrassmount.relay.rejected_messages import MessageKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from eelgrassmount.http1.server import HttpListener
    from eelgrassmount.platform.store_client import StoreClient
    from eelgrassmount.relay.admission import Admission
    from eelgrassmount.relay.control_loop import ControlLoop
    from eelgrassmount.relay.decisions import DecisionLog
    from eelgrassmount.relay.dispatcher import Dispatcher
    from eelgrassmount.relay.heartbeats import Heartbeat
    from eelgrassmount.relay.inbound import InboundLinks
    from eelgrassmount.relay.ingress import Ingress
    from eelgrassmount.relay.links import LinkManager
    from eelgrassmount.relay.metrics import RelayMetrics
    from eelgrassmount.relay.peer_updates import PeerUpdates
    from eelgrassmount.relay.rejected_messages import RejectedMessages
    from eelgrassmount.relay.routes import RouteTable
    from eelgrassmount.relay.settings import RelaySettings
    from eelgrassmount.relay.shared_state import SharedState
    from eelgrassmount.teams.exchange import QuotaExchange
    from eelgrassmount.timers import TimerService
    from eelgrassmount.topics.follower import TopicFollower
    from eelgrassmount.topics.learned import LearnedCalls
    from eelgrassmount.topics.readers import LogReaders
    from eelgrassmount.topics.store import StoredRecord

STATE_PATH = "/state"
JSON_TYPE = b"content-type: application/json\r\n"
METRICS_TYPE = b"content-type: text/plain; version=0.0.4\r\n"


@define(eq=False)
class RelayNode:
    """All parts of a node beside its backend server."""

    settings: RelaySettings
    beliefs: SharedState
    dispatcher: Dispatcher
    inbound: InboundLinks
    ingress: Ingress
    admission: Admission
    control_loop: ControlLoop
    links: LinkManager
    news: PeerUpdates
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
    look_at_settings: Callable[[], None] = lambda: None
    listeners: list[HttpListener] = field(factory=list)
    found_nodes: bool = False

    @property
    def followers(self) -> list[TopicFollower]:
        """Return what follows the topics of the log."""
        return self.readers.followers

    def end(self) -> None:
        """Drop every listener and connection."""
        for listener in self.listeners:
            listener.end()
        self.inbound.end()
        self.dispatcher.pool.close_idle_connections()
        for member in list(self.beliefs.members.by_name.values()):
            if member.link is not None:
                member.link.close()
        for link in self.beliefs.members.list_retired():
            link.close()
        self.store.close()

    def apply_settings(self, settings: RelaySettings) -> None:
        """Take up settings that have changed; addresses hold until a restart.

        A new service is one that a heartbeat may name from now on. Until one does,
        the server of before may still run.
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
        self.settings = evolve(
            self.settings,
            service=settings.service,
            grace_s=settings.grace_s,
            retry_ratio=settings.retry_ratio,
            quota_window_s=settings.quota_window_s,
            quota_overage=settings.quota_overage,
            quota_slack=settings.quota_slack,
        )

    def apply_document(self, document: bytes) -> None:
        """Put a configuration in force unless it is older than the present one."""
        try:
            table = read_configuration(document)
        except PlatformDocumentError as error:
            kind = MessageKind.CONFIGURATION
            self.rejected_messages.record(kind, "", error.part, str(error))
            return
        beliefs = self.beliefs
        if table.version <= beliefs.table.version:
            return
        logger.info(
            "configuration in force",
            version=table.version,
            before=beliefs.table.version,
            routes=table.count_routes(),
        )
        if beliefs.server.incarnation is None:
            self._identify_server(table)
        beliefs.table = table
        beliefs.table_since_s = beliefs.clock()
        beliefs.document = document
        beliefs.graph.clear_caches()
        self.ingress.table = table
        self.callers.limits = table.limits
        self.readers.publish()

    def _identify_server(self, table: RouteTable) -> None:
        service = table.services.get(self.beliefs.server.service)
        if service is not None:
            self.dispatcher.identify(service.health_path)

    def take_configuration(self, records: tuple[StoredRecord, ...]) -> None:
        """Take up records of the operator's topic."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value:
                self.apply_document(record.value)

    def take_nodes(self, records: tuple[StoredRecord, ...]) -> None:
        """Take up records of nodes, and of what all have learned."""
        for record in records:
            kind = MessageKind.NODE
            if record.key == LEARNED_KEY:
                kind = MessageKind.LEARNED
            try:
                self._take_record(record)
            except BadFrameError as error:
                # the others still hold
                self.rejected_messages.record(
                    kind, record.key, "bad record", error.detail
                )
        self.found_nodes = True

    def note_unreadable(self, topic: str, count: int) -> None:
        """Count records of a topic whose bytes could not be read."""
        cause = "no key or value that can be read"
        self.rejected_messages.record(MessageKind.RECORD, topic, cause, cause, count)

    def _take_record(self, record: StoredRecord) -> None:
        if record.key == LEARNED_KEY:
            if record.value:
                self.learned.apply(record.value)
        elif record.key == self.settings.name:
            # nobody else knows better what this node is
            return
        elif record.value:
            self._put_node(record)
        else:
            self.beliefs.members.remove(record.key)

    def _put_node(self, record: StoredRecord) -> None:
        members = self.beliefs.members
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
        """Tell whether clients may send requests here."""
        beliefs = self.beliefs
        found = self.found_nodes or len(beliefs.members.by_name) > 1
        return beliefs.table.version > 0 and found and not beliefs.stopping

    def answer_ready(self, exchange: Exchange) -> None:
        """Answer the platform's question whether this node is ready."""
        exchange.respond(200 if self.is_ready() else 503)

    def answer_metrics(self, exchange: Exchange) -> None:
        """Answer with all metrics as text, or with the state of the node as JSON."""
        if exchange.target == STATE_PATH:
            # only people ask for it, and most nodes are never asked
            from eelgrassmount.relay.status import collect_status

            state = json.dumps(asdict(collect_status(self))).encode()
            exchange.respond(200, JSON_TYPE, state)
            return
        self.update_gauges()
        exchange.respond(200, METRICS_TYPE, self.metrics.render())

    def update_gauges(self) -> None:
        """Set the gauges to what the node believes now."""
        state = self.metrics.state
        state.labels("configuration_version").set(self.beliefs.table.version)
        state.labels("in_flight").set(self.dispatcher.in_flight)
        state.labels("queued").set(self.dispatcher.queued)
        state.labels("limit").set(self.beliefs.server.compute_concurrency_limit())
        state.labels("demand").set(self.dispatcher.measures.load.demand)
        for service, control in self.beliefs.admission_controllers.items():
            self.metrics.admitted_fractions.labels(service).set(
                control.admitted_fraction
            )
        state.labels("members").set(len(self.beliefs.members.by_name))
        state.labels("reads_log").set(self.readers.reading)
        state.labels("log_subscribers").set(len(self.readers.subscribers))
        state.labels("log_era").set(self.readers.epoch_tracker.current)
        state.labels("log_next_offset").set(self.readers.record_table.next_offset)
        state.labels("counted_nodes").set(self.beliefs.cluster_counts.nodes)
        state.labels("open_requests").set(self.ingress.responder.open_requests)
        state.labels("lines_left_out").set(self.decisions.failures.dropped)

    def forget_routes(self) -> None:
        """Forget what is known of routes that have left the configuration.

        It is done from time to time: runs that had begun before end after it.
        """
        beliefs = self.beliefs
        beliefs.record_configured_routes()
        beliefs.graph.keep_routes(beliefs.knows_route)
        self.metrics.keep_routes(beliefs.knows_route)
        self.ingress.responder.sender.router.keep_routes(beliefs.knows_route)
        # without a configuration, none is known to have left
        if beliefs.table.version:
            self.dispatcher.keep_routes(beliefs.table.routes)

    def count_open(self) -> int:
        """Return how many requests and calls have no answer yet."""
        return self.callers.count_open() + self.inbound.count_open()

    def check_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Raise `WrongServerError` for the heartbeat of a server of another VM."""
        service = self.settings.service
        if not heartbeat.leaving and heartbeat.service != service:
            # the settings may have changed a moment ago, and without a signal
            self.look_at_settings()
        address = str(self.beliefs.server.address)
        check_server(heartbeat, self.settings.service, address)

    def note_server_change(self) -> None:
        """Act on news of the server beside this node, before it is acknowledged."""
        self.control_loop.report_now()
        own = self.beliefs.members.by_name.get(self.settings.name)
        if own is not None and own.service != self.beliefs.server.service:
            self.put_own()

    def put_own(self) -> None:
        """Enter this node among the members."""
        self.beliefs.members.put(
            self.settings.name,
            str(self.settings.peer_address),
            self.settings.failure_domain,
            self.beliefs.server.service,
        )
