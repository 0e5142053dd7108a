"""The status of a node and its display by the status command."""

from __future__ import annotations

import json

import pytest
from attrs import asdict, evolve

from eelgrassmount.cmd import status as status_command
from eelgrassmount.cmd.action import ExitCode
from eelgrassmount.cmd.main import main
from eelgrassmount.compose.relay import build_relay
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.policy.waiting import Visit
from eelgrassmount.relay.heartbeats import Heartbeat, ServerIncarnation
from eelgrassmount.relay.status import collect_status
from eelgrassmount.relay.tallies import Tally
from eelgrassmount.topics.subscriptions import Subscription
from tests.relay.lone_node import SETTINGS

STARTED_MS = 1_700_000_000_123
STARTED = "2023-11-14 22:13:20.123 UTC"


@pytest.fixture
def node():
    return build_relay(evolve(SETTINGS, service="list"))


@pytest.fixture
def show(node, monkeypatch, capsys):
    def run(*arguments: str) -> str:
        state = json.loads(json.dumps(asdict(collect_status(node))))
        monkeypatch.setattr(status_command, "read_admin", lambda address, path: state)
        assert (
            main(["status", "--relay", "127.77.5.1:9464", *arguments]) == ExitCode.DONE
        )
        return capsys.readouterr().out

    return run


# Restarts of a server under one identity must be distinguishable in the status.


def test_status_shows_the_start_of_the_server(node, show):
    node.state.server.apply_heartbeat(
        Heartbeat(ServerIncarnation("i1", STARTED_MS), sequence=1)
    )
    assert f"i1, started {STARTED}, takes work" in show()
    server = json.loads(show("--json"))["server"]
    assert (server["incarnation"], server["started_ms"]) == ("i1", STARTED_MS)


def test_status_shows_that_the_server_or_its_start_is_unknown(node, show):
    assert "server         not known, no work: server-starting" in show()
    assert json.loads(show("--json"))["server"]["started_ms"] == 0
    node.state.server.apply_answer_identity("i1")
    assert "i1, start not known, takes work" in show()


def test_status_lists_the_nodes_that_forward_the_log(node, show):
    node.register_local_node()
    assert "log            heard from nobody" in show()
    reader = Subscription(received_s=node.state.clock(), reads=True)
    node.readers.subscriptions = {"n7": reader, "n9": Subscription()}
    text = show()
    assert "heard from n7 (0.0" in text
    assert "n9 (not yet, can not read it)" in text
    node.readers.reading = True
    assert "log            reachable, read for 0 nodes" in show()
    log = json.loads(show("--json"))["log"]
    assert (log["reading"], log["chosen"], log["next_offset"]) == (True, False, 0)


def test_status_shows_the_groups_that_get_less_than_others(node, show):
    request_class = RequestClass("shop/list/", 2)
    fair_shares = node.admission.fair_shares
    groups = {(request_class, "press"): 60.0, (request_class, "guild"): 5.0}
    counts = Tally(2, {request_class: 100.0}, groups=groups)
    fair_shares.find_cluster_counts = lambda: counts
    fair_shares.update(True, {request_class: 0.7})
    expected = "limited        press on shop/list/ of rank 2: 0.5 of 60.0 requests"
    assert expected in show()
    node.update_gauges()
    assert b'relay_limited_group{group="press"} 0.5' in node.metrics.render()


def test_status_shows_services_that_reject_calls(node, show):
    node.rejections.shares["list"] = 0.55
    assert "rejecting      list: 0.55 of its calls" in show()


def test_status_shows_the_waiting_requests_and_the_returns(node, show):
    node.ingress.waiting_room.outcomes.update(["started", "expired", "started"])
    node.ingress.returns.visits.update([Visit.RETURNING, Visit.NEW])
    line = "0 waiting, 2 of 3 started after a wait, 1 returned, 0 expected"
    assert f"entry          {line}" in show()
    assert json.loads(show("--json"))["entry"]["visits"] == {"returning": 1, "new": 1}
