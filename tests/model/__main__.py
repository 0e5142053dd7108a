"""Checks the models: ``python -m tests.model [--small]``."""

from __future__ import annotations

import sys
import time

from tests.model.catalogue import ALL_CASES
from tests.model.checker import check_case


def main(arguments: list[str]) -> int:
    """Check every case, print what was explored, and return the exit status."""
    small = "--small" in arguments
    failures = 0
    total = 0
    for case in ALL_CASES:
        start_s = time.monotonic()
        result = check_case(case, small)
        seconds = time.monotonic() - start_s
        failures += not result.passed
        total += result.states
        status = "ok  " if result.passed else "FAIL"
        print(f"{status} {case.name}: {result.detail}, ", end="")
        print(f"{result.states} states, {seconds:.1f} s", flush=True)
    print(
        f"{len(ALL_CASES) - failures} of {len(ALL_CASES)} as expected, {total} states"
    )
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
