"""Measures the cost of a log reader by the number of its subscribers.

Run it with ``python -m benchmarks.readers``. Many nodes subscribe to one reader,
through frames that are encoded and decoded as on a link. Only the processor time of
the reader is measured.
"""

from __future__ import annotations

import random
import time

from eelgrassmount.compose.relay import build_relay
from eelgrassmount.gen import ttypes
from eelgrassmount.relay.frames import (
    FrameKind,
    decode_struct,
    encode_frame,
    encode_struct,
)
from eelgrassmount.relay.settings import RelaySettings
from eelgrassmount.relay.tallies import ServiceCounts, Tally, write_tally
from eelgrassmount.topics.readers import SUBSCRIBE_INTERVAL_S
from eelgrassmount.util.addresses import Address

SUBSCRIBER_COUNTS = (16, 32, 64, 128)
ROUTES = 8
ROUNDS = 40
UPDATES_PER_ROUND = 4
SERVICES = 4


def make_subscribe_frame(number: int, rng: random.Random) -> bytes:
    """Return an encoded subscription of a node, with counts of some routes."""
    routes = [f"shop.example/route-{route}/" for route in range(ROUTES)]
    counts = {name: rng.uniform(1.0, 40.0) for name in routes}
    tally = Tally(
        1,
        {name: rng.uniform(0.1, 2.0) for name in routes[: ROUTES // 2]},
        {f"service-{number % SERVICES}": ServiceCounts(1, counts)},
        {name: rng.uniform(1.0, 30.0) for name in routes[:3]},
        {(routes[0], name): rng.uniform(1.0, 60.0) for name in routes[4:6]},
    )
    struct = ttypes.RelaySubscribe(f"node-{number}", "a", 0, write_tally(tally), True)
    return encode_struct(struct)


def measure_cpu_s(subscribers: int) -> float:
    """Return the processor seconds per second of a reader with these subscribers."""
    rng = random.Random(subscribers)
    host = "127.0.0.1"
    addresses = [Address(host, port) for port in range(7620, 7626)]
    node = build_relay(RelaySettings("reader", "a", "service-0", *addresses))
    node.register_local_node()
    for number in range(subscribers):
        node.state.members.put(f"node-{number}", f"{host}:7620", "a", "service-1")
    payloads = [make_subscribe_frame(number, rng) for number in range(subscribers)]

    def send(kind: FrameKind, struct: object) -> None:
        encode_frame(kind, struct)

    started_s = time.process_time()
    for _ in range(ROUNDS):
        for payload in payloads:
            struct = decode_struct(ttypes.RelaySubscribe, payload)
            node.readers.handle_subscribe(struct, send)
        for _ in range(UPDATES_PER_ROUND):
            node.readers._update_cluster_counts(node.state.clock())
    return (time.process_time() - started_s) / ROUNDS / SUBSCRIBE_INTERVAL_S


def main() -> None:
    """Print the processor time of a reader by the number of its subscribers."""
    base_s = measure_cpu_s(SUBSCRIBER_COUNTS[0])
    for subscribers in SUBSCRIBER_COUNTS:
        cpu_s = measure_cpu_s(subscribers)
        print(
            f"{subscribers:4} nodes: {cpu_s * 1000:6.2f} ms per second, "
            f"{cpu_s / base_s:5.2f} times that of {SUBSCRIBER_COUNTS[0]}"
        )


if __name__ == "__main__":
    main()
