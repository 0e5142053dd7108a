"""Statuses of HTTP answers (RFC 9110, section 15)."""

from __future__ import annotations

REAL_STATUSES = range(100, 600)
# Answers with a lower status are interim ones, which another answer follows.
FINAL_STATUSES = range(200, 600)
# A node never asks for it, so that no server may answer with it.
SWITCHING_PROTOCOLS = 101


def is_possible(status: int) -> bool:
    """Return whether a server may answer a request of a node with a status.

    >>> [is_possible(status) for status in (0, 99, 100, 101, 200, 599, 600)]
    [False, False, True, False, True, True, False]
    """
    return status in REAL_STATUSES and status != SWITCHING_PROTOCOLS
