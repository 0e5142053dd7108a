"""Calls that a begun request still needs, as known where one of its runs makes one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.policy.completion import estimate_remaining_calls

if TYPE_CHECKING:
    from eelgrassmount.relay.admission import CallGraph
    from eelgrassmount.relay.call_attribution import DownstreamCall, Run


def count_remaining_calls(
    route_name: str, caller: DownstreamCall, graph: CallGraph
) -> int:
    """Return how many calls of a route the request of an open call still needs.

    If the run that makes the call is unknown, it is taken to be halfway through the
    calls of the run that makes most.
    """
    run = caller.run
    if run is None:
        most = max(
            (calls.get(route_name, 0.0) for calls in graph.calls_per_run.values()),
            default=0.0,
        )
        return estimate_remaining_calls(most, most / 2, 0.0)
    run_calls = graph.calls_per_run.get(run.call.route.name, {}).get(route_name, 1.0)
    finished = run.calls_by_route.get(route_name, 0) - run.open_calls
    other_calls = _count_other_runs(run, graph) * run_calls
    return estimate_remaining_calls(run_calls, max(0, finished), other_calls)


def _count_other_runs(run: Run, graph: CallGraph) -> float:
    """Return how many runs like this one the request needs besides it.

    The run at the start of the request is not one of them.
    """
    runs = graph.count_runs(run.call.route.name)
    others = run.call.origin.remaining_runs - runs - run.call.origin.downstream
    return max(0, others) / runs
