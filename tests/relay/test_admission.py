"""Admission by what a request leads to."""

from __future__ import annotations

import math
import random

import pytest
from attrs import evolve

from eelgrassmount.policy.piles import Demand
from eelgrassmount.relay.admission import (
    MAX_CHAIN_DEPTH,
    Admission,
    CallGraph,
)
from eelgrassmount.relay.routes import Route, RouteTable
from eelgrassmount.teams.directory import Team, TeamDirectory
from tests.relay.samples import make_route, make_table

BOOK = make_route("shop/book/", ("desk",), idempotent=False, priority=0)
STATUS = make_route("shop/status/", ("proof",), priority=1)
PRICE = make_route("shop/price/", ("rate",), priority=2)
PART = make_route("shop/part/", ("proof",), priority=1)
TABLE = make_table(BOOK, STATUS, PRICE, PART)


def demand(route: Route) -> Demand:
    return Demand(route.name, route.priority)


def make_admission(level: float, book: int = 10, status: int = 10, price: int = 20):
    graph = CallGraph()
    graph.set_calls(BOOK.name, {PART.name: 2.0})
    graph.set_calls(PRICE.name, {PART.name: 1.0})
    levels = {"proof": level}
    admission = Admission(graph, lambda service: levels.get(service, 1.0))
    for route, count in ((BOOK, book), (STATUS, status), (PRICE, price)):
        for _ in range(count):
            admission.allows(demand(route))
    # 20 calls of bookings, then 10 of status checks, then 20 of price lists
    admission.update(TABLE)
    return admission


def test_everything_is_admitted_while_nothing_is_short():
    admission = make_admission(1.0)
    assert all(admission.allows(demand(route)) for route in (BOOK, STATUS, PRICE))


@pytest.mark.parametrize(
    ("level", "book", "status", "price"),
    [
        (0.8, 1.0, 1.0, 0.5),
        (0.6, 1.0, 1.0, 0.0),
        (0.5, 1.0, 0.5, 0.0),
        (0.2, 0.5, 0, 0),
    ],
)
def test_least_urgent_calls_of_the_short_service_go_first(level, book, status, price):
    shares = make_admission(level).admitted_fractions
    assert shares[demand(BOOK)] == pytest.approx(book)
    assert shares[demand(STATUS)] == pytest.approx(status)
    assert shares[demand(PRICE)] == pytest.approx(price)


def test_share_is_divided_evenly():
    admission = make_admission(0.8)
    assert sum(admission.allows(demand(PRICE)) for _ in range(100)) == 50


def test_scarcest_service_decides():
    admission = make_admission(0.8)
    admission.find_admitted_fraction = {
        "proof": 0.8,
        "rate": 0.25,
        "desk": 1.0,
    }.__getitem__
    admission.update(TABLE)
    assert admission.admitted_fractions[demand(PRICE)] == pytest.approx(0.25)


def test_nothing_is_refused_before_calls_of_servers_are_known():
    admission = Admission(CallGraph(), lambda service: 0.1)
    admission.allows(demand(PRICE))
    admission.update(TABLE)
    assert admission.allows(demand(PRICE))


def test_calls_are_counted_along_the_whole_chain():
    graph = CallGraph()
    graph.set_calls("shop/price/", {"shop/book/": 3.0})
    graph.set_calls("shop/book/", {"shop/part/": 2.0})
    calls = graph.count_calls_by_service(PRICE, TABLE)
    assert calls == {"rate": 1.0, "desk": 3.0, "proof": 6.0}


def test_cycle_of_calls_ends():
    graph = CallGraph()
    graph.set_calls("shop/price/", {"shop/book/": 1.0})
    graph.set_calls("shop/book/", {"shop/price/": 1.0})
    assert graph.count_calls_by_service(PRICE, TABLE).keys() == {"rate", "desk"}


def make_chain() -> tuple[CallGraph, RouteTable]:
    book = make_route("shop/book/", objective_s=1.5, timeout_s=0.8)
    listing = make_route("shop/list/", objective_s=0.8)
    part = make_route("shop/part/", objective_s=0.3)
    status = make_route("shop/status/", objective_s=0.15)
    graph = CallGraph()
    graph.set_calls("shop/book/", {"shop/list/": 2.0})
    graph.set_calls("shop/list/", {"shop/part/": 4.0})
    return graph, make_table(book, listing, part, status)


def test_time_of_a_request_is_divided_among_its_calls():
    graph, table = make_chain()
    allowed = {
        name: graph.find_time_allowance(route, table)
        for name, route in table.routes.items()
    }
    assert allowed["shop/book/"] == pytest.approx(0.8)
    assert allowed["shop/list/"] == pytest.approx(0.8 * 5 / 11)
    assert allowed["shop/part/"] == pytest.approx(0.8 / 11)
    assert allowed["shop/status/"] == pytest.approx(0.15)


def test_division_follows_what_is_learned_and_ends_in_a_circle():
    graph, table = make_chain()
    part = table.routes["shop/part/"]
    before = graph.find_time_allowance(part, table)
    graph.set_calls("shop/list/", {"shop/part/": 1.0})
    assert graph.find_time_allowance(part, table) > before
    graph.set_calls("shop/part/", {"shop/list/": 1.0})
    assert 0.0 < graph.find_time_allowance(part, table) <= 0.3


class CountedVectors(dict):
    """Vectors that count how often one is looked up."""

    def __init__(self):
        super().__init__()
        self.lookups = 0

    def get(self, *arguments):
        self.lookups += 1
        return super().get(*arguments)


def test_chains_of_routes_that_call_each_other_are_followed_once_at_each_depth():
    """Each way through the calls was followed on its own.

    Eight routes that are all taken for callers of the seven others took 176,472
    look-ups, anew after each second in which vectors were learned.
    """
    routes = [make_route(f"shop/{number}/", (f"s{number}",)) for number in range(8)]
    table = make_table(*routes)
    graph = CallGraph(CountedVectors())
    for route in routes:
        called = {one.name: 0.5 for one in routes if one is not route}
        graph.set_calls(route.name, called)
    graph.calls_per_run.lookups = 0
    counts = graph.count_calls_by_service(routes[0], table)
    # to the seven others, and back and on from each
    assert counts["s1"] == pytest.approx(sum(find_share(depth) for depth in range(7)))
    assert graph.find_time_allowance(routes[0], table) > 0.0
    assert graph.calls_per_run.lookups < 1000


def test_chains_of_many_routes_are_followed_once_for_all():
    """The chain of each route was followed on its own, anew each second.

    With 350 routes of which half call four of one another this took 155 ms of the
    event loop, and with 1,000 routes 1.1 s, in which a node answers nothing.
    """
    routes = [make_route(f"shop/{number}/", (f"s{number}",)) for number in range(60)]
    table = make_table(*routes)
    graph = CallGraph(CountedVectors())
    for number, route in enumerate(routes):
        called = {routes[(number + step) % 60].name: 1.0 for step in (1, 2, 3, 4)}
        graph.set_calls(route.name, called)
    graph.calls_per_run.lookups = 0
    for route in routes:
        assert sum(
            graph.count_calls_by_service(route, table).values()
        ) == pytest.approx(5461)
    assert graph.calls_per_run.lookups <= 60 * (MAX_CHAIN_DEPTH + 1)


def find_share(depth: int, times: float = 1.0, here: bool = False) -> float:
    """Return the calls of one of eight routes after so many steps from another."""
    if depth == 0:
        return times if here else 0.0
    if here:
        return 7 * find_share(depth - 1, times / 2, False)
    back = find_share(depth - 1, times / 2, True)
    return back + 6 * find_share(depth - 1, times / 2, False)


def test_requests_of_routes_that_left_are_forgotten():
    admission = make_admission(0.5)
    for route in (STATUS, PRICE):
        admission.allows(demand(route))
    assert admission._credits.keys() == {demand(STATUS), demand(PRICE)}
    admission.update(make_table(BOOK, STATUS))
    assert admission.request_counts.keys() == {demand(BOOK), demand(STATUS)}
    assert admission._credits.keys() == {demand(STATUS)}


# A record of learned calls by another writer may name routes that all call each other.
# To follow each chain took 7 s of processor time with 11 routes, in which the node did
# nothing else; with 40 it would not have ended.
def test_routes_that_all_call_each_other_are_counted():
    routes = [make_route(f"shop/r{number}/", ("desk",)) for number in range(40)]
    table = make_table(*routes)
    graph = CallGraph()
    for route in routes:
        others = [one.name for one in routes if one is not route]
        graph.calls_per_run[route.name] = dict.fromkeys(others, 1.0)
    chains = sum(39.0**depth for depth in range(MAX_CHAIN_DEPTH + 1))
    assert graph.count_calls_by_service(routes[0], table) == {"desk": chains}
    # the chains of all are as long, so that none is a part of another's
    assert graph.find_time_allowance(routes[0], table) == routes[0].objective_s


def test_calls_of_calls_are_counted_along_the_chain():
    graph = CallGraph()
    graph.set_calls(BOOK.name, {PART.name: 2.0, "shop/gone/": 5.0})
    graph.set_calls(PART.name, {PRICE.name: 3.0, PART.name: 9.0})
    graph.set_calls(PRICE.name, {BOOK.name: 0.0})
    found = graph.count_calls_by_service(BOOK, TABLE)
    assert found == {"desk": 1.0, "proof": 2.0, "rate": 6.0}
    # 0.4 s are for a booking, 5 others of no known size, and 2 parts of 4 runs
    share = 4.0 / (1.0 + 5.0 + 2.0 * (1.0 + 3.0))
    assert graph.find_time_allowance(PART, TABLE) == pytest.approx(0.4 * share)


def test_route_is_not_cut_before_it_is_known_to_be_used_by_clients():
    """Calls of servers were cut as if they were requests, in the first seconds."""
    admission = make_admission(0.6)
    admission.is_client_route = lambda name: name == STATUS.name
    assert not all(make_admission(0.6).allows(demand(PRICE)) for _ in range(10))
    assert all(admission.allows(demand(PRICE)) for _ in range(10))


def test_shares_follow_what_is_offered_to_all_nodes():
    """One node of 195 sees a few requests a second, and not the mix of all."""
    admission = make_admission(0.6, book=1, status=0, price=3)
    admission.find_offered_rates = lambda: {
        demand(BOOK): 10.0,
        demand(STATUS): 10.0,
        demand(PRICE): 20.0,
    }
    admission.update(TABLE)
    assert admission.admitted_fractions[demand(BOOK)] == 1.0
    assert admission.admitted_fractions[demand(STATUS)] == pytest.approx(1.0)
    assert admission.admitted_fractions[demand(PRICE)] == 0.0


def test_requests_of_a_more_urgent_team_are_cut_after_all_others():
    """Its price lists stay while the bookings of others are cut."""
    admission = make_admission(1.0)
    first = Team("first", priority=0)
    second = Team("second", priority=1)
    offered = {
        Demand(route.name, TABLE.find_rank(route, team)): 10.0
        for route in (BOOK, PRICE)
        for team in (first, second)
    }
    admission.find_offered_rates = lambda: offered
    admission.find_admitted_fraction = lambda service: (
        0.75 if service == "proof" else 1.0
    )
    admission.update(TABLE)
    shares = [
        admission.admitted_fractions[one]
        for one in sorted(offered, key=lambda d: d.rank)
    ]
    # of 60 calls, 30 are of the first team, 20 of the second's bookings
    assert shares == pytest.approx([1.0, 1.0, 0.75, 0.0])


def test_first_requests_of_many_nodes_are_cut_in_proportion():
    """Nodes that began alike refused all first requests, or none."""
    admitted = 0
    for seed in range(1000):
        admission = make_admission(0.8, price=0)
        admission.rng = random.Random(seed)
        admission.find_offered_rates = lambda: {demand(BOOK): 10.0, demand(PRICE): 20.0}
        admission.find_admitted_fraction = lambda service: (
            0.7 if service == "proof" else 1.0
        )
        admission.update(TABLE)
        admitted += admission.allows(demand(PRICE))
    # bookings take half of the pile and price lists the other half
    assert 0.9 * 400 < admitted < 1.1 * 400


def test_limit_of_calls_is_the_least_of_their_routes():
    graph = CallGraph()
    table = make_table(BOOK, make_route("shop/part/", timeout_s=0.7), PRICE)
    assert graph.find_call_timeout(BOOK.name, table) == math.inf
    graph.set_calls(BOOK.name, {"shop/part/": 2.0, PRICE.name: 1.0, "shop/gone/": 1.0})
    assert graph.find_call_timeout(BOOK.name, table) == 0.7
    assert graph.find_call_timeout(PRICE.name, table) == math.inf


def make_keyed_table() -> RouteTable:
    keyed = [evolve(route, needs_key=True) for route in (BOOK, STATUS, PRICE)]
    table = make_table(*keyed, PART)
    table.teams = TeamDirectory.build([])
    return table


def offer_unknown(table: RouteTable) -> Admission:
    admission = Admission(CallGraph(), lambda name: 0.5 if name == "proof" else 1.0)
    for route, count in ((BOOK, 20), (STATUS, 10), (PRICE, 20)):
        for _ in range(count):
            admission.allows(demand(route))
    admission.update(table)
    return admission


# In the first seconds of a surge no calls were known: a thousand bookings were begun
# and lost at the scarce service while price lists were admitted that lead there too.
def test_least_urgent_requests_are_cut_before_calls_are_known():
    shares = offer_unknown(make_keyed_table()).admitted_fractions
    assert shares[demand(BOOK)] == 1.0
    assert shares[demand(STATUS)] == pytest.approx(0.5)
    assert shares[demand(PRICE)] == 0.0


def test_route_that_is_known_to_make_no_calls_is_left_alone():
    table = make_keyed_table()
    admission = offer_unknown(table)
    admission.graph.learned_routes.add(PRICE.name)
    admission.update(table)
    assert demand(PRICE) not in admission.admitted_fractions


def test_without_keys_calls_can_not_be_told_from_requests():
    table = make_table(BOOK, STATUS, PRICE, PART)
    assert offer_unknown(table).admitted_fractions == {}
