"""Members of the local failure domain and summaries of the others."""

from __future__ import annotations

from collections import UserDict
from enum import IntEnum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping, ValuesView


class MemberState(IntEnum):
    """State of a node; of reports with equal heartbeats the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class ServerState(IntEnum):
    """State of a backend server, as announced by its node."""

    ABSENT = 0
    STARTING = 1
    SERVING = 2
    DRAINING = 3


@frozen
class Identity:
    """The identity of a node. A restarted process is a new incarnation."""

    address: str
    failure_domain: str
    region: str
    incarnation: str


@frozen
class Member:
    """The last known state of a node and of its backend server.

    Only the node itself raises ``heartbeat``; a higher one replaces a lower one
    of the same incarnation. ``started`` orders the incarnations at one address.
    ``threshold`` and ``headroom`` describe the load that the node last announced.
    ``held`` is a local decision: a member that repeatedly returned from
    suspicions gets no new work for a while. ``received_s`` is the time at which the
    report was received.
    """

    identity: Identity
    heartbeat: int = 0
    state: MemberState = MemberState.ALIVE
    service: str = ""
    server_state: ServerState = ServerState.ABSENT
    headroom: int = 0
    threshold: int = 0
    started: int = 0
    received_s: float = 0.0
    held: bool = False

    @property
    def present(self) -> bool:
        """Return whether the node is alive or suspected."""
        return self.state <= MemberState.SUSPECT

    @property
    def serves(self) -> bool:
        """Return whether new work may be sent to this node's backend server."""
        return self.could_serve and not self.held

    @property
    def could_serve(self) -> bool:
        """Return whether the node is alive and its server serves, held or not."""
        return (
            self.state is MemberState.ALIVE and self.server_state is ServerState.SERVING
        )


@frozen
class ServiceSummary:
    """The state of one service in a failure domain, as published by a delegate."""

    failure_domain: str
    service: str
    sequence: int
    servers: int
    headroom: int
    threshold: int
    addresses: tuple[str, ...]
    received_s: float = 0.0


class SummaryTable(UserDict[tuple[str, str], ServiceSummary]):
    """Summaries by failure domain and service, with an index by service.

    Each call looks up the summaries of its service among possibly thousands.
    """

    def __init__(
        self, items: Mapping[tuple[str, str], ServiceSummary] | None = None
    ) -> None:
        self._by_service: dict[str, dict[str, ServiceSummary]] = {}
        super().__init__(items)

    def __setitem__(self, key: tuple[str, str], summary: ServiceSummary) -> None:
        super().__setitem__(key, summary)
        failure_domain, service = key
        self._by_service.setdefault(service, {})[failure_domain] = summary

    def __delitem__(self, key: tuple[str, str]) -> None:
        super().__delitem__(key)
        failure_domain, service = key
        del self._by_service[service][failure_domain]
        if not self._by_service[service]:
            del self._by_service[service]

    def values(self) -> ValuesView[ServiceSummary]:
        """Return all summaries."""
        return self.data.values()

    def find(self, service: str) -> ValuesView[ServiceSummary]:
        """Return the summaries of a service."""
        return self._by_service.get(service, {}).values()


@define
class MemberTable:
    """Members of the local failure domain and summaries of the others."""

    members: dict[str, Member] = field(factory=dict)
    summaries: SummaryTable = field(factory=SummaryTable, converter=SummaryTable)

    def find_serving(self, service: str) -> list[Member]:
        """Return the members of the local failure domain that serve a service."""
        return [
            member
            for member in self.members.values()
            if member.service == service and member.serves
        ]

    def find_held(self, service: str) -> list[Member]:
        """Return the members that serve a service but are held back."""
        return [
            member
            for member in self.members.values()
            if member.service == service and member.could_serve and member.held
        ]

    def find_summaries(self, service: str) -> list[ServiceSummary]:
        """Return the other failure domains' summaries of a service with servers."""
        return [
            summary for summary in self.summaries.find(service) if summary.servers > 0
        ]
