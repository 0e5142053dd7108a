"""The command line: parse it and run one command."""

from __future__ import annotations

import os
import re
import sys
from typing import TYPE_CHECKING, Any

import fire
from fire.core import FireExit

from eelgrassmount.cmd import config, status
from eelgrassmount.cmd.action import Action, ExitCode
from eelgrassmount.cmd.explain import explain
from eelgrassmount.cmd.node import node
from eelgrassmount.errors import (
    AdminRefusedError,
    EelgrassmountError,
    NodeUnreachableError,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

PROGRAM = "eelgrassmount"

_FLAG = re.compile(r"--|-[a-z]")
_BOOLEAN_FLAGS = ("--json", "-j")
_HELP_FLAGS = ("--help", "-h")


def relay() -> Action:
    """Run a node beside a backend server on the users' platform.

    It takes no flags: all settings are in the platform's settings file, whose path
    is in the environment. It runs until SIGTERM.
    """

    def start() -> int:
        # imported on demand: other commands don't need the modules of a node
        from eelgrassmount.cmd.relay import run_relay

        return run_relay()

    return Action(start)


COMMANDS = {
    "node": node,
    "relay": relay,
    "config": {
        "publish": config.publish,
        "show": config.show,
        "validate": config.validate,
        "history": config.history,
        "rollback": config.rollback,
    },
    "status": status.status,
    "explain": explain,
    "drain": status.drain,
    "version": status.version,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command that the arguments name and return the exit code."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    # print help directly instead of starting a pager process
    os.environ["PAGER"] = "-"
    try:
        action = fire.Fire(
            COMMANDS, _prepare_arguments(words), PROGRAM, serialize=lambda _: None
        )
    except FireExit as stop:
        return stop.code
    if not isinstance(action, Action):
        return _report_missing_command(words)
    return _run(action)


def _prepare_arguments(words: list[str]) -> list[str]:
    """Return the arguments in the form that `fire` parses correctly.

    A help flag becomes a request for help on the command, a boolean flag doesn't
    consume the following argument, and each value stays a string.
    """
    path, command = _find_command(words)
    if any(word in _HELP_FLAGS for word in words):
        return [*path, "--", "--help"]
    if isinstance(command, dict):
        return words
    return path + [_prepare_argument(word) for word in words[len(path) :]]


def _prepare_argument(word: str) -> str:
    if word in _BOOLEAN_FLAGS:
        return f"{word}=True"
    if not _FLAG.match(word):
        return repr(word)
    flag, equals, value = word.partition("=")
    return f"{flag}={value!r}" if equals else flag


def _find_command(words: list[str]) -> tuple[list[str], Any]:
    """Return the leading words that select a command, and the command or group."""
    path: list[str] = []
    command: Any = COMMANDS
    for word in words:
        if not isinstance(command, dict) or word not in command:
            break
        path.append(word)
        command = command[word]
    return path, command


def _report_missing_command(words: list[str]) -> int:
    path, _ = _find_command(words)
    print(f"name a command, see: {' '.join([PROGRAM, *path])} --help", file=sys.stderr)
    return ExitCode.USAGE


def _run(action: Action) -> int:
    try:
        return action.start()
    except NodeUnreachableError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNREACHABLE
    except AdminRefusedError as error:
        print(error, file=sys.stderr)
        return ExitCode.REFUSED
    except EelgrassmountError as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
