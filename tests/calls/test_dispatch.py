"""The choice of nodes, the retries and the final verdict of a call."""

from __future__ import annotations

import pytest

from eelgrassmount.calls.dispatch import Dispatcher
from eelgrassmount.metrics import make_metrics
from eelgrassmount.retry.budget import RetryBudget
from eelgrassmount.retry.quarantine import MAX_CRASHES
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason, Verdict
from tests.calls.fakes import (
    ANSWER,
    LOCAL,
    FakeControl,
    ScriptedRunner,
    make_call,
    make_ids,
    make_quarantine,
    make_timers,
)

pytestmark = pytest.mark.anyio

A, B, C, D, E = ("127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1", "127.0.0.5:1", "x:1")
LOST = MayHaveRun(Reason.PEER_LOST)
DRAINING = NotRun(Reason.DRAINING)
SILENT = NotRun(Reason.SERVER_SILENT)
OVERLOADED = NotRun(Reason.OVERLOAD)


def make_dispatcher(
    verdicts: list[Verdict], addresses: list[str], has_capacity: bool = True
) -> Dispatcher:
    runner = ScriptedRunner(list(verdicts))
    return Dispatcher(
        local_address=LOCAL,
        timers=make_timers(),
        control=FakeControl(addresses, has_capacity),
        local=runner,
        remote=runner,
        retry_budget=RetryBudget(),
        quarantine=make_quarantine(),
        metrics=make_metrics(),
        make_id=make_ids(),
    )


@pytest.mark.parametrize(
    ("changes", "verdicts", "has_capacity", "expected", "attempts_left"),
    [
        ({}, [ANSWER], True, ANSWER, 3),
        ({}, [DRAINING, LOST, ANSWER], True, ANSWER, 1),
        # One attempt may have run, so the verdict can't be "not run".
        ({}, [LOST, DRAINING, DRAINING, DRAINING], True, "may-have-run", 0),
        ({"idempotent": False}, [DRAINING, ANSWER], True, ANSWER, 2),
        ({"idempotent": False}, [LOST], True, LOST, 3),
        ({}, [OVERLOADED, ANSWER], True, ANSWER, 2),
        ({}, [OVERLOADED], False, OVERLOADED, 3),
        ({"depth": 1}, [OVERLOADED], True, OVERLOADED, 3),
        ({"attempts_left": 0}, [LOST], True, LOST, 0),
    ],
)
async def test_final_verdict_and_remaining_attempts(
    changes: dict[str, object],
    verdicts: list[Verdict],
    has_capacity: bool,
    expected: Verdict | str,
    attempts_left: int,
) -> None:
    dispatcher = make_dispatcher(verdicts, [A, LOCAL, B, C, D, E], has_capacity)
    outcome = await dispatcher.run(make_call(**changes))
    if expected == "may-have-run":
        expected = MayHaveRun(verdicts[-1].reason)
    assert outcome.verdict == expected
    assert outcome.attempts_left == attempts_left
    assert dispatcher.local.verdicts == []
    assert len(dispatcher.control.verdicts) == len(verdicts)


async def test_every_attempt_has_its_own_id_and_the_attempts_left() -> None:
    dispatcher = make_dispatcher([DRAINING, DRAINING, ANSWER], [A, B, C])
    await dispatcher.run(make_call())
    contexts = [call.context for call in dispatcher.local.calls]
    assert len({context.call_id for context in contexts}) == 3
    assert [context.attempts_left for context in contexts] == [3, 2, 1]


async def test_server_with_a_silent_connection_is_tried_again() -> None:
    dispatcher = make_dispatcher([SILENT, SILENT, ANSWER], [A])
    outcome = await dispatcher.run(make_call(idempotent=False))
    assert (outcome.verdict, outcome.attempts_left) == (ANSWER, 1)


async def test_call_to_a_service_without_nodes_is_not_run() -> None:
    outcome = await make_dispatcher([], []).run(make_call())
    assert outcome.verdict == NotRun(Reason.NO_SERVER)


async def test_request_that_crashes_servers_is_quarantined() -> None:
    crash = MayHaveRun(Reason.SERVER_CRASHED)
    dispatcher = make_dispatcher([crash] * 4, [A, B, C, D])
    first = await dispatcher.run(make_call())
    assert isinstance(first.verdict, MayHaveRun)
    assert len(dispatcher.remote.calls) == MAX_CRASHES
    second = await dispatcher.run(make_call(root_id="other"))
    assert second.verdict.reason is Reason.QUARANTINED
    assert len(dispatcher.remote.calls) == MAX_CRASHES


async def test_retries_of_all_calls_are_a_fraction_of_first_attempts() -> None:
    calls = 100
    dispatcher = make_dispatcher([LOST] * 1000, [A, B, C, D, E])
    for _ in range(calls):
        await dispatcher.run(make_call())
    retries = len(dispatcher.remote.calls) - calls
    assert 0 < retries <= 0.1 * calls + 10
