"""Measures start time, memory and processes of a node, for each form of packaging.

``python -m benchmarks.start --binary=dist/eelgrassmount`` compares a binary with the
installed package. Each flag names a form and gives its command.
"""

from __future__ import annotations

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

from standins.processes import find_free_address

HOST = "127.0.0.1"
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


def measure(runs: int = 10, **ways: str) -> None:
    """Start a node ``runs`` times with each command, by turns; print the medians."""
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
