"""Steps that look up the results of the fixed cells of the fault matrix."""

from __future__ import annotations

from functools import cache

from behave import then, when

from tests.matrix.driver import Result
from tests.matrix.lanes import run_lanes
from tests.matrix.table import FIXED_CELLS, read_table

PARALLEL_LANES = 2


@cache
def run_fixed_cells() -> dict[tuple[str, str], Result]:
    cells = [
        cell for cell in read_table() if (cell.step, cell.faults[0]) in FIXED_CELLS
    ]
    results: dict[tuple[str, str], Result] = {}

    def store_result(result: Result) -> None:
        results[result.cell.step, result.cell.faults[0]] = result

    run_lanes(cells, "", PARALLEL_LANES, store_result)
    return results


@when('the fault "{fault}" is injected at the step "{step}"')
def run_cell(context, fault, step):
    context.result = run_fixed_cells()[step, fault]


@then("every promise holds")
def check_promises(context):
    result = context.result
    assert result.status == "held", (
        result.not_run,
        result.violations,
        result.client_outcome,
    )
