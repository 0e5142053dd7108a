"""A network of memberships in one process, on a clock that is moved by hand."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
from attrs import define, field
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from eelgrassmount.gen import ttypes
from eelgrassmount.log_service import Appended, LogFailure, Page, Record
from eelgrassmount.members.membership import Membership
from eelgrassmount.members.table import Identity, MemberState, ServerState
from eelgrassmount.members.timing import Timing
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.timers import ManualClock, TimerService

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable

    from eelgrassmount.load.state import ServiceLoad

STEP_S = 0.02
_PROTOCOL = TBinaryProtocolAcceleratedFactory()
_FRAME_BYTES = 4
# passes of the event loop without any event after which nothing is left to do
_QUIET_PASSES = 6


@define
class Log:
    """A log in memory that can be out."""

    down: bool = False
    records: list[Record] = field(factory=list)
    first: int = 0

    async def append(self, stream: str, body: bytes) -> Appended | LogFailure:
        if self.down:
            return LogFailure("down", sent=False)
        self.records.append(Record(self.first + len(self.records), body))
        return Appended(self.records[-1].offset)

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> Page | LogFailure:
        if self.down:
            return LogFailure("down", sent=False)
        kept = [record for record in self.records if record.offset >= offset]
        end = self.first + len(self.records)
        return Page(self.first, end, tuple(kept[:limit]))


@define(eq=False)
class Node:
    """One membership with its blackboard; it can stand still."""

    identity: Identity
    network: Network
    shared_state: SharedNodeState
    timers: TimerService
    membership: Membership = field(init=False)
    frozen: bool = False
    running: bool = True
    bytes_out: int = 0
    bytes_in: int = 0
    messages_out: int = 0
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    thawed: anyio.Event = field(factory=anyio.Event)
    backlog: list[tuple[Node, bytes]] = field(factory=list)

    @property
    def address(self) -> str:
        return self.identity.address

    def start_soon(self, action: Callable, *args: object) -> None:
        self.network.tasks.start_soon(self._run, action, args)

    async def _run(self, action: Callable, args: tuple) -> None:
        self.network.events += 1
        if self.running:
            await action(*args)

    async def request(
        self, address: str, message: ttypes.Message, timeout_s: float
    ) -> ttypes.Message | PeerFailure:
        reply = await self.network.carry(self, address, message, timeout_s)
        while self.frozen:
            await self.thawed.wait()
        return reply

    async def send(self, address: str, message: ttypes.Message) -> bool:
        reply = await self.network.carry(self, address, message, 0.0)
        return not isinstance(reply, PeerFailure)

    def serve(self, service: str, state: ServerState = ServerState.SERVING) -> None:
        self.shared_state.server.service = service
        self.shared_state.server.state = state
        self.membership.announce_change()

    def freeze(self) -> None:
        self.frozen = True
        self.thawed = anyio.Event()

    def thaw(self) -> None:
        self.frozen = False
        self.thawed.set()
        backlog, self.backlog = self.backlog, []
        for sender, body in backlog:
            self.start_soon(self.receive, sender, body)

    def kill(self) -> None:
        self.running = False
        del self.network.nodes[self.address]

    async def receive(self, sender: Node, body: bytes) -> bytes | None:
        message = deserialize(ttypes.Message(), body, _PROTOCOL)
        if message.ping is not None and not message.ping.address:
            return body
        kind = "gossip" if message.gossip is not None else "ping"
        who = sender.identity
        hello = ttypes.Hello(
            who.address, who.failure_domain, who.region, who.incarnation, 1
        )
        reply = await self.membership.handlers()[kind](hello, message)
        return None if reply is None else serialize(reply, _PROTOCOL)

    def sees(self, address: str) -> MemberState | None:
        member = self.shared_state.members.members.get(address)
        return None if member is None else member.state


@define
class Network:
    """Carries encoded messages between nodes, at once or not at all."""

    rng: random.Random
    clock: ManualClock = field(factory=ManualClock)
    timing: Timing = field(factory=Timing)
    log: Log = field(factory=Log)
    loss: float = 0.0
    is_cut: Callable[[Node, Node], bool] = lambda source, target: False
    nodes: dict[str, Node] = field(factory=dict)
    timers: TimerService = field(init=False)
    tasks: anyio.abc.TaskGroup = field(init=False)
    cpu_s: float = 0.0
    events: int = 0

    @asynccontextmanager
    async def open(self) -> AsyncIterator[Network]:
        self.timers = TimerService(self.clock, self.rng)
        async with anyio.create_task_group() as self.tasks:
            yield self
            self.tasks.cancel_scope.cancel()

    async def add(
        self,
        address: str,
        domain: str,
        seeds: tuple[str, ...] = (),
        describe_load: Callable[[], ServiceLoad] | None = None,
    ) -> Node:
        incarnation = f"{self.rng.getrandbits(48):012x}"
        identity = Identity(address, domain, "region-1", incarnation)
        shared_state = SharedNodeState(identity)
        timers = TimerService(self.clock, self.rng)
        node = Node(identity, self, shared_state, timers)
        node.membership = Membership(
            shared_state,
            timers,
            node,
            self.log,
            self.rng,
            seeds,
            describe_load=describe_load,
            timing=self.timing,
        )
        self.nodes[address] = node
        await node.membership.start(node)
        return node

    async def carry(
        self, source: Node, address: str, message: ttypes.Message, timeout_s: float
    ) -> ttypes.Message | PeerFailure:
        self.events += 1
        target = self.nodes.get(address)
        if target is None:
            return PeerFailure(address, sent=False)
        body = serialize(message, _PROTOCOL)
        source.bytes_out += len(body) + _FRAME_BYTES
        source.messages_out += 1
        if self._loses(source, target):
            return await self._time_out(address, timeout_s)
        if target.frozen:
            target.backlog.append((source, body))
            return await self._time_out(address, timeout_s)
        target.bytes_in += len(body) + _FRAME_BYTES
        reply = await target.receive(source, body)
        if reply is None:
            return ttypes.Message()
        target.bytes_out += len(reply) + _FRAME_BYTES
        target.messages_out += 1
        if self._loses(target, source):
            return await self._time_out(address, timeout_s)
        source.bytes_in += len(reply) + _FRAME_BYTES
        return deserialize(ttypes.Message(), reply, _PROTOCOL)

    def _loses(self, source: Node, target: Node) -> bool:
        return self.is_cut(source, target) or self.rng.random() < self.loss

    async def _time_out(self, address: str, timeout_s: float) -> PeerFailure:
        over = anyio.Event()
        self.timers.schedule(timeout_s, over.set)
        await over.wait()
        self.events += 1
        return PeerFailure(address, sent=True)

    async def run(self, seconds: float) -> None:
        await self.run_until(lambda: False, seconds)

    async def run_until(self, holds: Callable[[], bool], limit_s: float) -> float:
        """Move the clock until something holds; return the seconds it took."""
        start_s = self.clock.now_s
        while self.clock.now_s < start_s + limit_s and not holds():
            self.clock.now_s += STEP_S
            started = time.process_time()
            for node in list(self.nodes.values()):
                if not node.frozen:
                    node.timers.run_due()
            self.timers.run_due()
            await self._settle()
            self.cpu_s += time.process_time() - started
        return self.clock.now_s - start_s

    async def _settle(self) -> None:
        """Let all tasks run until they wait for the clock."""
        quiet = 0
        while quiet < _QUIET_PASSES:
            before = self.events
            await anyio.sleep(0)
            quiet = quiet + 1 if self.events == before else 0
