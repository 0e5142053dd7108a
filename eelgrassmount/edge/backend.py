"""Listener for the backend server on this VM."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger

from eelgrassmount.edge import headers as names
from eelgrassmount.edge.caller import convert_request, judge_body_error, make_reply
from eelgrassmount.edge.headers import find_header
from eelgrassmount.edge.http import (
    HttpReply,
    HttpRequest,
    read_request,
    reject_body,
    run_until_disconnect,
    send_reply,
)
from eelgrassmount.errors import AnnouncementError, BodyTooLongError
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.downstream import Downstream
    from eelgrassmount.edge.announcements import Announcements
    from eelgrassmount.edge.http import Receive, Send
    from eelgrassmount.verdict import Verdict

ANNOUNCEMENT_PATH = "/_eelgrassmount/server"


@define(eq=False)
class BackendListener:
    """ASGI application for announcements and downstream calls."""

    announcements: Announcements
    downstream: Downstream
    max_body_bytes: int

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Answer one request of the backend server."""
        try:
            request = await read_request(scope, receive, self.max_body_bytes)
        except BodyTooLongError as error:
            await reject_body(receive, send, make_reply(judge_body_error(error), []))
            return
        if request is None:
            return
        if request.path == ANNOUNCEMENT_PATH:
            await send_reply(send, self._announce(request))
            return

        async def run() -> Verdict:
            try:
                return await self._call(request)
            except Exception:
                logger.exception("downstream call failed with an internal error")
                return MayHaveRun(Reason.INTERNAL)

        verdict = await run_until_disconnect(scope, run)
        if verdict is not None:
            await send_reply(send, make_reply(verdict, []))

    def _announce(self, request: HttpRequest) -> HttpReply:
        if request.method == "DELETE":
            self.announcements.remove()
            return HttpReply(200)
        if request.method != "PUT":
            return HttpReply(405, body=b"announce with PUT or DELETE\n")
        try:
            answer = self.announcements.apply(request.body)
        except AnnouncementError as error:
            return HttpReply(400, body=f"{error}\n".encode())
        return HttpReply(200, body=json.dumps(answer).encode())

    async def _call(self, request: HttpRequest) -> Verdict:
        parent_id = find_header(request.headers, names.PARENT)
        if parent_id is None:
            return NotRun(Reason.MALFORMED)
        call_name = find_header(request.headers, names.CALL_NAME) or ""
        return await self.downstream.handle(
            parent_id, call_name, convert_request(request)
        )
