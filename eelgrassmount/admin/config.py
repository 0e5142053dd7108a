"""Handlers of the admin interface for reading and publishing the configuration."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from eelgrassmount.config.publish import Accepted, Invalid, Lost

if TYPE_CHECKING:
    from eelgrassmount.config.follower import ConfigFollower
    from eelgrassmount.config.publish import PublishOutcome
    from eelgrassmount.shared_node_state import SharedNodeState


@dataclass(frozen=True, slots=True)
class JsonReply:
    """An HTTP status and a JSON body."""

    status: int
    body: bytes


def show_config(shared_state: SharedNodeState) -> JsonReply:
    """Answer ``GET /config``: the version in force at this node and its text."""
    current = shared_state.configuration
    return _reply(
        200,
        {
            "version": current.version,
            "text": current.text,
            "log_reachable": shared_state.log_reachable,
        },
    )


async def show_history(follower: ConfigFollower) -> JsonReply:
    """Answer ``GET /config/history``: the accepted versions, oldest first."""
    versions = [
        {
            "version": entry.version,
            "base": entry.base,
            "offset": entry.offset,
            "text": entry.text,
        }
        for entry in await follower.history()
    ]
    return _reply(200, {"versions": versions})


async def publish_config(
    follower: ConfigFollower, body: bytes, base: str | None, request_id: str = ""
) -> JsonReply:
    """Answer ``POST /config?base=N&id=REQUEST``, whose body is the text.

    ``id`` is optional. A retry with the same id returns the outcome of the first
    attempt and publishes nothing again.
    """
    if base is None or not base.isascii() or not base.isdigit():
        return _refuse_request("name the version to replace, as base=7")
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return _refuse_request("the text must be UTF-8")
    outcome = await follower.publish(text, int(base), request_id)
    return describe_outcome(outcome, int(base))


def describe_outcome(outcome: PublishOutcome, base: int) -> JsonReply:
    """Return the reply to a publish on top of version ``base``."""
    match outcome:
        case Accepted(version):
            return _reply(200, {"version": version})
        case Lost(in_force):
            message = f"version {in_force} is in force, not {base}; nothing was changed"
            return _reply(409, {"in_force": in_force, "message": message})
        case Invalid(problems):
            errors = [{"line": p.line, "message": p.message} for p in problems]
            return _reply(422, {"errors": errors})
    retry_after_ms = round(outcome.retry_after_s * 1000)
    message = f"not known whether it was accepted: {outcome.detail}"
    return _reply(503, {"message": message, "retry_after_ms": retry_after_ms})


def _refuse_request(message: str) -> JsonReply:
    return _reply(400, {"message": message})


def _reply(status: int, content: dict[str, object]) -> JsonReply:
    return JsonReply(status, json.dumps(content).encode())
