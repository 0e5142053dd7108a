"""Slopes of the cost of a node by least squares."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from benchmarks.capacity_samples import Cost

MEASURES = ("cpu_ms", "memory_mb", "bytes_sent", "messages_sent")


@frozen
class Term:
    """One thing that a cost depends on."""

    name: str
    read: Callable[[Cost], float]


@frozen
class Fit:
    """Coefficients with their standard errors, and what the fit leaves over."""

    measure: str
    names: tuple[str, ...]
    values: tuple[float, ...]
    errors: tuple[float, ...]
    residual: float
    worst: float
    r2: float
    samples: int


REST_TERMS = (
    Term("base", lambda cost: 1.0),
    Term("a member", lambda cost: cost.members),
    Term("a summary", lambda cost: cost.summaries),
    Term("a log reader", lambda cost: float(cost.reader)),
    Term("a delegate", lambda cost: float(cost.delegate)),
    Term(
        "a delegate's other domain",
        lambda cost: cost.delegate * (cost.domains - 1.0),
    ),
)


def fit(costs: Sequence[Cost], terms: Sequence[Term], measure: str) -> Fit:
    """Fit a measure of the costs by a sum of the terms."""
    table = np.array([[term.read(cost) for term in terms] for cost in costs])
    seen = np.array([getattr(cost, measure) for cost in costs])
    values, _, rank, _ = np.linalg.lstsq(table, seen, rcond=None)
    left = seen - table @ values
    freedom = max(1, len(costs) - int(rank))
    variance = float(left @ left) / freedom
    errors = np.sqrt(np.diag(np.linalg.pinv(table.T @ table)) * variance)
    spread = float(((seen - seen.mean()) ** 2).sum())
    return Fit(
        measure,
        tuple(term.name for term in terms),
        tuple(float(value) for value in values),
        tuple(float(error) for error in errors),
        variance**0.5,
        float(np.abs(left).max()),
        1.0 - float(left @ left) / spread if spread else 1.0,
        len(costs),
    )


def show_fit(result: Fit) -> None:
    """Print the coefficients, each with its standard error."""
    terms = "  ".join(
        f"{name} {value:.4f} ±{error:.4f}"
        for name, value, error in zip(
            result.names, result.values, result.errors, strict=True
        )
    )
    print(
        f"{result.measure}: {terms}\n    residual {result.residual:.3f}, worst"
        f" {result.worst:.3f}, r2 {result.r2:.3f}, {result.samples} samples",
        flush=True,
    )
