"""The listeners of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from eelgrassmount.admin.listener import AdminListener
from eelgrassmount.admin.routes import add_routes
from eelgrassmount.calls.handlers import CallHandlers
from eelgrassmount.compose.node import Node
from eelgrassmount.drain.stages import Cause
from eelgrassmount.edge.backend import BackendListener
from eelgrassmount.edge.caller import CallerListener
from eelgrassmount.edge.http import serve_http
from eelgrassmount.peer.listener import PeerListener
from eelgrassmount.shared_node_state import DrainStage, SharedNodeState

if TYPE_CHECKING:
    pass

JOIN_TIMEOUT_S = 3.0
JOIN_POLL_INTERVAL_S = 0.05


async def listen_to_peers(node: Node) -> None:
    """Start the listener for messages of other nodes."""
    base = node.base
    calls = CallHandlers(
        base.timers,
        node.path.table,
        node.path.local,
        node.keys.handle_forwarded,
        node.path.in_flight,
        base.metrics,
    )
    listener = PeerListener(
        base.shared_state.identity,
        base.settings.peer_address,
        base.settings.max_frame_bytes,
        {
            **calls.make_handlers(),
            **node.membership.handlers(),
            **node.follower.handlers(),
            **node.keys.handlers(),
        },
        base.metrics,
    )
    await listener.start(base.tasks)


async def listen_to_http(node: Node) -> None:
    """Start the HTTP listeners for operators, the backend server and callers."""
    base = node.base
    max_body_bytes = base.settings.max_body_bytes
    admin = AdminListener(max_body_bytes)
    add_routes(
        admin,
        base.shared_state,
        node.path.server_dispatcher,
        node.path.table.count_running,
        node.follower,
        base.metrics,
        lambda: node.shutdown.request(Cause.ADMIN),
    )
    backend = BackendListener(
        node.path.announcements, node.path.downstream, max_body_bytes
    )
    caller = CallerListener(
        node.entry,
        max_body_bytes,
        base.metrics,
        node.path.in_flight,
        lambda: base.shared_state.drain is not DrainStage.RUNNING,
    )
    await serve_http(admin, base.settings.admin_address, base.tasks)
    await serve_http(backend, base.settings.backend_address, base.tasks)
    await _wait_until_joined(base.shared_state)
    server = await serve_http(
        caller, base.settings.caller_address, base.tasks, caller.record_malformed
    )
    node.callers.append(server)


async def _wait_until_joined(shared_state: SharedNodeState) -> None:
    """Wait until this node can route requests, for at most `JOIN_TIMEOUT_S`.

    After the timeout the node accepts callers without a configuration or other
    members, since it may be the only node.
    """
    with anyio.move_on_after(JOIN_TIMEOUT_S):
        while not _has_joined(shared_state):
            await anyio.sleep(JOIN_POLL_INTERVAL_S)


def _has_joined(shared_state: SharedNodeState) -> bool:
    domains = shared_state.configuration.document.failure_domains
    has_local_peers = len(shared_state.members.members) > 1
    has_remote_peers = len(domains) < 2 or bool(shared_state.members.summaries)
    configured = shared_state.configuration.version > 0 and shared_state.log_reachable
    return configured and has_local_peers and has_remote_peers
