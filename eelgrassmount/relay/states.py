"""Tables of amounts by state, where a state is the runs in flight of each route."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

StateTable: TypeAlias = "dict[tuple[int, ...], float]"


def bucket_count(count: int) -> int:
    """Round a number of runs down to a bucket; buckets get wider as it grows."""
    if count < 8:
        return count
    if count < 32:
        return count - count % 4
    return count - count % 16


def decay_table(table: StateTable, factor: float) -> StateTable:
    """Return a table with all amounts multiplied by a factor."""
    return {state: amount * factor for state, amount in table.items()}


def trim_table(table: StateTable, limit: int) -> StateTable:
    """Return a table with the states of the largest amounts only."""
    if len(table) <= limit:
        return table
    ranked = sorted(table, key=table.__getitem__)
    return {state: table[state] for state in ranked[-limit:]}


def reshape_table(table: StateTable, places: Sequence[int]) -> StateTable:
    """Return a table whose states have the given places, in this order.

    Places that a state lacks count as zero runs in flight. States without any run in
    flight are dropped, as they carry no information.
    """
    reshaped: StateTable = {}
    width = 1 + max(places, default=-1)
    for state, amount in table.items():
        padded = state + (0,) * (width - len(state))
        picked = tuple([padded[place] for place in places])
        if any(picked):
            reshaped[picked] = reshaped.get(picked, 0.0) + amount
    return reshaped
