"""Messages that the listener for announcements accepts or rejects, over its socket."""

from __future__ import annotations

import json

from loguru import logger

from eelgrassmount.compose.relay_node import STATE_PATH
from eelgrassmount.compose.relay_run import MAX_BODY_BYTES, METRICS_PORT
from eelgrassmount.util.addresses import Address
from tests.relay.deployment import request
from tests.relay.lone_node import SETTINGS, LoneNode, make_heartbeat, run

HEARTBEAT = "/instances/i-1/heartbeat"


def check_all_rejected(*messages: tuple[str, bytes]) -> None:
    """Send messages after a heartbeat; each must be rejected and change nothing."""

    async def scenario(lone: LoneNode) -> None:
        assert (await lone.announce()).status == 200
        before = lone.read_server_view()
        for target, body in messages:
            answer = await lone.post(target, body)
            assert 400 <= answer.status < 500, (target, body[:60])
            assert answer.body
            assert b"Error" not in answer.body
            assert lone.read_server_view() == before
        assert (await lone.announce(sequence=2)).status == 200
        assert lone.read_server_view() == (*before[:2], 2, *before[3:])

    run(scenario)


# A heartbeat of another service must not make the node announce that service and
# reject the messages of its own server.
def test_heartbeat_of_another_service_changes_nothing():
    check_all_rejected(
        ("/instances/i-2/heartbeat", make_heartbeat(5, service="nobody")),
        ("/instances/i-1/heartbeat", make_heartbeat(5, service="nobody")),
    )


def test_heartbeat_of_another_address_changes_nothing():
    check_all_rejected(
        ("/instances/i-2/heartbeat", make_heartbeat(5, address="127.0.0.9:8301")),
        ("/instances/i-2/heartbeat", make_heartbeat(5, address="127.0.0.9:1")),
    )


def test_first_heartbeat_of_another_service_is_rejected():
    async def scenario(lone: LoneNode) -> None:
        before = lone.read_server_view()
        assert (await lone.announce("i-2", service="nobody")).status == 421
        assert lone.read_server_view() == before
        assert (await lone.announce()).status == 200
        assert not lone.node.state.server.find_refusal_reason(lone.node.state.clock())

    run(scenario)


# An invalid heartbeat must neither be acknowledged, nor use up its sequence, nor raise
# an error in the listener.
def test_invalid_heartbeat_changes_nothing():
    check_all_rejected(
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


def test_answer_names_the_invalid_field():
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


def test_changed_settings_allow_a_server_of_another_service():
    async def scenario(lone: LoneNode) -> None:
        await lone.announce()
        lone.change_settings(service="ledger")
        # The settings alone change nothing: the earlier server may still run.
        assert lone.node.state.server.service == "desk"
        assert (await lone.announce(sequence=2)).status == 421
        assert (await lone.announce("i-2", service="ledger")).status == 200
        assert lone.node.state.server.service == "ledger"
        assert lone.node.state.make_hello().service_name == "ledger"

    run(scenario)


def test_settings_are_reloaded_before_a_service_is_rejected():
    async def scenario(lone: LoneNode) -> None:
        lone.node.check_settings = lambda: lone.change_settings(service="ledger")
        assert (await lone.announce("i-2", service="ledger")).status == 200

    run(scenario)


def test_rejected_announcements_are_counted_and_logged_once_per_cause():
    lines = []
    handler = logger.add(lines.append, level="WARNING")

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
        logger.remove(handler)
    assert sum("message rejected" in line for line in lines) == 2


# A body that is too long must be rejected before it fills the memory.
def test_very_long_body_is_rejected_before_it_is_buffered():
    async def scenario(lone: LoneNode) -> None:
        await lone.announce()
        before = lone.read_server_view()
        answer = await lone.post(HEARTBEAT, b" " * (2 * MAX_BODY_BYTES))
        assert answer.status == 413
        assert lone.read_server_view() == before

    run(scenario)
