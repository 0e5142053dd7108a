"""What the listener for announcements takes up, over its socket."""

from __future__ import annotations

import json

from loguru import logger

from eelgrassmount.compose.relay_node import STATE_PATH
from eelgrassmount.compose.relay_run import MAX_BODY_BYTES, METRICS_PORT
from eelgrassmount.util.addresses import Address
from tests.relay.deployment import request
from tests.relay.lone_node import SETTINGS, LoneNode, make_heartbeat, run

HEARTBEAT = "/instances/i-1/heartbeat"


def refuse_all(*calls: tuple[str, bytes]) -> None:
    """Send calls behind a heartbeat, each of which has to change nothing."""

    async def scenario(lone: LoneNode) -> None:
        assert (await lone.announce()).status == 200
        before = lone.read_server_view()
        for target, body in calls:
            answer = await lone.post(target, body)
            assert 400 <= answer.status < 500, (target, body[:60])
            assert answer.body
            assert b"Error" not in answer.body
            assert lone.read_server_view() == before
        assert (await lone.announce(sequence=2)).status == 200
        assert lone.read_server_view() == (*before[:2], 2, *before[3:])

    run(scenario)


# A heartbeat that named another service, under another identity, took the node over:
# it told other nodes that it serves that service and took nothing further from the
# real server, whatever that said.
def test_heartbeat_of_another_service_moves_nobody():
    refuse_all(
        ("/instances/i-2/heartbeat", make_heartbeat(5, service="nobody")),
        ("/instances/i-1/heartbeat", make_heartbeat(5, service="nobody")),
    )


def test_heartbeat_of_another_address_moves_nobody():
    refuse_all(
        ("/instances/i-2/heartbeat", make_heartbeat(5, address="127.0.0.9:8301")),
        ("/instances/i-2/heartbeat", make_heartbeat(5, address="127.0.0.9:1")),
    )


def test_heartbeat_of_another_service_names_no_first_server():
    async def scenario(lone: LoneNode) -> None:
        before = lone.read_server_view()
        assert (await lone.announce("i-2", service="nobody")).status == 421
        assert lone.read_server_view() == before
        assert (await lone.announce()).status == 200
        assert not lone.node.beliefs.server.find_refusal_reason(
            lone.node.beliefs.clock()
        )

    run(scenario)


# An unknown state was taken as serving, slots of -5 or true and a state that was a
# list were answered 200 and used up their sequence; infinite slots and a deep body 500.
def test_heartbeat_that_cannot_be_read_changes_nothing():
    refuse_all(
        (HEARTBEAT, make_heartbeat(9, state="napping")),
        (HEARTBEAT, make_heartbeat(9, state=[])),
        (HEARTBEAT, make_heartbeat(9, slots=-5)),
        (HEARTBEAT, make_heartbeat(9, slots=True)),
        (HEARTBEAT, make_heartbeat(9, slots=float("inf"))),
        (HEARTBEAT, make_heartbeat(9, slots="16")),
        (HEARTBEAT, make_heartbeat("9")),
        (HEARTBEAT, make_heartbeat(9, born="1")),
        (HEARTBEAT, b"[" * 100_000),
        (HEARTBEAT, b"\x80\x01\x00\x01"),
        (HEARTBEAT, b""),
        ("/instances//heartbeat", make_heartbeat(9)),
        ("/instances/i%00/heartbeat", make_heartbeat(9)),
        ("/instances/i-1/leave", b"[" * 100_000),
        ("/instances/i-1/leave", b"\xff"),
        ("/instances//leave", b""),
    )


def test_answer_names_the_field():
    async def scenario(lone: LoneNode) -> None:
        answer = await lone.announce(slots="16")
        assert answer.body == (
            b"heartbeat: can't be read "
            b"(info.slots: give a whole number from 1 to 100000)"
        )
        answer = await lone.announce(service="nobody")
        assert answer.body == (
            b"heartbeat: service 'nobody' is not 'desk', which this node was told"
        )

    run(scenario)


def test_settings_may_move_the_server_to_another_service():
    async def scenario(lone: LoneNode) -> None:
        await lone.announce()
        lone.change_settings(service="ledger")
        # the settings alone move nothing: the server of before may still run
        assert lone.node.beliefs.server.service == "desk"
        assert (await lone.announce(sequence=2)).status == 421
        assert (await lone.announce("i-2", service="ledger")).status == 200
        assert lone.node.beliefs.server.service == "ledger"
        assert lone.node.beliefs.make_hello().service_name == "ledger"

    run(scenario)


def test_settings_are_looked_at_before_a_service_is_refused():
    async def scenario(lone: LoneNode) -> None:
        lone.node.look_at_settings = lambda: lone.change_settings(service="ledger")
        assert (await lone.announce("i-2", service="ledger")).status == 200

    run(scenario)


def test_refused_announcements_are_counted_and_told_once_for_each_cause():
    lines = []
    sink = logger.add(lines.append, level="WARNING")

    async def scenario(lone: LoneNode) -> None:
        for _ in range(3):
            await lone.announce(slots="16")
            await lone.announce(service="nobody")
        address = Address(SETTINGS.peer_address.host, METRICS_PORT)
        state = json.loads((await request(address, "GET", STATE_PATH)).body)
        assert state["refused"] == {"announcement": 6}
        metrics = (await request(address, "GET", "/metrics")).body
        assert b'_relay_refused_total{kind="announcement"} 6.0' in metrics

    try:
        run(scenario)
    finally:
        logger.remove(sink)
    assert sum("not taken up" in line for line in lines) == 2


# Bodies of up to 64 MB were gathered in memory before the first look at them.
def test_very_long_body_is_refused_before_it_is_gathered():
    async def scenario(lone: LoneNode) -> None:
        await lone.announce()
        before = lone.read_server_view()
        answer = await lone.post(HEARTBEAT, b" " * (2 * MAX_BODY_BYTES))
        assert answer.status == 413
        assert lone.read_server_view() == before

    run(scenario)
