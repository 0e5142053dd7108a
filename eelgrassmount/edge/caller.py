"""The listener for callers."""

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
    refuse_body,
    run_until_gone,
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
    """The ASGI application for callers."""

    entry: Ingress
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
            verdict = judge_body(error)
            self.metrics.refusals.labels(verdict.reason).inc()
            await refuse_body(receive, send, make_reply(verdict, []))
            return
        if request is None:
            return

        async def work() -> Reply:
            try:
                return await self.entry.handle(convert_request(request))
            except Exception:
                logger.exception("a request failed on a programming error")
                self.metrics.internal_errors.inc()
                return Reply(MayHaveRun(Reason.INTERNAL), "", "")

        reply = await run_until_gone(scope, work)
        if reply is not None:
            await self._answer(send, reply)

    def record_malformed(self) -> None:
        """Count what can't be read as a request."""
        self.metrics.refusals.labels(Reason.MALFORMED).inc()

    async def _answer(self, send: Send, reply: Reply) -> None:
        if not isinstance(reply.verdict, Answered):
            self.metrics.refusals.labels(reply.verdict.reason).inc()
        extra = _make_extra(reply)
        if self.is_leaving():
            # so that the caller's next request goes to another node
            extra.append(Header(names.CONNECTION, "close"))
        await send_reply(send, make_reply(reply.verdict, extra))


def judge_body(error: BodyTooLongError) -> NotRun:
    """Return the verdict on a request whose body can't be taken."""
    if isinstance(error, BodyTooSlowError):
        return NotRun(Reason.DEADLINE)
    return NotRun(Reason.TOO_LARGE)


def _make_extra(reply: Reply) -> list[Header]:
    extra = []
    if reply.root_id:
        extra.append(Header(names.ROOT, reply.root_id))
    if reply.next_key:
        extra.append(Header(names.NEXT_KEY, reply.next_key))
    return extra


def convert_request(request: HttpRequest) -> Request:
    """Return the content of a call that came over HTTP.

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
    """Return the HTTP answer that tells a verdict."""
    own = (*make_verdict_headers(verdict), *extra)
    match verdict:
        case Answered(status, headers, body):
            return HttpReply(status, (*headers, *own), body)
    return HttpReply(choose_status(verdict), own)
