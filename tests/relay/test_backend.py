"""The connection pool with a server that drops idle connections."""

from __future__ import annotations

import asyncio

import anyio
import pytest
from attrs import define, field

from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure
from eelgrassmount.platform.headers import HEADER_CODEC
from eelgrassmount.relay.backend import (
    MAX_FRESH_IDLE_S,
    MAX_UNSUCCESSFUL_IDS,
    BackendPool,
)
from eelgrassmount.util.addresses import Address
from tests.relay.deployment import LOOPBACK_PREFIX

HOST = f"{LOOPBACK_PREFIX}.3.1"
REQUEST = b"GET /list/1 HTTP/1.1\r\ncontent-length: 0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\neelgrassmount-attempt-id: a\r\ncontent-length: 0\r\n\r\n"
# Idle timeout of the server in these tests.
SERVER_IDLE_TIMEOUT_S = 0.1


@define(eq=False)
class Server:
    """A server that resets connections used after its idle timeout.

    With ``repeating``, each request gets the previous answer on its connection again,
    before its own one.
    """

    clock: object
    answers: list[bytes] = field(factory=list)
    repeating: bool = False
    opened: int = 0
    holding: bool = False
    held_transports: list[asyncio.Transport] = field(factory=list)
    address: Address = field(init=False)
    _server: asyncio.Server = field(init=False)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerProtocol(self), HOST, 0)
        self.address = Address(HOST, self._server.sockets[0].getsockname()[1])

    def end(self) -> None:
        self._server.close()


@define(eq=False)
class ServerProtocol(asyncio.Protocol):
    server: Server
    used_s: float | None = None
    previous: bytes = b""
    transport: asyncio.Transport = field(init=False)

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.server.opened += 1

    def data_received(self, data: bytes) -> None:
        now_s = self.server.clock()
        if self.used_s is not None and now_s - self.used_s > SERVER_IDLE_TIMEOUT_S:
            self.transport.abort()
            return
        self.used_s = now_s
        if self.server.holding:
            self.server.held_transports.append(self.transport)
            return
        if self.server.repeating:
            self.transport.write(self.previous)
        answers = self.server.answers
        self.previous = answers.pop(0) if answers else ANSWER
        self.transport.write(self.previous)


@define(eq=False)
class Setup:
    now_s: float = 100.0
    server: Server = field(init=False)
    pool: BackendPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.server = Server(self.clock)
        self.pool = BackendPool(
            self.clock,
            lambda answer: None,
            lambda answer: HEADER_CODEC.find_request_id(answer.headers),
        )

    def clock(self) -> float:
        return self.now_s

    async def send(
        self, fresh_only: bool, request_id: bytes = b"a"
    ) -> ClientAnswer | ExchangeFailure:
        future = asyncio.get_running_loop().create_future()
        address = self.server.address
        self.pool.send(address, REQUEST, fresh_only, request_id, future.set_result)
        with anyio.fail_after(3):
            return await future


def run(scenario) -> None:
    async def main() -> None:
        setup = Setup()
        await setup.server.start()
        try:
            await scenario(setup)
        finally:
            setup.pool.close_idle_connections()
            setup.server.end()

    asyncio.run(main())


def test_non_idempotent_request_uses_a_recently_used_connection():
    async def scenario(setup: Setup) -> None:
        await setup.send(True)
        setup.now_s += SERVER_IDLE_TIMEOUT_S / 2
        assert isinstance(await setup.send(True), ClientAnswer)
        assert setup.server.opened == 1
        setup.now_s += MAX_FRESH_IDLE_S * 1.1
        assert isinstance(await setup.send(True), ClientAnswer)
        assert setup.server.opened == 2

    run(scenario)


def test_pool_learns_the_idle_timeout_of_the_server():
    async def scenario(setup: Setup) -> None:
        idle_s = SERVER_IDLE_TIMEOUT_S * 1.5
        assert isinstance(await setup.send(False), ClientAnswer)
        setup.now_s += idle_s
        assert await setup.send(False) is ExchangeFailure.CLOSED
        for fresh_only in (False, True):
            assert isinstance(await setup.send(fresh_only), ClientAnswer)
            setup.now_s += idle_s
            assert isinstance(await setup.send(fresh_only), ClientAnswer)

    run(scenario)


def test_learned_idle_timeout_expires():
    async def scenario(setup: Setup) -> None:
        await setup.send(False)
        setup.now_s += SERVER_IDLE_TIMEOUT_S * 1.5
        assert await setup.send(False) is ExchangeFailure.CLOSED
        for _ in range(60):
            setup.pool.sweep()
        await setup.send(False)
        opened = setup.server.opened
        setup.now_s += SERVER_IDLE_TIMEOUT_S * 0.9
        await setup.send(False)
        assert setup.server.opened == opened

    run(scenario)


def test_reset_of_an_idle_connection_does_not_reduce_the_trusted_idle_time():
    async def scenario(setup: Setup) -> None:
        await setup.send(False)
        setup.now_s += 0.01
        # The server crashes.
        await setup.send(False)
        for transport in list(setup.pool._idle):
            transport.transport.abort()
        await anyio.sleep(0.05)
        await setup.send(False)
        opened = setup.server.opened
        setup.now_s += SERVER_IDLE_TIMEOUT_S * 0.9
        await setup.send(True)
        assert setup.server.opened == opened

    run(scenario)


def test_crash_during_a_run_does_not_reduce_the_trusted_idle_time():
    async def scenario(setup: Setup) -> None:
        await setup.send(False)
        setup.now_s += SERVER_IDLE_TIMEOUT_S * 0.9
        setup.server.holding = True
        async with anyio.create_task_group() as group:
            group.start_soon(setup.send, False)
            while not setup.server.held_transports:
                await anyio.sleep(0.01)
            setup.now_s += 1.0
            setup.server.held_transports[0].abort()
        setup.server.holding = False
        await setup.send(False)
        opened = setup.server.opened
        setup.now_s += SERVER_IDLE_TIMEOUT_S * 0.9
        await setup.send(False)
        assert setup.server.opened == opened

    run(scenario)


def test_reset_discards_connections_and_the_learned_idle_timeout():
    async def scenario(setup: Setup) -> None:
        await setup.send(False)
        setup.now_s += SERVER_IDLE_TIMEOUT_S * 1.5
        assert await setup.send(False) is ExchangeFailure.CLOSED
        await setup.send(False)
        opened = setup.server.opened
        setup.pool.reset()
        await setup.send(False)
        assert setup.server.opened == opened + 1
        # The shorter idle time learned from the earlier start no longer applies.
        setup.now_s += SERVER_IDLE_TIMEOUT_S * 0.9
        assert isinstance(await setup.send(False), ClientAnswer)
        assert setup.server.opened == opened + 1

    run(scenario)


def test_request_is_written_once_its_connection_is_open():
    async def scenario(setup: Setup) -> None:
        setup.server.holding = True
        address = setup.server.address
        outcomes = []
        pending = setup.pool.send(address, REQUEST, False, b"a", outcomes.append)
        assert not pending.is_written()
        with anyio.fail_after(3):
            while not setup.server.held_transports:
                await anyio.sleep(0.01)
        assert pending.is_written()
        pending.cancel()
        assert outcomes == [ExchangeFailure.CANCELLED]

    run(scenario)


def make_answer(status: int, request_id: bytes) -> bytes:
    id = b"eelgrassmount-attempt-id: %s\r\n" % request_id if request_id else b""
    return b"HTTP/1.1 %d -\r\n%scontent-length: 0\r\n\r\n" % (status, id)


@pytest.mark.parametrize("next_id", [b"a", b"b", b""])
@pytest.mark.parametrize("first_id", [b"a", b""])
@pytest.mark.parametrize("status", [400, 421, 429, 500, 503])
def test_repeated_answer_is_not_taken_for_the_next_one(status, first_id, next_id):
    """A rejection was taken for the answer to a later sending of the same request."""

    async def scenario(setup: Setup) -> None:
        setup.server.repeating = True
        setup.server.answers = [
            make_answer(status, first_id),
            make_answer(200, next_id),
        ]
        assert (await setup.send(True, b"a")).status == status
        assert (await setup.send(True, next_id)).status == 200

    run(scenario)


@pytest.mark.parametrize("status", [200, 503])
def test_repeated_health_answer_is_not_taken_for_that_to_a_request(status):
    """The answer to a health check has no id, and fitted any request."""

    async def scenario(setup: Setup) -> None:
        setup.server.repeating = True
        setup.server.answers = [make_answer(status, b""), make_answer(404, b"a")]
        assert (await setup.send(True, b"")).status == status
        assert (await setup.send(True, b"a")).status == 404

    run(scenario)


def test_rejected_request_leaves_its_connection_to_others():
    async def scenario(setup: Setup) -> None:
        setup.server.answers = [make_answer(503, b"a"), make_answer(200, b"b")]
        await setup.send(True, b"a")
        await setup.send(True, b"b")
        assert setup.server.opened == 1
        # The second sending opens a connection, although one is idle.
        await setup.send(True, b"a")
        assert setup.server.opened == 2

    run(scenario)


def test_connection_keeps_a_limited_number_of_ids():
    async def scenario(setup: Setup) -> None:
        for number in range(MAX_UNSUCCESSFUL_IDS + 1):
            assert setup.server.opened == (1 if number else 0)
            id = b"%d" % number
            setup.server.answers = [make_answer(503, id)]
            await setup.send(True, id)
        assert setup.server.opened == 2

    run(scenario)
