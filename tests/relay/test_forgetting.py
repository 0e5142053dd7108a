"""What a node keeps of routes that have left the configuration."""

from __future__ import annotations

import random
import weakref

import pytest
from attrs import evolve

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.compose.relay_run import subscribe_timers
from eelgrassmount.gen import ttypes
from eelgrassmount.http1.client import ClientAnswer
from eelgrassmount.relay.controllers import MAX_ROWS
from eelgrassmount.relay.frames import encode_struct
from eelgrassmount.relay.gate import Job
from eelgrassmount.relay.heartbeats import Heartbeat, ServerIncarnation
from eelgrassmount.relay.learning import count_calls
from eelgrassmount.relay.measures import MAX_MEAN_WAIT_S
from eelgrassmount.relay.messages import Reply
from eelgrassmount.relay.routes import RouteTable
from eelgrassmount.relay.rows import write_rows
from eelgrassmount.timers import ManualClock, TimerService
from tests.relay.deployment import make_document, make_rule
from tests.relay.lone_node import SETTINGS
from tests.relay.samples import make_call
from tests.relay.test_gate import SIGNED, FakePool

LIST = make_rule("/list/", "list")
# one call of it may take a tenth of the time of others
PART = make_rule("/part/", "list", targetLatencyMs=30)


class Setup:
    """A node that is not started, on a clock that the test moves."""

    def __init__(self):
        self.node = build_relay(evolve(SETTINGS, service="list"))
        self.node.timers = TimerService(ManualClock(0.0), random.Random(3))
        self.node.beliefs.clock = self.node.timers.read
        subscribe_timers(self.node)
        self.pool = self.node.gate.pool = FakePool()
        self.pool.sweep = lambda: None
        server = self.node.beliefs.server
        incarnation = ServerIncarnation("i1")
        server.apply_heartbeat(Heartbeat(incarnation, service="list", slots=8))
        self.configure(1, LIST, PART)
        names = {route.prefix: route.name for route in self.routes}
        self.list_name = names["/list/"]
        self.part_name = names["/part/"]

    @property
    def routes(self):
        return self.node.beliefs.table.routes.values()

    def configure(self, version: int, *rules) -> None:
        self.node.apply_document(make_document(version, *rules))

    def wait(self, seconds: float) -> None:
        self.node.timers.advance(seconds)

    def start(self, name: str) -> None:
        """Let a request be sent from the VM and a run of it start."""
        self.node.beliefs.note_call(name)
        route = self.node.beliefs.find_route(name, True)
        call = make_call(route, now_s=self.node.gate.clock())
        self.node.gate.offer(Job(call, self.note_reply))

    def note_reply(self, reply: Reply) -> None:
        assert reply.status == 200

    def run(self, name: str) -> None:
        """Let one run start and end."""
        self.start(name)
        self.pool.open[-1].end(ClientAnswer(200, SIGNED, b""))


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_routes_that_left_are_not_reported_and_bind_nothing(setup):
    """A node reported each route that had ever run there, at each step.

    The one with the least time decided how long calls may wait at the gate, even
    once nobody could ask for it any more.
    """
    setup.run(setup.list_name)
    setup.run(setup.part_name)
    setup.wait(1.0)
    report = setup.node.controllers.make_report(True)
    both = {setup.list_name, setup.part_name}
    assert {time.route_name for time in report.times} == both
    assert {count.route_name for count in report.counts} == both
    tight_s = setup.node.gate.measures.allow_mean_wait()
    assert tight_s < MAX_MEAN_WAIT_S
    setup.configure(2, LIST)
    setup.wait(60.0)
    report = setup.node.controllers.make_report(True)
    assert [time.route_name for time in report.times] == [setup.list_name]
    assert [count.route_name for count in report.counts] == [setup.list_name]
    assert setup.node.gate.measures.allow_mean_wait() > tight_s


def test_run_that_outlasts_its_route_is_judged_by_what_is_usual(setup):
    setup.run(setup.part_name)
    setup.start(setup.part_name)
    setup.configure(2, LIST)
    setup.wait(3.0)
    assert setup.part_name in setup.node.gate.measures.routes
    setup.pool.open[-1].end(ClientAnswer(200, SIGNED, b""))
    setup.wait(3.0)
    assert setup.part_name not in setup.node.gate.measures.routes


def test_nothing_is_forgotten_without_a_configuration(setup):
    setup.run(setup.part_name)
    setup.node.beliefs.table = RouteTable()
    setup.wait(3.0)
    assert setup.part_name in setup.node.gate.measures.routes


def test_counts_of_the_busiest_routes_are_told_first(setup):
    for number in range(MAX_ROWS):
        setup.node.beliefs.note_call(f"shop/{number}/")
    for _ in range(3):
        setup.node.beliefs.note_call(setup.list_name)
    count_calls(setup.node.beliefs)
    counts = setup.node.controllers.make_report(True).counts
    assert len(counts) == MAX_ROWS
    assert counts[0].route_name == setup.list_name


def test_calls_of_routes_that_left_are_not_kept(setup):
    """What a route called was kept and told after it had left.

    A route that only it had called stood for calls of servers for good: clients'
    requests for it were admitted as such, and all nodes took the vector up again
    from the log.
    """
    graph = setup.node.beliefs.graph
    learned = {setup.part_name: {setup.list_name: 2.0}}
    for name, calls in learned.items():
        graph.put(name, calls)
    setup.wait(1.0)
    assert graph.is_called(setup.list_name)
    setup.configure(2, LIST)
    # runs that had begun before still make calls
    setup.wait(2.0)
    assert graph.is_called(setup.list_name)
    setup.wait(60.0)
    assert graph.vectors == {}
    assert not graph.is_called(setup.list_name)
    record = ttypes.LearnedRecord(write_rows(learned))
    setup.node.learned.take(encode_struct(record))
    assert graph.vectors == {}


def test_routes_that_only_other_nodes_know_are_not_kept(setup):
    beliefs = setup.node.beliefs
    route = weakref.ref(beliefs.find_route("shop/new/", True))
    assert route() is None
    assert beliefs.find_route("shop/new/", False).name == "shop/new/"


def test_series_of_routes_that_left_are_not_kept(setup):
    """Each route that had ever been asked for kept its series until a restart."""
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
    # time for the last numbers to be read
    assert setup.part_name in metrics.render().decode()
    setup.wait(60.0)
    text = metrics.render().decode()
    assert setup.part_name not in text
    assert text.count(f'route="{setup.list_name}"') > 20
    assert 'reason="no-route",route=""' in text
    # one that comes back begins anew
    metrics.count_abandoned(setup.part_name)
    assert (
        f'abandoned_total{{route="{setup.part_name}"}} 1.0' in metrics.render().decode()
    )
