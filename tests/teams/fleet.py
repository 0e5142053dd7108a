"""Nodes that exchange quota messages on a virtual network and clock.

Quota clients and allocators are the real ones. Links deliver frames without encoding,
and the readers of a failure domain are its first nodes by name.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field

from eelgrassmount.policy.quotas import QuotaBounds
from eelgrassmount.relay.members import Member
from eelgrassmount.relay.routes import RouteTable
from eelgrassmount.teams.directory import Team, TeamDirectory, TeamKeys
from eelgrassmount.teams.exchange import QuotaExchange
from tests.relay.virtual import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from eelgrassmount.relay.frames import FrameKind

BOUNDS = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
LOCAL_LATENCY_S = 0.0004
REMOTE_LATENCY_S = 0.001
STEP_INTERVAL_S = 0.2
# Nodes notice a silent node after this time.
FAILURE_DETECTION_S = 0.75
READERS_PER_DOMAIN = 2


@define(eq=False)
class Link:
    """A link from one node to another."""

    fleet: Fleet
    owner: Node
    target: str

    def is_up(self) -> bool:
        other = self.fleet.nodes.get(self.target)
        return other is not None and not self.fleet.is_known_unreachable(
            self.owner, other
        )

    def send(self, kind: FrameKind, struct: Any) -> None:
        self.fleet.deliver(self.owner, self.target, kind, struct)


class Members:
    """The members that a node knows: all that were ever started."""

    def __init__(self, fleet: Fleet, owner: Node):
        self.fleet = fleet
        self.owner = owner
        self.by_name: dict[str, Member] = {}

    def refresh(self) -> None:
        for name, node in self.fleet.nodes.items():
            if name not in self.by_name:
                member = Member(name, "127.0.0.1:1", node.failure_domain, "list")
                member.link = Link(self.fleet, self.owner, name)
                self.by_name[name] = member


@define(eq=False)
class Node:
    """A node that uses the configuration of the fleet."""

    fleet: Fleet
    name: str
    failure_domain: str
    alive: bool = True
    paused: bool = False
    members: Members = field(init=False)
    exchange: QuotaExchange = field(init=False)
    inbox: list[Callable[[], None]] = field(factory=list)
    started: int = 0

    def __attrs_post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Start or restart without earlier state."""
        self.started += 1
        self.alive = True
        self.members = Members(self.fleet, self)
        self.members.refresh()
        self.exchange = QuotaExchange(self, self, BOUNDS, lambda member: None)

    @property
    def table(self) -> RouteTable:
        return self.fleet.table

    def clock(self) -> float:
        return asyncio.get_running_loop().time()

    # Interface of LogReaders.

    @property
    def ranking(self) -> Node:
        return self

    def list_domains(self) -> dict[str, list[str]]:
        domains: dict[str, list[str]] = {}
        for name, node in sorted(self.fleet.nodes.items()):
            domains.setdefault(node.failure_domain, []).append(name)
        return domains

    def list_readers(self, domain: str, now_s: float) -> list[str]:
        usable = [
            name
            for name in self.list_domains()[domain]
            if name == self.name
            or not self.fleet.is_known_unreachable(self, self.fleet.nodes[name])
        ]
        return usable[:READERS_PER_DOMAIN]

    def step(self) -> None:
        if self.alive and not self.paused:
            self.members.refresh()
            self.exchange.step()

    def send_request(self, team: Team) -> None:
        """Send a request of a client of a team to this node."""
        self.fleet.requested.append((self.clock(), team.name))
        if not self.alive or self.paused:
            return
        incarnation = self.started

        def decide(verdict: Any) -> None:
            if incarnation != self.started:
                return
            if verdict.refusal is None:
                self.fleet.ran.append((self.clock(), team.name))
            else:
                self.fleet.refused.append((self.clock(), team.name, verdict.wait_s))

        self.exchange.client.request(team, decide)


@define(eq=False)
class Fleet:
    """All nodes, and the outcomes of requests."""

    rng: random.Random
    nodes: dict[str, Node] = field(factory=dict)
    table: RouteTable = field(factory=RouteTable)
    requested: list[tuple[float, str]] = field(factory=list)
    ran: list[tuple[float, str]] = field(factory=list)
    refused: list[tuple[float, str, float]] = field(factory=list)
    partitioned: set[str] = field(factory=set)
    silent_since_s: dict[tuple[str, str], float] = field(factory=dict)
    cross_domain_frames: int = 0
    frames: int = 0
    drops_frame: Callable[[FrameKind], bool] = lambda kind: False

    def build(self, domains: int, nodes: int) -> None:
        for number in range(nodes):
            domain = "abcdefgh"[number % domains]
            name = f"{domain}-{number:03}"
            self.nodes[name] = Node(self, name, domain)

    def configure(self, *teams: Team) -> None:
        keys = [TeamKeys(team, ()) for team in teams]
        table = RouteTable(self.table.version + 1, teams=TeamDirectory.build(keys))
        self.table = table

    def find_team(self, name: str) -> Team:
        return self.table.teams.teams[name]

    def change(self, name: str, **changes: float) -> None:
        teams = {**self.table.teams.teams}
        teams[name] = evolve(teams[name], **changes)
        self.configure(*teams.values())

    def is_disconnected(self, one: Node, other: Node) -> bool:
        """Return whether two nodes cannot reach each other."""
        if not (one.alive and other.alive) or one.paused or other.paused:
            return True
        if one.failure_domain == other.failure_domain:
            return False
        return bool(self.partitioned & {one.failure_domain, other.failure_domain})

    def is_known_unreachable(self, one: Node, other: Node) -> bool:
        """Return whether a node has noticed that another one is unreachable."""
        if one is other:
            return False
        if not other.alive:
            return True
        key = (one.name, other.name)
        if not self.is_disconnected(one, other):
            self.silent_since_s.pop(key, None)
            return False
        now_s = one.clock()
        return now_s - self.silent_since_s.setdefault(key, now_s) >= FAILURE_DETECTION_S

    def deliver(self, one: Node, target: str, kind: FrameKind, struct: Any) -> None:
        other = self.nodes[target]
        self.frames += 1
        is_remote = one.failure_domain != other.failure_domain
        self.cross_domain_frames += is_remote
        if not one.alive or not other.alive or self.drops_frame(kind):
            return
        if self.partitioned & {one.failure_domain, other.failure_domain} and is_remote:
            return
        incarnations = (one.started, other.started)

        def answer(kind: FrameKind, struct: Any) -> None:
            self.deliver(other, one.name, kind, struct)

        def arrive() -> None:
            if incarnations != (one.started, other.started) or not other.alive:
                return
            if other.paused:
                other.inbox.append(arrive)
            else:
                other.exchange.handle_frame(kind, struct, answer)

        delay_s = (
            REMOTE_LATENCY_S if is_remote else LOCAL_LATENCY_S
        ) * self.rng.uniform(1.0, 3.0)
        asyncio.get_running_loop().call_later(delay_s, arrive)

    # Faults.

    def kill(self, *names: str) -> None:
        for name in names:
            self.nodes[name].alive = False
            self.nodes[name].started += 1

    def restart(self, *names: str) -> None:
        for name in names:
            self.nodes[name].start()

    def pause(self, name: str) -> None:
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.paused = False
        inbox, node.inbox = node.inbox, []
        for arrive in inbox:
            arrive()

    # Results.

    def find_max_runs(
        self, team_name: str, since_s: float = 0.0, window_s: float = BOUNDS.window_s
    ) -> int:
        """Return the largest number of requests of a team that ran in any window."""
        times = [at for at, name in self.ran if name == team_name and at >= since_s]
        max_runs = first = 0
        for last, at in enumerate(times):
            while at - times[first] > window_s:
                first += 1
            max_runs = max(max_runs, last - first + 1)
        return max_runs

    def count(self, events: list, team_name: str, since_s: float = 0.0) -> int:
        return sum(1 for one in events if one[1] == team_name and one[0] >= since_s)


def compute_max_runs(team: Team) -> float:
    """Return how many requests of a team may run in a window."""
    quota = team.rate * BOUNDS.window_s + team.burst
    return quota * (1.0 + BOUNDS.overage) + BOUNDS.slack


async def step_nodes(fleet: Fleet) -> None:
    while True:
        for node in list(fleet.nodes.values()):
            node.step()
        await asyncio.sleep(STEP_INTERVAL_S)


async def send_load(
    fleet: Fleet,
    team_name: str,
    names: list[str],
    rate: Callable[[float], float],
    until_s: float,
    send: Callable[[str, Team], None] | None = None,
) -> None:
    """Send requests at random times to some nodes, at a rate that changes.

    ``send`` replaces the nodes if given.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while loop.time() - start_s < until_s:
        present_rate = rate(loop.time() - start_s)
        if present_rate <= 0.0:
            await asyncio.sleep(0.05)
            continue
        await asyncio.sleep(fleet.rng.expovariate(present_rate))
        name = fleet.rng.choice(names)
        team = fleet.find_team(team_name)
        if send is None:
            fleet.nodes[name].send_request(team)
        else:
            send(name, team)


def play(
    scenario: Callable[[Fleet], Awaitable[None]],
    domains: int = 4,
    nodes: int = 20,
    seed: int = 0,
) -> Fleet:
    """Run a scenario on a fleet of new nodes."""
    fleet = Fleet(random.Random(seed))
    loop = VirtualLoop()

    async def main() -> None:
        fleet.build(domains, nodes)
        stepping = asyncio.create_task(step_nodes(fleet))
        await scenario(fleet)
        stepping.cancel()

    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
    return fleet
