"""The records of the configuration stream."""

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
    """What a record of the configuration stream asks for."""

    PUBLISH = "publish"
    REWRITE = "rewrite"
    RESTORE = "restore"


@frozen
class ConfigRecord:
    """One record of the configuration stream.

    A *publish* asks that ``text`` become version ``base + 1``. A *rewrite* states
    that after all records before the offset ``through`` the version in force was
    ``version``, with ``text``; it changes nothing, but lets a reader begin there.
    A *restore* is a publish made when no kept record tells which version is in
    force: its author read all that the log keeps before ``through``.
    """

    kind: RecordKind
    record_id: str = field(validator=_is_text)
    base: int = field(validator=_is_count)
    version: int = field(validator=_is_count)
    through: int = field(validator=_is_count)
    text: str = field(validator=_is_text)


@frozen
class PlacedRecord:
    """A record with its offset; ``record`` is ``None`` if it cannot be read."""

    offset: int
    record: ConfigRecord | None


def encode_record(record: ConfigRecord) -> bytes:
    """Return the bytes that stand on the log for a record."""
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
    """Return the record that stands on the log, or ``None`` if it is not one.

    Anything may have been appended to the stream; every reader must skip the
    same records, so nothing is guessed.
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
