"""Parser of configuration texts."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from dataclasses import dataclass

from attrs import define, field, frozen

from eelgrassmount.config.checks import (
    CLASS_KEYS,
    TOP_KEYS,
    check_fraction,
    check_limit,
    check_name,
    check_route,
    explain_unknown,
)
from eelgrassmount.config.classes import Document, RoutePattern, WorkClass
from eelgrassmount.config.positions import TOP, Positions, find_positions

MAX_TEXT_BYTES = 256 * 1024

_CLASS = "class"
_MAX_SYNTAX_PROBLEMS = 20
_AT_LINE = re.compile(r" \(at line (\d+), column \d+\)$")
_AT_END = " (at end of document)"

Check = Callable[[object], str | None]


@dataclass(frozen=True, slots=True)
class DocumentProblem:
    """An error in a configuration text, with its line."""

    line: int
    message: str


@frozen
class Reading:
    """The valid part of a configuration text, and its problems."""

    document: Document
    problems: tuple[DocumentProblem, ...]


def parse_document(text: str) -> Document | tuple[DocumentProblem, ...]:
    """Return the configuration of a text, or all problems in it.

    The text is TOML::

        failure_domains = ["bowbazar", "sealdah"]

        [[class]]
        name = "booking"
        routes = ["POST /jobdesk/bookings"]
        idempotent = false
        refuse_last = true
        complete_fraction = 0.999
        within_ms = 2000
    """
    if len(text.encode(errors="replace")) > MAX_TEXT_BYTES:
        message = f"the text must be at most {MAX_TEXT_BYTES} bytes long"
        return (DocumentProblem(1, message),)
    reading = read_document(text)
    return reading.problems or reading.document


def read_document(text: str) -> Reading:
    """Read the valid part of a text.

    A node of an older release can thus apply a configuration that was accepted
    by a newer release and has keys that the older one does not define.
    """
    values, broken = _read_toml(text)
    reader = _Reader(find_positions(text, _CLASS), broken)
    for problem in broken:
        reader.report(problem.line, problem.message)
    document = reader.read(values)
    return Reading(document, tuple(sorted(reader.problems, key=lambda p: p.line)))


def _read_toml(text: str) -> tuple[dict[str, object], list[DocumentProblem]]:
    # blanks each line with a syntax error and parses again, so that all errors are
    # reported together
    lines = text.split("\n")
    problems: list[DocumentProblem] = []
    while len(problems) < _MAX_SYNTAX_PROBLEMS:
        try:
            return tomllib.loads("\n".join(lines)), problems
        except RecursionError:
            return {}, [DocumentProblem(1, "not TOML: nested too deeply")]
        except tomllib.TOMLDecodeError as error:
            problem = _locate(str(error), len(lines))
            problems.append(problem)
            if not lines[problem.line - 1].strip():
                break
            lines[problem.line - 1] = ""
    return {}, problems


def _locate(message: str, last_line: int) -> DocumentProblem:
    found = _AT_LINE.search(message)
    line = int(found[1]) if found else last_line
    detail = _AT_LINE.sub("", message).removesuffix(_AT_END)
    return DocumentProblem(max(1, min(line, last_line)), f"not TOML: {detail}")


@define
class _Reader:
    """Converts TOML values to a document and collects problems."""

    positions: Positions
    broken: list[DocumentProblem]
    problems: list[DocumentProblem] = field(factory=list)
    names: dict[str, int] = field(factory=dict)
    routes: dict[RoutePattern, str] = field(factory=dict)

    def report(self, line: int, message: str) -> None:
        problem = DocumentProblem(line, message)
        if problem not in self.problems:
            self.problems.append(problem)

    def read(self, values: dict[str, object]) -> Document:
        self._report_unknown(values, TOP, TOP_KEYS)
        domains = self._read_domains(values.get("failure_domains", []))
        tables = values.get(_CLASS, [])
        if not isinstance(tables, list) or not all(
            isinstance(table, dict) for table in tables
        ):
            line = self.positions.find_key(TOP, _CLASS)
            self.report(line, "class must be written as [[class]] tables")
            tables = []
        elif not tables and not self.broken:
            self.report(1, "there is no class of work: add a [[class]] table")
        classes = [self._read_class(index, table) for index, table in enumerate(tables)]
        return Document(tuple(item for item in classes if item), domains)

    def _report_unknown(
        self, table: dict[str, object], table_index: int, known: frozenset[str]
    ) -> None:
        for key in table:
            if key not in known:
                line = self.positions.find_key(table_index, key)
                self.report(line, explain_unknown(key, known))

    def _read_domains(self, value: object) -> tuple[str, ...]:
        line = self.positions.find_key(TOP, "failure_domains")
        if not isinstance(value, list):
            self.report(line, 'failure_domains must be a list, such as ["bowbazar"]')
            return ()
        domains: list[str] = []
        for index, item in enumerate(value):
            at_line = self.positions.find_item(TOP, "failure_domains", value, index)
            problem = check_name(item, "a failure domain")
            if problem:
                self.report(at_line, problem)
            elif item in domains:
                self.report(at_line, f"failure domain {item!r} is named twice")
            else:
                domains.append(item)
        return tuple(domains)

    def _read_class(
        self, table_index: int, table: dict[str, object]
    ) -> WorkClass | None:
        self._report_unknown(table, table_index, CLASS_KEYS)
        found = len(self.problems)
        name = self._read_name(table_index, table)
        routes = self._read_routes(table_index, table, name)
        idempotent = self._read_flag(table_index, table, "idempotent", None)
        refuse_last = self._read_flag(table_index, table, "refuse_last", False)
        fraction = self._read_value(
            table_index, table, "complete_fraction", check_fraction
        )
        within_ms = self._read_value(table_index, table, "within_ms", check_limit)
        if len(self.problems) > found or self._is_damaged(table_index):
            return None
        return WorkClass(
            name, routes, idempotent, refuse_last, float(fraction), within_ms
        )

    def _read_value(
        self, table_index: int, table: dict[str, object], key: str, check: Check
    ) -> object:
        if key not in table:
            self._report_missing(table_index, key)
            return None
        problem = check(table[key])
        if problem:
            self.report(self.positions.find_key(table_index, key), problem)
        return table[key]

    def _read_name(self, table_index: int, table: dict[str, object]) -> str:
        found = len(self.problems)
        check = lambda value: check_name(value, "the name of a class")
        name = self._read_value(table_index, table, "name", check)
        if len(self.problems) > found or "name" not in table:
            return ""
        line = self.positions.find_key(table_index, "name")
        if name in self.names:
            first = self.names[name]
            self.report(line, f"class {name!r} is already defined on line {first}")
        self.names.setdefault(name, line)
        return name

    def _read_flag(
        self, table_index: int, table: dict[str, object], key: str, default: bool | None
    ) -> bool:
        if key not in table and default is None:
            self._report_missing(table_index, key)
        value = table.get(key, default or False)
        if not isinstance(value, bool):
            line = self.positions.find_key(table_index, key)
            self.report(line, f"{key} must be true or false, not {value!r}")
        return value

    def _read_routes(
        self, table_index: int, table: dict[str, object], name: str
    ) -> tuple[RoutePattern, ...]:
        if "routes" not in table:
            self._report_missing(table_index, "routes")
            return ()
        items = table["routes"]
        if not isinstance(items, list) or not items:
            line = self.positions.find_key(table_index, "routes")
            self.report(
                line, 'routes must be a list, such as ["POST /jobdesk/bookings"]'
            )
            return ()
        routes = [
            self._read_route(
                self.positions.find_item(table_index, "routes", items, index),
                item,
                name,
            )
            for index, item in enumerate(items)
        ]
        return tuple(route for route in routes if route)

    def _read_route(self, line: int, item: object, name: str) -> RoutePattern | None:
        problem = check_route(item)
        if problem:
            self.report(line, problem)
            return None
        method, prefix = item.split(" ")
        route = RoutePattern(method, prefix)
        normalized = RoutePattern(method, prefix.rstrip("/"))
        if normalized in self.routes:
            owner = self.routes[normalized] or "another class"
            self.report(line, f"route {item!r} already belongs to class {owner!r}")
            return None
        self.routes[normalized] = name
        return route

    def _report_missing(self, table_index: int, key: str) -> None:
        if not self._is_damaged(table_index):
            line = self.positions.find_table(table_index)
            self.report(line, f"{key} is missing from this class")

    def _is_damaged(self, table_index: int) -> bool:
        # a key that seems missing may be on a line with a syntax error
        first, last = (
            self.positions.find_table(table_index),
            self.positions.end_table(table_index),
        )
        return any(first <= problem.line <= last for problem in self.broken)
