"""The command that tells the story of one request from log lines."""

from __future__ import annotations

import json as json_format
import sys
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from attrs import field, frozen

from eelgrassmount.cmd.action import Action, ExitCode, is_set, print_result

if TYPE_CHECKING:
    from collections.abc import Iterable

# what happened to a node or service this long before a request may have caused its end
WINDOW_BEFORE = timedelta(seconds=5)
# why a call ended is found out so much later at most: by the next heartbeat, the next
# connection or the end of the node's stop
WINDOW_AFTER = timedelta(seconds=5)
# lines that say why calls before them ended
_LATER_MESSAGES = frozenset(
    ("server crashed", "server restarted", "node unreachable", "stopped")
)
# lines on nodes and services that are shown at most, those nearest to the end
MAX_CONTEXT_LINES = 20
# fields that are told at the start of a line or not at all
_PRESENTED_FIELDS = ("time", "level", "module", "message", "node", "request", "outcome")
# fields of a decision that name other nodes
_NODE_FIELDS = ("node", "after", "server", "peer")


@frozen
class LogLine:
    """One line of a node's log; ``fields`` holds it as it was written."""

    time: datetime
    message: str
    fields: dict[str, Any]

    def names_request(self, request_id: str) -> bool:
        """Tell whether the line is on a request, or on several with it."""
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
        """Return the line for people."""
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
    """The lines on one request, and those on the nodes and services it met."""

    request_id: str
    own: list[LogLine] = field(factory=list)
    context: list[LogLine] = field(factory=list)
    later: list[LogLine] = field(factory=list)
    omitted: int = 0
    unparsed: int = 0

    def describe(self) -> str:
        """Return the story for people."""
        parts = [f"request {self.request_id}"]
        parts += [f"  {line.describe()}" for line in self.own]
        if not self.own:
            parts.append("  no line names it")
        if self.context:
            parts.append("on the nodes and services it met, shortly before")
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
        """Return the story as one JSON value."""
        return {
            "request": self.request_id,
            "lines": [line.fields for line in self.own],
            "around": [line.fields for line in self.context],
            "later": [line.fields for line in self.later],
            "left_out": self.omitted,
            "unread": self.unparsed,
        }


def explain(request: str, json: bool = False) -> Action:
    """Tell what happened to a request, from log lines on standard input.

    Give it the lines of all nodes, in any order.

    Args:
        request: Id of the request, as its client was told it.
        json: Print JSON.
    """

    def start() -> ExitCode:
        timeline = build_request_timeline(request, sys.stdin)
        print_result(timeline.describe(), timeline.encode(), is_set("json", json))
        return ExitCode.DONE if timeline.own else ExitCode.UNKNOWN

    return Action(start)


def build_request_timeline(request_id: str, texts: Iterable[str]) -> RequestTimeline:
    """Pick the lines that matter for one request.

    Lines that can't be read are counted; what stands before the JSON object of a
    line, such as the name of a VM, is passed over.
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
    own = [line for line in lines if line.names_request(request_id)]
    omitted = sum(
        line.fields.get("count", 0)
        for line in lines
        if line.message == "lines left out"
    )
    context = _find_context(own, lines)
    later = _find_later(own, lines)
    return RequestTimeline(request_id, own, context, later, omitted, unparsed)


def _read_line(text: str) -> LogLine | None:
    _, brace, rest = text.partition("{")
    try:
        fields = json_format.loads(brace + rest)
        return LogLine(
            datetime.fromisoformat(fields["time"]), str(fields["message"]), fields
        )
    except (ValueError, KeyError, TypeError):
        # counted by the caller, who says how many there were
        return None


def _find_context(own: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    if not own:
        return []
    nodes = _list_involved_nodes(own)
    services = {line.fields["service"] for line in own if "service" in line.fields}
    first = own[0].time - WINDOW_BEFORE
    last = own[-1].time
    found = [
        line
        for line in lines
        if first <= line.time <= last
        and line not in own
        and "request" not in line.fields
        and (line.list_nodes() & nodes or line.fields.get("service") in services)
    ]
    return found[-MAX_CONTEXT_LINES:]


def _find_later(own: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return what was found out about the nodes that a request met, after its end."""
    if not own:
        return []
    nodes = _list_involved_nodes(own)
    last = own[-1].time
    found = [
        line
        for line in lines
        if last < line.time <= last + WINDOW_AFTER
        and line.message in _LATER_MESSAGES
        and line.list_nodes() & nodes
    ]
    return found[:MAX_CONTEXT_LINES]


def _list_involved_nodes(own: list[LogLine]) -> set[str]:
    return {name for line in own for name in line.list_nodes()}
