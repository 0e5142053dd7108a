"""Downstream calls of the routes, and shapes of complete answers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


@frozen
class Plan:
    """Downstream calls of one route, as (method, path), in parallel or in sequence."""

    calls: tuple[tuple[str, str], ...] = ()
    parallel: bool = True


_NO_CALLS = Plan()


def read_plans(value: str | Mapping[str, Any]) -> dict[str, Plan]:
    """Read a route table, as JSON text or already parsed.

    For example ``{"POST /jobdesk/bookings": {"calls": [["GET",
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
    """Return the plan of the longest matching prefix, or a plan without calls.

    Prefixes match whole path segments only.
    """
    path = route.partition("?")[0].rstrip("/") + "/"
    prefixes = [prefix for prefix in plans if path.startswith(prefix.rstrip("/") + "/")]
    return plans[max(prefixes, key=len)] if prefixes else _NO_CALLS


def expect_shape(plans: Mapping[str, Plan], method: str, path: str) -> str:
    """Return the shape of the complete answer to a request, for example ``a(b,c)``."""
    plan = find_plan(plans, f"{method} {path}")
    service = path.split("/")[1]
    return _format_shape(service, (expect_shape(plans, *call) for call in plan.calls))


def measure_shape(answer: Mapping[str, Any]) -> str:
    """Return the shape of an answer, for comparison with the expected shape."""
    return _format_shape(
        answer["service"], (measure_shape(run) for run in answer["runs"])
    )


def list_requests(answer: Mapping[str, Any]) -> set[str]:
    """Return all request ids in an answer; a correct answer has only one."""
    found = {answer["request"]}
    for run in answer["runs"]:
        found |= list_requests(run)
    return found


def _format_shape(service: str, shapes: Iterable[str]) -> str:
    downstream = ",".join(sorted(shapes))
    return f"{service}({downstream})" if downstream else service
