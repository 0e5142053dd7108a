"""Entry point of ``python -m eelgrassmount``."""

from __future__ import annotations

import sys

from eelgrassmount.cmd.main import main

if __name__ == "__main__":
    sys.exit(main())
