"""Entry point of ``python -m eelgrassmount``."""

from __future__ import annotations

import gc
import signal
import sys

RELAY_COMMAND = "relay"


def main() -> int:
    """Run the command that the arguments name."""
    # a node must not import the modules of the other commands, which slow its start
    if sys.argv[1:] == [RELAY_COMMAND]:
        # a reload signal during the imports would end the process
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # collections during the imports find little; `run_relay` enables them
        gc.disable()
        from eelgrassmount.cmd.relay import run_relay

        return run_relay()
    from eelgrassmount.cmd.main import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
