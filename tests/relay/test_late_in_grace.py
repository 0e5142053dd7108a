"""Requests that come while a node stops, up to the end of its grace time."""

from __future__ import annotations

import asyncio
import random

import anyio
import pytest
from attrs import define

from eelgrassmount.compose.relay_run import stop_relay
from eelgrassmount.http1.client import ClientAnswer, ExchangeFailure
from eelgrassmount.relay.shutdown import CLIENT_DRAIN_S, EXIT_MARGIN_S
from tests.relay.deployment import connect, make_request, make_rule
from tests.relay.service_scenario import ServiceScenario, run_scenario

GRACE_S = 6.0
EXIT_S = GRACE_S - EXIT_MARGIN_S
CLIENTS = 80
BODY = b"x" * 40
RULES = (
    make_rule("/list/", "list", action={"timeoutMs": 5000}),
    make_rule("/book/", "list", kind="non_idempotent", action={"timeoutMs": 5000}),
)


@define(eq=False)
class Client:
    """Sends a request in two parts, at two times after the signal."""

    request_id: str
    target: str
    first_s: float
    last_s: float
    budget_ms: int
    outcome: ClientAnswer | ExchangeFailure | None = None

    async def run(self, setup: ServiceScenario, group) -> None:
        connection = await connect(setup.entry_vms[0].settings.caller_address)
        future = asyncio.get_running_loop().create_future()
        data = make_request(
            "POST",
            self.target,
            BODY,
            self.request_id,
            eelgrassmount_deadline_ms=str(self.budget_ms),
        )
        await anyio.sleep(self.first_s)
        if connection.closed:
            return
        connection.send(data[:-5], future.set_result)
        await anyio.sleep(self.last_s - self.first_s)
        if not connection.closed:
            connection.transport.write(data[-5:])
        self.outcome = await future


def make_clients(rng: random.Random) -> list[Client]:
    clients = []
    for number in range(CLIENTS):
        first_s = rng.uniform(0.0, GRACE_S - 0.5)
        last_s = first_s + rng.choice([0.0, rng.uniform(0.0, GRACE_S - first_s)])
        target = rng.choice(["/list/1", "/book/1"])
        budget_ms = rng.choice([400, 1000, 5000])
        clients.append(Client(f"c{number}", target, first_s, last_s, budget_ms))
    return clients


# Guards against requests that are taken late in the grace time, passed on, and cut.
@pytest.mark.parametrize("work_s", [0.05, 0.4, 1.5])
@pytest.mark.parametrize("seed", range(4))
def test_requests_late_in_the_grace_time_are_answered_or_not_passed_on(seed, work_s):
    async def scenario(setup: ServiceScenario) -> None:
        setup.deployment.configure(2, *RULES)
        await anyio.sleep(1.0)
        for server in setup.servers:
            server.work_s = work_s
        node = setup.entry_vms[0].node
        node.settings = setup.entry_vms[0].settings
        clients = make_clients(random.Random(seed))
        async with anyio.create_task_group() as group:
            for client in clients:
                group.start_soon(client.run, setup, group)
            await stop_relay(node)
            setup.deployment.vms.remove(setup.entry_vms[0])
        runs = [request_id for server in setup.servers for request_id in server.runs]
        for client in clients:
            answered = isinstance(client.outcome, ClientAnswer)
            assert answered or client.request_id not in runs, client
            if answered and client.outcome.status == 503:
                assert client.request_id not in runs
        # Nothing is refused that certainly ends, or usually takes half of the rest.
        for client in clients:
            ends_s = client.last_s + min(client.budget_ms / 1000, 2 * work_s)
            is_early = client.last_s < CLIENT_DRAIN_S - 0.1 and ends_s < EXIT_S - 0.2
            if is_early and client.budget_ms > 1000 * work_s + 200:
                assert client.outcome.status == 200, client

    run_scenario(scenario)
