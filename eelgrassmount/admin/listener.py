"""The HTTP listener of the admin interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from attrs import define, field
from loguru import logger

from eelgrassmount.admin.json import make_json_reply
from eelgrassmount.edge.http import HttpRequest, read_request, send_reply
from eelgrassmount.errors import BodyTooLongError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from eelgrassmount.edge.http import HttpReply, Receive, Send

    AdminHandler = Callable[[HttpRequest], Awaitable[HttpReply]]


@dataclass(frozen=True, slots=True)
class AdminRoute:
    """A method and a path of the admin interface."""

    method: str
    path: str


@define(eq=False)
class AdminListener:
    """The ASGI application of the admin interface."""

    max_body_bytes: int
    _handlers: dict[AdminRoute, AdminHandler] = field(factory=dict)

    def add(self, method: str, path: str, handler: AdminHandler) -> None:
        """Register the handler of a method and path."""
        self._handlers[AdminRoute(method, path)] = handler

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Handle one admin request."""
        try:
            request = await read_request(scope, receive, self.max_body_bytes)
        except BodyTooLongError:
            text = f"the body is longer than {self.max_body_bytes} bytes"
            await send_reply(send, make_json_reply(413, {"message": text}))
            return
        if request is not None:
            await send_reply(send, await self._answer(request))

    async def _answer(self, request: HttpRequest) -> HttpReply:
        handler = self._handlers.get(AdminRoute(request.method, request.path))
        if handler is None:
            return self._explain_missing(request)
        try:
            return await handler(request)
        except Exception:
            logger.exception("an admin request failed on a programming error")
            return make_json_reply(500, {"message": "internal error, see the log"})

    def _explain_missing(self, request: HttpRequest) -> HttpReply:
        methods = [
            route.method for route in self._handlers if route.path == request.path
        ]
        if methods:
            text = f"use {' or '.join(methods)} for {request.path}"
            return make_json_reply(405, {"message": text})
        paths = sorted({route.path for route in self._handlers})
        text = f"no such path; there are {', '.join(paths)}"
        return make_json_reply(404, {"message": text})
