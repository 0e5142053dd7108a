"""States of the calls to a backend server, for nodes that lost an answer."""

from __future__ import annotations

import os
import time

from attrs import define, field

from standins.web import Response

CALLS_PATH = "/_eelgrassmount/calls/"


def _make_process_id() -> str:
    return f"{os.getpid()}-{time.monotonic_ns()}"


@define
class CallStateTable:
    """Running and finished calls, and sealed ids of calls that must never start.

    A call is sealed when a node asks for it before it arrives.
    """

    process: str = field(factory=_make_process_id)
    _answers: dict[str, Response | None] = field(factory=dict)
    _sealed: set[str] = field(factory=set)

    def start(self, call: str) -> bool:
        """Record a new call; return ``False`` if its id is sealed."""
        if call in self._sealed:
            return False
        self._answers[call] = None
        return True

    def finish(self, call: str, answer: Response | None) -> Response | None:
        """Store the answer to a call; return it with the headers of this process."""
        if answer is not None:
            answer = self.add_headers(answer, call)
            self._answers[call] = answer
        return answer

    def add_headers(self, answer: Response, call: str) -> Response:
        """Return an answer with the process id, and the call id unless it has one."""
        call_header = {"eelgrassmount-call": call} if call else {}
        return self._add_process_header(answer, {**call_header, **answer.headers})

    def report(self, call: str) -> Response:
        """Return the state or answer of a call; seal the call if it is unknown."""
        if call not in self._answers:
            self._sealed.add(call)
            return self._add_process_header(
                Response.from_json({"state": "unknown"}), {}
            )
        answer = self._answers[call]
        if answer is None:
            return self._add_process_header(
                Response.from_json({"state": "running"}), {}
            )
        return self._add_process_header(answer, {"eelgrassmount-call-state": "done"})

    def _add_process_header(self, answer: Response, extra: dict[str, str]) -> Response:
        headers = {**answer.headers, "eelgrassmount-server": self.process, **extra}
        return Response(
            answer.status, answer.body, headers, answer.cut_after, answer.repeat
        )
