"""Settings that change while a node runs."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from attrs import define, field
from loguru import logger

from eelgrassmount.errors import EelgrassmountError

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.settings import RelaySettings

# the file may change without a signal, so it is looked at this often
RELOAD_CHECK_INTERVAL_S = 2.0


@define(eq=False)
class SettingsWatch:
    """Reads the settings file again when it has changed or when told to.

    A file that can't be read, or is wrong, leaves the settings as they are.
    """

    path: str
    load: Callable[[str], RelaySettings]
    apply: Callable[[RelaySettings], None]
    _changed: tuple[int, int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Note the file as it is now."""
        self._changed = self._look()

    def check(self) -> None:
        """Read the file again if it has changed."""
        if self._look() != self._changed:
            self.reload()

    def reload(self) -> None:
        """Read the file again."""
        self._changed = self._look()
        try:
            settings = self.load(self.path)
        except EelgrassmountError as error:
            logger.error("settings refused", cause=str(error))
            return
        self.apply(settings)

    def _look(self) -> tuple[int, int]:
        try:
            found = os.stat(self.path)
        except OSError as error:
            logger.warning("settings file not found", cause=str(error))
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
