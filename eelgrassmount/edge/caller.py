"""Listener for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger

from eelgrassmount.calls.ingress import Reply
from eelgrassmount.calls.request import Request
from eelgrassmount.edge import headers as names
from eelgrassmount.edge.headers import choose_status, make_verdict_headers
from eelgrassmount.edge.http import (
    HttpReply,
    HttpRequest,
    read_request,
    reject_body,
    run_until_disconnect,
    send_reply,
)
from eelgrassmount.errors import BodyTooLongError, BodyTooSlowError
from eelgrassmount.verdict import Answered, Header, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.calls.inflight import InFlight
    from eelgrassmount.calls.ingress import Ingress
    from eelgrassmount.edge.http import Receive, Send
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.verdict import Verdict


@define(eq=False)
class CallerListener:
    """ASGI application for callers."""

    ingress: Ingress
    max_body_bytes: int
    metrics: Metrics
    in_flight: InFlight
    is_leaving: Callable[[], bool]

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Answer one request of a caller."""
        with self.in_flight.track_request():
            await self._serve(scope, receive, send)

    async def _serve(self, scope: Any, receive: Receive, send: Send) -> None:
        try:
            request = await read_request(scope, receive, self.max_body_bytes)
        except BodyTooLongError as error:
            verdict = judge_body_error(error)
            self.metrics.refusals.labels(verdict.reason).inc()
            await reject_body(receive, send, make_reply(verdict, []))
            return
        if request is None:
            return

        async def run() -> Reply:
            try:
                return await self.ingress.handle(convert_request(request))
            except Exception:
                logger.exception("request failed with an internal error")
                self.metrics.internal_errors.inc()
                return Reply(MayHaveRun(Reason.INTERNAL), "", "")

        reply = await run_until_disconnect(scope, run)
        if reply is not None:
            await self._answer(send, reply)

    def record_malformed(self) -> None:
        """Count a request that can't be parsed."""
        self.metrics.refusals.labels(Reason.MALFORMED).inc()

    async def _answer(self, send: Send, reply: Reply) -> None:
        if not isinstance(reply.verdict, Answered):
            self.metrics.refusals.labels(reply.verdict.reason).inc()
        headers = _make_reply_headers(reply)
        if self.is_leaving():
            # The caller's next request then goes to another node.
            headers.append(Header(names.CONNECTION, "close"))
        await send_reply(send, make_reply(reply.verdict, headers))


def judge_body_error(error: BodyTooLongError) -> NotRun:
    """Return the verdict on a request whose body is too long or too slow."""
    if isinstance(error, BodyTooSlowError):
        return NotRun(Reason.DEADLINE)
    return NotRun(Reason.TOO_LARGE)


def _make_reply_headers(reply: Reply) -> list[Header]:
    headers = []
    if reply.root_id:
        headers.append(Header(names.ROOT, reply.root_id))
    if reply.next_key:
        headers.append(Header(names.NEXT_KEY, reply.next_key))
    return headers


def convert_request(request: HttpRequest) -> Request:
    """Return the content of a call from its HTTP request.

    The service is the first segment of the path.
    """
    service = request.path.lstrip("/").partition("/")[0]
    return Request(
        service=service,
        method=request.method,
        path=request.target,
        headers=request.headers,
        body=request.body,
    )


def make_reply(verdict: Verdict, extra: list[Header]) -> HttpReply:
    """Return the HTTP answer for a verdict, with ``extra`` headers."""
    added = (*make_verdict_headers(verdict), *extra)
    match verdict:
        case Answered(status, headers, body):
            return HttpReply(status, (*headers, *added), body)
    return HttpReply(choose_status(verdict), added)
