"""Calls rejected by servers, on a virtual network and clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from eelgrassmount.policy.retries import RETRY_SLACK_SHARE
from eelgrassmount.relay.sender import MAX_REJECTIONS
from tests.relay.deployment import Deployment, Vm, make_rule, send_as_client
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from eelgrassmount.http1.exchange import Exchange
    from tests.relay.virtual import Network

BOOK = make_rule("/book/", "list", kind="non_idempotent")
NOT_RUN = b"eelgrassmount-not-executed: 1\r\n"
SIGNED = b"eelgrassmount-response-signature: s\r\n"
ALWAYS = 1000


def reject_first(rejections: int) -> Callable[[Exchange], None]:
    """Return a handler that rejects the first ``rejections`` calls of all servers."""
    remaining = [rejections]

    def answer(exchange: Exchange) -> None:
        if remaining[0]:
            remaining[0] -= 1
            exchange.respond(503, NOT_RUN)
        else:
            exchange.respond(200, SIGNED, b"done")

    return answer


def run_scenario(
    scenario: Callable[[Vm, list[Vm]], Awaitable[None]],
    servers: int,
    rejections: int,
    slack: float,
    seed: int = 0,
) -> None:
    """Run a scenario with a front node and servers that reject the first calls."""

    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(BOOK)
            front = await deployment.add("front")
            backs = [
                await deployment.add("list", retry_slack=slack) for _ in range(servers)
            ]
            await deployment.wait_until_connected()
            answer = reject_first(rejections)
            for vm in backs:
                vm.server.answer = answer
            try:
                await scenario(front, backs)
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main, seed)


def count_arrivals(vms: list[Vm]) -> list[int]:
    return [len(vm.server.runs) for vm in vms]


@pytest.mark.parametrize("seed", range(10))
def test_rejected_call_reaches_no_more_servers_than_its_route_allows(seed):
    """Three rejections by four servers, of which a request may reach two."""

    async def scenario(front: Vm, backs: list[Vm]) -> None:
        outcome = await send_as_client(front, "/book/1", "POST")
        assert (outcome.status, outcome.body) == (200, b"done")
        arrivals = count_arrivals(backs)
        assert sum(arrivals) == 4
        assert sum(1 for count in arrivals if count) == 2

    run_scenario(scenario, 4, 3, 100.0, seed)


def test_call_that_is_always_rejected_fails_as_not_run():
    async def scenario(front: Vm, backs: list[Vm]) -> None:
        outcome = await send_as_client(front, "/book/1", "POST")
        assert outcome.status == 503
        assert sum(count_arrivals(backs)) == MAX_REJECTIONS

    run_scenario(scenario, 2, ALWAYS, 100.0)


def test_rejected_call_is_given_up_when_the_budget_is_spent():
    async def scenario(front: Vm, backs: list[Vm]) -> None:
        for _ in range(10):
            assert (await send_as_client(front, "/book/1", "POST")).status == 503
        # Both dispatchers share the budget of the service.
        allowed = 0.2 * 10 + RETRY_SLACK_SHARE * 10.0
        assert 10 < sum(count_arrivals(backs)) <= 10 + allowed

    run_scenario(scenario, 2, ALWAYS, 10.0)
