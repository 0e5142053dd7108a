"""Verdicts on calls to the backend server, and reuse of its connections."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from eelgrassmount.edge.server import IDLE_TIMEOUT_S, ServerClient
from eelgrassmount.metrics import make_metrics
from eelgrassmount.timers import ManualClock
from eelgrassmount.verdict import Answered, Header, MayHaveRun, NotRun, Reason
from tests.edge.servers import HOST, make_answer, make_call, make_digest, run_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from eelgrassmount.calls.request import Call
    from eelgrassmount.verdict import Verdict
    from tests.edge.servers import ScriptedServer

pytestmark = pytest.mark.anyio

MAX_BODY_BYTES = 1000
BAD = MayHaveRun(Reason.BAD_ANSWER)
CRASHED = MayHaveRun(Reason.SERVER_CRASHED)
GOOD = Answered(200, (), b"good")


@pytest.fixture
async def client() -> AsyncIterator[ServerClient]:
    client = ServerClient(ManualClock(), make_metrics(), MAX_BODY_BYTES)
    yield client
    client.close()


async def send(
    client: ServerClient, server: ScriptedServer, call: Call | None = None
) -> Verdict:
    call = call or make_call()
    return await client.send(server.address, call, 3, lambda: None)


def count_dropped(client: ServerClient) -> dict[str, float]:
    return {
        sample.labels["reason"]: sample.value
        for family in client.metrics.dropped_answers.collect()
        for sample in family.samples
        if sample.name.endswith("_total") and sample.value
    }


async def test_request_carries_the_call_and_its_context(client: ServerClient) -> None:
    async with run_server(lambda request, number: make_answer()) as server:
        forged = Header("eelgrassmount-call", "forged")
        hop_headers = (Header("connection", "x-hop"), Header("x-hop", "1"))
        call = make_call()
        headers = (
            *call.request.headers,
            forged,
            *hop_headers,
            Header("host", "elsewhere"),
        )
        call = make_call(headers=headers)
        assert await send(client, server, call) == GOOD
    head, _, body = server.requests[0].decode("latin-1").partition("\r\n\r\n")
    assert body == "payload"
    assert head.split("\r\n") == [
        "POST /desk/x?y=1 HTTP/1.1",
        "accept: a",
        "x-caf\xe9: d\xe9j\xe0",
        f"host: {server.address}",
        "eelgrassmount-call: c1",
        "eelgrassmount-root: root",
        "eelgrassmount-class: lookup",
        "eelgrassmount-attempts: 3",
        "eelgrassmount-timeout-ms: 1000000",
        "content-length: 7",
    ]


SHED = "Eelgrassmount-Verdict: not-run\r\nEelgrassmount-Retry-After-Ms: 250\r\n"
PARTIAL = "Eelgrassmount-Verdict: may-have-run\r\n"
LONG_RETRY_AFTER = "Eelgrassmount-Verdict: not-run\r\nEelgrassmount-Retry-After-Ms: "
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nEelgrassmount-Call: c1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"
)
NO_LENGTH = b"HTTP/1.1 200 OK\r\nEelgrassmount-Call: c1\r\n\r\ngood"

# Answer, verdict, counted drop reason, whether the connection is reused.
ANSWERS = {
    "plain": (make_answer(), GOOD, None, True),
    "digest": (make_answer(extra=make_digest(b"good")), None, None, True),
    "chunked": (CHUNKED, GOOD, None, True),
    "informational": (CONTINUE + make_answer(), GOOD, None, True),
    "error of the service": (
        make_answer(status="500 Oops"),
        Answered(500, (), b"good"),
        None,
        True,
    ),
    "no content": (
        b"HTTP/1.1 204 No\r\nEelgrassmount-Call: c1\r\n\r\n",
        Answered(204, (), b""),
        None,
        True,
    ),
    "wants to close": (make_answer(extra="Connection: close\r\n"), GOOD, None, False),
    "shed": (
        make_answer(status="503 Busy", extra=SHED),
        NotRun(Reason.SERVER_SHED, 0.25),
        None,
        True,
    ),
    "shed with a long delay": (
        make_answer(status="503 Busy", extra=LONG_RETRY_AFTER + "9" * 400 + "\r\n"),
        NotRun(Reason.SERVER_SHED, 3600.0),
        None,
        True,
    ),
    "a part failed": (
        make_answer(status="502 Bad", extra=PARTIAL),
        MayHaveRun(Reason.PARTIAL),
        None,
        True,
    ),
    "not run by another status": (
        make_answer(status="502 Bad", extra=SHED),
        MayHaveRun(Reason.PARTIAL, 0.25),
        None,
        True,
    ),
    "closed": (b"", CRASHED, None, False),
    "truncated head": (b"HTTP/1.1 200 OK\r\nEelg!", BAD, "truncated", False),
    "truncated body": (make_answer(length=9) + b"!", BAD, "truncated", False),
    "truncated chunks": (CHUNKED[:-5] + b"!", BAD, "truncated", False),
    "no length": (NO_LENGTH + b"!", BAD, "truncated", False),
    "over-long body": (make_answer(b"x" * 1001), BAD, "over-long", False),
    "over-long declared body": (make_answer(b"x" * 9000), BAD, "over-long", False),
    "over-long head": (
        make_answer(extra=f"X: {'x' * 20_000}\r\n"),
        BAD,
        "over-long",
        False,
    ),
    "endless header": (
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * 99_999,
        BAD,
        "over-long",
        False,
    ),
    "many headers": (make_answer(extra="X: y\r\n" * 300), BAD, "over-long", False),
    "wrong call": (make_answer(call_id="c0"), BAD, "wrong-call", False),
    "no call": (make_answer().replace(b"-Call", b"-Cull"), BAD, "wrong-call", False),
    "bad digest": (
        make_answer(extra=make_digest(b"GOOD")),
        BAD,
        "bad-digest",
        False,
    ),
    "garbage": (b"\x16\x03\x01 what?\r\n\r\n", BAD, "malformed", False),
    "impossible status": (make_answer(status="799 Odd"), BAD, "malformed", False),
    "status 000": (make_answer(status="000 Odd"), BAD, "malformed", False),
    "status 099": (make_answer(status="099 Odd"), BAD, "malformed", False),
    "switch of protocols": (make_answer(status="101 Odd"), BAD, "malformed", False),
    "two lengths": (
        make_answer(extra="Content-Length: 9\r\n"),
        BAD,
        "malformed",
        False,
    ),
    "doubled": (make_answer() * 2, GOOD, "doubled", False),
    "garbage after the answer": (make_answer() + b"\0\0", GOOD, "doubled", False),
}


@pytest.mark.parametrize("name", ANSWERS)
async def test_verdict_on_an_answer_and_reuse_of_its_connection(
    client: ServerClient, name: str
) -> None:
    answer, verdict, counted, reused = ANSWERS[name]

    def reply(request: bytes, number: int) -> bytes:
        return make_answer() if len(server.requests) > 1 else answer

    async with run_server(reply) as server:
        found = await send(client, server)
        if verdict is None:
            verdict = Answered(200, found.headers, b"good")
        assert found == verdict
        assert count_dropped(client) == ({counted: 1} if counted else {})
        assert await send(client, server) == GOOD
        assert server.connections == (1 if reused else 2)
        assert client.exchanges == {}


async def test_head_has_a_length_but_no_body(client: ServerClient) -> None:
    async with run_server(lambda request, number: make_answer(b"", length=9)) as server:
        for _ in range(2):
            verdict = await send(client, server, make_call(method="HEAD"))
            assert verdict == Answered(200, (), b"")
        assert server.connections == 1


async def test_refused_connection_is_not_run(client: ServerClient) -> None:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        address = f"{HOST}:{probe.getsockname()[1]}"
    started: list[Any] = []
    verdict = await client.send(address, make_call(), 3, lambda: started.append(None))
    assert (verdict, started) == (NotRun(Reason.NO_SERVER), [])


@pytest.mark.parametrize(
    "change",
    [
        {"path": "/x HTTP/1.1\r\nevil: 1"},
        {"path": "/a b"},
        {"path": "/\u20ac"},
        {"method": "GET /other"},
        {"headers": (Header("x", "1\r\nevil: 1"),)},
        {"headers": (Header("x", "a\nb"),)},
        {"headers": (Header("x", "\0"),)},
    ],
)
async def test_request_with_invalid_text_is_not_run(
    client: ServerClient, change: dict[str, Any]
) -> None:
    async with run_server(lambda request, number: make_answer()) as server:
        verdict = await send(client, server, make_call(**change))
        assert verdict == NotRun(Reason.MALFORMED)
        assert server.connections == 0


async def test_connection_of_a_cancelled_call_is_not_reused(
    client: ServerClient,
) -> None:
    def reply(request: bytes, number: int) -> bytes | None:
        return None if number == 1 else make_answer()

    async with run_server(reply) as server:
        async with anyio.create_task_group() as group:
            group.start_soon(send, client, server)
            while not server.requests:
                await anyio.sleep(0)
            assert list(client.exchanges) == ["c1"]
            group.cancel_scope.cancel()
        assert client.exchanges == {}
        assert await send(client, server) == GOOD
        assert server.connections == 2


@pytest.mark.parametrize("turns", [0, 10])
@pytest.mark.parametrize(
    ("unsolicited", "counted"), [(b"", {}), (make_answer(), {"late": 1})]
)
async def test_idle_connection_with_unsolicited_bytes_is_not_reused(
    client: ServerClient, unsolicited: bytes, counted: dict[str, int], turns: int
) -> None:
    async with run_server(lambda request, number: make_answer()) as server:
        assert await send(client, server) == GOOD
        await server.send_unsolicited(unsolicited)
        # With and without turns in which the event loop reads the bytes.
        for _ in range(turns):
            await anyio.sleep(0)
        assert await send(client, server) == GOOD
        assert server.connections == 2
        assert count_dropped(client) == counted


async def test_connection_with_an_unsent_request_is_not_reused(
    client: ServerClient,
) -> None:
    """The rest of the request may reach the server after its early answer."""
    body = b"x" * 8_000_000
    async with run_server(lambda request, number: make_answer()) as server:
        server.early_answer = make_answer(status="503 Busy", extra=SHED)
        shed = await send(client, server, make_call(body=body))
        assert shed == NotRun(Reason.SERVER_SHED, 0.25)
        server.early_answer = b""
        assert await send(client, server) == GOOD
        assert server.connections == 2


async def test_idle_connections_close_on_timeout_and_change_of_address(
    client: ServerClient,
) -> None:
    async with (
        run_server(lambda request, number: make_answer()) as server,
        run_server(lambda request, number: make_answer()) as other,
    ):
        for _ in range(2):
            assert await send(client, server) == GOOD
            client.clock.now_s += IDLE_TIMEOUT_S + 1.0
        assert server.connections == 2
        assert await send(client, other) == GOOD
        assert await send(client, server) == GOOD
        assert (server.connections, other.connections) == (3, 1)
