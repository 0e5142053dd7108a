"""Estimation of call vectors: calls per run of a route, by called route."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.estimates import (
    Sample,
    compute_standard_errors,
    estimate_rates,
)
from eelgrassmount.relay.states import (
    StateTable,
    bucket_count,
    decay_table,
    reshape_table,
    trim_table,
)

if TYPE_CHECKING:
    from collections.abc import Callable


# Interval over which requests are counted.
REQUEST_COUNT_INTERVAL_S = 0.25
# Factor by which counts decay at each solution, once a second.
DECAY_FACTOR = 0.97
# Fewer calls per run are not significant.
MIN_CALLS_PER_RUN = 0.3
# Routes with fewer calls per run never count as callers.
MIN_CANDIDATE_CALLS_PER_RUN = 0.1
# Multiple of its standard error that a rate must reach.
MIN_SIGNIFICANCE = 4.0
# Runs of a route from which on its vector is used.
MIN_RUNS = 20.0
# Routes with a place in the states; the time of a solution grows with their square.
MAX_TRACKED_ROUTES = 16
# Decaying runs from which on a route is tracked, and below which it no longer is. Calls
# of untracked routes may be attributed to tracked ones, so a route is tracked long
# before it reaches MIN_RUNS.
MIN_RUNS_TO_TRACK = 4.0
MIN_RUNS_TO_STAY_TRACKED = 2.0
# Factor by which the runs of a route must exceed those of a tracked one to replace it.
DISPLACEMENT_FACTOR = 2.0
# States in a table; only the most frequent ones are stored.
MAX_STATES = 1000
# Limit on the work of one step, so as not to block the event loop; the remaining called
# routes are estimated in later steps.
MAX_TERMS_PER_STEP = 4000
# Decaying counts below this are dropped.
MIN_COUNT = 0.5
# Called routes with a table of calls by state.
MAX_CALLED_ROUTES = 16
# Smallest count of calls that is reported to other nodes.
MIN_REPORTED_CALLS = 0.1
# Calls in the counts of all nodes from which on a route counts as the caller. The count
# is then four times its standard error.
MIN_POOLED_CALLS = 16.0


@define(eq=False, repr=False)
class VectorLearner:
    """Estimates calls per run from the runs in flight when calls are made.

    The node sees the runs of its server and the calls that leave the VM, but not which
    run makes which call. As only runs in flight make calls, the rate of calls to a
    route is the sum over the tracked routes of their runs in flight times an unknown
    rate per run. A state is the number of runs in flight of each tracked route; the
    most likely rates are found by expectation maximization over the states::

        learner.start_run("book")
        learner.record_call("list")
        learner.record_call("list")
        learner.finish_run("book")

    Only routes with enough runs are tracked, that is, have a place in the states.
    Others are too rare to be estimated, and make too few calls to distort the estimates
    of the tracked routes.
    """

    clock: Callable[[], float]
    _recent_runs: dict[str, float] = field(factory=dict)
    _running: dict[str, int] = field(factory=dict)
    _places: dict[str, int] = field(factory=dict)
    _in_flight: list[int] = field(factory=list)
    _run_counts: list[float] = field(factory=list)
    _durations: StateTable = field(factory=dict)
    _calls: dict[str, StateTable] = field(factory=dict)
    _rates: dict[str, dict[str, float]] = field(factory=dict)
    _call_counts: dict[str, dict[str, float]] = field(factory=dict)
    _callers: dict[str, dict[str, float]] = field(factory=dict)
    _internal_routes: set[str] = field(factory=set)
    _pending: list[str] = field(factory=list)
    _table_routes: list[str] = field(factory=list)
    _state: tuple[int, ...] = ()
    _state_since_s: float = 0.0

    def start_run(self, route_name: str) -> None:
        """Record the start of a run."""
        recent = self._recent_runs.get(route_name, 0.0) + 1.0
        self._recent_runs[route_name] = recent
        has_room = len(self._places) < MAX_TRACKED_ROUTES
        if recent >= MIN_RUNS_TO_TRACK and has_room and route_name not in self._places:
            self._track_route(route_name)
        self._running[route_name] = self._running.get(route_name, 0) + 1
        place = self._places.get(route_name)
        if place is not None:
            self._run_counts[place] += 1.0
            self._in_flight[place] += 1
            self._update_state()

    def finish_run(self, route_name: str) -> None:
        """Record the end of a run."""
        running = self._running[route_name] - 1
        if running:
            self._running[route_name] = running
        else:
            del self._running[route_name]
        place = self._places.get(route_name)
        if place is not None:
            self._in_flight[place] -= 1
            self._update_state()

    def record_call(self, route_name: str) -> None:
        """Record a request that was sent from this VM."""
        if not any(self._state):
            return
        states = self._calls.get(route_name)
        if states is None:
            if (
                len(self._calls) >= MAX_CALLED_ROUTES
                and route_name not in self._internal_routes
            ):
                return
            states = self._calls[route_name] = {}
        states[self._state] = states.get(self._state, 0.0) + 1.0

    def solve(self, internal_routes: set[str]) -> dict[str, dict[str, float]]:
        """Return the calls per run, by run route and called route.

        Only calls to ``internal_routes`` are estimated. Work beyond the limit of a step
        is left to `continue_solving`, and its results to the next solution.
        """
        self._internal_routes = internal_routes
        self._update_state()
        self._select_tracked_routes()
        self._select_called_routes()
        called = internal_routes & self._calls.keys()
        self._callers = {
            name: callers for name, callers in self._callers.items() if name in called
        }
        # Estimated from the end of the list: the last route has waited longest.
        self._pending = [
            *reversed(self._callers),
            *sorted(called - self._callers.keys(), reverse=True),
        ]
        durations = self._read_durations()
        self._estimate_pending(durations)
        vectors: dict[str, dict[str, float]] = {
            name: {}
            for name, place in self._places.items()
            if self._run_counts[place] >= MIN_RUNS and durations.sum_column(place) > 0
        }
        for called, callers in self._callers.items():
            for name in callers.keys() & vectors.keys():
                vectors[name][called] = callers[name]
        self._decay()
        return vectors

    def list_runs(self) -> dict[str, float]:
        """Return the decaying number of runs of each tracked route."""
        return {name: self._run_counts[place] for name, place in self._places.items()}

    def list_calls(self) -> dict[tuple[str, str], float]:
        """Return the estimated number of calls by run route and called route.

        These are summed over nodes, as few runs on one node are not significant.
        """
        return {
            (name, called): count
            for called, counts in self._call_counts.items()
            for name, count in counts.items()
            if name in self._places and count >= MIN_REPORTED_CALLS
        }

    def continue_solving(self) -> None:
        """Estimate the callers of pending called routes, if there are any."""
        if self._pending:
            self._update_state()
            self._estimate_pending(self._read_durations())

    def _estimate_pending(self, durations: Sample) -> None:
        terms = 0
        while self._pending and terms < MAX_TERMS_PER_STEP:
            called = self._pending.pop()
            table = self._read_table(self._calls[called])
            # Moves the route to the end, as the latest one.
            self._callers.pop(called, None)
            self._callers[called] = self._find_callers(called, table, durations)
            terms += (len(durations.states) + len(table)) * len(self._places)

    def _read_durations(self) -> Sample:
        return Sample.from_table(self._read_table(self._durations), len(self._places))

    def _read_table(self, table: StateTable) -> StateTable:
        """Return a trimmed table that has the places of all tracked routes."""
        if list(self._places) != self._table_routes:
            table = reshape_table(table, range(len(self._places)))
        return trim_table(table, MAX_STATES)

    def _find_callers(
        self, called: str, table: StateTable, durations: Sample
    ) -> dict[str, float]:
        """Return the calls to a route that one run of each calling route makes."""
        places = self._places
        exposures = [durations.sum_column(place) for place in places.values()]
        known = self._rates.get(called)
        previous = None if known is None else [known.get(name) for name in places]
        rates = estimate_rates(
            Sample.from_table(table, len(places)), exposures, previous
        )
        self._rates[called] = dict(zip(places, rates, strict=True))
        self._call_counts[called] = {
            name: rates[place] * exposures[place] for name, place in places.items()
        }
        errors = compute_standard_errors(durations, table, rates)
        candidates = {}
        for name, place in places.items():
            per_run = (
                rates[place] * exposures[place] / max(self._run_counts[place], 1.0)
            )
            if (
                per_run >= MIN_CANDIDATE_CALLS_PER_RUN
                and self._run_counts[place] >= MIN_RUNS
            ):
                candidates[name] = per_run
        significant = {
            name: per_run
            for name, per_run in candidates.items()
            if per_run >= MIN_CALLS_PER_RUN
            and rates[places[name]] >= MIN_SIGNIFICANCE * errors[places[name]]
        }
        # While no rate is significant, all candidates count as callers: a wrong caller
        # costs less than admitting requests that can't be completed.
        return significant or candidates

    def _track_route(self, route_name: str) -> None:
        running = self._running.get(route_name, 0)
        self._places[route_name] = len(self._places)
        self._in_flight.append(running)
        # On average, runs in flight have half of their calls ahead of them.
        self._run_counts.append(running / 2)

    def _update_state(self) -> None:
        now_s = self.clock()
        state = self._state
        if any(state):
            self._durations[state] = (
                self._durations.get(state, 0.0) + now_s - self._state_since_s
            )
        self._state_since_s = now_s
        self._state = tuple(map(bucket_count, self._in_flight))

    def _select_tracked_routes(self) -> None:
        """Track the busiest routes, and give all states their places."""
        previous = list(self._places)
        selected = self._find_busiest()
        kept = [name for name in previous if name in selected]
        places = [self._places[name] for name in kept]
        self._in_flight = [self._in_flight[place] for place in places]
        self._run_counts = [self._run_counts[place] for place in places]
        self._places = {name: place for place, name in enumerate(kept)}
        for name in sorted(selected - self._places.keys()):
            # An index beyond those in use: no state has runs of this route.
            places.append(len(previous) + len(places))
            self._track_route(name)
        if list(self._places) != self._table_routes:
            self._reshape(places)
        self._state = tuple(map(bucket_count, self._in_flight))

    def _find_busiest(self) -> set[str]:
        """Return the routes to be tracked from now on."""
        weights = {}
        for name, runs in self._recent_runs.items():
            if name in self._places:
                if runs >= MIN_RUNS_TO_STAY_TRACKED or name in self._running:
                    weights[name] = runs * DISPLACEMENT_FACTOR
            elif runs >= MIN_RUNS_TO_TRACK:
                weights[name] = runs
        return set(sorted(weights, key=weights.__getitem__)[-MAX_TRACKED_ROUTES:])

    def _reshape(self, places: list[int]) -> None:
        """Convert the tables from their previous places to the current ones."""
        self._table_routes = list(self._places)
        self._durations = reshape_table(self._durations, places)
        self._calls = {
            called: reshape_table(table, places)
            for called, table in self._calls.items()
        }

    def _select_called_routes(self) -> None:
        """Keep and trim the tables of the most called routes, internal ones first."""
        counts = {called: sum(table.values()) for called, table in self._calls.items()}
        ranked = sorted(
            counts, key=lambda name: (name in self._internal_routes, counts[name])
        )
        self._calls = {
            called: trim_table(self._calls[called], MAX_STATES)
            for called in ranked[-MAX_CALLED_ROUTES:]
            if counts[called] >= MIN_COUNT
        }
        self._rates = {
            called: rates
            for called, rates in self._rates.items()
            if called in self._calls
        }
        self._call_counts = {
            called: counts
            for called, counts in self._call_counts.items()
            if called in self._calls and called in self._internal_routes
        }
        self._durations = trim_table(self._durations, MAX_STATES)

    def _decay(self) -> None:
        self._run_counts = [count * DECAY_FACTOR for count in self._run_counts]
        self._recent_runs = {
            name: runs * DECAY_FACTOR
            for name, runs in self._recent_runs.items()
            if runs * DECAY_FACTOR >= MIN_COUNT or name in self._running
        }
        self._durations = decay_table(self._durations, DECAY_FACTOR)
        self._calls = {
            called: decay_table(table, DECAY_FACTOR)
            for called, table in self._calls.items()
        }


def merge_vectors(
    learned: list[dict[str, dict[str, float]]],
) -> dict[str, dict[str, float]]:
    """Return for each route the median of the vectors of several nodes.

    The median outvotes a node that wrongly takes a route for a caller. A called route
    that is missing in a vector counts as zero calls.
    """
    merged: dict[str, dict[str, float]] = {}
    for name in {name for vectors in learned for name in vectors}:
        known = [vectors[name] for vectors in learned if name in vectors]
        medians = {
            called: median(calls.get(called, 0.0) for calls in known)
            for called in {called for calls in known for called in calls}
        }
        merged[name] = {
            called: count
            for called, count in medians.items()
            if count >= MIN_CANDIDATE_CALLS_PER_RUN
        }
    return merged


def pool_vectors(
    runs: dict[str, float], calls: dict[tuple[str, str], float]
) -> dict[str, dict[str, float]]:
    """Return the calls per run from the summed runs and calls of many nodes.

    On a large deployment, single servers have too few runs of a route to estimate its
    calls soon enough.
    """
    vectors: dict[str, dict[str, float]] = {
        name: {} for name, count in runs.items() if count >= MIN_RUNS
    }
    for (name, called), count in calls.items():
        per_run = count / max(1.0, runs.get(name, 0.0))
        significant = count >= MIN_POOLED_CALLS and per_run >= MIN_CALLS_PER_RUN
        if significant and name in vectors:
            vectors[name][called] = per_run
    return vectors
