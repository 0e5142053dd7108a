"""Table of the nodes of a deployment and their reported load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Collection

    from eelgrassmount.relay.link import PeerLink
    from eelgrassmount.relay.rejections import Rejections
    from eelgrassmount.relay.server_notices import ServerNotice

# Delay before the next connection to an unreachable node; doubles with each failure.
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 3.0
MAX_MEMBERS = 10_000
# Older reports are ignored.
MAX_REPORT_AGE_S = 1.5


@define(eq=False, repr=False)
class MemberLoad:
    """Load of a backend server as reported by its node.

    ``limit`` is the number of calls that run at once at most, or on average if the
    server names a rate limit.
    ``run_s`` is the mean duration of the runs of each route. ``demand`` is the arriving
    work as a fraction of capacity, ``wait`` the mean wait at the dispatcher as a
    fraction of the maximum mean wait. ``failure_share`` is the share of runs that
    failed, ``lost_share`` that of runs that failed because a call of theirs failed.
    ``request_counts`` counts the recent requests on the VM by route, and ``vectors``
    are the calls per run that the node has estimated. ``rejections`` is set while the
    server rejects calls.
    """

    accepting: bool = True
    in_flight: int = 0
    queued: int = 0
    limit: float = 0
    demand: float = 0.0
    wait: float = 0.0
    failure_share: float = 0.0
    lost_share: float = 0.0
    run_s: dict[str, float] = field(factory=dict)
    request_counts: dict[str, float] = field(factory=dict)
    vectors: dict[str, dict[str, float]] = field(factory=dict)
    rejections: Rejections | None = None
    reported_s: float = 0.0


@define(eq=False, repr=False)
class Member:
    """A node: its link address, service, load and the state of its link.

    ``notice`` is what its server has last said about itself, ``None`` if nothing
    restricts calls to it. ``sent_since_report`` counts the calls sent since the last
    report of its load.
    """

    name: str
    address: str
    failure_domain: str
    service: str
    load: MemberLoad = field(factory=MemberLoad)
    link: PeerLink | None = None
    notice: ServerNotice | None = None
    sent_since_report: int = 0
    last_used_s: float = 0.0
    connect_failures: int = 0
    retry_at_s: float = 0.0

    def is_connected(self) -> bool:
        """Return whether the link to the node is up."""
        return self.link is not None and self.link.is_up()

    def mark_unreachable(self, now_s: float) -> None:
        """Delay the next connection attempt, with exponential backoff."""
        delay_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2**self.connect_failures)
        self.connect_failures = min(self.connect_failures + 1, 8)
        self.retry_at_s = now_s + delay_s

    def mark_reachable(self) -> None:
        """Reset the backoff after a successful connection."""
        self.connect_failures = 0
        self.retry_at_s = 0.0

    def can_receive_calls(self, now_s: float) -> bool:
        """Return whether calls may be sent to the node.

        An unreachable node gets no calls until a connection to it succeeds.
        """
        if self.connect_failures:
            return False
        link = self.link
        if link is not None and link.is_suspect(now_s):
            return False
        load = self.load
        return load.accepting or now_s - load.reported_s > MAX_REPORT_AGE_S

    def is_accepting(self, now_s: float) -> bool:
        """Return whether the server accepts work, or its last report is too old."""
        load = self.load
        return load.accepting or now_s - load.reported_s > MAX_REPORT_AGE_S


@define(eq=False, repr=False)
class MemberTable:
    """All known nodes, by name and by service.

    ``changes`` counts additions, replacements and removals of nodes; ``retired`` holds
    the links of removed nodes until their calls have finished.
    """

    changes: int = 0
    by_name: dict[str, Member] = field(factory=dict)
    by_service: dict[str, dict[str, Member]] = field(factory=dict)
    retired: list[PeerLink] = field(factory=list)

    def put(
        self, name: str, address: str, failure_domain: str, service: str
    ) -> Member | None:
        """Add or replace a node; return it if it is new or has changed.

        The table holds at most `MAX_MEMBERS` nodes, see `is_full`.
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
        """Return whether a node is unknown and the table has no room for it."""
        return name not in self.by_name and len(self.by_name) >= MAX_MEMBERS

    def remove(self, name: str) -> Member | None:
        """Remove a node and retire its link."""
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
        """Return the links of removed nodes that are not closed yet."""
        self.retired = [link for link in self.retired if not link.closed]
        return self.retired

    def list_service(self, service: str) -> Collection[Member]:
        """Return the nodes of a service."""
        return self.by_service.get(service, {}).values()
