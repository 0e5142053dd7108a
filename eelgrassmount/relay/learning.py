"""Learning which calls runs make from the request counts of all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.relay.internal_routes import (
    find_client_routes,
    find_internal_routes,
    update_counts,
)
from eelgrassmount.relay.tallies import ServiceCounts, Tally, add_tallies
from eelgrassmount.relay.vectors import merge_vectors, pool_vectors

if TYPE_CHECKING:
    from eelgrassmount.policy.fair_shares import GroupKey
    from eelgrassmount.policy.shedding import RequestClass
    from eelgrassmount.relay.shared_state import SharedState

# Time after its start in which a node uses only the call vectors of other nodes, if
# there are any: its first counts would suggest that routes make no calls.
LEARNING_PERIOD_S = 4.0
# Runs of all nodes after which a route without observed calls is taken to make none.
MIN_SETTLED_RUNS = 200.0


def update_request_counts(state: SharedState) -> None:
    """Add the requests of the latest interval to the decaying counts."""
    update_counts(state.request_counts, state.new_requests, state.table.routes)
    state.new_requests = {}


def _collect_request_counts(state: SharedState) -> dict[str, ServiceCounts]:
    """Return the request counts by service, from the tally of the most nodes."""
    reported = [
        Tally(1, requested={service: ServiceCounts(1, member.load.request_counts)})
        for service, found in state.members.by_service.items()
        for member in found.values()
        if member.load.request_counts
    ]
    direct = add_tallies([_tally_local_requests(state), *reported])
    known = max(direct, state.cluster_counts, key=lambda tally: tally.nodes)
    return known.requested


def _tally_local_requests(state: SharedState) -> Tally:
    counts = ServiceCounts(1, state.request_counts)
    return Tally(1, requested={state.server.service: counts})


def make_tally(
    state: SharedState,
    rates: dict[RequestClass, float],
    groups: dict[GroupKey, float] | None = None,
) -> Tally:
    """Return the counts of this node, to be summed with those of others.

    ``rates`` holds the offered load of its clients in requests per second, and
    ``groups`` that of its heaviest groups of callers.
    """
    tally = add_tallies([_tally_local_requests(state)])
    tally.offered = dict(rates)
    tally.groups = dict(groups or {})
    if state.identifies_clients():
        tally.runs = dict(state.completed.runs)
        tally.calls = state.completed.list_calls()
    elif not _is_learning(state):
        tally.runs = state.learner.list_runs()
        tally.calls = state.learner.list_calls()
    return tally


def _is_learning(state: SharedState) -> bool:
    """Return whether the node has just started and can use vectors of other nodes."""
    has_just_started = state.clock() - state.started_s < LEARNING_PERIOD_S
    return has_just_started and bool(state.graph.calls_per_run)


def update_call_graph(state: SharedState) -> None:
    """Update the call graph with the latest estimates of calls per run."""
    request_counts = _collect_request_counts(state)
    state.client_routes |= find_client_routes(request_counts)
    state.client_routes &= state.table.routes.keys()
    cluster_counts = state.cluster_counts
    state.graph.learned_routes |= {
        name for name, runs in cluster_counts.runs.items() if runs >= MIN_SETTLED_RUNS
    }
    merged = pool_vectors(cluster_counts.runs, cluster_counts.calls)
    if not state.identifies_clients():
        merged.update(_learn_from_states(state, find_internal_routes(request_counts)))
    for name, calls in merged.items():
        if name in state.table.routes and (calls or name in state.graph.calls_per_run):
            state.graph.set_calls(name, calls)


def _learn_from_states(
    state: SharedState, internal_routes: set[str]
) -> dict[str, dict[str, float]]:
    """Return call vectors estimated from the runs in flight when calls are made.

    They are needed where no keys distinguish requests of clients from calls, since
    calls can't be attributed to runs there before some call vectors are known.
    """
    vectors = state.learner.solve(internal_routes)
    state.local_vectors = {} if _is_learning(state) else vectors
    learned = [state.local_vectors]
    learned += [member.load.vectors for member in state.members.by_name.values()]
    return merge_vectors(learned)
