"""Hooks that prepare the context of a scenario."""

from __future__ import annotations

import tempfile
from pathlib import Path


def before_scenario(context, scenario):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.flags = {}
    context.variables = {}
    context.names = {}
