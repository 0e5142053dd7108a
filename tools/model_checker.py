"""Sets up the model's checker, and says why it can't be had on a machine."""

from __future__ import annotations

import os
import subprocess
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# tells the tests of the model that an install was tried, and why it failed
ABSENCE_VARIABLE = "MODEL_CHECKER_ABSENCE"

_SCRIPT = Path(__file__).with_name("set_up_checker.sh")


def set_up_checker() -> str:
    """Install the checker where it is missing; return why not, or an empty text."""
    done = subprocess.run((_SCRIPT,), capture_output=True, text=True, check=False)
    if done.returncode == 0:
        return ""
    said = done.stdout.strip() or done.stderr.strip()
    return said or f"{_SCRIPT.name} exited with {done.returncode}"


def describe_absence(environment: Mapping[str, str] = os.environ) -> str:
    """Return why the model may be left unchecked; empty if it must be checked.

    It must be in CI, and wherever nobody has tried to install the checker.
    """
    if environment.get("CI") == "true":
        return ""
    return environment.get(ABSENCE_VARIABLE, "")
