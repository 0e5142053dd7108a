"""Vectors that nodes learn from their own counts and tell each other."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.loads import measure_load
from eelgrassmount.relay.admission import CallGraph
from eelgrassmount.relay.beliefs import Beliefs
from eelgrassmount.relay.controllers import Controllers
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.learning import (
    LEARNING_S,
    SETTLED_RUNS,
    apply_vectors,
    count_calls,
)
from eelgrassmount.relay.levels import ServiceLevels
from eelgrassmount.relay.links import MAX_LINKS_PER_SERVICE, LinkManager
from eelgrassmount.relay.measures import RunMeasures
from eelgrassmount.relay.members import MemberLoad, MemberTable
from eelgrassmount.relay.routes import RouteTable
from eelgrassmount.relay.rows import read_rows, write_rows
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.util.addresses import Address
from tests.relay.samples import make_route, make_table


def make_beliefs(now: list[float]) -> Beliefs:
    server = LocalServer("desk", Address("127.0.0.1", 80))
    members = MemberTable()
    beliefs = Beliefs(
        "own", "i", "a:1", "near", server, members, CallGraph(), lambda: now[0], None
    )
    beliefs.table = make_table(make_route("shop/book/"), make_route("shop/part/"))
    return beliefs


def test_runs_and_calls_of_a_node_become_a_vector():
    now = [1.0]
    beliefs = make_beliefs(now)
    front = beliefs.members.put("front", "a:1", "near", "front")
    front.load.called = {"shop/book/": 20.0}
    for _ in range(40):
        beliefs.note_call("shop/book/")
        now[0] += 0.05
        beliefs.learner.begin("shop/book/")
        beliefs.note_call("shop/part/")
        beliefs.note_call("shop/part/")
        now[0] += 0.05
        beliefs.learner.end("shop/book/")
        count_calls(beliefs)
    apply_vectors(beliefs)
    calls = beliefs.graph.vectors["shop/book/"]
    assert calls["shop/part/"] == pytest.approx(2.0, abs=0.1)
    assert beliefs.graph.is_called("shop/part/")
    assert not beliefs.graph.is_called("shop/book/")


def test_links_are_kept_to_the_services_in_use_only():
    beliefs = make_beliefs([1.0])
    services = [f"s{number}" for number in range(20)]
    routes = [make_route(f"shop/{name}/", (name,)) for name in services]
    beliefs.table = make_table(*routes)
    for name in services:
        beliefs.members.put(f"node-{name}", "a:1", "near", name)
    links = LinkManager(beliefs, None)
    assert links._find_needed_services() == set()
    beliefs.note_call("shop/s3/")
    beliefs.graph.put("shop/s3/", {"shop/s7/": 1.0})
    count_calls(beliefs)
    assert links._find_needed_services() == {"s3", "s7"}


class FakeGate:
    in_flight = queued = 0
    measures = RunMeasures()

    def update_load(self):
        pass


class FakeInbound:
    def __init__(self, callers: int):
        self.callers = callers
        self.connections = range(callers)
        self.reports = []

    def count_active_senders(self):
        return self.callers

    def broadcast(self, kind, report, only_active=True):
        self.reports.append(report)


def make_controllers(beliefs: Beliefs, inbound: FakeInbound) -> Controllers:
    return Controllers(
        beliefs,
        FakeGate(),
        inbound,
        ServiceLevels(beliefs).update,
        lambda table: None,
    )


@pytest.mark.parametrize(("callers", "reports"), [(0, 60), (16, 60), (64, 15)])
def test_reports_to_many_callers_are_sent_less_often(callers, reports):
    inbound = FakeInbound(callers)
    beliefs = make_beliefs([1.0])
    beliefs.own_vectors = {"shop/book/": {"shop/part/": 2.0}}
    controllers = make_controllers(beliefs, inbound)
    for _ in range(60):
        controllers.step()
    assert len(inbound.reports) == reports
    with_rows = [report for report in inbound.reports if report.calls]
    assert 6 <= len(with_rows) <= 12


def test_vectors_survive_their_way_to_other_nodes():
    vectors = {"shop/book/": {"shop/part/": 2.0, "shop/list/": 1.0}, "shop/part/": {}}
    assert read_rows(write_rows(vectors)) == vectors


def test_node_that_blames_the_wrong_route_is_outvoted():
    beliefs = make_beliefs([1.0])
    for name, calls in (("a", {"shop/part/": 4.0}), ("b", {}), ("c", {})):
        member = beliefs.members.put(name, f"{name}:1", "near", "desk")
        member.load.vectors = {"shop/book/": calls}
    beliefs.graph.put("shop/book/", {"shop/part/": 4.0})
    apply_vectors(beliefs)
    assert beliefs.graph.vectors["shop/book/"] == {}


def test_what_was_heard_is_not_told_on_and_corrections_are_taken():
    beliefs = make_beliefs([1.0])
    member = beliefs.members.put("a", "a:1", "near", "desk")
    inbound = FakeInbound(1)
    controllers = make_controllers(beliefs, inbound)
    member.load.vectors = {"shop/book/": {"shop/part/": 4.0}}
    apply_vectors(beliefs)
    assert beliefs.graph.vectors["shop/book/"] == {"shop/part/": 4.0}
    assert controllers.make_report(True).calls == []
    member.load.vectors = {"shop/book/": {}}
    apply_vectors(beliefs)
    assert beliefs.graph.vectors["shop/book/"] == {}


def test_node_that_has_just_started_goes_by_what_is_known():
    now = [1.0]
    beliefs = make_beliefs(now)
    beliefs.graph.put("shop/book/", {"shop/part/": 2.0})
    for _ in range(40):
        beliefs.learner.begin("shop/book/")
        now[0] += 0.01
        beliefs.learner.end("shop/book/")
    apply_vectors(beliefs)
    assert beliefs.graph.vectors["shop/book/"] == {"shop/part/": 2.0}
    assert beliefs.own_vectors == {}
    now[0] += LEARNING_S
    apply_vectors(beliefs)
    assert beliefs.graph.vectors["shop/book/"] == {}


def test_links_to_a_large_service_are_chosen_anew_when_its_nodes_change():
    beliefs = make_beliefs([1.0])
    for number in range(MAX_LINKS_PER_SERVICE + 8):
        beliefs.members.put(f"n{number}", f"a:{number}", "near", "list")
    links = LinkManager(beliefs, None)
    chosen = links._select_members("list")
    assert len(chosen) == MAX_LINKS_PER_SERVICE
    assert links._select_members("list") is chosen
    beliefs.members.remove(chosen[0].name)
    again = links._select_members("list")
    assert len(again) == MAX_LINKS_PER_SERVICE
    assert chosen[0] not in again


class FakeLink:
    def __init__(self):
        self.sent = []

    def is_up(self):
        return True

    def send(self, kind, struct):
        self.sent.append(kind)


def make_short_service(now: list[float]):
    beliefs = make_beliefs(now)
    member = beliefs.members.put("a", "a:1", "near", "list")
    member.link = FakeLink()
    member.load = MemberLoad(limit=10, demand=2.0, reported_s=now[0])
    levels = ServiceLevels(beliefs)
    for _ in range(20):
        levels.update()
    assert beliefs.find_level("list") < 0.5
    assert member.link.sent == []
    return beliefs, member, levels


def test_node_asks_for_reports_while_a_service_is_short():
    now = [1.0]
    _, member, levels = make_short_service(now)
    now[0] += 2.0
    levels.update()
    assert member.link.sent == [FrameKind.PING]
    member.load.reported_s = now[0]
    levels.update()
    assert member.link.sent == [FrameKind.PING]


def test_level_rises_while_nothing_is_heard_of_a_service():
    now = [1.0]
    beliefs, member, levels = make_short_service(now)
    member.link = None
    now[0] += 2.0
    for _ in range(40):
        levels.update()
    assert beliefs.find_level("list") == 1.0


def test_server_that_leaves_counts_neither_for_demand_nor_for_room():
    beliefs = make_beliefs([1.0])
    leaving = beliefs.members.put("a", "a:1", "near", "list")
    staying = beliefs.members.put("b", "b:1", "near", "list")
    for member, accepting, demand in ((leaving, False, 0.0), (staying, True, 1.6)):
        member.load.limit = 10
        member.load.reported_s = 1.0
        member.load.accepting = accepting
        member.load.demand = demand
    levels = ServiceLevels(beliefs)
    levels.update()
    assert beliefs.find_level("list") < 1.0


def test_slots_of_a_failing_server_are_not_counted_on():
    loads = [MemberLoad(limit=10, demand=1.2) for _ in range(3)]
    idle = MemberLoad(limit=10, demand=0.1)
    before = measure_load([*loads, idle]).demand
    idle.failure_share = 0.6
    assert before < 1.0
    assert measure_load([*loads, idle]).demand > 1.15


def test_servers_that_all_fail_alike_keep_their_slots():
    loads = [MemberLoad(limit=10, demand=0.6, failure_share=0.5) for _ in range(3)]
    assert measure_load(loads).demand == pytest.approx(0.6)


def test_service_whose_runs_fail_by_their_calls_keeps_its_slots():
    """One idle server made the others seem to have a tenth of their slots."""
    idle = MemberLoad(limit=10, demand=0.5)
    lost = [MemberLoad(limit=10, demand=0.5, lost_share=0.8) for _ in range(15)]
    assert measure_load([idle, *lost]).demand == pytest.approx(0.5)


def test_what_leads_to_a_service_that_cannot_be_reached_is_refused():
    """Requests were begun whose last calls found no server, and were lost."""
    now = [10.0]
    beliefs = make_beliefs(now)
    beliefs.graph.put("shop/book/", {"shop/part/": 4.0})
    members = [beliefs.members.put(name, f"{name}:1", "far", "part") for name in "ab"]
    levels = ServiceLevels(beliefs)
    members[0].note_unreachable(now[0])
    levels.update()
    assert beliefs.find_level("part") == 1.0
    members[1].load.accepting = False
    members[1].load.reported_s = now[0]
    levels.update()
    assert beliefs.find_level("part") == 0.0
    members[0].note_reachable()
    levels.update()
    assert beliefs.find_level("part") == 1.0


def test_node_without_a_configuration_calls_no_service_unreachable():
    """Each node wrote a warning on its own service at its start."""
    beliefs = make_beliefs([10.0])
    beliefs.table = RouteTable()
    member = beliefs.members.put("own", "a:1", "near", "desk")
    member.load.accepting = False
    member.load.reported_s = 10.0
    ServiceLevels(beliefs).update()
    assert beliefs.unreachable == set()


def test_requests_with_keys_are_those_of_clients_from_the_first_on():
    beliefs = make_beliefs([1.0])
    beliefs.learner.begin("shop/part/")
    beliefs.note_client("shop/book/")
    assert "shop/book/" in beliefs.client_routes
    assert beliefs.called == {"shop/book/": 1}
    # they are taken for no calls of what runs here
    assert not beliefs.learner._calls


def test_route_that_ran_often_and_called_nothing_is_settled():
    beliefs = make_beliefs([1.0])
    beliefs.outlook.runs = {"shop/book/": SETTLED_RUNS, "shop/part/": SETTLED_RUNS - 1}
    apply_vectors(beliefs)
    assert beliefs.graph.settled == {"shop/book/"}
