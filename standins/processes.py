"""Child processes, with methods to kill, freeze, resume, stop and restart them."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

PYTHON = sys.executable
ROOT = Path(__file__).resolve().parent.parent

_KILL_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05

# Below 32768, where the Linux port range for outgoing connections starts.
FIRST_PORT = 20_000
LAST_PORT = 32_000
_random = random.Random()
_assigned: set[str] = set()


def find_free_address(ip: str) -> str:
    """Return ``ip:port`` with a port that is free now.

    An address is returned only once in this process. Ports of outgoing connections
    are avoided, since the kernel could use one before the caller binds it.
    """
    while True:
        address = f"{ip}:{_random.randrange(FIRST_PORT, LAST_PORT)}"
        if address not in _assigned and _is_free(address):
            _assigned.add(address)
            return address


def _is_free(address: str) -> bool:
    ip, _, port = address.partition(":")
    with socket.socket() as probe:
        try:
            probe.bind((ip, int(port)))
        except OSError:
            return False
    return True


def make_flags(flags: Mapping[str, object]) -> tuple[str, ...]:
    """Return the settings as flags of a command line."""
    return tuple(f"--{name.replace('_', '-')}={value}" for name, value in flags.items())


def make_command(module: str, **flags: object) -> tuple[str, ...]:
    """Return the command that starts a stand-in."""
    return (PYTHON, "-m", f"standins.{module}", *make_flags(flags))


def poll_until(deadline: float, what: str) -> Iterator[None]:
    """Yield until the caller breaks; raise ``TimeoutError`` past the deadline."""
    while time.monotonic() < deadline:
        yield
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"timed out waiting for {what}")


class Process:
    """One child process; standard output and errors are appended to ``log_path``."""

    def __init__(self, name: str, command: Sequence[str], folder: Path) -> None:
        self.name = name
        self.command = tuple(command)
        self.log_path = folder / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the current or last child."""
        if self._child is None:
            raise RuntimeError(f"{self.name} was never started")
        return self._child.pid

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process; raise ``RuntimeError`` if it is running."""
        if self.running:
            raise RuntimeError(f"{self.name} is already running")
        paths = [str(ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
        with self.log_path.open("ab") as log:
            self._child = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=env,
            )

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        if self.running:
            self._child.kill()
            self._child.wait(_KILL_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspend the process (SIGSTOP)."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process (SIGCONT)."""
        self._send(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a clean stop (SIGTERM); ``wait`` returns the exit status."""
        self._send(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Return the exit status; raise ``TimeoutExpired`` after ``timeout_s``."""
        return self._child.wait(timeout_s)

    def restart(self) -> None:
        """Kill the process if it runs, and start it again with the same command."""
        self.kill()
        self.start()

    def read_log(self) -> str:
        """Return the output of all starts so far."""
        return self.log_path.read_text(errors="replace")

    def _send(self, number: signal.Signals) -> None:
        if self.running:
            self._child.send_signal(number)
