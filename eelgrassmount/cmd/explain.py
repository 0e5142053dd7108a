"""The command that reconstructs the timeline of one request from log lines."""

from __future__ import annotations

import json as json_format
import sys
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from attrs import field, frozen

from eelgrassmount.cmd.action import Action, ExitCode, is_set, print_result

if TYPE_CHECKING:
    from collections.abc import Iterable

# earlier events at a node or service that may have caused the outcome of a request
WINDOW_BEFORE = timedelta(seconds=5)
# the cause of an outcome may be logged only at the next heartbeat, the next connection
# or the end of a shutdown
WINDOW_AFTER = timedelta(seconds=5)
# messages that give the cause of earlier outcomes
_LATER_MESSAGES = frozenset(
    ("server crashed", "server restarted", "node unreachable", "stopped")
)
# lines on nodes and services; of more lines, the nearest to the outcome are shown
MAX_CONTEXT_LINES = 20
# fields that stand at the start of a line or are hidden
_PRESENTED_FIELDS = ("time", "level", "module", "message", "node", "request", "outcome")
# fields of a decision that name other nodes
_NODE_FIELDS = ("node", "after", "server", "peer")


@frozen
class LogLine:
    """One line of a node's log; ``fields`` is its JSON object."""

    time: datetime
    message: str
    fields: dict[str, Any]

    def names_request(self, request_id: str) -> bool:
        """Return whether the line names a request, alone or in a list."""
        if self.fields.get("request") == request_id:
            return True
        named = self.fields.get("requests")
        return isinstance(named, list) and request_id in named

    def list_nodes(self) -> set[str]:
        """Return the nodes that the line is about."""
        names = {self.fields.get(name) for name in _NODE_FIELDS}
        names.update(self.fields.get("tried", ()))
        return {name for name in names if name}

    def describe(self) -> str:
        """Return the line as text."""
        fields = self.fields
        outcome = f": {fields['outcome']}" if "outcome" in fields else ""
        rest = " ".join(
            f"{name}={value}"
            for name, value in fields.items()
            if name not in _PRESENTED_FIELDS
        )
        moment = self.time.strftime("%H:%M:%S.%f")[:-3]
        return f"{moment} {fields.get('node', '?')} {self.message}{outcome}  {rest}"


@frozen
class RequestTimeline:
    """The lines on one request, and related lines on its nodes and services."""

    request_id: str
    request_lines: list[LogLine] = field(factory=list)
    context: list[LogLine] = field(factory=list)
    later: list[LogLine] = field(factory=list)
    omitted: int = 0
    unparsed: int = 0

    def describe(self) -> str:
        """Return the timeline as text."""
        parts = [f"request {self.request_id}"]
        parts += [f"  {line.describe()}" for line in self.request_lines]
        if not self.request_lines:
            parts.append("  no line names it")
        if self.context:
            parts.append("shortly before, on its nodes and services")
            parts += [f"  {line.describe()}" for line in self.context]
        if self.later:
            parts.append(f"found out within {WINDOW_AFTER.seconds} s after it")
            parts += [f"  {line.describe()}" for line in self.later]
        if self.omitted:
            parts.append(f"{self.omitted} lines on requests were left out by the nodes")
        if self.unparsed:
            parts.append(f"{self.unparsed} lines of the input are not log lines")
        return "\n".join(parts)

    def encode(self) -> dict[str, Any]:
        """Return the timeline as one JSON value."""
        return {
            "request": self.request_id,
            "lines": [line.fields for line in self.request_lines],
            "around": [line.fields for line in self.context],
            "later": [line.fields for line in self.later],
            "left_out": self.omitted,
            "unread": self.unparsed,
        }


def explain(request: str, json: bool = False) -> Action:
    """Show what happened to a request, from log lines on standard input.

    Pass the lines of all nodes, in any order.

    Args:
        request: Id of the request, as returned to its client.
        json: Print JSON.
    """

    def start() -> ExitCode:
        timeline = build_request_timeline(request, sys.stdin)
        print_result(timeline.describe(), timeline.encode(), is_set("json", json))
        return ExitCode.DONE if timeline.request_lines else ExitCode.UNKNOWN

    return Action(start)


def build_request_timeline(request_id: str, texts: Iterable[str]) -> RequestTimeline:
    """Return the timeline of one request.

    Lines that can't be parsed are counted. Text before the JSON object of a line,
    such as the name of a VM, is ignored.
    """
    lines = []
    unparsed = 0
    for text in texts:
        line = _read_line(text)
        if line is None:
            unparsed += bool(text.strip())
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.time)
    request_lines = [line for line in lines if line.names_request(request_id)]
    omitted = sum(
        line.fields.get("count", 0)
        for line in lines
        if line.message == "lines left out"
    )
    context = _find_context(request_lines, lines)
    later = _find_later(request_lines, lines)
    return RequestTimeline(request_id, request_lines, context, later, omitted, unparsed)


def _read_line(text: str) -> LogLine | None:
    _, brace, rest = text.partition("{")
    try:
        fields = json_format.loads(brace + rest)
        return LogLine(
            datetime.fromisoformat(fields["time"]), str(fields["message"]), fields
        )
    except (ValueError, KeyError, TypeError):
        # the caller counts unparsed lines
        return None


def _find_context(request_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    if not request_lines:
        return []
    nodes = _list_involved_nodes(request_lines)
    services = {
        line.fields["service"] for line in request_lines if "service" in line.fields
    }
    first = request_lines[0].time - WINDOW_BEFORE
    last = request_lines[-1].time
    found = [
        line
        for line in lines
        if first <= line.time <= last
        and line not in request_lines
        and "request" not in line.fields
        and (line.list_nodes() & nodes or line.fields.get("service") in services)
    ]
    return found[-MAX_CONTEXT_LINES:]


def _find_later(request_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return later lines that give the cause of a request's outcome."""
    if not request_lines:
        return []
    nodes = _list_involved_nodes(request_lines)
    last = request_lines[-1].time
    found = [
        line
        for line in lines
        if last < line.time <= last + WINDOW_AFTER
        and line.message in _LATER_MESSAGES
        and line.list_nodes() & nodes
    ]
    return found[:MAX_CONTEXT_LINES]


def _list_involved_nodes(request_lines: list[LogLine]) -> set[str]:
    return {name for line in request_lines for name in line.list_nodes()}
