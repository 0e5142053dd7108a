"""Summaries of the results of checks."""

from __future__ import annotations

import pytest

from tools.results import KnownRed, Result, Status, parse_known_red, sum_up

PASSED = Result("a", Status.PASSED)
FAILED = Result("b", Status.FAILED)
SKIPPED = Result("c", Status.SKIPPED)
ENTRY = "b: the reason: issue 3"


@pytest.mark.parametrize(
    ("results", "known", "line", "green"),
    [
        ([PASSED], "", "1 passed, 0 failed", True),
        ([PASSED, FAILED], "", "1 passed, 1 failed", False),
        ([PASSED, SKIPPED], "", "1 passed, 0 failed, 1 skipped", True),
        ([PASSED, FAILED], ENTRY, "1 passed, 0 failed", True),
        ([PASSED, FAILED], "b: no issue", "1 passed, 1 failed", False),
        ([PASSED], ENTRY, "1 passed, 1 failed", False),
        ([], "", "0 passed, 0 failed", False),
        ([PASSED, FAILED], "\n".join([ENTRY] * 4), "1 passed, 1 failed", False),
    ],
)
def test_sum_up(results, known, line, green):
    summary = sum_up(results, parse_known_red(known))
    assert summary.closing_line == line
    assert summary.green is green


def test_parse_known_red():
    text = "\ntests/test_a.py::test_b[x:y]: a cause: issue 4: more\n"
    entry = KnownRed("tests/test_a.py::test_b[x:y]", "a cause", "issue 4: more")
    assert parse_known_red(text) == (entry,)


def test_skipped_checks_are_listed_with_reason():
    skipped = Result("c", Status.SKIPPED, "no checker")
    assert sum_up([skipped, SKIPPED], ()).skipped == ("c: no checker", "c")
