"""Downstream calls of a backend server through the node on its VM."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

import anyio
from attrs import frozen

from standins.client import UnansweredError

if TYPE_CHECKING:
    from standins.client import Answer, Client
    from standins.plans import Plan

_FORWARDED_HEADERS = (
    "eelgrassmount-verdict",
    "eelgrassmount-reason",
    "eelgrassmount-retry-after-ms",
    "retry-after",
)


@dataclasses.dataclass(frozen=True)
class CallFailedError(Exception):
    """A downstream call failed; the headers go into the answer to the caller."""

    headers: dict[str, str]


@frozen
class DownstreamClient:
    """Makes the downstream calls of a backend server, with retries."""

    client: Client
    node_address: str
    retries: int
    call_timeout_ms: float

    async def call_all(
        self,
        plan: Plan,
        parent: str,
        body: bytes,
        deadline: float,
        lenient: bool = False,
    ) -> list[Any]:
        """Return the answers to all calls of a plan, in its order.

        The first failure cancels the other calls and is raised as
        ``CallFailedError``; with ``lenient``, failed calls are left out of the result.
        The deadline is on the event loop's clock.
        """
        answers: dict[int, Any] = {}
        failures: list[CallFailedError] = []

        async def call(index: int, scope: anyio.CancelScope) -> None:
            try:
                answers[index] = await self._call(plan, index, parent, body, deadline)
            except CallFailedError as failure:
                if not lenient:
                    failures.append(failure)
                    scope.cancel()

        async with anyio.create_task_group() as group:
            for index in range(len(plan.calls)):
                if plan.parallel:
                    group.start_soon(call, index, group.cancel_scope)
                else:
                    await call(index, group.cancel_scope)
        if failures:
            raise failures[0]
        return [answers[index] for index in sorted(answers)]

    async def _call(
        self, plan: Plan, index: int, parent: str, body: bytes, deadline: float
    ) -> Any:
        method, path = plan.calls[index]
        headers = {"eelgrassmount-parent": parent}
        if plan.calls.count((method, path)) > 1:
            headers["eelgrassmount-call-name"] = str(index)
        failure = CallFailedError({})
        for _ in range(1 + self.retries):
            remaining_ms = max(0.0, (deadline - anyio.current_time()) * 1000)
            timeout_ms = min(remaining_ms, self.call_timeout_ms)
            headers["eelgrassmount-timeout-ms"] = str(int(timeout_ms))
            try:
                answer = await self.client.request(
                    self.node_address, method, path, headers, body, timeout_ms / 1000
                )
                if answer.status == 200:
                    return json.loads(answer.body)
                failure = CallFailedError(_select_headers(answer))
            except (UnansweredError, ValueError):
                failure = CallFailedError({"eelgrassmount-verdict": "may-have-run"})
        raise failure


def _select_headers(answer: Answer) -> dict[str, str]:
    return {
        name: answer.headers[name]
        for name in _FORWARDED_HEADERS
        if name in answer.headers
    }
