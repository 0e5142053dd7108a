"""Measures memory and processor time of at-most-once execution for each key.

Run it with ``python -m benchmarks.keys``. Two nodes share one process and exchange
encoded frames without sockets, so that the processor time includes both replicas of
a slot.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import anyio
from attrs import define

from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.config.classes import Configuration, Document
from eelgrassmount.context import Context, Tier, compute_digest
from eelgrassmount.gen.ttypes import Hello, Message
from eelgrassmount.keys.placement import find_slot
from eelgrassmount.keys.service import KeyService
from eelgrassmount.keys.table import Budget, Entry, KeyTable, Stage
from eelgrassmount.keys.views import Proposal, encode_proposals
from eelgrassmount.log_service import Appended, Page, Record
from eelgrassmount.members.table import Identity, Member, ServerState
from eelgrassmount.peer.codec import FRAME_HEADER_BYTES, decode_payload, encode_frame
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.timers import MonotonicClock, TimerService
from eelgrassmount.verdict import Answered

KEYS = 50_000
CALLS = 4_000
ROUNDS = 5
DOMAIN = "howrah"
ANSWER = Outcome(Answered(201, (), b'{"booking": 4711, "state": "accepted"}'))


@define(eq=False)
class OneRecordLog:
    """A log with one record that makes the first node primary everywhere."""

    nodes: list[LocalPeers]

    async def append(self, stream: str, body: bytes) -> Appended:
        return Appended(1)

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> Page:
        if offset:
            await anyio.sleep(wait_s)
            return Page(0, 1, ())
        pair = [node.service.core.node_id for node in self.nodes]
        views = [Proposal(slot, 0, *pair) for slot in range(64)]
        return Page(0, 1, (Record(0, encode_proposals(views)),))


@define(eq=False)
class LocalPeers:
    """One node, and its peer connection to the other one in the same process."""

    identity: Identity
    nodes: list[LocalPeers]
    service: KeyService | None = None

    async def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Message | PeerFailure:
        message.sequence = 1
        target = next(node for node in self.nodes if node.identity.address == address)
        copy = decode_payload(encode_frame(message)[FRAME_HEADER_BYTES:])
        hello = Hello(self.identity.address, DOMAIN, "", self.identity.incarnation, 1)
        for name, handler in target.service.handlers().items():
            if getattr(copy, name) is not None:
                reply = await handler(hello, copy)
                reply.sequence = 1
                return decode_payload(encode_frame(reply)[FRAME_HEADER_BYTES:])
        return PeerFailure(address, True)


async def answer_at_once(call: Call) -> Outcome:
    return ANSWER


def make_nodes() -> list[LocalPeers]:
    nodes: list[LocalPeers] = []
    for number in (1, 2):
        identity = Identity(f"127.0.0.{number}:7000", DOMAIN, "", f"i{number}")
        node = LocalPeers(identity, nodes)
        nodes.append(node)
        shared_state = SharedNodeState(identity, log_reachable=True)
        document = Document(failure_domains=(DOMAIN,))
        shared_state.configuration = Configuration(version=1, document=document)
        timers = TimerService(MonotonicClock(), random.Random(number))
        node.service = KeyService.create(
            shared_state,
            timers,
            node,
            OneRecordLog(nodes),
            answer_at_once,
            random.Random(number),
        )
    for node in nodes:
        for other in nodes:
            member = Member(other.identity, server_state=ServerState.SERVING)
            node.service.core.shared_state.members.members[other.identity.address] = (
                member
            )
    return nodes


def make_call(key: str, deadline_s: float) -> Call:
    digest = compute_digest("POST", "/jobdesk/bookings", key.encode())
    context = Context(
        key, key, "", "booking", deadline_s, 1, Tier(0), 0, 0, False, key, digest
    )
    return Call(context, Request("jobdesk", "POST", "/jobdesk/bookings", (), b""))


async def time_calls(
    run: Callable[[Call], Awaitable[Outcome]], keys: list[str]
) -> float:
    """Return the processor time of one call in microseconds."""
    calls = [make_call(key, time.monotonic() + 600) for key in keys]
    started_s = time.process_time()
    for call in calls:
        outcome = await run(call)
        assert isinstance(outcome.verdict, Answered), outcome
    return (time.process_time() - started_s) / len(calls) * 1e6


async def measure_calls() -> None:
    nodes = make_nodes()
    async with anyio.create_task_group() as group:
        for node in nodes:
            await node.service.start(group)
        primary = nodes[0].service
        while not all(holder.synced for holder in primary.core.slot_states):
            await anyio.sleep(0.1)
        figures: dict[str, list[float]] = {"plain": [], "client": [], "minted": []}
        figures["retry"] = []
        for number in range(ROUNDS):
            client_keys = [f"{number}-{index}" for index in range(CALLS)]
            minted_keys = [primary.mint() for _ in range(CALLS)]
            figures["plain"].append(await time_calls(answer_at_once, client_keys))
            figures["client"].append(await time_calls(primary.run, client_keys))
            figures["retry"].append(await time_calls(primary.run, client_keys))
            figures["minted"].append(await time_calls(primary.run, minted_keys))
        group.cancel_scope.cancel()
    for name, values in figures.items():
        low, high = min(values), max(values)
        print(f"{name:8} {statistics.median(values):7.1f} us ({low:.1f} to {high:.1f})")


def measure_memory() -> None:
    table = KeyTable(Budget(KEYS, 1 << 30))
    gc.collect()
    tracemalloc.start()
    start_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(KEYS):
        key = f"0194f3c2-7a11-7000-8000-{number:012x}"
        body = b'{"booking": %d, "state": "accepted"}' % number
        entry = Entry(key, f"{number:032x}", "i1", number, Stage.RUNNING, 0.0)
        table.put(entry)
        table.finish(entry, Outcome(Answered(201, (), body)), 1.0)
        find_slot(key)
    used_bytes = tracemalloc.get_traced_memory()[0] - start_bytes
    tracemalloc.stop()
    print(f"memory   {used_bytes / KEYS:7.0f} bytes per key at each replica, with body")


def main() -> None:
    """Print memory and processor time for each key."""
    measure_memory()
    anyio.run(measure_calls)


if __name__ == "__main__":
    main()
