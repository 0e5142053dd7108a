"""What the nodes that listen to a reader of the log cost it.

Run it with ``python -m benchmarks.readers``. A reader is asked by many nodes, over
frames that are encoded and decoded as on a link; only its own work is timed, in
processor time. The ratio between numbers of nodes holds on a busy machine, the
milliseconds are of this one.
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
from eelgrassmount.topics.readers import PERIOD_S
from eelgrassmount.util.addresses import Address

LISTENERS = (16, 32, 64, 128)
ROUTES = 8
ROUNDS = 40
STEPS_PER_ROUND = 4
SERVICES = 4


def make_question(number: int, rng: random.Random) -> bytes:
    """Return a question of a node with counts of some routes."""
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


def measure_second(listeners: int) -> float:
    """Return the processor seconds that a reader works for its listeners a second."""
    rng = random.Random(listeners)
    host = "127.0.0.1"
    addresses = [Address(host, port) for port in range(7620, 7626)]
    node = build_relay(RelaySettings("reader", "a", "service-0", *addresses))
    node.register_local_node()
    for number in range(listeners):
        node.state.members.put(f"node-{number}", f"{host}:7620", "a", "service-1")
    questions = [make_question(number, rng) for number in range(listeners)]

    def send(kind: FrameKind, struct: object) -> None:
        encode_frame(kind, struct)

    begun_s = time.process_time()
    for _ in range(ROUNDS):
        for payload in questions:
            struct = decode_struct(ttypes.RelaySubscribe, payload)
            node.readers.note_subscribe(struct, send)
        for _ in range(STEPS_PER_ROUND):
            node.readers._update_outlook(node.state.clock())
    return (time.process_time() - begun_s) / ROUNDS / PERIOD_S


def main() -> None:
    """Print the work of a reader by the number of nodes that listen to it."""
    least = measure_second(LISTENERS[0])
    for listeners in LISTENERS:
        second = measure_second(listeners)
        print(
            f"{listeners:4} nodes: {second * 1000:6.2f} ms a second, "
            f"{second / least:5.2f} times that of {LISTENERS[0]}"
        )


if __name__ == "__main__":
    main()
