"""The timeline of one request, from log lines."""

from __future__ import annotations

import io
import json

import pytest

from eelgrassmount.cmd.action import ExitCode
from eelgrassmount.cmd.explain import MAX_CONTEXT_LINES, build_request_timeline
from eelgrassmount.cmd.main import main


def write_line(second: float, message: str, node: str = "vm-1", **fields) -> str:
    time = f"2026-01-01T10:00:{second:06.3f}+00:00"
    line = {"time": time, "level": "info", "message": message, "node": node}
    return json.dumps({**line, **fields}) + "\n"


LINES = [
    write_line(9, "failed", request="a1", outcome="deadline", tried=["vm-7"]),
    write_line(8, "sent again", request="a1", outcome="peer-lost", after="vm-5"),
    write_line(7.9, "link silent", peer="vm-5"),
    write_line(7.8, "server crashed", node="vm-7"),
    write_line(7.7, "link silent", node="vm-3", peer="vm-4"),
    write_line(7.6, "refused", request="a2", outcome="overload"),
    write_line(1, "node unreachable", peer="vm-5"),
    write_line(9.5, "lines left out", count=3),
]


def test_lines_of_a_request_are_sorted_by_time():
    timeline = build_request_timeline("a1", LINES)
    assert [line.message for line in timeline.request_lines] == ["sent again", "failed"]
    assert timeline.omitted == 3


def test_earlier_events_at_the_nodes_of_a_request_are_shown():
    context = build_request_timeline("a1", LINES).context
    assert [line.message for line in context] == ["server crashed", "link silent"]


def test_overload_of_the_service_of_a_request_is_shown():
    lines = [
        write_line(1, "overload begins", node="vm-9", service="list", demand=1.4),
        write_line(1, "overload begins", node="vm-9", service="book", demand=1.4),
        write_line(2, "refused", request="a1", outcome="overload", service="list"),
    ]
    context = build_request_timeline("a1", lines).context
    assert [line.fields["service"] for line in context] == ["list"]


def test_only_the_nearest_context_lines_are_shown():
    lines = [write_line(1 + i / 50, "link silent", peer="vm-5") for i in range(50)]
    lines.append(write_line(3, "failed", request="a1", outcome="deadline"))
    context = build_request_timeline("a1", lines).context
    assert len(context) == MAX_CONTEXT_LINES
    assert context[-1].time.microsecond == 980_000


def test_unparsed_lines_are_counted_and_a_leading_name_is_ignored():
    texts = ["vm-1| " + LINES[0], "Traceback\n", "{broken\n", "[1]\n", "\n"]
    timeline = build_request_timeline("a1", texts)
    assert len(timeline.request_lines) == 1
    assert timeline.unparsed == 3


@pytest.mark.parametrize(
    ("request_id", "code", "text"),
    [("a1", ExitCode.DONE, "failed: deadline"), ("x", ExitCode.UNKNOWN, "no line")],
)
def test_command_reads_standard_input(monkeypatch, capsys, request_id, code, text):
    monkeypatch.setattr("sys.stdin", io.StringIO("".join(LINES)))
    assert main(["explain", request_id]) == code
    assert text in capsys.readouterr().out


def test_command_prints_json(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO("".join(LINES)))
    assert main(["explain", "a1", "--json"]) == ExitCode.DONE
    content = json.loads(capsys.readouterr().out)
    assert [line["message"] for line in content["lines"]] == ["sent again", "failed"]


# A crash or restart of a server is logged after the calls that it broke. The lines with
# the cause of a failure were omitted because they follow the last line of the request.


def test_crash_line_that_names_the_request_is_one_of_its_lines():
    lines = [
        write_line(2, "failed", request="a1", outcome="server-crashed", tried=[]),
        write_line(2.4, "server crashed", node="vm-7", requests=["a0", "a1"]),
        write_line(2.1, "server rejects calls", node="vm-7"),
        write_line(2.2, "server crashed", node="vm-8", requests=["a2"]),
    ]
    timeline = build_request_timeline("a1", lines)
    assert [line.message for line in timeline.request_lines] == [
        "failed",
        "server crashed",
    ]
    assert [line.message for line in timeline.context] == ["server rejects calls"]


def test_causes_logged_after_a_request_failed_are_shown():
    lines = [
        write_line(1, "server rejects calls", node="vm-7"),
        write_line(2, "failed", request="a1", outcome="server-crashed", tried=["vm-7"]),
        write_line(2.5, "server restarted", node="vm-8"),
        write_line(
            3, "server restarted", node="vm-7", ended="i1/1", incarnation="i1/9"
        ),
        write_line(3.5, "overload begins", node="vm-7", service="list"),
        write_line(3.6, "stopped", node="vm-7", cut=2),
        write_line(9, "server restarted", node="vm-7", ended="i1/9"),
    ]
    timeline = build_request_timeline("a1", lines)
    assert [line.message for line in timeline.context] == ["server rejects calls"]
    assert [line.message for line in timeline.later] == ["server restarted", "stopped"]
    text = timeline.describe()
    assert "found out within 5 s after it\n" in text
    assert "vm-7 server restarted  ended=i1/1 incarnation=i1/9" in text
    later = timeline.encode()["later"]
    assert [fields["message"] for fields in later] == ["server restarted", "stopped"]
