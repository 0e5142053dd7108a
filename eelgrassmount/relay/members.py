"""The nodes of a deployment and what is known of their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Collection

    from eelgrassmount.relay.link import PeerLink

# a node that can't be reached is tried again after so long, doubled each time
RETRY_BASE_S = 0.25
RETRY_LIMIT_S = 3.0
# nodes that are known at most
MAX_MEMBERS = 10_000
# a report that is older says nothing about the load of now
MAX_REPORT_AGE_S = 1.5


@define(eq=False)
class MemberLoad:
    """What a node reported of its backend server.

    ``run_s`` is the mean duration of the runs of each route; ``demand`` the work
    that arrives as a part of what it can do, ``wait`` the mean wait at its gate as
    a part of what is allowed. ``failure_share`` is the share of its runs that failed,
    and ``lost_share`` that of those that failed with a call of theirs. ``request_counts`` says
    how often each route has lately been asked for on its VM, and ``vectors`` what the
    node has learned of the calls that runs of its server make.
    """

    accepting: bool = True
    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    demand: float = 0.0
    wait: float = 0.0
    failure_share: float = 0.0
    lost_share: float = 0.0
    run_s: dict[str, float] = field(factory=dict)
    request_counts: dict[str, float] = field(factory=dict)
    vectors: dict[str, dict[str, float]] = field(factory=dict)
    reported_s: float = 0.0


@define(eq=False)
class Member:
    """A node, the address of its link and its service.

    ``sent_since_report`` counts the calls sent since the load was last heard.
    """

    name: str
    address: str
    failure_domain: str
    service: str
    load: MemberLoad = field(factory=MemberLoad)
    link: PeerLink | None = None
    sent_since_report: int = 0
    last_used_s: float = 0.0
    connect_failures: int = 0
    retry_at_s: float = 0.0

    def is_connected(self) -> bool:
        """Tell whether calls to the node go out at once."""
        return self.link is not None and self.link.is_up()

    def mark_unreachable(self, now_s: float) -> None:
        """Leave the node alone for a while, longer each time."""
        delay_s = min(RETRY_LIMIT_S, RETRY_BASE_S * 2**self.connect_failures)
        self.connect_failures = min(self.connect_failures + 1, 8)
        self.retry_at_s = now_s + delay_s

    def mark_reachable(self) -> None:
        """Forget that the node could not be reached."""
        self.connect_failures = 0
        self.retry_at_s = 0.0

    def can_receive_calls(self, now_s: float) -> bool:
        """Tell whether the node may be sent a call.

        One that could not be reached has to be reached by a connection first.
        """
        if self.connect_failures:
            return False
        if self.link is not None and self.link.is_suspect(now_s):
            return False
        return self.is_accepting(now_s)

    def is_accepting(self, now_s: float) -> bool:
        """Tell whether the server takes work, unless the word of it is old."""
        load = self.load
        return load.accepting or now_s - load.reported_s > MAX_REPORT_AGE_S


@define(eq=False)
class MemberTable:
    """All known nodes, by name and by service.

    ``changes`` counts how often a node was added, replaced or forgotten; ``retired``
    holds the links of such nodes that still have calls.
    """

    changes: int = 0
    by_name: dict[str, Member] = field(factory=dict)
    by_service: dict[str, dict[str, Member]] = field(factory=dict)
    retired: list[PeerLink] = field(factory=list)

    def put(
        self, name: str, address: str, failure_domain: str, service: str
    ) -> Member | None:
        """Add or replace a node; return it if it is new or has changed.

        No more than `MAX_MEMBERS` are kept, see `is_full`.
        """
        if self.is_full(name):
            return None
        known = self.by_name.get(name)
        if known is not None:
            if known.address == address and known.service == service:
                return None
            self.remove(name)
        self.changes += 1
        member = Member(name, address, failure_domain, service)
        self.by_name[name] = member
        self.by_service.setdefault(service, {})[name] = member
        return member

    def is_full(self, name: str) -> bool:
        """Tell whether there is no room for a node that is not known yet."""
        return name not in self.by_name and len(self.by_name) >= MAX_MEMBERS

    def remove(self, name: str) -> Member | None:
        """Forget a node."""
        member = self.by_name.pop(name, None)
        if member is None:
            return None
        self.changes += 1
        found = self.by_service.get(member.service, {})
        found.pop(name, None)
        if member.link is not None:
            self.retired.append(member.link)
            member.link.retire()
        return member

    def list_retired(self) -> list[PeerLink]:
        """Return the links of forgotten nodes that still have calls."""
        self.retired = [link for link in self.retired if not link.closed]
        return self.retired

    def list_service(self, service: str) -> Collection[Member]:
        """Return the nodes of a service."""
        return self.by_service.get(service, {}).values()
