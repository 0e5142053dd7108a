"""What a command line asks for, and how it ends."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from eelgrassmount.errors import SettingError

if TYPE_CHECKING:
    from collections.abc import Callable


class ExitCode(IntEnum):
    """How a command ended, as the exit code of the process."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class Action:
    """A command with all its arguments read, and not yet run.

    `fire` calls a function before it has looked at every argument, so a command
    only returns what is to be done: a misspelt flag then changes nothing.
    """

    start: Callable[[], ExitCode]


def print_result(text: str, content: Any, as_json: bool) -> None:
    """Print a result for people, or for programs as one JSON value."""
    print(json.dumps(content, indent=2) if as_json else text)


def is_set(name: str, value: Any) -> bool:
    """Tell whether a flag that takes no value was given."""
    if not isinstance(value, bool):
        raise SettingError(name, str(value), "no value")
    return value
