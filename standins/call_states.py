"""What a backend server remembers of calls, to answer questions about them."""

from __future__ import annotations

import os
import time

from attrs import define, field

from standins.web import Response

CALLS_PATH = "/_eelgrassmount/calls/"


def _name_process() -> str:
    return f"{os.getpid()}-{time.monotonic_ns()}"


@define
class CallStateTable:
    """Calls that are running or done, and those that were promised never to begin."""

    process: str = field(factory=_name_process)
    _answers: dict[str, Response | None] = field(factory=dict)
    _sealed: set[str] = field(factory=set)

    def begin(self, call: str) -> bool:
        """Note that a call arrived; ``False`` when it must not begin."""
        if call in self._sealed:
            return False
        self._answers[call] = None
        return True

    def end(self, call: str, answer: Response | None) -> Response | None:
        """Keep the answer to a call and return it, marked with this process."""
        if answer is not None:
            answer = self.mark(answer, call)
            self._answers[call] = answer
        return answer

    def mark(self, answer: Response, call: str) -> Response:
        """Return an answer with this process, and with its call if it names none."""
        own = {"eelgrassmount-call": call} if call else {}
        return self._mark(answer, {**own, **answer.headers})

    def tell(self, call: str) -> Response:
        """Say what became of a call; an unknown one never begins from now on."""
        if call not in self._answers:
            self._sealed.add(call)
            return self._mark(Response.from_json({"state": "unknown"}), {})
        answer = self._answers[call]
        if answer is None:
            return self._mark(Response.from_json({"state": "running"}), {})
        return self._mark(answer, {"eelgrassmount-call-state": "done"})

    def _mark(self, answer: Response, extra: dict[str, str]) -> Response:
        headers = {**answer.headers, "eelgrassmount-server": self.process, **extra}
        return Response(
            answer.status, answer.body, headers, answer.cut_after, answer.repeat
        )
