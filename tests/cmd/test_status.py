"""Output of `status --relay`."""

from __future__ import annotations

from attrs import asdict

from eelgrassmount.cmd.status import _format_relay
from eelgrassmount.compose.relay import build_relay
from eelgrassmount.relay.rejected_messages import MessageKind
from eelgrassmount.relay.status import collect_status
from tests.relay.lone_node import SETTINGS


def test_rejected_messages_are_counted():
    node = build_relay(SETTINGS)
    assert not any("not taken up" in line for line in print_state(node))
    node.rejected_messages.record(
        MessageKind.ANNOUNCEMENT, "10.0.0.1", "body", "not JSON"
    )
    node.rejected_messages.record(MessageKind.NODE, "node-2", "address", "no address")
    assert "not taken up   1 announcement, 1 node-record" in print_state(node)


def print_state(node) -> list[str]:
    return _format_relay(asdict(collect_status(node)))
