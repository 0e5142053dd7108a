"""Handlers of the admin interface for state, members, metrics and drain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from eelgrassmount.admin.json import make_json_reply
from eelgrassmount.edge.http import HttpReply, HttpRequest
from eelgrassmount.verdict import Header

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.admin.listener import AdminHandler
    from eelgrassmount.load.port import ServerDispatcher
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.shared_node_state import SharedNodeState


def make_state_handler(
    shared_state: SharedNodeState,
    server_dispatcher: ServerDispatcher,
    count_running: Callable[[], int],
) -> AdminHandler:
    """Return the handler of ``GET /state``."""

    async def show_state(request: HttpRequest) -> HttpReply:
        load = server_dispatcher.describe()
        return make_json_reply(
            200,
            {
                "address": shared_state.identity.address,
                "failure_domain": shared_state.identity.failure_domain,
                "region": shared_state.identity.region,
                "incarnation": shared_state.identity.incarnation,
                "service": shared_state.server.service,
                "server_address": shared_state.server.address,
                "server_state": shared_state.server.state.name.lower(),
                "drain": shared_state.drain.name.lower(),
                "config_version": shared_state.configuration.version,
                "log_reachable": shared_state.log_reachable,
                "threshold": load.threshold,
                "headroom": load.headroom,
                "in_flight": count_running(),
            },
        )

    return show_state


def make_members_handler(shared_state: SharedNodeState) -> AdminHandler:
    """Return the handler of ``GET /members``."""

    async def show_members(request: HttpRequest) -> HttpReply:
        table = shared_state.members
        return make_json_reply(
            200,
            {
                "members": [_describe_member(item) for item in table.members.values()],
                "summaries": [
                    _describe_summary(item) for item in table.summaries.values()
                ],
            },
        )

    return show_members


def _describe_member(member: Any) -> dict[str, Any]:
    return {
        "address": member.identity.address,
        "failure_domain": member.identity.failure_domain,
        "incarnation": member.identity.incarnation,
        "state": member.state.name.lower(),
        "service": member.service,
        "server_state": member.server_state.name.lower(),
        "headroom": member.headroom,
        "heartbeat": member.heartbeat,
    }


def _describe_summary(summary: Any) -> dict[str, Any]:
    return {
        "failure_domain": summary.failure_domain,
        "service": summary.service,
        "servers": summary.servers,
        "headroom": summary.headroom,
        "addresses": list(summary.addresses),
    }


def make_metrics_handler(metrics: Metrics) -> AdminHandler:
    """Return the handler of ``GET /metrics``."""

    async def show_metrics(request: HttpRequest) -> HttpReply:
        body = generate_latest(metrics.registry)
        return HttpReply(200, (Header("content-type", CONTENT_TYPE_LATEST),), body)

    return show_metrics


def make_drain_handler(start_drain: Callable[[], None]) -> AdminHandler:
    """Return the handler of ``POST /drain``."""

    async def drain(request: HttpRequest) -> HttpReply:
        start_drain()
        return make_json_reply(202, {"message": "draining"})

    return drain
