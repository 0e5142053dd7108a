"""Cleanup of data on routes that were removed from the configuration."""

from __future__ import annotations

import random
import weakref

import pytest
from attrs import evolve

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.compose.relay_run import subscribe_timers
from eelgrassmount.gen import ttypes
from eelgrassmount.http1.client import ClientAnswer
from eelgrassmount.relay.control_loop import MAX_ROWS
from eelgrassmount.relay.frames import encode_struct
from eelgrassmount.relay.heartbeats import Heartbeat, ServerIncarnation
from eelgrassmount.relay.job import Job
from eelgrassmount.relay.learning import update_request_counts
from eelgrassmount.relay.measures import MAX_MEAN_WAIT_S
from eelgrassmount.relay.messages import Reply
from eelgrassmount.relay.routes import RouteTable
from eelgrassmount.relay.rows import write_rows
from eelgrassmount.timers import ManualClock, TimerService
from tests.relay.deployment import make_document, make_rule
from tests.relay.lone_node import SETTINGS
from tests.relay.samples import make_call
from tests.relay.test_dispatcher import SIGNED, FakePool

LIST = make_rule("/list/", "list")
# Calls of this route may take a tenth of the time of others.
PART = make_rule("/part/", "list", targetLatencyMs=30)


class Setup:
    """A node that is not started, with a clock that the test controls."""

    def __init__(self):
        self.node = build_relay(evolve(SETTINGS, service="list"))
        self.node.timers = TimerService(ManualClock(0.0), random.Random(3))
        self.node.state.clock = self.node.timers.read
        subscribe_timers(self.node)
        self.pool = self.node.dispatcher.pool = FakePool()
        self.pool.sweep = lambda: None
        server = self.node.state.server
        incarnation = ServerIncarnation("i1")
        server.apply_heartbeat(Heartbeat(incarnation, service="list", slots=8))
        self.configure(1, LIST, PART)
        names = {route.prefix: route.name for route in self.routes}
        self.list_name = names["/list/"]
        self.part_name = names["/part/"]

    @property
    def routes(self):
        return self.node.state.table.routes.values()

    def configure(self, version: int, *rules) -> None:
        self.node.apply_document(make_document(version, *rules))

    def wait(self, seconds: float) -> None:
        self.node.timers.advance(seconds)

    def start(self, name: str) -> None:
        """Send a request from the VM and start its run."""
        self.node.state.record_call(name)
        route = self.node.state.find_route(name, True)
        call = make_call(route, now_s=self.node.dispatcher.clock())
        self.node.dispatcher.submit(Job(call, self.check_reply))

    def check_reply(self, reply: Reply) -> None:
        assert reply.status == 200

    def run(self, name: str) -> None:
        """Start and finish one run."""
        self.start(name)
        self.pool.open[-1].end(ClientAnswer(200, SIGNED, b""))


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_removed_routes_are_not_reported_and_limit_no_waits(setup):
    """Guards against reports that grow with each route that has ever run.

    A removed route with a short time limit must not limit waits at the dispatcher.
    """
    setup.run(setup.list_name)
    setup.run(setup.part_name)
    setup.wait(1.0)
    report = setup.node.control_loop.make_report(True)
    both = {setup.list_name, setup.part_name}
    assert {time.route_name for time in report.times} == both
    assert {count.route_name for count in report.counts} == both
    short_s = setup.node.dispatcher.measures.compute_max_mean_wait_s()
    assert short_s < MAX_MEAN_WAIT_S
    setup.configure(2, LIST)
    setup.wait(60.0)
    report = setup.node.control_loop.make_report(True)
    assert [time.route_name for time in report.times] == [setup.list_name]
    assert [count.route_name for count in report.counts] == [setup.list_name]
    assert setup.node.dispatcher.measures.compute_max_mean_wait_s() > short_s


def test_run_that_outlasts_its_route_keeps_the_measures_of_the_route(setup):
    setup.run(setup.part_name)
    setup.start(setup.part_name)
    setup.configure(2, LIST)
    setup.wait(3.0)
    assert setup.part_name in setup.node.dispatcher.measures.routes
    setup.pool.open[-1].end(ClientAnswer(200, SIGNED, b""))
    setup.wait(3.0)
    assert setup.part_name not in setup.node.dispatcher.measures.routes


def test_nothing_is_dropped_without_a_configuration(setup):
    setup.run(setup.part_name)
    setup.node.state.table = RouteTable()
    setup.wait(3.0)
    assert setup.part_name in setup.node.dispatcher.measures.routes


def test_counts_of_the_busiest_routes_are_reported_first(setup):
    for number in range(MAX_ROWS):
        setup.node.state.record_call(f"shop/{number}/")
    for _ in range(3):
        setup.node.state.record_call(setup.list_name)
    update_request_counts(setup.node.state)
    counts = setup.node.control_loop.make_report(True).counts
    assert len(counts) == MAX_ROWS
    assert counts[0].route_name == setup.list_name


def test_calls_of_removed_routes_are_dropped(setup):
    """Guards against call vectors that outlive their route.

    Routes that only a removed route called would count as internal for good, and the
    requests of clients for them would be admitted as calls of servers.
    """
    graph = setup.node.state.graph
    learned = {setup.part_name: {setup.list_name: 2.0}}
    for name, calls in learned.items():
        graph.set_calls(name, calls)
    setup.wait(1.0)
    assert graph.is_called_by_servers(setup.list_name)
    setup.configure(2, LIST)
    # Runs that were started earlier still make calls.
    setup.wait(2.0)
    assert graph.is_called_by_servers(setup.list_name)
    setup.wait(60.0)
    assert graph.calls_per_run == {}
    assert not graph.is_called_by_servers(setup.list_name)
    record = ttypes.LearnedRecord(write_rows(learned))
    setup.node.learned.apply(encode_struct(record))
    assert graph.calls_per_run == {}


def test_routes_that_only_other_nodes_know_are_not_stored(setup):
    state = setup.node.state
    route = weakref.ref(state.find_route("shop/new/", True))
    assert route() is None
    assert state.find_route("shop/new/", False).name == "shop/new/"


def test_metrics_of_removed_routes_are_dropped(setup):
    """Guards against metrics that grow with each route that was ever requested."""
    metrics = setup.node.metrics
    for name in (setup.list_name, setup.part_name):
        metrics.count_answer(name, 200, 0.1)
        metrics.count_refusal(name, "overload")
        metrics.count_failure(name, "peer-lost")
        metrics.count_abandoned(name)
    metrics.count_refusal("", "no-route")
    setup.wait(2.0)
    setup.configure(2, LIST)
    setup.wait(2.0)
    # The metrics stay long enough for a last scrape.
    assert setup.part_name in metrics.render().decode()
    setup.wait(60.0)
    text = metrics.render().decode()
    assert setup.part_name not in text
    assert text.count(f'route="{setup.list_name}"') > 20
    assert 'reason="no-route",route=""' in text
    # A route that returns starts from zero.
    metrics.count_abandoned(setup.part_name)
    assert (
        f'abandoned_total{{route="{setup.part_name}"}} 1.0' in metrics.render().decode()
    )
