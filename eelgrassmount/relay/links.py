"""Which other nodes a node keeps links to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.relay.link import PeerLink

if TYPE_CHECKING:
    from eelgrassmount.relay.link import LinkEvents
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.shared_state import SharedState

# links kept to the nodes of one service, those of the own failure domain first
MAX_LINKS = 16
# with so few services, links to all of them are opened before they are needed; with
# more, a node would keep links to thousands of nodes that it never calls
EAGER_SERVICES = 8


@frozen
class ChosenLinks:
    """The nodes of a service that links are kept to, while no node has changed."""

    changes: int
    members: list[Member]


@define(eq=False)
class LinkKeeper:
    """Opens the links that are wanted, and finds those that are silent."""

    beliefs: SharedState
    events: LinkEvents
    _chosen: dict[str, ChosenLinks] = field(factory=dict)

    def watch_links(self) -> None:
        """Find silent links, and open those that are wanted and missing."""
        beliefs = self.beliefs
        now_s = beliefs.clock()
        for member in beliefs.members.by_name.values():
            if member.link is not None:
                member.link.check_silence(now_s)
        for link in beliefs.members.list_retired():
            link.check_silence(now_s)
        for service in self._list_wanted():
            for member in self._choose_links(service):
                if member.name != beliefs.name and now_s >= member.retry_at_s:
                    self.open_link(member)

    def open_link(self, member: Member) -> None:
        """Open the link to a node unless it is open."""
        if member.link is None:
            member.link = PeerLink(member, self.beliefs.clock, self.events)
        member.link.connect()

    def _list_wanted(self) -> set[str]:
        """Return the services that requests of this VM need, directly or not."""
        beliefs = self.beliefs
        routes = beliefs.table.routes
        if len(beliefs.members.by_service) <= EAGER_SERVICES:
            return {
                target.service for route in routes.values() for target in route.targets
            }
        return {
            service
            for name in beliefs.request_counts
            if name in routes
            for service in beliefs.graph.count_calls(routes[name], beliefs.table)
        }

    def _choose_links(self, service: str) -> list[Member]:
        members = self.beliefs.members
        chosen = self._chosen.get(service)
        if chosen is None or chosen.changes != members.changes:
            chosen = ChosenLinks(members.changes, self._rank_links(service))
            self._chosen[service] = chosen
        return chosen.members

    def _rank_links(self, service: str) -> list[Member]:
        found = list(self.beliefs.members.list_service(service))
        if len(found) <= MAX_LINKS:
            return found
        # nodes choose differently, and each stays with its choice
        own = self.beliefs.name
        found.sort(
            key=lambda member: (
                member.failure_domain != self.beliefs.failure_domain,
                hash((own, member.name)),
            )
        )
        return found[:MAX_LINKS]
