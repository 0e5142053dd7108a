"""The command that runs a node beside its backend server on the platform."""

from __future__ import annotations

import gc
import sys

import anyio

from eelgrassmount.cmd.action import ExitCode
from eelgrassmount.compose.relay import serve_relay
from eelgrassmount.errors import EelgrassmountError
from eelgrassmount.logs import setup_logs
from eelgrassmount.platform.settings import find_settings_file, load_settings

COMMAND = "relay"
# objects before a collection of the youngest, middle and oldest generation: the
# collector's pauses are latency, and calls leave few cycles behind
COLLECTOR_THRESHOLDS = (50_000, 20, 50)


def run_relay() -> int:
    """Run a node as the platform's settings file says, until SIGTERM."""
    setup_logs("info", sys.stdout)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    try:
        settings = load_settings(find_settings_file())
        anyio.run(
            serve_relay,
            settings,
            backend="asyncio",
            backend_options={"use_uvloop": True},
        )
    except EelgrassmountError as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    return ExitCode.DONE
