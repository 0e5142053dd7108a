"""Links between nodes over sockets, also with faulty peers."""

from __future__ import annotations

import random
import socket
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from attrs import define, evolve, field

from eelgrassmount.gen.ttypes import Cancel, FateAnswer, FateQuestion, Hello, Message
from eelgrassmount.members.table import Identity
from eelgrassmount.metrics import Metrics, make_metrics
from eelgrassmount.peer.codec import encode_frame
from eelgrassmount.peer.frames import FrameReader
from eelgrassmount.peer.listener import PeerListener
from eelgrassmount.peer.pool import RECONNECT_DELAY_S, PeerPool, make_hello
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.timers import ManualClock, TimerService
from eelgrassmount.util.addresses import Address
from eelgrassmount.util.background import Background

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from anyio.abc import SocketStream

pytestmark = pytest.mark.anyio

SILENCE_S = 0.4
LONG_S = 30.0
MAX_FRAME_BYTES = 4096
HOST = "127.0.0.1"
LOCAL = Identity("127.0.0.1:1", "a", "r", "first")
OTHER = Identity("127.0.0.1:2", "a", "r", "second")


def make_question(call_id: str = "x") -> Message:
    return Message(fate_question=FateQuestion(call_id))


def count(metrics: Metrics, name: str) -> dict[str, float]:
    """Return a counter's values other than zero by the value of its label."""
    return {
        next(iter(sample.labels.values())): sample.value
        for family in getattr(metrics, name).collect()
        for sample in family.samples
        if sample.name.endswith("_total") and sample.value
    }


def find_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@define(eq=False)
class PoolWithPeer:
    """A pool with its clock, and the address to which it sends requests."""

    pool: PeerPool
    timers: TimerService
    address: str
    group: Any
    failures: list[None] = field(factory=list)

    async def request(self, message: Message, **options: Any) -> Message | PeerFailure:
        return await self.pool.request(self.address, message, LONG_S, **options)

    async def request_soon(self, replies: list[Any], message: Message) -> None:
        async def run() -> None:
            replies.append(await self.request(message))

        self.group.start_soon(run)
        await anyio.wait_all_tasks_blocked()

    async def pass_time(self, seconds: float) -> None:
        steps = 8
        for _ in range(steps):
            self.timers.advance(seconds / steps)
            for _ in range(20):
                await anyio.sleep(0)


@asynccontextmanager
async def run_pool(port: int) -> AsyncIterator[PoolWithPeer]:
    timers = TimerService(ManualClock(), random.Random(1))
    async with anyio.create_task_group() as group:
        metrics = make_metrics()
        pool = PeerPool(LOCAL, HOST, SILENCE_S, MAX_FRAME_BYTES, timers, metrics)
        peer = PoolWithPeer(pool, timers, f"{HOST}:{port}", group)
        await pool.start(Background(group, lambda: peer.failures.append(None)))
        yield peer
        group.cancel_scope.cancel()
    assert not peer.failures


@asynccontextmanager
async def run_peer(
    act: Callable[[SocketStream, FrameReader], Any], identity: Identity = OTHER
) -> AsyncIterator[PoolWithPeer]:
    """Run a pool and a peer that runs ``act`` on each link after the handshake."""

    async def serve(stream: SocketStream) -> None:
        async with stream:
            reader = FrameReader(stream, MAX_FRAME_BYTES)
            greeting = await reader.read()
            hello = Message(greeting.sequence, True, hello=make_hello(identity))
            await stream.send(encode_frame(hello))
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await act(stream, reader)

    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        async with run_pool(port) as peer:
            yield peer
        group.cancel_scope.cancel()


def make_answer(message: Message) -> Message:
    call_id = message.fate_question.call_id
    return Message(message.sequence, True, fate_answer=FateAnswer(call_id))


async def test_replies_are_matched_to_requests_in_any_order() -> None:
    async def act(stream: SocketStream, reader: FrameReader) -> None:
        requests = [await reader.read() for _ in range(3)]
        for message in reversed(requests):
            await stream.send(encode_frame(make_answer(message)))
        await reader.read()

    async with run_peer(act) as peer:
        replies: dict[str, str] = {}

        async def send_request(call_id: str) -> None:
            reply = await peer.request(make_question(call_id))
            replies[call_id] = reply.fate_answer.call_id

        async with anyio.create_task_group() as group:
            for call_id in "abc":
                group.start_soon(send_request, call_id)
        assert replies == {"a": "a", "b": "b", "c": "c"}


async def test_duplicate_and_unmatched_replies_are_dropped_and_counted() -> None:
    async def act(stream: SocketStream, reader: FrameReader) -> None:
        message = await reader.read()
        stray = make_answer(message)
        stray.sequence = 999
        frames = [stray, make_answer(message), make_answer(message)]
        await stream.send(b"".join(encode_frame(frame) for frame in frames))
        last = await reader.read()
        await stream.send(
            encode_frame(make_answer(message)) + encode_frame(make_answer(last))
        )
        await reader.read()

    async with run_peer(act) as peer:
        assert (await peer.request(make_question("a"))).fate_answer.call_id == "a"
        assert (await peer.request(make_question("b"))).fate_answer.call_id == "b"
        dropped = count(peer.pool.metrics, "dropped_answers")
        assert dropped == {"late": 2, "doubled": 1}


@pytest.mark.parametrize(
    ("last_bytes", "reason"),
    [
        (b"", "closed"),
        (b"\xff\xff\xff\xff", "bad-frame"),
        (b"\x00\x00\x00\x04oops", "bad-frame"),
        (b"\x00\x00\x00\x04oo", "bad-frame"),
    ],
)
async def test_failure_of_a_lost_link_names_the_possible_receiver(
    last_bytes: bytes, reason: str
) -> None:
    async def act(stream: SocketStream, reader: FrameReader) -> None:
        await reader.read()
        await stream.send(last_bytes)

    async with run_peer(act) as peer:
        for _ in range(2):
            failure = await peer.request(make_question())
            assert failure == PeerFailure(peer.address, True, "second")
            await anyio.wait_all_tasks_blocked()
        replaced = count(peer.pool.metrics, "peer_links_replaced")
        assert replaced == {reason: 2}


async def test_silent_link_is_detected_by_pings_and_replaced() -> None:
    links = []

    async def act(stream: SocketStream, reader: FrameReader) -> None:
        links.append(stream)
        silent = len(links) == 1
        while True:
            message = await reader.read()
            if not silent:
                await stream.send(encode_frame(make_answer(message)))

    async with run_peer(act) as peer:
        replies: list[Any] = []
        await peer.request_soon(replies, make_question())
        await peer.pass_time(SILENCE_S * 2)
        await anyio.wait_all_tasks_blocked()
        assert replies == [PeerFailure(peer.address, True, "second")]
        assert count(peer.pool.metrics, "peer_links_replaced") == {"silent": 1}
        reply = await peer.request(make_question(), incarnation="second")
        assert reply.fate_answer.call_id == "x"


async def test_slow_call_on_a_live_link_does_not_time_out() -> None:
    resume = anyio.Event()

    async def act(stream: SocketStream, reader: FrameReader) -> None:
        message = await reader.read()

        async def pong() -> None:
            while (ping := await reader.read()).ping is not None:
                ping.reply = True
                await stream.send(encode_frame(ping))

        async with anyio.create_task_group() as group:
            group.start_soon(pong)
            await resume.wait()
            await stream.send(encode_frame(make_answer(message)))
            await anyio.sleep_forever()

    async with run_peer(act) as peer:
        replies: list[Any] = []
        await peer.request_soon(replies, make_question())
        for _ in range(5):
            await peer.pass_time(SILENCE_S / 3)
            await anyio.wait_all_tasks_blocked()
        assert replies == []
        resume.set()
        with anyio.fail_after(LONG_S):
            while not replies:
                await anyio.wait_all_tasks_blocked()
        assert replies[0].fate_answer.call_id == "x"
        assert count(peer.pool.metrics, "dropped_answers") == {}


async def test_paused_sender_does_not_close_its_links_at_once() -> None:
    async def act(stream: SocketStream, reader: FrameReader) -> None:
        await reader.read()
        await reader.read()
        await reader.read()

    async with run_peer(act) as peer:
        replies: list[Any] = []
        await peer.request_soon(replies, make_question())
        peer.timers.clock.now_s += 60.0
        peer.timers.run_due()
        await anyio.wait_all_tasks_blocked()
        assert replies == []


async def test_request_is_not_sent_to_another_incarnation() -> None:
    received = []

    async def act(stream: SocketStream, reader: FrameReader) -> None:
        received.append(await reader.read())

    async with run_peer(act) as peer:
        failure = await peer.request(make_question(), incarnation="first")
        assert failure == PeerFailure(peer.address, sent=False)
        await anyio.wait_all_tasks_blocked()
        assert received == []


@pytest.mark.parametrize("last_bytes", [None, b"", b"\x00\x00\x00\x04oops", "ping"])
async def test_request_is_not_sent_to_a_peer_without_greeting(
    last_bytes: bytes | str | None,
) -> None:
    async def serve(stream: SocketStream) -> None:
        async with stream:
            if last_bytes is None:
                await anyio.sleep_forever()
            frame = (
                encode_frame(Message(0, True)) if last_bytes == "ping" else last_bytes
            )
            await stream.send(frame)

    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        async with run_pool(port) as peer:
            failure = await peer.request(make_question())
            assert failure == PeerFailure(peer.address, sent=False)
        group.cancel_scope.cancel()


async def test_refused_connection_and_invalid_address_fail_as_not_sent() -> None:
    async with run_pool(find_port()) as peer:
        assert await peer.request(make_question()) == PeerFailure(
            peer.address, sent=False
        )
        assert not await peer.pool.send(peer.address, make_question())
        failure = await peer.pool.request("no address", make_question(), LONG_S)
        assert failure == PeerFailure("no address", sent=False)


@asynccontextmanager
async def run_listener(
    handlers: Any,
) -> AsyncIterator[tuple[PeerListener, PoolWithPeer]]:
    port = find_port()
    identity = evolve(OTHER, address=f"{HOST}:{port}")
    async with anyio.create_task_group() as group:
        listener = PeerListener(
            identity, Address(HOST, port), MAX_FRAME_BYTES, handlers, make_metrics()
        )
        async with run_pool(port) as peer:
            await listener.start(Background(group, lambda: None))
            yield listener, peer
        group.cancel_scope.cancel()


async def answer_question(sender: Hello, message: Message) -> Message:
    assert sender.incarnation == LOCAL.incarnation
    return Message(fate_answer=FateAnswer(message.fate_question.call_id))


BAD_LINKS = {
    "malformed": [b"\x00\x00\x00\x04oops"],
    "over-long": [b"\x7f\xff\xff\xff"],
    "truncated": [b"\x00\x00\x00\x09oops"],
    "unexpected": [encode_frame(Message(1, False, cancel=Cancel("x")))],
}
GREETING = encode_frame(Message(0, False, hello=make_hello(LOCAL)))


@pytest.mark.parametrize("reason", BAD_LINKS)
@pytest.mark.parametrize("greeting", [b"", GREETING])
async def test_bad_frame_closes_only_its_connection(
    reason: str, greeting: bytes
) -> None:
    async with run_listener({"fate_question": answer_question}) as (listener, peer):
        assert (await peer.request(make_question())).fate_answer.call_id == "x"
        async with await anyio.connect_tcp(HOST, listener.address.port) as stream:
            await stream.send(greeting + b"".join(BAD_LINKS[reason]))
            await stream.send_eof()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    await stream.receive()
        assert count(listener.metrics, "rejected_frames") == {reason: 1}
        assert (await peer.request(make_question())).fate_answer.call_id == "x"
        assert count(peer.pool.metrics, "peer_links_replaced") == {}


async def test_listener_survives_arbitrary_first_bytes() -> None:
    rng = random.Random(5)
    async with run_listener({"fate_question": answer_question}) as (listener, peer):
        for length in (1, 3, 4, 5, 17, 300, 5000):
            async with await anyio.connect_tcp(HOST, listener.address.port) as stream:
                with suppress(anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                    await stream.send(rng.randbytes(length))
                    await stream.send_eof()
                    await stream.receive()
        assert (await peer.request(make_question())).fate_answer.call_id == "x"
        assert sum(count(listener.metrics, "rejected_frames").values()) == 7


async def test_failing_handler_affects_only_its_message() -> None:
    async def fail(sender: Hello, message: Message) -> Message:
        raise RuntimeError("a fault")

    handlers = {"cancel": fail, "fate_question": answer_question}
    async with run_listener(handlers) as (_, peer):
        assert await peer.pool.send(peer.address, Message(cancel=Cancel("x")))
        assert (await peer.request(make_question())).fate_answer.call_id == "x"


async def test_call_continues_after_its_link_is_closed() -> None:
    started = anyio.Event()
    resume = anyio.Event()
    finished = []

    async def work(sender: Hello, message: Message) -> Message:
        started.set()
        await resume.wait()
        finished.append(message.fate_question.call_id)
        return Message(fate_answer=FateAnswer("x"))

    async with run_listener({"fate_question": work}) as (_, peer):
        replies: list[Any] = []
        await peer.request_soon(replies, make_question())
        await started.wait()
        peer.pool.forget(peer.address)
        await anyio.wait_all_tasks_blocked()
        assert replies == [PeerFailure(peer.address, True, "second")]
        resume.set()
        await anyio.wait_all_tasks_blocked()
        assert finished == ["x"]


async def test_restarted_peer_gets_a_new_link() -> None:
    port = find_port()
    async with run_pool(port) as peer:
        for incarnation in ("second", "third"):
            identity = evolve(OTHER, incarnation=incarnation)
            listener = PeerListener(
                identity,
                Address(HOST, port),
                MAX_FRAME_BYTES,
                {"fate_question": answer_question},
                make_metrics(),
            )
            async with anyio.create_task_group() as group:
                await listener.start(Background(group, lambda: None))
                peer.timers.advance(RECONNECT_DELAY_S)
                reply = await peer.request(make_question(), incarnation=incarnation)
                assert reply.fate_answer.call_id == "x"
                group.cancel_scope.cancel()
            await anyio.wait_all_tasks_blocked()
            assert isinstance(await peer.request(make_question()), PeerFailure)
