"""Checks the models within small bounds, and the evaluation of Spin's output."""

from __future__ import annotations

import pytest

from tests.model.cases import Case
from tests.model.catalogue import ALL_CASES
from tests.model.checker import check_case, evaluate_output, find_missing_program
from tools.model_checker import describe_absence


@pytest.mark.parametrize("case", ALL_CASES, ids=lambda case: case.name)
def test_case(case: Case) -> None:
    if find_missing_program() and describe_absence():
        pytest.skip(describe_absence())
    result = check_case(case, small=True)
    assert result.passed, result.detail
    assert result.states > 0


_CLEAN = "errors: 0\n 17 states, stored"
_BROKEN = "pan:1: assertion violated (a==b) (at depth 3)\nerrors: 1\n 17 states, stored"


@pytest.mark.parametrize(
    ("mistake", "output", "passed"),
    [
        ("", _CLEAN, True),
        ("", _BROKEN, False),
        ("", "Warning: Search not completed\n" + _CLEAN, False),
        ("", "spin: syntax error", False),
        ("a==b", _BROKEN, True),
        ("a==b", _CLEAN, False),
        ("c==d", _BROKEN, False),
    ],
)
def test_output_is_evaluated(mistake: str, output: str, passed: bool) -> None:
    case = Case("x", "x.pml", (), mistake=mistake)
    assert evaluate_output(case, output).passed is passed
