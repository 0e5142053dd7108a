"""Stand-ins for clients, backend servers and the platform, and nodes as processes.

Uses the standard library only. A case builds a `Deployment`, which writes the settings
files, starts the nodes with the command of the deploy file, and ends them afterwards.
With ``REVIEW_LOGS``, the path of a folder, the logs of the nodes are kept there.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5
REQUEST_ID = "eelgrassmount-attempt-id"
DEADLINE = "eelgrassmount-deadline-ms"
EXPECTED = "eelgrassmount-expect-instance"
SIGNATURE = "eelgrassmount-response-signature"
NOT_RUN = "eelgrassmount-not-executed"
INSTANCE = "eelgrassmount-instance-id"
HOST = "shop.example"
METRICS_PORT = 9464
PORTS = {"inbound": 8300, "app": 8301, "ready": 8302, "outbound": 8304}
PORTS |= {"control": 8306, "store": 8309, "peer": 7620, "metrics": METRICS_PORT}
REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}
# A case ends within two minutes, its start and its end included.
CASE_TIMEOUT_S = 110.0
# An acknowledgement of a heartbeat counts only within this time.
ANNOUNCE_TIMEOUT_S = 1.0


class CaseError(Exception):
    """The case could not run."""


@dataclass
class Message:
    """An HTTP request or answer; ``start`` holds the words of its first line."""

    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message, ``None`` at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(first.split(" ", 2), headers, body)


def write_message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with this first line."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def write_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer."""
    return write_message(f"HTTP/1.1 {status} {REASONS.get(status, '-')}", headers, body)


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._started_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{seconds:8.3f} {event} {text}\n")
        self._file.flush()


class Listener:
    """A TCP listener whose connections are closed with it."""

    def __init__(self, handle: Callable[..., Awaitable[None]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Accept connections on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def abort(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


@dataclass
class Store:
    """The platform's log: keyed topics with one partition.

    All answers name the ``era``. While the store is ``away``, it answers new calls with
    503.
    """

    topics: dict[str, list[tuple[str, bytes]]] = field(default_factory=dict)
    era: int = 1
    away: bool = False
    listeners: list[Listener] = field(default_factory=list)
    appended: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def listen(self, host: str) -> None:
        """Serve the log at one more address."""
        listener = Listener(self._serve)
        self.listeners.append(listener)
        await listener.start(host, PORTS["store"])

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        offset = len(records) - 1
        async with self.appended:
            self.appended.notify_all()
        return offset

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all records, for ``restore``."""
        return {topic: list(records) for topic, records in self.topics.items()}

    async def restore(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Come back from an older copy, in the next era."""
        self.era += 1
        self.away = False
        for topic, records in self.topics.items():
            records[:] = copy.get(topic, [])
        async with self.appended:
            self.appended.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            answer = await self._answer(request)
            first, _, rest = answer.partition(b"\r\n")
            writer.write(first + b"\r\nstore-era: %d\r\n" % self.era + rest)
            await writer.drain()

    async def _answer(self, request: Message) -> bytes:
        if self.away:
            return write_answer(503, {})
        parts = urlsplit(request.start[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if parts.path == "/log-append":
            content = request.body[4:]
            end = 1 + content[0]
            offset = await self.put(topic, content[1:end].decode(), content[end:])
            return write_json({"offset": offset, "end": offset + 1})
        if parts.path == "/log-newest":
            return self._answer_newest(records, query.get("after", ""))
        if parts.path == "/log-read":
            return await self._answer_read(records, query)
        return write_answer(404, {})

    def _answer_newest(self, records: list[tuple[str, bytes]], after: str) -> bytes:
        newest = {key: (number, value) for number, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": number}
            for key, (number, value) in sorted(newest.items())
            if value and key > after
        ]
        return write_json({"items": items, "more": False, "end": len(records)})

    async def _answer_read(
        self, records: list[tuple[str, bytes]], query: dict[str, str]
    ) -> bytes:
        start = int(query["from"])
        wait_s = int(query.get("waitMs", "0")) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.appended:
                await self.appended.wait_for(lambda: len(records) != start)
        if start > len(records):
            return write_json({"first": 0}, 410)
        body = len(records).to_bytes(8, "big") + bytes(8)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += len(content).to_bytes(4, "big") + content
        return write_answer(200, {}, body)

    def end(self) -> None:
        """Stop serving."""
        for listener in self.listeners:
            listener.abort()


def write_json(content: object, status: int = 200) -> bytes:
    """Return the bytes of an answer with a JSON body."""
    head = {"content-type": "application/json"}
    return write_answer(status, head, json.dumps(content).encode())


@dataclass
class Server:
    """A backend server: runs one request at a time on a connection.

    ``reject`` returns whether the server is too busy for a request. ``spoil`` is called
    after each answer and may send further bytes. ``runs`` holds the id and the target
    of each run, and when it started.
    """

    identity: str
    service: str
    vm: Vm
    record: Record
    work_s: float = 0.05
    slots: int = 64
    reject: Callable[[Message], bool] = lambda request: False
    spoil: Callable[[asyncio.StreamWriter, bytes], None] = lambda writer, answer: None
    state: str = "ready"
    runs: list[tuple[str, str, float]] = field(default_factory=list)
    sequence: int = 0
    _listener: Listener | None = None
    _task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Accept requests."""
        self._listener = Listener(self._serve)
        await self._listener.start(self.vm.ip, PORTS["app"])

    def start_heartbeats(self, delay_s: float = 0.0) -> None:
        """Send heartbeats to the node; the first one after a delay."""

        async def run() -> None:
            await asyncio.sleep(delay_s)
            while True:
                await self.announce()
                await asyncio.sleep(HEARTBEAT_S)

        self._task = asyncio.create_task(run())

    def make_heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        status = {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0}
        info = {"service": self.service, "version": "v1", "zone": self.vm.zone}
        body = {
            "address": f"{self.vm.ip}:{PORTS['app']}",
            "info": {**info, "slots": self.slots},
            "status": status,
        }
        return json.dumps(body).encode()

    async def announce(self, body: bytes | None = None, kind: str = "heartbeat") -> int:
        """Send a heartbeat or a leave, and return the status of the answer."""
        body = self.make_heartbeat() if body is None else body
        target = f"/instances/{self.identity}/{kind}"
        head = {"host": "node", "content-type": "application/json"}
        data = write_message(f"POST {target} HTTP/1.1", head, body)
        answer = await call(self.vm.ip, PORTS["control"], data, ANNOUNCE_TIMEOUT_S)
        status = 0 if answer is None else answer.status
        self.record.write(kind, server=self.identity, status=status)
        return status

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._task is not None:
            self._task.cancel()

    def crash(self) -> None:
        """End the server and reset its connections."""
        self.stop_heartbeats()
        if self._listener is not None:
            self._listener.abort()
        self.record.write("ended", server=self.identity)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            answer = await self._answer(request)
            writer.write(answer)
            await writer.drain()
            self.spoil(writer, answer)

    async def _answer(self, request: Message) -> bytes:
        name = request.headers.get(REQUEST_ID)
        target = request.start[1]
        instance = {INSTANCE: self.identity}
        if name is None:
            status = 200 if self.state == "ready" else 503
            return write_answer(status, instance)
        echo = {REQUEST_ID: name}
        if request.headers.get(EXPECTED, self.identity) != self.identity:
            self.record.write("421", id=name, target=target, server=self.identity)
            return write_answer(421, {**echo, **instance})
        if self.reject(request):
            self.record.write("rejected", id=name, target=target, server=self.identity)
            return write_answer(503, {**echo, NOT_RUN: "1"})
        self.runs.append((name, target, time.monotonic()))
        self.record.write("run", id=name, target=target, server=self.identity)
        await asyncio.sleep(self.work_s)
        head = {**echo, SIGNATURE: f"{self.identity}.{name}"}
        return write_answer(200, head, f"{name} by {self.identity}".encode())


@dataclass
class Vm:
    """A machine: its addresses, its node and its backend server."""

    name: str
    ip: str
    store_ip: str
    zone: str
    service: str
    folder: Path
    bounds: dict[str, float]
    process: subprocess.Popen[bytes] | None = None
    server: Server | None = None

    @property
    def path(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.name}.toml"

    def write_settings(self) -> None:
        """Write the settings file of the node."""
        bounds = ",".join(f'"{name}={value}"' for name, value in self.bounds.items())
        address = f'"{self.ip}:'
        lines = [
            f'nodeId = "{self.name}"',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "region"',
            f"portRange = [{PORTS['peer']},{PORTS['peer'] + 15}]",
            "bootstrap = true",
            f"heartbeatMs = {HEARTBEAT_S * 1000:.0f}",
            f"bounds = [{bounds}]",
            f'appAddr = {address}{PORTS["app"]}"',
            f'service = "{self.service}"',
            "[listen]",
            *(
                f'{name} = {address}{PORTS[name]}"'
                for name in ("inbound", "outbound", "ready", "control")
            ),
            "[platform]",
            f'address = "{self.store_ip}:{PORTS["store"]}"',
            'form = "log"',
        ]
        self.path.write_text("\n".join([*lines, ""]))

    def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CaseError("the system is not built")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["EELGRASSMOUNT_NODE_FILE"] = str(self.path)
        output = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=output, stderr=output
        )
        output.close()

    def end_node(self) -> None:
        """Kill the node."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """The store and the machines of a small deployment on loopback addresses."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.vms: list[Vm] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self._prefix = find_free_prefix()
        self._ids = iter(range(1, 1_000_000))
        self._version = 0

    async def add(self, name: str, service: str, zone: str, bounds: dict) -> Vm:
        """Add a machine with its own address of the store; start nothing on it."""
        number = len(self.vms) + 1
        store_ip = f"{self._prefix}.{200 + number}"
        ip = f"{self._prefix}.{number}"
        vm = Vm(name, ip, store_ip, zone, service, self.folder, bounds)
        self.vms.append(vm)
        vm.write_settings()
        await self.store.listen(store_ip)
        return vm

    async def configure(self, rules: list[dict], services: list[str]) -> None:
        """Write a configuration; its acknowledgement is the return."""
        self._version += 1
        content = {
            "version": f"r{self._version}",
            "limits": {"idleTimeoutMs": 15000, "headerTimeoutMs": 3000},
            "listeners": [{"host": HOST, "routeRules": rules}],
            "clusters": [
                {"name": name, "healthPath": "/health", "maxConnections": 500}
                for name in services
            ],
        }
        await self.store.put("keyed.op", "config", json.dumps(content).encode())
        self.record.write("configuration", version=self._version)

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until each node says that it is ready."""
        end_s = time.monotonic() + timeout_s
        probe = write_message("GET /ready HTTP/1.1", {"host": "node"})
        for vm in self.vms:
            while True:
                answer = await call(vm.ip, PORTS["ready"], probe, 1.0)
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > end_s or vm.process.poll() is not None:
                    raise CaseError(f"{vm.name} is not ready")
                await asyncio.sleep(0.05)

    async def send(
        self, vm: Vm, method: str, target: str, deadline_ms: int, **extra: str
    ) -> tuple[str, Message | None]:
        """Send one attempt of a client on a new connection."""
        name = f"q{next(self._ids):05d}"
        head = {"host": HOST, REQUEST_ID: name, DEADLINE: str(deadline_ms), **extra}
        body = b"order" if method == "POST" else b""
        data = write_message(f"{method} {target} HTTP/1.1", head, body)
        self.record.write("sent", id=name, target=target, vm=vm.name)
        answer = await call(vm.ip, PORTS["outbound"], data, deadline_ms / 1000 + 1.0)
        status = "none" if answer is None else answer.status
        text = b"" if answer is None else answer.body
        self.record.write("answered", id=name, status=status, body=text.decode())
        return name, answer

    def end(self) -> None:
        """End all processes and listeners, and remove the temporary folder."""
        for vm in self.vms:
            vm.end_node()
            if vm.server is not None:
                vm.server.crash()
        self.store.end()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            for path in self.folder.glob("*.log"):
                Path(keep, path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


async def call(host: str, port: int, data: bytes, timeout_s: float) -> Message | None:
    """Send a request on a new connection; return ``None`` without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            return await read_message(reader)
    except OSError:
        return None
    finally:
        if writer is not None:
            writer.close()


def find_free_prefix() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    rng = random.Random()
    for _ in range(50):
        prefix = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        if all(_is_free(f"{prefix}.1", port) for port in PORTS.values()):
            return prefix
    raise CaseError("no free loopback addresses")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def make_rule(prefix: str, service: str, kind: str) -> dict:
    """Return a route of the configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "kind": kind,
        "targetLatencyMs": 1500,
        "priority": 0,
        "match": {"pathPrefix": prefix},
        "action": {"service": service, "timeoutMs": 5000, "maxAttempts": 2},
    }


def is_troubled() -> bool:
    """Return whether the case includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, scenario: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Run a scenario, which returns whether the rule held, and exit accordingly."""
    record = Record(folder / "record.txt")

    async def main() -> bool:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                return await scenario(deployment)
        finally:
            deployment.end()

    try:
        held = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        # a mistake of the case must not pass for a broken rule
        record.write("not run", cause=repr(error))
        sys.exit(EXIT_NOT_RUN)
    record.write("result", rule="held" if held else "broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
