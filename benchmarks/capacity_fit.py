"""Fits the cost of a node by least squares."""

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
    """One explanatory variable of a cost."""

    name: str
    get_value: Callable[[Cost], float]


@frozen
class Fit:
    """Coefficients with their standard errors, and the residuals of the fit."""

    measure: str
    names: tuple[str, ...]
    coefficients: tuple[float, ...]
    standard_errors: tuple[float, ...]
    residual: float
    max_residual: float
    r2: float
    samples: int


REST_TERMS = (
    Term("base", lambda cost: 1.0),
    Term("per member", lambda cost: cost.members),
    Term("per summary", lambda cost: cost.summaries),
    Term("log reader", lambda cost: float(cost.reader)),
    Term("delegate", lambda cost: float(cost.delegate)),
    Term(
        "per other domain of a delegate",
        lambda cost: cost.delegate * (cost.domains - 1.0),
    ),
)


def fit(costs: Sequence[Cost], terms: Sequence[Term], measure: str) -> Fit:
    """Fit a measure of the costs as a linear combination of the terms."""
    matrix = np.array([[term.get_value(cost) for term in terms] for cost in costs])
    observed = np.array([getattr(cost, measure) for cost in costs])
    coefficients, _, rank, _ = np.linalg.lstsq(matrix, observed, rcond=None)
    residuals = observed - matrix @ coefficients
    degrees_of_freedom = max(1, len(costs) - int(rank))
    variance = float(residuals @ residuals) / degrees_of_freedom
    errors = np.sqrt(np.diag(np.linalg.pinv(matrix.T @ matrix)) * variance)
    total_squares = float(((observed - observed.mean()) ** 2).sum())
    return Fit(
        measure,
        tuple(term.name for term in terms),
        tuple(float(value) for value in coefficients),
        tuple(float(error) for error in errors),
        variance**0.5,
        float(np.abs(residuals).max()),
        1.0 - float(residuals @ residuals) / total_squares if total_squares else 1.0,
        len(costs),
    )


def show_fit(result: Fit) -> None:
    """Print the coefficients, each with its standard error."""
    terms = "  ".join(
        f"{name} {value:.4f} ±{error:.4f}"
        for name, value, error in zip(
            result.names, result.coefficients, result.standard_errors, strict=True
        )
    )
    print(
        f"{result.measure}: {terms}\n    residual {result.residual:.3f}, max"
        f" {result.max_residual:.3f}, r2 {result.r2:.3f}, {result.samples} samples",
        flush=True,
    )
