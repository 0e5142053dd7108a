"""Client of the stand-ins' admin listeners, for tests and benchmarks."""

from __future__ import annotations

import json
import urllib.request
from typing import Any

_TIMEOUT_S = 5.0


def call_admin(
    admin_address: str, method: str, path: str, value: object = None
) -> dict[str, Any]:
    """Call an admin listener with a JSON body and return its JSON answer.

    Raises ``OSError`` when the listener doesn't answer or returns an error status.
    """
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(
        f"http://{admin_address}{path}", data, method=method
    )
    with urllib.request.urlopen(request, timeout=_TIMEOUT_S) as answer:
        return json.loads(answer.read())


def set_fault(admin_address: str, **fault: object) -> None:
    """Set faults of one stand-in, for example ``set_fault(address, slow_ms=50)``."""
    call_admin(admin_address, "POST", "/faults", fault)


def get_runs(admin_address: str, query: str = "") -> list[dict[str, Any]]:
    """Return the runs recorded by a backend server or by the journal.

    Only the journal applies ``query``, for example ``request=r1``.
    """
    return call_admin(admin_address, "GET", f"/runs?{query}")["runs"]


def get_stats(admin_address: str) -> dict[str, Any]:
    """Return the counts of one stand-in."""
    return call_admin(admin_address, "GET", "/stats")
