"""Client of a node's admin listener."""

from __future__ import annotations

import json
import os
from typing import Any

import httpcore
from attrs import frozen

from eelgrassmount.errors import (
    AddressError,
    AdminRefusedError,
    NodeUnreachableError,
    SettingError,
)
from eelgrassmount.util.addresses import Address, parse_address

ADMIN_VARIABLE = "EELGRASSMOUNT_ADMIN"
TIMEOUT_S = 10.0

_ALLOWED = f"the IPv4 address and port of a node's admin listener, or {ADMIN_VARIABLE}"
# raised before any byte of the request was sent
_UNSENT = (httpcore.ConnectError, httpcore.ConnectTimeout)
_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


@frozen
class AdminReply:
    """The status and JSON content of a reply."""

    status: int
    content: Any


def read_admin_address(text: str) -> Address:
    """Return the address given by flag, or by environment variable."""
    return read_address("admin", text or os.environ.get(ADMIN_VARIABLE, ""), _ALLOWED)


def read_address(
    flag: str, text: str, allowed: str = "an IPv4 address and port"
) -> Address:
    """Return the address given by a flag; errors show ``allowed``."""
    try:
        return parse_address(text)
    except AddressError:
        raise SettingError(flag, text, allowed) from None


def call_admin(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = TIMEOUT_S,
) -> AdminReply:
    """Send one request and return the reply with any status.

    Raises `NodeUnreachableError` without a JSON reply within ``timeout_s``.
    """
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    try:
        response = httpcore.request(
            method,
            f"http://{address}{path}",
            content=body,
            extensions={"timeout": timeouts},
        )
        return AdminReply(response.status, json.loads(response.content))
    except _FAILURES as error:
        cause = str(error) or type(error).__name__
        sent = not isinstance(error, _UNSENT)
        raise NodeUnreachableError(str(address), cause, sent) from error
    except ValueError:
        cause = "the answer is not JSON"
        raise NodeUnreachableError(str(address), cause, True) from None


def read_admin(address: Address, path: str) -> Any:
    """Return the content at a path; raise `AdminRefusedError` for an error status."""
    return require_success(address, call_admin(address, "GET", path))


def require_success(address: Address, reply: AdminReply) -> Any:
    """Return the content of a successful reply or raise `AdminRefusedError`."""
    if 200 <= reply.status < 300:
        return reply.content
    detail = reply.content
    if isinstance(detail, dict):
        detail = detail.get("message", detail)
    raise AdminRefusedError(str(address), reply.status, str(detail))
