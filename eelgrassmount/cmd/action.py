"""Actions that commands return, and exit codes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from eelgrassmount.errors import SettingError

if TYPE_CHECKING:
    from collections.abc import Callable


class ExitCode(IntEnum):
    """Exit codes of the process."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class Action:
    """A command with parsed arguments that has not run yet.

    `fire` calls a function before it has checked all arguments. Commands therefore
    return an action, so that a misspelt flag has no effect.
    """

    start: Callable[[], ExitCode]


def print_result(text: str, content: Any, as_json: bool) -> None:
    """Print a result as text, or as one JSON value."""
    print(json.dumps(content, indent=2) if as_json else text)


def is_set(name: str, value: Any) -> bool:
    """Return whether a flag without a value was given; reject any value."""
    if not isinstance(value, bool):
        raise SettingError(name, str(value), "no value")
    return value
