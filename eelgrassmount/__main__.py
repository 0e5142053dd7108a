"""Entry point of ``python -m eelgrassmount``."""

from __future__ import annotations

import sys

RELAY = "relay"


def main() -> int:
    """Run the command that the arguments name."""
    # a node needs neither the other commands nor what they import
    if sys.argv[1:] == [RELAY]:
        from eelgrassmount.cmd.relay import run_relay

        return run_relay()
    from eelgrassmount.cmd.main import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
