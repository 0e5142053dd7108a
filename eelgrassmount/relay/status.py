"""Status of a node, as its admin endpoint and the status command show it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen

from eelgrassmount.relay.heartbeats import ServerIncarnation

if TYPE_CHECKING:
    from eelgrassmount.compose.relay_node import RelayNode
    from eelgrassmount.entry.fair_shares import FairShares
    from eelgrassmount.relay.budget import RetryBudget
    from eelgrassmount.relay.ingress import Ingress
    from eelgrassmount.relay.members import Member
    from eelgrassmount.topics.readers import LogReaders


@frozen
class ServerStatus:
    """The local backend server and the queue of calls to it.

    ``incarnation`` is the server's identity, empty while unknown. ``started_ms`` is the
    Unix time of its start, 0 until a heartbeat has reported it. ``refusal`` is the
    reason why the server gets no calls, empty when it gets them. ``rate_limit`` is the
    number of requests per second that the server takes, ``None`` without a limit.
    ``demand`` is a fraction of the server's capacity, ``wait`` a fraction of the
    maximum mean wait.
    """

    incarnation: str
    started_ms: int
    refusal: str
    slots: int
    limit: int
    rate_limit: float | None
    in_flight: int
    queued: int
    demand: float
    wait: float
    failure_share: float


@frozen
class MemberStatus:
    """Another node; ``age_s`` is the age of its last load report."""

    name: str
    service: str
    failure_domain: str
    linked: bool
    accepting: bool
    in_flight: int
    queued: int
    limit: float
    failure_share: float
    age_s: float | None


@frozen
class ShareStatus:
    """The admitted fraction of a route's requests of one rank."""

    route: str
    rank: int
    share: float


@frozen
class GroupStatus:
    """A group of callers that gets less than other requests of its route and rank.

    ``rate`` is its rate in requests per second over all nodes, ``share`` the fraction
    of it that is admitted.
    """

    group: str
    route: str
    rank: int
    rate: float
    share: float


@frozen
class BudgetStatus:
    """Requests to a service, and their retries, in the window of the retry budget.

    ``allowed`` is the number of retries that are planned for the window, ``None`` if
    they are not planned.
    """

    service: str
    requests: int
    retries: int
    allowed: float | None


@frozen
class QuotaStatus:
    """The part of a team's quota that this node allocates.

    ``rate`` and ``burst`` are the team's, in requests per second and requests.
    ``held_rate`` is the rate that this node grants from, ``level`` the requests that it
    can grant now, negative if it granted in advance, and ``asked_per_s`` the rate
    of the requests for which nodes request grants.
    """

    team: str
    rate: float
    burst: float
    held_rate: float
    level: float
    asked_per_s: float


@frozen
class TeamStatus:
    """The number of configured teams and the quota allocators of this node."""

    teams: int
    holders: list[str]
    held: list[QuotaStatus]


@frozen
class ReaderStatus:
    """A node from which this node receives the records of the log.

    ``reads`` is set if that node reads the log itself, ``hears`` if it receives the
    records from another node. ``age_s`` is the age of its last message.
    """

    name: str
    reads: bool
    hears: bool
    age_s: float | None


@frozen
class LogStatus:
    """How a node receives the records of the log.

    ``reading`` is set while the node reads the log itself, ``chosen`` if it is one of
    the readers of its failure domain; ``subscribers`` counts the nodes to which it
    forwards records. ``era`` is the log epoch, the number of times that the log was
    restored from an older copy, -1 if the log does not report it. ``next_offset`` is
    the first offset of that epoch that the node has not received. ``counted_nodes`` is
    the number of nodes whose request counts it has. All records that the log accepted
    more than ``age_s`` ago are known; ``source`` is ``log`` or the node that confirmed
    it.
    """

    reading: bool
    chosen: bool
    subscribers: int
    era: int
    next_offset: int
    counted_nodes: int
    readers: list[ReaderStatus]
    age_s: float | None
    source: str


@frozen
class EntryStatus:
    """The client requests that wait at this node, and the clients that return to it.

    ``outcomes`` counts the ended waits by outcome, ``visits`` the requests by kind of
    attempt. ``expected_returns`` is the number of refused clients whose Retry-After has
    not passed.
    """

    waiting: int
    waiting_bytes: int
    outcomes: dict[str, int]
    visits: dict[str, int]
    expected_returns: int


@frozen
class BalancingStatus:
    """Offers of free slots to other nodes, and queued calls that were given up."""

    offers: int
    moved: int


@frozen
class NodeStatus:
    """The whole status of a node.

    ``levels`` maps services to the admitted fraction of the work offered to them;
    ``shares`` lists the admitted fractions below 1 by route and rank, ``groups`` the
    groups of callers that get less than the others, and ``rejecting`` the share of
    calls that the servers of a service reject. ``call_budgets`` maps services to the
    part of each that this node may use while its call budget is enforced. By route,
    ``vectors`` gives the calls that one run makes and ``allowances`` the seconds that
    it may take. ``lost_topics`` are the topics of the log that can't be read now, and
    ``refused`` counts rejected messages by kind.
    """

    node: str
    incarnation: str
    service: str
    failure_domain: str
    ready: bool
    stopping: bool
    version: int
    version_age_s: float | None
    version_source: str
    routes: int
    lost_topics: list[str]
    log: LogStatus
    refused: dict[str, int]
    teams: TeamStatus
    server: ServerStatus
    levels: dict[str, float]
    shares: list[ShareStatus]
    groups: list[GroupStatus]
    rejecting: dict[str, float]
    call_budgets: dict[str, float]
    balancing: BalancingStatus
    vectors: dict[str, dict[str, float]]
    allowances: dict[str, float]
    budgets: list[BudgetStatus]
    entry: EntryStatus
    members: list[MemberStatus]


def collect_status(node: RelayNode) -> NodeStatus:
    """Return the present status of a node."""
    state = node.state
    now_s = state.clock()
    routes = state.table.routes
    version_age_s = None
    if state.table.version:
        version_age_s = round(now_s - state.table_since_s, 3)
    return NodeStatus(
        state.name,
        state.incarnation,
        state.server.service,
        state.failure_domain,
        node.is_ready(),
        state.stopping,
        state.table.version,
        version_age_s,
        state.table_source,
        len(routes),
        [follower.topic for follower in node.followers if not follower.reachable],
        _collect_log(node.readers, now_s),
        dict(node.rejected_messages.totals),
        _collect_teams(node, now_s),
        _collect_server(node, now_s),
        {
            name: round(controller.admitted_fraction, 3)
            for name, controller in state.admission_controllers.items()
        },
        [
            ShareStatus(request_class.route_name, request_class.rank, round(share, 3))
            for request_class, share in sorted(
                node.admission.admitted_fractions.items()
            )
        ],
        _collect_groups(node.admission.fair_shares),
        {
            name: round(share, 3)
            for name, share in sorted(node.rejections.shares.items())
        },
        {
            name: round(budget.rate, 5)
            for name, budget in sorted(node.call_budget.budgets.items())
            if budget.enforced
        },
        BalancingStatus(node.work_stealing.offers, node.work_stealing.moved),
        {
            name: {called: round(count, 2) for called, count in calls.items()}
            for name, calls in state.graph.calls_per_run.items()
        },
        {
            name: round(state.find_time_allowance(route), 3)
            for name, route in routes.items()
        },
        _collect_budgets(node.dispatcher.budget),
        _collect_entry(node.ingress),
        [
            _collect_member(member, now_s)
            for member in state.members.by_name.values()
            if member.name != state.name
        ],
    )


def _collect_log(readers: LogReaders, now_s: float) -> LogStatus:
    age_s = readers.freshness.compute_age_s()
    return LogStatus(
        readers.reading,
        readers.is_reader,
        len(readers.subscribers),
        readers.epoch_tracker.current,
        readers.record_table.next_offset,
        readers.state.cluster_counts.nodes,
        [
            ReaderStatus(
                name,
                subscription.reads,
                subscription.hears,
                None
                if math.isinf(subscription.received_s)
                else round(now_s - subscription.received_s, 3),
            )
            for name, subscription in sorted(readers.subscriptions.items())
        ],
        None if math.isinf(age_s) else round(age_s, 3),
        readers.freshness.find_source(),
    )


def _collect_groups(fair_shares: FairShares) -> list[GroupStatus]:
    return [
        GroupStatus(
            one.key.group,
            *one.key.request_class,
            round(one.rate, 1),
            round(one.fraction, 3),
        )
        for one in fair_shares.list_limited()
    ]


def _collect_teams(node: RelayNode, now_s: float) -> TeamStatus:
    teams = node.state.table.teams.teams
    held = []
    for name, quota in sorted(node.quotas.allocator.quotas.items()):
        quota.bucket.refill(now_s)
        if name in teams and quota.bucket.rate:
            held.append(
                QuotaStatus(
                    name,
                    teams[name].rate,
                    teams[name].burst,
                    round(quota.bucket.rate, 2),
                    round(quota.bucket.tokens, 2),
                    round(quota.requested_per_s, 2),
                )
            )
    return TeamStatus(len(teams), list(node.quotas.local_allocators), held)


def _collect_server(node: RelayNode, now_s: float) -> ServerStatus:
    server = node.state.server
    dispatcher = node.dispatcher
    incarnation = server.incarnation or ServerIncarnation("")
    return ServerStatus(
        incarnation.identity,
        incarnation.started_ms,
        str(server.find_refusal_reason(now_s) or ""),
        server.slots,
        server.compute_concurrency_limit(),
        server.rate_limit.per_s,
        dispatcher.in_flight,
        dispatcher.queued,
        round(dispatcher.measures.load.demand, 3),
        round(dispatcher.measures.load.wait, 3),
        round(dispatcher.measures.failure_share, 3),
    )


def _collect_member(member: Member, now_s: float) -> MemberStatus:
    load = member.load
    age_s = round(now_s - load.reported_s, 3) if load.reported_s else None
    return MemberStatus(
        member.name,
        member.service,
        member.failure_domain,
        member.is_connected(),
        load.accepting,
        load.in_flight,
        load.queued,
        round(load.limit, 2),
        round(load.failure_share, 3),
        age_s,
    )


def _collect_entry(ingress: Ingress) -> EntryStatus:
    room = ingress.waiting_room
    returns = ingress.returns
    return EntryStatus(
        len(room),
        room.waiting_bytes,
        {str(outcome): count for outcome, count in room.outcomes.items()},
        {visit.name.lower(): count for visit, count in returns.visits.items()},
        returns.count_appointments(),
    )


def _collect_budgets(budget: RetryBudget) -> list[BudgetStatus]:
    return [
        BudgetStatus(name, requests, retries, budget.find_allowed_retries(name))
        for name, requests, retries in budget.list_services()
    ]
