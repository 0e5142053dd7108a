"""Runs formatter, linter, pytest and behave, and prints a summary."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from attrs import frozen

from tools.model_checker import ABSENCE_VARIABLE, set_up_checker
from tools.reports import read_behave, read_pytest
from tools.results import Result, Status, Summary, parse_known_red, sum_up

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

OUT = Path("out")
KNOWN_RED = Path("KNOWN-RED.txt")
PYTEST_REPORT = OUT / "pytest.xml"
BEHAVE_REPORT = OUT / "behave.json"


@frozen
class Check:
    """A command; with a report, each test in it counts as a result of its own."""

    name: str
    arguments: tuple[str, ...]
    report: Path | None = None
    read: Callable[[Path], Iterator[Result]] | None = None


CHECKS = (
    Check("ruff format", ("ruff", "format", "--check", ".")),
    Check("ruff check", ("ruff", "check", ".")),
    Check(
        "pytest",
        ("pytest", f"--junitxml={PYTEST_REPORT}", "tests"),
        PYTEST_REPORT,
        read_pytest,
    ),
    Check(
        "behave",
        (
            *("behave", "--format", "json", "--outfile", str(BEHAVE_REPORT)),
            # Only the first format has an output file, the second goes to stdout.
            *("--format", "progress", "tests/features"),
        ),
        BEHAVE_REPORT,
        read_behave,
    ),
)


def main() -> int:
    """Run all checks and return the exit code."""
    OUT.mkdir(exist_ok=True)
    prepare_model_checker()
    results = [result for check in CHECKS for result in run_check(check)]
    known_text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    summary = sum_up(results, parse_known_red(known_text))
    _print_summary(summary)
    return 0 if summary.green else 1


def prepare_model_checker() -> None:
    """Install the model checker; if that fails, print why and pass it to the tests."""
    reason = set_up_checker()
    os.environ[ABSENCE_VARIABLE] = reason
    if reason:
        print(f"the model checker is unavailable: {reason}", flush=True)


def run_check(check: Check) -> list[Result]:
    """Run one check and return its results."""
    print(f"== {check.name}", flush=True)
    if check.report is not None:
        check.report.unlink(missing_ok=True)
    status = subprocess.run((sys.executable, "-m", *check.arguments)).returncode
    if check.report is None:
        return [Result(check.name, Status.FAILED if status else Status.PASSED)]
    return _read_report(check, status)


def _read_report(check: Check, status: int) -> list[Result]:
    try:
        results = list(check.read(check.report))
    except (OSError, ValueError, SyntaxError) as error:
        print(f"{check.name}: no report ({error})")
        return [Result(check.name, Status.FAILED)]
    failed = any(result.status is Status.FAILED for result in results)
    # An error outside of any test, or no test at all, must not count as a pass.
    if not results or (status != 0 and not failed):
        results.append(Result(check.name, Status.FAILED))
    for result in results:
        if result.status is Status.FAILED and result.detail:
            print(f"-- {result.id}\n{result.detail}")
    return results


def _print_summary(summary: Summary) -> None:
    print("== summary")
    for text in summary.skipped:
        print(f"skipped: {text}")
    for entry in summary.known_red:
        print(f"known red: {entry.id}: {entry.cause}: {entry.issue}")
    for entry in summary.known_red_not_run:
        print(f"known red, not run: {entry.id}: {entry.cause}: {entry.issue}")
    for text in (*summary.failed, *summary.known_red_errors):
        print(f"failed: {text}")
    print(summary.closing_line)


if __name__ == "__main__":
    sys.exit(main())
