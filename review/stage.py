"""A small deployment on loopback for the review scripts 4 to 8.

The nodes are separate processes, started with the command of the deploy file. The
platform's log is the project's stand-in. The upstreams and the clients are written on
plain sockets here, since the project's own share its HTTP parser.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins.platform_log import PlatformLog

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
HEARTBEAT_S = 1.5
MEMORY_MB = 300
GRACE_S = 6
PORTS = (7620, 8300, 8301, 8302, 8304, 8306, 9464)
READY_TIMEOUT_S = 15.0
MAX_HEAD_BYTES = 65536
PREFIX_CHOICES = range(40, 250)

BOUNDS = (
    "seedLagS=3",
    "reuseAfterS=2",
    "stableWindowMs=3000",
    "ackMs=4000",
    "catchUpS=4",
    "drainMs=2000",
    f"graceS={GRACE_S}",
    "lossSlackMs=200",
    "configApplyMs=2000",
    "rollbackSlackMs=250",
    "stretchMaxMs=5000",
    "retryBudgetRatio=0.2",
    "budgetWindowS=10",
    "budgetSlack=48",
    "recoverS=15",
)
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


@dataclass
class Message:
    """A request or an answer, with header names in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split()[1])


@dataclass
class Record:
    """Events with their time, which are written to ``record.txt`` at the end."""

    folder: Path
    started_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Record an event."""
        self.lines.append(f"{self.now():9.4f} {text}")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def write(self) -> None:
        """Write the events to the folder of the case."""
        text = "\n".join([*self.lines, ""])
        (self.folder / "record.txt").write_text(text)


async def read_message(
    reader: asyncio.StreamReader, read_body: Callable[[int], Awaitable[bytes]] | None
) -> Message:
    """Read a message; a body needs a length, as all peers here send one."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    read = read_body or reader.readexactly
    return Message(start, headers, await read(length) if length else b"")


def make_rule(prefix: str, service: str, kind: str, **changes: object) -> dict:
    """Return a route of the configuration."""
    action = {"service": service, "timeoutMs": 3000, "maxAttempts": 2}
    action |= changes.pop("action", {})
    return {
        "name": f"r-{service}{prefix.replace('/', '-')}",
        "kind": kind,
        "targetLatencyMs": 1500,
        "priority": 1,
        "match": {"pathPrefix": prefix},
        "action": action,
        **changes,
    }


def make_configuration(version: int, rules: list[dict]) -> bytes:
    """Return a configuration document."""
    names = sorted({rule["action"]["service"] for rule in rules})
    clusters = [
        {"name": name, "healthPath": "/health", "maxConnections": 900} for name in names
    ]
    content = {
        "version": f"r{version}",
        "limits": LIMITS,
        "listeners": [{"host": HOST, "routeRules": rules}],
        "clusters": clusters,
    }
    return json.dumps(content).encode()


@dataclass
class Run:
    """A request that an upstream has received in full and begun to work on."""

    request_id: str
    server: str
    service: str
    started_s: float
    message: Message


@dataclass
class Upstream:
    """An application upstream, as the platform's pages describe it.

    ``sheds`` returns whether it rejects the next request. ``read_body_bytes_per_s``
    limits how fast it reads the bodies of requests.
    """

    record: Record
    identity: str
    service: str
    ip: str
    work_s: float = 0.05
    slots: int = 49
    read_body_bytes_per_s: float | None = None
    sheds: Callable[[], bool] = lambda: False
    state: str = "ready"
    leaving: bool = False
    runs: list[Run] = field(default_factory=list)
    received: set[str] = field(default_factory=set)
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _beats: asyncio.Task | None = None

    async def start(self, first_heartbeat_s: float = 0.0) -> None:
        """Listen, and send heartbeats after a first delay."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.read_body_bytes_per_s is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        listener.bind((self.ip, 8301))
        listener.setblocking(False)
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=MAX_HEAD_BYTES, backlog=512
        )
        self._beats = asyncio.create_task(self._send_heartbeats(first_heartbeat_s))

    def stop_heartbeats(self) -> None:
        """Send no further heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    def end(self) -> None:
        """End like a crashed process: no answer, and no further connections."""
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def announce(self, sequence: int | None = None) -> bool:
        """Send a heartbeat and return whether it was acknowledged."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        content = {
            "address": f"{self.ip}:8301",
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": sequence,
                "coldRemainingMs": 0,
            },
        }
        return await self._post("heartbeat", json.dumps(content).encode())

    async def leave(self) -> bool:
        """Send the leave message and return whether it was acknowledged."""
        self.leaving = True
        content = json.dumps({"born": self.born_ms}).encode()
        return await self._post("leave", content)

    async def _post(self, kind: str, body: bytes) -> bool:
        head = (
            f"POST /instances/{self.identity}/{kind} HTTP/1.1\r\nHost: {self.ip}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(1.0):
                message = await call(self.ip, 8306, head.encode() + body)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            return False
        return 200 <= message.status < 300

    async def _send_heartbeats(self, first_s: float) -> None:
        await asyncio.sleep(first_s)
        while True:
            acknowledged = await self.announce()
            if self.sequence == 1:
                self.record.add(
                    f"first heartbeat of {self.identity} ({self.service}): "
                    f"{'acknowledged' if acknowledged else 'refused'}"
                )
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)

        async def read_slowly(length: int) -> bytes:
            return await self._read_slowly(reader, length)

        read = None if self.read_body_bytes_per_s is None else read_slowly
        try:
            while True:
                message = await read_message(reader, read)
                await self._handle(message, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _read_slowly(self, reader: asyncio.StreamReader, length: int) -> bytes:
        parts = []
        while length:
            part = await reader.read(min(length, 65536))
            if not part:
                raise EOFError
            parts.append(part)
            length -= len(part)
            await asyncio.sleep(len(part) / self.read_body_bytes_per_s)
        return b"".join(parts)

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        request_id = message.headers.get("eelgrassmount-attempt-id", "")
        expected = message.headers.get("eelgrassmount-expect-instance")
        identity = f"Eelgrassmount-Instance-Id: {self.identity}\r\n"
        if expected not in (None, self.identity):
            self.record.add(f"server {self.identity} answers 421 to {request_id}")
            await self._respond(writer, 421, identity)
            return
        if message.start.startswith("GET /health "):
            healthy = self.state == "ready" and not self.leaving
            await self._respond(writer, 200 if healthy else 503, identity)
            return
        if self.sheds():
            self.record.add(f"server {self.identity} rejects {request_id}")
            head = f"Eelgrassmount-Attempt-Id: {request_id}\r\n"
            await self._respond(writer, 503, head + "Eelgrassmount-Not-Executed: 1\r\n")
            return
        run = Run(request_id, self.identity, self.service, self.record.now(), message)
        self.runs.append(run)
        self.record.add(
            f"server {self.identity} of {self.service} runs {request_id}: "
            f"{message.start} body {len(message.body)} bytes"
        )
        await asyncio.sleep(self.work_s)
        head = f"Eelgrassmount-Attempt-Id: {request_id}\r\n"
        head += f"Eelgrassmount-Response-Signature: s.{self.identity}\r\n"
        await self._respond(writer, 200, head, b"done")

    async def _respond(
        self, writer: asyncio.StreamWriter, status: int, head: str, body: bytes = b""
    ) -> None:
        start = f"HTTP/1.1 {status} -\r\n{head}Content-Length: {len(body)}\r\n\r\n"
        writer.write(start.encode() + body)
        await writer.drain()


async def call(ip: str, port: int, data: bytes) -> Message:
    """Send one request on a connection of its own."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(data)
        return await read_message(reader, None)
    finally:
        writer.close()


def make_request(
    method: str,
    target: str,
    request_id: str,
    budget_ms: int,
    body: bytes = b"",
    head: str = "",
) -> bytes:
    """Return the bytes of a client's request; ``head`` has further header lines."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Eelgrassmount-Attempt-Id: {request_id}\r\n"
        f"Eelgrassmount-Deadline-Ms: {budget_ms}\r\n{head}{length}\r\n"
    ).encode() + body


def read_command() -> list[str]:
    """Return the command of the deploy file that runs a node."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["node"]["run"].split()


@dataclass
class Node:
    """A node process beside an upstream, with its settings file."""

    record: Record
    folder: Path
    name: str
    ip: str
    service: str
    log_address: str
    process: subprocess.Popen | None = None
    ended: bool = False
    log_reader: asyncio.Task | None = None

    def write_settings(self) -> None:
        """Write the settings file, as the platform does."""
        bounds = ",".join(json.dumps(bound) for bound in BOUNDS)
        text = f"""
nodeId = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{self.ip}"
zone = "a"
region = "r"
portRange = [7620, 7635]
seeds = []
bootstrap = true
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "retry", "recover", "pressure"]
bounds = [{bounds}]
appAddr = "{self.ip}:8301"
service = "{self.service}"
[zones]
a = "r"
[listen]
inbound = "{self.ip}:8300"
outbound = "{self.ip}:8304"
ready = "{self.ip}:8302"
control = "{self.ip}:8306"
[limits]
cpuShare = 0.86
cores = 2
memoryMb = {MEMORY_MB}
maxFds = 4100
[platform]
address = "{self.log_address}"
form = "log"
writesPerS = 400
readsPerS = 2000
keep_s = 20
"""
        path = self.folder / f"{self.name}.toml"
        new = path.with_suffix(".new")
        new.write_text(text)
        new.replace(path)

    def start(self, output: int | None = None) -> None:
        """Start the process; its log goes to a file unless ``output`` is given."""
        path = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT)])
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": path,
            "EELGRASSMOUNT_NODE_FILE": str(self.folder / f"{self.name}.toml"),
        }
        if output is None:
            with (self.folder / f"{self.name}.log").open("ab") as file:
                self._start(file.fileno(), environment)
        else:
            self._start(output, environment)
        self.ended = False
        self.record.add(f"node {self.name} at {self.ip} started")

    def _start(self, output: int, environment: dict[str, str]) -> None:
        self.process = subprocess.Popen(
            read_command(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.add(f"{number.name} to node {self.name}")
        self.process.send_signal(number)
        self.ended = number is signal.SIGKILL

    def read_memory_mb(self) -> float:
        """Return the resident memory of the process."""
        with contextlib.suppress(OSError, StopIteration):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            line = next(one for one in status.splitlines() if "VmRSS" in one)
            return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                data = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
                return (await call(self.ip, 8302, data)).status == 200
        except (OSError, EOFError, asyncio.IncompleteReadError):
            return False


class Stage:
    """The platform's log and any number of machines, each with a node."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.log = PlatformLog()
        self.nodes: list[Node] = []
        self.upstreams: list[Upstream] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.prefix = find_free_prefix()

    @property
    def log_ip(self) -> str:
        """Return the address of the platform's log."""
        return f"{self.prefix}.200"

    async def configure(self, rules: list[dict], version: int = 1) -> None:
        """Start the log on first use, and write a configuration."""
        if version == 1:
            await self.log.start(self.log_ip, 8309)
        self.log.put("keyed.op", "config", make_configuration(version, rules))
        self.record.add(f"configuration r{version} acknowledged")

    async def add(self, service: str, **changes: object) -> tuple[Node, Upstream]:
        """Start a machine with an upstream and a node."""
        number = len(self.nodes) + 1
        ip = f"{self.prefix}.{number}"
        output = changes.pop("output", None)
        identity = f"i-{number:02d}{service}"
        upstream = Upstream(self.record, identity, service, ip, **changes)
        log_address = f"{self.log_ip}:8309"
        node = Node(self.record, self.folder, f"vm-{number}", ip, service, log_address)
        node.write_settings()
        node.start(output)
        self.nodes.append(node)
        self.upstreams.append(upstream)
        await upstream.start(0.2)
        return node, upstream

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are ready and in touch."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)
        self.record.add("all nodes ready for the stable window")

    def end(self) -> None:
        """End all processes, and write the record."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for upstream in self.upstreams:
            upstream.end()
        self.log.end()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(
                ["cp", "-r", str(self.folder), os.environ["KEEP_LOGS"]], check=False
            )
        self._temporary.cleanup()
        self.record.write()


def find_free_prefix() -> str:
    """Return the first three octets of loopback addresses whose ports are free."""
    choices = list(PREFIX_CHOICES)
    random.shuffle(choices)
    for second in choices:
        prefix = f"127.{second}.{random.randrange(1, 250)}"
        if all(is_free(f"{prefix}.1", port) for port in PORTS):
            return prefix
    raise OSError("no free loopback addresses")


def is_free(ip: str, port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket() as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            one.bind((ip, port))
        except OSError:
            return False
    return True


def has_trouble() -> bool:
    """Return whether the disruption of the case takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Stage], Awaitable[int]]) -> int:
    """Play a case and return its exit code: 0 held, 1 broken, 2 could not run."""

    async def run() -> int:
        stage = Stage(folder)
        try:
            async with asyncio.timeout(110.0):
                return await play(stage)
        except Exception as error:
            stage.record.add(f"the case could not run: {error!r}")
            return 2
        finally:
            stage.end()

    code = asyncio.run(run())
    print(f"exit {code}")
    return code
