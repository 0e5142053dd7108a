"""Installs the model checker, or determines why it is unavailable."""

from __future__ import annotations

import os
import subprocess
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Environment variable with the reason of a failed installation, for the model tests.
ABSENCE_VARIABLE = "MODEL_CHECKER_ABSENCE"

_SCRIPT = Path(__file__).with_name("set_up_checker.sh")


def set_up_checker() -> str:
    """Install the checker if missing; return why that failed, or an empty text."""
    done = subprocess.run((_SCRIPT,), capture_output=True, text=True, check=False)
    if done.returncode == 0:
        return ""
    output = done.stdout.strip() or done.stderr.strip()
    return output or f"{_SCRIPT.name} exited with {done.returncode}"


def describe_absence(environment: Mapping[str, str] = os.environ) -> str:
    """Return why the model tests may be skipped; empty if they must run.

    They must run in CI, and where no installation of the checker was attempted.
    """
    if environment.get("CI") == "true":
        return ""
    return environment.get(ABSENCE_VARIABLE, "")
