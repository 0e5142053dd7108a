"""Read fields of JSON documents, each checked for its type and range.

Values are never converted: text, a fraction or ``true`` is refused where a whole number
is expected.

    >>> read_whole({"slots": 141}, "slots", (1, 1000), "heartbeat")
    141
"""

from __future__ import annotations

import json
import math
import re
from typing import TYPE_CHECKING, Any, NoReturn

from eelgrassmount.errors import AddressError, PlatformDocumentError
from eelgrassmount.util.addresses import Address, parse_address

if TYPE_CHECKING:
    from collections.abc import Collection

# in characters
MAX_NAME_LENGTH = 128
# decimal numbers as TOML and Python write them
_DECIMAL = re.compile(r"[+-]?\d+(\.\d+)?([eE][+-]?\d+)?", re.ASCII)
# in characters; well above the longest float that Python writes
MAX_DECIMAL_LENGTH = 64
REPLACEMENT_CHARACTER = "\ufffd"
_IDENTITY = re.compile(rf"[A-Za-z0-9._:~-]{{1,{MAX_NAME_LENGTH}}}")


def read_object(content: bytes, document: str) -> dict[str, Any]:
    """Return the JSON object encoded by the bytes.

    Raises `PlatformDocumentError` for any other content, for NaN and infinity, and
    for an object that is nested too deeply.
    """
    try:
        found = json.loads(content.decode(), parse_constant=_refuse_constant)
    except UnicodeDecodeError as error:
        raise PlatformDocumentError(document, "not UTF-8 text", "body") from error
    except RecursionError as error:
        raise PlatformDocumentError(document, "nested too deep", "body") from error
    except ValueError as error:
        raise PlatformDocumentError(document, "not JSON", "body") from error
    if not isinstance(found, dict):
        refuse_field(document, "body", "a JSON object")
    return found


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


def refuse_field(document: str, path: str, allowed: str) -> NoReturn:
    """Raise the error for a missing or invalid field; it shows ``allowed``."""
    raise PlatformDocumentError(document, f"give {allowed}", path)


def find_field(content: dict[str, Any], path: str) -> Any:
    """Return the value at a path such as ``info.slots``, or ``None``."""
    found: Any = content
    for name in path.split("."):
        found = found.get(name) if isinstance(found, dict) else None
    return found


def read_whole(
    content: dict[str, Any],
    path: str,
    bounds: tuple[int, int],
    document: str,
    missing: int | None = None,
) -> int:
    """Return a whole number within the bounds.

    ``missing`` is the value of an omitted optional field.
    """
    value = find_field(content, path)
    if value is None and missing is not None:
        return missing
    lowest, highest = bounds
    # bool is a subclass of int in Python, but not a number in JSON
    if type(value) is not int or not lowest <= value <= highest:
        refuse_field(document, path, f"a whole number from {lowest} to {highest}")
    return value


def read_number(
    content: dict[str, Any],
    path: str,
    bounds: tuple[float, float],
    document: str,
    missing: float | None = None,
) -> float:
    """Return a number within the bounds."""
    value = find_field(content, path)
    if value is None and missing is not None:
        return missing
    lowest, highest = bounds
    # NaN and infinity are never within the bounds
    if type(value) not in (int, float) or not lowest <= value <= highest:
        refuse_field(document, path, f"a number from {lowest:g} to {highest:g}")
    return value


def read_name(content: dict[str, Any], path: str, document: str) -> str:
    """Return a text of 1 to `MAX_NAME_LENGTH` characters without control characters."""
    return read_text(content, path, MAX_NAME_LENGTH, document)


def read_text(content: dict[str, Any], path: str, longest: int, document: str) -> str:
    """Return a text of 1 to ``longest`` characters without control characters."""
    value = find_field(content, path)
    if not isinstance(value, str) or not is_printable(value, longest):
        refuse_field(document, path, f"a plain text of 1 to {longest} characters")
    return value


def read_flag(content: dict[str, Any], path: str, document: str) -> bool:
    """Return a boolean."""
    value = find_field(content, path)
    if not isinstance(value, bool):
        refuse_field(document, path, "true or false")
    return value


def read_list(
    content: dict[str, Any], path: str, document: str
) -> list[dict[str, Any]]:
    """Return a list of objects."""
    value = find_field(content, path)
    if not isinstance(value, list) or not all(isinstance(one, dict) for one in value):
        refuse_field(document, path, "a list of JSON objects")
    return value


def read_choice(
    content: dict[str, Any], path: str, choices: Collection[str], document: str
) -> str:
    """Return a text that is one of the choices."""
    value = find_field(content, path)
    if not isinstance(value, str) or value not in choices:
        refuse_field(document, path, " or ".join(choices))
    return value


def read_address(content: dict[str, Any], path: str, document: str) -> Address:
    """Return an IPv4 address and port."""
    text = read_name(content, path, document)
    try:
        return parse_address(text)
    except AddressError:
        refuse_field(document, path, "an IPv4 address and port")


def parse_number(text: str) -> float:
    """Return the value of a decimal number, or NaN for any other text.

    >>> parse_number("32.76923076923077")
    32.76923076923077
    """
    if len(text) > MAX_DECIMAL_LENGTH or not _DECIMAL.fullmatch(text):
        return math.nan
    return float(text)


def is_printable(text: str, longest: int = MAX_NAME_LENGTH) -> bool:
    """Return whether a text has 1 to ``longest`` printable characters.

    The replacement character is refused: some decoders emit it for bytes that are not
    UTF-8.
    """
    return (
        0 < len(text) <= longest
        and text.isprintable()
        and REPLACEMENT_CHARACTER not in text
    )


def is_identity(text: str) -> bool:
    """Return whether a text is valid as the identity of a server.

    Identities appear in paths and headers, which restricts their characters.
    """
    return _IDENTITY.fullmatch(text) is not None
