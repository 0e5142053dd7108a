"""Attribution of the calls of the local backend server to its runs."""

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

# Longest time between an answer on a connection and the same run's next call on it.
MAX_CONTINUATION_DELAY_S = 0.0005
# A call with the deadline of its run may state it earlier, as each hop truncates it to
# milliseconds, or later, by the time that the call took to get here.
MAX_EARLIER_DEADLINE_S = 0.0015
MAX_LATER_DEADLINE_S = 0.0007
EXPECTED_EARLIER_DEADLINE_S = 0.0003
# A call whose remaining time is this close to the maximum of its route may have its
# deadline from the timeout of the route, so that the deadline doesn't identify the run.
# The maximum decays by a share with each call.
ROUTE_TIMEOUT_TOLERANCE_S = 0.008
MAX_REMAINING_DECAY = 0.0001
# With more runs in flight, runs are not compared by age: the comparison would find
# hardly one caller in three, at a cost that grows with each run.
MAX_COMPARED_RUNS = 24
# How long a failed call without a known run can explain the failure of a run.
FAILURE_MATCH_WINDOW_S = 1.0
# Time from the start of a run to its first call, and the share by which each first call
# moves the estimate towards the median; a mean would follow the few calls that are
# attributed to a wrong run.
DEFAULT_FIRST_CALL_DELAY_S = 0.01
FIRST_CALL_DELAY_STEP_SHARE = 0.02
MIN_RUN_AGE_S = 0.0001
# Factors by which the age of a run is taken to differ from the expected age at a call:
# for a run that has made a call before, for a run with an open call, and for a run that
# has just had an answer on another connection.
LATER_CALL_PENALTY_FACTOR = 20.0
OPEN_CALL_PENALTY_FACTOR = 7.0
ANSWERED_RUN_PENALTY_FACTOR = 2.0
_LATER_CALL_PENALTY = math.log(LATER_CALL_PENALTY_FACTOR)
_OPEN_CALL_PENALTY = math.log(OPEN_CALL_PENALTY_FACTOR)
_ANSWERED_RUN_PENALTY = math.log(ANSWERED_RUN_PENALTY_FACTOR)
MS_PER_S = 1000.0


@define(eq=False, repr=False)
class Run:
    """A run of the server with the calls that are attributed to it.

    ``completed_downstream_runs`` counts the runs that its successful calls led to, and
    ``has_lost_call`` is set once a call of the run has failed.
    """

    call: Call
    started_s: float
    deadline_s: float
    call_count: int = 0
    open_calls: int = 0
    completed_downstream_runs: int = 0
    has_lost_call: bool = False
    calls_by_route: dict[str, int] = field(factory=dict)
    last_answer_s: float = -math.inf


@define(eq=False, repr=False)
class DownstreamCall:
    """An open call of the server and the run to which it is attributed.

    ``run`` is ``None`` if too many runs may have made the call; ``is_retry`` is then
    drawn with the share of retries among the runs in flight. ``run_count`` is the
    number of runs that the call leads to, its own included.
    """

    run: Run | None
    connection: object
    run_count: int
    is_retry: bool = False

    def make_origin(self) -> Origin:
        """Return the origin of the call, derived from that of its run.

        A call without a known run gets the highest priority, as it may belong to an
        urgent request.
        """
        if self.run is None:
            return Origin(
                0,
                downstream=True,
                within_retry=self.is_retry,
                remaining_runs=self.run_count,
            )
        parent = self.run.call.origin
        remaining = max(
            self.run_count, parent.remaining_runs - self.run.completed_downstream_runs
        )
        return Origin(
            parent.priority,
            downstream=True,
            within_retry=parent.within_retry,
            remaining_runs=remaining,
        )


@define
class UnattributedCalls:
    """Calls whose run is unknown: the number open, and the times of failures."""

    open_calls: int = 0
    failure_times_s: deque[float] = field(factory=deque)

    def claim_failure(self, now_s: float) -> bool:
        """Use up one recent failure; return whether there was one."""
        while (
            self.failure_times_s
            and now_s - self.failure_times_s[0] > FAILURE_MATCH_WINDOW_S
        ):
            self.failure_times_s.popleft()
        if not self.failure_times_s:
            return False
        self.failure_times_s.popleft()
        return True


@define(eq=False, repr=False)
class CallAttributor:
    """Attributes the calls of the local server to its runs.

    Calls of servers don't name the run that makes them. A run usually makes its next
    call on the connection of the last answer, right after that answer. Its first call
    follows some time after its start, and the deadline of a call is no later than that
    of its run. Where neither identifies the run among many, the call stays
    unattributed, and its failure can explain that of any run.

    ``may_call`` returns whether runs of a route call another route, ``count_runs`` the
    number of runs that a call of a route leads to, its own included::

        attributor.start_run(job, call, time_limit_s=0.69)
        call = attributor.find_caller(connection, "shop/part/", deadline_s, 0.7)
        origin = call.make_origin()
        attributor.record_answer(call, succeeded=True)
    """

    clock: Callable[[], float]
    may_call: Callable[[str, str], bool]
    count_runs: Callable[[str], int]
    rng: random.Random = field(factory=random.Random)
    completed: CompletedRuns = field(factory=CompletedRuns)
    runs: dict[object, Run] = field(factory=dict)
    unattributed: UnattributedCalls = field(factory=UnattributedCalls)
    _by_deadline: dict[int, dict[object, Run]] = field(factory=dict)
    _retry_count: int = 0
    _latest_answers: dict[object, tuple[Run, float]] = field(factory=dict)
    _first_call_delay_s: dict[str, float] = field(factory=dict)
    _max_remaining_s: dict[str, float] = field(factory=dict)

    def start_run(self, job: object, call: Call, time_limit_s: float) -> None:
        """Record the start of a run and its time limit."""
        now_s = self.clock()
        run = self.runs[job] = Run(call, now_s, now_s + time_limit_s)
        self._by_deadline.setdefault(_truncate_to_ms(run.deadline_s), {})[job] = run
        self._retry_count += call.origin.within_retry

    def finish_run(self, job: object, succeeded: bool = False) -> None:
        """Record the end of a run; count its calls if it succeeded."""
        run = self.runs.pop(job, None)
        if run is None:
            return
        if succeeded:
            self.completed.record_run(run.call.route.name, run.calls_by_route)
        self._retry_count -= run.call.origin.within_retry
        deadline = _truncate_to_ms(run.deadline_s)
        found = self._by_deadline[deadline]
        del found[job]
        if not found:
            del self._by_deadline[deadline]

    def has_lost_call(self, job: object) -> bool:
        """Return whether a call of a run has failed or may still be open."""
        run = self.runs.get(job)
        if run is None:
            return False
        may_be_waiting = run.open_calls > 0 or (
            self._makes_calls(run) and self._has_unattributed_calls()
        )
        return run.has_lost_call or may_be_waiting

    def claim_lost_call(self, job: object) -> bool:
        """Return whether a failed call explains the failure of a run.

        Each failure of an unattributed call explains one run only.
        """
        run = self.runs.get(job)
        if run is None:
            return False
        if run.has_lost_call or run.open_calls > 0:
            return True
        if not self._makes_calls(run):
            return False
        return self.unattributed.claim_failure(self.clock())

    def find_caller(
        self, connection: object, route_name: str, deadline_s: float, timeout_s: float
    ) -> DownstreamCall | None:
        """Attribute a call to the run that most likely made it.

        Return ``None`` if no run can have made the call. ``deadline_s`` is the deadline
        that the call states, ``timeout_s`` the timeout of calls of its route.
        """
        run_count = self.count_runs(route_name)
        remaining_s = min(timeout_s, deadline_s - self.clock())
        may_have_route_timeout = self._may_have_route_timeout(route_name, remaining_s)
        run = self._find_continuing_run(connection, deadline_s, may_have_route_timeout)
        if run is None and not may_have_route_timeout:
            run = self._find_by_deadline(route_name, deadline_s)
        if run is None and len(self.runs) > MAX_COMPARED_RUNS:
            self.completed.record_call(route_name, attributed=False)
            return self._record_unattributed(connection, run_count)
        if run is None:
            run = self._find_by_age(route_name, deadline_s)
        if run is None:
            return None
        self._record_first_call(run, route_name)
        self.completed.record_call(route_name, attributed=True)
        run.calls_by_route[route_name] = run.calls_by_route.get(route_name, 0) + 1
        run.call_count += 1
        run.open_calls += 1
        run.last_answer_s = -math.inf
        return DownstreamCall(run, connection, run_count)

    def record_answer(self, call: DownstreamCall, succeeded: bool) -> None:
        """Record the answer to a call, and whether the called run succeeded."""
        now_s = self.clock()
        if call.run is None:
            self.unattributed.open_calls -= 1
            if not succeeded:
                self.unattributed.failure_times_s.append(now_s)
            return
        call.run.open_calls -= 1
        if succeeded:
            call.run.completed_downstream_runs += call.run_count
        else:
            call.run.has_lost_call = True
        call.run.last_answer_s = now_s
        self._latest_answers[call.connection] = (call.run, now_s)

    def discard_old_answers(self) -> None:
        """Discard answers that are too old for a continuing call."""
        oldest_s = self.clock() - MAX_CONTINUATION_DELAY_S
        self._latest_answers = {
            connection: answer
            for connection, answer in self._latest_answers.items()
            if answer[1] >= oldest_s
        }

    def _has_unattributed_calls(self) -> bool:
        return self.unattributed.open_calls > 0

    def _makes_calls(self, run: Run) -> bool:
        return self.count_runs(run.call.route.name) > 1

    def _record_unattributed(
        self, connection: object, run_count: int
    ) -> DownstreamCall:
        self.unattributed.open_calls += 1
        is_retry = self.rng.random() * len(self.runs) < self._retry_count
        return DownstreamCall(None, connection, run_count, is_retry)

    def _may_have_route_timeout(self, route_name: str, remaining_s: float) -> bool:
        """Return whether the route's timeout may have set the deadline of a call."""
        max_remaining_s = (1.0 - MAX_REMAINING_DECAY) * self._max_remaining_s.get(
            route_name, 0.0
        )
        self._max_remaining_s[route_name] = max(remaining_s, max_remaining_s)
        return remaining_s > max_remaining_s - ROUTE_TIMEOUT_TOLERANCE_S

    def _find_continuing_run(
        self, connection: object, deadline_s: float, may_have_route_timeout: bool
    ) -> Run | None:
        """Return the run that has just had an answer on a connection, if it fits."""
        run, last_answer_s = self._latest_answers.pop(connection, (None, -math.inf))
        if run is None or self.clock() - last_answer_s > MAX_CONTINUATION_DELAY_S:
            return None
        earlier_by_s = run.deadline_s - deadline_s
        if earlier_by_s < -MAX_LATER_DEADLINE_S or (
            earlier_by_s > MAX_EARLIER_DEADLINE_S and not may_have_route_timeout
        ):
            return None
        return run

    def _find_by_deadline(self, route_name: str, deadline_s: float) -> Run | None:
        """Return the run whose deadline matches that of a call.

        Runs without open calls come first, then those whose deadline differs from that
        of the call by the expected amount.
        """
        first = _truncate_to_ms(deadline_s - MAX_LATER_DEADLINE_S)
        last = _truncate_to_ms(deadline_s + MAX_EARLIER_DEADLINE_S)
        found = [
            run
            for deadline in range(first, last + 1)
            for run in self._by_deadline.get(deadline, {}).values()
            if -MAX_LATER_DEADLINE_S
            <= run.deadline_s - deadline_s
            <= MAX_EARLIER_DEADLINE_S
            and self.may_call(run.call.route.name, route_name)
        ]
        expected_s = deadline_s + EXPECTED_EARLIER_DEADLINE_S
        return min(
            found,
            key=lambda run: (run.open_calls > 0, abs(run.deadline_s - expected_s)),
            default=None,
        )

    def _find_by_age(self, route_name: str, deadline_s: float) -> Run | None:
        """Return the likeliest run by its age, preferring runs without open calls."""
        now_s = self.clock()
        first_call_delay_s = self._first_call_delay_s.get(
            route_name, DEFAULT_FIRST_CALL_DELAY_S
        )
        min_deadline_s = deadline_s - MAX_LATER_DEADLINE_S
        callers: dict[str, bool] = {}
        likeliest = None
        shortest = math.inf
        found_idle = False
        for run in self.runs.values():
            if run.deadline_s <= min_deadline_s or (found_idle and run.open_calls):
                continue
            name = run.call.route.name
            may_call = callers.get(name)
            if may_call is None:
                may_call = callers[name] = self.may_call(name, route_name)
            if not may_call:
                continue
            distance = measure_distance(run, now_s, first_call_delay_s)
            is_first_idle = not (found_idle or run.open_calls)
            if is_first_idle or likeliest is None or distance < shortest:
                likeliest = run
                shortest = distance
                found_idle = found_idle or is_first_idle
        return likeliest

    def _record_first_call(self, run: Run, route_name: str) -> None:
        """Adjust the expected time to the first call by that of this run."""
        if run.call_count:
            return
        first_call_delay_s = self._first_call_delay_s.get(
            route_name, DEFAULT_FIRST_CALL_DELAY_S
        )
        older = self.clock() - run.started_s > first_call_delay_s
        first_call_delay_s *= (
            1.0 + FIRST_CALL_DELAY_STEP_SHARE
            if older
            else 1.0 - FIRST_CALL_DELAY_STEP_SHARE
        )
        self._first_call_delay_s[route_name] = first_call_delay_s


def _truncate_to_ms(deadline_s: float) -> int:
    return int(deadline_s * MS_PER_S)


def measure_distance(run: Run, now_s: float, first_call_delay_s: float) -> float:
    """Return how unlikely it is that a run makes a call now; 0 is the most likely."""
    if now_s - run.last_answer_s <= MAX_CONTINUATION_DELAY_S and not run.open_calls:
        return _ANSWERED_RUN_PENALTY
    age_s = max(MIN_RUN_AGE_S, now_s - run.started_s)
    distance = abs(math.log(age_s / first_call_delay_s))
    if run.call_count:
        distance += _LATER_CALL_PENALTY
    if run.open_calls:
        distance += _OPEN_CALL_PENALTY
    return distance
