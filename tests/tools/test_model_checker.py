"""Installation of the model checker, and test runs without it."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tools.model_checker import ABSENCE_VARIABLE, describe_absence, set_up_checker
from tools.reports import read_pytest
from tools.results import Status, sum_up

ROOT = Path(__file__).parents[2]
MODEL_TESTS = "tests/model/test_model.py"
# Programs that the script itself calls.
SCRIPT_PROGRAMS = ("sh", "mkdir", "tail", "touch", "chmod")


@pytest.fixture
def bare_path(tmp_path, monkeypatch):
    """Set PATH to a directory without spin, gcc and apt-get; return the directory."""
    directory = tmp_path / "bin"
    directory.mkdir()
    for name in SCRIPT_PROGRAMS:
        (directory / name).symlink_to(shutil.which(name))
    monkeypatch.setenv("PATH", str(directory))
    monkeypatch.delenv(ABSENCE_VARIABLE, raising=False)
    monkeypatch.delenv("CI", raising=False)
    return directory


def add_program(directory: Path, name: str, script: str = "") -> None:
    program = directory / name
    program.write_text(f"#!/bin/sh\n{script}\n")
    program.chmod(0o755)


def add_installer(directory: Path, calls: Path, installs: str) -> None:
    """Add an apt-get that logs its arguments and installs empty programs."""
    lines = [f'echo "$*" >>{calls}', '[ "$1" = update ] && exit 0']
    paths = [str(directory / name) for name in installs.split()]
    lines += [f"touch {path}; chmod +x {path}" for path in paths]
    add_program(directory, "apt-get", "\n".join(lines))


def test_nothing_is_installed_when_complete(bare_path, tmp_path):
    calls = tmp_path / "calls"
    add_installer(bare_path, calls, "")
    add_program(bare_path, "spin")
    add_program(bare_path, "gcc")
    assert set_up_checker() == ""
    assert not calls.exists()


@pytest.mark.parametrize(
    ("present", "packages"),
    [("", "spin gcc libc6-dev"), ("gcc", "spin"), ("spin", "gcc libc6-dev")],
)
def test_installs_only_what_is_missing(bare_path, tmp_path, present, packages):
    calls = tmp_path / "calls"
    add_installer(bare_path, calls, "spin gcc")
    if present:
        add_program(bare_path, present)
    assert set_up_checker() == ""
    assert calls.read_text().splitlines()[-1].endswith(f"-y {packages}")


def test_missing_installer_is_reported(bare_path):
    reason = set_up_checker()
    assert reason == "spin gcc libc6-dev missing, and no apt-get to install with"


def test_failure_of_installer_is_reported(bare_path):
    script = "echo first >&2; echo E: are you root? >&2; exit 100"
    add_program(bare_path, "apt-get", script)
    reason = set_up_checker()
    assert reason == "spin gcc libc6-dev not installed: E: are you root?"


def test_incomplete_installation_is_reported(bare_path, tmp_path):
    add_installer(bare_path, tmp_path / "calls", "gcc")
    assert set_up_checker() == "spin gcc libc6-dev installed, but no spin on the PATH"


@pytest.mark.parametrize(
    ("reason", "ci", "described"),
    [
        ("no spin", "", "no spin"),
        ("no spin", "false", "no spin"),
        ("no spin", "true", ""),
        ("", "", ""),
    ],
)
def test_describe_absence(reason, ci, described):
    assert describe_absence({ABSENCE_VARIABLE: reason, "CI": ci}) == described


def run_model_tests(report: Path, **environment: str):
    """Run the model tests in a child process and return the summary."""
    command = (sys.executable, "-m", "pytest", f"--junitxml={report}", MODEL_TESTS)
    subprocess.run(
        command, cwd=ROOT, env={**os.environ, **environment}, capture_output=True
    )
    return sum_up(read_pytest(report), ())


# Guards against model tests that pass without the checker, and against skipped ones in
# CI or where no installation was attempted.
@pytest.mark.parametrize(
    ("reason", "ci", "status"),
    [
        ("no spin to be had", "", Status.SKIPPED),
        ("no spin to be had", "true", Status.FAILED),
        ("", "", Status.FAILED),
    ],
)
def test_model_without_checker(bare_path, tmp_path, monkeypatch, reason, ci, status):
    monkeypatch.chdir(ROOT)
    summary = run_model_tests(
        tmp_path / "report.xml", **{ABSENCE_VARIABLE: reason, "CI": ci}
    )
    by_status = {Status.SKIPPED: summary.skipped, Status.FAILED: summary.failed}
    cases = by_status.pop(status)
    (others,) = by_status.values()
    assert len(cases) > 20
    assert not others
    assert all(case.startswith(f"{MODEL_TESTS}::test_case[") for case in cases)
    if status is Status.SKIPPED:
        assert all(case.endswith(": no spin to be had") for case in cases)
        assert summary.closing_line.endswith(f" 0 failed, {len(cases)} skipped")
