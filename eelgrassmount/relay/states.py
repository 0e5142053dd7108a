"""Tables of what was seen in each state, which is the numbers of runs in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

StateTable: TypeAlias = "dict[tuple[int, ...], float]"


def round_count(count: int) -> int:
    """Return a number of runs in classes that grow with it."""
    if count < 8:
        return count
    if count < 32:
        return count - count % 4
    return count - count % 16


def fade_table(table: StateTable, factor: float) -> StateTable:
    """Return a table with less of everything."""
    return {state: amount * factor for state, amount in table.items()}


def trim_table(table: StateTable, limit: int) -> StateTable:
    """Return a table with the most frequent states."""
    if len(table) <= limit:
        return table
    ranked = sorted(table, key=table.__getitem__)
    return {state: table[state] for state in ranked[-limit:]}


def reshape_table(table: StateTable, places: Sequence[int]) -> StateTable:
    """Return a table whose states have the given places, in this order.

    A state from when there were fewer has nothing in flight at the others. What was
    seen while nothing ran that is told apart says nothing.
    """
    found: StateTable = {}
    width = 1 + max(places, default=-1)
    for state, amount in table.items():
        padded = state + (0,) * (width - len(state))
        picked = tuple([padded[place] for place in places])
        if any(picked):
            found[picked] = found.get(picked, 0.0) + amount
    return found
