"""Calls whose connection to the backend server has gone silent."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from attrs import define, evolve, field

from eelgrassmount.edge.probes import GIVE_UP_AFTER_S, ServerProbes
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

LIMIT_S = 30.0
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
class Bench:
    """A client whose second call gets lost, and what became of that call."""

    client: ServerClient
    timers: TimerService
    server: ScriptedServer
    group: Any
    verdicts: list[Verdict] = field(factory=list)

    async def lose(self, idempotent: bool = True, limit_s: float = 1000.0) -> None:
        """Send the call that gets no answer and wait until it is there."""

        async def run() -> None:
            call = make_call("lost", idempotent)
            deadline_s = self.timers.read() + limit_s
            call = evolve(call, context=evolve(call.context, deadline_s=deadline_s))
            verdict = await self.client.send(self.server.address, call, 0, lambda: None)
            self.verdicts.append(verdict)

        before = len(self.server.requests)
        self.group.start_soon(run)
        await self._wait(lambda: len(self.server.requests) > before)

    async def pass_time(self, seconds: float) -> None:
        """Let time pass and let a question that falls due be answered."""
        before = len(self.server.requests)
        self.timers.advance(seconds)
        await self._wait(lambda: len(self.server.requests) > before)

    async def _wait(self, is_done: Callable[[], bool]) -> None:
        with anyio.fail_after(LIMIT_S):
            while not is_done():
                await anyio.sleep(0.001)
        # what was answered is also taken
        for _ in range(20):
            await anyio.sleep(0.001)


@asynccontextmanager
async def run_bench(fate: bytes | None, first: str = SAME) -> AsyncIterator[Bench]:
    """Run a server that names its process in its first answer, then loses a call."""

    def reply(request: bytes, number: int) -> bytes | None:
        if request.startswith(b"GET /_eelgrassmount/calls/lost "):
            return fate
        return None if b"lost" in request else make_answer(extra=first)

    async with run_server(reply) as server, anyio.create_task_group() as group:
        timers = TimerService(ManualClock(), random.Random(1))
        client = ServerClient(timers.clock, make_metrics(), 1000)
        background = Background(group, lambda: None)
        ServerProbes(client, timers, background, lambda: server.address).start()
        bench = Bench(client, timers, server, group)
        await client.send(server.address, make_call(), 0, lambda: None)
        yield bench
        group.cancel_scope.cancel()
        client.close()


def repeat(body: bytes = b"good", call_id: str = "lost", extra: str = "") -> bytes:
    return make_answer(body, call_id, extra=DONE + extra)


# what the server says of the call, the verdict at once, the one after a second
FATES = {
    "never begun": (make_answer(UNKNOWN, extra=SAME), NOT_RUN, NOT_RUN),
    "another process": (make_answer(UNKNOWN, extra=OTHER), None, SILENT),
    "nameless process": (make_answer(UNKNOWN), None, SILENT),
    "running": (make_answer(RUNNING, extra=SAME), None, None),
    "done": (repeat(), Answered(200, (), b"good"), Answered(200, (), b"good")),
    "done, another call": (repeat(call_id="c1"), BAD, BAD),
    "done, spoiled": (repeat(extra=make_digest(b"GOOD")), BAD, BAD),
    "not supported": (NOT_FOUND, None, SILENT),
    "unknown with an error": (make_answer(UNKNOWN, status="404 No"), None, SILENT),
    "not JSON": (make_answer(b"<p>"), None, SILENT),
    "not an object": (make_answer(b'["unknown"]'), None, SILENT),
    "newer state": (make_answer(b'{"state": "asleep"}'), None, SILENT),
    "truncated": (make_answer(UNKNOWN, length=99, extra=SAME) + b"!", None, None),
    "closed": (b"", None, None),
}


@pytest.mark.parametrize("name", FATES)
async def test_fates(name: str) -> None:
    fate, at_once, later = FATES[name]
    async with run_bench(fate) as bench:
        await bench.lose()
        await bench.pass_time(0.3)
        assert bench.verdicts == ([at_once] if at_once else [])
        if not at_once:
            await bench.pass_time(GIVE_UP_AFTER_S)
            assert bench.verdicts == ([later] if later else [])


async def test_connections_beside_a_silent_one_are_not_used_again() -> None:
    async with run_bench(make_answer(UNKNOWN, extra=SAME)) as bench:
        await bench.lose()
        await bench.client.send(bench.server.address, make_call(), 0, lambda: None)
        before = bench.server.connections
        await bench.pass_time(0.3)
        await bench.client.send(bench.server.address, make_call(), 0, lambda: None)
        # one for the question, and one in place of the idle one
        assert bench.server.connections == before + 2


async def test_what_cannot_be_told_is_never_guessed_for_others() -> None:
    async with run_bench(NOT_FOUND) as bench:
        await bench.lose(idempotent=False)
        for _ in range(3):
            await bench.pass_time(GIVE_UP_AFTER_S)
        assert bench.verdicts == []


@pytest.mark.parametrize(
    ("process", "verdicts"), [(SAME, [NOT_RUN]), (OTHER, []), ("", [])]
)
async def test_fresh_connection_to_a_process_that_answered_before(
    process: str, verdicts: list[Verdict]
) -> None:
    async with run_bench(make_answer(UNKNOWN, extra=process)) as bench:
        bench.client.close()
        await bench.lose(idempotent=False)
        assert bench.server.connections == 2
        await bench.pass_time(0.3)
        assert bench.verdicts == verdicts


async def test_process_that_never_answered_is_not_known() -> None:
    async with run_bench(make_answer(UNKNOWN, extra=SAME), first="") as bench:
        await bench.lose(idempotent=False)
        await bench.pass_time(0.3)
        assert bench.verdicts == []


async def test_slow_server_is_not_asked_before_four_typical_times() -> None:
    async with run_bench(make_answer(UNKNOWN, extra=SAME)) as bench:
        bench.client.typical_s = 1.0
        await bench.lose()
        requests = len(bench.server.requests)
        bench.timers.advance(3.9)
        await anyio.wait_all_tasks_blocked()
        assert len(bench.server.requests) == requests
        await bench.pass_time(0.2)
        assert bench.verdicts == [NOT_RUN]


async def test_slow_server_is_asked_while_its_answer_is_still_of_use() -> None:
    async with run_bench(repeat()) as bench:
        bench.client.typical_s = 1.0
        await bench.lose(limit_s=3.0)
        await bench.pass_time(1.1)
        assert bench.verdicts == [Answered(200, (), b"good")]


async def test_silent_server_holds_up_nothing() -> None:
    """No answer to the question itself: the next one waits for a later time."""
    async with run_bench(None) as bench:
        await bench.lose()
        await bench.pass_time(0.3)
        assert bench.verdicts == []
        assert (
            await bench.client.send(bench.server.address, make_call(), 0, lambda: None)
        ) == Answered(200, (), b"good")
