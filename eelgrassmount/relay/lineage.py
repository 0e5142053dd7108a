"""Which run of the server beside a node makes a call."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, evolve, field

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from eelgrassmount.relay.messages import Call, Origin

# a call that comes so soon over a connection goes on with the run that the last answer
# there was for: 99 in 100 of the next calls of a run came within 0.3 ms of the answer
# and 95 in 100 of them over its connection (12,256 calls of servers, 14 nodes)
CONTINUES_S = 0.0005
# a call's deadline is that of its run where the run has less time than calls of the
# route get: so all of 3,270 calls agreed within this, which is the rounding to
# milliseconds at each hop
SAME_DEADLINE_S = 0.004
# usual time from the start of a run to its first call, before any is known, and the
# part by which each first call moves it up or down: to the median, as means follow the
# few runs whose calls were taken for those of others
DEFAULT_LEAD_S = 0.01
LEAD_STEP = 0.02
# shortest time that runs are compared by
MIN_AGE_S = 0.0001
# how much less likely a run is the caller when it has made a call already (later ones
# follow an answer at once) and while one of its calls is open: as if it were so many
# times too old or too young
LATER_TIMES = 20.0
OPEN_TIMES = 7.0
# a run that has just had an answer may go on over another connection: as likely as one
# that is so many times too old or too young for its first call
ANSWERED_TIMES = 2.0


@define(eq=False)
class Run:
    """A run of the server, and what is known of its calls.

    ``made`` counts them and ``done`` the runs that those answered well have led to; one
    that failed has ``lost`` the run, as far as is known.
    """

    call: Call
    started_s: float
    made: int = 0
    open_calls: int = 0
    done: int = 0
    lost: bool = False
    answered_s: float = -math.inf


@define(eq=False)
class MadeCall:
    """A call of a server that is open, and the run that it is taken for."""

    run: Run
    connection: object
    size: int

    def make_origin(self) -> Origin:
        """Return the origin of the call, from that of its run."""
        above = self.run.call.origin
        left = max(self.size, above.left - self.run.done)
        return evolve(above, inner=True, left=left)


@define(eq=False)
class Lineage:
    """Tells which run a call belongs to, since calls of servers name none.

    A run makes a call when it has the answer to the one before, mostly over the same
    connection; the first one comes some time after its start, and a call has no more
    time than its run. ``may_call`` tells whether runs of a route call another, and
    ``count_runs`` how many runs a call of a route leads to, itself included::

        lineage.begin(job, call)
        made = lineage.find_caller(connection, "shop/part/", deadline_s)
        origin = made.make_origin()
        lineage.note_answer(made, well=True)

    Of 8,986 calls three hops below their request, 86 in 100 were given the priority of
    the right request in a surge, and 99 in 100 of 2,300 two hops below.
    """

    clock: Callable[[], float]
    may_call: Callable[[str, str], bool]
    count_runs: Callable[[str], int]
    runs: dict[object, Run] = field(factory=dict)
    _answered: dict[object, tuple[Run, float]] = field(factory=dict)
    _lead_s: dict[str, float] = field(factory=dict)

    def begin(self, job: object, call: Call) -> None:
        """Note that a run starts."""
        self.runs[job] = Run(call, self.clock())

    def end(self, job: object) -> None:
        """Note that a run has ended."""
        self.runs.pop(job, None)

    def is_lost(self, job: object) -> bool:
        """Tell whether a call of a run has failed, or has no answer yet."""
        run = self.runs.get(job)
        return run is not None and (run.lost or run.open_calls > 0)

    def find_caller(
        self, connection: object, route_name: str, deadline_s: float
    ) -> MadeCall | None:
        """Return the run that has most likely made a call, ``None`` if none can."""
        run = self._find_continued(connection)
        if run is None:
            run = self._find_likeliest(route_name, deadline_s)
        if run is None:
            return None
        run.made += 1
        run.open_calls += 1
        run.answered_s = -math.inf
        return MadeCall(run, connection, self.count_runs(route_name))

    def note_answer(self, made: MadeCall, well: bool) -> None:
        """Note that a call has its answer, and whether its run ended well."""
        made.run.open_calls -= 1
        if well:
            made.run.done += made.size
        else:
            made.run.lost = True
        made.run.answered_s = self.clock()
        self._answered[made.connection] = (made.run, made.run.answered_s)

    def forget_answers(self) -> None:
        """Forget answers that no call can follow any more."""
        oldest_s = self.clock() - CONTINUES_S
        self._answered = {
            connection: answered
            for connection, answered in self._answered.items()
            if answered[1] >= oldest_s
        }

    def _find_continued(self, connection: object) -> Run | None:
        run, answered_s = self._answered.pop(connection, (None, -math.inf))
        if run is None or self.clock() - answered_s > CONTINUES_S:
            return None
        return run

    def _find_likeliest(self, route_name: str, deadline_s: float) -> Run | None:
        # of 150 runs in flight most wait for a call: those are looked at only when no
        # other can be the caller
        idle = [run for run in self.runs.values() if not run.open_calls]
        found = self._match(idle, route_name, deadline_s)
        if found is None:
            found = self._match(self.runs.values(), route_name, deadline_s)
        return found

    def _match(
        self, runs: Iterable[Run], route_name: str, deadline_s: float
    ) -> Run | None:
        possible = [
            run
            for run in runs
            if run.call.deadline_s > deadline_s - SAME_DEADLINE_S
            and self.may_call(run.call.route.name, route_name)
        ]
        exact = [
            run
            for run in possible
            if run.call.deadline_s < deadline_s + SAME_DEADLINE_S
        ]
        return self._choose(exact or possible, route_name)

    def _choose(self, runs: list[Run], route_name: str) -> Run | None:
        if not runs:
            return None
        now_s = self.clock()
        lead_s = self._lead_s.get(route_name, DEFAULT_LEAD_S)
        chosen = min(runs, key=lambda run: measure_distance(run, now_s, lead_s))
        if not chosen.made:
            older = now_s - chosen.started_s > lead_s
            lead_s *= 1.0 + LEAD_STEP if older else 1.0 - LEAD_STEP
            self._lead_s[route_name] = lead_s
        return chosen


def measure_distance(run: Run, now_s: float, lead_s: float) -> float:
    """Return how far a run is from one that makes a call now, 0 for the likeliest."""
    if now_s - run.answered_s <= CONTINUES_S and not run.open_calls:
        return math.log(ANSWERED_TIMES)
    age_s = max(MIN_AGE_S, now_s - run.started_s)
    distance = abs(math.log(age_s / lead_s))
    if run.made:
        distance += math.log(LATER_TIMES)
    if run.open_calls:
        distance += math.log(OPEN_TIMES)
    return distance
