"""Commands that read and change the configuration."""

from __future__ import annotations

import secrets
import sys
import time
from typing import TYPE_CHECKING, Any

from eelgrassmount.cmd.action import Action, ExitCode, is_set, print_result
from eelgrassmount.cmd.client import (
    AdminReply,
    call_admin,
    read_admin,
    read_admin_address,
    require_success,
)
from eelgrassmount.cmd.text import format_table, read_text, read_version
from eelgrassmount.errors import NodeUnreachableError

if TYPE_CHECKING:
    from eelgrassmount.util.addresses import Address

PUBLISH_TIMEOUT_S = 20.0

_ID_BYTES = 8
_OK = 200
_CONFLICT = 409
_INVALID = 422
_OUTCOME_UNKNOWN = 503
_DEFAULT_RETRY_DELAY_S = 1.0
_HISTORY_COLUMNS = ("version", "base", "offset", "bytes")


def publish(file: str, admin: str = "", base: str = "", json: bool = False) -> Action:
    """Publish a configuration.

    It replaces the version in force. If another operator publishes first, nothing
    changes and the exit code is 1. The request is retried after a lost reply; if the
    outcome stays unknown, the exit code is 4, and `config show` shows it later.

    Args:
        file: The TOML file, or - for standard input.
        admin: Admin address (ip:port) of any node; else EELGRASSMOUNT_ADMIN.
        base: The version to replace; else the one in force. Give the version that
            the file is based on, so that no other operator's change is reverted.
        json: Print JSON.
    """

    def start() -> ExitCode:
        address = read_admin_address(admin)
        text = read_text(file)
        version = read_version("base", base) if base else _read_in_force(address)
        return _publish_text(address, text, version, is_set("json", json), file)

    return Action(start)


def show(admin: str = "", json: bool = False) -> Action:
    """Show the configuration in force at a node.

    The output is TOML that can be edited and published; its first line is a
    comment that names the version.

    Args:
        admin: Admin address (ip:port) of any node; else EELGRASSMOUNT_ADMIN.
        json: Print JSON.
    """

    def start() -> ExitCode:
        content = read_admin(read_admin_address(admin), "/config")
        reach = "reachable" if content.get("log_reachable") else "not reachable"
        head = f"# version {content['version']}, log {reach}"
        text = f"{head}\n{content['text']}".rstrip()
        print_result(text, content, is_set("json", json))
        return ExitCode.DONE

    return Action(start)


def validate(file: str, json: bool = False) -> Action:
    """Check a configuration file without a node.

    Errors are printed with their lines; the exit code is 1 if there are any.

    Args:
        file: The TOML file, or - for standard input.
        json: Print JSON.
    """

    def start() -> ExitCode:
        from eelgrassmount.config.document import parse_document

        result = parse_document(read_text(file))
        if not isinstance(result, tuple):
            text = f"{file}: valid, classes: {len(result.classes)}"
            print_result(text, {"errors": []}, is_set("json", json))
            return ExitCode.DONE
        errors = [{"line": item.line, "message": item.message} for item in result]
        return _print_errors(errors, file, is_set("json", json))

    return Action(start)


def history(admin: str = "", json: bool = False) -> Action:
    """List the versions that the log still contains, oldest first.

    Args:
        admin: Admin address (ip:port) of any node; else EELGRASSMOUNT_ADMIN.
        json: Print JSON, with the text of each version.
    """

    def start() -> ExitCode:
        content = read_admin(read_admin_address(admin), "/config/history")
        rows = [
            {**entry, "bytes": len(entry["text"].encode())}
            for entry in content["versions"]
        ]
        text = "\n".join(format_table(_HISTORY_COLUMNS, rows))
        print_result(text, content, is_set("json", json))
        return ExitCode.DONE

    return Action(start)


def rollback(version: str, admin: str = "", json: bool = False) -> Action:
    """Publish the content of an earlier version as a new version.

    Args:
        version: The version to restore, as listed by `config history`.
        admin: Admin address (ip:port) of any node; else EELGRASSMOUNT_ADMIN.
        json: Print JSON.
    """

    def start() -> ExitCode:
        requested = read_version("version", version)
        address = read_admin_address(admin)
        base = _read_in_force(address)
        entries = read_admin(address, "/config/history")["versions"]
        texts = {entry["version"]: entry["text"] for entry in entries}
        if requested not in texts:
            print(
                f"version {requested} is not stored, see: config history",
                file=sys.stderr,
            )
            return ExitCode.REFUSED
        name = f"version {requested}"
        return _publish_text(
            address, texts[requested], base, is_set("json", json), name
        )

    return Action(start)


def _read_in_force(address: Address) -> int:
    return read_admin(address, "/config")["version"]


def _publish_text(
    address: Address, text: str, base: int, as_json: bool, name: str
) -> ExitCode:
    reply = _publish_until_settled(address, text, base)
    match reply.status:
        case status if status == _OK:
            version = reply.content["version"]
            print_result(f"version {version} is accepted", reply.content, as_json)
            return ExitCode.DONE
        case status if status == _CONFLICT:
            return _print_refusal(reply.content, as_json, ExitCode.REFUSED)
        case status if status == _INVALID:
            return _print_errors(reply.content["errors"], name, as_json)
        case status if status == _OUTCOME_UNKNOWN:
            return _print_refusal(reply.content, as_json, ExitCode.UNKNOWN)
    require_success(address, reply)
    return ExitCode.REFUSED


def _publish_until_settled(address: Address, text: str, base: int) -> AdminReply:
    """Retry a publish until its outcome is known or `PUBLISH_TIMEOUT_S` is over.

    All attempts carry one id, so that the node publishes the text at most once.
    """
    path = f"/config?base={base}&id={secrets.token_hex(_ID_BYTES)}"
    end_s = time.monotonic() + PUBLISH_TIMEOUT_S
    while True:
        reply = _send_once(address, path, text)
        if reply.status != _OUTCOME_UNKNOWN:
            return reply
        wait_s = reply.content.get("retry_after_ms", 0) / 1000 or _DEFAULT_RETRY_DELAY_S
        if time.monotonic() + wait_s > end_s:
            return reply
        time.sleep(wait_s)


def _send_once(address: Address, path: str, text: str) -> AdminReply:
    try:
        return call_admin(address, "POST", path, text.encode())
    except NodeUnreachableError as error:
        if not error.sent:
            raise
        message = f"not known whether it was accepted: {error.cause}"
        return AdminReply(_OUTCOME_UNKNOWN, {"message": message})


def _print_refusal(content: Any, as_json: bool, code: ExitCode) -> ExitCode:
    if as_json:
        print_result("", content, True)
    else:
        print(content["message"], file=sys.stderr)
    return code


def _print_errors(errors: Any, name: str, as_json: bool) -> ExitCode:
    if as_json:
        print_result("", {"errors": errors}, True)
    for error in () if as_json else errors:
        print(f"{name}:{error['line']}: {error['message']}", file=sys.stderr)
    return ExitCode.REFUSED
