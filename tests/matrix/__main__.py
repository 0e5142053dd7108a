"""The command of `make matrix`."""

from __future__ import annotations

import re
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

import fire

from tests.matrix.lanes import DEFAULT_LANES, run_lanes
from tests.matrix.table import FIXED_CELLS, draw_pairs, read_table

if TYPE_CHECKING:
    from tests.matrix.driver import Result

DEFAULT_PAIRS = 30


def print_result(result: Result) -> None:
    """Print the cell, its status, the client's outcome and the runs."""
    print(
        f"{result.status:7} {result.cell.name:44} {result.seconds:5.1f} s  "
        f"{result.runs}  |  {result.client_outcome}",
        flush=True,
    )
    for line in (*result.violations, *result.not_run.splitlines()):
        print(f"        ! {line}", flush=True)


def run_matrix(
    only: str = "",
    pairs: int | None = None,
    seed: int = 1,
    without: str = "",
    lanes: int = DEFAULT_LANES,
    fixed: bool = False,
) -> None:
    """Run the cells whose names match ``only``, then ``pairs`` random pairs of faults.

    A run of the whole table draws `DEFAULT_PAIRS` pairs by default. ``without`` names
    a mechanism that is disabled in the nodes; ``fixed`` runs only the cells of
    `make test`.
    """
    if pairs is None:
        pairs = 0 if only or fixed or without else DEFAULT_PAIRS
    table = read_table()
    cells = [cell for cell in table if re.search(only, cell.name)]
    if fixed:
        cells = [cell for cell in cells if (cell.step, cell.faults[0]) in FIXED_CELLS]
    drawn, all_pairs = draw_pairs(pairs, seed)
    cells += drawn
    results: list[Result] = []

    def report_result(result: Result) -> None:
        results.append(result)
        print_result(result)

    started_s = time.monotonic()
    run_lanes(cells, without, lanes, report_result)
    _print_summary(results, len(cells), time.monotonic() - started_s)
    print(
        f"not run: {len(table) + len(drawn) - len(cells)} cells of the table and "
        f"{all_pairs - len(drawn)} of {all_pairs} pairs of faults"
    )
    all_held = len(results) == len(cells) and all(
        item.status == "held" for item in results
    )
    sys.exit(0 if all_held else 1)


def _print_summary(results: list[Result], expected: int, seconds: float) -> None:
    status_counts = Counter(result.status for result in results)
    violations = Counter(
        line.split(": ", 1)[1].split(" (")[0]
        for result in results
        for line in result.violations
        if ": (" not in line
    )
    print(
        f"{expected} cells in {seconds:.0f} s: {status_counts['held']} held, "
        f"{status_counts['FAILED']} failed, {status_counts['not run']} not run"
    )
    for what, count in violations.most_common():
        print(f"  {count} x {what}")


if __name__ == "__main__":
    fire.Fire(run_matrix)
