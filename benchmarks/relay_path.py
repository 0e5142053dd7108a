"""Measures the processor time of a call through two nodes, and of its parts.

A client sends requests to a node, which sends each over its link to the node of the
backend server. Log, client, server and both nodes run in one process. Its processor
time is compared with that of the same client over a plain pass-through proxy, and
without either. A profile of a separate run gives the parts.

``python -m benchmarks.relay_path``
"""

from __future__ import annotations

import asyncio
import cProfile
import pstats
import statistics
import time
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from eelgrassmount.http1.client import open_connection
from eelgrassmount.http1.server import HttpListener
from eelgrassmount.util.addresses import Address
from tests.relay.deployment import (
    LOOPBACK_PREFIX,
    Deployment,
    make_request,
    make_rule,
    make_team,
    send,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from eelgrassmount.http1.client import ClientConnection
    from eelgrassmount.http1.exchange import Exchange

CALL_COUNT = 4000
ROUNDS = 5
CLIENTS = 8
LIST_RULE = make_rule("/list/", "list", action={"timeoutMs": 5000})
PASS_THROUGH_ADDRESS = Address(f"{LOOPBACK_PREFIX}.9.1", 8304)
# parts of a profile, by patterns of file and function names
PARTS = {
    "http": ("http1",),
    "headers": ("platform",),
    "frames": ("frames.py", "checks.py", "TBinary", "fastbinary", "TTransport"),
    "links": ("link.py", "links.py", "inbound.py"),
    "ingress and responses": ("ingress.py", "responder.py", "sender.py", "messages.py"),
    "teams and quotas": ("teams", "quotas.py"),
    "call attribution": ("call_attribution.py",),
    "routing": ("routing.py", "placement.py", "members.py"),
    "dispatcher": (
        "dispatcher.py",
        "measures.py",
        "budget.py",
        "queues.py",
        "backend.py",
    ),
    "learning": ("vectors.py", "states.py", "estimates.py"),
    "metrics and logging": ("metrics.py", "decisions.py", "prometheus", "loguru"),
}


async def run_client(address: Address, count: int) -> None:
    connection = await open_connection(address, 2.0)
    data = make_request(
        "GET", "/list/1", x_api_key="k-1", eelgrassmount_deadline_ms="2000"
    )
    for _ in range(count):
        await send(connection, data)
    connection.close()


async def run_clients(address: Address, calls: int) -> None:
    async with anyio.create_task_group() as group:
        for _ in range(CLIENTS):
            group.start_soon(run_client, address, calls // CLIENTS)


async def measure(address: Address) -> float:
    """Return the processor time of one call in microseconds."""
    started_s = time.process_time()
    await run_clients(address, CALL_COUNT)
    return (time.process_time() - started_s) / CALL_COUNT * 1e6


def make_pass_through(server: Address) -> HttpListener:
    """Return a listener that forwards each request unchanged."""
    idle: list[ClientConnection] = []

    async def forward(exchange: Exchange) -> None:
        connection = idle.pop() if idle else await open_connection(server, 2.0)
        lines = b"".join(b"%s: %s\r\n" % pair for pair in exchange.headers)
        head = f"{exchange.method} {exchange.target} HTTP/1.1\r\n".encode() + lines
        answer = await send(connection, head + b"\r\n" + exchange.body)
        idle.append(connection)
        exchange.respond(answer.status, b"", answer.body)

    tasks = set()

    def handle(exchange: Exchange) -> None:
        task = asyncio.ensure_future(forward(exchange))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    return HttpListener(handle, time.monotonic)


def print_parts(profile: cProfile.Profile) -> None:
    stats = pstats.Stats(profile).stats
    totals = dict.fromkeys([*PARTS, "event loop, sockets, other"], 0.0)
    for (file, _, name), (_, _, self_s, _, _) in stats.items():
        location = f"{file}/{name}"
        part = next(
            (
                part
                for part, patterns in PARTS.items()
                if any(pattern in location for pattern in patterns)
            ),
            "event loop, sockets, other",
        )
        totals[part] += self_s
    total_s = sum(totals.values())
    for part, seconds in sorted(totals.items(), key=lambda item: -item[1]):
        print(f"  {part:28} {seconds / total_s:6.1%}")


async def main() -> None:
    logger.remove()
    async with anyio.create_task_group() as group:
        deployment = Deployment(group)
        await deployment.start()
        team = make_team("press", "k-1")
        deployment.configure(1, LIST_RULE, teams=[team])
        front = await deployment.add("front")
        back = await deployment.add("list")
        await deployment.wait_until_connected()
        pass_through = make_pass_through(back.settings.server_address)
        await pass_through.start(PASS_THROUGH_ADDRESS.host, PASS_THROUGH_ADDRESS.port)
        measurements: dict[str, Callable[[], Awaitable[float]]] = {
            "direct": lambda: measure(back.settings.server_address),
            "pass-through": lambda: measure(PASS_THROUGH_ADDRESS),
            "two nodes": lambda: measure(front.settings.caller_address),
        }
        costs_by_path = {name: [] for name in measurements}
        for _ in range(ROUNDS):
            for name, run in measurements.items():
                costs_by_path[name].append(await run())
        for name, costs in costs_by_path.items():
            print(f"{name:14} {statistics.median(costs):7.1f} us per call")
        pairs = zip(
            costs_by_path["two nodes"], costs_by_path["pass-through"], strict=True
        )
        print(f"ratio          {statistics.median(a / b for a, b in pairs):7.2f}")
        added = [
            (nodes - direct) / direct
            for nodes, direct in zip(
                costs_by_path["two nodes"], costs_by_path["direct"], strict=True
            )
        ]
        print(f"added / direct {statistics.median(added):7.2f}")
        profile = cProfile.Profile()
        profile.enable()
        await run_clients(front.settings.caller_address, CALL_COUNT)
        profile.disable()
        print("parts of the time through two nodes, client and server included:")
        print_parts(profile)
        await deployment.end()
        pass_through.end()
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main, backend_options={"use_uvloop": True})
