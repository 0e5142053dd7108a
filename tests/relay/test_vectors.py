"""Estimation of the calls per run."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import pytest

from eelgrassmount.relay import vectors as vectors_module
from eelgrassmount.relay.internal_routes import (
    COUNT_DECAY_FACTOR,
    find_client_routes,
    find_internal_routes,
    update_counts,
)
from eelgrassmount.relay.tallies import ServiceCounts
from eelgrassmount.relay.vectors import (
    MAX_CALLED_ROUTES,
    MAX_STATES,
    MAX_TRACKED_ROUTES,
    VectorLearner,
    pool_vectors,
)


class Load:
    """Runs of several routes that start at random and make their calls in order."""

    def __init__(self, seed: int = 5):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.learner = VectorLearner(lambda: self.now_s)
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()

    def at(self, due_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.due, (due_s, next(self.order), action))

    def add(self, route: str, per_s: float, run_s: float, calls: list[str]) -> None:
        def start() -> None:
            self.learner.start_run(route)
            started_s = self.now_s
            for index, called in enumerate(calls):
                progress = (index + 0.5) / len(calls)
                self.at(
                    started_s + progress * run_s,
                    lambda called=called: self.learner.record_call(called),
                )
            self.at(started_s + run_s, lambda: self.learner.finish_run(route))
            self.at(started_s + self.rng.expovariate(per_s), start)

        self.at(self.now_s + self.rng.expovariate(per_s), start)

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self.due and self.due[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.due)
            action()
        self.now_s = end_s


def test_calls_of_two_routes_are_separated():
    load = Load()
    load.add("book", 40.0, 0.2, ["list", "list"])
    load.add("ledger", 90.0, 0.1, ["list"])
    load.run(8.0)
    vectors = load.learner.solve({"list"})
    assert vectors["book"]["list"] == pytest.approx(2.0, abs=0.6)
    assert vectors["ledger"]["list"] == pytest.approx(1.0, abs=0.4)


def test_estimates_follow_a_change():
    load = Load()
    load.add("book", 60.0, 0.2, ["list"])
    load.add("ledger", 90.0, 0.1, [])
    for _ in range(10):
        load.run(1.0)
        vectors = load.learner.solve({"list"})
    assert vectors["book"]["list"] == pytest.approx(1.0, abs=0.3)
    assert "list" not in vectors["ledger"]
    # From now on, the other route makes the calls.
    load.due.clear()
    load.add("book", 60.0, 0.2, [])
    load.add("ledger", 90.0, 0.1, ["list", "list"])
    for _ in range(150):
        load.run(1.0)
        vectors = load.learner.solve({"list"})
    assert "list" not in vectors["book"]
    assert vectors["ledger"]["list"] == pytest.approx(2.0, abs=0.5)


@pytest.mark.parametrize("seed", range(20))
def test_concurrent_runs_are_not_taken_for_callers(seed):
    load = Load(seed)
    load.add("order", 50.0, 0.06, [])
    load.add("maker", 200.0, 0.12, ["part"] * 4)
    load.run(3.0)
    vectors = load.learner.solve({"part"})
    assert vectors["order"] == {}
    assert vectors["maker"]["part"] == pytest.approx(4.0, abs=1.0)


def test_calls_to_client_routes_are_not_estimated():
    load = Load()
    load.add("book", 40.0, 0.2, ["list", "status"])
    load.run(5.0)
    assert load.learner.solve({"list"})["book"].keys() == {"list"}


def test_few_runs_give_no_vector():
    load = Load()
    load.add("book", 4.0, 0.2, ["list"])
    load.run(2.0)
    assert load.learner.solve({"list"}) == {}


def test_number_of_states_is_limited():
    load = Load()
    for name in "abcd":
        load.add(name, 100.0, 0.5, ["list"])
    load.run(10.0)
    load.learner.solve({"list"})
    assert len(load.learner._durations) <= MAX_STATES


def test_client_routes_are_requested_everywhere():
    request_counts = {
        "desk": ServiceCounts(2, {"book": 56.0, "status": 17.0, "list": 80.0}),
        "rate": ServiceCounts(1, {"book": 18.0, "status": 19.0}),
        "proof": ServiceCounts(1, {"book": 22.0, "status": 18.0, "list": 0.0}),
    }
    assert find_internal_routes(request_counts) == {"list"}


def test_internal_routes_are_found_from_few_counts_on_many_vms():
    """Guards against judging each VM alone on a large deployment.

    Calls of servers would be taken for requests of clients and refused at admission.
    """
    request_counts = {
        "rate": ServiceCounts(88, {"price": 300.0, "book": 130.0, "ledger": 260.0}),
        "desk": ServiceCounts(66, {"price": 220.0, "book": 95.0}),
        "proof": ServiceCounts(15, {"price": 50.0, "book": 22.0}),
    }
    assert find_internal_routes(request_counts) == {"ledger"}


def test_rarely_requested_client_route_is_not_internal():
    request_counts = {
        "rate": ServiceCounts(88, {"price": 300.0, "seldom": 40.0}),
        "proof": ServiceCounts(15, {"price": 50.0}),
    }
    assert find_internal_routes(request_counts) == set()


def test_client_routes_are_known_once_they_are_requested_everywhere():
    request_counts = {
        "rate": ServiceCounts(88, {"price": 300.0, "ledger": 260.0, "new": 8.0}),
        "desk": ServiceCounts(66, {"price": 220.0, "new": 9.0}),
        "proof": ServiceCounts(15, {"price": 50.0}),
    }
    # The new route has too few requests, and only one service requests the ledger.
    assert find_client_routes(request_counts) == {"price"}
    assert find_client_routes({"rate": request_counts["rate"]}) == set()


def test_few_runs_on_each_of_many_nodes_give_a_vector():
    """Guards against slow learning where each node has too few runs to judge alone."""
    load_runs = {"book": 66 * 2.0, "price": 12.0}
    calls = {("book", "list"): 250.0, ("book", "part"): 9.0, ("price", "list"): 12.0}
    vectors = pool_vectors(load_runs, calls)
    assert vectors == {"book": {"list": pytest.approx(250 / 132)}}


def test_counts_of_few_runs_are_reported_without_a_vector():
    load = Load()
    load.add("book", 4.0, 0.2, ["list"])
    load.run(2.0)
    assert load.learner.solve({"list"}) == {}
    runs = load.learner.list_runs()["book"]
    calls = load.learner.list_calls()["book", "list"]
    assert calls == pytest.approx(runs, abs=2.0)


def test_one_service_alone_shows_no_internal_routes():
    request_counts = {"desk": ServiceCounts(1, {"book": 10.0, "list": 80.0})}
    assert find_internal_routes(request_counts) == set()


def test_counts_decay():
    counts: dict[str, float] = {}
    for _ in range(500):
        update_counts(counts, {"book": 5})
    assert counts["book"] == pytest.approx(5 / (1 - COUNT_DECAY_FACTOR), abs=1)


class Counted(float):
    """A number that counts the operations on it and on their results."""

    operations = 0

    @classmethod
    def wrap(cls, name: str):
        plain = getattr(float, name)

        def operate(self, *others):
            cls.operations += 1
            result = plain(self, *others)
            return result if result is NotImplemented else cls(result)

        return operate


for _name in ("add", "radd", "sub", "rsub", "mul", "rmul", "truediv", "rtruediv"):
    setattr(Counted, f"__{_name}__", Counted.wrap(f"__{_name}__"))


class CountedLoad(Load):
    """Runs on a clock whose numbers count the operations on them."""

    def __init__(self, seed: int = 5):
        super().__init__(seed)
        self.learner = VectorLearner(lambda: Counted(self.now_s))

    def run_once(self, route: str) -> None:
        self.learner.start_run(route)
        self.at(self.now_s + 0.05, lambda: self.learner.finish_run(route))

    def count_work(self, seconds: int, internal_routes: set[str]) -> int:
        """Return the operations of the last of several solutions, one per second."""
        for _ in range(seconds):
            self.run(1.0)
            Counted.operations = 0
            self.learner.solve(internal_routes)
        return Counted.operations


def add_busy_routes(load: Load) -> None:
    load.add("book", 8.0, 0.1, ["list"])
    load.add("ledger", 10.0, 0.05, [])
    load.add("status", 6.0, 0.05, [])


def test_work_does_not_grow_with_routes_that_ran_once():
    """Guards against solutions that include every route that has ever run.

    With many such routes, solutions would block the event loop of the node.
    """
    load = CountedLoad()
    add_busy_routes(load)
    busy_only = load.count_work(20, {"list"})
    for number in range(30):
        for times in range(1 + number % 2):
            load.at(
                load.now_s + 0.4 * number + times,
                lambda number=number: load.run_once(f"once-{number}"),
            )
    assert load.count_work(13, {"list"}) < 2.0 * busy_only
    assert load.count_work(60, {"list"}) < 1.5 * busy_only


def test_busy_routes_are_learned_despite_routes_that_ran_once():
    load = CountedLoad()
    load.add("book", 30.0, 0.2, ["list", "list"])
    load.add("ledger", 40.0, 0.1, ["part"])
    load.add("status", 20.0, 0.05, [])
    for number in range(60):
        load.at(
            load.now_s + 0.2 * number,
            lambda number=number: load.run_once(f"once-{number}"),
        )
    for _ in range(15):
        load.run(1.0)
        vectors = load.learner.solve({"list", "part"})
        load.learner.continue_solving()
    assert vectors.keys() == {"book", "ledger", "status"}
    assert vectors["book"] == {"list": pytest.approx(2.0, abs=0.3)}
    assert vectors["ledger"] == {"part": pytest.approx(1.0, abs=0.2)}
    assert vectors["status"] == {}


def test_called_routes_are_estimated_in_turn(monkeypatch):
    load = Load()
    called = [f"part-{number}" for number in range(3)]
    load.add("book", 40.0, 0.2, called)
    load.run(5.0)
    monkeypatch.setattr(vectors_module, "MAX_TERMS_PER_STEP", 1)
    assert load.learner.solve(set(called))["book"].keys() == {"part-0"}
    load.learner.continue_solving()
    load.run(0.2)
    # The route that has waited longest is next.
    assert load.learner.solve(set(called))["book"].keys() == set(called)
    load.learner.continue_solving()
    load.learner.continue_solving()
    load.learner.continue_solving()


def test_all_called_routes_are_estimated_at_once_with_few_states():
    load = Load()
    called = [f"part-{number}" for number in range(3)]
    load.add("book", 40.0, 0.2, called)
    load.run(5.0)
    assert load.learner.solve(set(called))["book"].keys() == set(called)


def test_busiest_of_many_routes_are_tracked():
    load = Load()
    for number in range(2 * MAX_TRACKED_ROUTES):
        load.add(f"rare-{number}", 2.0, 0.1, [])
    load.run(15.0)
    load.learner.solve({"list"})
    load.add("book", 60.0, 0.1, ["list"])
    for _ in range(5):
        load.run(1.0)
        vectors = load.learner.solve({"list"})
    assert len(vectors) <= MAX_TRACKED_ROUTES
    assert vectors["book"]["list"] == pytest.approx(1.0, abs=0.3)


def test_route_does_not_inherit_the_states_of_the_one_it_displaces():
    now = [100.0]
    learner = VectorLearner(lambda: now[0])

    def run(name: str, times: int) -> None:
        for _ in range(times):
            learner.start_run(name)
            learner.record_call("list")
            now[0] += 0.01
            learner.finish_run(name)

    for number in range(MAX_TRACKED_ROUTES - 1):
        run(f"busy-{number}", 30)
    learner.solve({"list"})
    run("late", 4)
    run("busiest", 100)
    learner.solve({"list"})
    run("busiest", 100)
    vectors = learner.solve({"list"})
    assert vectors["busiest"] == {"list": pytest.approx(1.0, abs=0.1)}
    assert "late" not in vectors


def test_number_of_tables_of_called_routes_is_limited():
    load = Load()
    called = [f"part-{number}" for number in range(4 * MAX_CALLED_ROUTES)]
    load.add("book", 20.0, 0.1, called)
    load.add("ledger", 20.0, 0.1, ["list"] * 3)
    load.run(3.0)
    load.learner.solve({"list"})
    load.run(3.0)
    vectors = load.learner.solve({"list"})
    assert len(load.learner._calls) <= MAX_CALLED_ROUTES + 1
    assert vectors["ledger"]["list"] == pytest.approx(3.0, abs=1.0)


def test_run_of_a_dropped_route_finishes_without_error():
    load = Load()
    load.learner.start_run("long")
    load.add("book", 20.0, 0.1, [])
    for _ in range(60):
        load.run(1.0)
        load.learner.solve(set())
    load.learner.finish_run("long")
    for _ in range(60):
        load.run(1.0)
        load.learner.solve(set())
    with pytest.raises(KeyError):
        load.learner.finish_run("long")
