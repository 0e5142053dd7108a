"""Tests of crash reports, load reports and restarts of the backend server."""

from __future__ import annotations

import pytest
from attrs import evolve
from loguru import logger

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.gen import ttypes
from eelgrassmount.relay.heartbeats import Heartbeat, ServerIncarnation
from eelgrassmount.relay.job import Job
from tests.relay.lone_node import SETTINGS
from tests.relay.samples import make_call

STARTED_MS = 1_700_000_000_000


@pytest.fixture
def node():
    return build_relay(evolve(SETTINGS, service="list"))


# A crash that is identified without the start time would count once for all restarts of
# a server, and the content that crashes the server would never be quarantined.
def test_crashes_of_two_incarnations_with_one_identity_count_twice(node):
    job = Job(make_call(), lambda reply: None)
    for started_ms in (STARTED_MS, STARTED_MS, STARTED_MS + 1):
        node.peer_updates.handle_crash(ServerIncarnation("i1", started_ms), [job])
    (suspect,) = node.peer_updates.quarantine.suspects.values()
    assert suspect.crashes == 2


def test_report_replaces_values_of_an_earlier_incarnation(node):
    member = node.state.members.put("node-2", "127.77.4.2:7620", "a", "list")
    times = [ttypes.RouteTime("shop/list/", 900.0)]
    load = (False, 7, 3, 90, 2000, 1, times, [], 500_000, [], 1000, 250_000)
    report = ttypes.RelayReport(*load)
    node.peer_updates.handle_report(member, report)
    assert member.load.run_s == {"shop/list/": 0.9}
    node.peer_updates.handle_report(
        member, ttypes.RelayReport(True, 0, 0, 14, 0, 1, [], [], 0, [], 0, 0)
    )
    load = member.load
    assert load.accepting
    assert (load.in_flight, load.queued, load.limit) == (0, 0, 14)
    assert (load.demand, load.wait, load.failure_share) == (0.0, 0.0, 0.0)
    assert load.lost_share == 0.0
    assert load.run_s == {}


def test_measurements_are_reset_when_the_server_restarts(node):
    server = node.state.server
    server.apply_heartbeat(Heartbeat(ServerIncarnation("i1", STARTED_MS), sequence=5))
    node.dispatcher.measures.failure_share = 0.5
    server.apply_heartbeat(Heartbeat(ServerIncarnation("i1", STARTED_MS + 1)))
    assert node.dispatcher.measures.failure_share == 0.0


# A restart under the same identity must not be taken for a late heartbeat.
def test_log_line_of_a_server_restart_names_both_incarnations(node):
    lines = []
    handler = logger.add(lambda line: lines.append(line.record))
    server = node.state.server
    for started_ms in (STARTED_MS, STARTED_MS + 1, STARTED_MS):
        server.apply_heartbeat(Heartbeat(ServerIncarnation("i1", started_ms)))
    logger.remove(handler)
    (line,) = [one for one in lines if one["message"] == "server restarted"]
    assert line["extra"] == {
        "ended": f"i1/{STARTED_MS}",
        "incarnation": f"i1/{STARTED_MS + 1}",
        "cut": 0,
        "queued": 0,
    }


def test_reported_capacity_follows_the_rate_limit_of_the_server(node):
    node.state.members.put("n2", "127.0.0.1:7620", "b", "list")
    member = node.state.members.by_name["n2"]
    server = node.state.server
    server.rate_limit.apply_answer(10.0, sent_s=0.0, now_s=0.0)
    node.dispatcher.measures.mean_run_s = 0.1
    node.peer_updates.handle_report(member, node.control_loop.make_report(False))
    assert member.load.limit == pytest.approx(1.0)
    server.rate_limit.clear()
    node.peer_updates.handle_report(member, node.control_loop.make_report(False))
    assert member.load.limit == server.compute_concurrency_limit()
