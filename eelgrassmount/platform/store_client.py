"""The client of the platform's log."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from attrs import define, field

from eelgrassmount.errors import PlatformDocumentError
from eelgrassmount.relay.persistent_connections import PersistentConnections
from eelgrassmount.topics.era import UNKNOWN_ERA, EraWatch
from eelgrassmount.topics.store import (
    Batch,
    FailureKind,
    Snapshot,
    StoredRecord,
    StoreFailure,
)
from eelgrassmount.util.fields import (
    read_flag,
    read_list,
    read_object,
    read_whole,
    refuse_field,
)

if TYPE_CHECKING:
    from eelgrassmount.util.addresses import Address

LENGTH_BYTES = 4
HEAD_BYTES = 16
# an answer usually takes a few milliseconds; a slow log takes a hundred times that
CALL_LIMIT_S = 2.0
# what a read may return at once, in kilobytes
MAX_READ_KB = 1024
OFFSETS = (0, 2**62)
ERA = b"store-era"
MAX_ERA_DIGITS = 18
_APPENDED = "answer to an append"
_PAGE = "page of the newest records"

_KINDS = {
    503: FailureKind.TURNED_AWAY,
    429: FailureKind.LIMITED,
    409: FailureKind.CONFLICT,
    412: FailureKind.CONFLICT,
    410: FailureKind.DELETED,
    507: FailureKind.FULL,
}


@define(eq=False)
class StoreClient:
    """Speaks to the log at ``address``; one connection for each kind of call.

    An answer of an era that is over is none.
    """

    address: Address
    eras: EraWatch = field(factory=EraWatch)
    _connections: PersistentConnections = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare the connections, which are made when they are needed."""
        self._connections = PersistentConnections(self.address)

    async def append(self, topic: str, key: str, value: bytes) -> int | StoreFailure:
        """Append a record to a keyed topic and return its offset."""
        content = bytes([len(key)]) + key.encode() + value
        body = len(content).to_bytes(LENGTH_BYTES, "big") + content
        target = "/log-append?" + urlencode({"topic": topic, "part": 0})
        answer = await self._call(topic + "+", "POST", target, body, CALL_LIMIT_S)
        if isinstance(answer, StoreFailure):
            return answer
        try:
            content = read_object(answer, _APPENDED)
            return read_whole(content, "offset", OFFSETS, _APPENDED)
        except PlatformDocumentError as error:
            return StoreFailure(FailureKind.MALFORMED, str(error))

    async def read_newest(self, topic: str) -> Snapshot | StoreFailure:
        """Return the newest record of each key of a topic.

        ``end`` is that of the first page: records that come while the pages are
        read are seen again by reads from there.
        """
        found: list[StoredRecord | None] = []
        end: int | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": 0}
            if after:
                query["after"] = after
            target = "/log-newest?" + urlencode(query)
            answer = await self._call(topic, "GET", target, b"", CALL_LIMIT_S)
            if isinstance(answer, StoreFailure):
                return answer
            try:
                page = read_object(answer, _PAGE)
                items = read_list(page, "items", _PAGE)
                found += map(_read_item, items)
                page_end = read_whole(page, "end", OFFSETS, _PAGE)
                end = page_end if end is None else end
                if not read_flag(page, "more", _PAGE):
                    records = tuple(one for one in found if one is not None)
                    return Snapshot(records, end, len(found) - len(records))
                after = _read_last_key(items, after)
            except PlatformDocumentError as error:
                return StoreFailure(FailureKind.MALFORMED, str(error))

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Batch | StoreFailure:
        """Return the records from ``offset`` on, waiting for one if there is none."""
        query = {
            "topic": topic,
            "part": 0,
            "from": offset,
            "maxKb": MAX_READ_KB,
            "waitMs": round(wait_s * 1000),
        }
        target = "/log-read?" + urlencode(query)
        limit_s = wait_s + CALL_LIMIT_S
        answer = await self._call(topic, "GET", target, b"", limit_s)
        if isinstance(answer, StoreFailure):
            return answer
        return _cut_records(answer, offset)

    def close(self) -> None:
        """Drop all connections."""
        self._connections.end()

    async def _call(
        self,
        connection_name: str,
        method: str,
        target: str,
        body: bytes,
        limit_s: float,
    ) -> bytes | StoreFailure:
        head = (
            f"{method} {target} HTTP/1.1\r\nhost: {self.address}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        data = head.encode("latin-1") + body
        asked_in = self.eras.current
        answer = await self._connections.call(connection_name, data, limit_s)
        if isinstance(answer, StoreFailure):
            return answer
        era = _read_era(answer.headers)
        if not self.eras.note_answer(era, asked_in):
            return StoreFailure(FailureKind.OUTDATED, f"era {era}")
        if answer.status != 200:
            kind = _KINDS.get(answer.status, FailureKind.MALFORMED)
            return StoreFailure(kind, f"status {answer.status}")
        return answer.body


def _read_era(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the era that an answer names."""
    for name, value in headers:
        digits = value.strip()
        if name == ERA and digits.isdigit() and len(digits) <= MAX_ERA_DIGITS:
            return int(digits)
    return UNKNOWN_ERA


def _cut_records(content: bytes, offset: int) -> Batch | StoreFailure:
    """Cut the answer to a read; it begins with the end and the first offset."""
    if len(content) < HEAD_BYTES:
        return StoreFailure(FailureKind.MALFORMED, "a read without its head")
    found: list[StoredRecord | None] = []
    position = HEAD_BYTES
    while position + LENGTH_BYTES <= len(content):
        length = int.from_bytes(content[position : position + LENGTH_BYTES], "big")
        start = position + LENGTH_BYTES
        position = start + length
        if position > len(content):
            return StoreFailure(FailureKind.MALFORMED, "a record that is cut off")
        found.append(_read_record(content[start:position], offset + len(found)))
    records = tuple(one for one in found if one is not None)
    return Batch(records, offset + len(found), len(found) - len(records))


def _read_record(content: bytes, offset: int) -> StoredRecord | None:
    """Return a record, ``None`` for one without a key that can be read."""
    if not content or len(content) <= content[0]:
        return None
    key_end = 1 + content[0]
    try:
        return StoredRecord(content[1:key_end].decode(), content[key_end:], offset)
    except UnicodeDecodeError:
        return None


def _read_item(item: dict[str, Any]) -> StoredRecord | None:
    """Return a record of a page of the newest, ``None`` if it can't be read."""
    key, value, offset = item.get("key"), item.get("value"), item.get("offset")
    if not isinstance(key, str) or not isinstance(value, str):
        return None
    if type(offset) is not int or offset < 0:
        offset = -1
    try:
        return StoredRecord(key, base64.b64decode(value, validate=True), offset)
    except ValueError:
        return None


def _read_last_key(items: list[dict[str, Any]], before: str) -> str:
    """Return the key that the next page begins behind, which goes on for ever else."""
    key = items[-1].get("key") if items else None
    if not isinstance(key, str) or not key or key == before:
        refuse_field(_PAGE, "items", "a last key from which to go on")
    return key
