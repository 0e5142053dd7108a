"""Invalid records of other writers on the log, applied by a node and its followers."""

from __future__ import annotations

import random
from typing import Any

import anyio
import pytest

from eelgrassmount.compose import relay_run
from eelgrassmount.compose.relay import build_relay
from eelgrassmount.gen import ttypes
from eelgrassmount.platform.topic_names import CONFIGURATION_KEY, LEARNED_KEY
from eelgrassmount.relay import members
from eelgrassmount.relay.frames import encode_struct
from eelgrassmount.topics import learned
from eelgrassmount.topics.follower import TopicFollower
from eelgrassmount.topics.store import Batch, Snapshot, StoredRecord
from tests.relay.deployment import make_document, make_rule
from tests.relay.lone_node import SETTINGS

LIST = make_rule("/list/", "list")
CALLS = {"shop/a/": {"shop/b/": 2.0}}


@pytest.fixture
def node():
    node = build_relay(SETTINGS)
    node.register_local_node()
    return node


def make_record(name: str = "n2", key: str = "", **changes: Any) -> StoredRecord:
    values = {
        "node_name": name,
        "address": "127.0.0.2:7620",
        "failure_domain": "a",
        "service_name": "list",
    }
    struct = ttypes.NodeRecord(**{**values, **changes})
    return StoredRecord(key or name, encode_struct(struct))


def make_learned(*rows: tuple[Any, Any, Any]) -> StoredRecord:
    calls = [ttypes.RouteCalls(*row) for row in rows]
    return StoredRecord(LEARNED_KEY, encode_struct(ttypes.LearnedRecord(calls)))


def list_members(node) -> list[tuple[str, str, str]]:
    found = node.state.members.by_name.values()
    return [(one.name, one.address, one.service) for one in found]


INVALID_NODES = [
    StoredRecord("n2", b"\xff\xfe"),
    StoredRecord("n2", b"{}"),
    StoredRecord("n2", b"\x00"),
    make_record(address=None),
    make_record(address="127.0.0.2:99999"),
    make_record(address="n2"),
    make_record(service_name=None),
    make_record(service_name=""),
    make_record(service_name="x" * 70_000),
    make_record(failure_domain=None),
    make_record(name="", key="n2"),
    # A record under the key of another node is invalid.
    make_record(name="n3", key="n2"),
    make_record(name="n2", key="n3"),
]


# Guards against members without a name or address, which would break timers and links.
@pytest.mark.parametrize("record", INVALID_NODES, ids=lambda one: repr(one)[:60])
def test_invalid_node_record_changes_no_other_member(node, record):
    node.apply_node_records((make_record(),))
    before = list_members(node)
    node.apply_node_records((record, make_record("n4")))
    known = [*before, ("n4", "127.0.0.2:7620", "list")]
    assert list_members(node) == known
    assert node.rejected_messages.totals == {"node-record": 1}
    assert node.has_node_records


# Guards against a node that deletes itself and gives its backend server no more work.
def test_no_record_removes_the_local_node(node):
    before = list_members(node)
    node.apply_node_records((StoredRecord(SETTINGS.name, b""),))
    node.apply_node_records((make_record(SETTINGS.name, address="127.0.0.9:1"),))
    assert list_members(node) == before
    node.apply_node_records((make_record(), StoredRecord("n2", b"")))
    assert list_members(node) == before


def test_number_of_members_is_bounded(node):
    records = [make_record(f"n{number}") for number in range(members.MAX_MEMBERS + 50)]
    node.apply_node_records(tuple(records))
    assert len(node.state.members.by_name) == members.MAX_MEMBERS
    assert node.rejected_messages.totals == {"node-record": 51}
    # Known members may still change and leave.
    node.apply_node_records((make_record("n1", address="127.0.0.3:7620"),))
    assert node.state.members.by_name["n1"].address == "127.0.0.3:7620"
    node.apply_node_records((StoredRecord("n1", b""), make_record("n-late")))
    assert "n-late" in node.state.members.by_name


@pytest.mark.parametrize(
    "record",
    [
        StoredRecord(LEARNED_KEY, b"\xff"),
        StoredRecord(LEARNED_KEY, b"\x00"),
        make_learned(("shop/c/", "shop/d/", float("nan"))),
        make_learned(("shop/c/", "shop/d/", float("inf"))),
        make_learned(("shop/c/", "shop/d/", -1.0)),
        make_learned(("shop/c/", "shop/d/", None)),
        make_learned((None, "shop/d/", 1.0)),
        make_learned(("", "shop/d/", 1.0)),
        make_learned(("shop/c/", "shop/d/", 1.0), ("shop/e/", None, 1.0)),
    ],
    ids=lambda one: repr(one.value)[:60],
)
def test_invalid_record_of_learned_calls_changes_nothing(node, record):
    node.apply_node_records((make_learned(("shop/a/", "shop/b/", 2.0)),))
    assert node.state.graph.calls_per_run == CALLS
    node.apply_node_records((record, make_record()))
    assert node.state.graph.calls_per_run == CALLS
    assert len(list_members(node)) == 2
    assert node.rejected_messages.totals == {"learned-calls": 1}


def test_number_of_learned_routes_is_bounded(node):
    for start in range(0, 3 * learned.MAX_ROUTES, 4000):
        rows = [(f"shop/{start + number}/", "", 0.0) for number in range(4000)]
        node.apply_node_records((make_learned(*rows),))
    assert len(node.state.graph.calls_per_run) == learned.MAX_ROUTES


@pytest.mark.parametrize(
    "document",
    [
        b"{",
        b"\xff",
        b"[" * 100_000,
        b"null",
        make_document(7, LIST).replace(b'"r7"', b"7"),
        make_document(7, LIST).replace(b'"r7"', b'"r7777777777777777777777777"'),
        make_document(7, LIST).replace(b'"r7"', b'"r\xc2\xb2"'),
        make_document(7, LIST).replace(b'"r7"', b'"r%s"' % (b"7" * 5000)),
        make_document(7, LIST).replace(b"300", b"NaN"),
        make_document(7, LIST).replace(b"300", b'"300"'),
        make_document(7, LIST).replace(b"300", b"true"),
        make_document(7, LIST).replace(b"300", b"-300"),
        make_document(7, LIST).replace(b"1000", b"1e400"),
        make_document(7, LIST).replace(b'"maxAttempts": 2', b'"maxAttempts": 2.5'),
        make_document(7, LIST).replace(b'"maxAttempts": 2', b'"maxAttempts": "2"'),
        make_document(7, LIST).replace(b'"idempotent"', b"null"),
        make_document(7, LIST).replace(b'"/list/"', b"7"),
        make_document(7, LIST).replace(b'"/list/"', b"null"),
        make_document(7, LIST).replace(b'"list"', b'""'),
        make_document(7, LIST).replace(b'"list"', b"[]"),
        make_document(7, LIST).replace(b'"/h"', b'"/h\\r\\nx: y"'),
        make_document(7, LIST).replace(b"{},", b'{"maxBodyBytes": -1},'),
        make_document(7, LIST).replace(b"{},", b"[],"),
    ],
    ids=lambda one: repr(one[:20]) + repr(one[-40:]),
)
def test_invalid_configuration_leaves_the_present_one(node, document):
    node.apply_configuration_records(
        (StoredRecord(CONFIGURATION_KEY, make_document(3, LIST)),)
    )
    table = node.state.table
    assert table.version == 3
    node.apply_configuration_records((StoredRecord(CONFIGURATION_KEY, document),))
    assert node.state.table is table
    assert node.rejected_messages.totals == {"configuration": 1}
    node.apply_configuration_records(
        (StoredRecord(CONFIGURATION_KEY, make_document(8, LIST)),)
    )
    assert node.state.table.version == 8


class ScriptedLog:
    """A log that returns batches of records and then blocks."""

    def __init__(self, *batches: tuple[StoredRecord, ...]):
        self.batches = list(batches)

    async def read_newest(self, topic: str) -> Snapshot:
        return Snapshot((), 0)

    async def read(self, topic: str, offset: int, wait_s: float) -> Batch:
        if not self.batches:
            await anyio.sleep_forever()
        return Batch(self.batches.pop(0), offset + 1)


# Guards against an exception for one record that stops the follower and the node.
def test_follower_continues_after_a_record_that_cannot_be_applied():
    applied = []

    def apply(records: tuple[StoredRecord, ...]) -> None:
        if any(one.key == "poison" for one in records):
            raise ValueError("poison")
        applied.extend(one.key for one in records)

    first = tuple(StoredRecord(key, b"") for key in ("a", "poison", "b"))
    log = ScriptedLog(first, (StoredRecord("c", b""),))
    follower = TopicFollower(log, "keyed.x", apply, random.Random(1))

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            with anyio.fail_after(10):
                while "c" not in applied:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert applied == ["a", "b", "c"]
    assert follower.reachable


class MisplacedRecordLog(ScriptedLog):
    """A log that stores the record of a node under the key of another one."""

    def __init__(self, record: StoredRecord):
        super().__init__()
        self.record = record
        self.appended: list[tuple[str, bytes]] = []

    async def read_newest(self, topic: str) -> Snapshot:
        return Snapshot((self.record,), 1)

    async def append(self, topic: str, key: str, value: bytes) -> int:
        self.appended.append((key, value))
        return 1


# Guards against a misplaced copy that keeps a node from writing its own record.
def test_node_writes_its_record_unless_it_is_stored_under_its_key(node):
    own = make_record(
        SETTINGS.name, address=str(SETTINGS.peer_address), service_name="desk"
    )
    log = MisplacedRecordLog(StoredRecord("n9", own.value))
    node.store = log

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(relay_run._join_cluster, node)
            with anyio.fail_after(10):
                while not node.followers:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert log.appended == [(SETTINGS.name, own.value)]
    log.record = own
    log.appended.clear()
    node.followers.clear()
    anyio.run(main)
    assert log.appended == []


class RestoredLog(MisplacedRecordLog):
    """A log that is restored from an older copy while its records are read."""

    def __init__(self, node, record: StoredRecord):
        super().__init__(record)
        self.node = node
        self.epochs = [4, 4]

    async def read_newest(self, topic: str) -> Snapshot:
        snapshot = Snapshot((self.record,), 3 + 10 * len(self.epochs))
        if self.epochs:
            self.node.readers.epoch_tracker.advance_to(self.epochs.pop())
        return snapshot


# Guards against offsets of an earlier epoch, behind which later records are missed.
def test_starting_node_discards_records_of_an_earlier_epoch(node):
    node.readers.epoch_tracker.advance_to(3)
    own = make_record(
        SETTINGS.name, address=str(SETTINGS.peer_address), service_name="desk"
    )
    log = node.store = RestoredLog(node, own)
    local_record = relay_run.make_local_record(node)
    found = [
        anyio.run(relay_run._ensure_local_record, node, local_record) for _ in range(2)
    ]
    assert found == [False, True]
    assert node.readers.record_table.next_offset == 13
    assert log.appended == []
