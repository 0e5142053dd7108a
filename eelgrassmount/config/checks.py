"""Checks of single values of a configuration, with messages for operators."""

from __future__ import annotations

import difflib
import re

TOP_KEYS = frozenset({"failure_domains", "class"})
CLASS_KEYS = frozenset(
    {"name", "routes", "idempotent", "refuse_last", "complete_fraction", "within_ms"}
)
MAX_WITHIN_MS = 600_000

_METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_PREFIX = re.compile(r"/([A-Za-z0-9][A-Za-z0-9._-]*)(/[^/\s?#]+)*/?")
# Names of quantities that the system measures and that cannot be configured.
_MEASURED_KEYS = re.compile(
    r"weight|priorit|share|address|server|backend|host|port|upstream|limit|concurren"
)


def explain_unknown(key: str, known: frozenset[str]) -> str:
    """Return a message about an unknown key, with a suggestion."""
    close = difflib.get_close_matches(key, sorted(known), n=1)
    if close:
        return f"unknown key {key!r}: did you mean {close[0]!r}?"
    if _MEASURED_KEYS.search(key.lower()):
        return (
            f"unknown key {key!r}: remove it, the system finds servers and shares "
            "by itself; only targets of classes can be configured"
        )
    return f"unknown key {key!r}: remove it; known keys: {', '.join(sorted(known))}"


def check_name(value: object, subject: str) -> str | None:
    """Return an error message for a name, or ``None`` if it is valid."""
    if isinstance(value, str) and _NAME.fullmatch(value):
        return None
    return (
        f"{subject} must be 1 to 64 letters, digits, dots, dashes or underscores and "
        f"begin with a letter or digit, not {value!r}"
    )


def check_route(value: object) -> str | None:
    """Return an error message for a route, or ``None`` if it is valid."""
    parts = value.split(" ") if isinstance(value, str) else []
    if len(parts) != 2:
        return (
            "a route must be a method, one space and a path, such as "
            f'"POST /jobdesk/bookings", not {value!r}'
        )
    method, prefix = parts
    if method not in _METHODS:
        return f"the method of route {value!r} must be one of {', '.join(_METHODS)}"
    if not _PREFIX.fullmatch(prefix):
        return (
            f"the path of route {value!r} must begin with / and the name of a "
            "service, without empty segments, query or fragment"
        )
    return None


def check_fraction(value: object) -> str | None:
    """Return an error message for a fraction, or ``None`` if it is valid."""
    if type(value) in (int, float) and 0 < value <= 1:
        return None
    return f"complete_fraction must be above 0 and at most 1, not {value!r}"


def check_limit(value: object) -> str | None:
    """Return an error message for a time limit, or ``None`` if it is valid."""
    if type(value) is int and 1 <= value <= MAX_WITHIN_MS:
        return None
    return (
        f"within_ms must be a whole number of milliseconds from 1 to {MAX_WITHIN_MS}, "
        f"not {value!r}"
    )
