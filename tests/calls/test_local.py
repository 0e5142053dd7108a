"""Execution of calls on the local backend server, with their downstream calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest
from attrs import define, field

from eelgrassmount.calls.downstream import Downstream
from eelgrassmount.calls.local import LocalRunner
from eelgrassmount.calls.request import Outcome, Request
from eelgrassmount.calls.table import CallTable
from eelgrassmount.load.exchange import LoadExchange
from eelgrassmount.members.table import ServerState
from eelgrassmount.metrics import make_metrics
from eelgrassmount.shared_node_state import LocalServer
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason, Verdict
from tests.calls.fakes import (
    ANSWER,
    FakeDispatcher,
    make_call,
    make_ids,
    make_quarantine,
    make_shared_state,
    make_timers,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from eelgrassmount.calls.request import Call

pytestmark = pytest.mark.anyio

SHED = NotRun(Reason.SERVER_SHED)


@define
class FakeServer:
    """A backend server that runs a function of the test."""

    work: Callable[[Call], Awaitable[Verdict]]
    runs: list[str] = field(factory=list)

    async def send(
        self, address: str, call: Call, attempts_left: int, on_start: Callable
    ) -> Verdict:
        on_start()
        self.runs.append(call.context.call_id)
        return await self.work(call)


async def answer(call: Call) -> Verdict:
    return ANSWER


def make_runner(
    work: Callable[[Call], Awaitable[Verdict]] = answer,
    dispatcher: FakeDispatcher | None = None,
) -> LocalRunner:
    shared_state = make_shared_state()
    shared_state.server = LocalServer("jobdesk", "127.0.0.1:9", ServerState.SERVING)
    return LocalRunner(
        shared_state=shared_state,
        timers=make_timers(),
        table=CallTable(),
        dispatcher=dispatcher or FakeDispatcher(),
        client=FakeServer(work),
        quarantine=make_quarantine(),
        exchange=LoadExchange(shared_state.loads),
        metrics=make_metrics(),
        on_server_lost=lambda: None,
    )


async def test_duplicate_call_runs_once_and_both_get_the_answer() -> None:
    release = anyio.Event()

    async def work(call: Call) -> Verdict:
        await release.wait()
        return ANSWER

    runner = make_runner(work)
    outcomes: list[Outcome] = []

    async def run() -> None:
        outcomes.append(await runner.run(make_call()))

    async with anyio.create_task_group() as group:
        group.start_soon(run)
        group.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        release.set()
    assert [outcome.verdict for outcome in outcomes] == [ANSWER, ANSWER]
    assert runner.client.runs == ["call"]


@pytest.mark.parametrize("started", [False, True])
async def test_verdict_on_a_cancelled_call_says_whether_it_started(
    started: bool,
) -> None:
    async def work(call: Call) -> Verdict:
        await anyio.sleep_forever()

    runner = make_runner(work, FakeDispatcher(blocked=not started))
    outcomes: list[Outcome] = []

    async def run() -> None:
        outcomes.append(await runner.run(make_call()))

    async with anyio.create_task_group() as group:
        group.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        assert runner.table.cancel("call", 0.0)
    kind = MayHaveRun if started else NotRun
    assert outcomes[0].verdict == kind(Reason.CANCELLED)


@pytest.mark.parametrize(
    ("state", "service", "reason"),
    [
        (ServerState.DRAINING, "jobdesk", Reason.DRAINING),
        (ServerState.STARTING, "jobdesk", Reason.SERVER_STARTING),
        (ServerState.ABSENT, "jobdesk", Reason.NO_SERVER),
        (ServerState.SERVING, "ratebook", Reason.NO_SERVER),
    ],
)
async def test_call_that_can_not_start_is_not_run(
    state: ServerState, service: str, reason: Reason
) -> None:
    runner = make_runner()
    runner.shared_state.server.state = state
    outcome = await runner.run(make_call(service))
    assert outcome.verdict == NotRun(reason)
    assert outcome.attempts_left == 3
    assert runner.client.runs == []


async def test_call_with_a_blocked_id_never_runs() -> None:
    runner = make_runner()
    runner.table.query_status("call", 0.0)
    outcome = await runner.run(make_call())
    assert isinstance(outcome.verdict, NotRun)
    assert runner.client.runs == []


def make_downstream(
    runner: LocalRunner, verdicts: list[Verdict], tasks: object
) -> tuple[Downstream, list[Call]]:
    calls: list[Call] = []

    async def run(call: Call) -> Outcome:
        calls.append(call)
        return Outcome(verdicts[len(calls) - 1], call.context.attempts_left)

    downstream = Downstream(
        shared_state=runner.shared_state,
        timers=runner.timers,
        table=runner.table,
        run=run,
        tasks=tasks,
        make_id=make_ids(),
        exchange=runner.exchange,
    )
    return downstream, calls


def make_request(path: str = "/ratebook/price", method: str = "GET") -> Request:
    return Request("ratebook", method, path, (), b"")


@pytest.mark.parametrize(
    ("verdict", "children", "expected"),
    [
        (ANSWER, [ANSWER, ANSWER], ANSWER),
        (ANSWER, [ANSWER, MayHaveRun(Reason.PEER_LOST)], MayHaveRun(Reason.PARTIAL)),
        (ANSWER, [ANSWER, NotRun(Reason.OVERLOAD)], MayHaveRun(Reason.PARTIAL)),
        (SHED, [], SHED),
        (SHED, [NotRun(Reason.OVERLOAD), NotRun(Reason.OVERLOAD)], SHED),
        (SHED, [ANSWER, NotRun(Reason.OVERLOAD)], MayHaveRun(Reason.SERVER_SHED)),
    ],
)
async def test_verdict_on_a_call_covers_its_downstream_calls(
    verdict: Verdict, children: list[Verdict], expected: Verdict
) -> None:
    async with anyio.create_task_group() as group:

        async def work(call: Call) -> Verdict:
            for number in range(len(children)):
                await downstream.handle("call", "", make_request(f"/ratebook/{number}"))
            return verdict

        runner = make_runner(work)
        downstream, _ = make_downstream(runner, children, group)
        outcome = await runner.run(make_call())
    assert outcome.verdict == expected
    assert outcome.attempts_left == 3


async def test_retry_under_the_same_parent_joins_the_first_call() -> None:
    async with anyio.create_task_group() as group:

        async def work(call: Call) -> Verdict:
            order = make_request("/platehouse/orders", "POST")
            first = await downstream.handle("call", "", order)
            assert await downstream.handle("call", "", order) == first
            await downstream.handle("call", "second", order)
            return ANSWER

        runner = make_runner(work)
        downstream, calls = make_downstream(runner, [ANSWER, ANSWER], group)
        await runner.run(make_call())
    assert len(calls) == 2
    assert [call.context.depth for call in calls] == [1, 1]
    assert not any(call.context.idempotent for call in calls)
    # Each call gets half of the attempts; the first returned its unused ones.
    assert [call.context.attempts_left for call in calls] == [2, 2]


async def test_downstream_call_of_a_finished_parent_is_refused() -> None:
    runner = make_runner()
    async with anyio.create_task_group() as group:
        downstream, calls = make_downstream(runner, [], group)
        await runner.run(make_call())
        verdict = await downstream.handle("call", "", make_request())
    assert verdict == NotRun(Reason.CANCELLED)
    assert calls == []
