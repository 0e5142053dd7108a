"""Handling of hellos, reports, configurations and crash reports of other nodes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.relay.control_loop import MS_PER_S, PER_MILLE, PPM
from eelgrassmount.relay.frames import QUOTA_KINDS, FrameKind
from eelgrassmount.relay.rejections import read_rejections
from eelgrassmount.relay.rows import read_rows
from eelgrassmount.relay.server_notices import read_notice
from eelgrassmount.retry.quarantine import QUARANTINE_S, Suspect

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.frames import FrameHandler
    from eelgrassmount.relay.heartbeats import ServerIncarnation
    from eelgrassmount.relay.job import Job
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.shared_state import SharedState
    from eelgrassmount.retry.quarantine import Quarantine
    from eelgrassmount.topics.readers import LogReaders


# Time before the same configuration version is requested from another node.
CONFIG_REQUEST_TIMEOUT_S = 0.3
# Source of a configuration from a node that does not give its name.
UNKNOWN_SOURCE = "unknown"


@define(eq=False, repr=False)
class PeerUpdates:
    """Applies updates from other nodes, and reports crashes to them."""

    state: SharedState
    quarantine: Quarantine
    apply_document: Callable[[bytes, str], None]
    broadcast: Callable[[FrameKind, object], None]
    readers: LogReaders
    handle_quota_frame: FrameHandler
    handle_slot_offer: Callable[[ttypes.RelaySlotOffer], None]
    _requested_version: int = 0
    _requested_s: float = -math.inf

    def handle_hello(self, member: Member, hello: ttypes.RelayHello) -> None:
        """Check which node accepted a link; replace the member if it is another one."""
        if hello.node_name != member.name or hello.service_name != member.service:
            logger.info(
                "unexpected node at address",
                peer=member.name,
                found=hello.node_name,
                service=hello.service_name,
            )
            address = member.address
            domain = member.failure_domain
            self.state.members.remove(member.name)
            if hello.node_name != self.state.name:
                self.state.members.put(
                    hello.node_name, address, domain, hello.service_name
                )
            return
        self._request_newer_config(member, hello.config_version)
        self.readers.handle_connected(member)

    def register_peer(self, hello: ttypes.RelayHello) -> bool:
        """Add the node that opened a link; return whether its configuration is newer.

        This is how a node that starts while the log is unavailable finds its peers.
        """
        state = self.state
        notice = read_notice(hello.notice)
        if notice is not None:
            state.server.apply_notice(notice)
        if hello.address and hello.node_name != state.name:
            state.members.put(
                hello.node_name,
                hello.address,
                hello.failure_domain,
                hello.service_name,
            )
        return (hello.config_version or 0) > state.table.version

    def handle_report(self, member: Member, report: ttypes.RelayReport) -> None:
        """Store the load of another node's backend server.

        Each report replaces the values of the current incarnation of the server. Only
        some reports carry call counts and vectors; the last ones are retained, also
        when the server restarts, since they don't depend on its incarnation.
        """
        load = member.load
        load.accepting = report.accepting
        load.in_flight = report.in_flight
        load.queued = report.queued
        load.limit = report.limit
        notice = read_notice(report.notice)
        # A node that has just started may not know its server yet.
        if notice is not None or report.accepting:
            member.notice = notice
        if report.usable_slots is not None:
            load.limit = report.usable_slots
        load.demand = report.demand / PER_MILLE
        load.wait = report.wait / PER_MILLE
        load.failure_share = report.failures_ppm / PPM
        load.lost_share = report.lost_ppm / PPM
        load.rejections = read_rejections(report.rejections)
        load.run_s = {time.route_name: time.run_ms / MS_PER_S for time in report.times}
        load.reported_s = self.state.clock()
        if report.counts:
            load.request_counts = {one.route_name: one.count for one in report.counts}
        member.sent_since_report = 0
        if report.calls:
            load.vectors = read_rows(report.calls)
        self._request_newer_config(member, report.config_version)

    def _request_newer_config(self, member: Member, version: int) -> None:
        if member.link is not None:
            self._request_config(version, member.link.send)

    def _request_config(
        self, version: int, send: Callable[[FrameKind, Any], None]
    ) -> None:
        """Request a newer configuration, from one node at a time.

        Several nodes announce a new version at once, and the document can be large.
        """
        local_version = self.state.table.version
        now_s = self.state.clock()
        requested = (
            version <= self._requested_version
            and now_s - self._requested_s < CONFIG_REQUEST_TIMEOUT_S
        )
        if version <= local_version or requested:
            return
        self._requested_version = version
        self._requested_s = now_s
        send(FrameKind.CONFIG_REQUEST, ttypes.RelayConfigRequest(local_version))

    def handle_frame(
        self, kind: FrameKind, struct: Any, send: Callable[[FrameKind, Any], None]
    ) -> None:
        """Handle a frame that either end of a link may send; reply with ``send``."""
        if kind in QUOTA_KINDS:
            self.handle_quota_frame(kind, struct, send)
        elif kind is FrameKind.SLOT_OFFER:
            self.handle_slot_offer(struct)
        elif kind is FrameKind.SUSPECTS:
            self.record_suspects(struct)
        elif kind is FrameKind.SUBSCRIBE:
            self.readers.handle_subscribe(struct, send)
        elif kind is FrameKind.NEWS:
            self.readers.handle_news(struct)
            self._request_config(struct.config_version, send)
        elif kind is FrameKind.CONFIG:
            self.handle_config(struct)
        elif kind is FrameKind.CONFIG_REQUEST:
            config = self.find_newer_config(struct.known_version)
            if config is not None:
                send(FrameKind.CONFIG, config)

    def handle_config(self, config: ttypes.RelayConfig) -> None:
        """Apply the configuration of another node if it is newer."""
        if config.version > self.state.table.version:
            self.apply_document(config.document, config.node_name or UNKNOWN_SOURCE)

    def find_newer_config(self, known_version: int) -> ttypes.RelayConfig | None:
        """Return the configuration if it is newer than ``known_version``."""
        state = self.state
        if state.table.version <= known_version:
            return None
        return ttypes.RelayConfig(state.table.version, state.document, state.name)

    def handle_crash(self, incarnation: ServerIncarnation, jobs: list[Job]) -> None:
        """Suspect the requests that ran when the server crashed, and notify all peers.

        A crash is identified by the server's incarnation: one crash detected twice
        counts once, and crashes of two incarnations count twice. Suspects outlive the
        incarnation, since their content may crash the next one too.
        """
        crash_id = f"{self.state.name}/{incarnation}"
        digests = [job.call.find_digest() for job in jobs]
        logger.warning(
            "server crashed",
            incarnation=str(incarnation),
            running=len(jobs),
            requests=[job.call.request_id for job in jobs[:4]],
        )
        suspects = ttypes.RelaySuspects(crash_id, digests)
        self.record_suspects(suspects)
        self.broadcast(FrameKind.SUSPECTS, suspects)

    def record_suspects(self, suspects: ttypes.RelaySuspects) -> None:
        """Count a crash against the request contents that ran at the time."""
        now_s = self.state.clock()
        crash_ids = frozenset([suspects.crash_id])
        self.quarantine.merge(
            [
                Suspect(digest, crash_ids, now_s + QUARANTINE_S)
                for digest in suspects.digests
            ],
            now_s,
        )
