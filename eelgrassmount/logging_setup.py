"""Configuration of logging: plain text on a terminal, JSON elsewhere."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

_TERMINAL_FORMAT = (
    "<green>{time:HH:mm:ss.SSS}</green> <level>{level: <7}</level> {message} "
    "<dim>{extra}</dim>"
)


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Write log lines of at least ``level`` to ``stream``, by default stderr.

    On a terminal the lines are plain text, elsewhere each line is a JSON object.
    Fields are passed by name, separate from the message::

        logger.info("configuration in force", version=7)

    If the stream fails, the line is lost and the caller gets no exception.
    """
    stream = sys.stderr if stream is None else stream
    logger.remove()
    if stream is None:
        return
    sink: Any = _make_json_sink(stream)
    if _is_terminal(stream):
        sink = stream
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


def _make_json_sink(stream: TextIO) -> Any:
    def write(message: Message) -> None:
        try:
            stream.write(_format_json(message) + "\n")
            stream.flush()
        except (OSError, ValueError):
            # a closed or full pipe must not make a request fail
            return

    return write


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
