"""Answers of a backend server, and the faults that spoil them."""

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
    """Faults in force; those of answers are ``True`` or count down to 0.

    ``silent`` never answers, ``late_ms`` answers late whatever the deadline says,
    ``load`` is announced in place of the true one, ``drain`` announces draining
    and ``refuse`` refuses new work meanwhile, ``truncated`` closes the connection
    in mid-answer, ``garbled`` changes the body under its digest, ``wrong_call``
    gives the answer before, ``doubled`` gives the answer twice. ``lost`` swallows
    requests without running them and ``mute`` runs them without an answer, while
    questions about their fate are answered.
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

    def take(self, name: str) -> bool:
        """Tell whether the fault hits this answer, and count it down."""
        value = getattr(self, name)
        if value and value is not True:
            setattr(self, name, value - 1)
        return bool(value)


class Answerer:
    """Makes the answers of a server, spoiled as its faults say."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._previous: Response | None = None

    def answer(self, run: Run, runs: list[Any]) -> Response:
        """Answer a run with the answers to its downstream calls inside."""
        response = make_answer(run, runs)
        previous, self._previous = self._previous, response
        if self._faults.take("wrong_call"):
            unknown = {"eelgrassmount-call": "none"}
            return previous or evolve(response, headers=unknown)
        if self._faults.take("garbled"):
            return evolve(response, body=response.body[:-9] + b" " * 9)
        half = len(response.body) // 2 if self._faults.take("truncated") else None
        return evolve(response, cut_after=half, repeat=self._faults.take("doubled"))


def make_answer(run: Run, runs: list[Any]) -> Response:
    """Make the complete answer, which names every server that took part."""
    body = json.dumps(
        {
            "service": run.service,
            "server": run.server,
            "request": run.request,
            "runs": runs,
            "depth": 1 + max((inner["depth"] for inner in runs), default=0),
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
    """Make the refusal of a server that did no work at all."""
    headers = {"eelgrassmount-verdict": "not-run", "x-reason": reason}
    return Response(503, b"", headers)
