"""Commands that show the state of a node or stop it."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any

from eelgrassmount import __version__
from eelgrassmount.cmd.action import Action, ExitCode, is_set, print_result
from eelgrassmount.cmd.client import (
    call_admin,
    read_address,
    read_admin,
    read_admin_address,
    require_success,
)
from eelgrassmount.cmd.text import format_table

_MEMBER_COLUMNS = (
    *("address", "failure_domain", "state", "service", "server_state", "headroom"),
)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_SUMMARY_COLUMNS = ("failure_domain", "service", "servers", "headroom")
_PEER_COLUMNS = (
    *("name", "service", "failure_domain", "linked", "accepting"),
    *("in_flight", "queued", "limit", "failure_share", "age_s"),
)
_BUDGET_COLUMNS = ("service", "requests", "retries", "allowed")
_QUOTA_COLUMNS = ("team", "rate", "burst", "held_rate", "level", "asked_per_s")


def status(admin: str = "", json: bool = False, relay: str = "") -> Action:
    """Show the state of a node and its known members.

    Args:
        admin: Admin address (ip:port) of the node; else EELGRASSMOUNT_ADMIN.
        json: Print JSON.
        relay: Metrics address (ip:port) of a node on the platform, in place of admin.
    """

    def start() -> ExitCode:
        if relay:
            content = read_admin(read_address("relay", relay), "/state")
            text = "\n".join(_format_relay(content))
            print_result(text, content, is_set("json", json))
            return ExitCode.DONE
        address = read_admin_address(admin)
        state = read_admin(address, "/state")
        members = read_admin(address, "/members")
        text = "\n".join([*_format_state(state), *_format_members(members)])
        print_result(text, {"state": state, **members}, is_set("json", json))
        return ExitCode.DONE

    return Action(start)


def drain(admin: str = "", json: bool = False) -> Action:
    """Stop a node gracefully: refuse new requests, finish those in flight, then exit.

    The command returns at once; `status` shows the progress.

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


def _format_rate_limit(rate_limit: float | None) -> list[str]:
    if rate_limit is None:
        return []
    return [f"rate limit     {rate_limit:g} requests a second, named by the server"]


def _format_relay(state: dict[str, Any]) -> list[str]:
    server = state["server"]
    work = f"no work: {server['refusal']}" if server["refusal"] else "takes work"
    age = (
        ""
        if state["version_age_s"] is None
        else f" from {state['version_source']}, {state['version_age_s']} s old"
    )
    lost = ", ".join(state["lost_topics"])
    lines = [
        f"node           {state['node']}, incarnation {state['incarnation']}",
        f"place          {state['failure_domain']}, service {state['service']}",
        f"clients        {'ready' if state['ready'] else 'not ready'}"
        f"{', stopping' if state['stopping'] else ''}",
        f"configuration  version {state['version']}{age}, {state['routes']} routes",
        f"log            {_format_log(state['log'], lost)}",
        f"server         {_format_start(server)}, {work}",
        f"dispatcher     {server['in_flight']} of {server['limit']} in flight "
        f"({server['slots']} slots), {server['queued']} queued",
        *_format_rate_limit(server["rate_limit"]),
        f"entry          {_format_entry(state['entry'])}",
        f"counts         requests of {state['log']['counted_nodes']} nodes",
        f"load           demand {server['demand']}, wait {server['wait']}, failures "
        f"{server['failure_share']}",
    ]
    teams = state["teams"]
    if teams["teams"]:
        allocators = ", ".join(teams["holders"]) or "nobody"
        lines.append(f"teams          {teams['teams']}, quotas held by {allocators}")
    refused = state["refused"]
    if refused:
        counts = ", ".join(f"{count} {kind}" for kind, count in refused.items())
        lines.append(f"not taken up   {counts}")
    for name, fraction in state["levels"].items():
        if fraction < 1.0:
            lines.append(
                f"overloaded     {name}: {fraction} of the offered load admitted"
            )
    lines += [
        f"rejecting      {name}: {share} of its calls"
        for name, share in state["rejecting"].items()
    ]
    lines += [
        f"call budget    {name}: {rate} of the service"
        for name, rate in state["call_budgets"].items()
    ]
    moved = state["balancing"]["moved"]
    if moved:
        lines.append(f"balancing      {moved} queued calls moved to other servers")
    lines += [
        f"refused partly {one['route']} of rank {one['rank']}: {one['share']} admitted"
        for one in state["shares"]
    ]
    lines += [
        f"limited        {one['group']} on {one['route']} of rank {one['rank']}: "
        f"{one['share']} of {one['rate']} requests a second admitted"
        for one in state["groups"]
    ]
    for name, calls in state["vectors"].items():
        made = ", ".join(f"{count} {called}" for called, count in calls.items())
        lines.append(f"calls          {name}: {made or 'none'}")
    if teams["held"]:
        lines += ["", "parts of quotas held here, in requests (a second):"]
        lines += format_table(_QUOTA_COLUMNS, teams["held"])
    lines += ["", "retry budget, requests and retries in the window:"]
    lines += format_table(_BUDGET_COLUMNS, map(_drop_unknown, state["budgets"]))
    lines += ["", f"other nodes: {len(state['members'])}"]
    return lines + format_table(_PEER_COLUMNS, state["members"])


def _format_entry(entry: dict[str, Any]) -> str:
    """Describe the requests that wait at a node and the clients that return."""
    outcomes = entry["outcomes"]
    returned = entry["visits"].get("returning", 0)
    ended = sum(outcomes.values())
    return (
        f"{entry['waiting']} waiting, {outcomes.get('started', 0)} of {ended} started "
        f"after a wait, {returned} returned, {entry['expected_returns']} expected"
    )


def _format_log(log: dict[str, Any], lost: str) -> str:
    """Describe the source of log records: local reads, or other nodes."""
    era = "" if log["era"] < 0 else f", era {log['era']}"
    era += f", confirmed by {log['source']} {_format_age(log['age_s'])}"
    if log["reading"]:
        reach = f"lost: {lost}" if lost else "reachable"
        return f"{reach}, read for {log['subscribers']} nodes{era}"
    readers = [
        f"{one['name']} ({_format_age(one['age_s'])}"
        f"{'' if one['reads'] or one['hears'] else ', can not read it'})"
        for one in log["readers"]
    ]
    return f"heard from {', '.join(readers) or 'nobody'}{era}"


def _drop_unknown(row: dict[str, Any]) -> dict[str, Any]:
    return {
        name: round(value, 1) if isinstance(value, float) else value
        for name, value in row.items()
        if value is not None
    }


def _format_age(age_s: float | None) -> str:
    return "not yet" if age_s is None else f"{age_s} s ago"


def _format_start(server: dict[str, Any]) -> str:
    """Return the identity and start time of a server."""
    identity = server["incarnation"]
    if not identity:
        return "not known"
    started_ms = server["started_ms"]
    if not started_ms:
        return f"{identity}, start not known"
    started = _EPOCH + timedelta(milliseconds=started_ms)
    moment = started.isoformat(" ", "milliseconds").removesuffix("+00:00")
    return f"{identity}, started {moment} UTC"


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
