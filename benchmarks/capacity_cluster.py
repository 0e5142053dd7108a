"""Runs node processes with the platform's log, and reads what they use."""

from __future__ import annotations

import contextlib
import json
import os
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Self

from attrs import define, field, frozen

from benchmarks.capacity_announcers import (
    ANNOUNCEMENT_PATH,
    Announcers,
    NodeProcess,
    describe_server,
)
from standins.admin_client import call_admin, get_stats
from standins.processes import (
    PYTHON,
    Process,
    find_free_address,
    make_command,
    make_flags,
    poll_until,
)

START_TIMEOUT_S = 120.0
HTTP_TIMEOUT_S = 10.0
_FIRST_OCTET = 20
_OCTET_COUNT = 200
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
_KIB_PER_MIB = 1024


@frozen
class Shape:
    """Size of a cluster; ``members`` counts the nodes of each failure domain."""

    domains: int
    members: int
    services: int

    @property
    def nodes(self) -> int:
        return self.domains * self.members


@frozen
class Usage:
    """Processor time and memory of a process, the former since its start."""

    cpu_s: float
    memory_mb: float


@frozen
class Traffic:
    """Peer traffic and errors of a node since its start."""

    bytes_sent: float = 0.0
    bytes_received: float = 0.0
    messages_sent: float = 0.0
    messages_received: float = 0.0
    log_errors: float = 0.0
    internal_errors: float = 0.0


def read_usage(pid: int) -> Usage:
    """Return the processor time and resident memory of a process."""
    text = Path(f"/proc/{pid}/stat").read_text()
    # The name of the program may hold spaces.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    status = Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Usage(ticks / _TICKS_PER_S, int(resident.split()[1]) / _KIB_PER_MIB)


def read_metrics(admin_address: str) -> dict[str, float]:
    """Return a node's metrics by name and labels."""
    url = f"http://{admin_address}/metrics"
    with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S) as answer:
        text = answer.read().decode()
    lines = (line for line in text.splitlines() if line and not line.startswith("#"))
    series = (line.rpartition(" ") for line in lines)
    return {name: float(value) for name, _, value in series}


def read_traffic(admin_address: str) -> Traffic:
    """Return the traffic and errors that a node's metrics report."""
    series = read_metrics(admin_address)

    def sum_series(name: str) -> float:
        prefix = f"eelgrassmount_{name}"
        return sum(value for key, value in series.items() if key.startswith(prefix))

    return Traffic(
        bytes_sent=sum_series('peer_bytes_total{direction="sent"'),
        bytes_received=sum_series('peer_bytes_total{direction="received"'),
        messages_sent=sum_series('peer_messages_total{direction="sent"'),
        messages_received=sum_series('peer_messages_total{direction="received"'),
        log_errors=sum_series("log_errors_total"),
        internal_errors=sum_series("internal_errors_total"),
    )


def publish(admin_address: str, text: str) -> int:
    """Publish a configuration and return the version that was accepted."""
    base = call_admin(admin_address, "GET", "/config")["version"]
    url = f"http://{admin_address}/config?base={base}"
    request = urllib.request.Request(url, text.encode(), method="POST")
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as answer:
        return json.loads(answer.read())["version"]


@define(eq=False)
class Cluster:
    """Running nodes with servers that only announce themselves.

    Leaving the context ends all processes.
    """

    shape: Shape
    nodes: list[NodeProcess] = field(factory=list)
    log: Process = field(init=False)
    log_admin_address: str = field(init=False)
    _temporary: tempfile.TemporaryDirectory = field(init=False)
    _announcers: Announcers = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="capacity-")
        first = _FIRST_OCTET + os.getpid() % _OCTET_COUNT
        platform_ip = f"127.{first}.0.1"
        log_address = find_free_address(platform_ip)
        self.log_admin_address = find_free_address(platform_ip)
        command = make_command(
            "log", address=log_address, admin_address=self.log_admin_address
        )
        self.log = Process("log", command, self._folder)
        for domain in range(self.shape.domains):
            for number in range(self.shape.members):
                ip = f"127.{first + 1 + domain}.{number + 1}.1"
                self.nodes.append(self._make_node(domain, number, ip, log_address))
        seeds = [node.peer_address for node in self.nodes[:: self.shape.members]]
        for node in self.nodes:
            others = [seed for seed in seeds if seed != node.peer_address]
            if others:
                node.process.command += (f"--peers={','.join(others)}",)
        self._announcers = Announcers(self.nodes)

    @property
    def _folder(self) -> Path:
        return Path(self._temporary.name)

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._announcers.stop()
        self.stop()

    def stop(self) -> None:
        for process in (*(node.process for node in self.nodes), self.log):
            process.kill()
        self._temporary.cleanup()

    def _make_node(
        self, domain: int, number: int, ip: str, log_address: str
    ) -> NodeProcess:
        peer, admin, backend, caller = (find_free_address(ip) for _ in range(4))
        name = f"domain-{domain}-{number}"
        flags = {
            "caller_address": caller,
            "backend_address": backend,
            "peer_address": peer,
            "admin_address": admin,
            "failure_domain": f"domain-{domain}",
            "region": f"region-{domain % 6}",
            "log_address": log_address,
        }
        command = (PYTHON, "-m", "eelgrassmount", "node", *make_flags(flags))
        return NodeProcess(
            name,
            f"domain-{domain}",
            f"service-{number % self.shape.services}",
            peer,
            admin,
            backend,
            Process(f"node-{name}", command, self._folder),
        )

    def _start(self) -> None:
        self.log.start()
        for node in self.nodes:
            node.process.start()
        self._announcers.start()
        self.wait_until_joined(time.monotonic() + START_TIMEOUT_S)

    def wait_until_joined(self, deadline_s: float) -> None:
        """Wait until each node knows its failure domain and all services."""
        for node in self.nodes:
            for _ in poll_until(deadline_s, node.name):
                if not node.process.running:
                    raise RuntimeError(f"{node.name}: {node.process.read_log()}")
                with contextlib.suppress(OSError):
                    if self._has_joined(node):
                        break

    def _has_joined(self, node: NodeProcess) -> bool:
        known = call_admin(node.admin_address, "GET", "/members")
        alive = [member for member in known["members"] if member["state"] == "alive"]
        services = {
            (summary["failure_domain"], summary["service"])
            for summary in known["summaries"]
            if summary["service"] and summary["failure_domain"] != node.failure_domain
        }
        expected_services = (self.shape.domains - 1) * self.shape.services
        return len(alive) >= self.shape.members and len(services) >= expected_services

    def announce(self, node: NodeProcess, state: str) -> None:
        """Announce a new state of a node's server now, and in later announcements."""
        node.state = state
        with contextlib.suppress(OSError):
            body = describe_server(node)
            call_admin(node.backend_address, "PUT", ANNOUNCEMENT_PATH, body)

    def count_appends(self) -> dict[str, dict[int, int]]:
        """Return the appends of each stream by second."""
        appends = get_stats(self.log_admin_address)["appends"]
        return {
            stream: {int(second): count for second, count in counts.items()}
            for stream, counts in appends.items()
        }

    def publish(self, text: str) -> int:
        """Publish a configuration through the first running node."""
        node = next(node for node in self.nodes if node.process.running)
        return publish(node.admin_address, text)
