"""Probes of calls whose connection to the backend server has gone silent."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from attrs import define, evolve, field

from eelgrassmount.edge.probes import MIN_ABANDON_DELAY_S, ServerProbes
from eelgrassmount.edge.server import ServerClient
from eelgrassmount.metrics import make_metrics
from eelgrassmount.timers import ManualClock, TimerService
from eelgrassmount.util.background import Background
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason
from tests.edge.servers import make_answer, make_call, make_digest, run_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from eelgrassmount.verdict import Verdict
    from tests.edge.servers import ScriptedServer

pytestmark = pytest.mark.anyio

TIMEOUT_S = 30.0
SAME = "Eelgrassmount-Server: p1\r\n"
OTHER = "Eelgrassmount-Server: p2\r\n"
UNKNOWN = b'{"state": "unknown"}'
RUNNING = b'{"state": "running"}'
DONE = "Eelgrassmount-Call-State: done\r\n"
BAD = MayHaveRun(Reason.BAD_ANSWER)
SILENT = MayHaveRun(Reason.SERVER_SILENT)
NOT_RUN = NotRun(Reason.SERVER_SILENT)
NOT_FOUND = make_answer(status="404 No")


@define(eq=False)
class ProbeFixture:
    """A client with a call that gets no answer, and the verdicts on that call."""

    client: ServerClient
    timers: TimerService
    server: ScriptedServer
    group: Any
    verdicts: list[Verdict] = field(factory=list)

    async def send_lost_call(
        self, idempotent: bool = True, limit_s: float = 1000.0
    ) -> None:
        """Send the call that gets no answer and wait until the server has it."""

        async def run() -> None:
            call = make_call("lost", idempotent)
            deadline_s = self.timers.read() + limit_s
            call = evolve(call, context=evolve(call.context, deadline_s=deadline_s))
            verdict = await self.client.send(self.server.address, call, 0, lambda: None)
            self.verdicts.append(verdict)

        before = len(self.server.requests)
        self.group.start_soon(run)
        await self._wait(lambda: len(self.server.requests) > before)

    async def advance_time(self, seconds: float) -> None:
        """Advance the clock and wait for a probe that is due."""
        before = len(self.server.requests)
        self.timers.advance(seconds)
        await self._wait(lambda: len(self.server.requests) > before)

    async def _wait(self, is_done: Callable[[], bool]) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while not is_done():
                await anyio.sleep(0.001)
        # Let the client process the answers.
        for _ in range(20):
            await anyio.sleep(0.001)


@asynccontextmanager
async def run_fixture(
    state: bytes | None, first: str = SAME
) -> AsyncIterator[ProbeFixture]:
    """Run a server with ``first`` in its first answer and ``state`` for probes."""

    def reply(request: bytes, number: int) -> bytes | None:
        if request.startswith(b"GET /_eelgrassmount/calls/lost "):
            return state
        return None if b"lost" in request else make_answer(extra=first)

    async with run_server(reply) as server, anyio.create_task_group() as group:
        timers = TimerService(ManualClock(), random.Random(1))
        client = ServerClient(timers.clock, make_metrics(), 1000)
        background = Background(group, lambda: None)
        ServerProbes(client, timers, background, lambda: server.address).start()
        fixture = ProbeFixture(client, timers, server, group)
        await client.send(server.address, make_call(), 0, lambda: None)
        yield fixture
        group.cancel_scope.cancel()
        client.close()


def make_stored_answer(
    body: bytes = b"good", call_id: str = "lost", extra: str = ""
) -> bytes:
    return make_answer(body, call_id, extra=DONE + extra)


# Answer to a probe, verdict after the first probe, verdict once the call is abandoned.
STATES = {
    "never started": (make_answer(UNKNOWN, extra=SAME), NOT_RUN, NOT_RUN),
    "another process": (make_answer(UNKNOWN, extra=OTHER), None, SILENT),
    "nameless process": (make_answer(UNKNOWN), None, SILENT),
    "running": (make_answer(RUNNING, extra=SAME), None, None),
    "done": (
        make_stored_answer(),
        Answered(200, (), b"good"),
        Answered(200, (), b"good"),
    ),
    "done, another call": (make_stored_answer(call_id="c1"), BAD, BAD),
    "done, wrong digest": (make_stored_answer(extra=make_digest(b"GOOD")), BAD, BAD),
    "not supported": (NOT_FOUND, None, SILENT),
    "unknown with an error": (make_answer(UNKNOWN, status="404 No"), None, SILENT),
    "not JSON": (make_answer(b"<p>"), None, SILENT),
    "not an object": (make_answer(b'["unknown"]'), None, SILENT),
    "newer state": (make_answer(b'{"state": "asleep"}'), None, SILENT),
    "truncated": (make_answer(UNKNOWN, length=99, extra=SAME) + b"!", None, None),
    "closed": (b"", None, None),
}


@pytest.mark.parametrize("name", STATES)
async def test_verdict_follows_the_reported_state(name: str) -> None:
    state, first_verdict, later_verdict = STATES[name]
    async with run_fixture(state) as fixture:
        await fixture.send_lost_call()
        await fixture.advance_time(0.3)
        assert fixture.verdicts == ([first_verdict] if first_verdict else [])
        if not first_verdict:
            await fixture.advance_time(MIN_ABANDON_DELAY_S)
            assert fixture.verdicts == ([later_verdict] if later_verdict else [])


async def test_idle_connections_are_closed_after_a_silent_one() -> None:
    async with run_fixture(make_answer(UNKNOWN, extra=SAME)) as fixture:
        await fixture.send_lost_call()
        await fixture.client.send(fixture.server.address, make_call(), 0, lambda: None)
        before = fixture.server.connections
        await fixture.advance_time(0.3)
        await fixture.client.send(fixture.server.address, make_call(), 0, lambda: None)
        # One connection is for the probe, the other replaces the idle connection.
        assert fixture.server.connections == before + 2


async def test_call_that_is_not_idempotent_is_never_abandoned() -> None:
    async with run_fixture(NOT_FOUND) as fixture:
        await fixture.send_lost_call(idempotent=False)
        for _ in range(3):
            await fixture.advance_time(MIN_ABANDON_DELAY_S)
        assert fixture.verdicts == []


@pytest.mark.parametrize(
    ("process", "verdicts"), [(SAME, [NOT_RUN]), (OTHER, []), ("", [])]
)
async def test_new_connection_belongs_to_the_process_that_answered_before(
    process: str, verdicts: list[Verdict]
) -> None:
    async with run_fixture(make_answer(UNKNOWN, extra=process)) as fixture:
        fixture.client.close()
        await fixture.send_lost_call(idempotent=False)
        assert fixture.server.connections == 2
        await fixture.advance_time(0.3)
        assert fixture.verdicts == verdicts


async def test_process_without_an_earlier_answer_is_unknown() -> None:
    async with run_fixture(make_answer(UNKNOWN, extra=SAME), first="") as fixture:
        await fixture.send_lost_call(idempotent=False)
        await fixture.advance_time(0.3)
        assert fixture.verdicts == []


async def test_slow_server_is_not_probed_before_four_mean_latencies() -> None:
    async with run_fixture(make_answer(UNKNOWN, extra=SAME)) as fixture:
        fixture.client.mean_latency_s = 1.0
        await fixture.send_lost_call()
        requests = len(fixture.server.requests)
        fixture.timers.advance(3.9)
        await anyio.wait_all_tasks_blocked()
        assert len(fixture.server.requests) == requests
        await fixture.advance_time(0.2)
        assert fixture.verdicts == [NOT_RUN]


async def test_slow_server_is_probed_well_before_the_deadline() -> None:
    async with run_fixture(make_stored_answer()) as fixture:
        fixture.client.mean_latency_s = 1.0
        await fixture.send_lost_call(limit_s=3.0)
        await fixture.advance_time(1.1)
        assert fixture.verdicts == [Answered(200, (), b"good")]


async def test_unanswered_probe_does_not_block_other_calls() -> None:
    """A server may leave the probe itself without an answer."""
    async with run_fixture(None) as fixture:
        await fixture.send_lost_call()
        await fixture.advance_time(0.3)
        assert fixture.verdicts == []
        assert (
            await fixture.client.send(
                fixture.server.address, make_call(), 0, lambda: None
            )
        ) == Answered(200, (), b"good")
