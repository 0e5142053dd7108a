"""What a backend server calls downstream, and the shape of a complete answer."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


@frozen
class Plan:
    """Downstream calls of one route, as (method, path), side by side or in turn."""

    calls: tuple[tuple[str, str], ...] = ()
    parallel: bool = True


_NO_CALLS = Plan()


def read_plans(value: str | Mapping[str, Any]) -> dict[str, Plan]:
    """Read a route table, as JSON text or already parsed.

    An example is ``{"POST /jobdesk/bookings": {"calls": [["GET",
    "/ratebook/price"]], "mode": "parallel"}}``; the mode may be ``sequence``.
    """
    table = json.loads(value) if isinstance(value, str) else value
    plans = {}
    for route, entry in table.items():
        mode = entry.get("mode", "parallel")
        if mode not in ("parallel", "sequence"):
            raise ValueError(f"mode {mode!r} of {route!r} must be parallel or sequence")
        calls = tuple((method, path) for method, path in entry.get("calls", ()))
        plans[route] = Plan(calls, mode == "parallel")
    return plans


def dump_plans(plans: Mapping[str, Plan]) -> str:
    """Return the JSON text that ``read_plans`` reads."""
    return json.dumps(
        {
            route: {
                "calls": plan.calls,
                "mode": "parallel" if plan.parallel else "sequence",
            }
            for route, plan in plans.items()
        }
    )


def find_plan(plans: Mapping[str, Plan], route: str) -> Plan:
    """Return the plan of the longest prefix of ``route``, or one without calls.

    A prefix ends where a segment of the path does.
    """
    whole = route.partition("?")[0].rstrip("/") + "/"
    prefixes = [
        prefix for prefix in plans if whole.startswith(prefix.rstrip("/") + "/")
    ]
    return plans[max(prefixes, key=len)] if prefixes else _NO_CALLS


def expect_shape(plans: Mapping[str, Plan], method: str, path: str) -> str:
    """Return the shape of the complete answer to a request, for example ``a(b,c)``."""
    plan = find_plan(plans, f"{method} {path}")
    service = path.split("/")[1]
    return _join(service, (expect_shape(plans, *call) for call in plan.calls))


def measure_shape(answer: Mapping[str, Any]) -> str:
    """Return the shape of an answer, to be compared with the one expected."""
    return _join(answer["service"], (measure_shape(run) for run in answer["runs"]))


def list_requests(answer: Mapping[str, Any]) -> set[str]:
    """Return every request id that an answer names; a pure one names a single id."""
    found = {answer["request"]}
    for run in answer["runs"]:
        found |= list_requests(run)
    return found


def _join(service: str, pieces: Iterable[str]) -> str:
    inner = ",".join(sorted(pieces))
    return f"{service}({inner})" if inner else service
