"""Maximum likelihood estimates of call rates and their standard errors."""

from __future__ import annotations

import math
from operator import mul, truediv
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from eelgrassmount.relay.states import StateTable

# Expectation-maximization steps of a first estimate.
FIRST_ESTIMATE_STEPS = 25
# Steps of a further estimate, which starts from the previous one. With fewer, more
# routes are wrongly taken for callers.
FURTHER_ESTIMATE_STEPS = 5
# Exponent of the correction in all steps but the last: over-relaxation, which speeds up
# convergence.
RELAXATION_EXPONENT = 1.8
# Limit on the work of a first estimate, so as not to block the event loop.
MAX_FIRST_ESTIMATE_TERMS = 100_000
# Initial rates are at least this share of the mean, as a rate of zero would never grow.
MIN_START_SHARE = 0.05
# Smaller pivots count as zero.
MIN_PIVOT = 1e-9


@frozen
class Sample:
    """States and the amount observed in each.

    The states are stored both by row and, in ``columns``, by place, as sums over whole
    lists of floats are fastest.
    """

    states: list[tuple[int, ...]]
    rows: list[tuple[float, ...]]
    columns: list[list[float]]
    amounts: list[float]

    @classmethod
    def from_table(cls, table: StateTable, width: int) -> Sample:
        """Return the sample of a table whose states have ``width`` places."""
        states = list(table)
        columns = [list(map(float, one)) for one in zip(*states, strict=True)]
        if not states:
            columns = [[] for _ in range(width)]
        rows = list(zip(*columns, strict=True))
        return cls(states, rows, columns, list(table.values()))

    def sum_column(self, place: int) -> float:
        """Return the sum over states of a route's runs in flight times the amount."""
        return sum(map(mul, self.columns[place], self.amounts))

    def compute_state_rates(self, rates: list[float]) -> list[float]:
        """Return the total rate of calls in each state."""
        return [sum(map(mul, rates, row)) for row in self.rows]


def estimate_rates(
    calls: Sample, exposures: list[float], previous: list[float | None] | None = None
) -> list[float]:
    """Return the most likely rate of calls, per second, of one run of each route.

    ``calls`` holds the number of calls in each state, ``exposures`` the total seconds
    of the runs of each route. ``previous`` is an earlier estimate, with ``None`` for
    routes that it lacks.
    """
    total = sum(exposures)
    if total <= 0:
        return [0.0] * len(exposures)
    mean = sum(calls.amounts) / total
    rates = _init_rates(mean, exposures, previous)
    steps = _count_steps(calls, previous is None)
    for _ in range(steps - 1):
        factors = _compute_corrections(calls, exposures, rates)
        rates = [
            rate * factor**RELAXATION_EXPONENT
            for rate, factor in zip(rates, factors, strict=True)
        ]
    # Without over-relaxation, the last step is exact for identifiable rates.
    factors = _compute_corrections(calls, exposures, rates)
    return [rate * factor for rate, factor in zip(rates, factors, strict=True)]


def _compute_corrections(
    calls: Sample, exposures: list[float], rates: list[float]
) -> list[float]:
    """Return the factors by which to multiply the rates in one step."""
    ratios = [
        amount / call_rate if call_rate > 0 else 0.0
        for amount, call_rate in zip(
            calls.amounts, calls.compute_state_rates(rates), strict=True
        )
    ]
    return [
        sum(map(mul, column, ratios)) / exposure if exposure > 0 else 0.0
        for column, exposure in zip(calls.columns, exposures, strict=True)
    ]


def _count_steps(calls: Sample, first: bool) -> int:
    if not first:
        return FURTHER_ESTIMATE_STEPS
    terms = max(1, len(calls.states) * len(calls.columns))
    return max(
        FURTHER_ESTIMATE_STEPS,
        min(FIRST_ESTIMATE_STEPS, MAX_FIRST_ESTIMATE_TERMS // terms),
    )


def _init_rates(
    mean: float, exposures: list[float], previous: list[float | None] | None
) -> list[float]:
    known = [None] * len(exposures) if previous is None else previous
    return [
        0.0
        if exposure <= 0
        else mean
        if rate is None
        else max(rate, MIN_START_SHARE * mean)
        for rate, exposure in zip(known, exposures, strict=True)
    ]


def compute_standard_errors(
    durations: Sample, calls: StateTable, rates: list[float]
) -> list[float]:
    """Return the standard errors of the rates.

    They derive from the Fisher information of the states, scaled up if calls are more
    dispersed than independent calls would be.
    """
    call_rates = durations.compute_state_rates(rates)
    excess = 0.0
    for state, duration, call_rate in zip(
        durations.states, durations.amounts, call_rates, strict=True
    ):
        if call_rate > 0:
            expected = call_rate * duration
            excess += (calls.get(state, 0.0) - expected) ** 2 / (expected + 1.0)
    dispersion = math.sqrt(max(1.0, excess / max(1, len(call_rates) - len(rates))))
    # States without a positive rate carry no information.
    divisors = [call_rate if call_rate > 0 else math.inf for call_rate in call_rates]
    weights = list(map(truediv, durations.amounts, divisors))
    variances = invert_diagonal(_sum_products(durations.columns, weights))
    return [math.sqrt(variance) * dispersion for variance in variances]


def _sum_products(
    columns: list[list[float]], weights: list[float]
) -> list[list[float]]:
    """Return the symmetric matrix of the weighted products of all columns."""
    size = len(columns)
    matrix = [[0.0] * size for _ in range(size)]
    for row in range(size):
        weighted = list(map(mul, columns[row], weights))
        for column in range(row + 1):
            value = sum(map(mul, columns[column], weighted))
            matrix[row][column] = matrix[column][row] = value
    return matrix


def invert_diagonal(matrix: list[list[float]]) -> list[float]:
    """Return the diagonal of the inverse, infinite where a pivot is zero."""
    size = len(matrix)
    rows = [
        [*row, *(float(index == place) for place in range(size))]
        for index, row in enumerate(matrix)
    ]
    invertible = [True] * size
    for column in range(size):
        pivot = rows[column][column]
        if abs(pivot) < MIN_PIVOT:
            invertible[column] = False
            continue
        rows[column] = [value / pivot for value in rows[column]]
        for index in range(size):
            factor = rows[index][column]
            if index != column and factor:
                rows[index] = [
                    value - factor * other
                    for value, other in zip(rows[index], rows[column], strict=True)
                ]
    return [
        max(0.0, rows[place][size + place]) if invertible[place] else math.inf
        for place in range(size)
    ]
