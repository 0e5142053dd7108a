"""The program as a separate process, with stand-ins for the log and the server."""

from __future__ import annotations

import contextlib
import gc
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from types import ModuleType
from typing import IO, TYPE_CHECKING

import anyio
import pytest

from eelgrassmount.__main__ import main
from eelgrassmount.util.addresses import Address
from standins.platform_log import PlatformLog
from standins.platform_server import PlatformServer
from tests.relay.deployment import (
    LOOPBACK_PREFIX,
    connect,
    make_document,
    make_request,
    make_rule,
    send,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).parent.parent.parent
HOST = f"{LOOPBACK_PREFIX}.3.1"
SETTINGS = f"""
nodeId = "vm-1"
ip = "{HOST}"
zone = "a"
service = "list"
appAddr = "{HOST}:8301"
portRange = [7620, 7635]
bounds = ["graceS=4"]
[listen]
outbound = "{HOST}:8304"
ready = "{HOST}:8302"
control = "{HOST}:8306"
[platform]
address = "{HOST}:8309"
"""
START_TIMEOUT_S = 10.0
GRACE_S = 4.0


def start(path: Path, output: int | IO[bytes] = subprocess.PIPE) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "eelgrassmount", "relay"],
        cwd=ROOT,
        env={**os.environ, "EELGRASSMOUNT_NODE_FILE": str(path)},
        stdout=output,
        stderr=output,
    )


def run(
    path: Path, scenario: Callable, output: int | IO[bytes] = subprocess.PIPE
) -> None:
    async def main() -> None:
        log = PlatformLog()
        await log.start(HOST, 8309)
        log.put("keyed.op", "config", make_document(1, make_rule("/list/", "list")))
        server = PlatformServer("i-1")
        await server.start(HOST, 8301)
        process = start(path, output)
        try:
            with anyio.fail_after(START_TIMEOUT_S):
                while await read_ready_status() != 200:
                    await anyio.sleep(0.05)
            await scenario(server, process)
        finally:
            process.kill()
            process.communicate()
            server.listener.end()
            log.listener.end()
            await anyio.sleep(0.01)

    anyio.run(main, backend_options={"use_uvloop": True})


async def read_ready_status() -> int:
    try:
        connection = await connect(Address(HOST, 8302))
    except OSError:
        return 0
    answer = await send(connection, make_request("GET", "/ready"))
    connection.close()
    return answer.status


@pytest.fixture
def settings(tmp_path: Path) -> Path:
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    return path


def test_reload_signals_are_ignored_while_the_program_starts(monkeypatch):
    """Guards against a node that a reload signal ends during its imports."""
    earlier = signal.getsignal(signal.SIGHUP)
    module = ModuleType("eelgrassmount.cmd.relay")
    module.run_relay = lambda: signal.getsignal(signal.SIGHUP)
    monkeypatch.setitem(sys.modules, module.__name__, module)
    monkeypatch.setattr(sys, "argv", ["eelgrassmount", "relay"])
    try:
        assert main() is signal.SIG_IGN
    finally:
        gc.enable()
        signal.signal(signal.SIGHUP, earlier)


def test_program_serves_reports_and_stops_in_order(settings):
    async def scenario(server: PlatformServer, process: subprocess.Popen) -> None:
        connection = await connect(Address(HOST, 8304))
        answer = await send(connection, make_request("GET", "/list/1"))
        assert answer.status == 200
        assert server.runs == ["a1"]
        metrics = await connect(Address(HOST, 9464))
        text = (await send(metrics, make_request("GET", "/metrics"))).body
        assert b'eelgrassmount_relay_answers_total{route="shop.example/list/"' in text
        assert b"eelgrassmount_relay_seconds_bucket" in text
        metrics.close()
        command = [sys.executable, "-m", "eelgrassmount", "status"]
        command += ["--relay", f"{HOST}:9464"]
        result = await anyio.run_process([*command, "--json"], cwd=ROOT)
        state = json.loads(result.stdout)
        assert state["version"] == 1
        assert state["ready"]
        assert state["server"]["refusal"] == ""
        assert state["lost_topics"] == []
        assert state["allowances"].keys() == {"shop.example/list/"}
        result = await anyio.run_process(command, cwd=ROOT)
        assert b"takes work" in result.stdout
        assert b"list" in result.stdout
        settings.write_text(SETTINGS.replace("graceS=4", "graceS=5"))
        process.send_signal(signal.SIGHUP)
        answer = await send(connection, make_request("GET", "/list/1"))
        assert answer.status == 200
        process.send_signal(signal.SIGTERM)
        with anyio.fail_after(2):
            while await read_ready_status() != 503:
                await anyio.sleep(0.01)
        # Clients keep using their connections until an answer closes them.
        answer = await send(connection, make_request("GET", "/list/2"))
        assert answer.status in (200, 503)
        assert dict(answer.headers)[b"connection"] == b"close"
        with anyio.fail_after(5):
            while process.poll() is None:
                await anyio.sleep(0.05)
        assert process.returncode == 0
        lines = process.stdout.read().decode()
        for message in (
            "node started",
            "configuration in force",
            "settings reloaded",
            "stopping",
        ):
            assert message in lines
        nodes = {json.loads(line).get("node") for line in lines.splitlines()}
        assert len(nodes) == 1
        assert None not in nodes

    run(settings, scenario)


def test_invalid_settings_end_the_program_with_one_error_line(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS.replace('zone = "a"', ""))
    process = start(path)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 2
    assert errors.decode().strip().splitlines()[-1].startswith("zone: ")


def run_code(code: str) -> str:
    command = [sys.executable, "-c", code]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, timeout=20, check=True, text=True
    ).stdout


def test_start_imports_no_module_that_a_node_does_not_need():
    found = run_code("import sys, eelgrassmount.cmd.relay; print(*sys.modules)")
    unneeded = {"fire", "httpcore", "uvicorn", "eelgrassmount.cmd.main"}
    assert not unneeded & set(found.split())


def test_collector_runs_only_after_the_imports():
    found = run_code(
        "import gc, sys, anyio, eelgrassmount.__main__ as program\n"
        "sys.argv[1:] = ['relay']\n"
        "anyio.run = lambda *names, **options: print(gc.isenabled())\n"
        "class Finder:\n"
        "    def find_spec(self, name, *rest):\n"
        "        if name == 'eelgrassmount.cmd.relay': print(gc.isenabled())\n"
        "sys.meta_path.insert(0, Finder())\n"
        "program.main()"
    )
    assert found.split() == ["False", "True"]


def test_main_function_knows_the_relay_command(tmp_path):
    code = "import sys; from eelgrassmount.cmd.main import main; sys.exit(main())"
    environment = {**os.environ, "EELGRASSMOUNT_NODE_FILE": str(tmp_path / "none")}
    result = subprocess.run(
        [sys.executable, "-c", code, "relay"],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert result.returncode == 2
    assert b"none: can't be read" in result.stderr


# Guards against a node that stands still, or doesn't end, while nobody reads its log.
def test_node_serves_and_ends_although_nobody_reads_its_log(settings):
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(write_end, bytes(4096))
    os.set_blocking(write_end, True)

    async def scenario(server: PlatformServer, process: subprocess.Popen) -> None:
        connection = await connect(Address(HOST, 8304))
        for number in range(20):
            request = make_request("GET", "/list/1", b"", f"r{number}")
            assert (await send(connection, request)).status == 200
        process.send_signal(signal.SIGTERM)
        with anyio.fail_after(GRACE_S):
            while process.poll() is None:
                await anyio.sleep(0.05)
        assert process.returncode == 0

    try:
        run(settings, scenario, write_end)
    finally:
        os.close(read_end)
        os.close(write_end)
