"""Requests to a server whose node is silent or disconnected, on a virtual network."""

from __future__ import annotations

import asyncio
import time

import anyio
import pytest
from loguru import logger

from eelgrassmount.compose.relay_run import stop_relay
from eelgrassmount.gen import ttypes
from eelgrassmount.relay.inbound import (
    REJOIN_TIMEOUT_S,
    REPLY_RETENTION_S,
    SENDER_RETENTION_S,
)
from eelgrassmount.relay.link import CONNECT_TIMEOUT_S, SILENCE_TIMEOUT_S
from eelgrassmount.relay.messages import Outcome
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
PAUSE_S = 1.0
# Upper bound for the processing time of a request and the delay of timers.
SLACK_S = 0.3


class SingleServerScenario:
    """An entry node and the only server of a service, without a retry budget."""

    def __init__(self, network: Network, deployment: Deployment):
        self.network = network
        self.deployment = deployment

    async def build(self) -> None:
        add = self.deployment.add
        self.entry_vm: Vm = await add("front")
        self.server_vm: Vm = await add("list", retry_ratio=0.0, retry_slack=0.0)
        await self.deployment.wait_until_connected()
        self.server_vm.server.work_s = RUN_S
        address = self.server_vm.settings.peer_address
        self.socket_address: SocketAddress = (address.host, address.port)

    async def send(
        self, request_id: str = "a1", target: str = "/list/1"
    ) -> asyncio.Future:
        """Send a request and return a future of its answer."""
        self.client = await connect(self.entry_vm.settings.caller_address)
        future = asyncio.get_running_loop().create_future()
        data = make_request("GET", target, request_id=request_id)
        self.client.send(data, future.set_result)
        return future

    async def send_and_wait_for_run(
        self, request_id: str = "a1", target: str = "/list/1"
    ) -> asyncio.Future:
        """Send a request, and return its future once the server runs it."""
        future = await self.send(request_id, target)
        runs = self.server_vm.server.runs
        with anyio.fail_after(1):
            while request_id not in runs:
                await anyio.sleep(0.001)
        # Let the sending node finish its current event handlers.
        await anyio.sleep(0.01)
        return future

    async def pause_server_node(self) -> None:
        """Pause the node of the server."""
        self.network.pause(self.socket_address)
        await anyio.sleep(PAUSE_S)
        self.network.resume(self.socket_address)


def run_scenario(
    scenario, setup_type: type[SingleServerScenario] = SingleServerScenario
) -> None:
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(LIST, BOOK)
            setup = setup_type(network, deployment)
            try:
                await setup.build()
                with anyio.fail_after(20):
                    await scenario(setup)
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    run_virtually(main)


def test_read_is_answered_by_a_peer_that_was_paused():
    """A node must not answer 502 for a read that the paused peer's server still runs.

    The second read is sent by a node that shuts down during the pause.
    """

    async def scenario(setup: SingleServerScenario) -> None:
        first = await setup.send_and_wait_for_run("a1")
        setup.deployment.group.start_soon(setup.pause_server_node)
        await anyio.sleep(PAUSE_S + SLACK_S)
        assert (await first).status == 200
        second = await setup.send_and_wait_for_run("a2")
        setup.deployment.group.start_soon(stop_relay, setup.entry_vm.node)
        await setup.pause_server_node()
        answer = await asyncio.wait_for(second, SLACK_S)
        assert answer.status == 200
        assert setup.server_vm.server.runs == ["a1", "a2"]

    run_scenario(scenario)


def test_read_is_resumed_over_a_new_connection():
    """A connection that is silent for good, or reset, must not fail a running read."""

    async def scenario(setup: SingleServerScenario) -> None:
        setup.server_vm.server.work_s = 2.0
        for fault, request_id in (("mute", "a1"), ("reset", "a2")):
            future = await setup.send_and_wait_for_run(request_id)
            getattr(setup.network, fault)(setup.socket_address)
            answer = await asyncio.wait_for(future, 3)
            assert answer.status == 200
        assert setup.server_vm.server.runs == ["a1", "a2"]

    run_scenario(scenario)


def test_read_fails_soon_when_its_node_is_unreachable():
    async def scenario(setup: SingleServerScenario) -> None:
        future = await setup.send_and_wait_for_run()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        setup.network.mute(setup.socket_address)
        setup.network.listeners[setup.socket_address].close()
        answer = await asyncio.wait_for(future, 5)
        assert answer.status == 502
        passed_s = loop.time() - started_s
        assert passed_s > SILENCE_TIMEOUT_S
        assert passed_s < SILENCE_TIMEOUT_S + CONNECT_TIMEOUT_S + SLACK_S

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["mute", "reset", "stand still"])
def test_non_idempotent_call_survives_a_silent_or_broken_link(fault):
    async def scenario(setup: SingleServerScenario) -> None:
        setup.server_vm.server.work_s = 2.0
        future = await setup.send_and_wait_for_run(target="/book/1")
        if fault == "stand still":
            await setup.pause_server_node()
        else:
            getattr(setup.network, fault)(setup.socket_address)
        assert (await asyncio.wait_for(future, 3)).status == 200
        assert setup.server_vm.server.runs == ["a1"]

    run_scenario(scenario)


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_call_lost_on_the_way_runs_over_the_new_connection(target):
    async def scenario(setup: SingleServerScenario) -> None:
        assert (await (await setup.send_and_wait_for_run("a1", target))).status == 200
        setup.network.mute(setup.socket_address)
        future = await setup.send("a2", target)
        assert (await asyncio.wait_for(future, 3)).status == 200
        assert setup.server_vm.server.runs == ["a1", "a2"]

    run_scenario(scenario)


def test_read_whose_reply_was_lost_is_not_run_again_without_a_retry():
    async def scenario(setup: SingleServerScenario) -> None:
        future = await setup.send_and_wait_for_run()
        setup.network.mute(setup.socket_address)
        assert (await asyncio.wait_for(future, 3)).status == 502
        assert setup.server_vm.server.runs == ["a1"]

    run_scenario(scenario)


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_call_to_an_earlier_incarnation_may_have_run(target):
    async def scenario(setup: SingleServerScenario) -> None:
        setup.server_vm.server.work_s = 3.0
        future = await setup.send_and_wait_for_run(target=target)
        inbound = setup.server_vm.node.inbound
        inbound.incarnation = "next"
        inbound.received_calls.clear()
        inbound.senders.clear()
        setup.network.reset(setup.socket_address)
        assert (await asyncio.wait_for(future, SLACK_S)).status == 502
        assert setup.server_vm.server.runs == ["a1"]

    run_scenario(scenario)


def test_run_is_cancelled_when_its_client_left_while_the_link_was_broken():
    async def scenario(setup: SingleServerScenario) -> None:
        setup.server_vm.server.work_s = 3.0
        await setup.send_and_wait_for_run()
        # The client's disconnect arrives between the reset and the new connection.
        setup.client.close()
        await anyio.sleep(LATENCY_S / 2)
        setup.network.reset(setup.socket_address)
        await anyio.sleep(0.01)
        assert setup.server_vm.node.dispatcher.in_flight == 1
        await anyio.sleep(REJOIN_TIMEOUT_S + 0.05)
        assert setup.server_vm.node.dispatcher.in_flight == 0
        assert not setup.server_vm.node.inbound.received_calls
        assert setup.server_vm.node.count_open() == 0

    run_scenario(scenario)


def test_reply_without_a_connection_is_sent_over_the_next_one():
    async def scenario(setup: SingleServerScenario) -> None:
        future = await setup.send_and_wait_for_run()
        # The server's node notices the lost connection first. The run ends before the
        # new connection is made.
        for link in setup.network.list_open(setup.socket_address):
            link.server_end.reset()
        await anyio.sleep(RUN_S + 0.02)
        assert setup.server_vm.node.dispatcher.in_flight == 0
        setup.network.reset(setup.socket_address)
        assert (await asyncio.wait_for(future, SLACK_S)).status == 200
        assert setup.server_vm.server.runs == ["a1"]

    run_scenario(scenario)


def test_replaced_link_does_not_reuse_sequence_numbers():
    """A reused sequence number would get the stored reply of an earlier call."""

    async def scenario(setup: SingleServerScenario) -> None:
        setup.server_vm.server.work_s = 0.0
        member = setup.entry_vm.node.state.members.by_name["node-2"]
        ids = []
        for target in ("/book/1", "/list/1"):
            for _ in range(2):
                ids.append(f"a{len(ids)}")
                future = await setup.send(ids[-1], target)
                assert (await asyncio.wait_for(future, 3)).status == 200
                assert setup.server_vm.server.runs == ids
                member.link.close()
                member.link = None

    run_scenario(scenario)


class TwoServerScenario(SingleServerScenario):
    """An entry node and two slow servers with a retry budget."""

    async def build(self) -> None:
        add = self.deployment.add
        self.entry_vm: Vm = await add("front")
        vms = [await add("list", retry_slack=100.0) for _ in range(2)]
        await self.deployment.wait_until_connected()
        for vm in vms:
            vm.server.work_s = 1.5
        # The server that runs the request is the first one.
        self.future = await self.send()
        while not any(vm.server.runs for vm in vms):
            await anyio.sleep(0.001)
        vms.sort(key=lambda vm: not vm.server.runs)
        self.server_vm, self.second_vm = vms


def test_read_is_answered_by_its_first_server_when_the_second_refuses_it():
    """The run on a silent server must not be cancelled before another one starts."""

    async def scenario(setup: TwoServerScenario) -> None:
        setup.second_vm.node.inbound.accepting = False
        answer = await asyncio.wait_for(setup.future, 3)
        assert answer.status == 200
        assert setup.server_vm.server.runs == ["a1"]
        assert setup.second_vm.server.runs == []

    run_scenario(scenario, TwoServerScenario)


async def wait_for_both(setup: TwoServerScenario) -> None:
    """Wait until both servers run the read."""
    while not setup.second_vm.server.runs:
        await anyio.sleep(0.001)


def count_retries(setup: TwoServerScenario) -> int:
    return sum(
        retries
        for vm in (setup.server_vm, setup.second_vm)
        for _, _, retries in vm.node.dispatcher.budget.list_services()
    )


def test_second_run_is_cancelled_when_the_first_server_answers_first():
    async def scenario(setup: TwoServerScenario) -> None:
        await wait_for_both(setup)
        answer = await asyncio.wait_for(setup.future, 3)
        assert answer.status == 200
        assert count_retries(setup) == 1
        await anyio.sleep(0.01)
        assert setup.second_vm.node.dispatcher.in_flight == 0

    run_scenario(scenario, TwoServerScenario)


def test_first_run_is_cancelled_when_the_second_server_answers_first():
    async def scenario(setup: TwoServerScenario) -> None:
        setup.second_vm.server.work_s = 0.1
        await wait_for_both(setup)
        assert setup.server_vm.node.dispatcher.in_flight == 1
        answer = await asyncio.wait_for(setup.future, 0.2)
        assert answer.status == 200
        await anyio.sleep(0.01)
        assert setup.server_vm.node.dispatcher.in_flight == 0

    run_scenario(scenario, TwoServerScenario)


@pytest.mark.parametrize("failure", ["lost", "500"])
def test_read_is_answered_by_its_first_server_when_the_second_fails(failure):
    async def scenario(setup: TwoServerScenario) -> None:
        setup.second_vm.server.work_s = 0.1
        drop = setup.second_vm.server.listener.end
        if failure == "lost":
            setup.second_vm.server.answer = lambda exchange: drop()
        else:
            setup.second_vm.server.answer = lambda exchange: exchange.respond(500)
        answer = await asyncio.wait_for(setup.future, 3)
        assert answer.status == 200
        assert len(setup.server_vm.server.runs + setup.second_vm.server.runs) == 2
        assert count_retries(setup) == 1

    run_scenario(scenario, TwoServerScenario)


def test_failure_is_answered_only_after_both_servers_have_failed():
    async def scenario(setup: TwoServerScenario) -> None:
        for vm in (setup.server_vm, setup.second_vm):
            vm.server.answer = lambda exchange: exchange.respond(500)
        setup.second_vm.server.work_s = 0.1
        await wait_for_both(setup)
        await anyio.sleep(0.2)
        assert not setup.future.done()
        assert (await asyncio.wait_for(setup.future, 3)).status == 500
        assert count_retries(setup) == 1

    run_scenario(scenario, TwoServerScenario)


@pytest.mark.parametrize(
    ("outcome", "status"), [(Outcome.NOT_RUN, 503), (Outcome.MAY_HAVE_RUN, 502)]
)
def test_refused_read_may_have_run_only_if_its_first_server_reports_it(outcome, status):
    async def scenario(setup: TwoServerScenario) -> None:
        setup.second_vm.node.inbound.accepting = False
        await anyio.sleep(0.5)
        assert not setup.future.done()
        name = setup.server_vm.settings.name
        link = setup.entry_vm.node.state.members.by_name[name].link
        (sequence,) = link.pending_calls
        link._handle_reply(
            ttypes.RelayReply(sequence, outcome, "overload", 0, b"", b"", 0, 0)
        )
        assert (await asyncio.wait_for(setup.future, 3)).status == status

    run_scenario(scenario, TwoServerScenario)


def test_read_that_waits_for_its_first_server_times_out_at_its_deadline():
    async def scenario(setup: TwoServerScenario) -> None:
        setup.second_vm.node.inbound.accepting = False
        setup.server_vm.server.answer = lambda exchange: None
        answer = await asyncio.wait_for(setup.future, 6)
        assert answer.status == 504
        await anyio.sleep(0.01)
        assert setup.server_vm.node.dispatcher.in_flight == 0

    run_scenario(scenario, TwoServerScenario)


def test_sequence_of_a_disconnected_sender_expires():
    """Sequences of all senders ever seen would otherwise accumulate."""

    async def scenario(setup: SingleServerScenario) -> None:
        await (await setup.send_and_wait_for_run("a1"))
        inbound = setup.server_vm.node.inbound
        assert len(inbound.senders) == 1
        await anyio.sleep(REPLY_RETENTION_S + 2.0)
        assert len(inbound.senders) == 1
        setup.entry_vm.node.end()
        await anyio.sleep(REPLY_RETENTION_S + 2.0)
        assert len(inbound.senders) == 1
        inbound.clock = lambda: time.monotonic() + SENDER_RETENTION_S
        inbound.expire()
        assert inbound.senders == {}

    run_scenario(scenario)


LONG = make_rule("/long/", "list", kind="non_idempotent", action={"timeoutMs": 30000})


def test_non_idempotent_call_does_not_run_again_after_its_reply_expired():
    """A call resumed after its reply has expired must not be taken for a new call."""

    async def scenario(setup: SingleServerScenario) -> None:
        setup.deployment.configure(2, LIST, BOOK, LONG)
        while setup.entry_vm.node.state.table.version < 2:
            await anyio.sleep(0.01)
        future = await setup.send_and_wait_for_run(target="/long/1")
        for link in setup.network.list_open(setup.socket_address):
            link.server_end.reset()
        await anyio.sleep(RUN_S + 0.02)
        setup.network.pause(setup.socket_address)
        await anyio.sleep(REPLY_RETENTION_S + 2.0)
        assert not future.done()
        assert not setup.server_vm.node.inbound.received_calls
        setup.network.resume(setup.socket_address)
        assert (await asyncio.wait_for(future, 2)).status == 502
        assert setup.server_vm.server.runs == ["a1"]

    run_scenario(scenario)


def test_log_line_of_a_failed_read_names_the_node_that_was_tried():
    """The field ``tried`` must include the node that lost the read."""
    lines = []
    handle = logger.add(lambda message: lines.append(message.record))

    async def scenario(setup: SingleServerScenario) -> None:
        future = await setup.send_and_wait_for_run()
        setup.network.mute(setup.socket_address)
        setup.network.listeners[setup.socket_address].close()
        await asyncio.wait_for(future, 5)

    run_scenario(scenario)
    logger.remove(handle)
    failed = [one["extra"] for one in lines if one["message"] == "failed"]
    assert [one["tried"] for one in failed] == [["node-2"]]


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_local_pause_while_connecting_is_not_taken_for_an_unreachable_node(target):
    """The connect timeout may pass during a pause although the peer has accepted."""

    async def scenario(setup: SingleServerScenario) -> None:
        setup.server_vm.server.work_s = 2.0
        future = await setup.send_and_wait_for_run(target=target)
        # Only the entry node's end breaks now; the peer notices after the pause.
        for link in setup.network.list_open(setup.socket_address):
            link.client_end.reset()
        await anyio.sleep(LATENCY_S / 2)
        assert not setup.entry_vm.node.state.members.by_name["node-2"].is_connected()
        asyncio.get_running_loop().now_s += CONNECT_TIMEOUT_S + 0.1
        assert (await asyncio.wait_for(future, 3)).status == 200
        assert setup.server_vm.server.runs == ["a1"]

    run_scenario(scenario)


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_call_is_answered_after_the_record_of_its_node_changed(target):
    """The link of a replaced member must stay open until its calls have replies."""

    async def scenario(setup: SingleServerScenario) -> None:
        setup.server_vm.server.work_s = 0.5
        future = await setup.send_and_wait_for_run(target=target)
        members = setup.entry_vm.node.state.members
        known = members.by_name["node-2"]
        members.put(known.name, known.address, known.failure_domain, "other")
        assert (await asyncio.wait_for(future, 1)).status == 200
        assert setup.server_vm.server.runs == ["a1"]
        await anyio.sleep(0.01)
        assert known.link.closed

    run_scenario(scenario)


def test_call_to_a_removed_and_unreachable_node_fails_soon():
    async def scenario(setup: SingleServerScenario) -> None:
        future = await setup.send_and_wait_for_run()
        setup.entry_vm.node.state.members.remove("node-2")
        setup.network.mute(setup.socket_address)
        setup.network.listeners[setup.socket_address].close()
        answer = await asyncio.wait_for(future, SILENCE_TIMEOUT_S + 2 * SLACK_S)
        assert answer.status == 502
        assert setup.entry_vm.node.state.members.list_retired() == []

    run_scenario(scenario)


def test_reply_counts_as_open_until_its_last_byte_is_sent():
    """A node that exits earlier would drop the unsent rest of a long reply."""

    async def scenario(setup: SingleServerScenario) -> None:
        assert (await (await setup.send_and_wait_for_run())).status == 200
        (connection,) = setup.server_vm.node.inbound.connections
        connection.transport.get_write_buffer_size = lambda: 100_000
        assert setup.server_vm.node.count_open() == 1
        connection.transport.get_write_buffer_size = lambda: 0
        assert setup.server_vm.node.count_open() == 0

    run_scenario(scenario)


@pytest.mark.parametrize("target", ["/list/1", "/book/1"])
def test_run_is_resumed_after_a_pause_of_its_node(target):
    """The rejoin timeout may pass during a pause, before the sender reconnects."""

    async def scenario(setup: SingleServerScenario) -> None:
        setup.server_vm.server.work_s = 2.0
        future = await setup.send_and_wait_for_run(target=target)
        setup.network.reset(setup.socket_address)
        await anyio.sleep(LATENCY_S / 2)
        asyncio.get_running_loop().now_s += PAUSE_S
        assert (await asyncio.wait_for(future, 3)).status == 200
        assert setup.server_vm.server.runs == ["a1"]

    run_scenario(scenario)
