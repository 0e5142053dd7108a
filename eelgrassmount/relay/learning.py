"""What a node counts of requests and calls, and learns from the counts of all."""

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
    from eelgrassmount.policy.piles import Demand
    from eelgrassmount.relay.shared_state import SharedState

# for so long after its start, a node goes by what others have learned or kept, if
# there is any: from the calls of its first second, routes seemed to call nothing
LEARNING_S = 4.0
# runs of all nodes together after which a route that was seen to call none makes none
SETTLED_RUNS = 200.0


def update_request_counts(beliefs: SharedState) -> None:
    """Take up how often each route was asked for in the latest interval."""
    update_counts(beliefs.request_counts, beliefs.new_requests, beliefs.table.routes)
    beliefs.new_requests = {}


def _list_asked(beliefs: SharedState) -> dict[str, ServiceCounts]:
    """Return how often routes were asked for, by the counts of most nodes."""
    heard = [
        Tally(1, asked={service: ServiceCounts(1, one.load.request_counts)})
        for service, found in beliefs.members.by_service.items()
        for one in found.values()
        if one.load.request_counts
    ]
    direct = add_tallies([_count_asked(beliefs), *heard])
    known = max(direct, beliefs.cluster_counts, key=lambda tally: tally.nodes)
    return known.asked


def _count_asked(beliefs: SharedState) -> Tally:
    counts = ServiceCounts(1, beliefs.request_counts)
    return Tally(1, asked={beliefs.server.service: counts})


def make_tally(beliefs: SharedState, rates: dict[Demand, float]) -> Tally:
    """Return what this node counts, for those that add it up.

    ``rates`` holds the requests a second that clients offer to it.
    """
    tally = add_tallies([_count_asked(beliefs)])
    tally.offered = dict(rates)
    if beliefs.identifies_clients():
        tally.runs = dict(beliefs.completed.runs)
        tally.calls = beliefs.completed.list_calls()
    elif not _is_young(beliefs):
        tally.runs = beliefs.learner.list_runs()
        tally.calls = beliefs.learner.list_calls()
    return tally


def _is_young(beliefs: SharedState) -> bool:
    """Tell whether the own runs show less than what others know."""
    young = beliefs.clock() - beliefs.started_s < LEARNING_S
    return young and bool(beliefs.graph.vectors)


def update_call_graph(beliefs: SharedState) -> None:
    """Work out the calls of routes anew and put them into the graph."""
    asked = _list_asked(beliefs)
    beliefs.client_routes |= find_client_routes(asked)
    beliefs.client_routes &= beliefs.table.routes.keys()
    outlook = beliefs.cluster_counts
    beliefs.graph.settled |= {
        name for name, runs in outlook.runs.items() if runs >= SETTLED_RUNS
    }
    merged = pool_vectors(outlook.runs, outlook.calls)
    if not beliefs.identifies_clients():
        merged.update(_learn_from_states(beliefs, find_internal_routes(asked)))
    for name, calls in merged.items():
        if name in beliefs.table.routes and (calls or name in beliefs.graph.vectors):
            beliefs.graph.put(name, calls)


def _learn_from_states(
    beliefs: SharedState, inner_routes: set[str]
) -> dict[str, dict[str, float]]:
    """Return the calls of routes by what is in flight when a call is made.

    Where requests of clients can't be told from calls, the runs that make calls are
    told neither before some calls are known.
    """
    vectors = beliefs.learner.solve(inner_routes)
    beliefs.local_vectors = {} if _is_young(beliefs) else vectors
    learned = [beliefs.local_vectors]
    learned += [one.load.vectors for one in beliefs.members.by_name.values()]
    return merge_vectors(learned)
