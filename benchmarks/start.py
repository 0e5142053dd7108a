"""Measures start time, memory and processes of a node, for each form of packaging.

``python -m benchmarks.start --binary=dist/eelgrassmount`` compares a binary with the
installed package. Each flag names a form and gives its command.
``python -m benchmarks.start --against DIR`` compares the processor time that a node of
the platform takes to start with that of a second checkout. Both checkouts must be
built as in their ``deploy/system.toml``.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

import fire
from attrs import frozen

from standins.processes import ROOT, find_free_address

HOST = "127.0.0.1"
RELAY_SETTINGS = """
nodeId = "vm-1"
ip = "{host}"
zone = "a"
service = "list"
appAddr = "{server}"
portRange = [{peer_port}, {peer_port}]
[listen]
outbound = "{caller}"
ready = "{ready}"
control = "{announce}"
[platform]
address = "{log}"
"""
STARTED_MESSAGE = b'"node started"'
RUNS = 10
AGAINST_RUNS = 7
READY_TIMEOUT_S = 60.0
SETTLE_S = 1.0
_POLL_INTERVAL_S = 0.005
_KIB_PER_MB = 1000 / 1.024


@frozen
class Start:
    """Measurements of one start."""

    ready_s: float
    resident_mb: float
    processes: int
    remaining_files: int


def measure(runs: int = 0, against: str = "", **ways: str) -> None:
    """Start a node ``runs`` times with each command, by turns; print the medians."""
    if against:
        compare_checkouts(Path(against).resolve(), runs or AGAINST_RUNS)
        return
    runs = runs or RUNS
    commands = {"package": [sys.executable, "-m", "eelgrassmount"]}
    commands |= {name: command.split() for name, command in ways.items()}
    starts: dict[str, list[Start]] = {name: [] for name in commands}
    for _ in range(runs):
        for name, command in commands.items():
            starts[name].append(_measure_start(command))
    print(
        f"{'form':12}{'ready s':>9}{'slowest':>9}{'RSS MB':>8}{'procs':>7}{'files':>7}"
    )
    for name, items in starts.items():
        ready = [item.ready_s for item in items]
        memory = statistics.median(item.resident_mb for item in items)
        print(
            f"{name:12}{statistics.median(ready):9.2f}{max(ready):9.2f}{memory:8.1f}"
            f"{items[-1].processes:7}{items[-1].remaining_files:7}"
        )


def compare_checkouts(other: Path, runs: int) -> None:
    """Print the processor time of starts of this checkout relative to ``other``."""
    pairs = [
        (_measure_processor_s(ROOT), _measure_processor_s(other)) for _ in range(runs)
    ]
    for name, times in zip(("this", "other"), zip(*pairs, strict=True), strict=True):
        print(
            f"{name:6} processor time {statistics.median(times):.3f} s"
            f" ({min(times):.3f} to {max(times):.3f})"
        )
    ratio = statistics.median(this_s / other_s for this_s, other_s in pairs)
    print(f"ratio  {ratio:.2f} (median of {runs} pairs)")


def _measure_processor_s(tree: Path) -> float:
    """Return the processor time of a node of the platform until it has started."""
    names = ("caller", "ready", "announce", "server", "log", "peer")
    addresses = {name: find_free_address(HOST) for name in names}
    peer_port = addresses["peer"].rpartition(":")[2]
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "boot.toml"
        settings.write_text(
            RELAY_SETTINGS.format(host=HOST, peer_port=peer_port, **addresses)
        )
        child = subprocess.Popen(
            [sys.executable, "-S", "-m", "eelgrassmount", "relay"],
            cwd=tree,
            stdout=subprocess.PIPE,
            env={
                "PATH": "/usr/bin:/bin",
                "PYTHONPATH": str(tree / "target" / "deps"),
                # nodes can't write to the checkout
                "PYTHONDONTWRITEBYTECODE": "1",
                "EELGRASSMOUNT_NODE_FILE": str(settings),
            },
        )
        assert child.stdout is not None
        started = any(STARTED_MESSAGE in line for line in child.stdout)
        child.kill()
        # wait4 reports the processor time of this child only
        _, status, usage = os.wait4(child.pid, 0)
        child.returncode = os.waitstatus_to_exitcode(status)
        child.stdout.close()
    if not started:
        raise RuntimeError(f"the node of {tree} ended with code {child.returncode}")
    return usage.ru_utime + usage.ru_stime


def _measure_start(command: list[str]) -> Start:
    names = ("caller", "backend", "peer", "admin", "log")
    addresses = {name: find_free_address(HOST) for name in names}
    flags = [f"--{name}-address={text}" for name, text in addresses.items()]
    with tempfile.TemporaryDirectory() as folder:
        started_s = time.monotonic()
        child = subprocess.Popen(
            [*command, "node", "--failure-domain=a", *flags],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            env={"HOME": folder, "TMPDIR": folder, "PATH": "/usr/bin:/bin"},
        )
        try:
            _wait_until_ready(addresses["admin"], started_s + READY_TIMEOUT_S)
            ready_s = time.monotonic() - started_s
            time.sleep(SETTLE_S)
            pids = [child.pid, *_find_children(child.pid)]
            memory = sum(map(_read_resident_mb, pids))
            file_count = sum(path.is_file() for path in Path(folder).rglob("*"))
        finally:
            child.terminate()
            child.wait()
    return Start(ready_s, memory, len(pids), file_count)


def _wait_until_ready(admin: str, deadline_s: float) -> None:
    while time.monotonic() < deadline_s:
        try:
            urllib.request.urlopen(f"http://{admin}/state", timeout=1.0).close()
            return
        except (urllib.error.URLError, OSError):
            time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"no node at {admin}")


def _find_children(pid: int) -> list[int]:
    path = Path(f"/proc/{pid}/task/{pid}/children")
    return [int(text) for text in path.read_text().split()]


def _read_resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KIB_PER_MB
    return 0.0


if __name__ == "__main__":
    fire.Fire(measure)
