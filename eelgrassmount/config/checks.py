"""Checks of single values of a configuration; each says what to mend."""

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
# what the system finds out by itself
_MEASURED = re.compile(
    r"weight|priorit|share|address|server|backend|host|port|upstream|limit|concurren"
)


def explain_unknown(key: str, known: frozenset[str]) -> str:
    """Return what to do about a key that has no meaning here."""
    close = difflib.get_close_matches(key, sorted(known), n=1)
    if close:
        return f"unknown key {key!r}: did you mean {close[0]!r}?"
    if _MEASURED.search(key.lower()):
        return (
            f"unknown key {key!r}: remove it, the system finds servers and shares "
            "by itself and takes only targets of classes"
        )
    return f"unknown key {key!r}: remove it; known are {', '.join(sorted(known))}"


def check_name(value: object, what: str) -> str | None:
    """Return what is wrong with a name, if anything."""
    if isinstance(value, str) and _NAME.fullmatch(value):
        return None
    return (
        f"{what} must be 1 to 64 letters, digits, dots, dashes or underscores and "
        f"begin with a letter or digit, not {value!r}"
    )


def check_route(value: object) -> str | None:
    """Return what is wrong with a route, if anything."""
    parts = value.split(" ") if isinstance(value, str) else []
    if len(parts) != 2:
        return (
            "a route must be a method, one space and a path, as "
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
    """Return what is wrong with a fraction of requests, if anything."""
    if type(value) in (int, float) and 0 < value <= 1:
        return None
    return f"complete_fraction must be above 0 and at most 1, not {value!r}"


def check_limit(value: object) -> str | None:
    """Return what is wrong with a time limit, if anything."""
    if type(value) is int and 1 <= value <= MAX_WITHIN_MS:
        return None
    return (
        f"within_ms must be a whole number of milliseconds from 1 to {MAX_WITHIN_MS}, "
        f"not {value!r}"
    )
