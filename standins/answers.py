"""Answers of a backend server, and its injected faults."""

from __future__ import annotations

import base64
import hashlib
import json
from typing import TYPE_CHECKING, Any

from attrs import define, evolve

from standins.web import Response

if TYPE_CHECKING:
    from standins.runs import Run


@define
class Faults:
    """Active faults; those of answers are ``True`` or the number of answers to affect.

    ``silent`` never answers; ``late_ms`` delays answers regardless of the deadline;
    ``load`` replaces the announced load; ``drain`` announces draining, and with
    ``refuse`` new work is refused meanwhile; ``truncated`` closes the connection in
    the middle of an answer; ``garbled`` changes the body but not the digest;
    ``wrong_call`` sends the previous answer; ``doubled`` sends the answer twice.
    ``lost`` drops requests without running them and ``mute`` runs them without an
    answer; both still answer queries for the state of a call.
    """

    slow_factor: float = 1.0
    load: float | None = None
    silent: bool = False
    drain: bool = False
    refuse: bool = False
    late_ms: float = 0.0
    truncated: int = 0
    garbled: int = 0
    wrong_call: int = 0
    doubled: int = 0
    lost: int = 0
    mute: int = 0

    def change(self, changes: dict[str, Any]) -> None:
        """Set faults by name; raise ``ValueError`` for an unknown one."""
        for name, value in changes.items():
            if name not in Faults.__slots__:
                raise ValueError(f"unknown fault {name!r}")
            setattr(self, name, value)

    def consume(self, name: str) -> bool:
        """Return whether the fault applies to this answer, and count it down."""
        value = getattr(self, name)
        if value and value is not True:
            setattr(self, name, value - 1)
        return bool(value)


class Answerer:
    """Makes the answers of a server and applies its faults to them."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._previous: Response | None = None

    def answer(self, run: Run, runs: list[Any]) -> Response:
        """Return the answer to a run, which contains the answers to its calls."""
        response = make_answer(run, runs)
        previous, self._previous = self._previous, response
        if self._faults.consume("wrong_call"):
            unknown = {"eelgrassmount-call": "none"}
            return previous or evolve(response, headers=unknown)
        if self._faults.consume("garbled"):
            return evolve(response, body=response.body[:-9] + b" " * 9)
        cut_after = (
            len(response.body) // 2 if self._faults.consume("truncated") else None
        )
        return evolve(
            response, cut_after=cut_after, repeat=self._faults.consume("doubled")
        )


def make_answer(run: Run, runs: list[Any]) -> Response:
    """Make the complete answer, which names the server of each run."""
    body = json.dumps(
        {
            "service": run.service,
            "server": run.server,
            "request": run.request,
            "runs": runs,
            "depth": 1 + max((nested["depth"] for nested in runs), default=0),
        }
    ).encode()
    digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
    headers = {
        "content-type": "application/json",
        "content-digest": f"sha-256=:{digest}:",
        "eelgrassmount-call": run.call,
    }
    return Response(200, body, headers)


def refuse(reason: str) -> Response:
    """Make a refusal, with the verdict that the request was not run."""
    headers = {"eelgrassmount-verdict": "not-run", "x-reason": reason}
    return Response(503, b"", headers)
