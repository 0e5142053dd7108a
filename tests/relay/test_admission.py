"""Admission control and the graph of calls that it uses."""

from __future__ import annotations

import math
import random

import pytest
from attrs import evolve

from eelgrassmount.policy.shedding import RequestClass
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


def classify(route: Route) -> RequestClass:
    return RequestClass(route.name, route.priority)


def make_admission(fraction: float, book: int = 10, status: int = 10, price: int = 20):
    graph = CallGraph()
    graph.set_calls(BOOK.name, {PART.name: 2.0})
    graph.set_calls(PRICE.name, {PART.name: 1.0})
    fractions = {"proof": fraction}
    admission = Admission(graph, lambda service: fractions.get(service, 1.0))
    for route, count in ((BOOK, book), (STATUS, status), (PRICE, price)):
        for _ in range(count):
            admission.try_admit(classify(route))
    # The shared service gets 20 calls of bookings, 10 of status checks, 20 of prices.
    admission.update(TABLE)
    return admission


def test_everything_is_admitted_while_no_service_is_overloaded():
    admission = make_admission(1.0)
    assert all(admission.try_admit(classify(route)) for route in (BOOK, STATUS, PRICE))


@pytest.mark.parametrize(
    ("fraction", "book", "status", "price"),
    [
        (0.8, 1.0, 1.0, 0.5),
        (0.6, 1.0, 1.0, 0.0),
        (0.5, 1.0, 0.5, 0.0),
        (0.2, 0.5, 0, 0),
    ],
)
def test_least_urgent_calls_of_an_overloaded_service_are_refused_first(
    fraction, book, status, price
):
    shares = make_admission(fraction).admitted_fractions
    assert shares[classify(BOOK)] == pytest.approx(book)
    assert shares[classify(STATUS)] == pytest.approx(status)
    assert shares[classify(PRICE)] == pytest.approx(price)


def test_admissions_are_spread_evenly():
    admission = make_admission(0.8)
    assert sum(admission.try_admit(classify(PRICE)) for _ in range(100)) == 50


def test_most_overloaded_service_limits_the_requests():
    admission = make_admission(0.8)
    admission.find_admitted_fraction = {
        "proof": 0.8,
        "rate": 0.25,
        "desk": 1.0,
    }.__getitem__
    admission.update(TABLE)
    assert admission.admitted_fractions[classify(PRICE)] == pytest.approx(0.25)


def test_nothing_is_refused_before_downstream_calls_are_known():
    admission = Admission(CallGraph(), lambda service: 0.1)
    admission.try_admit(classify(PRICE))
    admission.update(TABLE)
    assert admission.try_admit(classify(PRICE))


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


def test_time_allowance_follows_learned_calls_and_ends_in_cycles():
    graph, table = make_chain()
    part = table.routes["shop/part/"]
    before = graph.find_time_allowance(part, table)
    graph.set_calls("shop/list/", {"shop/part/": 1.0})
    assert graph.find_time_allowance(part, table) > before
    graph.set_calls("shop/part/", {"shop/list/": 1.0})
    assert 0.0 < graph.find_time_allowance(part, table) <= 0.3


class CountedLookups(dict):
    """A dict that counts its look-ups."""

    def __init__(self):
        super().__init__()
        self.lookups = 0

    def get(self, *arguments):
        self.lookups += 1
        return super().get(*arguments)


def test_chains_of_routes_that_call_each_other_are_followed_once_at_each_depth():
    """Guards against look-ups that grow exponentially if all routes call each other."""
    routes = [make_route(f"shop/{number}/", (f"s{number}",)) for number in range(8)]
    table = make_table(*routes)
    graph = CallGraph(CountedLookups())
    for route in routes:
        called = {one.name: 0.5 for one in routes if one is not route}
        graph.set_calls(route.name, called)
    graph.calls_per_run.lookups = 0
    counts = graph.count_calls_by_service(routes[0], table)
    # Directly, and over longer paths that return to the route.
    assert counts["s1"] == pytest.approx(
        sum(compute_expected_calls(depth) for depth in range(7))
    )
    assert graph.find_time_allowance(routes[0], table) > 0.0
    assert graph.calls_per_run.lookups < 1000


def test_chains_of_many_routes_are_followed_once_for_all():
    """Guards against blocking the event loop for routes with long shared chains."""
    routes = [make_route(f"shop/{number}/", (f"s{number}",)) for number in range(60)]
    table = make_table(*routes)
    graph = CallGraph(CountedLookups())
    for number, route in enumerate(routes):
        called = {routes[(number + step) % 60].name: 1.0 for step in (1, 2, 3, 4)}
        graph.set_calls(route.name, called)
    graph.calls_per_run.lookups = 0
    for route in routes:
        assert sum(
            graph.count_calls_by_service(route, table).values()
        ) == pytest.approx(5461)
    assert graph.calls_per_run.lookups <= 60 * (MAX_CHAIN_DEPTH + 1)


def compute_expected_calls(depth: int, calls: float = 1.0, here: bool = False) -> float:
    """Return the calls of one of eight routes after ``depth`` steps from another."""
    if depth == 0:
        return calls if here else 0.0
    if here:
        return 7 * compute_expected_calls(depth - 1, calls / 2, False)
    back = compute_expected_calls(depth - 1, calls / 2, True)
    return back + 6 * compute_expected_calls(depth - 1, calls / 2, False)


def test_requests_of_removed_routes_are_forgotten():
    admission = make_admission(0.5)
    for route in (STATUS, PRICE):
        admission.try_admit(classify(route))
    assert admission._credits.keys() == {classify(STATUS), classify(PRICE)}
    admission.update(make_table(BOOK, STATUS))
    assert admission.request_counts.keys() == {classify(BOOK), classify(STATUS)}
    assert admission._credits.keys() == {classify(STATUS)}


# Guards against learned calls whose chains take exponential time to count.
def test_routes_that_all_call_each_other_are_counted():
    routes = [make_route(f"shop/r{number}/", ("desk",)) for number in range(40)]
    table = make_table(*routes)
    graph = CallGraph()
    for route in routes:
        others = [one.name for one in routes if one is not route]
        graph.calls_per_run[route.name] = dict.fromkeys(others, 1.0)
    chains = sum(39.0**depth for depth in range(MAX_CHAIN_DEPTH + 1))
    assert graph.count_calls_by_service(routes[0], table) == {"desk": chains}
    # All chains are equally long, so that none is part of another.
    assert graph.find_time_allowance(routes[0], table) == routes[0].objective_s


def test_calls_of_calls_are_counted_along_the_chain():
    graph = CallGraph()
    graph.set_calls(BOOK.name, {PART.name: 2.0, "shop/gone/": 5.0})
    graph.set_calls(PART.name, {PRICE.name: 3.0, PART.name: 9.0})
    graph.set_calls(PRICE.name, {BOOK.name: 0.0})
    found = graph.count_calls_by_service(BOOK, TABLE)
    assert found == {"desk": 1.0, "proof": 2.0, "rate": 6.0}
    # 0.4 s are divided among 1 booking, 5 unknown calls, and 2 parts of 4 runs each.
    share = 4.0 / (1.0 + 5.0 + 2.0 * (1.0 + 3.0))
    assert graph.find_time_allowance(PART, TABLE) == pytest.approx(0.4 * share)


def test_route_is_not_limited_before_it_is_known_to_be_used_by_clients():
    """Guards against refusing downstream calls as if they were client requests."""
    admission = make_admission(0.6)
    admission.is_client_route = lambda name: name == STATUS.name
    assert not all(make_admission(0.6).try_admit(classify(PRICE)) for _ in range(10))
    assert all(admission.try_admit(classify(PRICE)) for _ in range(10))


def test_admitted_fractions_follow_the_load_offered_to_all_nodes():
    """A single node sees too few requests to estimate the mix of all nodes."""
    admission = make_admission(0.6, book=1, status=0, price=3)
    admission.find_offered_rates = lambda: {
        classify(BOOK): 10.0,
        classify(STATUS): 10.0,
        classify(PRICE): 20.0,
    }
    admission.update(TABLE)
    assert admission.admitted_fractions[classify(BOOK)] == 1.0
    assert admission.admitted_fractions[classify(STATUS)] == pytest.approx(1.0)
    assert admission.admitted_fractions[classify(PRICE)] == 0.0


def test_requests_of_a_more_urgent_team_are_refused_after_all_others():
    """All requests of an urgent team have precedence over those of other teams."""
    admission = make_admission(1.0)
    first = Team("first", priority=0)
    second = Team("second", priority=1)
    offered = {
        RequestClass(route.name, TABLE.find_rank(route, team)): 10.0
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
    # 30 of the 60 calls are of the first team, 20 of the bookings of the second.
    assert shares == pytest.approx([1.0, 1.0, 0.75, 0.0])


def test_first_requests_of_many_nodes_are_refused_in_proportion():
    """Guards against nodes that all refuse, or all admit, their first request."""
    admitted = 0
    for seed in range(1000):
        admission = make_admission(0.8, price=0)
        admission.rng = random.Random(seed)
        admission.find_offered_rates = lambda: {
            classify(BOOK): 10.0,
            classify(PRICE): 20.0,
        }
        admission.find_admitted_fraction = lambda service: (
            0.7 if service == "proof" else 1.0
        )
        admission.update(TABLE)
        admitted += admission.try_admit(classify(PRICE))
    # Bookings and price lists each make half of the calls.
    assert 0.9 * 400 < admitted < 1.1 * 400


def test_call_timeout_is_the_shortest_of_the_called_routes():
    graph = CallGraph()
    table = make_table(BOOK, make_route("shop/part/", timeout_s=0.7), PRICE)
    assert graph.find_call_timeout(BOOK.name, table) == math.inf
    graph.set_calls(BOOK.name, {"shop/part/": 2.0, PRICE.name: 1.0, "shop/gone/": 1.0})
    assert graph.find_call_timeout(BOOK.name, table) == 0.7
    assert graph.find_call_timeout(PRICE.name, table) == math.inf
    # Results are kept until the calls or the routes change.
    graph.set_calls(BOOK.name, {PRICE.name: 1.0})
    assert graph.find_call_timeout(BOOK.name, table) == PRICE.timeout_s
    graph.clear_caches()
    assert graph.find_call_timeout(BOOK.name, make_table(BOOK)) == math.inf


def make_keyed_table() -> RouteTable:
    keyed = [evolve(route, needs_key=True) for route in (BOOK, STATUS, PRICE)]
    table = make_table(*keyed, PART)
    table.teams = TeamDirectory.build([])
    return table


def offer_unlearned_routes(table: RouteTable) -> Admission:
    admission = Admission(CallGraph(), lambda name: 0.5 if name == "proof" else 1.0)
    for route, count in ((BOOK, 20), (STATUS, 10), (PRICE, 20)):
        for _ in range(count):
            admission.try_admit(classify(route))
    admission.update(table)
    return admission


# Guards against admitting the wrong requests in the first seconds of a surge,
# before any calls are learned.
def test_least_urgent_requests_are_refused_before_calls_are_known():
    shares = offer_unlearned_routes(make_keyed_table()).admitted_fractions
    assert shares[classify(BOOK)] == 1.0
    assert shares[classify(STATUS)] == pytest.approx(0.5)
    assert shares[classify(PRICE)] == 0.0


def test_route_known_to_make_no_calls_is_not_limited():
    table = make_keyed_table()
    admission = offer_unlearned_routes(table)
    admission.graph.learned_routes.add(PRICE.name)
    admission.update(table)
    assert classify(PRICE) not in admission.admitted_fractions


def test_without_keys_calls_cannot_be_told_from_requests():
    table = make_table(BOOK, STATUS, PRICE, PART)
    assert offer_unlearned_routes(table).admitted_fractions == {}
