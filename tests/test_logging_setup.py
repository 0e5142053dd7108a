"""Log lines for programs, and streams that fail."""

from __future__ import annotations

import io
import json
import sys

import pytest
from loguru import logger

from eelgrassmount.logging_setup import setup_logs


@pytest.fixture(autouse=True)
def _restore_logs():
    yield
    logger.remove()
    logger.add(sys.stderr)


class FailingStream(io.StringIO):
    def write(self, text):
        raise BrokenPipeError


def test_write_json_away_from_terminal():
    stream = io.StringIO()
    setup_logs("info", stream)
    logger.debug("not shown")
    logger.info("configuration in force", version=7)
    line = json.loads(stream.getvalue())
    assert line["message"] == "configuration in force"
    assert (line["level"], line["version"]) == ("info", 7)


@pytest.mark.parametrize("stream", [FailingStream(), io.StringIO()])
def test_failing_stream_costs_only_the_line(stream):
    setup_logs("info", stream)
    stream.close()
    logger.info("lost")
