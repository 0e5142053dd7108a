"""Call budgets of a node under changing load and under failures."""

from __future__ import annotations

import random

import pytest
from attrs import define, evolve, field

from eelgrassmount.entry.call_budget import CallBudget
from eelgrassmount.http1.server import ServerLimits
from eelgrassmount.policy.shedding import RequestClass
from eelgrassmount.relay.admission import CallGraph
from eelgrassmount.relay.members import MAX_REPORT_AGE_S, MemberTable
from eelgrassmount.relay.routes import Route, RouteTable, Service, Target
from eelgrassmount.relay.server import LocalServer
from eelgrassmount.relay.shared_state import SharedState
from eelgrassmount.relay.tallies import Tally
from eelgrassmount.util.addresses import Address

NODES = 10
STEP_S = 0.2
PARTS = Route("part/", "shop", "/part/", True, (Target("part", 1.0),), 1, 1, 2, 0)
BOOK = evolve(PARTS, name="book/", prefix="/book/", targets=(Target("desk", 1.0),))
LIST = evolve(BOOK, name="list/", prefix="/list/", priority=2)
SHEET = evolve(BOOK, name="sheet/", prefix="/sheet/", is_bulk=True)
BOOKS = RequestClass("book/", 0)
LISTS = RequestClass("list/", 2)
# Two servers of 10 slots run a part in 0.1 s.
CAPACITY_PER_S = 200.0


@define(eq=False)
class Entry:
    """A node whose requests lead to two servers of the service "part".

    A booking makes 8 calls, a listing 4.
    """

    routes: tuple[Route, ...] = (PARTS, BOOK, LIST, SHEET)
    now_s: float = 100.0
    rates: dict[RequestClass, float] = field(factory=dict)
    state: SharedState = field(init=False)
    budget: CallBudget = field(init=False)

    def __attrs_post_init__(self) -> None:
        graph = CallGraph({"book/": {"part/": 8.0}, "list/": {"part/": 4.0}})
        server = LocalServer("desk", Address("127.0.0.1", 1))
        self.state = SharedState(
            *("node-1", "1", "127.0.0.1:2", "a", server, MemberTable(), graph),
            lambda: self.now_s,
            random.Random(1),
        )
        services = [Service(name, "/h", 100) for name in ("part", "desk")]
        self.state.table = RouteTable.build(1, self.routes, services, ServerLimits())
        self.state.client_routes = {"book/", "list/"}
        for number in range(NODES):
            service = "part" if number < 2 else "desk"
            self.state.members.put(f"n{number}", f"127.0.0.1:{number}", "a", service)
        self.budget = CallBudget(self.state, lambda: self.rates)

    def report(self, demand: float, wait: float = 0.0) -> None:
        """Let both servers report their load."""
        for member in self.state.members.list_service("part"):
            load = member.load
            load.limit, load.run_s, load.reported_s = 10, {"part/": 0.1}, self.now_s
            load.in_flight = min(10, round(10 * demand))
            load.demand, load.wait = demand, wait

    def offer(self, own: dict[RequestClass, float], total_factor: float) -> None:
        """Set the offered load of this node, and that of all as a multiple of it."""
        self.rates = own
        total = {one: rate * total_factor for one, rate in own.items()}
        self.state.cluster_counts = Tally(NODES, offered=total)

    def send(self, rate: float, request_class: RequestClass, seconds: float) -> int:
        """Send requests at a rate and return how many may start."""
        started = 0
        for number in range(1, int(rate * seconds) + 1):
            self.now_s += 1.0 / rate
            if number % max(1, int(rate * STEP_S)) == 0:
                self.report(demand=1.2)
                self.budget.update()
            started += self.budget.try_take(request_class, self.now_s)
        return started

    def settle(self) -> None:
        """Let the smoothed demand and the tokens settle."""
        for _ in range(100):
            self.now_s += STEP_S
            self.report(demand=1.2)
            self.budget.update()


def make_entry(listings_per_s: float = 10.0) -> Entry:
    """Return a node that sends a tenth of the requests for an overloaded service."""
    entry = Entry()
    entry.offer({LISTS: listings_per_s}, total_factor=NODES)
    entry.settle()
    return entry


def test_node_starts_what_its_share_of_the_service_allows():
    # A tenth of 200 calls per second is five listings per second.
    started = make_entry().send(10.0, LISTS, seconds=10.0)
    assert started == pytest.approx(50, rel=0.15)


def test_surge_does_not_raise_what_starts_before_reports_show_it():
    started = make_entry().send(17.0, LISTS, seconds=2.0)
    assert started <= 16


def test_requests_that_fit_start_as_soon_as_a_surge_has_ended():
    entry = make_entry(listings_per_s=17.0)
    entry.send(17.0, LISTS, seconds=4.0)
    # Reports still show the surge; an admitted fraction would refuse most of them.
    assert entry.send(4.0, LISTS, seconds=2.0) == 8


def test_urgent_requests_start_before_others():
    entry = Entry()
    entry.offer({BOOKS: 2.0, LISTS: 10.0}, total_factor=NODES)
    entry.settle()
    books = lists = 0
    for _ in range(20):
        lists += entry.send(20.0, LISTS, seconds=0.5)
        books += entry.send(4.0, BOOKS, seconds=0.5)
    assert books == 40
    # Of 400 calls in 20 s, the bookings leave 80.
    assert lists == pytest.approx(20, abs=5)


def test_urgent_requests_are_held_back_beyond_the_overdraft():
    entry = Entry()
    entry.offer({BOOKS: 10.0}, total_factor=NODES)
    entry.settle()
    assert entry.send(10.0, BOOKS, seconds=10.0) == pytest.approx(25, abs=5)


def test_idle_service_limits_nothing():
    entry = make_entry()
    entry.report(demand=0.8)
    entry.budget.update()
    assert all(entry.budget.try_take(LISTS, entry.now_s) for _ in range(100))


def test_wait_is_foreseen_behind_others():
    entry = make_entry()
    while entry.budget.try_take(LISTS, entry.now_s):
        pass
    alone_s = entry.budget.estimate_wait_s(LISTS, entry.now_s)
    behind_s = entry.budget.estimate_wait_s(LISTS, entry.now_s, [LISTS] * 5)
    assert 0.0 < alone_s <= 0.25
    # Five listings per second may start.
    assert behind_s == pytest.approx(alone_s + 1.0, rel=0.1)


@pytest.mark.parametrize(("wait", "change"), [(0.0, 0), (2.0, -1)])
def test_requests_that_lack_tokens_correct_the_rate(wait, change):
    entry = make_entry()
    while entry.budget.try_take(LISTS, entry.now_s):
        pass
    entry.budget.update()
    before = entry.budget.budgets["part"].correction
    entry.budget.estimate_wait_s(LISTS, entry.now_s)
    entry.report(demand=1.2, wait=wait)
    entry.budget.update()
    after = entry.budget.budgets["part"].correction
    assert (after > before) - (after < before) == change


def test_those_that_wait_before_take_no_more_than_their_tokens():
    entry = make_entry()
    assert entry.budget.estimate_wait_s(LISTS, entry.now_s, [LISTS]) == 0.0


def test_configuration_without_bulk_routes_has_no_budgets():
    entry = Entry(routes=(PARTS, BOOK, LIST))
    entry.offer({LISTS: 10.0}, total_factor=NODES)
    entry.settle()
    assert not entry.budget.covers(LISTS)


def test_budget_ends_when_the_servers_stop_reporting():
    entry = make_entry()
    assert entry.budget.covers(LISTS)
    entry.now_s += MAX_REPORT_AGE_S + 0.1
    entry.budget.update()
    assert not entry.budget.covers(LISTS)


def test_unreachable_service_is_left_to_the_admitted_fractions():
    entry = make_entry()
    entry.state.unreachable.add("part")
    entry.budget.update()
    assert not entry.budget.covers(LISTS)


def test_node_without_counts_of_others_has_an_equal_share():
    entry = Entry()
    entry.offer({LISTS: 10.0}, total_factor=0.0)
    entry.settle()
    assert entry.send(10.0, LISTS, seconds=10.0) == pytest.approx(50, rel=0.15)


def test_pause_of_the_process_fills_no_more_than_the_bucket():
    entry = make_entry()
    while entry.budget.try_take(LISTS, entry.now_s):
        pass
    entry.now_s += 60.0
    started = sum(entry.budget.try_take(LISTS, entry.now_s) for _ in range(100))
    assert started <= 5


def test_an_estimate_behind_others_does_not_correct_the_capacity():
    """Only requests that lack tokens themselves show that a budget holds back."""
    entry = make_entry()
    entry.now_s += 10.0
    assert entry.budget.estimate_wait_s(LISTS, entry.now_s, [LISTS] * 100) > 0.0
    assert not entry.budget.budgets["part"].held_back
