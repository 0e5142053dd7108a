"""Invalid answers of the log, and answers with invalid records."""

from __future__ import annotations

import base64
import json
import random
from typing import Any

import anyio
import pytest

from eelgrassmount.platform.store_client import StoreClient
from eelgrassmount.topics.follower import TopicFollower
from eelgrassmount.topics.store import Batch, FailureKind, Snapshot, StoredRecord
from eelgrassmount.util.addresses import Address

VALID_RECORD = StoredRecord("n2", b"value")


class ScriptedStore(StoreClient):
    """A client with scripted answers."""

    def __init__(self, *answers: bytes):
        super().__init__(Address("127.0.0.1", 1))
        self.answers = list(answers)

    async def _call(self, *args: Any) -> bytes:
        return self.answers.pop(0)


def run_call(answers: list[bytes], call: str, *args: Any) -> Any:
    async def main() -> Any:
        return await getattr(ScriptedStore(*answers), call)(*args)

    return anyio.run(main)


def make_item(key: Any = "n2", value: Any = VALID_RECORD.value) -> dict[str, Any]:
    if isinstance(value, bytes):
        value = base64.b64encode(value).decode()
    return {"key": key, "value": value, "offset": 1}


def make_page(*items: Any, **changes: Any) -> bytes:
    page = {"items": list(items), "more": False, "end": 6}
    return json.dumps({**page, **changes}).encode()


def make_batch(*contents: bytes) -> bytes:
    records = [len(one).to_bytes(4, "big") + one for one in contents]
    return bytes(16) + b"".join(records)


def read_newest(*pages: bytes) -> Any:
    return run_call(list(pages), "read_newest", "keyed.nodes")


def read(content: bytes) -> Any:
    return run_call([content], "read", "keyed.nodes", 4, 1.0)


@pytest.mark.parametrize(
    "item",
    [
        make_item(key=None),
        make_item(key=7),
        make_item(key=[]),
        make_item(value=None),
        make_item(value=7),
        make_item(value="not base64!"),
        make_item(value="YQ"),
        make_item(value="\u2603"),
    ],
    ids=repr,
)
def test_invalid_newest_record_is_skipped(item):
    found = read_newest(make_page(item, make_item()))
    assert found == Snapshot((VALID_RECORD,), 6, unreadable=1)


@pytest.mark.parametrize(
    "page",
    [
        b"",
        b"\xff",
        b"[]",
        b"[" * 100_000,
        make_page(end=None),
        make_page(end="6"),
        make_page(end=6.0),
        make_page(end=True),
        make_page(end=-1),
        make_page(more="no"),
        make_page(more=None),
        make_page(items=None),
        make_page(items={}),
        make_page(7),
        make_page(more=True),
        make_page(make_item(key=7), more=True),
    ],
    ids=lambda page: repr(page[:60]),
)
def test_invalid_page_is_a_failure(page):
    assert read_newest(page).kind is FailureKind.MALFORMED


def test_pages_with_the_same_last_key_are_a_failure():
    page = make_page(make_item(), more=True)
    assert read_newest(page, page, page).kind is FailureKind.MALFORMED


@pytest.mark.parametrize(
    "content",
    [
        # a key longer than its record, a key that is not UTF-8, a record without a key
        b"\x09n2value",
        b"\x02\xff\xfevalue",
        b"",
    ],
)
def test_invalid_record_is_skipped(content):
    found = read(make_batch(b"\x02n2value", content, b"\x02n2value"))
    # the offset includes the invalid record, which would be read for ever otherwise
    assert found == Batch((VALID_RECORD, VALID_RECORD), 7, unreadable=1)


@pytest.mark.parametrize("content", [b"", bytes(15), make_batch(b"\x02n2v")[:-1]])
def test_truncated_read_is_a_failure(content):
    assert read(content).kind is FailureKind.MALFORMED


@pytest.mark.parametrize(
    "answer", [b"", b"{}", b"[]", b'{"offset":"7"}', b'{"offset":true}', b"[" * 100_000]
)
def test_append_without_a_valid_offset_is_a_failure(answer):
    found = run_call([answer], "append", "keyed.nodes", "n2", b"v")
    assert found.kind is FailureKind.MALFORMED


def test_follower_counts_unreadable_records():
    reported = []
    store = ScriptedStore(make_page(make_item(value=None)))
    follower = TopicFollower(
        store,
        "keyed.nodes",
        lambda records: None,
        random.Random(1),
        on_unreadable=lambda topic, count: reported.append((topic, count)),
    )
    assert anyio.run(follower._read_next) is None
    assert reported == [("keyed.nodes", 1)]
