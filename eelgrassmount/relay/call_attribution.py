"""Which run of the server beside a node makes a call."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.completed import CompletedRuns
from eelgrassmount.relay.messages import Origin

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.messages import Call

# a call that comes so soon over a connection goes on with the run that the last answer
# there was for: runs make the next call at once
CONTINUES_S = 0.0005
# a call's deadline is that of its run where the run has less time than calls of the
# route get: it lies before it by the rounding to milliseconds at each hop, and behind
# it by the time that the call took to come here
EARLIER_S = 0.0015
LATER_S = 0.0007
# where most lie
USUALLY_EARLIER_S = 0.0003
# a call with nearly the most time that calls of its route get may have it from its
# route, so that it tells nothing of its run. The most fades by a part with each call
OWN_LIMIT_S = 0.008
LONGEST_FADE = 0.0001
# with more runs in flight, those whose deadline differs are not compared: by their time
# alone hardly one in three calls would find its run, at a cost that grows with each
MAX_COMPARED = 24
# a failed call whose run is not known lets a run of its server fail within this time
LOSS_S = 1.0
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
MS = 1000.0


@define(eq=False)
class Run:
    """A run of the server, and what is known of its calls.

    ``made`` counts them and ``calls`` the same by route; ``done`` counts the runs that
    those answered well have led to. One that failed has ``lost`` the run, as far as is
    known.
    """

    call: Call
    started_s: float
    deadline_s: float
    made: int = 0
    open_calls: int = 0
    done: int = 0
    lost: bool = False
    calls: dict[str, int] = field(factory=dict)
    answered_s: float = -math.inf


@define(eq=False)
class MadeCall:
    """A call of a server that is open, and the run that it is taken for.

    There is no ``run`` where too many runs may have made it. It is ``repeated`` if its
    run, or as many of those as are, was a repeat.
    """

    run: Run | None
    connection: object
    size: int
    repeated: bool = False

    def make_origin(self) -> Origin:
        """Return the origin of the call, from that of its run.

        A call whose run is not known is refused last, as it may be an urgent one's.
        """
        if self.run is None:
            return Origin(0, inner=True, repeated=self.repeated, left=self.size)
        above = self.run.call.origin
        left = max(self.size, above.left - self.run.done)
        return Origin(above.priority, inner=True, repeated=above.repeated, left=left)


@define
class UnknownCalls:
    """Calls whose run is not known: those that are open, and when others failed."""

    open_calls: int = 0
    failed_s: deque[float] = field(factory=deque)

    def claim_failure(self, now_s: float) -> bool:
        """Let one of the latest failures stand for one failed run."""
        while self.failed_s and now_s - self.failed_s[0] > LOSS_S:
            self.failed_s.popleft()
        if not self.failed_s:
            return False
        self.failed_s.popleft()
        return True


@define(eq=False)
class CallAttributor:
    """Tells which run a call belongs to, since calls of servers name none.

    A run makes a call when it has the answer to the one before, mostly over the same
    connection; the first one comes some time after its start, and a call has no more
    time than its run. Where neither tells it among many runs, it is left open, and what
    failed is counted for all of them. ``may_call`` tells whether runs of a route call
    another, and ``count_runs`` how many runs a call of a route leads to, itself
    included::

        lineage.begin(job, call, given_s=0.69)
        made = lineage.find_caller(connection, "shop/part/", deadline_s, 0.7)
        origin = made.make_origin()
        lineage.note_answer(made, well=True)
    """

    clock: Callable[[], float]
    may_call: Callable[[str, str], bool]
    count_runs: Callable[[str], int]
    rng: random.Random = field(factory=random.Random)
    completed: CompletedRuns = field(factory=CompletedRuns)
    runs: dict[object, Run] = field(factory=dict)
    unknown: UnknownCalls = field(factory=UnknownCalls)
    _by_deadline: dict[int, dict[object, Run]] = field(factory=dict)
    _repeated: int = 0
    _answered: dict[object, tuple[Run, float]] = field(factory=dict)
    _lead_s: dict[str, float] = field(factory=dict)
    _longest_s: dict[str, float] = field(factory=dict)

    def start_run(self, job: object, call: Call, given_s: float) -> None:
        """Note that a run starts, which is given so many seconds."""
        now_s = self.clock()
        run = self.runs[job] = Run(call, now_s, now_s + given_s)
        self._by_deadline.setdefault(_round(run.deadline_s), {})[job] = run
        self._repeated += call.origin.repeated

    def finish_run(self, job: object, well: bool = False) -> None:
        """Note that a run has ended, well or not."""
        run = self.runs.pop(job, None)
        if run is None:
            return
        if well:
            self.completed.record_run(run.call.route.name, run.calls)
        self._repeated -= run.call.origin.repeated
        deadline = _round(run.deadline_s)
        found = self._by_deadline[deadline]
        del found[job]
        if not found:
            del self._by_deadline[deadline]

    def has_lost_call(self, job: object) -> bool:
        """Tell whether a call of a run has failed, or has no answer yet."""
        run = self.runs.get(job)
        if run is None:
            return False
        waits = run.open_calls > 0 or (self._makes_calls(run) and self._has_unknown())
        return run.lost or waits

    def claim_loss(self, job: object) -> bool:
        """Tell whether a run has failed by a call that it made.

        Of the failures of calls whose run is not known, each stands for one run.
        """
        run = self.runs.get(job)
        if run is None:
            return False
        if run.lost or run.open_calls > 0:
            return True
        if not self._makes_calls(run):
            return False
        return self.unknown.claim_failure(self.clock())

    def find_caller(
        self, connection: object, route_name: str, deadline_s: float, timeout_s: float
    ) -> MadeCall | None:
        """Return the run that has most likely made a call, ``None`` if none can.

        ``deadline_s`` is as the call says, and ``timeout_s`` the longest that one of
        its route is kept waiting.
        """
        size = self.count_runs(route_name)
        left_s = min(timeout_s, deadline_s - self.clock())
        is_own = self._may_be_own(route_name, left_s)
        run = self._find_continued(connection, deadline_s, is_own)
        if run is None and not is_own:
            run = self._find_by_deadline(route_name, deadline_s)
        if run is None and len(self.runs) > MAX_COMPARED:
            self.completed.record_call(route_name, known=False)
            return self._note_unknown(connection, size)
        if run is None:
            run = self._find_likeliest(route_name, deadline_s)
        if run is None:
            return None
        self._note_first(run, route_name)
        self.completed.record_call(route_name, known=True)
        run.calls[route_name] = run.calls.get(route_name, 0) + 1
        run.made += 1
        run.open_calls += 1
        run.answered_s = -math.inf
        return MadeCall(run, connection, size)

    def record_answer(self, made: MadeCall, well: bool) -> None:
        """Note that a call has its answer, and whether its run ended well."""
        now_s = self.clock()
        if made.run is None:
            self.unknown.open_calls -= 1
            if not well:
                self.unknown.failed_s.append(now_s)
            return
        made.run.open_calls -= 1
        if well:
            made.run.done += made.size
        else:
            made.run.lost = True
        made.run.answered_s = now_s
        self._answered[made.connection] = (made.run, now_s)

    def forget_answers(self) -> None:
        """Forget answers that no call can follow any more."""
        oldest_s = self.clock() - CONTINUES_S
        self._answered = {
            connection: answered
            for connection, answered in self._answered.items()
            if answered[1] >= oldest_s
        }

    def _has_unknown(self) -> bool:
        return self.unknown.open_calls > 0

    def _makes_calls(self, run: Run) -> bool:
        return self.count_runs(run.call.route.name) > 1

    def _note_unknown(self, connection: object, size: int) -> MadeCall:
        self.unknown.open_calls += 1
        repeated = self.rng.random() * len(self.runs) < self._repeated
        return MadeCall(None, connection, size, repeated)

    def _may_be_own(self, route_name: str, left_s: float) -> bool:
        """Tell whether a call's deadline may be its own, and not that of its run."""
        longest_s = (1.0 - LONGEST_FADE) * self._longest_s.get(route_name, 0.0)
        self._longest_s[route_name] = max(left_s, longest_s)
        return left_s > longest_s - OWN_LIMIT_S

    def _find_continued(
        self, connection: object, deadline_s: float, is_own: bool
    ) -> Run | None:
        """Return the run that had an answer on a connection just now, if it can be."""
        run, answered_s = self._answered.pop(connection, (None, -math.inf))
        if run is None or self.clock() - answered_s > CONTINUES_S:
            return None
        earlier_s = run.deadline_s - deadline_s
        if earlier_s < -LATER_S or (earlier_s > EARLIER_S and not is_own):
            return None
        return run

    def _find_by_deadline(self, route_name: str, deadline_s: float) -> Run | None:
        """Return the run whose deadline a call has, one that waits for no other first.

        Of several, it is the one from whose deadline the call's differs as usual.
        """
        first = _round(deadline_s - LATER_S)
        last = _round(deadline_s + EARLIER_S)
        found = [
            run
            for deadline in range(first, last + 1)
            for run in self._by_deadline.get(deadline, {}).values()
            if -LATER_S <= run.deadline_s - deadline_s <= EARLIER_S
            and self.may_call(run.call.route.name, route_name)
        ]
        usual_s = deadline_s + USUALLY_EARLIER_S
        return min(
            found,
            key=lambda run: (run.open_calls > 0, abs(run.deadline_s - usual_s)),
            default=None,
        )

    def _find_likeliest(self, route_name: str, deadline_s: float) -> Run | None:
        """Return the likeliest run by its time, one that waits for nothing first."""
        possible = [
            run
            for run in self.runs.values()
            if run.deadline_s > deadline_s - LATER_S
            and self.may_call(run.call.route.name, route_name)
        ]
        idle = [run for run in possible if not run.open_calls]
        now_s = self.clock()
        lead_s = self._lead_s.get(route_name, DEFAULT_LEAD_S)
        return min(
            idle or possible,
            key=lambda run: measure_distance(run, now_s, lead_s),
            default=None,
        )

    def _note_first(self, run: Run, route_name: str) -> None:
        """Learn after which time runs make their first calls."""
        if run.made:
            return
        lead_s = self._lead_s.get(route_name, DEFAULT_LEAD_S)
        older = self.clock() - run.started_s > lead_s
        lead_s *= 1.0 + LEAD_STEP if older else 1.0 - LEAD_STEP
        self._lead_s[route_name] = lead_s


def _round(deadline_s: float) -> int:
    return int(deadline_s * MS)


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
