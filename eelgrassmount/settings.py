"""Settings of a node, read from flags and environment variables."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from attrs import NOTHING, Factory, field, fields, frozen

from eelgrassmount.errors import AddressError, SettingError
from eelgrassmount.util.addresses import Address, parse_address

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

ENVIRONMENT_PREFIX = "EELGRASSMOUNT_"
# not settings of a node
COMMAND_LINE_VARIABLES = frozenset({"EELGRASSMOUNT_ADMIN"})

LOG_LEVELS = ("debug", "info", "warning", "error")
FRAME_OVERHEAD_BYTES = 64 * 1024
UNSPECIFIED_HOST = "0.0.0.0"

_KIB = 1024
_MIB = 1024 * 1024
_ALLOWED_ADDRESS = "an IPv4 address and port such as 127.1.0.1:8000"
_ALLOWED_LABEL = (
    "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"
)
_LABEL_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@frozen
class Rule:
    """How a setting is read from text: its meaning, parser and allowed values.

    The parser raises `ValueError` for a text that is not allowed.
    """

    meaning: str
    allowed: str
    parse: Callable[[str], Any]


def _make_setting(rule: Rule, default: Any = NOTHING) -> Any:
    return field(default=default, metadata={"rule": rule})


def _address(meaning: str, default: Any = NOTHING) -> Any:
    return _make_setting(Rule(meaning, _ALLOWED_ADDRESS, parse_address), default)


def _label(meaning: str, default: Any = NOTHING) -> Any:
    def parse(text: str) -> str:
        if not _LABEL_PATTERN.fullmatch(text):
            raise ValueError(text)
        return text

    return _make_setting(Rule(meaning, _ALLOWED_LABEL, parse), default)


def _whole(meaning: str, default: int, low: int, high: int) -> Any:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    rule = Rule(meaning, f"a whole number from {low} to {high}", parse)
    return _make_setting(rule, default)


def _number(meaning: str, default: float, low: float, high: float) -> Any:
    def parse(text: str) -> float:
        value = float(text)
        # also rejects nan
        if not low <= value <= high:
            raise ValueError(text)
        return value

    rule = Rule(meaning, f"a number from {low:g} to {high:g}", parse)
    return _make_setting(rule, default)


def _choice(meaning: str, default: str, choices: tuple[str, ...]) -> Any:
    def parse(text: str) -> str:
        if text.lower() not in choices:
            raise ValueError(text)
        return text.lower()

    return _make_setting(Rule(meaning, "one of " + ", ".join(choices), parse), default)


def _addresses(meaning: str) -> Any:
    def parse(text: str) -> tuple[Address, ...]:
        if not text.strip():
            return ()
        return tuple(parse_address(part.strip()) for part in text.split(","))

    allowed = "IPv4 addresses with ports, separated by commas, or nothing"
    return _make_setting(Rule(meaning, allowed, parse), ())


@frozen(kw_only=True)
class Settings:
    """All settings of a node; units are part of the names.

    They give the addresses and the failure domain of the node; backend servers are
    not configured here, but announce themselves.
    """

    caller_address: Address = _address("Where callers connect (HTTP).")
    backend_address: Address = _address(
        "Where this VM's own backend server announces itself and makes its "
        "downstream calls (HTTP)."
    )
    peer_address: Address = _address("Where other nodes connect (framed thrift).")
    admin_address: Address = _address("Where operators connect (HTTP).")
    advertise_address: Address = _address(
        "What other nodes are told to connect to; by default the peer address.",
        Factory(lambda self: self.peer_address, takes_self=True),
    )
    failure_domain: str = _label("The failure domain of this VM.")
    region: str = _label("The region of this VM's failure domain.", "default")
    log_address: Address = _address("The platform's log service (HTTP).")
    peers: tuple[Address, ...] = _addresses(
        "Peer addresses of a few nodes to join through when the log is out; any "
        "node of any failure domain will do."
    )
    log_level: str = _choice("Least level of log lines.", "info", LOG_LEVELS)
    max_body_bytes: int = _whole(
        "Largest body of a request or an answer.", _MIB, _KIB, 64 * _MIB
    )
    max_frame_bytes: int = _whole(
        "Largest frame between nodes; at least 64 KiB more than max_body_bytes.",
        2 * _MIB,
        _KIB + FRAME_OVERHEAD_BYTES,
        128 * _MIB,
    )
    drain_limit_s: float = _number(
        "How long a graceful shutdown waits for requests in flight.", 60.0, 0.1, 3600.0
    )
    peer_silence_ms: int = _whole(
        "A link with calls outstanding that stays silent this long is replaced.",
        400,
        50,
        60_000,
    )
    key_window_s: float = _number(
        "How long an idempotency key is remembered; a caller repeats a request "
        "within this time or not at all.",
        600.0,
        1.0,
        86_400.0,
    )
    key_table_size: int = _whole(
        "Most idempotency keys that one node remembers.", 100_000, 1, 10_000_000
    )


def list_rules() -> dict[str, Rule]:
    """Return the rules of all settings by name, in the order of the reference page."""
    return {item.name: item.metadata["rule"] for item in fields(Settings)}


def load_settings(flags: Mapping[str, str], environment: Mapping[str, str]) -> Settings:
    """Return the settings given by flags and environment variables.

    A flag is named after its setting, the variable is the name in capitals with the
    prefix ``EELGRASSMOUNT_``; the flag takes precedence. Raises `SettingError` for a
    setting that is unknown, missing, malformed or in conflict with another::

        load_settings(sys_flags, os.environ).drain_limit_s
    """
    rules = list_rules()
    texts = _read_environment(environment, rules)
    for name, text in flags.items():
        if name not in rules:
            raise SettingError(name, text, "a flag that is listed by `node --help`")
        texts[name] = text
    values = {
        name: _parse_text(name, text, rules[name]) for name, text in texts.items()
    }
    _check_required(values)
    settings = Settings(**values)
    _check_combination(settings)
    return settings


def _read_environment(
    environment: Mapping[str, str], rules: Mapping[str, Rule]
) -> dict[str, str]:
    texts = {}
    for variable, text in environment.items():
        if (
            not variable.startswith(ENVIRONMENT_PREFIX)
            or variable in COMMAND_LINE_VARIABLES
        ):
            continue
        name = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
        if name not in rules:
            raise SettingError(variable, text, "a variable of a listed setting")
        texts[name] = text
    return texts


def _parse_text(name: str, text: str, rule: Rule) -> Any:
    try:
        return rule.parse(text)
    except (AddressError, ValueError):
        raise SettingError(name, text, rule.allowed) from None


def _check_required(values: Mapping[str, Any]) -> None:
    for item in fields(Settings):
        if item.default is NOTHING and item.name not in values:
            raise SettingError(item.name, "", item.metadata["rule"].allowed)


def _check_combination(settings: Settings) -> None:
    _check_distinct(settings)
    if settings.advertise_address.host == UNSPECIFIED_HOST:
        raise SettingError(
            "advertise_address",
            str(settings.advertise_address),
            "the address of this VM that other nodes can reach",
        )
    min_bytes = settings.max_body_bytes + FRAME_OVERHEAD_BYTES
    if settings.max_frame_bytes < min_bytes:
        raise SettingError(
            "max_frame_bytes",
            str(settings.max_frame_bytes),
            f"at least {min_bytes}, which is max_body_bytes and 64 KiB",
        )


def _check_distinct(settings: Settings) -> None:
    seen: dict[Address, str] = {}
    for name in (
        "caller_address",
        "backend_address",
        "peer_address",
        "admin_address",
        "log_address",
    ):
        address = getattr(settings, name)
        if address in seen:
            raise SettingError(
                name, str(address), f"an address other than {seen[address]}"
            )
        seen[address] = name
