"""How many calls of which route one run of a route makes."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.estimates import Sample, estimate_rates, find_errors
from eelgrassmount.relay.states import (
    StateTable,
    fade_table,
    reshape_table,
    round_count,
    trim_table,
)

if TYPE_CHECKING:
    from collections.abc import Callable


# counts of calls are taken over so long
REQUEST_COUNT_INTERVAL_S = 0.25
# what was counted fades with this factor at each solution, once a second
FADE = 0.97
# fewer calls a run than this are taken for coincidence
MIN_CALLS_PER_RUN = 0.3
# fewer than this are not even possible callers
MIN_POSSIBLE = 0.1
# multiple of its standard error that a rate has to reach
MIN_SIGNIFICANCE = 4.0
# runs that a route must have had before its vector is believed
MIN_RUNS = 20.0
# routes that are told apart: a solution takes time with their square, and a server runs
# few
MAX_PLACES = 16
# fading runs with which a route is told apart from then on, and below which no longer:
# a route with a third of MIN_RUNS may still make calls that others would be blamed for
ENTER_RUNS = 4.0
LEAVE_RUNS = 2.0
# of more routes, one has to have so many times the runs of another to take its place
DISPLACING_TIMES = 2.0
# states that are told apart, the most frequent ones: more of them make calls per run
# more exact, and take time
MAX_STATES = 1000
# called routes are looked at until so many terms were gone through; the next have their
# turn after the node has answered others
MAX_TERMS = 4000
# fading runs or calls that are as good as none
FORGET_COUNT = 0.5
# called routes whose calls are kept by state
MAX_CALLED = 16
# calls that are told to others, at least so many: fewer were hardly taken for those of
# the run
LEAST_CALLS = 0.1
# calls of all nodes' runs together from which on a route is taken for their caller: the
# count is then four times its own error
SURE_CALLS = 16.0


@define(eq=False)
class VectorLearner:
    """Learns the calls per run from what is in flight when a call is made.

    The node beside a server sees its runs and the calls that leave its VM, but
    not which run makes which call. A call can only come from a run in flight, so
    that for each route that is called, the rate of calls is a sum over the routes
    that run, each with its number of runs in flight times a rate of its own. The
    most likely rates are found by expectation and maximization over the states,
    which are the numbers of runs in flight::

        learner.begin("book")
        learner.note_call("list")
        learner.note_call("list")
        learner.end("book")

    Only routes that run often enough have a place in the states. A route that ran
    a few times can't be judged, and its calls are too few to be blamed on others.
    """

    clock: Callable[[], float]
    _recent: dict[str, float] = field(factory=dict)
    _running: dict[str, int] = field(factory=dict)
    _places: dict[str, int] = field(factory=dict)
    _in_flight: list[int] = field(factory=list)
    _begun: list[float] = field(factory=list)
    _spans: StateTable = field(factory=dict)
    _calls: dict[str, StateTable] = field(factory=dict)
    _rates: dict[str, dict[str, float]] = field(factory=dict)
    _counts: dict[str, dict[str, float]] = field(factory=dict)
    _found: dict[str, dict[str, float]] = field(factory=dict)
    _inner: set[str] = field(factory=set)
    _due: list[str] = field(factory=list)
    _shape: list[str] = field(factory=list)
    _state: tuple[int, ...] = ()
    _since_s: float = 0.0

    def start_run(self, route_name: str) -> None:
        """Note that a run starts."""
        recent = self._recent.get(route_name, 0.0) + 1.0
        self._recent[route_name] = recent
        room = len(self._places) < MAX_PLACES
        if recent >= ENTER_RUNS and room and route_name not in self._places:
            self._add(route_name)
        self._running[route_name] = self._running.get(route_name, 0) + 1
        place = self._places.get(route_name)
        if place is not None:
            self._begun[place] += 1.0
            self._in_flight[place] += 1
            self._move()

    def finish_run(self, route_name: str) -> None:
        """Note that a run has ended."""
        running = self._running[route_name] - 1
        if running:
            self._running[route_name] = running
        else:
            del self._running[route_name]
        place = self._places.get(route_name)
        if place is not None:
            self._in_flight[place] -= 1
            self._move()

    def record_call(self, route_name: str) -> None:
        """Note that a request was sent from this VM."""
        if not any(self._state):
            return
        states = self._calls.get(route_name)
        if states is None:
            if len(self._calls) >= MAX_CALLED and route_name not in self._inner:
                return
            states = self._calls[route_name] = {}
        states[self._state] = states.get(self._state, 0.0) + 1.0

    def solve(self, inner: set[str]) -> dict[str, dict[str, float]]:
        """Return the calls per run, by route that runs and route that is called.

        Only routes in ``inner``, which clients don't use, are looked at: as many as
        take little time, the others when `continue_solving` is called before the next time.
        """
        self._inner = inner
        self._move()
        self._choose_places()
        self._choose_called()
        called = inner & self._calls.keys()
        self._found = {name: one for name, one in self._found.items() if name in called}
        # those that have waited longest are last
        self._due = [
            *reversed(self._found),
            *sorted(called - self._found.keys(), reverse=True),
        ]
        spans = self._read_spans()
        self._look_at_next(spans)
        vectors: dict[str, dict[str, float]] = {
            name: {}
            for name, place in self._places.items()
            if self._begun[place] >= MIN_RUNS and spans.sum_column(place) > 0
        }
        for called, callers in self._found.items():
            for name in callers.keys() & vectors.keys():
                vectors[name][called] = callers[name]
        self._fade()
        return vectors

    def list_runs(self) -> dict[str, float]:
        """Return the fading number of runs of each route that is told apart."""
        return {name: self._begun[place] for name, place in self._places.items()}

    def list_calls(self) -> dict[tuple[str, str], float]:
        """Return how many calls of each route the runs of each have made together.

        A few runs show little alone, and those of many nodes together what all do.
        """
        return {
            (name, called): count
            for called, counts in self._counts.items()
            for name, count in counts.items()
            if name in self._places and count >= LEAST_CALLS
        }

    def continue_solving(self) -> None:
        """Look at the next called routes unless all have had their turn."""
        if self._due:
            self._move()
            self._look_at_next(self._read_spans())

    def _look_at_next(self, spans: Sample) -> None:
        terms = 0
        while self._due and terms < MAX_TERMS:
            called = self._due.pop()
            table = self._read_table(self._calls[called])
            # the latest goes to the end
            self._found.pop(called, None)
            self._found[called] = self._find_callers(called, table, spans)
            terms += (len(spans.states) + len(table)) * len(self._places)

    def _read_spans(self) -> Sample:
        return Sample.read(self._read_table(self._spans), len(self._places))

    def _read_table(self, table: StateTable) -> StateTable:
        """Return a table with all places, also those since the last solution."""
        if list(self._places) != self._shape:
            table = reshape_table(table, range(len(self._places)))
        return trim_table(table, MAX_STATES)

    def _find_callers(
        self, called: str, table: StateTable, spans: Sample
    ) -> dict[str, float]:
        """Return how many calls of a route one run of each route makes."""
        places = self._places
        exposures = [spans.sum_column(place) for place in places.values()]
        known = self._rates.get(called)
        before = None if known is None else [known.get(name) for name in places]
        rates = estimate_rates(Sample.read(table, len(places)), exposures, before)
        self._rates[called] = dict(zip(places, rates, strict=True))
        self._counts[called] = {
            name: rates[place] * exposures[place] for name, place in places.items()
        }
        errors = find_errors(spans, table, rates)
        found = {}
        for name, place in places.items():
            per_run = rates[place] * exposures[place] / max(self._begun[place], 1.0)
            if per_run >= MIN_POSSIBLE and self._begun[place] >= MIN_RUNS:
                found[name] = per_run
        sure = {
            name: per_run
            for name, per_run in found.items()
            if per_run >= MIN_CALLS_PER_RUN
            and rates[places[name]] >= MIN_SIGNIFICANCE * errors[places[name]]
        }
        # while nothing is sure, each route may be the one that calls: to take
        # a route for a caller costs less than to admit what can't be finished
        return sure or found

    def _add(self, route_name: str) -> None:
        running = self._running.get(route_name, 0)
        self._places[route_name] = len(self._places)
        self._in_flight.append(running)
        # half of the calls of those that run already have been made on the mean
        self._begun.append(running / 2)

    def _move(self) -> None:
        now_s = self.clock()
        state = self._state
        if any(state):
            self._spans[state] = self._spans.get(state, 0.0) + now_s - self._since_s
        self._since_s = now_s
        self._state = tuple(map(round_count, self._in_flight))

    def _choose_places(self) -> None:
        """Tell the busiest routes apart, and give all states the same places."""
        before = list(self._places)
        chosen = self._find_busiest()
        kept = [name for name in before if name in chosen]
        places = [self._places[name] for name in kept]
        self._in_flight = [self._in_flight[place] for place in places]
        self._begun = [self._begun[place] for place in places]
        self._places = {name: place for place, name in enumerate(kept)}
        for name in sorted(chosen - self._places.keys()):
            # no state has had it
            places.append(len(before) + len(places))
            self._add(name)
        if list(self._places) != self._shape:
            self._reshape(places)
        self._state = tuple(map(round_count, self._in_flight))

    def _find_busiest(self) -> set[str]:
        """Return the routes to be told apart from now on."""
        weights = {}
        for name, runs in self._recent.items():
            if name in self._places:
                if runs >= LEAVE_RUNS or name in self._running:
                    weights[name] = runs * DISPLACING_TIMES
            elif runs >= ENTER_RUNS:
                weights[name] = runs
        return set(sorted(weights, key=weights.__getitem__)[-MAX_PLACES:])

    def _reshape(self, places: list[int]) -> None:
        """Bring the states from the places that they had to the present ones."""
        self._shape = list(self._places)
        self._spans = reshape_table(self._spans, places)
        self._calls = {
            called: reshape_table(table, places)
            for called, table in self._calls.items()
        }

    def _choose_called(self) -> None:
        """Keep the tables of the routes that are called most, with few states each."""
        counts = {called: sum(table.values()) for called, table in self._calls.items()}
        ranked = sorted(counts, key=lambda name: (name in self._inner, counts[name]))
        self._calls = {
            called: trim_table(self._calls[called], MAX_STATES)
            for called in ranked[-MAX_CALLED:]
            if counts[called] >= FORGET_COUNT
        }
        self._rates = {
            called: rates
            for called, rates in self._rates.items()
            if called in self._calls
        }
        self._counts = {
            called: counts
            for called, counts in self._counts.items()
            if called in self._calls and called in self._inner
        }
        self._spans = trim_table(self._spans, MAX_STATES)

    def _fade(self) -> None:
        self._begun = [count * FADE for count in self._begun]
        self._recent = {
            name: runs * FADE
            for name, runs in self._recent.items()
            if runs * FADE >= FORGET_COUNT or name in self._running
        }
        self._spans = fade_table(self._spans, FADE)
        self._calls = {
            called: fade_table(table, FADE) for called, table in self._calls.items()
        }


def merge_vectors(
    learned: list[dict[str, dict[str, float]]],
) -> dict[str, dict[str, float]]:
    """Return, for each route, the median of what several nodes have learned.

    A node that takes a route for a caller by mistake is outvoted; a call that is
    not in a node's vector counts as none.
    """
    merged: dict[str, dict[str, float]] = {}
    for name in {name for vectors in learned for name in vectors}:
        found = [vectors[name] for vectors in learned if name in vectors]
        medians = {
            called: median(calls.get(called, 0.0) for calls in found)
            for called in {called for calls in found for called in calls}
        }
        merged[name] = {
            called: count for called, count in medians.items() if count >= MIN_POSSIBLE
        }
    return merged


def pool_vectors(
    runs: dict[str, float], calls: dict[tuple[str, str], float]
) -> dict[str, dict[str, float]]:
    """Return the calls per run from the runs and calls of many nodes together.

    It knows a route after some runs anywhere: on a large fleet, no server soon has the
    runs of a route that it would be judged by alone.
    """
    vectors: dict[str, dict[str, float]] = {
        name: {} for name, count in runs.items() if count >= MIN_RUNS
    }
    for (name, called), count in calls.items():
        per_run = count / max(1.0, runs.get(name, 0.0))
        sure = count >= SURE_CALLS and per_run >= MIN_CALLS_PER_RUN
        if sure and name in vectors:
            vectors[name][called] = per_run
    return vectors
