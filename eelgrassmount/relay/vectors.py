"""How many calls of which route one run of a route makes."""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

# counts of calls are taken over so long
INTERVAL_S = 0.25
# what was counted fades with this factor at each solution, once a second
FADE = 0.97
# steps of the first estimate; it changes little after that
STEPS = 25
# steps of each further one, which begins with the one before: solved anew each time,
# the estimates added up 45,000 terms a second in a node under load
FURTHER_STEPS = 5
# a rate begins with at least this part of the mean, since none comes back from zero
LEAST_START = 0.05
# fewer calls a run than this are taken for coincidence
MIN_CALLS_PER_RUN = 0.3
# fewer than this are not even possible callers
MIN_POSSIBLE = 0.1
# multiple of its standard error that a rate has to reach
MIN_SIGNIFICANCE = 4.0
# runs that a route must have had before its vector is believed
MIN_RUNS = 20.0
# less information than this is none
MIN_PIVOT = 1e-9
# states that are told apart; more are not needed and would cost time
MAX_STATES = 1500


def round_count(count: int) -> int:
    """Return a number of runs in classes that grow with it."""
    if count < 8:
        return count
    if count < 32:
        return count - count % 4
    return count - count % 16


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
    """

    clock: Callable[[], float]
    _names: list[str] = field(factory=list)
    _running: list[int] = field(factory=list)
    _begun: list[float] = field(factory=list)
    _places: dict[str, int] = field(factory=dict)
    _spans: dict[tuple[int, ...], float] = field(factory=dict)
    _calls: dict[str, dict[tuple[int, ...], float]] = field(factory=dict)
    _rates: dict[str, list[float]] = field(factory=dict)
    _state: tuple[int, ...] = ()
    _since_s: float = 0.0

    def begin(self, route_name: str) -> None:
        """Note that a run starts."""
        place = self._places.get(route_name)
        if place is None:
            place = self._add(route_name)
        self._begun[place] += 1.0
        self._running[place] += 1
        self._move()

    def end(self, route_name: str) -> None:
        """Note that a run has ended."""
        self._running[self._places[route_name]] -= 1
        self._move()

    def note_call(self, route_name: str) -> None:
        """Note that a request was sent from this VM."""
        if not any(self._state):
            return
        states = self._calls.get(route_name)
        if states is None:
            states = self._calls[route_name] = {}
        states[self._state] = states.get(self._state, 0.0) + 1.0

    def solve(self, inner: set[str]) -> dict[str, dict[str, float]]:
        """Return the calls per run, by route that runs and route that is called.

        Only routes in ``inner``, which clients don't use, are looked at.
        """
        self._move()
        spans = [(self._pad(state), span) for state, span in self._spans.items()]
        exposures = [
            sum(state[place] * span for state, span in spans)
            for place in range(len(self._names))
        ]
        vectors: dict[str, dict[str, float]] = {
            name: {}
            for place, name in enumerate(self._names)
            if self._begun[place] >= MIN_RUNS and exposures[place] > 0
        }
        for called in inner & self._calls.keys():
            counts = [
                (self._pad(state), count)
                for state, count in self._calls[called].items()
            ]
            rates = estimate_rates(counts, exposures, self._rates.get(called))
            self._rates[called] = rates
            errors = find_errors(spans, counts, rates)
            found = {
                name: rates[place] * exposures[place] / max(self._begun[place], 1.0)
                for place, name in enumerate(self._names)
                if name in vectors
            }
            found = {name: one for name, one in found.items() if one >= MIN_POSSIBLE}
            sure = {
                name: per_run
                for name, per_run in found.items()
                if per_run >= MIN_CALLS_PER_RUN
                and rates[self._places[name]]
                >= MIN_SIGNIFICANCE * errors[self._places[name]]
            }
            # while nothing is sure, each route may be the one that calls: to take
            # a route for a caller costs less than to admit what can't be finished
            for name, per_run in (sure or found).items():
                vectors[name][called] = per_run
        self._fade()
        return vectors

    def _add(self, route_name: str) -> int:
        place = len(self._names)
        self._places[route_name] = place
        self._names.append(route_name)
        self._running.append(0)
        self._begun.append(0.0)
        return place

    def _move(self) -> None:
        now_s = self.clock()
        state = self._state
        if any(state):
            self._spans[state] = self._spans.get(state, 0.0) + now_s - self._since_s
        self._since_s = now_s
        self._state = tuple(map(round_count, self._running))

    def _pad(self, state: tuple[int, ...]) -> tuple[int, ...]:
        """Return a state from when fewer routes were known with all its places."""
        return state + (0,) * (len(self._names) - len(state))

    def _fade(self) -> None:
        self._begun = [count * FADE for count in self._begun]
        for table in (self._spans, *self._calls.values()):
            for key in table:
                table[key] *= FADE
            if len(table) > MAX_STATES:
                rarest = sorted(table, key=table.__getitem__)
                for key in rarest[: len(table) - MAX_STATES // 2]:
                    del table[key]


def estimate_rates(
    counts: list[tuple[tuple[int, ...], float]],
    exposures: list[float],
    before: list[float] | None = None,
) -> list[float]:
    """Return the most likely calls a second of one run of each route.

    ``counts`` holds how many calls were seen in each state, ``exposures`` the
    seconds of all runs of each route together. ``before`` is an earlier estimate.
    """
    total = sum(exposures)
    calls = sum(count for _, count in counts)
    if total <= 0:
        return [0.0] * len(exposures)
    mean = calls / total
    rates = [mean if exposure > 0 else 0.0 for exposure in exposures]
    steps = STEPS
    if before is not None and len(before) == len(rates):
        rates = [
            max(known, LEAST_START * mean) if exposure > 0 else 0.0
            for known, exposure in zip(before, exposures, strict=True)
        ]
        steps = FURTHER_STEPS
    places = range(len(rates))
    for _ in range(steps):
        credits = [0.0] * len(rates)
        for state, count in counts:
            whole = sum(rates[place] * state[place] for place in places)
            if whole > 0:
                for place in places:
                    credits[place] += count * rates[place] * state[place] / whole
        rates = [
            credit / exposure if exposure > 0 else 0.0
            for credit, exposure in zip(credits, exposures, strict=True)
        ]
    return rates


def find_errors(
    spans: list[tuple[tuple[int, ...], float]],
    counts: list[tuple[tuple[int, ...], float]],
    rates: list[float],
) -> list[float]:
    """Return the standard errors of the rates.

    They follow from the information in the states, widened where calls come more
    unevenly than by chance, as the calls of one run do.
    """
    places = range(len(rates))
    information = [[0.0] * len(rates) for _ in places]
    seen = dict(counts)
    excess = 0.0
    for state, span in spans:
        whole = sum(rate * count for rate, count in zip(rates, state, strict=True))
        if whole <= 0:
            continue
        excess += (seen.get(state, 0.0) - whole * span) ** 2 / (whole * span + 1.0)
        for row in places:
            for column in places:
                information[row][column] += span * state[row] * state[column] / whole
    uneven = math.sqrt(max(1.0, excess / max(1, len(spans) - len(rates))))
    variances = invert_diagonal(information)
    return [math.sqrt(variance) * uneven for variance in variances]


def invert_diagonal(matrix: list[list[float]]) -> list[float]:
    """Return the diagonal of the inverse; infinite where there is none."""
    size = len(matrix)
    rows = [
        [*row, *(float(index == place) for place in range(size))]
        for index, row in enumerate(matrix)
    ]
    found = [True] * size
    for column in range(size):
        pivot = rows[column][column]
        if abs(pivot) < MIN_PIVOT:
            found[column] = False
            continue
        rows[column] = [value / pivot for value in rows[column]]
        for index in range(size):
            factor = rows[index][column]
            if index != column and factor:
                rows[index] = [
                    value - factor * other
                    for value, other in zip(rows[index], rows[column], strict=True)
                ]
    return [
        max(0.0, rows[place][size + place]) if found[place] else math.inf
        for place in range(size)
    ]


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


# counts of calls fade with this factor at each interval: half is gone in 6 s
COUNT_FADE = 0.972
# calls on one VM on the mean, below which a route is not judged: at 15, a route of
# clients would be missed elsewhere by chance less than once in a million
MIN_CALLS = 15.0
# on the VMs of some service, a route that clients use is asked for at least at
# this part of its highest count on those of any
CLIENT_SHARE = 0.05


def update_counts(counts: dict[str, float], calls: dict[str, int]) -> None:
    """Take up the calls of one interval into the fading counts."""
    for name in counts.keys() | calls.keys():
        counts[name] = counts.get(name, 0.0) * COUNT_FADE + calls.get(name, 0)


def find_inner_routes(counts: dict[str, list[dict[str, float]]]) -> set[str]:
    """Return the routes that only running servers call.

    ``counts`` holds, by service, the counts on each VM of it that is known. Clients
    are on all VMs, so what they use is asked for everywhere; what a server calls
    is asked for on the VMs of its service only.
    """
    means: list[dict[str, float]] = []
    for tables in counts.values():
        mean: dict[str, float] = {}
        for table in tables:
            for name, count in table.items():
                mean[name] = mean.get(name, 0.0) + count / len(tables)
        if sum(mean.values()) >= MIN_CALLS:
            means.append(mean)
    if len(means) < 2:
        return set()
    inner = set()
    for name in {name for mean in means for name in mean}:
        found = [mean.get(name, 0.0) for mean in means]
        highest = max(found)
        if highest >= MIN_CALLS and min(found) < CLIENT_SHARE * highest:
            inner.add(name)
    return inner
