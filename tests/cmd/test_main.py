"""Parsing of command-line arguments."""

from __future__ import annotations

import pytest

from eelgrassmount.cmd import main as module
from eelgrassmount.cmd.action import Action, ExitCode
from eelgrassmount.cmd.main import main


@pytest.fixture
def seen(monkeypatch):
    values = []

    def probe(file: str = "", admin: str = "", json: bool = False) -> Action:
        return Action(lambda: values.append((file, admin, json)) or ExitCode.DONE)

    monkeypatch.setattr(module, "COMMANDS", {"probe": probe, "group": {"sub": probe}})
    return values


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        ("probe", ("", "", False)),
        ("probe 0x10 --admin 1e3", ("0x10", "1e3", False)),
        ("probe a,b --admin=None --json", ("a,b", "None", True)),
        ("probe --json f", ("f", "", True)),
        ("group sub -j -", ("-", "", True)),
        ("probe group -a=x", ("group", "x", False)),
        ("probe -1", ("-1", "", False)),
    ],
)
def test_argument_values_stay_strings(seen, words, expected):
    assert main(words.split()) == ExitCode.DONE
    assert seen == [expected]


@pytest.mark.parametrize(
    "words",
    ["", "group", "prob", "probe f --typo", "probe f --typo=1", "probe f x y z"],
)
def test_invalid_command_line_runs_no_command(seen, words):
    assert main(words.split()) == ExitCode.USAGE
    assert seen == []


def test_help_runs_no_command(seen, capsys):
    assert main(["group", "sub", "f", "--help"]) == ExitCode.DONE
    assert "--admin" in capsys.readouterr().err
    assert seen == []
