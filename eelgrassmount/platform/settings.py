"""Reader of a node's settings file in the platform's format."""

from __future__ import annotations

import os
import tomllib
from typing import TYPE_CHECKING, Any

from eelgrassmount.errors import AddressError, FileError, SettingError
from eelgrassmount.relay.settings import OPTIONAL_SETTING_RANGES, RelaySettings
from eelgrassmount.util.addresses import MAX_PORT, Address, parse_address
from eelgrassmount.util.fields import (
    MAX_NAME_LENGTH,
    find_field,
    is_printable,
    parse_number,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

SETTINGS_FILE_VARIABLE = "EELGRASSMOUNT_NODE_FILE"
DEFAULT_SETTINGS_FILE = "/etc/eelgrassmount/boot.toml"
_SETTING_NAMES_BY_BOUND = {
    "retryBudgetRatio": "retry_ratio",
    "budgetWindowS": "retry_window_s",
    "budgetSlack": "retry_slack",
    "graceS": "grace_s",
    "quotaWindowS": "quota_window_s",
    "quotaOverage": "quota_overage",
    "quotaSlack": "quota_slack",
}


def find_settings_file(environment: Mapping[str, str] = os.environ) -> str:
    """Return the path of the settings file."""
    return environment.get(SETTINGS_FILE_VARIABLE) or DEFAULT_SETTINGS_FILE


def load_settings(path: str) -> RelaySettings:
    """Read the settings file.

    Raises `FileError` if the file can't be read, and `SettingError` with a message
    of one line if a field is missing or invalid. Unknown fields are ignored.
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
    settings = RelaySettings(
        name=_read_text(content, "nodeId"),
        failure_domain=_read_text(content, "zone"),
        service=_read_text(content, "service"),
        caller_address=_read_address(content, "listen.outbound"),
        peer_address=_read_peer_address(content),
        ready_address=_read_address(content, "listen.ready"),
        announce_address=_read_address(content, "listen.control"),
        server_address=_read_address(content, "appAddr"),
        log_address=_read_address(content, "platform.address"),
        **bounds,
    )
    settings.log_defaults(bounds)
    return settings


def _read_text(content: dict[str, Any], path: str) -> str:
    value = find_field(content, path)
    if not isinstance(value, str) or not is_printable(value):
        allowed = f"a printable text of 1 to {MAX_NAME_LENGTH} characters"
        raise SettingError(path, str(value), allowed)
    return value


def _read_address(content: dict[str, Any], path: str) -> Address:
    text = _read_text(content, path)
    try:
        return parse_address(text)
    except AddressError as error:
        raise SettingError(path, text, "an IPv4 address and port") from error


def _read_peer_address(content: dict[str, Any]) -> Address:
    host = _read_text(content, "ip")
    ports = find_field(content, "portRange")
    first = ports[0] if isinstance(ports, list) and ports else None
    if type(first) is not int or not 1 <= first <= MAX_PORT:
        allowed = "a list of the first and the last port"
        raise SettingError("portRange", str(ports), allowed)
    try:
        return parse_address(f"{host}:{first}")
    except AddressError as error:
        raise SettingError("ip", host, "an IPv4 address") from error


def _read_bounds(content: dict[str, Any]) -> dict[str, float]:
    """Return the known bounds in the file by the names of their settings."""
    texts = content.get("bounds", [])
    if not isinstance(texts, list):
        raise SettingError("bounds", str(texts), 'a list such as ["graceS=6"]')
    bounds: dict[str, float] = {}
    for text in texts:
        name, equals, value = str(text).partition("=")
        if not isinstance(text, str) or not equals:
            raise SettingError("bounds", str(text), "entries such as graceS=6")
        setting = _SETTING_NAMES_BY_BOUND.get(name)
        if setting is None:
            continue
        if setting in bounds:
            raise SettingError("bounds", text, f"{name} once")
        bounds[setting] = parse_number(value)
        lowest, highest = OPTIONAL_SETTING_RANGES[setting]
        # also rejects nan
        if not lowest <= bounds[setting] <= highest:
            allowed = f"a number from {lowest:g} to {highest:g}"
            raise SettingError("bounds", text, allowed)
    return bounds
