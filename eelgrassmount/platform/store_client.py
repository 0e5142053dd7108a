"""Client of the keyed topics on the platform's log."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from attrs import define, field

from eelgrassmount.errors import PlatformDocumentError
from eelgrassmount.relay.persistent_connections import PersistentConnections
from eelgrassmount.topics.log_epoch import UNKNOWN_EPOCH, EpochTracker
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
    from collections.abc import Callable

    from eelgrassmount.util.addresses import Address

LENGTH_PREFIX_BYTES = 4
READ_HEADER_BYTES = 16
MAX_READ_KB = 1024
OFFSET_RANGE = (0, 2**62)
EPOCH_HEADER = b"store-era"
MAX_EPOCH_DIGITS = 18
_APPEND_ANSWER = "answer to an append"
_NEWEST_PAGE = "page of the newest records"

_FAILURE_KINDS_BY_STATUS = {
    503: FailureKind.REJECTED,
    429: FailureKind.LIMITED,
    409: FailureKind.CONFLICT,
    412: FailureKind.CONFLICT,
    410: FailureKind.DELETED,
    507: FailureKind.FULL,
}


@define(eq=False, repr=False)
class StoreClient:
    """Sends calls to the log at ``address``, on one connection for each kind of call.

    An answer from an outdated log epoch is a failure.
    """

    address: Address
    epochs: EpochTracker = field(factory=EpochTracker)
    on_overlong: Callable[[], None] = lambda: None
    _connections: PersistentConnections = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare the connections, which are opened on first use."""
        self._connections = PersistentConnections(self.address, self.on_overlong)

    async def append(self, topic: str, key: str, value: bytes) -> int | StoreFailure:
        """Append a record to a keyed topic and return its offset."""
        content = bytes([len(key)]) + key.encode() + value
        body = len(content).to_bytes(LENGTH_PREFIX_BYTES, "big") + content
        target = "/log-append?" + urlencode({"topic": topic, "part": 0})
        answer = await self._call(topic + "+", "POST", target, body)
        if isinstance(answer, StoreFailure):
            return answer
        try:
            content = read_object(answer, _APPEND_ANSWER)
            return read_whole(content, "offset", OFFSET_RANGE, _APPEND_ANSWER)
        except PlatformDocumentError as error:
            return StoreFailure(FailureKind.MALFORMED, str(error))

    async def read_newest(self, topic: str) -> Snapshot | StoreFailure:
        """Return the newest record of each key of a topic.

        ``end`` of the snapshot is that of the first page, so that reads from there
        return all records that were appended while later pages were read.
        """
        parsed_records: list[StoredRecord | None] = []
        end: int | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": 0} | ({"after": after} if after else {})
            target = "/log-newest?" + urlencode(query)
            answer = await self._call(topic, "GET", target)
            if isinstance(answer, StoreFailure):
                return answer
            try:
                page = read_object(answer, _NEWEST_PAGE)
                items = read_list(page, "items", _NEWEST_PAGE)
                parsed_records += map(_parse_item, items)
                page_end = read_whole(page, "end", OFFSET_RANGE, _NEWEST_PAGE)
                end = page_end if end is None else end
                if not read_flag(page, "more", _NEWEST_PAGE):
                    records = tuple(
                        record for record in parsed_records if record is not None
                    )
                    return Snapshot(records, end, len(parsed_records) - len(records))
                after = _find_last_key(items, after)
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
        answer = await self._call(topic, "GET", target, b"", wait_s)
        if isinstance(answer, StoreFailure):
            return answer
        return _parse_batch(answer, offset)

    def close(self) -> None:
        """Drop all connections."""
        self._connections.end()

    async def _call(
        self,
        connection_name: str,
        method: str,
        target: str,
        body: bytes = b"",
        wait_s: float | None = None,
    ) -> bytes | StoreFailure:
        head = (
            f"{method} {target} HTTP/1.1\r\nhost: {self.address}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        data = head.encode("latin-1") + body
        epoch_at_request = self.epochs.current
        answer = await self._connections.call(connection_name, data, wait_s)
        if isinstance(answer, StoreFailure):
            return answer
        epoch = _read_epoch(answer.headers)
        if not self.epochs.check_answer(epoch, epoch_at_request):
            return StoreFailure(FailureKind.OUTDATED, f"era {epoch}")
        if answer.status != 200:
            kind = _FAILURE_KINDS_BY_STATUS.get(answer.status, FailureKind.MALFORMED)
            return StoreFailure(kind, f"status {answer.status}")
        return answer.body


def _read_epoch(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the log epoch that an answer names."""
    for name, value in headers:
        digits = value.strip()
        if (
            name == EPOCH_HEADER
            and digits.isdigit()
            and len(digits) <= MAX_EPOCH_DIGITS
        ):
            return int(digits)
    return UNKNOWN_EPOCH


def _parse_batch(content: bytes, offset: int) -> Batch | StoreFailure:
    """Return the records in the answer to a read.

    The answer starts with the end and the first offset of the topic.
    """
    if len(content) < READ_HEADER_BYTES:
        return StoreFailure(FailureKind.MALFORMED, "incomplete header of a read")
    parsed_records: list[StoredRecord | None] = []
    position = READ_HEADER_BYTES
    while position + LENGTH_PREFIX_BYTES <= len(content):
        length = int.from_bytes(
            content[position : position + LENGTH_PREFIX_BYTES], "big"
        )
        start = position + LENGTH_PREFIX_BYTES
        position = start + length
        if position > len(content):
            return StoreFailure(FailureKind.MALFORMED, "truncated record")
        parsed_records.append(
            _parse_record(content[start:position], offset + len(parsed_records))
        )
    records = tuple(record for record in parsed_records if record is not None)
    return Batch(
        records, offset + len(parsed_records), len(parsed_records) - len(records)
    )


def _parse_record(content: bytes, offset: int) -> StoredRecord | None:
    """Return a record, ``None`` if it has no valid key."""
    if not content or len(content) <= content[0]:
        return None
    key_end = 1 + content[0]
    try:
        return StoredRecord(content[1:key_end].decode(), content[key_end:], offset)
    except UnicodeDecodeError:
        return None


def _parse_item(item: dict[str, Any]) -> StoredRecord | None:
    """Return a record of a page of the newest records, ``None`` if it is invalid."""
    key, value, offset = item.get("key"), item.get("value"), item.get("offset")
    if not isinstance(key, str) or not isinstance(value, str):
        return None
    if type(offset) is not int or offset < 0:
        offset = -1
    try:
        return StoredRecord(key, base64.b64decode(value, validate=True), offset)
    except ValueError:
        return None


def _find_last_key(items: list[dict[str, Any]], previous: str) -> str:
    """Return the last key of a page, after which the next page starts.

    Raises `PlatformDocumentError` if the key does not change, since the pages would
    never end.
    """
    key = items[-1].get("key") if items else None
    if not isinstance(key, str) or not key or key == previous:
        refuse_field(
            _NEWEST_PAGE, "items", "a last key other than that of the page before"
        )
    return key
