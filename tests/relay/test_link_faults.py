"""Requests among nodes whose links fail at random, on a virtual network."""

from __future__ import annotations

import asyncio
import random

import anyio

from eelgrassmount.http1.client import ClientAnswer
from eelgrassmount.relay.inbound import KEEP_REPLY_S
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
SPAN_S = 30.0
REQUESTS_PER_S = 20.0
FAULTS_PER_S = 2.0
LEAVING_SHARE = 0.1
# the least of 100 seeds was 85 in 100: both servers are out of reach now and then
SERVED_SHARE = 0.9


class Storm:
    """Nodes, requests and faults, all drawn from one seed."""

    def __init__(self, network: Network, deployment: Deployment, seed: int):
        self.network = network
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.answers: dict[str, ClientAnswer] = {}
        self.sent: dict[str, str] = {}
        self.given_up: list[str] = []

    async def build(self) -> None:
        add = self.deployment.add
        self.fronts = [await add("front") for _ in range(2)]
        self.backs = [await add("list") for _ in range(2)]
        await self.deployment.wait_until_connected()
        for vm in self.backs:
            vm.server.work_s = 0.3

    async def send_all(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + SPAN_S
        async with anyio.create_task_group() as group:
            while loop.time() < end_s:
                await anyio.sleep(self.rng.expovariate(REQUESTS_PER_S))
                request_id = f"r{len(self.sent)}"
                target = self.rng.choice(("/list/", "/book/")) + request_id
                self.sent[request_id] = target
                group.start_soon(self.send, request_id, target)

    async def send(self, request_id: str, target: str) -> None:
        vm = self.rng.choice(self.fronts)
        connection = await connect(vm.settings.caller_address)
        future = asyncio.get_running_loop().create_future()
        data = make_request("GET", target, request_id=request_id)
        connection.send(data, future.set_result)
        if self.rng.random() < LEAVING_SHARE:
            await anyio.sleep(self.rng.uniform(0.0, 0.5))
        else:
            with anyio.fail_after(4):
                answer = self.answers[request_id] = await future
            if answer.status in (502, 503) and self.is_at_work(request_id):
                self.given_up.append(request_id)
        connection.close()

    def is_at_work(self, request_id: str) -> bool:
        """Tell whether a server runs a request."""
        return any(
            job.call.request_id == request_id
            for vm in self.backs
            for job in vm.node.gate.running
        )

    async def break_things(self) -> None:
        while True:
            await anyio.sleep(self.rng.expovariate(FAULTS_PER_S))
            address = self.rng.choice(self.backs).settings.peer_address
            place = (address.host, address.port)
            fault = self.rng.choice(("mute", "reset", "pause"))
            getattr(self.network, fault)(place)
            if fault == "pause":
                await anyio.sleep(self.rng.uniform(0.1, 1.5))
                self.network.resume(place)

    async def play(self) -> None:
        """Let requests and faults come, then look at what became of all."""
        await self.build()
        async with anyio.create_task_group() as faults:
            faults.start_soon(self.break_things)
            await self.send_all()
            faults.cancel_scope.cancel()
        for vm in self.backs:
            address = vm.settings.peer_address
            self.network.resume((address.host, address.port))
        await anyio.sleep(KEEP_REPLY_S + 3.0)
        self.check()
        self.check_ends()
        assert self.given_up == []
        assert self.count(200) > SERVED_SHARE * len(self.answers)

    def check(self) -> None:
        runs = [one for vm in self.backs for one in vm.server.runs]
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

    def count(self, status: int) -> int:
        return sum(one.status == status for one in self.answers.values())

    def check_ends(self) -> None:
        """Look whether something is left over."""
        for vm in self.backs:
            inbound = vm.node.inbound
            assert vm.node.gate.in_flight == 0
            assert inbound.count_open() == 0
            assert not inbound.kept
            assert len(inbound.connections) <= len(self.deployment.vms)
        for vm in self.fronts:
            assert vm.node.entry.answers.open_flows == 0
            for member in vm.node.beliefs.members.by_name.values():
                assert member.link is None or not member.link.open_calls


def play(seed: int) -> None:
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(LIST, BOOK)
            storm = Storm(network, deployment, seed)
            try:
                await storm.play()
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main, seed)


def test_requests_are_answered_once_and_by_their_own_run_while_links_fail():
    """Reads were given up while a server was at work on them, with these seeds.

    A call was asked for again over two new connections at most, and one reset breaks
    both that a link may have.
    """
    for seed in SEEDS:
        play(seed)
