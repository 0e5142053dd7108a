"""Summaries of the results of checks."""

from __future__ import annotations

import pytest

from tools.results import KnownRed, Result, Status, parse_known_red, sum_up

PASSED = Result("a", Status.PASSED)
FAILED = Result("b", Status.FAILED)
SKIPPED = Result("c", Status.SKIPPED)
ENTRY = "b: the reason: issue 3"
NOT_RUN = "not run: d.sh (seed 1): the reason: issue 3"
FIVE_FAILED = [Result(f"b{number}", Status.FAILED) for number in range(5)]
FIVE_ENTRIES = "\n".join(f"b{number}: the reason: issue 3" for number in range(5))


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
        # One entry for each fault, whatever their number.
        ([PASSED, FAILED], "\n".join([ENTRY] * 4), "1 passed, 1 failed", False),
        ([PASSED, *FIVE_FAILED], FIVE_ENTRIES, "1 passed, 0 failed", True),
        ([PASSED, *FIVE_FAILED[1:]], FIVE_ENTRIES, "1 passed, 1 failed", False),
        # One failure is enough, also if the id stands there twice.
        (
            [PASSED, FAILED, Result("b", Status.PASSED)],
            ENTRY,
            "2 passed, 0 failed",
            True,
        ),
        # Commands outside of the run, which name their seed.
        ([PASSED], NOT_RUN, "1 passed, 0 failed", True),
        ([PASSED], f"{NOT_RUN}\n{NOT_RUN}", "1 passed, 1 failed", False),
        ([PASSED], NOT_RUN.replace("seed 1", "no seed"), "1 passed, 0 failed", True),
        ([PASSED], NOT_RUN.replace(" (seed 1)", ""), "1 passed, 1 failed", False),
        ([PASSED], "not run: d.sh (seed 1): no issue", "1 passed, 1 failed", False),
        # A test of the run is not listed as one outside of it.
        ([PASSED, FAILED], NOT_RUN.replace("d.sh", "b"), "1 passed, 2 failed", False),
        ([PASSED], NOT_RUN.replace("d.sh", "a"), "1 passed, 1 failed", False),
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


def test_parse_known_red_of_a_command_outside_of_the_run():
    text = "not run: review/1/run.sh (seed 1): a cause: issue 4"
    entry = KnownRed("review/1/run.sh (seed 1)", "a cause", "issue 4", in_run=False)
    assert parse_known_red(text) == (entry,)


def test_summary_tells_entries_of_the_run_from_others():
    summary = sum_up([PASSED, FAILED], parse_known_red(f"{NOT_RUN}\n{ENTRY}"))
    assert [entry.id for entry in summary.known_red] == ["b"]
    assert [entry.id for entry in summary.known_red_not_run] == ["d.sh (seed 1)"]


def test_skipped_checks_are_listed_with_reason():
    skipped = Result("c", Status.SKIPPED, "no checker")
    assert sum_up([skipped, SKIPPED], ()).skipped == ("c: no checker", "c")
