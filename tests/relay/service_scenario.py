"""A service whose servers name limits in answers, and clients on several VMs."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.verdict import Reason
from tests.relay.deployment import Deployment, Vm, make_rule, send_as_client
from tests.relay.virtual import Network, run_virtually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from eelgrassmount.http1.client import ClientAnswer
    from standins.platform_server import PlatformServer

RUN_S = 0.05
# Clients of the VMs send at unequal rates, in requests per second.
CLIENT_RATES_PER_S = (20.0, 6.0, 2.0)
# A server may get these requests in a window, beyond a multiple of its limit.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5
# Nodes that have known of the limit for less than this may still exceed it.
NOTICE_S = 0.5


@define(eq=False)
class ServiceScenario:
    """Clients on some VMs, and a service with some servers.

    ``rates_per_s`` are the requests that the clients of each VM send. With
    ``staggered``, the VMs don't start to send at the same moment. ``answers`` holds the
    answers of the clients.
    """

    network: Network
    deployment: Deployment
    rates_per_s: tuple[float, ...] = CLIENT_RATES_PER_S
    staggered: bool = False
    entry_vms: list[Vm] = field(factory=list)
    server_vms: list[Vm] = field(factory=list)
    answers: list[ClientAnswer] = field(factory=list)
    _numbers: itertools.count[int] = field(factory=lambda: itertools.count(1))

    async def build(self, servers: int) -> None:
        """Start the VMs and connect them."""
        add = self.deployment.add
        self.entry_vms = [await add("front") for _ in self.rates_per_s]
        self.server_vms = [await add("list") for _ in range(servers)]
        for vm in self.server_vms:
            vm.server.work_s = RUN_S
        await self.deployment.wait_until_connected()

    @property
    def servers(self) -> list[PlatformServer]:
        """Return the servers of the service."""
        return [vm.server for vm in self.server_vms]

    async def send_for(self, duration_s: float) -> None:
        """Let all clients send requests, and wait for the answers."""
        async with anyio.create_task_group() as group:
            for position, vm in enumerate(self.entry_vms):
                rate = self.rates_per_s[position]
                share = position / len(self.entry_vms) if self.staggered else 0.0
                delay_s = share / rate
                group.start_soon(self._send_steadily, vm, rate, duration_s, delay_s)

    async def _send_steadily(
        self, vm: Vm, rate: float, duration_s: float, delay_s: float
    ) -> None:
        await anyio.sleep(delay_s)
        async with anyio.create_task_group() as group:
            for _ in range(int(rate * duration_s)):
                group.start_soon(self._send, vm)
                await anyio.sleep(1.0 / rate)

    async def _send(self, vm: Vm) -> None:
        request_id = f"a{next(self._numbers)}"
        answer = await send_as_client(vm, "/list/1", request_id=request_id)
        self.answers.append(answer)

    def count_answers(self, status: int) -> int:
        """Return the number of answers with a status."""
        return sum(answer.status == status for answer in self.answers)

    def count_refused_attempts(self) -> float:
        """Return how many calls were sent to a server beyond its rate limit."""
        return sum(
            vm.node.metrics.retries.labels(Reason.RATE_LIMIT)._value.get()
            for vm in self.entry_vms
        )


def find_max_runs(server: PlatformServer, since_s: float) -> int:
    """Return the most runs of a server in any window after a time."""
    times_s = [one for one in server.run_times_s if one >= since_s]
    return max(
        (sum(start <= one < start + WINDOW_S for one in times_s) for start in times_s),
        default=0,
    )


def compute_allowed_runs(limit_per_s: float) -> float:
    """Return how many requests a server may get in one window."""
    return ALLOWED_FACTOR * WINDOW_S * limit_per_s + ALLOWED_SLACK


def run_scenario(
    scenario: Callable[[ServiceScenario], Awaitable[None]],
    servers: int = 2,
    rates_per_s: tuple[float, ...] = CLIENT_RATES_PER_S,
    staggered: bool = False,
) -> None:
    """Run a scenario in virtual time."""

    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(make_rule("/list/", "list"))
            setup = ServiceScenario(network, deployment, rates_per_s, staggered)
            try:
                await setup.build(servers)
                with anyio.fail_after(120):
                    await scenario(setup)
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main)
