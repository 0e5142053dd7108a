"""Line numbers of the tables and keys of a TOML text."""

from __future__ import annotations

import re

from attrs import define, field

_TABLE = re.compile(r"^\s*\[\[\s*([A-Za-z0-9_-]+)\s*\]\]")
_KEY = re.compile(r"^\s*\"?([A-Za-z0-9_-]+)\"?\s*=")

# Table index of the keys before the first table.
TOP = -1


@define
class Positions:
    """Line numbers, from 1, of the tables and keys of a text.

    ``tables`` holds the lines of the ``[[...]]`` headers in order; ``keys`` maps
    the index of a table (or `TOP`) and a key to the line of the key.
    """

    lines: tuple[str, ...] = ()
    tables: list[int] = field(factory=list)
    keys: dict[tuple[int, str], int] = field(factory=dict)

    def find_table(self, table: int) -> int:
        """Return the line of a table's header, or 1 if it has none."""
        if 0 <= table < len(self.tables):
            return self.tables[table]
        return 1

    def find_key(self, table: int, key: str) -> int:
        """Return the line of a key, or the line of its table if the key is absent."""
        return self.keys.get((table, key), self.find_table(table))

    def find_item(self, table: int, key: str, items: list, index: int) -> int:
        """Return the line of an item of an array that may span several lines."""
        first = self.find_key(table, key)
        formatted = _format_item(items[index])
        equal_before = items[:index].count(items[index])
        for number in range(first, len(self.lines) + 1):
            line = self.lines[number - 1]
            if number > first and (_TABLE.match(line) or _KEY.match(line)):
                break
            equal_before -= line.count(formatted)
            if equal_before < 0:
                return number
        return first

    def end_table(self, table: int) -> int:
        """Return the last line of a table."""
        if table + 1 < len(self.tables):
            return self.tables[table + 1] - 1
        return len(self.lines)


def _format_item(item: object) -> str:
    return f'"{item}"' if isinstance(item, str) else str(item)


def find_positions(text: str, table_name: str) -> Positions:
    """Find the ``[[table_name]]`` tables of a text and the keys in them."""
    positions = Positions(tuple(text.split("\n")))
    table = TOP
    for number, line in enumerate(positions.lines, start=1):
        header = _TABLE.match(line)
        if header and header[1] == table_name:
            table += 1
            positions.tables.append(number)
        found = _KEY.match(line)
        if found:
            positions.keys.setdefault((table, found[1]), number)
    return positions
