"""Reloading of the settings file while a node runs."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.errors import EelgrassmountError

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.settings import RelaySettings

# Interval of checks for changes of the file that no signal announces.
RELOAD_CHECK_INTERVAL_S = 2.0


@define(eq=False, repr=False)
class SettingsWatch:
    """Reloads the settings file when it has changed or on request.

    If the file is unreadable or invalid, the present settings stay in force.
    """

    path: str
    load: Callable[[str], RelaySettings]
    apply: Callable[[RelaySettings], None]
    _signature: tuple[int, int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Record the signature of the file as loaded."""
        self._signature = self._read_signature()

    def check(self) -> None:
        """Reload the file if it has changed."""
        if self._read_signature() != self._signature:
            self.reload()

    def reload(self) -> None:
        """Load the file and apply its settings."""
        self._signature = self._read_signature()
        try:
            settings = self.load(self.path)
        except EelgrassmountError as error:
            logger.error("invalid settings ignored", cause=str(error))
            return
        self.apply(settings)

    def _read_signature(self) -> tuple[int, int]:
        try:
            status = os.stat(self.path)
        except OSError as error:
            logger.warning("settings file not found", cause=str(error))
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
