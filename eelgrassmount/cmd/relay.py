"""The command that runs a node beside its backend server on the platform."""

from __future__ import annotations

import gc
import os
import sys

import anyio

from eelgrassmount.cmd.action import ExitCode
from eelgrassmount.compose.relay_run import serve_relay
from eelgrassmount.errors import EelgrassmountError
from eelgrassmount.logging_setup import configure_logging, flush_logs
from eelgrassmount.platform.settings import find_settings_file

# collection thresholds of the young, middle and old generation: collector pauses add
# latency, and calls create few reference cycles
GC_THRESHOLDS = (50_000, 20, 50)


def run_relay() -> int:
    """Run a node with the platform's settings file until SIGTERM."""
    configure_logging("info", sys.stdout)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
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
    """Run a node and exit the process immediately after its shutdown.

    Cleanup by the event loop and the interpreter is skipped, since it could exceed
    the rest of the grace period.
    """
    await serve_relay(path)
    flush_logs()
    os._exit(ExitCode.DONE)
