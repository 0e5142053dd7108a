"""Runs the memberships of many nodes in one process, on a manual clock."""

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
# passes of the event loop without an event, after which all tasks wait for the clock
_IDLE_PASSES = 6


@define
class InMemoryLog:
    """A log in memory that can be made unavailable."""

    down: bool = False
    records: list[Record] = field(factory=list)
    first_offset: int = 0

    async def append(self, stream: str, body: bytes) -> Appended | LogFailure:
        if self.down:
            return LogFailure("down", sent=False)
        self.records.append(Record(self.first_offset + len(self.records), body))
        return Appended(self.records[-1].offset)

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> Page | LogFailure:
        if self.down:
            return LogFailure("down", sent=False)
        kept = [record for record in self.records if record.offset >= offset]
        end = self.first_offset + len(self.records)
        return Page(self.first_offset, end, tuple(kept[:limit]))


@define(eq=False)
class Node:
    """One node's membership and shared state; it can be frozen."""

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
        reply = await self.network.deliver(self, address, message, timeout_s)
        while self.frozen:
            await self.thawed.wait()
        return reply

    async def send(self, address: str, message: ttypes.Message) -> bool:
        reply = await self.network.deliver(self, address, message, 0.0)
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
        identity = sender.identity
        hello = ttypes.Hello(
            identity.address,
            identity.failure_domain,
            identity.region,
            identity.incarnation,
            1,
        )
        reply = await self.membership.handlers()[kind](hello, message)
        return None if reply is None else serialize(reply, _PROTOCOL)

    def get_member_state(self, address: str) -> MemberState | None:
        member = self.shared_state.members.members.get(address)
        return None if member is None else member.state


@define
class Network:
    """Delivers encoded messages between nodes at once, or drops them."""

    rng: random.Random
    clock: ManualClock = field(factory=ManualClock)
    timing: Timing = field(factory=Timing)
    log: InMemoryLog = field(factory=InMemoryLog)
    loss: float = 0.0
    is_partitioned: Callable[[Node, Node], bool] = lambda source, target: False
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

    async def deliver(
        self, source: Node, address: str, message: ttypes.Message, timeout_s: float
    ) -> ttypes.Message | PeerFailure:
        self.events += 1
        target = self.nodes.get(address)
        if target is None:
            return PeerFailure(address, sent=False)
        body = serialize(message, _PROTOCOL)
        source.bytes_out += len(body) + _FRAME_BYTES
        source.messages_out += 1
        if self._drops(source, target):
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
        if self._drops(target, source):
            return await self._time_out(address, timeout_s)
        source.bytes_in += len(reply) + _FRAME_BYTES
        return deserialize(ttypes.Message(), reply, _PROTOCOL)

    def _drops(self, source: Node, target: Node) -> bool:
        return self.is_partitioned(source, target) or self.rng.random() < self.loss

    async def _time_out(self, address: str, timeout_s: float) -> PeerFailure:
        expired = anyio.Event()
        self.timers.schedule(timeout_s, expired.set)
        await expired.wait()
        self.events += 1
        return PeerFailure(address, sent=True)

    async def run(self, seconds: float) -> None:
        await self.run_until(lambda: False, seconds)

    async def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Advance the clock until a condition holds; return the elapsed seconds."""
        start_s = self.clock.now_s
        while self.clock.now_s < start_s + limit_s and not condition():
            self.clock.now_s += STEP_S
            started_s = time.process_time()
            for node in list(self.nodes.values()):
                if not node.frozen:
                    node.timers.run_due()
            self.timers.run_due()
            await self._settle()
            self.cpu_s += time.process_time() - started_s
        return self.clock.now_s - start_s

    async def _settle(self) -> None:
        """Run all tasks until they wait for the clock."""
        idle_passes = 0
        while idle_passes < _IDLE_PASSES:
            before = self.events
            await anyio.sleep(0)
            idle_passes = idle_passes + 1 if self.events == before else 0
