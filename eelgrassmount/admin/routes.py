"""The routes of the admin interface."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from eelgrassmount.admin.config import publish_config, show_config, show_history
from eelgrassmount.admin.state import (
    make_drain_handler,
    make_members_handler,
    make_metrics_handler,
    make_state_handler,
)
from eelgrassmount.edge.http import HttpReply, HttpRequest
from eelgrassmount.verdict import Header

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.admin.config import JsonReply
    from eelgrassmount.admin.listener import AdminListener
    from eelgrassmount.config.follower import ConfigFollower
    from eelgrassmount.load.port import ServerDispatcher
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.shared_node_state import SharedNodeState

_JSON = (Header("content-type", "application/json"),)


def add_routes(
    listener: AdminListener,
    shared_state: SharedNodeState,
    server_dispatcher: ServerDispatcher,
    count_running: Callable[[], int],
    follower: ConfigFollower,
    metrics: Metrics,
    start_drain: Callable[[], None],
) -> None:
    """Add every route of the admin interface to its listener."""

    async def get_config(request: HttpRequest) -> HttpReply:
        return _convert(show_config(shared_state))

    async def get_history(request: HttpRequest) -> HttpReply:
        return _convert(await show_history(follower))

    async def post_config(request: HttpRequest) -> HttpReply:
        query = parse_qs(request.query)
        base = query.get("base", [None])[0]
        request_id = query.get("id", [""])[0]
        return _convert(await publish_config(follower, request.body, base, request_id))

    listener.add(
        "GET",
        "/state",
        make_state_handler(shared_state, server_dispatcher, count_running),
    )
    listener.add("GET", "/members", make_members_handler(shared_state))
    listener.add("GET", "/metrics", make_metrics_handler(metrics))
    listener.add("GET", "/config", get_config)
    listener.add("GET", "/config/history", get_history)
    listener.add("POST", "/config", post_config)
    listener.add("POST", "/drain", make_drain_handler(start_drain))


def _convert(reply: JsonReply) -> HttpReply:
    return HttpReply(reply.status, _JSON, reply.body + b"\n")
