"""Selection of the node that a call is sent to."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from eelgrassmount.relay.members import MemberTable
from eelgrassmount.relay.routing import Router
from tests.relay.samples import make_route

ROUTE = make_route(objective_s=0.2)


class Setup:
    def __init__(self):
        self.now_s = 100.0
        self.members = MemberTable()
        self.router = Router(
            self.members, "local", lambda: self.now_s, random.Random(3)
        )

    def add(self, name: str, domain: str = "local", run_s: float = 0.05, **load):
        member = self.members.put(name, f"{name}:1", domain, "list")
        member.load.limit = 10
        member.load.reported_s = self.now_s
        member.load.run_s = {ROUTE.name: run_s}
        for key, value in load.items():
            setattr(member.load, key, value)
        return member

    def count(self, times: int = 99) -> Counter:
        names = Counter()
        for _ in range(times):
            member = self.router.choose("list", ROUTE, ())
            self.now_s += 0.001
            member.last_used_s = self.now_s
            names[member.name] += 1
        return names


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_local_failure_domain_is_preferred(setup):
    setup.add("a")
    setup.add("b", "remote")
    assert setup.count()["a"] == 99


def test_server_with_a_spent_rate_limit_is_avoided_for_another_failure_domain(setup):
    setup.add("a", limit=0.05, in_flight=1)
    setup.add("b", "remote")
    assert setup.count()["b"] == 99


def test_full_server_is_avoided_for_another_failure_domain(setup):
    setup.add("a", in_flight=10, queued=10)
    setup.add("b", "remote")
    assert setup.count()["b"] == 99


def test_slow_server_is_avoided(setup):
    setup.add("a", run_s=0.2)
    setup.add("b", "remote", run_s=0.05)
    assert setup.count()["b"] == 99


def test_slow_server_is_used_if_its_time_is_far_below_the_objective(setup):
    setup.add("a", run_s=0.045)
    setup.add("b", "remote", run_s=0.015)
    assert setup.count()["a"] == 99


def test_slow_server_is_avoided_if_a_call_has_little_time(setup):
    setup.add("a", run_s=0.045)
    setup.add("b", "remote", run_s=0.015)
    setup.router.find_time_allowance = lambda route: 0.06
    assert setup.count()["b"] == 99


def test_failing_server_is_avoided(setup):
    setup.add("a", failure_share=0.5)
    setup.add("b", "remote")
    assert setup.count()["b"] == 99


def test_calls_since_the_last_report_count_as_load(setup):
    first = setup.add("a", in_flight=9)
    setup.add("b", in_flight=9)
    first.sent_since_report = 20
    assert setup.count()["b"] == 99


def test_server_that_accepts_no_calls_is_excluded(setup):
    setup.add("a", accepting=False)
    assert setup.router.choose("list", ROUTE, ()) is None
    # Old reports are ignored.
    setup.now_s += 10
    assert setup.router.choose("list", ROUTE, ()).name == "a"


def test_excluded_and_unreachable_nodes_get_no_calls(setup):
    setup.add("a")
    lost = setup.add("b")
    lost.mark_unreachable(setup.now_s)
    assert setup.router.choose("list", ROUTE, {"a"}) is None
    lost.mark_reachable()
    assert setup.router.choose("list", ROUTE, {"a"}) is lost


def test_unused_node_is_tried_occasionally(setup):
    setup.add("a")
    setup.add("b", "remote")
    assert setup.count(1000)["b"] > 0


def test_sample_of_a_large_service_follows_the_member_table(setup):
    for number in range(30):
        setup.add(f"a{number}")
        setup.add(f"b{number}", "remote", failure_share=1.0)
    names = setup.count(2000)
    # The failing nodes of the other failure domain are tried only now and then.
    assert set(names) >= {f"a{number}" for number in range(30)}
    assert max(names[f"a{number}"] for number in range(30)) < 3 * 2000 / 30
    for number in range(1, 30):
        setup.members.remove(f"a{number}")
    setup.add("new")
    names = setup.count(200)
    assert {name for name in names if not name.startswith("b")} == {"a0", "new"}
