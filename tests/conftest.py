"""Fixtures for all tests."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio, as a node does."""
    return "asyncio"
