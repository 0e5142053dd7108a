"""A log and a network in memory, with faults to switch on."""

from __future__ import annotations

import random

import anyio
from attrs import define, field

from eelgrassmount.blackboard import Blackboard
from eelgrassmount.config.follower import ConfigFollower
from eelgrassmount.gen.ttypes import Hello, Message
from eelgrassmount.log_port import Appended, LogFailure, Page, Record
from eelgrassmount.members.table import Identity, Member, ServiceSummary
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.timers import ManualClock, TimerService
from eelgrassmount.util.waiting import wait_for

TEXT = """
[[class]]
name = "{name}"
routes = ["POST /jobdesk/{name}"]
idempotent = false
complete_fraction = 0.9
within_ms = 2000
"""


def make_text(name: str) -> str:
    return TEXT.format(name=name)


@define
class FakeLog:
    """``lose`` answers are lost after the write, ``swallow`` requests before it."""

    first: int = 0
    bodies: list[bytes] = field(factory=list)
    down: bool = False
    lose: int = 0
    swallow: int = 0
    appends: int = 0

    @property
    def next(self) -> int:
        return self.first + len(self.bodies)

    def drop(self, first: int) -> None:
        self.bodies = self.bodies[first - self.first :]
        self.first = first


@define
class FakeLogClient:
    log: FakeLog
    timers: TimerService
    cut: bool = False

    async def append(self, stream: str, body: bytes) -> Appended | LogFailure:
        await anyio.lowlevel.checkpoint()
        if self.cut or self.log.down:
            return LogFailure("down", False)
        if self.log.swallow:
            self.log.swallow -= 1
            return LogFailure("no answer", True)
        self.log.bodies.append(body)
        self.log.appends += 1
        if self.log.lose:
            self.log.lose -= 1
            return LogFailure("no answer", True)
        return Appended(self.log.next - 1)

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> Page | LogFailure:
        await anyio.lowlevel.checkpoint()
        end_s = self.timers.read() + wait_s
        while self.log.next <= offset and self.timers.read() < end_s:
            if self.cut or self.log.down:
                break
            await wait_for(self.timers, 0.05)
        if self.cut or self.log.down:
            return LogFailure("down", False)
        start = max(offset, self.log.first)
        chosen = range(start, min(start + limit, self.log.next))
        records = tuple(Record(o, self.log.bodies[o - self.log.first]) for o in chosen)
        return Page(self.log.first, self.log.next, records)


@define
class Node:
    board: Blackboard
    log: FakeLogClient
    follower: ConfigFollower
    tasks: anyio.abc.TaskGroup

    @property
    def address(self) -> str:
        return self.board.identity.address

    @property
    def version(self) -> int:
        return self.board.configuration.version


@define
class Cluster:
    """Nodes ``domain-number``; ``cut`` domains reach no other domain.

    Versions are checked after every step: none may go down at a running node, and
    one version has one text everywhere.
    """

    timers: TimerService
    tasks: anyio.abc.TaskGroup
    log: FakeLog = field(factory=FakeLog)
    nodes: dict[str, Node] = field(factory=dict)
    cut: set[str] = field(factory=set)
    texts: dict[int, str] = field(factory=dict)
    seen: dict[str, int] = field(factory=dict)

    async def request(
        self, sender: str, address: str, message: Message
    ) -> Message | PeerFailure:
        await anyio.lowlevel.checkpoint()
        domain, other = sender.split("-")[0], address.split("-")[0]
        apart = domain != other and self.cut & {domain, other}
        if apart or address not in self.nodes:
            return PeerFailure(address, False)
        handler = self.nodes[address].follower.handlers()["config_question"]
        return await handler(Hello(address=sender), message)

    async def start(self, address: str, seed: int = 0, **options) -> Node:
        domain = address.split("-")[0]
        board = Blackboard(Identity(address, domain, "r", address))
        log = FakeLogClient(self.log, self.timers)
        rng = random.Random(f"{address}{seed}")
        port = FakePeers(self, address)
        follower = ConfigFollower(board, self.timers, port, log, rng, **options)
        tasks = anyio.create_task_group()
        self.tasks.start_soon(self._run, tasks, follower)
        self.nodes[address] = Node(board, log, follower, tasks)
        self.seen.pop(address, None)
        self._introduce()
        await self.settle()
        return self.nodes[address]

    async def _run(self, tasks: anyio.abc.TaskGroup, follower: ConfigFollower) -> None:
        async with tasks:
            await follower.start(tasks)

    def stop(self, address: str) -> None:
        self.nodes.pop(address).tasks.cancel_scope.cancel()
        self._introduce()

    def _introduce(self) -> None:
        for node in self.nodes.values():
            own = node.board.identity
            members, summaries = {}, {}
            for address, other in self.nodes.items():
                there = other.board.identity
                if there.failure_domain == own.failure_domain:
                    members[address] = Member(there)
                    continue
                key = (there.failure_domain, "svc")
                summaries[key] = ServiceSummary(*key, 1, 1, 1, 1, (address,))
            node.board.members.members = members
            node.board.members.summaries = summaries

    async def settle(self) -> None:
        for _ in range(40):
            await anyio.lowlevel.checkpoint()

    async def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.timers.advance(0.1)
            await self.settle()
            self.check()

    def check(self) -> None:
        for address, node in self.nodes.items():
            own = node.board.configuration
            assert own.version >= self.seen.get(address, 0)
            self.seen[address] = own.version
            assert self.texts.setdefault(own.version, own.text) == own.text

    async def publish(self, address: str, name: str, base: int, request_id: str = ""):
        done = []

        async def run() -> None:
            follower = self.nodes[address].follower
            done.append(await follower.publish(make_text(name), base, request_id))

        self.tasks.start_soon(run)
        for _ in range(400):
            if done:
                break
            await self.advance(0.1)
        return done[0]


@define
class FakePeers:
    cluster: Cluster
    sender: str

    async def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Message | PeerFailure:
        return await self.cluster.request(self.sender, address, message)

    async def send(self, address: str, message: Message) -> bool:
        return not isinstance(await self.request(address, message, 1.0), PeerFailure)


def run_cluster(scenario) -> None:
    """Run ``scenario(cluster)`` on a clock that only the scenario moves."""

    async def main() -> None:
        timers = TimerService(ManualClock(), random.Random(1))
        async with anyio.create_task_group() as tasks:
            await scenario(Cluster(timers, tasks))
            tasks.cancel_scope.cancel()

    anyio.run(main)
