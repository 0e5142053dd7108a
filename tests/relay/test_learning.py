"""Call vectors that nodes learn from their counts and report to each other."""

from __future__ import annotations

import pytest

from eelgrassmount.policy.service_load import combine_server_loads
from eelgrassmount.relay.admission import CallGraph
from eelgrassmount.relay.admitted_fractions import AdmittedFractions
from eelgrassmount.relay.control_loop import ControlLoop
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.learning import (
    LEARNING_PERIOD_S,
    MIN_SETTLED_RUNS,
    update_call_graph,
    update_request_counts,
)
from eelgrassmount.relay.links import MAX_LINKS_PER_SERVICE, LinkManager
from eelgrassmount.relay.measures import RunMeasures
from eelgrassmount.relay.members import MemberLoad, MemberTable
from eelgrassmount.relay.routes import RouteTable
from eelgrassmount.relay.rows import read_rows, write_rows
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.relay.shared_state import SharedState
from eelgrassmount.util.addresses import Address
from tests.relay.samples import make_route, make_table


def make_state(now: list[float]) -> SharedState:
    server = LocalServer("desk", Address("127.0.0.1", 80))
    members = MemberTable()
    state = SharedState(
        "own", "i", "a:1", "near", server, members, CallGraph(), lambda: now[0], None
    )
    state.table = make_table(make_route("shop/book/"), make_route("shop/part/"))
    return state


def test_runs_and_calls_of_a_node_become_a_vector():
    now = [1.0]
    state = make_state(now)
    front = state.members.put("front", "a:1", "near", "front")
    front.load.request_counts = {"shop/book/": 20.0}
    for _ in range(40):
        state.record_call("shop/book/")
        now[0] += 0.05
        state.learner.start_run("shop/book/")
        state.record_call("shop/part/")
        state.record_call("shop/part/")
        now[0] += 0.05
        state.learner.finish_run("shop/book/")
        update_request_counts(state)
    update_call_graph(state)
    calls = state.graph.calls_per_run["shop/book/"]
    assert calls["shop/part/"] == pytest.approx(2.0, abs=0.1)
    assert state.graph.is_called_by_servers("shop/part/")
    assert not state.graph.is_called_by_servers("shop/book/")


def test_links_are_kept_only_to_services_in_use():
    state = make_state([1.0])
    services = [f"s{number}" for number in range(20)]
    routes = [make_route(f"shop/{name}/", (name,)) for name in services]
    state.table = make_table(*routes)
    for name in services:
        state.members.put(f"node-{name}", "a:1", "near", name)
    links = LinkManager(state, None)
    assert links._find_needed_services() == set()
    state.record_call("shop/s3/")
    state.graph.set_calls("shop/s3/", {"shop/s7/": 1.0})
    update_request_counts(state)
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


def make_control_loop(state: SharedState, inbound: FakeInbound) -> ControlLoop:
    return ControlLoop(
        state,
        FakeGate(),
        inbound,
        AdmittedFractions(state).update,
        lambda table: None,
    )


@pytest.mark.parametrize(("callers", "reports"), [(0, 60), (16, 60), (64, 15)])
def test_reports_to_many_callers_are_sent_less_often(callers, reports):
    inbound = FakeInbound(callers)
    state = make_state([1.0])
    state.local_vectors = {"shop/book/": {"shop/part/": 2.0}}
    control_loop = make_control_loop(state, inbound)
    for _ in range(60):
        control_loop.step()
    assert len(inbound.reports) == reports
    with_rows = [report for report in inbound.reports if report.calls]
    assert 6 <= len(with_rows) <= 12


def test_vectors_survive_encoding():
    vectors = {"shop/book/": {"shop/part/": 2.0, "shop/list/": 1.0}, "shop/part/": {}}
    assert read_rows(write_rows(vectors)) == vectors


def test_node_that_learned_a_wrong_caller_is_outvoted():
    state = make_state([1.0])
    for name, calls in (("a", {"shop/part/": 4.0}), ("b", {}), ("c", {})):
        member = state.members.put(name, f"{name}:1", "near", "desk")
        member.load.vectors = {"shop/book/": calls}
    state.graph.set_calls("shop/book/", {"shop/part/": 4.0})
    update_call_graph(state)
    assert state.graph.calls_per_run["shop/book/"] == {}


def test_received_vectors_are_not_forwarded_and_corrections_apply():
    state = make_state([1.0])
    member = state.members.put("a", "a:1", "near", "desk")
    inbound = FakeInbound(1)
    control_loop = make_control_loop(state, inbound)
    member.load.vectors = {"shop/book/": {"shop/part/": 4.0}}
    update_call_graph(state)
    assert state.graph.calls_per_run["shop/book/"] == {"shop/part/": 4.0}
    assert control_loop.make_report(True).calls == []
    member.load.vectors = {"shop/book/": {}}
    update_call_graph(state)
    assert state.graph.calls_per_run["shop/book/"] == {}


def test_node_that_has_just_started_uses_known_vectors():
    now = [1.0]
    state = make_state(now)
    state.graph.set_calls("shop/book/", {"shop/part/": 2.0})
    for _ in range(40):
        state.learner.start_run("shop/book/")
        now[0] += 0.01
        state.learner.finish_run("shop/book/")
    update_call_graph(state)
    assert state.graph.calls_per_run["shop/book/"] == {"shop/part/": 2.0}
    assert state.local_vectors == {}
    now[0] += LEARNING_PERIOD_S
    update_call_graph(state)
    assert state.graph.calls_per_run["shop/book/"] == {}


def test_links_to_a_large_service_are_chosen_again_when_its_nodes_change():
    state = make_state([1.0])
    for number in range(MAX_LINKS_PER_SERVICE + 8):
        state.members.put(f"n{number}", f"a:{number}", "near", "list")
    links = LinkManager(state, None)
    chosen = links._select_members("list")
    assert len(chosen) == MAX_LINKS_PER_SERVICE
    assert links._select_members("list") is chosen
    state.members.remove(chosen[0].name)
    chosen_again = links._select_members("list")
    assert len(chosen_again) == MAX_LINKS_PER_SERVICE
    assert chosen[0] not in chosen_again


class FakeLink:
    def __init__(self):
        self.sent = []

    def is_up(self):
        return True

    def send(self, kind, struct):
        self.sent.append(kind)


def make_overloaded_service(now: list[float]):
    state = make_state(now)
    member = state.members.put("a", "a:1", "near", "list")
    member.link = FakeLink()
    member.load = MemberLoad(limit=10, demand=2.0, reported_s=now[0])
    admission = AdmittedFractions(state)
    for _ in range(20):
        admission.update()
    assert state.get_admitted_fraction("list") < 0.5
    assert member.link.sent == []
    return state, member, admission


def test_node_requests_reports_while_a_service_is_overloaded():
    now = [1.0]
    _, member, admission = make_overloaded_service(now)
    now[0] += 2.0
    admission.update()
    assert member.link.sent == [FrameKind.PING]
    member.load.reported_s = now[0]
    admission.update()
    assert member.link.sent == [FrameKind.PING]


def test_admitted_fraction_rises_while_a_service_sends_no_reports():
    now = [1.0]
    state, member, admission = make_overloaded_service(now)
    member.link = None
    now[0] += 2.0
    for _ in range(40):
        admission.update()
    assert state.get_admitted_fraction("list") == 1.0


def test_stopping_server_counts_neither_for_demand_nor_for_capacity():
    state = make_state([1.0])
    leaving = state.members.put("a", "a:1", "near", "list")
    staying = state.members.put("b", "b:1", "near", "list")
    for member, accepting, demand in ((leaving, False, 0.0), (staying, True, 1.6)):
        member.load.limit = 10
        member.load.reported_s = 1.0
        member.load.accepting = accepting
        member.load.demand = demand
    admission = AdmittedFractions(state)
    admission.update()
    assert state.get_admitted_fraction("list") < 1.0


def test_slots_of_a_failing_server_do_not_count():
    loads = [MemberLoad(limit=10, demand=1.2) for _ in range(3)]
    idle = MemberLoad(limit=10, demand=0.1)
    before = combine_server_loads([*loads, idle]).demand
    idle.failure_share = 0.6
    assert before < 1.0
    assert combine_server_loads([*loads, idle]).demand > 1.15


def test_slots_count_if_all_servers_fail_alike():
    loads = [MemberLoad(limit=10, demand=0.6, failure_share=0.5) for _ in range(3)]
    assert combine_server_loads(loads).demand == pytest.approx(0.6)


def test_slots_count_if_runs_fail_by_their_calls():
    """Guards against discounting the slots of servers for failures of their calls."""
    idle = MemberLoad(limit=10, demand=0.5)
    lost = [MemberLoad(limit=10, demand=0.5, lost_share=0.8) for _ in range(15)]
    assert combine_server_loads([idle, *lost]).demand == pytest.approx(0.5)


def test_service_that_cannot_be_reached_admits_nothing():
    """Guards against admitting requests whose later calls would find no server."""
    now = [10.0]
    state = make_state(now)
    state.graph.set_calls("shop/book/", {"shop/part/": 4.0})
    members = [state.members.put(name, f"{name}:1", "far", "part") for name in "ab"]
    admission = AdmittedFractions(state)
    members[0].mark_unreachable(now[0])
    admission.update()
    assert state.get_admitted_fraction("part") == 1.0
    members[1].load.accepting = False
    members[1].load.reported_s = now[0]
    admission.update()
    assert state.get_admitted_fraction("part") == 0.0
    members[0].mark_reachable()
    admission.update()
    assert state.get_admitted_fraction("part") == 1.0


def test_no_service_is_unreachable_without_a_configuration():
    """Guards against a warning on the local service at each start."""
    state = make_state([10.0])
    state.table = RouteTable()
    member = state.members.put("own", "a:1", "near", "desk")
    member.load.accepting = False
    member.load.reported_s = 10.0
    AdmittedFractions(state).update()
    assert state.unreachable == set()


def test_requests_with_keys_count_as_requests_of_clients_at_once():
    state = make_state([1.0])
    state.learner.start_run("shop/part/")
    state.record_client_request("shop/book/")
    assert "shop/book/" in state.client_routes
    assert state.new_requests == {"shop/book/": 1}
    # Nor as calls of the runs in flight.
    assert not state.learner._calls


def test_route_with_many_runs_and_no_calls_is_settled():
    state = make_state([1.0])
    state.cluster_counts.runs = {
        "shop/book/": MIN_SETTLED_RUNS,
        "shop/part/": MIN_SETTLED_RUNS - 1,
    }
    update_call_graph(state)
    assert state.graph.learned_routes == {"shop/book/"}
