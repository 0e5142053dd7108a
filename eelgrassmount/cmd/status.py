"""Commands that look at a node or stop it."""

from __future__ import annotations

from typing import Any

from eelgrassmount import __version__
from eelgrassmount.cmd.action import Action, ExitCode, is_set, print_result
from eelgrassmount.cmd.client import (
    call_admin,
    read_admin,
    read_admin_address,
    require_success,
)
from eelgrassmount.cmd.text import format_table

_MEMBER_COLUMNS = (
    *("address", "failure_domain", "state", "service", "server_state", "headroom"),
)
_SUMMARY_COLUMNS = ("failure_domain", "service", "servers", "headroom")


def status(admin: str = "", json: bool = False) -> Action:
    """Show the state of a node and the members that it knows.

    Args:
        admin: Admin address (ip:port) of the node; else EELGRASSMOUNT_ADMIN.
        json: Print JSON.
    """

    def start() -> ExitCode:
        address = read_admin_address(admin)
        state = read_admin(address, "/state")
        members = read_admin(address, "/members")
        text = "\n".join([*_format_state(state), *_format_members(members)])
        print_result(text, {"state": state, **members}, is_set("json", json))
        return ExitCode.DONE

    return Action(start)


def drain(admin: str = "", json: bool = False) -> Action:
    """Stop a node gracefully: no new work, then exit when all in flight is done.

    The command returns at once; `status` shows how far it is.

    Args:
        admin: Admin address (ip:port) of the node; else EELGRASSMOUNT_ADMIN.
        json: Print JSON.
    """

    def start() -> ExitCode:
        address = read_admin_address(admin)
        content = require_success(address, call_admin(address, "POST", "/drain"))
        print_result(f"{address} is draining", content, is_set("json", json))
        return ExitCode.DONE

    return Action(start)


def version(json: bool = False) -> Action:
    """Print the version of this program.

    Args:
        json: Print JSON.
    """

    def start() -> ExitCode:
        content = {"version": __version__}
        print_result(f"eelgrassmount {__version__}", content, is_set("json", json))
        return ExitCode.DONE

    return Action(start)


def _format_state(state: dict[str, Any]) -> list[str]:
    server = f"{state['service'] or 'no service'}, {state['server_state']}"
    reach = "reachable" if state["log_reachable"] else "not reachable"
    return [
        f"node           {state['address']}, incarnation {state['incarnation']}",
        f"place          {state['failure_domain']}, region {state['region']}",
        f"server         {server} {state['server_address']}".rstrip(),
        f"shutdown       {state['drain']}",
        f"configuration  version {state['config_version']}, log {reach}",
        f"load           {state['in_flight']} in flight, headroom "
        f"{state['headroom']}, threshold {state['threshold']}",
    ]


def _format_members(content: dict[str, Any]) -> list[str]:
    lines = ["", f"members: {len(content['members'])}"]
    lines += format_table(_MEMBER_COLUMNS, content["members"])
    if content["summaries"]:
        lines += ["", "other failure domains:"]
        lines += format_table(_SUMMARY_COLUMNS, content["summaries"])
    return lines
