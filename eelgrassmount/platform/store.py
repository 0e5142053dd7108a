"""The client of the platform's log."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from attrs import define, field

from eelgrassmount.http1.client import Break, ClientAnswer, open_connection
from eelgrassmount.relay.store import (
    Batch,
    FailureKind,
    Snapshot,
    StoredRecord,
    StoreFailure,
)

if TYPE_CHECKING:
    from eelgrassmount.http1.client import ClientConnection
    from eelgrassmount.util.addresses import Address

LENGTH_BYTES = 4
HEAD_BYTES = 16
# an answer usually takes a few milliseconds; a slow log takes a hundred times that
CALL_LIMIT_S = 2.0
CONNECT_LIMIT_S = 1.0
# what a read may return at once, in kilobytes
MAX_READ_KB = 1024


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

    Nothing is sent a second time from here, because a call without an answer may
    have been done.
    """

    address: Address
    _connections: dict[str, ClientConnection] = field(factory=dict)

    async def append(self, topic: str, key: str, value: bytes) -> int | StoreFailure:
        """Append a record to a keyed topic and return its offset."""
        content = bytes([len(key)]) + key.encode() + value
        body = len(content).to_bytes(LENGTH_BYTES, "big") + content
        target = "/log-append?" + urlencode({"topic": topic, "part": 0})
        answer = await self._call(topic + "+", "POST", target, body, CALL_LIMIT_S)
        if isinstance(answer, StoreFailure):
            return answer
        try:
            return int(json.loads(answer)["offset"])
        except (ValueError, TypeError, KeyError) as error:
            return StoreFailure(FailureKind.MALFORMED, repr(error))

    async def read_newest(self, topic: str) -> Snapshot | StoreFailure:
        """Return the newest record of each key of a topic.

        ``end`` is that of the first page: records that come while the pages are
        read are seen again by reads from there.
        """
        records: list[StoredRecord] = []
        end: int | None = None
        after: str | None = None
        while True:
            query = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            target = "/log-newest?" + urlencode(query)
            answer = await self._call(topic, "GET", target, b"", CALL_LIMIT_S)
            if isinstance(answer, StoreFailure):
                return answer
            try:
                page = json.loads(answer)
                for item in page["items"]:
                    value = base64.b64decode(item["value"])
                    records.append(StoredRecord(item["key"], value))
                end = int(page["end"]) if end is None else end
                if not page["more"]:
                    return Snapshot(tuple(records), end)
                after = page["items"][-1]["key"]
            except (ValueError, TypeError, KeyError, IndexError) as error:
                return StoreFailure(FailureKind.MALFORMED, repr(error))

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

    def end(self) -> None:
        """Drop all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def _call(
        self,
        connection_name: str,
        method: str,
        target: str,
        body: bytes,
        limit_s: float,
    ) -> bytes | StoreFailure:
        connection = self._connections.pop(connection_name, None)
        if connection is None or connection.closed:
            try:
                connection = await open_connection(self.address, CONNECT_LIMIT_S)
            except OSError as error:
                return StoreFailure(FailureKind.UNREACHABLE, repr(error))
        outcome: asyncio.Future[ClientAnswer | Break] = (
            asyncio.get_running_loop().create_future()
        )

        def note(answer: ClientAnswer | Break) -> None:
            if not outcome.done():
                outcome.set_result(answer)

        head = (
            f"{method} {target} HTTP/1.1\r\nhost: {self.address}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        connection.send(head.encode("latin-1") + body, note)
        try:
            answer = await asyncio.wait_for(outcome, limit_s)
        except TimeoutError:
            return StoreFailure(FailureKind.UNANSWERED, f"silent for {limit_s} s")
        finally:
            # a connection on which an answer is missing gives nothing further
            if not outcome.done() or outcome.cancelled():
                connection.cancel()
        if isinstance(answer, Break):
            return StoreFailure(FailureKind.UNANSWERED, answer.value)
        if not connection.closed:
            self._connections[connection_name] = connection
        if answer.status != 200:
            kind = _KINDS.get(answer.status, FailureKind.MALFORMED)
            return StoreFailure(kind, f"status {answer.status}")
        return answer.body


def _cut_records(content: bytes, offset: int) -> Batch | StoreFailure:
    """Cut the answer to a read; it begins with the end and the first offset."""
    if len(content) < HEAD_BYTES:
        return StoreFailure(FailureKind.MALFORMED, "a read without its head")
    records = []
    position = HEAD_BYTES
    while position + LENGTH_BYTES <= len(content):
        length = int.from_bytes(content[position : position + LENGTH_BYTES], "big")
        start = position + LENGTH_BYTES
        position = start + length
        if length == 0 or position > len(content):
            return StoreFailure(FailureKind.MALFORMED, "a record that is cut off")
        key_end = start + 1 + content[start]
        key = content[start + 1 : key_end].decode("utf-8", "replace")
        records.append(StoredRecord(key, content[key_end:position]))
    return Batch(tuple(records), offset + len(records))
