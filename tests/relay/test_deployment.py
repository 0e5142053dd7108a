"""Requests through nodes, links and backend servers, with injected faults."""

from __future__ import annotations

import asyncio
import gc

import anyio
import pytest

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.compose.relay_run import start_relay, stop_relay
from eelgrassmount.gen import ttypes
from eelgrassmount.http1.client import ExchangeFailure
from eelgrassmount.http1.exchange import Exchange
from eelgrassmount.platform.topic_names import LEARNED_KEY
from eelgrassmount.relay.frames import encode_struct
from eelgrassmount.relay.heartbeats import UNKNOWN_START
from eelgrassmount.relay.rows import write_rows
from eelgrassmount.relay.shutdown import CLIENT_DRAIN_S, PEER_DRAIN_S
from standins.platform_log import LogFault
from tests.relay.deployment import (
    Deployment,
    connect,
    make_request,
    make_rule,
    request,
    send,
    send_as_client,
)

LIST = make_rule("/list/", "list")
BOOK = make_rule("/book/", "list", kind="non_idempotent")


def run(scenario, *rules) -> None:
    """Run a scenario on a deployment whose first configuration has these rules."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(*rules)
            try:
                with anyio.fail_after(20):
                    await scenario(deployment)
            finally:
                await deployment.end()
                group.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})


def test_request_goes_to_the_node_beside_a_server_and_its_answer_back():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        answer = await send_as_client(front, "/list/1", eelgrassmount_deadline_ms="700")
        assert answer.status == 200
        names = dict(answer.headers)
        assert names[b"eelgrassmount-response-signature"] == b"signed"
        assert back.server.runs == ["a1"]
        seen = back.server.seen[0]
        assert seen[b"eelgrassmount-caller-service"] == b"front"
        assert 600 < int(seen[b"eelgrassmount-deadline-ms"]) <= 700
        assert seen[b"eelgrassmount-expect-instance"] == b"i-2"

    run(scenario, LIST)


def test_head_request_is_answered_without_a_body():
    # The node must not wait for the body that the announced length of the answer to a
    # HEAD request suggests.
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        answer = await send_as_client(front, "/list/1", "HEAD", request_id="h1")
        assert answer.status == 200
        assert b"content-length" not in dict(answer.headers)
        assert answer.body == b""
        assert back.server.runs == ["h1"]
        # The next answer on the pooled connection is complete.
        assert (await send_as_client(front, "/list/2")).body

    run(scenario, LIST)


def test_unknown_route_and_missing_configuration_have_different_answers():
    async def scenario(deployment: Deployment) -> None:
        vm = await deployment.add("list")
        answer = await send_as_client(vm, "/list/1")
        assert answer.status == 503
        assert b"retry-after" in dict(answer.headers)
        ready = await request(vm.settings.ready_address, "GET", "/ready")
        assert ready.status == 503
        deployment.configure(4, LIST)
        await deployment.wait_until_connected()
        assert (await send_as_client(vm, "/list/1")).status == 200
        assert (await send_as_client(vm, "/other/")).status == 404
        ready = await request(vm.settings.ready_address, "GET", "/ready")
        assert ready.status == 200

    run(scenario)


def test_older_configuration_is_ignored():
    async def scenario(deployment: Deployment) -> None:
        vm = await deployment.add("list")
        await deployment.wait_until_connected()
        deployment.configure(5, BOOK)
        with anyio.fail_after(2):
            while vm.node.state.table.version != 5:
                await anyio.sleep(0.01)
        deployment.configure(3, LIST)
        await anyio.sleep(0.5)
        assert vm.node.state.table.version == 5

    run(scenario, LIST)


def test_nodes_forward_a_configuration_while_the_log_is_unavailable():
    async def scenario(deployment: Deployment) -> None:
        first = await deployment.add("list")
        await deployment.add("front")
        await deployment.wait_until_connected()
        deployment.log.fault = LogFault.UNAVAILABLE
        first.node.apply_document(
            deployment.log.find("keyed.op").records[0][1].replace(b'"r1"', b'"r7"')
        )
        other = deployment.vms[1]
        with anyio.fail_after(3):
            while other.node.state.table.version != 7:
                await anyio.sleep(0.01)

    run(scenario, LIST)


def test_read_is_retried_long_before_its_timeout_when_a_server_is_silent():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        first = await deployment.add("list")
        second = await deployment.add("list")
        await deployment.wait_until_connected()
        for vm in (first, second):
            vm.server.answer = lambda exchange: None
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        group = deployment.group

        async def heal() -> None:
            # The server that has not received the request answers again.
            while not first.server.runs and not second.server.runs:
                await anyio.sleep(0.01)
            idle = second if first.server.runs else first
            idle.server.answer = None

        group.start_soon(heal)
        answer = await send_as_client(front, "/list/1")
        assert answer.status == 200
        assert loop.time() - started_s < 0.6
        assert len(first.server.runs + second.server.runs) == 2

    run(scenario, LIST)


def test_non_idempotent_request_is_not_retried_when_a_server_is_silent():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        first = await deployment.add("list")
        second = await deployment.add("list")
        await deployment.wait_until_connected()
        for vm in (first, second):
            vm.server.answer = lambda exchange: None
        answer = await send_as_client(front, "/book/1", "POST")
        assert answer.status == 504
        assert len(first.server.runs + second.server.runs) == 1

    run(scenario, BOOK)


@pytest.mark.parametrize("trouble", [LogFault.UNAVAILABLE, LogFault.RESET])
def test_requests_are_answered_while_the_log_is_unavailable(trouble):
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        await deployment.add("list")
        await deployment.wait_until_connected()
        deployment.log.fault = trouble
        for _ in range(5):
            assert (await send_as_client(front, "/list/1")).status == 200
        deployment.log.fault = LogFault.NONE
        deployment.configure(2, LIST, BOOK)
        with anyio.fail_after(4):
            while front.node.state.table.version != 2:
                await anyio.sleep(0.01)

    run(scenario, LIST)


def test_log_is_read_from_the_start_after_it_lost_its_history():
    async def scenario(deployment: Deployment) -> None:
        vm = await deployment.add("list")
        await deployment.wait_until_connected()
        deployment.log.fault = LogFault.RESET
        deployment.configure(2, LIST, BOOK)
        await anyio.sleep(0.2)
        deployment.log.compact("keyed.op")
        deployment.log.fault = LogFault.NONE
        with anyio.fail_after(4):
            while vm.node.state.table.version != 2:
                await anyio.sleep(0.01)

    run(scenario, LIST)


def test_draining_server_gets_no_calls_after_its_heartbeat_is_acknowledged():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        leaving = await deployment.add("list")
        staying = await deployment.add("list")
        await deployment.wait_until_connected()
        assert (await leaving.announce(draining=True)).status == 200
        before = len(leaving.server.runs)
        for _ in range(10):
            assert (await send_as_client(front, "/list/1")).status == 200
        assert len(leaving.server.runs) == before
        assert len(staying.server.runs) >= 10

    run(scenario, LIST)


@pytest.mark.parametrize("kind", ["idempotent", "download"])
def test_failed_repeatable_request_is_retried_on_another_server(kind):
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        servers = [await deployment.add("list", retry_slack=100.0) for _ in range(2)]
        await deployment.wait_until_connected()
        servers[0].server.answer = lambda exchange: exchange.respond(500)
        answers = [await send_as_client(front, "/list/1") for _ in range(4)]
        assert {answer.status for answer in answers} == {200}

    run(scenario, make_rule("/list/", "list", kind=kind))


def answer_without_status(exchange: Exchange, status: bytes = b"000") -> None:
    """Answer with the signature of the server, but without a real status."""
    head = b"HTTP/1.1 %s X\r\neelgrassmount-response-signature: s\r\n" % status
    exchange.connection.transport.write(head + b"content-length: 2\r\n\r\nhi")


# Guards against a call that waits for its deadline, or an answer that reaches a client,
# when the server has answered without a real status.
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600"])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_answer_without_a_real_status_fails_at_once(status, method):
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        servers = [await deployment.add("list", retry_slack=100.0) for _ in range(2)]
        await deployment.wait_until_connected()
        servers[0].server.answer = lambda exchange: answer_without_status(
            exchange, status
        )
        statuses = set()
        started_s = anyio.current_time()
        for number in range(6):
            target = "/list/1" if method == "GET" else "/book/1"
            answer = await send_as_client(
                front, target, method, request_id=f"r{number}"
            )
            statuses.add(answer.status)
        assert anyio.current_time() - started_s < 0.5
        assert statuses <= ({200} if method == "GET" else {200, 502})

    run(scenario, LIST, BOOK)


@pytest.mark.parametrize(
    "answer",
    [
        lambda exchange: exchange.respond(200, b"", b"unsigned"),
        lambda exchange: exchange.connection.transport.abort(),
        lambda exchange: exchange.connection.transport.write(b"junk\r\n\r\n"),
        lambda exchange: answer_without_status(exchange),
    ],
)
def test_non_idempotent_request_that_may_have_run_is_not_retried(answer):
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        servers = [await deployment.add("list"), await deployment.add("list")]
        await deployment.wait_until_connected()
        for vm in servers:
            vm.server.answer = answer
        outcome = await send_as_client(front, "/book/1", "POST")
        assert outcome.status == 502
        assert sum(len(vm.server.runs) for vm in servers) == 1

    run(scenario, BOOK)


def test_request_is_answered_at_its_timeout():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        back.server.work_s = 5.0
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await send_as_client(front, "/list/1")
        assert answer.status == 504
        assert 0.95 < loop.time() - started_s < 1.4

    run(scenario, LIST)


def test_request_of_a_disconnected_client_is_cancelled_at_the_server():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        back.server.work_s = 5.0
        connection = await connect(front.settings.caller_address)
        connection.send(make_request("GET", "/list/1"), lambda outcome: None)
        with anyio.fail_after(2):
            while not back.server.runs:
                await anyio.sleep(0.01)
        connection.close()
        with anyio.fail_after(0.5):
            while back.node.dispatcher.in_flight:
                await anyio.sleep(0.01)

    run(scenario, LIST)


def test_pipelined_answers_come_in_order():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        waits = iter([0.2, 0.0])

        async def answer_later(exchange) -> None:
            await anyio.sleep(next(waits))
            head = b"eelgrassmount-response-signature: s\r\n"
            exchange.respond(200, head, exchange.target.encode())

        tasks = []
        back.server.answer = lambda exchange: tasks.append(
            asyncio.ensure_future(answer_later(exchange))
        )
        reader, writer = await asyncio.open_connection(
            front.settings.caller_address.host, front.settings.caller_address.port
        )
        writer.write(make_request("GET", "/list/1", request_id="a"))
        writer.write(make_request("GET", "/list/2", request_id="b"))
        received = b""
        with anyio.fail_after(3):
            while b"/list/2" not in received:
                received += await reader.read(4096)
        assert received.index(b"/list/1") < received.index(b"/list/2")
        writer.close()

    run(scenario, LIST)


def test_unexpected_incarnation_runs_nothing_and_is_corrected():
    """Its answer names no service, so that nothing runs before its heartbeat."""

    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        back.server.incarnation = "i-new"
        for _ in range(10):
            answer = await send_as_client(front, "/book/1", "POST")
            assert answer.status == 503
            await anyio.sleep(0.05)
        assert back.server.runs == []
        back.mark_restarted()
        await back.announce()
        with anyio.fail_after(3):
            while (await send_as_client(front, "/book/1", "POST")).status != 200:
                await anyio.sleep(0.05)

    run(scenario, BOOK)


# A server that restarts under its identity must not inherit the draining of the earlier
# start, and calls that ran on the earlier start must not be waited for.


def test_draining_server_gets_calls_again_after_a_restart():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        assert (await send_as_client(front, "/list/1")).status == 200
        await back.announce(draining=True)
        assert (await send_as_client(front, "/list/1")).status == 503
        earlier = await back.restart_server()
        assert (await back.announce()).status == 200
        assert (await send_as_client(front, "/list/1")).status == 200
        assert len(earlier.runs) == len(back.server.runs) == 1

    run(scenario, LIST)


@pytest.mark.parametrize("disconnected", [True, False])
def test_request_run_by_the_earlier_start_is_not_sent_to_the_later_one(disconnected):
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        # Neither start answers: without the restart, the request would end with 504.
        back.server.answer = lambda exchange: None
        async with anyio.create_task_group() as group:

            async def restart() -> None:
                with anyio.fail_after(2):
                    while not back.server.runs:
                        await anyio.sleep(0.01)
                earlier.append(back.server)
                if disconnected:
                    await back.restart_server()
                else:
                    back.mark_restarted()
                await back.announce()

            earlier = []
            group.start_soon(restart)
            answer = await send_as_client(front, "/book/1", "POST")
        assert answer.status == 502
        assert earlier[0].runs == ["a1"]
        back.server.answer = None
        retried = await send_as_client(front, "/book/2", "POST")
        assert retried.status == 200
        runs = earlier[0].runs if back.server is earlier[0] else back.server.runs
        assert len(runs) == (1 if disconnected else 2)

    run(scenario, BOOK)


def test_other_nodes_discard_the_load_of_the_earlier_start():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        answers = iter([200, 500, 500])
        back.server.answer = lambda exchange: exchange.respond(
            next(answers), b"eelgrassmount-response-signature: s\r\n"
        )
        for _ in range(3):
            await send_as_client(front, "/book/1", "POST")
        load = front.node.state.members.by_name["node-2"].load
        with anyio.fail_after(3):
            while not (load.run_s and load.failure_share):
                await anyio.sleep(0.01)
        await back.restart_server()
        await back.announce()
        with anyio.fail_after(1):
            while load.run_s or load.failure_share:
                await anyio.sleep(0.01)
        assert load.accepting

    run(scenario, BOOK)


def test_node_that_starts_after_its_server_restarted_learns_the_start():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        assert (await send_as_client(front, "/list/1")).status == 200
        await back.announce(draining=True)
        first_ms = back.started_ms
        back.node.end()
        await back.restart_server()
        await anyio.sleep(0.05)
        back.node = build_relay(back.settings)
        await start_relay(back.node, deployment.group)
        server = back.node.state.server
        with anyio.fail_after(3):
            # The health check names the identity without the start.
            while server.incarnation is None:
                await anyio.sleep(0.01)
        assert server.incarnation.started_ms == UNKNOWN_START
        await back.announce()
        assert server.incarnation.started_ms == back.started_ms > first_ms
        with anyio.fail_after(5):
            while (await send_as_client(front, "/list/1")).status != 200:
                await anyio.sleep(0.02)
        assert len(back.server.runs) == 1

    run(scenario, LIST)


def test_non_idempotent_call_survives_a_broken_link():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        back.server.work_s = 0.4
        connection = await connect(front.settings.caller_address)
        data = make_request("POST", "/book/1")
        async with anyio.create_task_group() as group:

            async def break_link() -> None:
                with anyio.fail_after(2):
                    while not back.server.runs:
                        await anyio.sleep(0.01)
                for link in list(back.node.inbound.connections):
                    link.abort()

            group.start_soon(break_link)
            answer = await send(connection, data)
        assert answer.status == 200
        assert back.server.runs == ["a1"]

    run(scenario, BOOK)


def test_invalid_record_does_not_affect_the_others():
    async def scenario(deployment: Deployment) -> None:
        vm = await deployment.add("list")
        await deployment.wait_until_connected()
        for key in ("learned/calls", "node-9"):
            deployment.log.put("keyed.nodes", key, b"\xff\xff no record")
        await deployment.add("front")
        await deployment.wait_until_connected()
        assert vm.node.state.members.by_name.keys() == {"node-1", "node-2"}

    run(scenario, LIST)


def test_new_node_reads_the_learned_calls_from_the_log():
    async def scenario(deployment: Deployment) -> None:
        first = await deployment.add("list")
        await deployment.wait_until_connected()
        calls = {"shop.example/list/": {"shop.example/book/": 2.0}}
        record = ttypes.LearnedRecord(write_rows(calls))
        deployment.log.put("keyed.nodes", LEARNED_KEY, encode_struct(record))
        late = await deployment.add("front")
        for vm in (late, first):
            graph = vm.node.state.graph
            with anyio.fail_after(3):
                while graph.calls_per_run != calls:
                    await anyio.sleep(0.02)
            assert graph.is_called_by_servers("shop.example/book/")

    run(scenario, LIST, BOOK)


def test_stopping_node_answers_accepted_requests():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        back.server.work_s = 0.3
        connection = await connect(front.settings.caller_address)
        future = asyncio.get_running_loop().create_future()
        connection.send(make_request("GET", "/list/1"), future.set_result)
        with anyio.fail_after(2):
            while not back.server.runs:
                await anyio.sleep(0.01)
        front.node.state.stopping = True
        front.node.callers.stopping = True
        ready = await request(front.settings.ready_address, "GET", "/ready")
        assert ready.status == 503
        answer = await asyncio.wait_for(future, 3)
        assert not isinstance(answer, ExchangeFailure)
        assert answer.status == 200
        assert dict(answer.headers)[b"connection"] == b"close"

    run(scenario, LIST)


def test_server_of_a_stopping_node_serves_other_nodes_until_its_clients_stop():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        deployment.group.start_soon(stop_relay, back.node)
        deployment.vms.remove(back)
        served_s = 0.0
        while back.node.inbound.accepting:
            answer = await send_as_client(front, "/list/1")
            if answer.status == 200:
                served_s = loop.time() - started_s
            await anyio.sleep(0.05)
        assert CLIENT_DRAIN_S - 2 * PEER_DRAIN_S < served_s < CLIENT_DRAIN_S
        await anyio.sleep(0.1)
        # The node accepts no more calls, and other nodes know this before sending any.
        runs = len(back.server.runs)
        assert (await send_as_client(front, "/list/1")).status == 503
        assert len(back.server.runs) == runs
        await anyio.sleep(PEER_DRAIN_S + 0.2)
        back.server.listener.end()

    run(scenario, LIST)


def test_node_that_starts_without_the_log_gets_the_configuration_from_others():
    async def scenario(deployment: Deployment) -> None:
        await deployment.add("list")
        late = await deployment.add("list")
        await deployment.wait_until_connected()
        deployment.log.fault = LogFault.UNAVAILABLE
        late.node.end()
        deployment.vms.pop()
        await anyio.sleep(0.05)
        restarted = build_relay(late.settings)
        await start_relay(restarted, deployment.group)
        restarted.state.server.apply_answer_identity(late.server.incarnation)
        with anyio.fail_after(5):
            while not restarted.is_ready():
                await anyio.sleep(0.02)
        restarted.end()
        late.server.listener.end()

    run(scenario, LIST)


def test_request_to_a_node_without_a_link_opens_one():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        member = front.node.state.members.by_name["node-2"]
        member.link.close()
        member.link = None
        assert (await send_as_client(front, "/list/1")).status == 200
        assert len(back.server.runs) == 1

    run(scenario, LIST)


def test_requests_create_no_reference_cycles():
    async def scenario(deployment: Deployment) -> None:
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        back.server.work_s = 0.02
        address = front.settings.caller_address
        gc.collect()
        gc.disable()
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            for method, target in (("GET", "/list/1"), ("POST", "/book/1")):
                for abandoned in (False, True):
                    connection = await connect(address)
                    ended = anyio.Event()
                    connection.send(
                        make_request(method, target), lambda _, ended=ended: ended.set()
                    )
                    if abandoned:
                        await anyio.sleep(0.01)
                        connection.close()
                    await ended.wait()
                    connection.close()
                    del connection
            await anyio.sleep(0.1)
            gc.collect()
            uncollected = {type(garbage).__name__ for garbage in gc.garbage}
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.enable()
        assert not uncollected & {
            "PendingRequest",
            "Job",
            "Call",
            "ReceivedCall",
            "Exchange",
            "ServerConnection",
        }

    run(scenario, LIST, BOOK)
