"""Wiring of a node beside its backend server."""

from __future__ import annotations

import random
import secrets
import time
from typing import TYPE_CHECKING

from eelgrassmount.compose.relay_node import RelayNode
from eelgrassmount.http1.server import HttpListener
from eelgrassmount.platform.headers import DIALECT
from eelgrassmount.platform.store import StoreClient
from eelgrassmount.platform.topics import NODES_TOPIC
from eelgrassmount.relay.admission import Admission, CallGraph
from eelgrassmount.relay.answers import Answering
from eelgrassmount.relay.backend import BackendPool
from eelgrassmount.relay.beliefs import Beliefs
from eelgrassmount.relay.budget import RetryBudget
from eelgrassmount.relay.controllers import Controllers
from eelgrassmount.relay.decisions import DecisionLog
from eelgrassmount.relay.entry import Entry
from eelgrassmount.relay.gate import Gate
from eelgrassmount.relay.inbound import Inbound
from eelgrassmount.relay.learning import make_tally
from eelgrassmount.relay.levels import ServiceLevels
from eelgrassmount.relay.lineage import Lineage
from eelgrassmount.relay.link import LinkEvents
from eelgrassmount.relay.links import LinkKeeper
from eelgrassmount.relay.members import MemberTable
from eelgrassmount.relay.metrics import RelayMetrics
from eelgrassmount.relay.news import News
from eelgrassmount.relay.refused import RefusedMessages
from eelgrassmount.relay.routing import Router
from eelgrassmount.relay.sender import Sender
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.teams.exchange import QuotaExchange, call_later
from eelgrassmount.timers import MonotonicClock, TimerService
from eelgrassmount.topics.learned import LearnedCalls
from eelgrassmount.topics.readers import LogReaders

if TYPE_CHECKING:
    from eelgrassmount.relay.gate import Job
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
        on_restart=lambda ended, begun: gate.restart(
            ended, begun.compute_start_s(clock(), time.time())
        ),
    )
    members = MemberTable()
    graph = CallGraph()
    beliefs = Beliefs(
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
    lineage = Lineage(clock, graph.may_call, graph.count_runs, rng, beliefs.completed)

    learned_jobs: set[Job] = set()

    def note_begin(job: Job) -> None:
        # with keys, calls are counted by their runs
        if not beliefs.knows_clients():
            learned_jobs.add(job)
            beliefs.learner.begin(job.call.route.name)
        lineage.begin(job, job.call, job.given_s)

    def note_end(job: Job, well: bool) -> None:
        if job in learned_jobs:
            learned_jobs.remove(job)
            beliefs.learner.end(job.call.route.name)
        lineage.end(job, well)

    pool = BackendPool(
        clock,
        lambda answer: DIALECT.read_idle_limit(answer.headers),
        metrics.connections.inc,
    )
    gate = Gate(
        server,
        pool,
        DIALECT,
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
        ends_chain=lambda name: not graph.vectors.get(name),
        find_allowance=beliefs.find_allowance,
        find_call_limit=beliefs.find_call_limit,
        on_begin=note_begin,
        on_end=note_end,
        is_lost_below=lineage.is_lost,
        claim_loss=lineage.claim_loss,
        on_crash=lambda ended, jobs: news.note_crash(ended, jobs),
        on_change=lambda: controllers.report_now(),
        call_later=call_later,
    )
    inbound = Inbound(
        incarnation,
        gate,
        clock,
        beliefs.find_route,
        beliefs.make_hello,
        lambda hello: news.note_caller(hello),
        lambda kind, struct, send: news.take_frame(kind, struct, send),
    )
    readers = LogReaders(
        beliefs,
        NODES_TOPIC,
        [],
        lambda member: links.open_link(member),
        lambda records: node.take_nodes(records),
        lambda: make_tally(beliefs, admission.rates),
    )
    news = News(
        beliefs,
        quarantine,
        lambda document: node.apply_document(document),
        inbound.tell_all,
        readers,
        lambda kind, struct, send: quotas.take_frame(kind, struct, send),
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
        beliefs.find_level,
        lambda: beliefs.outlook.offered,
        lambda name: name in beliefs.client_routes,
        rng,
    )
    events = LinkEvents(
        beliefs.make_hello,
        news.note_hello,
        news.note_report,
        news.take_frame,
    )
    links = LinkKeeper(beliefs, events)
    controllers = Controllers(
        beliefs, gate, inbound, ServiceLevels(beliefs).update, admission.update
    )
    decisions = DecisionLog.create(clock)
    sender = Sender(
        settings.name,
        Router(members, settings.failure_domain, clock, rng, beliefs.find_allowance),
        gate,
        admission,
        decisions,
        metrics,
        clock,
        links.open_link,
    )
    answers = Answering(
        DIALECT,
        sender,
        admission,
        decisions,
        metrics,
        clock,
        rng,
        lineage,
        quotas.taker.give_back,
    )
    sender.answers = answers
    entry = Entry(
        lambda: server.service,
        DIALECT,
        answers,
        admission,
        quarantine,
        clock,
        rng,
        graph.is_called,
        lambda name: name in beliefs.client_routes,
        beliefs.note_call,
        beliefs.note_client,
        lineage,
        readers.is_current,
        quotas.taker,
    )
    learned = LearnedCalls(beliefs, readers.ranking.count_readers)
    readers.eras.on_rise.append(learned.forget_kept)
    node = RelayNode(
        settings,
        beliefs,
        gate,
        inbound,
        entry,
        admission,
        controllers,
        links,
        news,
        decisions,
        metrics,
        StoreClient(settings.log_address, readers.eras),
        TimerService(MonotonicClock(), rng, grid_s=TIMER_GRID_S),
        HttpListener(entry.handle, clock),
        learned,
        readers,
        quotas,
        rng,
        RefusedMessages(clock, metrics.count_refused),
    )
    return node
