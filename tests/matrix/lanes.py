"""Runs cells on several deployments in parallel."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING

from tests.matrix.driver import Result, run_cells

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.matrix.table import Cell

DEFAULT_LANES = 3


def run_lanes(
    cells: list[Cell], without: str, lanes: int, report_result: Callable[[Result], None]
) -> None:
    """Run cells on ``lanes`` deployments in parallel."""
    lock = threading.Lock()

    def report_one(result: Result) -> None:
        with lock:
            report_result(result)

    def run_lane(part: list[Cell]) -> None:
        asyncio.run(run_cells(part, without, report_one))

    # round robin, so that every lane has cells of all steps
    parts = [cells[number::lanes] for number in range(lanes)]
    threads = [
        threading.Thread(target=run_lane, args=(part,)) for part in parts if part
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
