"""Servers whose bytes are no answer and have no end, beside a node in a process."""

from __future__ import annotations

import asyncio
import itertools
import json
import subprocess
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import pytest
from attrs import define, field

from eelgrassmount.util.addresses import Address
from standins.platform_log import PlatformLog
from tests.relay.deployment import (
    connect,
    make_document,
    make_request,
    make_rule,
    request,
    send,
)
from tests.relay.test_program import (
    HOST,
    SETTINGS,
    START_TIMEOUT_S,
    read_ready_status,
    start,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_NODE_BYTES = 128 * 1024 * 1024
CALLS_AT_ONCE = 40
DEADLINE_S = 1.5
# Time after the deadline within which a call has ended and its connection is closed.
GRACE_S = 1.0
FAST_PART_BYTES = 256 * 1024
SLOW_INTERVAL_S = 0.02
SERVER = Address(HOST, 8301)
OK_HEAD = b"HTTP/1.1 200 OK\r\neelgrassmount-response-signature: s\r\n"

# By name, the first bytes and those that follow without an end.
ANSWERS = {
    "status-line": (b"HTTP/1.1 200 ", b"O"),
    "header-lines": (OK_HEAD, b"a: b\r\n"),
    "long-line": (OK_HEAD + b"a: ", b"b"),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunks": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"400\r\n%s\r\n" % bytes(1024),
    ),
    "short-chunks": (OK_HEAD + b"transfer-encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "chunk-size": (OK_HEAD + b"transfer-encoding: chunked\r\n\r\n1;", b"x"),
    "trailers": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        b"a: b\r\n",
    ),
    "no-length": (OK_HEAD + b"\r\n", b"x" * 64),
    "huge-length": (OK_HEAD + b"content-length: 1000000000000\r\n\r\n", b"x" * 64),
    "other-answers": (
        b"",
        b"HTTP/1.1 200 OK\r\neelgrassmount-attempt-id: z\r\ncontent-length: 0\r\n\r\n",
    ),
}


@define(eq=False)
class EndlessServer:
    """Answers ``/list/ok`` correctly, and ``/list/NAME/SPEED`` without an end.

    ``health`` is the target for health checks, empty to answer them correctly.
    """

    health: str = ""
    open_connections: int = 0
    started: int = 0
    _server: asyncio.Server | None = field(default=None)

    async def start(self, address: Address) -> None:
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port
        )

    def end(self) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = head.split(" ")[1]
                if target == "/h" and self.health:
                    target = self.health
                name, _, speed = target.removeprefix("/list/").partition("/")
                if name in ANSWERS:
                    await self._send_endlessly(writer, *ANSWERS[name], speed == "fast")
                writer.write(make_answer(head))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _send_endlessly(
        self, writer: asyncio.StreamWriter, first: bytes, rest: bytes, fast: bool
    ) -> None:
        self.started += 1
        self.open_connections += 1
        part = rest * (FAST_PART_BYTES // len(rest)) if fast else rest
        try:
            writer.write(first)
            while True:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.0 if fast else SLOW_INTERVAL_S)
        finally:
            self.open_connections -= 1


def make_answer(head: str) -> bytes:
    lines = [line for line in head.split("\r\n") if line.startswith("eelgrassmount-a")]
    lines += ["eelgrassmount-response-signature: s", "eelgrassmount-instance-id: i-1"]
    return "\r\n".join(
        ["HTTP/1.1 200 OK", *lines, "content-length: 0", "", ""]
    ).encode()


def run_node(path: Path, server: EndlessServer, scenario) -> str:
    """Run a node beside a server, and return its log."""
    path.write_text(SETTINGS)
    output = path.with_suffix(".log")

    async def main() -> None:
        log = PlatformLog()
        await log.start(HOST, 8309)
        rule = make_rule("/list/", "list", action={"timeoutMs": 8000, "maxAttempts": 1})
        log.put("keyed.op", "config", make_document(1, rule))
        await server.start(SERVER)
        with output.open("wb") as stream:
            process = start(path, stream)
        try:
            with anyio.fail_after(START_TIMEOUT_S):
                while await read_ready_status() != 200:
                    await anyio.sleep(0.05)
            await announce()
            await scenario(process, log)
        finally:
            process.kill()
            process.communicate()
            server.end()
            log.end()
            await anyio.sleep(0.01)

    anyio.run(main)
    return output.read_text()


async def announce() -> None:
    body = {
        "address": str(SERVER),
        "info": {"service": "list", "version": "v1", "zone": "a", "slots": 500},
        "status": {"state": "ready", "sequence": 1, "coldRemainingMs": 0},
    }
    content = json.dumps(body).encode()
    target = "/instances/i-1/heartbeat"
    await request(Address(HOST, 8306), "POST", target, content)


def read_peak_bytes(process: subprocess.Popen) -> int:
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError("no peak memory")


async def call(target: str, numbers: Iterator[int]) -> int:
    """Send a request with a deadline and return its status, 0 without an answer."""
    connection = await connect(Address(HOST, 8304))
    data = make_request(
        "GET",
        target,
        request_id=f"r{next(numbers)}",
        eelgrassmount_deadline_ms=str(int(DEADLINE_S * 1000)),
    )
    answer = None
    with anyio.move_on_after(DEADLINE_S + GRACE_S):
        answer = await send(connection, data)
    connection.close()
    return getattr(answer, "status", 0)


async def read_metrics() -> str:
    answer = await request(Address(HOST, 9464), "GET", "/metrics")
    return answer.body.decode()


# Guards against a node that keeps what a server sends until its memory ends.
@pytest.mark.parametrize("speed", ["fast", "slow"])
def test_answers_without_end_fail_and_the_node_serves_others(speed, tmp_path):
    server = EndlessServer()

    async def scenario(process: subprocess.Popen, log: PlatformLog) -> None:
        numbers = itertools.count(1)
        endless: dict[str, list[int]] = {name: [] for name in ANSWERS}
        served: list[int] = []

        async def call_endless(name: str) -> None:
            endless[name].append(await call(f"/list/{name}/{speed}", numbers))

        async def call_others(scope: anyio.CancelScope) -> None:
            with scope:
                while True:
                    served.append(await call("/list/ok", numbers))
                    await anyio.sleep(0.02)

        scope = anyio.CancelScope()
        async with anyio.create_task_group() as others:
            others.start_soon(call_others, scope)
            async with anyio.create_task_group() as group:
                for name in ANSWERS:
                    for _ in range(CALLS_AT_ONCE // 4):
                        group.start_soon(call_endless, name)
            await anyio.sleep(GRACE_S)
            scope.cancel()
        assert set(served) == {200}
        for statuses in endless.values():
            assert set(statuses) <= {502, 504}
        assert server.started == len(ANSWERS) * (CALLS_AT_ONCE // 4)
        assert server.open_connections == 0
        assert read_peak_bytes(process) < MAX_NODE_BYTES
        text = await read_metrics()
        assert ('overlong_answers_total{source="server"}' in text) == (speed == "fast")

    output = run_node(tmp_path / "boot.toml", server, scenario)
    assert ("answer too long" in output) == (speed == "fast")


# Guards against a limit for each answer alone, which many answers exceed together.
@pytest.mark.parametrize("name", ["huge-length", "short-chunks", "header-lines"])
def test_many_answers_without_end_stay_within_the_memory(name, tmp_path):
    server = EndlessServer()

    async def scenario(process: subprocess.Popen, log: PlatformLog) -> None:
        numbers = itertools.count(1)
        statuses: list[int] = []

        async def call_endless() -> None:
            statuses.append(await call(f"/list/{name}/fast", numbers))

        async with anyio.create_task_group() as group:
            for _ in range(4 * CALLS_AT_ONCE):
                group.start_soon(call_endless)
        assert set(statuses) <= {502, 504}
        assert await call("/list/ok", numbers) == 200
        assert read_peak_bytes(process) < MAX_NODE_BYTES

    run_node(tmp_path / "boot.toml", server, scenario)


@pytest.mark.parametrize("speed", ["fast", "slow"])
def test_health_check_without_end_is_given_up(speed, tmp_path):
    server = EndlessServer(health=f"/list/no-length/{speed}")

    async def scenario(process: subprocess.Popen, log: PlatformLog) -> None:
        numbers = itertools.count(1)
        with anyio.fail_after(10.0):
            while not server.started or server.open_connections:
                await anyio.sleep(0.05)
        assert await call("/list/ok", numbers) == 200
        assert read_peak_bytes(process) < MAX_NODE_BYTES

    run_node(tmp_path / "boot.toml", server, scenario)


@pytest.mark.parametrize("speed", ["fast", "slow"])
@pytest.mark.parametrize("name", ["huge-length", "header-lines", "informational"])
def test_log_without_end_is_given_up_and_read_again(name, speed, tmp_path):
    server = EndlessServer()

    async def scenario(process: subprocess.Popen, log: PlatformLog) -> None:
        numbers = itertools.count(1)
        log.end()
        endless = EndlessLog(f"/list/{name}/{speed}")
        await endless.start(Address(HOST, 8309))
        await anyio.sleep(5.0)
        assert await call("/list/ok", numbers) == 200
        assert endless.started > 1
        assert endless.open_connections <= 2
        endless.end()
        rule = make_rule("/other/", "list", action={"maxAttempts": 1})
        log.put("keyed.op", "config", make_document(2, rule))
        await log.start(HOST, 8309)
        with anyio.fail_after(5.0):
            while await call("/other/ok", numbers) == 404:
                await anyio.sleep(0.05)
        assert read_peak_bytes(process) < MAX_NODE_BYTES

    output = run_node(tmp_path / "boot.toml", server, scenario)
    assert '"log lost"' in output


class EndlessLog(EndlessServer):
    """A log that answers every call without an end, in the way of ``health``."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            name, _, speed = self.health.removeprefix("/list/").partition("/")
            await self._send_endlessly(writer, *ANSWERS[name], speed == "fast")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
