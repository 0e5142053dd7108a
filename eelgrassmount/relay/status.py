"""What a node believes, told to people and programs that ask."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen

from eelgrassmount.relay.heartbeats import ServerIncarnation

if TYPE_CHECKING:
    from eelgrassmount.compose.relay_node import RelayNode
    from eelgrassmount.relay.budget import RetryBudget
    from eelgrassmount.relay.members import Member
    from eelgrassmount.topics.readers import LogReaders


@frozen
class ServerState:
    """The server beside a node, and its gate.

    ``incarnation`` is its identity, empty before it is known, and ``started_ms`` the
    Unix time of its start, 0 while at most an answer has named it.
    ``refusal`` says why it gets no work, and is empty when it does. ``demand`` and
    ``wait`` are parts of what is possible and allowed.
    """

    incarnation: str
    started_ms: int
    refusal: str
    slots: int
    limit: int
    in_flight: int
    queued: int
    demand: float
    wait: float
    failure_share: float


@frozen
class MemberState:
    """Another node, as it is known here; ``age_s`` is the age of its last report."""

    name: str
    service: str
    failure_domain: str
    linked: bool
    accepting: bool
    in_flight: int
    queued: int
    limit: int
    failure_share: float
    age_s: float | None


@frozen
class ShareState:
    """The part of a route's requests of one rank that is admitted."""

    route: str
    rank: int
    share: float


@frozen
class BudgetState:
    """Requests and repeated calls of a service in the window of the retry budget."""

    service: str
    requests: int
    retries: int


@frozen
class QuotaState:
    """A node's part of a team's quota, in requests and requests a second.

    Of the team's ``rate`` and ``burst`` it hands out ``held_rate`` and has ``level`` of
    them now, below zero where it has handed out in advance; ``asked_per_s`` come to it.
    """

    team: str
    rate: float
    burst: float
    held_rate: float
    level: float
    asked_per_s: float


@frozen
class TeamState:
    """The teams of the configuration, and who holds their quotas for this node."""

    teams: int
    holders: list[str]
    held: list[QuotaState]


@frozen
class ReaderState:
    """A node that this one hears the log from.

    It reads the log itself, or hears from another that does; ``age_s`` is the age of
    its last word.
    """

    name: str
    reads: bool
    hears: bool
    age_s: float | None


@frozen
class LogState:
    """How the news of the log reach a node.

    It reads the log itself while it is ``reading``, and is ``chosen`` as one of the
    readers of its failure domain or listened to by ``subscribers``. ``era`` counts how
    often the log has come back from an older copy, -1 if it doesn't say; in it,
    ``next_offset`` is where the records that the node knows end. ``counted_nodes`` says
    how many nodes' requests it knows of.
    """

    reading: bool
    chosen: bool
    subscribers: int
    era: int
    next_offset: int
    counted_nodes: int
    readers: list[ReaderState]


@frozen
class NodeState:
    """All that a node believes.

    ``levels`` holds the part of what is offered that is admitted, by service;
    ``shares`` the same by route and rank, where it is below 1; ``vectors`` the calls
    that one run makes and ``allowances`` the seconds that one may take, by route.
    ``lost_topics`` are the topics of the log that can't be read now, and ``refused``
    counts messages that were not taken up, by kind.
    """

    node: str
    incarnation: str
    service: str
    failure_domain: str
    ready: bool
    stopping: bool
    version: int
    version_age_s: float | None
    routes: int
    lost_topics: list[str]
    log: LogState
    refused: dict[str, int]
    teams: TeamState
    server: ServerState
    levels: dict[str, float]
    shares: list[ShareState]
    vectors: dict[str, dict[str, float]]
    allowances: dict[str, float]
    budgets: list[BudgetState]
    members: list[MemberState]


def collect_status(node: RelayNode) -> NodeState:
    """Return what a node believes now."""
    beliefs = node.beliefs
    now_s = beliefs.clock()
    routes = beliefs.table.routes
    version_age_s = None
    if beliefs.table.version:
        version_age_s = round(now_s - beliefs.table_since_s, 3)
    return NodeState(
        beliefs.name,
        beliefs.incarnation,
        beliefs.server.service,
        beliefs.failure_domain,
        node.is_ready(),
        beliefs.stopping,
        beliefs.table.version,
        version_age_s,
        len(routes),
        [one.topic for one in node.followers if not one.reachable],
        _read_log(node.readers, now_s),
        dict(node.refused.totals),
        _read_teams(node, now_s),
        _read_server(node, now_s),
        {name: round(one.level, 3) for name, one in beliefs.levels.items()},
        [
            ShareState(demand.route_name, demand.rank, round(share, 3))
            for demand, share in sorted(node.admission.shares.items())
        ],
        {
            name: {called: round(count, 2) for called, count in calls.items()}
            for name, calls in beliefs.graph.vectors.items()
        },
        {
            name: round(beliefs.find_allowance(route), 3)
            for name, route in routes.items()
        },
        _read_budgets(node.gate.budget),
        [
            _read_member(one, now_s)
            for one in beliefs.members.by_name.values()
            if one.name != beliefs.name
        ],
    )


def _read_log(readers: LogReaders, now_s: float) -> LogState:
    return LogState(
        readers.reading,
        readers.is_reader,
        len(readers.subscribers),
        readers.eras.current,
        readers.book.next_offset,
        readers.beliefs.outlook.nodes,
        [
            ReaderState(
                name,
                one.reads,
                one.hears,
                None if math.isinf(one.heard_s) else round(now_s - one.heard_s, 3),
            )
            for name, one in sorted(readers.subscriptions.items())
        ],
    )


def _read_teams(node: RelayNode, now_s: float) -> TeamState:
    teams = node.beliefs.table.teams.teams
    held = []
    for name, one in sorted(node.quotas.holder.held.items()):
        one.bucket.refill(now_s)
        if name in teams and one.bucket.rate:
            held.append(
                QuotaState(
                    name,
                    teams[name].rate,
                    teams[name].burst,
                    round(one.bucket.rate, 2),
                    round(one.bucket.level, 2),
                    round(one.asked_per_s, 2),
                )
            )
    return TeamState(len(teams), list(node.quotas.near), held)


def _read_server(node: RelayNode, now_s: float) -> ServerState:
    server = node.beliefs.server
    gate = node.gate
    known = server.incarnation or ServerIncarnation("")
    return ServerState(
        known.identity,
        known.started_ms,
        str(server.find_refusal_reason(now_s) or ""),
        server.slots,
        server.compute_concurrency_limit(),
        gate.in_flight,
        gate.queued,
        round(gate.measures.load.demand, 3),
        round(gate.measures.load.wait, 3),
        round(gate.measures.failure_share, 3),
    )


def _read_member(member: Member, now_s: float) -> MemberState:
    load = member.load
    age_s = round(now_s - load.reported_s, 3) if load.reported_s else None
    return MemberState(
        member.name,
        member.service,
        member.failure_domain,
        member.is_connected(),
        load.accepting,
        load.in_flight,
        load.queued,
        load.limit,
        round(load.failure_share, 3),
        age_s,
    )


def _read_budgets(budget: RetryBudget) -> list[BudgetState]:
    return [
        BudgetState(name, requests, repeats)
        for name, requests, repeats in budget.list_services()
    ]
