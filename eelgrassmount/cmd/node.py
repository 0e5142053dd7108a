"""The command that runs a node."""

from __future__ import annotations

import inspect
import os
from typing import TYPE_CHECKING

from attrs import NOTHING, Factory, fields

from eelgrassmount.cmd.action import Action, ExitCode
from eelgrassmount.settings import Settings, load_settings

if TYPE_CHECKING:
    from attrs import Attribute

_INTRODUCTION = """Run a node beside this VM's backend server.

    It runs until SIGTERM, SIGINT or `drain`, then finishes every request in flight and
    exits with 0. Each flag may also be given as an environment variable, in capitals
    with EELGRASSMOUNT_ before it, for example EELGRASSMOUNT_PEERS; the flag wins.
    An invalid setting ends the process at once with exit code 2.

    Args:
"""


def node(**flags: str) -> Action:
    """Run a node; help and flags are generated from `Settings`."""

    def start() -> ExitCode:
        settings = load_settings(flags, os.environ)
        # imported on demand: slow to import, and other commands don't need them
        from eelgrassmount.compose.main import run_node
        from eelgrassmount.logging_setup import configure_logging

        configure_logging(settings.log_level)
        run_node(settings)
        return ExitCode.DONE

    return Action(start)


def _format_flag_help(item: Attribute) -> str:
    rule = item.metadata["rule"]
    need = " Required." if item.default is NOTHING else ""
    return f"        {item.name}: {rule.meaning} Give {rule.allowed}.{need}\n"


def _make_parameter(item: Attribute) -> inspect.Parameter:
    default = item.default
    if default is NOTHING or default == () or isinstance(default, Factory):
        default = ""
    return inspect.Parameter(
        item.name, inspect.Parameter.KEYWORD_ONLY, default=str(default)
    )


node.__doc__ = _INTRODUCTION + "".join(map(_format_flag_help, fields(Settings)))
node.__signature__ = inspect.Signature(list(map(_make_parameter, fields(Settings))))
