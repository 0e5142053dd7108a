"""Wiring of a node beside its backend server."""

from __future__ import annotations

import random
import secrets
import time
from typing import TYPE_CHECKING

from eelgrassmount.compose.relay_node import RelayNode
from eelgrassmount.http1.server import HttpListener
from eelgrassmount.platform.headers import HEADER_CODEC
from eelgrassmount.platform.store_client import StoreClient
from eelgrassmount.platform.topic_names import NODES_TOPIC
from eelgrassmount.relay.admission import Admission, CallGraph
from eelgrassmount.relay.admitted_fractions import AdmittedFractions
from eelgrassmount.relay.backend import BackendPool
from eelgrassmount.relay.budget import RetryBudget
from eelgrassmount.relay.call_attribution import CallAttributor
from eelgrassmount.relay.control_loop import ControlLoop
from eelgrassmount.relay.decisions import DecisionLog
from eelgrassmount.relay.dispatcher import Dispatcher
from eelgrassmount.relay.inbound import InboundLinks
from eelgrassmount.relay.ingress import Ingress
from eelgrassmount.relay.learning import make_tally
from eelgrassmount.relay.link import LinkHandlers
from eelgrassmount.relay.links import LinkManager
from eelgrassmount.relay.members import MemberTable
from eelgrassmount.relay.metrics import RelayMetrics
from eelgrassmount.relay.peer_updates import PeerUpdates
from eelgrassmount.relay.rejected_messages import RejectedMessages
from eelgrassmount.relay.responder import Responder
from eelgrassmount.relay.routing import Router
from eelgrassmount.relay.sender import Sender
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.relay.shared_state import SharedState
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.teams.exchange import QuotaExchange, call_later
from eelgrassmount.timers import MonotonicClock, TimerService
from eelgrassmount.topics.learned import LearnedCalls
from eelgrassmount.topics.readers import LogReaders

if TYPE_CHECKING:
    from eelgrassmount.relay.dispatcher import Job
    from eelgrassmount.relay.settings import RelaySettings

INCARNATION_BYTES = 6
# divides the periods of a node's timers: what is due at nearly the same time is done on
# one wake-up, which saves processor time
TIMER_GRID_S = 0.05


def build_relay(settings: RelaySettings) -> RelayNode:
    """Return a node whose parts are wired but not started."""
    rng = random.Random(secrets.randbits(64))
    clock = time.monotonic
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    metrics = RelayMetrics()
    quarantine = Quarantine()
    server = LocalServer(
        settings.service,
        settings.server_address,
        on_restart=lambda ended, begun: dispatcher.handle_restart(
            ended, begun.compute_start_s(clock(), time.time())
        ),
    )
    members = MemberTable()
    graph = CallGraph()
    beliefs = SharedState(
        settings.name,
        incarnation,
        str(settings.peer_address),
        settings.failure_domain,
        server,
        members,
        graph,
        clock,
        rng,
    )
    lineage = CallAttributor(
        clock, graph.may_call, graph.count_runs, rng, beliefs.completed
    )

    learned_jobs: set[Job] = set()

    def note_begin(job: Job) -> None:
        # with keys, calls are counted by their runs
        if not beliefs.identifies_clients():
            learned_jobs.add(job)
            beliefs.learner.start_run(job.call.route.name)
        lineage.start_run(job, job.call, job.timeout_s)

    def note_end(job: Job, well: bool) -> None:
        if job in learned_jobs:
            learned_jobs.remove(job)
            beliefs.learner.finish_run(job.call.route.name)
        lineage.finish_run(job, well)

    pool = BackendPool(
        clock,
        lambda answer: HEADER_CODEC.read_idle_limit(answer.headers),
        metrics.connections.inc,
    )
    dispatcher = Dispatcher(
        server,
        pool,
        HEADER_CODEC,
        quarantine,
        clock,
        RetryBudget(
            clock,
            settings.retry_ratio,
            settings.retry_window_s,
            settings.retry_slack,
            lambda: len(members.list_service(server.service)),
            rng,
        ),
        is_leaf=lambda name: not graph.calls_per_run.get(name),
        find_time_allowance=beliefs.find_time_allowance,
        find_call_timeout=beliefs.find_call_timeout,
        on_run_start=note_begin,
        on_run_end=note_end,
        has_lost_call=lineage.has_lost_call,
        claim_lost_call=lineage.claim_lost_call,
        on_crash=lambda ended, jobs: news.handle_crash(ended, jobs),
        on_change=lambda: control_loop.report_now(),
        call_later=call_later,
    )
    inbound = InboundLinks(
        incarnation,
        dispatcher,
        clock,
        beliefs.find_route,
        beliefs.make_hello,
        lambda hello: news.register_peer(hello),
        lambda kind, struct, send: news.handle_frame(kind, struct, send),
    )
    readers = LogReaders(
        beliefs,
        NODES_TOPIC,
        [],
        lambda member: links.open_link(member),
        lambda records: node.take_nodes(records),
        lambda: make_tally(beliefs, admission.request_rates),
    )
    news = PeerUpdates(
        beliefs,
        quarantine,
        lambda document: node.apply_document(document),
        inbound.broadcast,
        readers,
        lambda kind, struct, send: quotas.handle_frame(kind, struct, send),
    )
    quotas = QuotaExchange(
        beliefs,
        readers,
        settings.find_quota_bounds(),
        lambda member: links.open_link(member),
        metrics.count_quota,
    )
    admission = Admission(
        graph,
        beliefs.get_admitted_fraction,
        lambda: beliefs.cluster_counts.offered,
        lambda name: name in beliefs.client_routes,
        rng,
    )
    events = LinkHandlers(
        beliefs.make_hello,
        news.handle_hello,
        news.handle_report,
        news.handle_frame,
    )
    links = LinkManager(beliefs, events)
    control_loop = ControlLoop(
        beliefs,
        dispatcher,
        inbound,
        AdmittedFractions(beliefs).update,
        admission.update,
    )
    decisions = DecisionLog.create(clock)
    sender = Sender(
        settings.name,
        Router(
            members, settings.failure_domain, clock, rng, beliefs.find_time_allowance
        ),
        dispatcher,
        admission,
        decisions,
        metrics,
        clock,
        links.open_link,
    )
    answers = Responder(
        HEADER_CODEC,
        sender,
        admission,
        decisions,
        metrics,
        clock,
        rng,
        lineage,
        quotas.client.return_quota,
    )
    sender.responder = answers
    ingress = Ingress(
        lambda: server.service,
        HEADER_CODEC,
        answers,
        admission,
        quarantine,
        clock,
        rng,
        graph.is_called_by_servers,
        lambda name: name in beliefs.client_routes,
        beliefs.record_call,
        beliefs.record_client_request,
        lineage,
        readers.is_current,
        quotas.client,
    )
    learned = LearnedCalls(beliefs, readers.ranking.count_readers)
    readers.epoch_tracker.on_advance.append(learned.forget_stored)
    node = RelayNode(
        settings,
        beliefs,
        dispatcher,
        inbound,
        ingress,
        admission,
        control_loop,
        links,
        news,
        decisions,
        metrics,
        StoreClient(settings.log_address, readers.epoch_tracker),
        TimerService(MonotonicClock(), rng, grid_s=TIMER_GRID_S),
        HttpListener(ingress.handle, clock),
        learned,
        readers,
        quotas,
        rng,
        RejectedMessages(clock, metrics.count_rejected),
    )
    return node
