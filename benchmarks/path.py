"""Measures the latency that each hop adds to a call, compared with a direct call.

One caller and two nodes with a responder each run as separate processes. The
routes take turns within one run, so that other load on the machine affects all of
them alike. ``python -m benchmarks.path --against DIR`` measures the nodes of a second
checkout in the same turns.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import fire
import httptools
from attrs import define, field, frozen

from benchmarks.responder import make_responder
from standins.deploy import PYTHON, Deployment, DeploymentSpec, ServiceSpec
from standins.processes import ROOT
from standins.web import split_address

if TYPE_CHECKING:
    from collections.abc import Iterable

CONFIGURATION = """
failure_domains = ["bench"]

[[class]]
name = "call"
routes = ["GET /near/x", "GET /far/x"]
idempotent = true
refuse_last = true
complete_fraction = 0.9
within_ms = 5000
"""
IN_FORCE_TIMEOUT_S = 20.0
WARM_UP_REQUESTS = 600
SEQUENTIAL_REQUESTS = 1500
# long enough to measure processor time in clock ticks
SEQUENTIAL_BLOCK = 100
CONCURRENCY = 64
CONCURRENT_ROUNDS = 4
CONCURRENT_REQUESTS = 2560
START_TRIALS = 5
DIRECT = "direct"
MAX_ADDED_P99_MS = 0.38


@frozen
class Route:
    """One way to make the call; ``status`` is that of a successful response."""

    name: str
    address: str
    path: str
    status: int = 200
    pids: tuple[int, ...] = ()


@define
class Series:
    """Latencies of one route at one concurrency, in milliseconds."""

    latencies_ms: list[float] = field(factory=list)
    refused: int = 0
    cpu_s: float = 0.0

    @property
    def cpu_ms(self) -> float:
        """Return the processor time of the nodes for one call."""
        return self.cpu_s * 1000 / max(1, len(self.latencies_ms) + self.refused)

    def quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the latencies, or NaN if there are none."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return float("nan")
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class _Caller(asyncio.Protocol):
    """One connection of the caller."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._done.done():
            self._done.set_exception(ConnectionError("the connection was closed"))

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._done.set_result(self._parser.get_status_code())

    async def send(self, request: bytes) -> int:
        """Send a request and return the status of its response."""
        self._parser = httptools.HttpResponseParser(self)
        self._done = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._done


async def _connect(route: Route) -> _Caller:
    loop = asyncio.get_running_loop()
    _, caller = await loop.create_connection(_Caller, *split_address(route.address))
    return caller


def _encode_request(route: Route) -> bytes:
    head = f"GET {route.path} HTTP/1.1\r\nhost: {route.address}\r\n"
    return f"{head}accept: application/json\r\nuser-agent: bench\r\n\r\n".encode()


async def _measure(route: Route, caller: _Caller, series: Series) -> None:
    started_s = time.perf_counter()
    status = await caller.send(_encode_request(route))
    seconds = time.perf_counter() - started_s
    if status == route.status:
        series.latencies_ms.append(seconds * 1000)
    else:
        series.refused += 1


async def measure_sequential(
    routes: Iterable[Route], requests: int
) -> dict[str, Series]:
    """Send one request at a time, in blocks that alternate between the routes."""
    found = {route.name: Series() for route in routes}
    callers = {route.name: await _connect(route) for route in routes}
    for _ in range(requests // SEQUENTIAL_BLOCK):
        for route in routes:
            series = found[route.name]
            before_s = _read_cpu_s(route.pids)
            for _ in range(SEQUENTIAL_BLOCK):
                await _measure(route, callers[route.name], series)
            series.cpu_s += _read_cpu_s(route.pids) - before_s
    return found


async def measure_concurrent(
    routes: Iterable[Route], rounds: int, requests: int
) -> dict[str, Series]:
    """Keep many requests in flight, on one route after the other, in rounds."""
    found = {route.name: Series() for route in routes}
    for _ in range(rounds):
        for route in routes:
            # Concurrency limits adapt to each route first; this block is discarded.
            await _send_block(route, requests, Series())
            await _measure_block(route, requests, found[route.name])
    return found


async def _measure_block(route: Route, requests: int, series: Series) -> None:
    before_s = _read_cpu_s(route.pids)
    await _send_block(route, requests, series)
    series.cpu_s += _read_cpu_s(route.pids) - before_s


async def _send_block(route: Route, requests: int, series: Series) -> None:
    async def work(caller: _Caller) -> None:
        for _ in range(requests // CONCURRENCY):
            await _measure(route, caller, series)

    callers = [await _connect(route) for _ in range(CONCURRENCY)]
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(work(caller))


class BenchDeployment(Deployment):
    """Two VMs whose backend servers are responders."""

    def __init__(self, tree: Path) -> None:
        start = (
            f"import sys; sys.path.insert(0, {str(tree)!r}); "
            "from eelgrassmount.cmd.main import main; sys.exit(main(sys.argv[1:]))"
        )
        services = (ServiceSpec("near"), ServiceSpec("far"))
        command = (PYTHON, "-c", start)
        super().__init__(DeploymentSpec(("bench",), services, node_command=command))
        for vm in self.vms:
            vm.server.command = make_responder(
                PYTHON,
                vm.service,
                vm.server_address,
                vm.server_admin_address,
                vm.backend_address,
            )

    def list_routes(self, label: str) -> list[Route]:
        """Return the routes through the nodes, each with one more hop."""
        near = self.vms[0].caller_address
        pids = tuple(vm.node.pid for vm in self.vms)
        return [
            Route(f"{label}caller edge (refused)", near, "/none/x", 404, pids),
            Route(f"{label}+ backend edge", near, "/near/x", 200, pids),
            Route(f"{label}+ peer hop", near, "/far/x", 200, pids),
        ]

    def make_direct_route(self) -> Route:
        """Return the route that sends the call directly to the backend server."""
        return Route(DIRECT, self.vms[0].server_address, "/near/x")

    def measure_start_s(self) -> float:
        """Restart a node and return the seconds until it answers callers."""
        vm = self.vms[1]
        vm.node.kill()
        started_s = time.perf_counter()
        vm.node.start()
        asyncio.run(_wait_for_answer(vm.caller_address))
        return time.perf_counter() - started_s

    def read_rss_mib(self) -> list[float]:
        """Return the resident memory of each node."""
        return [_read_rss_mib(vm.node.pid) for vm in self.vms]


def _read_cpu_s(pids: Iterable[int]) -> float:
    ticks = 0
    for pid in pids:
        # User and system time; counted after the program name, which may hold spaces.
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _read_rss_mib(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


async def _wait_for_answer(address: str) -> None:
    route = Route("start", address, "/none/x")
    while True:
        try:
            caller = await _connect(route)
            await caller.send(_encode_request(route))
            return
        except ConnectionError:
            await asyncio.sleep(0.002)


def _show(title: str, found: dict[str, Series]) -> None:
    direct = found[DIRECT]
    print(f"\n{title}: milliseconds, and factor to the direct call")
    head = (
        "route",
        "p50",
        "p99",
        "added p50",
        "added p99",
        "x p50",
        "x p99",
        "refused",
    )
    print("{:32}{:>8}{:>8}{:>11}{:>11}{:>8}{:>8}{:>9}".format(*head))
    for name, series in found.items():
        p50, p99 = series.quantile_ms(0.5), series.quantile_ms(0.99)
        direct_p50, direct_p99 = direct.quantile_ms(0.5), direct.quantile_ms(0.99)
        print(
            f"{name:32}{p50:8.3f}{p99:8.3f}"
            f"{p50 - direct_p50:11.3f}{p99 - direct_p99:11.3f}"
            f"{p50 / direct_p50:8.2f}{p99 / direct_p99:8.2f}"
            f"{series.refused:9}{series.cpu_ms:9.3f}"
        )


def _show_ratios(labels: list[str], found: dict[str, Series]) -> None:
    if len(labels) < 2:
        return
    this, other = labels
    for name in found:
        if not name.startswith(this):
            continue
        pair = found[name], found[name.replace(this, other, 1)]
        added = [
            [
                series.quantile_ms(part) - found[DIRECT].quantile_ms(part)
                for part in (0.5, 0.99)
            ]
            for series in pair
        ]
        ratios = [this_ms / other_ms for this_ms, other_ms in zip(*added, strict=True)]
        cpu = pair[0].cpu_ms / pair[1].cpu_ms if pair[1].cpu_ms else float("nan")
        print(
            f"{name}: added p50 x {ratios[0]:.2f}, p99 x {ratios[1]:.2f}, "
            f"processor time x {cpu:.2f} of {other}"
        )


def run(
    against: str = "",
    sequential: int = SEQUENTIAL_REQUESTS,
    rounds: int = CONCURRENT_ROUNDS,
    concurrent: int = CONCURRENT_REQUESTS,
) -> None:
    """Measure the path of this checkout, and that of the checkout ``against``."""
    trees = {"": ROOT}
    if against:
        trees = {"this ": ROOT, "other ": Path(against).resolve()}
    with ExitStack() as stack:
        deployments = {
            label: stack.enter_context(BenchDeployment(tree))
            for label, tree in trees.items()
        }
        for deployment in deployments.values():
            published = deployment.publish(CONFIGURATION)
            if published.returncode:
                sys.exit(f"config publish failed: {published.stderr}")
            deployment.wait_until_in_force(1, IN_FORCE_TIMEOUT_S)
        routes = [next(iter(deployments.values())).make_direct_route()]
        for label, deployment in deployments.items():
            routes += deployment.list_routes(label)
        asyncio.run(measure_sequential(routes, WARM_UP_REQUESTS))
        found = asyncio.run(measure_sequential(routes, sequential))
        _show("1 call at a time", found)
        _show_ratios(list(trees), found)
        found = asyncio.run(measure_concurrent(routes, rounds, concurrent))
        _show(f"{CONCURRENCY} calls at a time", found)
        _show_ratios(list(trees), found)
        _show_processes(deployments)
    print(
        f"\ntarget: at most {MAX_ADDED_P99_MS} ms added at p99"
        " by the whole path (+ peer hop)"
    )


def _show_processes(deployments: dict[str, BenchDeployment]) -> None:
    for label, deployment in deployments.items():
        rss = ", ".join(f"{mib:.1f}" for mib in deployment.read_rss_mib())
        starts_s = [deployment.measure_start_s() for _ in range(START_TRIALS)]
        print(
            f"\n{label}node: RSS after the run {rss} MiB; from start to first response "
            f"{statistics.median(starts_s):.2f} s (median of {START_TRIALS})"
        )


if __name__ == "__main__":
    fire.Fire(run)
