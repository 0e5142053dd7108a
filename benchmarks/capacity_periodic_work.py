"""Reports the periodic work of a node by the size of its tables."""

from __future__ import annotations

import numpy as np
from attrs import frozen

_MAX_SHOWN_WORKS = 6
_US_PER_MS = 1000


@frozen
class Work:
    """One function: microseconds per run, and runs per second.

    A rate of 0 means that the function runs for each call, not periodically.
    """

    name: str
    each_us: float
    rate: float = 0.0

    @property
    def ms(self) -> float:
        """Milliseconds per second."""
        return self.each_us * self.rate / _US_PER_MS


@frozen
class Table:
    """The periodic work of a node with tables of one size."""

    members: int
    services: int
    summaries: int
    delegate: bool
    memory_mb: float
    works: list[Work]

    @property
    def ms(self) -> float:
        """Milliseconds per second of all periodic work."""
        return sum(work.ms for work in self.works)


def show_tables(tables: list[Table]) -> None:
    """Print the periodic work for each size, its costliest functions and the slopes."""
    print("\nperiodic work on filled tables")
    for table in tables:
        role = "delegate" if table.delegate else "other"
        print(
            f"{table.members:4} members, {table.services:3} services,"
            f" {table.summaries:5} summaries, {role:8}"
            f" {table.ms:7.2f} ms/s, tables {table.memory_mb:5.1f} MB"
        )
        for work in table.works[:_MAX_SHOWN_WORKS]:
            print(f"      {work.ms:7.3f} ms/s {work.each_us:9.1f} us {work.name}")
        for work in table.works:
            if not work.rate:
                print(f"                   {work.each_us:9.1f} us {work.name}")
    for delegate in (False, True):
        selected = [table for table in tables if table.delegate is delegate]
        terms = np.array([[1.0, table.members, table.summaries] for table in selected])
        observed = np.array([table.ms for table in selected])
        coefficients, *_ = np.linalg.lstsq(terms, observed, rcond=None)
        max_residual = np.abs(observed - terms @ coefficients).max()
        print(
            f"{'delegate' if delegate else 'other':8} ms/s: {coefficients[0]:.3f}"
            f" + {coefficients[1]:.5f} per member + {coefficients[2]:.6f} per summary,"
            f" max residual {max_residual:.3f}"
        )
