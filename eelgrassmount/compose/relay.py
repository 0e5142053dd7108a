"""Wiring of a node beside its backend server."""

from __future__ import annotations

import random
import secrets
import time
from typing import TYPE_CHECKING

from eelgrassmount.balancing.work_stealing import WorkStealing
from eelgrassmount.compose.relay_node import RelayNode
from eelgrassmount.entry.call_budget import CallBudget
from eelgrassmount.entry.fair_shares import FairShares
from eelgrassmount.entry.group_metrics import GroupMetrics
from eelgrassmount.entry.path_times import PathTimes
from eelgrassmount.entry.returning import ReturnTracker, make_delay_chooser
from eelgrassmount.entry.waiting_room import WaitingRoom
from eelgrassmount.http1.server import HttpListener
from eelgrassmount.platform.headers import HEADER_CODEC
from eelgrassmount.platform.store_client import StoreClient
from eelgrassmount.platform.topic_names import NODES_TOPIC
from eelgrassmount.policy.stopping import may_finish
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
from eelgrassmount.relay.overlong_answers import OverlongAnswers
from eelgrassmount.relay.peer_updates import PeerUpdates
from eelgrassmount.relay.rejected_messages import MessageKind, RejectedMessages
from eelgrassmount.relay.rejections import RejectionMeter, ServiceRejections
from eelgrassmount.relay.responder import Responder
from eelgrassmount.relay.routing import Router
from eelgrassmount.relay.sender import Sender
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.relay.shared_state import SharedState
from eelgrassmount.relay.startup_check import StartupCheck
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.teams.exchange import QuotaExchange, call_later
from eelgrassmount.timers import MonotonicClock, TimerService
from eelgrassmount.topics.learned import LearnedCalls
from eelgrassmount.topics.readers import LogReaders

if TYPE_CHECKING:
    from eelgrassmount.relay.job import Job
    from eelgrassmount.relay.messages import Call
    from eelgrassmount.relay.routes import RouteTable
    from eelgrassmount.relay.settings import RelaySettings

INCARNATION_BYTES = 6
# timers that are due within this interval share one wake-up, which saves CPU time;
# the periods of all timers are multiples of it
TIMER_RESOLUTION_S = 0.05


def build_relay(settings: RelaySettings) -> RelayNode:
    """Return a node whose parts are wired but not started."""
    rng = random.Random(secrets.randbits(64))
    clock = time.monotonic
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    metrics = RelayMetrics()
    group_metrics = GroupMetrics(metrics.registry)
    rejected_messages = RejectedMessages(clock, metrics.count_rejected)
    quarantine = Quarantine()
    server = LocalServer(
        settings.service,
        settings.server_address,
        on_restart=lambda ended, started: dispatcher.handle_restart(
            ended, started.compute_start_s(clock(), time.time())
        ),
        clock=clock,
    )
    members = MemberTable()
    graph = CallGraph()
    state = SharedState(
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
    call_attributor = CallAttributor(
        clock, graph.may_call, graph.count_runs, rng, state.completed
    )

    learned_jobs: set[Job] = set()

    def handle_run_start(job: Job) -> None:
        metrics.count_run(job.call.is_retry)
        # with client keys, calls are counted per run by the call attributor
        if not state.identifies_clients():
            learned_jobs.add(job)
            state.learner.start_run(job.call.route.name)
        call_attributor.start_run(job, job.call, job.timeout_s)

    def handle_run_end(job: Job, succeeded: bool) -> None:
        if job in learned_jobs:
            learned_jobs.remove(job)
            state.learner.finish_run(job.call.route.name)
        call_attributor.finish_run(job, succeeded)

    pool = BackendPool(
        clock,
        lambda answer: HEADER_CODEC.read_idle_limit(answer.headers),
        lambda answer: HEADER_CODEC.find_request_id(answer.headers),
        metrics.connections.inc,
        OverlongAnswers("server", clock, metrics.count_overlong).record,
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
            lambda: state.table.features.plans_retries,
            lambda service: rejections.find_other_requests(service),
            lambda: rejections.meter.compute_share(),
            metrics.count_retry_decision,
        ),
        is_leaf=lambda name: not graph.calls_per_run.get(name),
        find_time_allowance=state.find_time_allowance,
        find_call_timeout=state.find_call_timeout,
        on_run_start=handle_run_start,
        on_run_end=handle_run_end,
        has_lost_call=call_attributor.has_lost_call,
        claim_lost_call=call_attributor.claim_lost_call,
        on_crash=lambda ended, jobs: peer_updates.handle_crash(ended, jobs),
        on_change=lambda: control_loop.report_now(),
        on_answer=lambda rejected: rejections.record_answer(rejected),
        on_free_slots=lambda: work_stealing.offer_slots(),
        on_invalid_header=lambda server, name, text: rejected_messages.record(
            MessageKind.ANSWER, server, name, f"{name}: {text!r}"
        ),
        call_later=call_later,
    )
    rejections = ServiceRejections(state, RejectionMeter(clock), dispatcher.budget)
    work_stealing = WorkStealing(state, dispatcher, metrics.count_moved)
    inbound = InboundLinks(
        incarnation,
        dispatcher,
        clock,
        state.find_route,
        state.make_hello,
        lambda hello: peer_updates.register_peer(hello),
        lambda kind, struct, send: peer_updates.handle_frame(kind, struct, send),
    )
    readers = LogReaders(
        state,
        NODES_TOPIC,
        [],
        lambda member: links.open_link(member),
        lambda records: node.apply_node_records(records),
        lambda: make_tally(state, admission.request_rates, fair_shares.list_told()),
    )
    peer_updates = PeerUpdates(
        state,
        quarantine,
        lambda document, source: node.apply_document(document, source),
        inbound.broadcast,
        readers,
        lambda kind, struct, send: quotas.handle_frame(kind, struct, send),
        work_stealing.handle_offer,
    )
    quotas = QuotaExchange(
        state,
        readers,
        settings.find_quota_bounds(),
        lambda member: links.open_link(member),
        metrics.count_quota,
    )
    # Only teams are groups: a failure domain with more clients than others would get
    # less for each of them.
    fair_shares = FairShares(
        "",
        lambda: state.cluster_counts,
        group_metrics.count_decision,
    )
    admission = Admission(
        graph,
        state.get_admitted_fraction,
        lambda: state.cluster_counts.offered,
        lambda name: name in state.client_routes,
        rejections.find_begin_fraction,
        rng,
        fair_shares,
        lambda request_class: call_budget.covers(request_class),
    )
    call_budget = CallBudget(state, lambda: admission.request_rates)

    def update_admission(table: RouteTable) -> None:
        admission.update(table)
        call_budget.update()
        waiting_room.reconsider()

    events = LinkHandlers(
        state.make_hello,
        peer_updates.handle_hello,
        peer_updates.handle_report,
        peer_updates.handle_frame,
    )
    links = LinkManager(state, events)
    service_fractions = AdmittedFractions(state)

    def update_service_fractions() -> None:
        service_fractions.update()
        rejections.update()

    control_loop = ControlLoop(
        state,
        dispatcher,
        inbound,
        update_service_fractions,
        update_admission,
        rejections.measure_local,
    )
    decisions = DecisionLog.create(clock)
    sender = Sender(
        settings.name,
        Router(members, settings.failure_domain, clock, rng, state.find_time_allowance),
        dispatcher,
        admission,
        decisions,
        metrics,
        clock,
        links.open_link,
        rejections.is_enabled,
    )
    path_times = PathTimes()
    waiting_room = WaitingRoom(
        call_budget,
        clock,
        call_later,
        lambda pending: ingress.start_waiting(pending),
        lambda pending, reason: ingress.refuse_waiting(pending, reason),
        lambda pending: answers.leave(pending),
        lambda: state.stopping,
        lambda: returns.list_expected(),
        metrics.count_wait,
    )
    returns = ReturnTracker(
        call_budget,
        clock,
        time.time,
        rng,
        waiting_room.list_classes,
        metrics.count_visit,
        metrics.count_appointment,
    )

    def will_finish(call: Call) -> bool:
        may_repeat = call.route.idempotent and path_times.is_known(call.route)
        needs_certainty = state.drained and not may_repeat
        path_s = path_times.find(call.route)
        return may_finish(
            clock(), call.deadline_s, state.exit_s, path_s, needs_certainty
        )

    answers = Responder(
        HEADER_CODEC,
        sender,
        admission,
        decisions,
        metrics,
        clock,
        rng,
        call_attributor,
        quotas.client.return_quota,
        path_times.record,
        make_delay_chooser(state, returns, path_times),
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
        lambda name: name in state.client_routes,
        state.record_call,
        state.record_client_request,
        call_attributor,
        readers.is_current,
        quotas.client,
        waiting_room,
        returns,
        path_times,
        will_finish,
    )
    learned = LearnedCalls(state, readers.ranking.count_readers)
    readers.epoch_tracker.on_advance.append(learned.forget_stored)

    def find_health_path() -> str | None:
        service = state.table.services.get(server.service)
        return None if service is None else service.health_path

    startup_check = StartupCheck(
        server,
        pool,
        HEADER_CODEC,
        find_health_path,
        lambda: node.check_settings(),
        lambda: node.handle_server_change(),
        call_later,
    )
    node = RelayNode(
        settings,
        state,
        dispatcher,
        inbound,
        ingress,
        admission,
        control_loop,
        links,
        peer_updates,
        decisions,
        metrics,
        StoreClient(
            settings.log_address,
            readers.epoch_tracker,
            OverlongAnswers("log", clock, metrics.count_overlong).record,
        ),
        TimerService(MonotonicClock(), rng, grid_s=TIMER_RESOLUTION_S),
        HttpListener(ingress.handle, clock),
        learned,
        readers,
        quotas,
        rng,
        rejected_messages,
        group_metrics,
        rejections,
        call_budget,
        work_stealing,
        startup_check,
    )
    return node
