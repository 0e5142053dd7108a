"""How many calls of which route one run of a route makes."""

from __future__ import annotations

from attrs import define, field

# a count is taken over so long, and older counts fade with this factor
INTERVAL_S = 0.25
FADE = 0.985
# keeps the solution small where the counts say little; in runs squared
RIDGE = 4.0
# fewer calls a run than this are taken for coincidence
MIN_CALLS_PER_RUN = 0.3
# runs that a route must have had before its vector is believed
MIN_RUNS = 20.0
MAX_CALLS_PER_RUN = 100.0


@define
class RunCounts:
    """Counts of one interval: ended runs and calls that the VM sent, by route."""

    runs: dict[str, int] = field(factory=dict)
    calls: dict[str, int] = field(factory=dict)


@define(eq=False)
class VectorLearner:
    """Learns the calls per run from the counts of a node, by least squares.

    The node beside a server sees its runs and the calls that leave its VM, but
    not which run makes which call. Over many intervals the number of calls of a
    route follows the numbers of the runs that make them; clients on the same VM
    add a part that doesn't, which the constant takes up::

        learner.add({"book": 3}, {"list": 6})
        learner.solve()  # {"book": {"list": 2.0}}
    """

    _runs: list[str] = field(factory=list)
    _moments: dict[tuple[str, str], float] = field(factory=dict)
    _cross: dict[tuple[str, str], float] = field(factory=dict)
    _totals: dict[str, float] = field(factory=dict)
    _called: set[str] = field(factory=set)

    def add(self, runs: dict[str, int], calls: dict[str, int]) -> None:
        """Take up the counts of one interval."""
        for table in (self._moments, self._cross, self._totals):
            for key in table:
                table[key] *= FADE
        for name in runs:
            if name not in self._runs:
                self._runs.append(name)
        self._called.update(calls)
        counts: dict[str, float] = {"": 1.0, **runs}
        for one, count in counts.items():
            self._totals[one] = self._totals.get(one, 0.0) + count
            for other, other_count in counts.items():
                key = (one, other)
                self._moments[key] = self._moments.get(key, 0.0) + count * other_count
            for called, called_count in calls.items():
                key = (one, called)
                self._cross[key] = self._cross.get(key, 0.0) + count * called_count

    def solve(self) -> dict[str, dict[str, float]]:
        """Return the calls per run, by route that runs and route that is called."""
        believed = [
            name for name in self._runs if self._totals.get(name, 0.0) >= MIN_RUNS
        ]
        names = ["", *believed]
        matrix = [
            [self._moments.get((row, column), 0.0) for column in names] for row in names
        ]
        for index in range(1, len(names)):
            matrix[index][index] += RIDGE
        vectors: dict[str, dict[str, float]] = {name: {} for name in believed}
        for called in self._called:
            right = [self._cross.get((name, called), 0.0) for name in names]
            solution = solve_linear(matrix, right)
            for name, value in zip(names[1:], solution[1:], strict=True):
                if MIN_CALLS_PER_RUN <= value <= MAX_CALLS_PER_RUN:
                    vectors[name][called] = value
        return vectors


def solve_linear(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solve a small linear system; an unknown without a pivot becomes 0."""
    size = len(right)
    rows = [[*row, value] for row, value in zip(matrix, right, strict=True)]
    pivots: list[int | None] = [None] * size
    used: set[int] = set()
    for column in range(size):
        free = [index for index in range(size) if index not in used]
        best = max(free, key=lambda index: abs(rows[index][column]), default=None)
        if best is None or abs(rows[best][column]) < 1e-9:
            continue
        used.add(best)
        pivots[column] = best
        for index in range(size):
            if index != best and rows[index][column]:
                factor = rows[index][column] / rows[best][column]
                for place in range(column, size + 1):
                    rows[index][place] -= factor * rows[best][place]
    return [
        0.0 if pivot is None else rows[pivot][size] / rows[pivot][column]
        for column, pivot in enumerate(pivots)
    ]
