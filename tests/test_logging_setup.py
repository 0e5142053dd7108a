"""JSON log lines, and streams that fail."""

from __future__ import annotations

import io
import json
import sys

import pytest
from loguru import logger

from eelgrassmount.logging_setup import configure_logging


@pytest.fixture(autouse=True)
def _restore_logs():
    yield
    logger.remove()
    logger.add(sys.stderr)


class FailingStream(io.StringIO):
    def write(self, text):
        raise BrokenPipeError


def test_lines_are_json_without_a_terminal():
    stream = io.StringIO()
    configure_logging("info", stream)
    logger.debug("not shown")
    logger.info("configuration in force", version=7)
    line = json.loads(stream.getvalue())
    assert line["message"] == "configuration in force"
    assert (line["level"], line["version"]) == ("info", 7)


@pytest.mark.parametrize("stream", [FailingStream(), io.StringIO()])
def test_failing_stream_raises_no_exception(stream):
    configure_logging("info", stream)
    stream.close()
    logger.info("lost")
