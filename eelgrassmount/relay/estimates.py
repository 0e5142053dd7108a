"""The most likely rates of calls, and how far they can be trusted."""

from __future__ import annotations

import math
from operator import mul, truediv
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from eelgrassmount.relay.states import StateTable

# steps of the first estimate; it changes little after that
STEPS = 25
# steps of each further one, which begins with the one before: with fewer, more routes
# are taken for callers that aren't
FURTHER_STEPS = 5
# power of the correction in all steps but the last, which nears the same rates in half
# as many steps
RELAXATION = 1.8
# terms that the steps of a first estimate go through, if there are so many, so that the
# node goes on answering meanwhile
FIRST_TERMS = 100_000
# a rate begins with at least this part of the mean, since none comes back from zero
LEAST_START = 0.05
# less information than this is none
MIN_PIVOT = 1e-9


@frozen
class Sample:
    """States with what was seen in each; ``columns`` holds them by place.

    Sums go over whole rows and columns of floats, which is what the interpreter does
    fastest.
    """

    states: list[tuple[int, ...]]
    rows: list[tuple[float, ...]]
    columns: list[list[float]]
    amounts: list[float]

    @classmethod
    def read(cls, table: StateTable, width: int) -> Sample:
        """Return the sample that a table of full states holds."""
        states = list(table)
        columns = [list(map(float, one)) for one in zip(*states, strict=True)]
        if not states:
            columns = [[] for _ in range(width)]
        rows = list(zip(*columns, strict=True))
        return cls(states, rows, columns, list(table.values()))

    def sum_column(self, place: int) -> float:
        """Return the runs in flight of one route, each times what was seen."""
        return sum(map(mul, self.columns[place], self.amounts))

    def weigh(self, rates: list[float]) -> list[float]:
        """Return the sum over the runs in flight of their rates, by state."""
        return [sum(map(mul, rates, row)) for row in self.rows]


def estimate_rates(
    calls: Sample, exposures: list[float], before: list[float | None] | None = None
) -> list[float]:
    """Return the most likely calls a second of one run of each route.

    ``calls`` holds how many calls were seen in each state, ``exposures`` the
    seconds of all runs of each route together. ``before`` is an earlier estimate,
    ``None`` for a route that it did not have.
    """
    total = sum(exposures)
    if total <= 0:
        return [0.0] * len(exposures)
    mean = sum(calls.amounts) / total
    rates = _begin_rates(mean, exposures, before)
    steps = _count_steps(calls, before is None)
    for _ in range(steps - 1):
        factors = _correct(calls, exposures, rates)
        rates = [
            rate * factor**RELAXATION
            for rate, factor in zip(rates, factors, strict=True)
        ]
    # the last one is exact where a rate can be told from calls of its own
    factors = _correct(calls, exposures, rates)
    return [rate * factor for rate, factor in zip(rates, factors, strict=True)]


def _correct(calls: Sample, exposures: list[float], rates: list[float]) -> list[float]:
    """Return by how much each rate would have to be higher for what was seen."""
    parts = [
        amount / whole if whole > 0 else 0.0
        for amount, whole in zip(calls.amounts, calls.weigh(rates), strict=True)
    ]
    return [
        sum(map(mul, column, parts)) / exposure if exposure > 0 else 0.0
        for column, exposure in zip(calls.columns, exposures, strict=True)
    ]


def _count_steps(calls: Sample, first: bool) -> int:
    if not first:
        return FURTHER_STEPS
    terms = max(1, len(calls.states) * len(calls.columns))
    return max(FURTHER_STEPS, min(STEPS, FIRST_TERMS // terms))


def _begin_rates(
    mean: float, exposures: list[float], before: list[float | None] | None
) -> list[float]:
    known = [None] * len(exposures) if before is None else before
    return [
        0.0
        if exposure <= 0
        else mean
        if rate is None
        else max(rate, LEAST_START * mean)
        for rate, exposure in zip(known, exposures, strict=True)
    ]


def find_errors(spans: Sample, calls: StateTable, rates: list[float]) -> list[float]:
    """Return the standard errors of the rates.

    They follow from the information in the states, widened where calls come more
    unevenly than by chance, as the calls of one run do.
    """
    wholes = spans.weigh(rates)
    excess = 0.0
    for state, span, whole in zip(spans.states, spans.amounts, wholes, strict=True):
        if whole > 0:
            expected = whole * span
            excess += (calls.get(state, 0.0) - expected) ** 2 / (expected + 1.0)
    uneven = math.sqrt(max(1.0, excess / max(1, len(wholes) - len(rates))))
    # states without any rate tell nothing
    divisors = [whole if whole > 0 else math.inf for whole in wholes]
    weights = list(map(truediv, spans.amounts, divisors))
    variances = invert_diagonal(_sum_products(spans.columns, weights))
    return [math.sqrt(variance) * uneven for variance in variances]


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
    """Return the diagonal of the inverse; infinite where there is none."""
    size = len(matrix)
    rows = [
        [*row, *(float(index == place) for place in range(size))]
        for index, row in enumerate(matrix)
    ]
    found = [True] * size
    for column in range(size):
        pivot = rows[column][column]
        if abs(pivot) < MIN_PIVOT:
            found[column] = False
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
        max(0.0, rows[place][size + place]) if found[place] else math.inf
        for place in range(size)
    ]
