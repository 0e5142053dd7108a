"""Vectors as the rows that reports and records carry."""

from __future__ import annotations

from eelgrassmount.gen import ttypes


def write_rows(vectors: dict[str, dict[str, float]]) -> list[ttypes.RouteCalls]:
    """Return vectors as rows; a route that calls nothing has a row without a name.

    Only what a node has learned itself is told: what it heard of others would go
    round among the nodes long after those have learned better.
    """
    rows = []
    for run_route, calls in vectors.items():
        if not calls:
            rows.append(ttypes.RouteCalls(run_route, "", 0.0))
        for called, count in calls.items():
            rows.append(ttypes.RouteCalls(run_route, called, count))
    return rows


def read_rows(rows: list[ttypes.RouteCalls]) -> dict[str, dict[str, float]]:
    """Return the vectors that rows stand for."""
    vectors: dict[str, dict[str, float]] = {}
    for row in rows:
        calls = vectors.setdefault(row.run_route, {})
        if row.called_route:
            calls[row.called_route] = row.calls_per_run
    return vectors
