"""The platform's settings file of a node, read into the product's settings."""

from __future__ import annotations

import os
import tomllib
from typing import TYPE_CHECKING, Any

from eelgrassmount.errors import AddressError, FileError, SettingError
from eelgrassmount.relay.settings import RelaySettings
from eelgrassmount.util.addresses import Address, parse_address

if TYPE_CHECKING:
    from collections.abc import Mapping

FILE_VARIABLE = "EELGRASSMOUNT_NODE_FILE"
FILE_DEFAULT = "/etc/eelgrassmount/boot.toml"


def find_settings_file(environment: Mapping[str, str] = os.environ) -> str:
    """Return the path of the settings file."""
    return environment.get(FILE_VARIABLE) or FILE_DEFAULT


def load_settings(path: str) -> RelaySettings:
    """Read the settings file.

    Raises `FileError` when there is no such file and `SettingError`, in one line
    that says what to mend, when a field is missing or wrong. Fields that are not
    known are ignored.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise FileError(path, str(error)) from error
    return parse_settings(text)


def parse_settings(text: str) -> RelaySettings:
    """Return the settings in the text of a settings file; see `load_settings`."""
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingError("settings file", str(error), "a TOML file") from error
    bounds = _read_bounds(content)
    return RelaySettings(
        name=_read_text(content, "nodeId"),
        failure_domain=_read_text(content, "zone"),
        service=_read_text(content, "service"),
        caller_address=_read_address(content, "listen", "outbound"),
        peer_address=_read_peer_address(content),
        ready_address=_read_address(content, "listen", "ready"),
        announce_address=_read_address(content, "listen", "control"),
        server_address=_read_address(content, "appAddr"),
        log_address=_read_address(content, "platform", "address"),
        retry_ratio=bounds.get("retryBudgetRatio", 0.2),
        retry_window_s=bounds.get("budgetWindowS", 10.0),
        retry_slack=bounds.get("budgetSlack", 10.0),
        grace_s=bounds.get("graceS", 6.0),
    )


def _find(content: dict[str, Any], *path: str) -> Any:
    found: Any = content
    for name in path:
        found = found.get(name) if isinstance(found, dict) else None
    return found


def _read_text(content: dict[str, Any], *path: str) -> str:
    value = _find(content, *path)
    if not isinstance(value, str) or not value:
        raise SettingError(".".join(path), str(value), "a text that is not empty")
    return value


def _read_address(content: dict[str, Any], *path: str) -> Address:
    text = _read_text(content, *path)
    try:
        return parse_address(text)
    except AddressError as error:
        raise SettingError(".".join(path), text, "an IPv4 address and port") from error


def _read_peer_address(content: dict[str, Any]) -> Address:
    ports = _find(content, "portRange")
    allowed = "a list of the first and the last port"
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        raise SettingError("portRange", str(ports), allowed)
    return Address(_read_text(content, "ip"), ports[0])


def _read_bounds(content: dict[str, Any]) -> dict[str, float]:
    bounds = {}
    for text in content.get("bounds") or []:
        name, _, value = str(text).partition("=")
        if value in ("true", "false"):
            bounds[name] = float(value == "true")
            continue
        try:
            bounds[name] = float(value)
        except ValueError as error:
            allowed = "entries such as graceS=6"
            raise SettingError("bounds", str(text), allowed) from error
    return bounds
