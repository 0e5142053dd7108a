"""The nodes that this node knows."""

from __future__ import annotations

from collections import UserDict
from enum import IntEnum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping, ValuesView


class MemberState(IntEnum):
    """What is thought of a node, in order of precedence for one heartbeat."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class ServerState(IntEnum):
    """What a backend server says of itself."""

    ABSENT = 0
    STARTING = 1
    SERVING = 2
    DRAINING = 3


@frozen
class Identity:
    """Who a node is. A restarted process is a new incarnation."""

    address: str
    failure_domain: str
    region: str
    incarnation: str


@frozen
class Member:
    """One node with its backend server, as known here.

    ``heartbeat`` grows at its owner; a higher one replaces a lower one of the
    same incarnation. ``started`` orders the incarnations at one address.
    ``threshold`` and ``headroom`` are the node's last word on its load.
    ``held`` is this node's own decision to give no new work to a member that
    came back from a suspicion once too often.
    """

    identity: Identity
    heartbeat: int = 0
    state: MemberState = MemberState.ALIVE
    service: str = ""
    server_state: ServerState = ServerState.ABSENT
    headroom: int = 0
    threshold: int = 0
    started: int = 0
    heard_s: float = 0.0
    held: bool = False

    @property
    def present(self) -> bool:
        """Tell whether the node counts as a member, suspected or not."""
        return self.state <= MemberState.SUSPECT

    @property
    def serves(self) -> bool:
        """Tell whether new work may be sent to this node's backend server."""
        return self.could_serve and not self.held

    @property
    def could_serve(self) -> bool:
        """Tell whether the node is up and its server serves, held or not."""
        return (
            self.state is MemberState.ALIVE and self.server_state is ServerState.SERVING
        )


@frozen
class ServiceSummary:
    """What another failure domain says of one service."""

    failure_domain: str
    service: str
    sequence: int
    servers: int
    headroom: int
    threshold: int
    addresses: tuple[str, ...]
    heard_s: float = 0.0


class SummaryTable(UserDict[tuple[str, str], ServiceSummary]):
    """Summaries by failure domain and service, which are found by service too.

    There may be thousands of them, and each call looks for those of its service.
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
    """All members of the own failure domain and summaries of the others."""

    members: dict[str, Member] = field(factory=dict)
    summaries: SummaryTable = field(factory=SummaryTable, converter=SummaryTable)

    def find_serving(self, service: str) -> list[Member]:
        """Return the members of the own failure domain that serve a service."""
        return [
            member
            for member in self.members.values()
            if member.service == service and member.serves
        ]

    def find_held(self, service: str) -> list[Member]:
        """Return the members that would serve a service but are held back."""
        return [
            member
            for member in self.members.values()
            if member.service == service and member.could_serve and member.held
        ]

    def find_summaries(self, service: str) -> list[ServiceSummary]:
        """Return what the other failure domains say of a service."""
        return [
            summary for summary in self.summaries.find(service) if summary.servers > 0
        ]
