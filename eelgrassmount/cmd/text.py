"""Input files and output tables of commands."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from eelgrassmount.errors import FileError, SettingError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

STANDARD_INPUT = "-"


def read_text(path: str) -> str:
    """Return the text of a file, or of standard input if the path is ``-``."""
    try:
        if path == STANDARD_INPUT:
            return sys.stdin.read()
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise FileError(path, error.strerror or str(error)) from None
    except UnicodeDecodeError:
        raise FileError(path, "not UTF-8") from None


def read_version(name: str, text: str) -> int:
    """Return the version number given for an argument."""
    if not (text.isascii() and text.isdecimal()):
        raise SettingError(name, text, "a version, such as 7")
    return int(text)


def format_table(
    columns: Sequence[str], rows: Iterable[Mapping[str, Any]]
) -> list[str]:
    """Return the lines of a table; a column's title is its name in the rows."""
    titles = [name.replace("_", " ").upper() for name in columns]
    cells = [[str(row.get(name, "")) or "-" for name in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(titles, *cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in (titles, *cells)
    ]
