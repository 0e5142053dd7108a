"""Table of the matrix: the faults at each step and the required outcome."""

from __future__ import annotations

import itertools
import random

from attrs import frozen

from tests.matrix.faults import FAULTS
from tests.matrix.steps import STEPS

# A: a retry of the request must get its complete answer
# t: the promises hold, but the outcome of the request may stay unknown
# -: the fault does not apply to this step
TABLE = """
                   entry primary minter backup mark link queue edge run-0 run-1 run-2 far-1 answer-0 answer-1 answer-2
repeats            A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
kill-node          A     t       t      A      A    t    t     t    t     t     A     t     t        t        A
kill-server        A     A       A      A      A    A    t     t    t     t     A     t     t        t        A
kill-vm            A     t       t      A      A    t    t     t    t     t     A     t     t        t        A
freeze-node-short  A     A       A      A      A    A    t     t    t     t     t     t     t        t        t
freeze-node-long   A     t       t      A      A    t    t     t    t     t     t     t     t        t        t
freeze-server-long A     A       A      A      A    A    t     t    t     t     t     t     A        A        A
freeze-vm-long     A     t       t      A      A    t    t     t    t     t     t     t     t        t        t
cut-both           A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
cut-both-drop      A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
cut-both-reset     A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
cut-out            A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
cut-in             A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
cut-both-long      A     A       A      A      A    A    t     A    A     A     A     t     A        A        A
silent-peers       A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
silent-server      -     -       -      -      -    -    t     A    A     A     A     A     A        A        A
cut-log            A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
log-down           A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
log-slow           A     A       A      A      A    A    t     A    A     A     A     A     A        A        A
log-answer-lost    A     t       t      A      A    t    t     t    t     t     A     t     t        t        A
late               -     -       -      -      -    -    A     A    A     A     A     A     -        -        -
too-late           -     -       -      -      -    -    t     t    t     t     t     t     -        -        -
truncated          -     -       -      -      -    -    t     t    t     t     A     t     -        -        -
garbled            -     -       -      -      -    -    t     t    t     t     A     t     -        -        -
wrong-call         -     -       -      -      -    -    t     t    t     t     A     t     -        -        -
doubled            -     -       -      -      -    -    t     A    A     A     A     A     -        -        -
silent             -     -       -      -      -    -    t     t    t     t     t     t     -        -        -
lost               -     -       -      -      -    -    t     A    -     -     -     -     -        -        -
mute               -     -       -      -      -    -    t     A    A     A     A     A     -        -        -
"""  # noqa: E501
ANSWERED = "A"
NOT_APPLICABLE = "-"

# cells of `make test`
FIXED_CELLS = (
    ("entry", "kill-node"),
    ("entry", "cut-both"),
    ("primary", "kill-vm"),
    ("primary", "log-down"),
    ("minter", "freeze-node-short"),
    ("minter", "silent-peers"),
    ("backup", "kill-node"),
    ("link", "cut-both-reset"),
    ("run-1", "kill-server"),
    ("run-0", "wrong-call"),
    ("run-1", "truncated"),
    ("run-0", "garbled"),
    ("run-2", "kill-node"),
    ("far-1", "silent-peers"),
    ("answer-0", "repeats"),
)


@frozen
class Cell:
    """A step, the faults injected there, and whether the request must be answered."""

    step: str
    faults: tuple[str, ...]
    must_answer: bool

    @property
    def name(self) -> str:
        return f"{self.step}/{'+'.join(self.faults)}"


def read_table() -> list[Cell]:
    """Return all cells of the table."""
    head, *rows = TABLE.strip().splitlines()
    steps = head.split()
    cells = []
    for row in rows:
        fault, *marks = row.split()
        for step, mark in zip(steps, marks, strict=True):
            if mark != NOT_APPLICABLE:
                cells.append(Cell(step, (fault,), mark == ANSWERED))
    return cells


def draw_pairs(number: int, seed: int) -> tuple[list[Cell], int]:
    """Return random pairs of faults at one step, and the number of all pairs."""
    by_step: dict[str, list[str]] = {step: [] for step in STEPS}
    for cell in read_table():
        by_step[cell.step].append(cell.faults[0])
    pairs = [
        Cell(step, pair, False)
        for step, faults in by_step.items()
        for pair in itertools.permutations(faults, 2)
        if "repeats" not in pair and _are_compatible(*pair)
    ]
    chosen = random.Random(seed).sample(pairs, min(number, len(pairs)))
    return chosen, len(pairs)


def _are_compatible(one: str, other: str) -> bool:
    # a killed or frozen process accepts no second process fault or answer fault
    affects_process = [
        name.split("-")[0] in ("kill", "freeze") for name in (one, other)
    ]
    changes_answers = FAULTS[other].changes_answers or FAULTS[one].changes_answers
    return not all(affects_process) and not (any(affects_process) and changes_answers)
