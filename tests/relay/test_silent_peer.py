"""Requests whose node beside the server falls silent, on a virtual network."""

from __future__ import annotations

import asyncio
import time

import anyio
import pytest
from loguru import logger

from eelgrassmount.compose.relay_run import stop_relay
from eelgrassmount.gen import ttypes
from eelgrassmount.relay.inbound import JOIN_WAIT_S, KEEP_REPLY_S, KEEP_SENDER_S
from eelgrassmount.relay.link import CONNECT_LIMIT_S, SILENCE_LIMIT_S
from eelgrassmount.relay.messages import Fate
from tests.relay.deployment import (
    Deployment,
    Vm,
    connect,
    make_request,
    make_rule,
)
from tests.relay.virtual import LATENCY_S, Network, SocketAddress, run_virtually

LIST = make_rule("/list/", "list", action={"timeoutMs": 5000})
BOOK = make_rule("/book/", "list", kind="non_idempotent", action={"timeoutMs": 5000})
RUN_S = 0.2
STALL_S = 1.0
# what the steps of a request and of the node's timers take at most
SLACK_S = 0.3


class Scene:
    """A node, and the only server of a service elsewhere, without a retry budget."""

    def __init__(self, network: Network, deployment: Deployment):
        self.network = network
        self.deployment = deployment

    async def build(self) -> None:
        add = self.deployment.add
        self.front: Vm = await add("front")
        self.back: Vm = await add("list", retry_ratio=0.0, retry_slack=0.0)
        await self.deployment.wait_until_connected()
        self.back.server.work_s = RUN_S
        address = self.back.settings.peer_address
        self.place: SocketAddress = (address.host, address.port)

    async def send(
        self, request_id: str = "a1", target: str = "/list/1"
    ) -> asyncio.Future:
        """Send a request."""
        self.client = await connect(self.front.settings.caller_address)
        future = asyncio.get_running_loop().create_future()
        data = make_request("GET", target, request_id=request_id)
        self.client.send(data, future.set_result)
        return future

    async def ask(
        self, request_id: str = "a1", target: str = "/list/1"
    ) -> asyncio.Future:
        """Send a request and return when the server is at work on it."""
        future = await self.send(request_id, target)
        runs = self.back.server.runs
        with anyio.fail_after(1):
            while request_id not in runs:
                await anyio.sleep(0.001)
        # the node that has sent it goes on with other things
        await anyio.sleep(0.01)
        return future

    async def stall(self) -> None:
        """Let the node beside the server stand still for a second."""
        self.network.pause(self.place)
        await anyio.sleep(STALL_S)
        self.network.resume(self.place)


def play(scenario, make: type[Scene] = Scene) -> None:
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(LIST, BOOK)
            scene = make(network, deployment)
            try:
                await scene.build()
                with anyio.fail_after(20):
                    await scenario(scene)
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main)


def test_read_is_answered_by_a_peer_that_stood_still():
    """A stopping node sent a read to a peer whose event loop then stood still.

    The peer's server ran the read. The stopping node dropped the connection after
    half a second without a byte ("link silent", ``silent_s`` 0.514) and, as its retry
    budget allowed no repeat, answered 502 ("failed", ``peer-lost``) while the server
    was at work and seconds were left.
    """

    async def scenario(scene: Scene) -> None:
        first = await scene.ask("a1")
        scene.deployment.group.start_soon(scene.stall)
        await anyio.sleep(STALL_S + SLACK_S)
        assert (await first).status == 200
        second = await scene.ask("a2")
        scene.deployment.group.start_soon(stop_relay, scene.front.node)
        await scene.stall()
        answer = await asyncio.wait_for(second, SLACK_S)
        assert answer.status == 200
        assert scene.back.server.runs == ["a1", "a2"]

    play(scenario)


def test_read_is_joined_over_a_new_connection():
    """Connections may go silent for good, or be reset, while both nodes live.

    A read at which a server was at work ended with 502 then, without a try over a
    new connection.
    """

    async def scenario(scene: Scene) -> None:
        scene.back.server.work_s = 2.0
        for fault, request_id in (("mute", "a1"), ("reset", "a2")):
            future = await scene.ask(request_id)
            getattr(scene.network, fault)(scene.place)
            answer = await asyncio.wait_for(future, 3)
            assert answer.status == 200
        assert scene.back.server.runs == ["a1", "a2"]

    play(scenario)


def test_read_at_a_node_that_is_gone_ends_soon():
    async def scenario(scene: Scene) -> None:
        future = await scene.ask()
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        scene.network.mute(scene.place)
        scene.network.listeners[scene.place].close()
        answer = await asyncio.wait_for(future, 5)
        assert answer.status == 502
        passed_s = loop.time() - begun_s
        assert passed_s > SILENCE_LIMIT_S
        assert passed_s < SILENCE_LIMIT_S + CONNECT_LIMIT_S + SLACK_S

    play(scenario)


@pytest.mark.parametrize("fault", ["mute", "reset", "stand still"])
def test_work_that_must_not_run_twice_survives_a_silent_or_broken_link(fault):
    async def scenario(scene: Scene) -> None:
        scene.back.server.work_s = 2.0
        future = await scene.ask(target="/book/1")
        if fault == "stand still":
            await scene.stall()
        else:
            getattr(scene.network, fault)(scene.place)
        assert (await asyncio.wait_for(future, 3)).status == 200
        assert scene.back.server.runs == ["a1"]

    play(scenario)


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_call_that_never_arrived_runs_over_the_new_connection(target):
    async def scenario(scene: Scene) -> None:
        assert (await (await scene.ask("a1", target))).status == 200
        scene.network.mute(scene.place)
        future = await scene.send("a2", target)
        assert (await asyncio.wait_for(future, 3)).status == 200
        assert scene.back.server.runs == ["a1", "a2"]

    play(scenario)


def test_read_that_ran_while_its_reply_was_lost_is_not_run_again_by_itself():
    async def scenario(scene: Scene) -> None:
        future = await scene.ask()
        scene.network.mute(scene.place)
        assert (await asyncio.wait_for(future, 3)).status == 502
        assert scene.back.server.runs == ["a1"]

    play(scenario)


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_call_to_an_earlier_incarnation_may_have_run(target):
    async def scenario(scene: Scene) -> None:
        scene.back.server.work_s = 3.0
        future = await scene.ask(target=target)
        inbound = scene.back.node.inbound
        inbound.incarnation = "next"
        inbound.kept.clear()
        inbound.senders.clear()
        scene.network.reset(scene.place)
        assert (await asyncio.wait_for(future, SLACK_S)).status == 502
        assert scene.back.server.runs == ["a1"]

    play(scenario)


def test_run_whose_client_left_while_the_link_was_broken_is_cut():
    async def scenario(scene: Scene) -> None:
        scene.back.server.work_s = 3.0
        await scene.ask()
        # the client's end arrives between the reset and the new connection
        scene.client.close()
        await anyio.sleep(LATENCY_S / 2)
        scene.network.reset(scene.place)
        await anyio.sleep(0.01)
        assert scene.back.node.gate.in_flight == 1
        await anyio.sleep(JOIN_WAIT_S + 0.05)
        assert scene.back.node.gate.in_flight == 0
        assert not scene.back.node.inbound.kept
        assert scene.back.node.count_open() == 0

    play(scenario)


def test_reply_without_a_connection_is_kept_for_the_next_one():
    async def scenario(scene: Scene) -> None:
        future = await scene.ask()
        # the other end is told of it first, and the run ends before the new one
        for link in scene.network.list_open(scene.place):
            link.server_end.reset()
        await anyio.sleep(RUN_S + 0.02)
        assert scene.back.node.gate.in_flight == 0
        scene.network.reset(scene.place)
        assert (await asyncio.wait_for(future, SLACK_S)).status == 200
        assert scene.back.server.runs == ["a1"]

    play(scenario)


def test_request_over_a_replaced_link_is_not_taken_for_an_earlier_one():
    """A node forgot another and took it up again, and so began a new link to it.

    The new link numbered its calls from one again. The other node knew these numbers
    of the same sender, and answered with what it had kept for an earlier request.
    """

    async def scenario(scene: Scene) -> None:
        scene.back.server.work_s = 0.0
        member = scene.front.node.beliefs.members.by_name["node-2"]
        ids = []
        for target in ("/book/1", "/list/1"):
            for _ in range(2):
                ids.append(f"a{len(ids)}")
                future = await scene.send(ids[-1], target)
                assert (await asyncio.wait_for(future, 3)).status == 200
                assert scene.back.server.runs == ids
                member.link.close()
                member.link = None

    play(scenario)


class Pair(Scene):
    """A node that may repeat, and two servers, of which the first is slow."""

    async def build(self) -> None:
        add = self.deployment.add
        self.front: Vm = await add("front")
        vms = [await add("list", retry_slack=100.0) for _ in range(2)]
        await self.deployment.wait_until_connected()
        for vm in vms:
            vm.server.work_s = 1.5
        # whichever is asked is the first
        self.future = await self.send()
        while not any(vm.server.runs for vm in vms):
            await anyio.sleep(0.001)
        vms.sort(key=lambda vm: not vm.server.runs)
        self.back, self.other = vms


def test_read_is_answered_by_its_first_server_when_the_next_refuses_it():
    """A read was taken from a silent server before another had taken it.

    The other refused it, and the read ended with 502 while its first server, cut by
    then, had been at work.
    """

    async def scenario(pair: Pair) -> None:
        pair.other.node.inbound.accepting = False
        answer = await asyncio.wait_for(pair.future, 3)
        assert answer.status == 200
        assert pair.back.server.runs == ["a1"]
        assert pair.other.server.runs == []

    play(scenario, Pair)


async def wait_for_both(pair: Pair) -> None:
    """Wait until both servers are at work on the read."""
    while not pair.other.server.runs:
        await anyio.sleep(0.001)


def count_repeats(pair: Pair) -> int:
    return sum(
        repeats
        for vm in (pair.back, pair.other)
        for _, _, repeats in vm.node.gate.budget.list_services()
    )


def test_first_server_may_answer_first_and_the_other_is_cut():
    async def scenario(pair: Pair) -> None:
        await wait_for_both(pair)
        answer = await asyncio.wait_for(pair.future, 3)
        assert answer.status == 200
        assert count_repeats(pair) == 1
        await anyio.sleep(0.01)
        assert pair.other.node.gate.in_flight == 0

    play(scenario, Pair)


def test_other_server_may_answer_first_and_the_first_is_cut():
    async def scenario(pair: Pair) -> None:
        pair.other.server.work_s = 0.1
        await wait_for_both(pair)
        assert pair.back.node.gate.in_flight == 1
        answer = await asyncio.wait_for(pair.future, 0.2)
        assert answer.status == 200
        await anyio.sleep(0.01)
        assert pair.back.node.gate.in_flight == 0

    play(scenario, Pair)


@pytest.mark.parametrize("failure", ["lost", "500"])
def test_read_is_answered_by_its_first_server_when_the_next_fails_it(failure):
    async def scenario(pair: Pair) -> None:
        pair.other.server.work_s = 0.1
        drop = pair.other.server.listener.end
        if failure == "lost":
            pair.other.server.answer = lambda exchange: drop()
        else:
            pair.other.server.answer = lambda exchange: exchange.respond(500)
        answer = await asyncio.wait_for(pair.future, 3)
        assert answer.status == 200
        assert len(pair.back.server.runs + pair.other.server.runs) == 2
        assert count_repeats(pair) == 1

    play(scenario, Pair)


def test_failure_of_one_server_is_answered_once_the_other_has_failed_too():
    async def scenario(pair: Pair) -> None:
        for vm in (pair.back, pair.other):
            vm.server.answer = lambda exchange: exchange.respond(500)
        pair.other.server.work_s = 0.1
        await wait_for_both(pair)
        await anyio.sleep(0.2)
        assert not pair.future.done()
        assert (await asyncio.wait_for(pair.future, 3)).status == 500
        assert count_repeats(pair) == 1

    play(scenario, Pair)


@pytest.mark.parametrize(
    ("fate", "status"), [(Fate.NOT_RUN, 503), (Fate.MAY_HAVE_RUN, 502)]
)
def test_read_that_all_refuse_has_run_only_if_its_first_server_says_so(fate, status):
    async def scenario(pair: Pair) -> None:
        pair.other.node.inbound.accepting = False
        await anyio.sleep(0.5)
        assert not pair.future.done()
        name = pair.back.settings.name
        link = pair.front.node.beliefs.members.by_name[name].link
        (sequence,) = link.open_calls
        link._note_reply(
            ttypes.RelayReply(sequence, fate, "overload", 0, b"", b"", 0, 0)
        )
        assert (await asyncio.wait_for(pair.future, 3)).status == status

    play(scenario, Pair)


def test_read_that_waits_for_its_first_server_ends_at_its_deadline():
    async def scenario(pair: Pair) -> None:
        pair.other.node.inbound.accepting = False
        pair.back.server.answer = lambda exchange: None
        answer = await asyncio.wait_for(pair.future, 6)
        assert answer.status == 504
        await anyio.sleep(0.01)
        assert pair.back.node.gate.in_flight == 0

    play(scenario, Pair)


def test_sender_that_is_gone_is_forgotten():
    """The highest sequence of each node that ever called was kept for good."""

    async def scenario(scene: Scene) -> None:
        await (await scene.ask("a1"))
        inbound = scene.back.node.inbound
        assert len(inbound.senders) == 1
        await anyio.sleep(KEEP_REPLY_S + 2.0)
        assert len(inbound.senders) == 1
        scene.front.node.end()
        await anyio.sleep(KEEP_REPLY_S + 2.0)
        assert len(inbound.senders) == 1
        inbound.clock = lambda: time.monotonic() + KEEP_SENDER_S
        inbound.expire()
        assert inbound.senders == {}

    play(scenario)


LONG = make_rule("/long/", "list", kind="non_idempotent", action={"timeoutMs": 30000})


def test_work_that_must_not_run_twice_is_known_after_its_reply_is_forgotten():
    """A node asked again for a call whose reply the other node no longer kept.

    It had lost the connection on which the reply came, and got no word over the next
    one for longer than replies are kept. The other node took the call for one that
    had never arrived and ran it a second time.
    """

    async def scenario(scene: Scene) -> None:
        scene.deployment.configure(2, LIST, BOOK, LONG)
        while scene.front.node.beliefs.table.version < 2:
            await anyio.sleep(0.01)
        future = await scene.ask(target="/long/1")
        for link in scene.network.list_open(scene.place):
            link.server_end.reset()
        await anyio.sleep(RUN_S + 0.02)
        scene.network.pause(scene.place)
        await anyio.sleep(KEEP_REPLY_S + 2.0)
        assert not future.done()
        assert not scene.back.node.inbound.kept
        scene.network.resume(scene.place)
        assert (await asyncio.wait_for(future, 2)).status == 502
        assert scene.back.server.runs == ["a1"]

    play(scenario)


def test_line_of_a_lost_read_names_the_node_that_had_it():
    """Lines said "tried": [] of reads that one node had had and lost."""
    lines = []
    handle = logger.add(lambda message: lines.append(message.record))

    async def scenario(scene: Scene) -> None:
        future = await scene.ask()
        scene.network.mute(scene.place)
        scene.network.listeners[scene.place].close()
        await asyncio.wait_for(future, 5)

    play(scenario)
    logger.remove(handle)
    failed = [one["extra"] for one in lines if one["message"] == "failed"]
    assert [one["tried"] for one in failed] == [["node-2"]]


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_own_pause_while_connecting_is_not_taken_for_a_node_that_is_gone(target):
    """A node stood still itself while it opened a connection in place of a lost one.

    The other node had taken the connection within a millisecond, but the limit for
    it had passed when the node went on, so that it gave up the other node and
    answered 502 for a call that a server had not finished.
    """

    async def scenario(scene: Scene) -> None:
        scene.back.server.work_s = 2.0
        future = await scene.ask(target=target)
        # the other end learns of it after the pause, as if it had run all the while
        for link in scene.network.list_open(scene.place):
            link.client_end.reset()
        await anyio.sleep(LATENCY_S / 2)
        assert not scene.front.node.beliefs.members.by_name["node-2"].is_connected()
        asyncio.get_running_loop().now_s += CONNECT_LIMIT_S + 0.1
        assert (await asyncio.wait_for(future, 3)).status == 200
        assert scene.back.server.runs == ["a1"]

    play(scenario)


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_call_is_answered_though_its_node_is_known_by_another_record(target):
    """A node's record changed while a server was at work on a call sent there.

    The member was replaced and its link closed, so that the call ended with 502
    half a second before the server's answer.
    """

    async def scenario(scene: Scene) -> None:
        scene.back.server.work_s = 0.5
        future = await scene.ask(target=target)
        members = scene.front.node.beliefs.members
        known = members.by_name["node-2"]
        members.put(known.name, known.address, known.failure_domain, "other")
        assert (await asyncio.wait_for(future, 1)).status == 200
        assert scene.back.server.runs == ["a1"]
        await anyio.sleep(0.01)
        assert known.link.closed

    play(scenario)


def test_call_to_a_forgotten_node_that_is_gone_ends_soon():
    async def scenario(scene: Scene) -> None:
        future = await scene.ask()
        scene.front.node.beliefs.members.remove("node-2")
        scene.network.mute(scene.place)
        scene.network.listeners[scene.place].close()
        answer = await asyncio.wait_for(future, SILENCE_LIMIT_S + 2 * SLACK_S)
        assert answer.status == 502
        assert scene.front.node.beliefs.members.list_retired() == []

    play(scenario)


def test_reply_to_another_node_is_open_until_its_last_byte_is_sent():
    """A node ended as soon as each call of other nodes had its reply.

    What still waited to be sent of a long reply was dropped with the link.
    """

    async def scenario(scene: Scene) -> None:
        assert (await (await scene.ask())).status == 200
        (connection,) = scene.back.node.inbound.connections
        connection.transport.get_write_buffer_size = lambda: 100_000
        assert scene.back.node.count_open() == 1
        connection.transport.get_write_buffer_size = lambda: 0
        assert scene.back.node.count_open() == 0

    play(scenario)


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_run_is_joined_after_a_pause_of_its_own_node(target):
    """A node stood still after it had lost a link over which reads had come.

    When it went on, the time in which the sender may join its runs had passed, and
    they were cut before the sender, which had connected at once, was heard.
    """

    async def scenario(scene: Scene) -> None:
        scene.back.server.work_s = 2.0
        future = await scene.ask(target=target)
        scene.network.reset(scene.place)
        await anyio.sleep(LATENCY_S / 2)
        asyncio.get_running_loop().now_s += STALL_S
        assert (await asyncio.wait_for(future, 3)).status == 200
        assert scene.back.server.runs == ["a1"]

    play(scenario)
