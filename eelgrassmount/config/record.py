"""Records of the configuration stream and their encoding."""

from __future__ import annotations

import json
from enum import StrEnum

from attrs import field, frozen, validators

MAX_COUNT = 2**53

_is_text = validators.instance_of(str)


def _is_count(instance: object, attribute: object, value: object) -> None:
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"a count must be from 0 to {MAX_COUNT}, not {value!r}")


class RecordKind(StrEnum):
    """Kinds of records of the configuration stream."""

    PUBLISH = "publish"
    REWRITE = "rewrite"
    RESTORE = "restore"


@frozen
class ConfigRecord:
    """A record of the configuration stream.

    A *publish* requests that ``text`` become version ``base + 1``. A *rewrite*
    states that ``version`` with ``text`` was in force after all records before the
    offset ``through``; it changes nothing, but a reader can start there. A
    *restore* is a publish that is made if the records on the log do not determine
    the version in force; its author has read all records before ``through``.
    """

    kind: RecordKind
    record_id: str = field(validator=_is_text)
    base: int = field(validator=_is_count)
    version: int = field(validator=_is_count)
    through: int = field(validator=_is_count)
    text: str = field(validator=_is_text)


@frozen
class PlacedRecord:
    """A record with its offset; ``record`` is ``None`` if it is malformed."""

    offset: int
    record: ConfigRecord | None


def encode_record(record: ConfigRecord) -> bytes:
    """Return the encoded record for the log."""
    content = {
        "kind": record.kind.value,
        "id": record.record_id,
        "base": record.base,
        "version": record.version,
        "through": record.through,
        "text": record.text,
    }
    return json.dumps(content, separators=(",", ":")).encode()


def decode_record(body: bytes) -> ConfigRecord | None:
    """Return the decoded record, or ``None`` if the body is malformed.

    Decoding is strict, so that all readers skip the same records.
    """
    try:
        content = json.loads(body)
        return ConfigRecord(
            kind=RecordKind(content["kind"]),
            record_id=content["id"],
            base=content["base"],
            version=content["version"],
            through=content["through"],
            text=content["text"],
        )
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
