"""Odd records that another writer has left among those of the nodes."""

from __future__ import annotations

import anyio
import pytest

from eelgrassmount.gen import ttypes
from eelgrassmount.platform.topic_names import LEARNED_KEY, NODES_TOPIC
from eelgrassmount.relay.frames import encode_struct
from tests.relay.deployment import Deployment, make_rule, send_as_client
from tests.relay.virtual import Network, run_virtually

DEPTH = 50_000


def make_record(address: str = "127.9.9.9:7620", name: str = "odd") -> bytes:
    return encode_struct(ttypes.NodeRecord(name, address, "a", "list"))


RECORD = make_record()
# Field 99 is unknown to nodes, which skip it.
ODD_RECORDS = {
    "nested structs": RECORD[:-1] + b"\x0c\x00\x63" * DEPTH + bytes(DEPTH + 1),
    "nested lists": RECORD[:-1] + b"\x0f\x00\x63" + b"\x0f\x00\x00\x00\x01" * DEPTH,
    "long list": RECORD[:-1] + b"\x0f\x00\x63\x08\x7f\xff\xff\xff",
    "negative length": RECORD[:-1] + b"\x0b\x00\x63\xff\xff\xff\xff",
    "port out of range": make_record("127.9.9.9:99999"),
    "port too large": make_record("127.9.9.9:" + "9" * 5_000),
    "port zero": make_record("127.9.9.9:0"),
    "no address": make_record("9" * 400),
    "JSON": b'{"a":' * DEPTH,
    "other key": make_record(name="other"),
}


# Guards against a node that ends, or stops to follow the log, because of one record.
@pytest.mark.parametrize("key", ["odd", LEARNED_KEY])
@pytest.mark.parametrize("odd", ODD_RECORDS)
def test_odd_record_is_skipped_and_later_ones_are_followed(odd, key):
    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(make_rule("/list/", "list"))
            front = await deployment.add("front")
            deployment.log.put(NODES_TOPIC, key, ODD_RECORDS[odd])
            await anyio.sleep(0.5)
            deployment.log.put(NODES_TOPIC, key, ODD_RECORDS[odd])
            await deployment.add("list")
            await deployment.wait_until_connected()
            await anyio.sleep(1.0)
            assert (await send_as_client(front, "/list/1")).status == 200
            for vm in deployment.vms:
                assert sorted(vm.node.state.members.by_name) == ["node-1", "node-2"]
                assert vm.node.rejected_messages.totals
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main)
