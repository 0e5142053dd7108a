"""Configuration of logging: plain text on a terminal, JSON elsewhere."""

from __future__ import annotations

import atexit
import io
import json
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

from eelgrassmount.log_writer import LogWriter

if TYPE_CHECKING:
    from collections.abc import Callable

    from loguru import Message

# Time for writing the last lines when the process ends.
FLUSH_TIMEOUT_S = 0.25
# The writer of the stream in use, if lines for it are queued.
_WRITERS: list[LogWriter] = []

_TERMINAL_FORMAT = (
    "<green>{time:HH:mm:ss.SSS}</green> <level>{level: <7}</level> {message} "
    "<dim>{extra}</dim>"
)


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Write log lines of at least ``level`` to ``stream``, by default stderr.

    On a terminal the lines are plain text, elsewhere each line is a JSON object.
    Fields are passed by name, separate from the message::

        logger.info("configuration in force", version=7)

    If the stream fails, the line is lost and the caller gets no exception. If nobody
    reads it, lines wait, see `LogWriter`, and no caller does.
    """
    stream = sys.stderr if stream is None else stream
    logger.remove()
    flush_logs()
    _WRITERS.clear()
    if stream is None:
        return
    sink: Any = stream if _is_terminal(stream) else _make_sink(stream)
    logger.add(
        sink,
        level=level.upper(),
        format=_TERMINAL_FORMAT,
        catch=True,
        backtrace=False,
        diagnose=False,
    )


def _is_terminal(stream: TextIO) -> bool:
    try:
        return stream.isatty()
    except (AttributeError, ValueError):
        return False


def flush_logs() -> None:
    """Write the lines that wait, for `FLUSH_TIMEOUT_S` at most.

    To be called before a process exits without its cleanup.
    """
    for writer in _WRITERS:
        writer.flush(FLUSH_TIMEOUT_S)


def _make_sink(stream: TextIO) -> Callable[[Message], None]:
    try:
        descriptor = stream.fileno()
    except (AttributeError, OSError, ValueError, io.UnsupportedOperation):
        return _make_direct_sink(stream)
    # Of the line before, so that the loss names its node, too.
    fields: dict[str, Any] = {}
    writer = LogWriter(descriptor, lambda lines: _format_loss(lines, fields))
    _WRITERS.append(writer)
    # Registered anew, a function is called once for each registration.
    atexit.unregister(flush_logs)
    atexit.register(flush_logs)

    def write(message: Message) -> None:
        if "node" in message.record["extra"]:
            fields["node"] = message.record["extra"]["node"]
        writer.write(_format_json(message).encode() + b"\n")

    return write


def _make_direct_sink(stream: TextIO) -> Callable[[Message], None]:
    """Return a sink for a stream in memory."""

    def write(message: Message) -> None:
        try:
            stream.write(_format_json(message) + "\n")
            stream.flush()
        except (OSError, ValueError):
            return

    return write


def _format_loss(lines: int, fields: dict[str, Any]) -> bytes:
    """Return the line that follows lost ones."""
    line = {
        "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "level": "warning",
        "module": __name__,
        "message": "log lines lost",
        **fields,
        "lines": lines,
    }
    return json.dumps(line, default=str).encode() + b"\n"


def _format_json(message: Message) -> str:
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "module": record["name"],
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = str(record["exception"].value)
    return json.dumps(line, default=str)
