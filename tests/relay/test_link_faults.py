"""Requests between nodes whose links fail at random, on a virtual network."""

from __future__ import annotations

import asyncio
import random

import anyio

from eelgrassmount.http1.client import ClientAnswer
from eelgrassmount.relay.inbound import REPLY_RETENTION_S
from tests.relay.deployment import (
    Deployment,
    connect,
    make_request,
    make_rule,
)
from tests.relay.virtual import Network, run_virtually

LIST = make_rule("/list/", "list", action={"timeoutMs": 3000})
BOOK = make_rule("/book/", "list", kind="non_idempotent", action={"timeoutMs": 3000})
SEEDS = (0, 1, 2, 3, 6, 20, 21, 30, 34)
DURATION_S = 30.0
REQUESTS_PER_S = 20.0
FAULTS_PER_S = 2.0
ABANDON_SHARE = 0.1
# Below 1, since both servers may be unreachable at the same time.
MIN_SUCCESS_SHARE = 0.9


class FaultRun:
    """Sends requests and injects faults, at random times drawn from one seed."""

    def __init__(self, network: Network, deployment: Deployment, seed: int):
        self.network = network
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.answers: dict[str, ClientAnswer] = {}
        self.sent: dict[str, str] = {}
        self.wrongly_failed: list[str] = []

    async def build(self) -> None:
        add = self.deployment.add
        self.entry_vms = [await add("front") for _ in range(2)]
        self.server_vms = [await add("list") for _ in range(2)]
        await self.deployment.wait_until_connected()
        for vm in self.server_vms:
            vm.server.work_s = 0.3

    async def send_all(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + DURATION_S
        async with anyio.create_task_group() as group:
            while loop.time() < end_s:
                await anyio.sleep(self.rng.expovariate(REQUESTS_PER_S))
                request_id = f"r{len(self.sent)}"
                target = self.rng.choice(("/list/", "/book/")) + request_id
                self.sent[request_id] = target
                group.start_soon(self.send, request_id, target)

    async def send(self, request_id: str, target: str) -> None:
        vm = self.rng.choice(self.entry_vms)
        connection = await connect(vm.settings.caller_address)
        future = asyncio.get_running_loop().create_future()
        data = make_request("GET", target, request_id=request_id)
        connection.send(data, future.set_result)
        if self.rng.random() < ABANDON_SHARE:
            await anyio.sleep(self.rng.uniform(0.0, 0.5))
        else:
            with anyio.fail_after(4):
                answer = self.answers[request_id] = await future
            if answer.status in (502, 503) and self.is_running(request_id):
                self.wrongly_failed.append(request_id)
        connection.close()

    def is_running(self, request_id: str) -> bool:
        """Return whether a backend server is running a request."""
        return any(
            job.call.request_id == request_id
            for vm in self.server_vms
            for job in vm.node.dispatcher.running
        )

    async def inject_faults(self) -> None:
        while True:
            await anyio.sleep(self.rng.expovariate(FAULTS_PER_S))
            address = self.rng.choice(self.server_vms).settings.peer_address
            socket_address = (address.host, address.port)
            fault = self.rng.choice(("mute", "reset", "pause"))
            getattr(self.network, fault)(socket_address)
            if fault == "pause":
                await anyio.sleep(self.rng.uniform(0.1, 1.5))
                self.network.resume(socket_address)

    async def run(self) -> None:
        """Send requests while links fail, then check all answers and runs."""
        await self.build()
        async with anyio.create_task_group() as faults:
            faults.start_soon(self.inject_faults)
            await self.send_all()
            faults.cancel_scope.cancel()
        for vm in self.server_vms:
            address = vm.settings.peer_address
            self.network.resume((address.host, address.port))
        await anyio.sleep(REPLY_RETENTION_S + 3.0)
        self.check_answers()
        self.check_nothing_left_open()
        assert self.wrongly_failed == []
        assert self.count_answers(200) > MIN_SUCCESS_SHARE * len(self.answers)

    def check_answers(self) -> None:
        runs = [one for vm in self.server_vms for one in vm.server.runs]
        for request_id, target in self.sent.items():
            answer = self.answers.get(request_id)
            if target.startswith("/book/"):
                assert runs.count(request_id) <= 1
            else:
                assert runs.count(request_id) <= 2
            if answer is None:
                continue
            if answer.status == 200:
                assert answer.body.decode().startswith(f"{target} by")
                assert request_id in runs
            elif answer.status == 503:
                assert request_id not in runs

    def count_answers(self, status: int) -> int:
        return sum(one.status == status for one in self.answers.values())

    def check_nothing_left_open(self) -> None:
        """Check that no call, reply or request is left open."""
        for vm in self.server_vms:
            inbound = vm.node.inbound
            assert vm.node.dispatcher.in_flight == 0
            assert inbound.count_open() == 0
            assert not inbound.received_calls
            assert len(inbound.connections) <= len(self.deployment.vms)
        for vm in self.entry_vms:
            assert vm.node.ingress.responder.open_requests == 0
            for member in vm.node.state.members.by_name.values():
                assert member.link is None or not member.link.pending_calls


def run_seed(seed: int) -> None:
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(LIST, BOOK)
            fault_run = FaultRun(network, deployment, seed)
            try:
                await fault_run.run()
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main, seed)


def test_requests_get_the_answer_of_their_own_run_while_links_fail():
    """Several resets in a row must not fail a read that a server is running."""
    for seed in SEEDS:
        run_seed(seed)
