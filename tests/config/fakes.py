"""An in-memory log and network with injectable faults."""

from __future__ import annotations

import random

import anyio
from attrs import define, field

from eelgrassmount.config.follower import ConfigFollower
from eelgrassmount.gen.ttypes import Hello, Message
from eelgrassmount.log_service import Appended, LogFailure, Page, Record
from eelgrassmount.members.table import Identity, Member, ServiceSummary
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.shared_node_state import SharedNodeState
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
    """A log that loses ``lose`` answers after a write and ``swallow`` requests."""

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
    disconnected: bool = False

    async def append(self, stream: str, body: bytes) -> Appended | LogFailure:
        await anyio.lowlevel.checkpoint()
        if self.disconnected or self.log.down:
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
            if self.disconnected or self.log.down:
                break
            await wait_for(self.timers, 0.05)
        if self.disconnected or self.log.down:
            return LogFailure("down", False)
        start = max(offset, self.log.first)
        chosen = range(start, min(start + limit, self.log.next))
        records = tuple(Record(o, self.log.bodies[o - self.log.first]) for o in chosen)
        return Page(self.log.first, self.log.next, records)


@define
class Node:
    shared_state: SharedNodeState
    log: FakeLogClient
    follower: ConfigFollower
    tasks: anyio.abc.TaskGroup

    @property
    def address(self) -> str:
        return self.shared_state.identity.address

    @property
    def version(self) -> int:
        return self.shared_state.configuration.version


@define
class Cluster:
    """Nodes named ``domain-number``; disconnected domains reach no other domain.

    After each step it checks that no running node's version decreased, and that a
    version has the same text on all nodes.
    """

    timers: TimerService
    tasks: anyio.abc.TaskGroup
    log: FakeLog = field(factory=FakeLog)
    nodes: dict[str, Node] = field(factory=dict)
    disconnected_domains: set[str] = field(factory=set)
    texts: dict[int, str] = field(factory=dict)
    seen: dict[str, int] = field(factory=dict)

    async def request(
        self, sender: str, address: str, message: Message
    ) -> Message | PeerFailure:
        await anyio.lowlevel.checkpoint()
        domain, other = sender.split("-")[0], address.split("-")[0]
        disconnected = domain != other and self.disconnected_domains & {domain, other}
        if disconnected or address not in self.nodes:
            return PeerFailure(address, False)
        handler = self.nodes[address].follower.handlers()["config_question"]
        return await handler(Hello(address=sender), message)

    async def start(self, address: str, seed: int = 0, **options) -> Node:
        domain = address.split("-")[0]
        shared_state = SharedNodeState(Identity(address, domain, "r", address))
        log = FakeLogClient(self.log, self.timers)
        rng = random.Random(f"{address}{seed}")
        port = FakePeers(self, address)
        follower = ConfigFollower(shared_state, self.timers, port, log, rng, **options)
        tasks = anyio.create_task_group()
        self.tasks.start_soon(self._run, tasks, follower)
        self.nodes[address] = Node(shared_state, log, follower, tasks)
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
            identity = node.shared_state.identity
            members, summaries = {}, {}
            for address, other in self.nodes.items():
                other_identity = other.shared_state.identity
                if other_identity.failure_domain == identity.failure_domain:
                    members[address] = Member(other_identity)
                    continue
                key = (other_identity.failure_domain, "svc")
                summaries[key] = ServiceSummary(*key, 1, 1, 1, 1, (address,))
            node.shared_state.members.members = members
            node.shared_state.members.summaries = summaries

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
            current = node.shared_state.configuration
            assert current.version >= self.seen.get(address, 0)
            self.seen[address] = current.version
            assert self.texts.setdefault(current.version, current.text) == current.text

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
    """Run ``scenario(cluster)`` on a manual clock."""

    async def main() -> None:
        timers = TimerService(ManualClock(), random.Random(1))
        async with anyio.create_task_group() as tasks:
            await scenario(Cluster(timers, tasks))
            tasks.cancel_scope.cancel()

    anyio.run(main)
