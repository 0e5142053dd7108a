"""Runs Spin on one case."""

from __future__ import annotations

import re
import shutil
import subprocess
import tempfile
from pathlib import Path

from attrs import frozen

from tests.model.cases import Case

MISSING_PROGRAM = (
    "the model checker is missing: install {} (Debian: apt-get install spin gcc); "
    "the model is not checked without it"
)

_PROGRAMS = ("spin", "gcc")
_DIRECTORY = Path(__file__).parent
_COMPILER_FLAGS = ("-w", "-DSAFETY", "-DCOLLAPSE", "-DVECTORSZ=4096")
_MAX_MEMORY_MB = 6000
_MAX_DEPTH = 1_000_000
_STATES = re.compile(r"(\d+) states, stored")
_ERRORS = re.compile(r"errors: (\d+)")
_VIOLATED = re.compile(r"assertion violated (.*) \(at depth")
_INCOMPLETE = ("Search not completed", "max search depth too small")


@frozen
class CheckResult:
    """The result of a case, and whether it is the expected one."""

    case: Case
    passed: bool
    states: int
    detail: str


def check_case(case: Case, small: bool) -> CheckResult:
    """Check a case exhaustively within its bounds or its small bounds."""
    missing = find_missing_program()
    if missing:
        return CheckResult(case, False, 0, MISSING_PROGRAM.format(missing))
    defines = case.small if small and case.small else case.defines
    with tempfile.TemporaryDirectory() as directory:
        optimise = "-O0" if small or case.mistake else "-O2"
        output = _run_checker(case.file, defines, optimise, Path(directory))
    return evaluate_output(case, output)


def find_missing_program() -> str:
    """Return a required program that is not installed, or an empty string."""
    return next((name for name in _PROGRAMS if shutil.which(name) is None), "")


def evaluate_output(case: Case, output: str) -> CheckResult:
    """Compare the output of the checker with the expectation of the case."""
    states, errors = _STATES.search(output), _ERRORS.search(output)
    if not states or not errors:
        return CheckResult(case, False, 0, f"the checker failed: {output[-2000:]}")
    count = int(states[1])
    violated = _VIOLATED.search(output)
    if case.mistake:
        if violated and case.mistake in violated[1]:
            return CheckResult(case, True, count, "counterexample found")
        what = violated[1] if violated else "none"
        return CheckResult(case, False, count, f"no such counterexample: {what}")
    if int(errors[1]):
        what = violated[1] if violated else output[-2000:]
        return CheckResult(case, False, count, f"a property is violated: {what}")
    if any(sign in output for sign in _INCOMPLETE):
        return CheckResult(case, False, count, "the search was not complete")
    return CheckResult(case, True, count, "holds")


def _run_checker(
    file: str, defines: tuple[str, ...], optimise: str, directory: Path
) -> str:
    shutil.copy(_DIRECTORY / file, directory)
    flags = [f"-D{define}" for define in defines]
    limit = f"-DMEMLIM={_MAX_MEMORY_MB}"
    steps = (
        ("spin", *flags, "-a", file),
        ("gcc", optimise, *_COMPILER_FLAGS, limit, "-o", "pan", "pan.c"),
        ("./pan", f"-m{_MAX_DEPTH}"),
    )
    output = ""
    for step in steps:
        process = subprocess.run(
            step, cwd=directory, capture_output=True, text=True, check=False
        )
        output += process.stdout + process.stderr
        if process.returncode:
            break
    return output
