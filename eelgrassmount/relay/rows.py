"""Encoding of call vectors as the rows of reports and records."""

from __future__ import annotations

from eelgrassmount.gen import ttypes


def write_rows(vectors: dict[str, dict[str, float]]) -> list[ttypes.RouteCalls]:
    """Return call vectors as rows; a route without calls has one with an empty name.

    A node must pass its local vectors only: vectors received from other nodes would
    circulate after those nodes have corrected them.
    """
    rows = []
    for run_route, calls in vectors.items():
        if not calls:
            rows.append(ttypes.RouteCalls(run_route, "", 0.0))
        for called, count in calls.items():
            rows.append(ttypes.RouteCalls(run_route, called, count))
    return rows


def read_rows(rows: list[ttypes.RouteCalls]) -> dict[str, dict[str, float]]:
    """Return the call vectors in rows."""
    vectors: dict[str, dict[str, float]] = {}
    for row in rows:
        calls = vectors.setdefault(row.run_route, {})
        if row.called_route:
            calls[row.called_route] = row.calls_per_run
    return vectors
