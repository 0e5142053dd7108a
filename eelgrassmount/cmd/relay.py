"""The command that runs a node beside its backend server on the platform."""

from __future__ import annotations

import gc
import os
import signal
import sys

import anyio

from eelgrassmount.cmd.action import ExitCode
from eelgrassmount.compose.relay_run import serve_relay
from eelgrassmount.errors import EelgrassmountError
from eelgrassmount.logs import setup_logs
from eelgrassmount.platform.settings import find_settings_file

# objects before a collection of the youngest, middle and oldest generation: the
# collector's pauses are latency, and calls leave few cycles behind
GC_THRESHOLDS = (50_000, 20, 50)


def run_relay() -> int:
    """Run a node as the platform's settings file says, until SIGTERM."""
    # until the settings are watched, a signal that they have changed says nothing
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    setup_logs("info", sys.stdout)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        anyio.run(
            _serve_and_exit,
            find_settings_file(),
            backend="asyncio",
            backend_options={"use_uvloop": True},
        )
    except EelgrassmountError as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    return ExitCode.DONE


async def _serve_and_exit(path: str) -> None:
    """Run a node and end the process at once when it has ended in order.

    Nothing is left that a loop or an interpreter would have to clean up, and the
    grace time is nearly over when calls were open until its end.
    """
    await serve_relay(path)
    sys.stdout.flush()
    os._exit(ExitCode.DONE)
