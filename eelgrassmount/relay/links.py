"""Which other nodes a node keeps links to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.relay.link import PeerLink

if TYPE_CHECKING:
    from eelgrassmount.relay.beliefs import Beliefs
    from eelgrassmount.relay.link import LinkHandlers
    from eelgrassmount.relay.members import Member

# links kept to the nodes of one service, those of the own failure domain first
MAX_LINKS_PER_SERVICE = 16
# with so few services, links to all of them are opened before they are needed; with
# more, a node would keep links to thousands of nodes that it never calls
MAX_EAGER_SERVICES = 8


@frozen
class LinkSelection:
    """The nodes of a service that links are kept to, while no node has changed."""

    changes: int
    members: list[Member]


@define(eq=False)
class LinkManager:
    """Opens the links that are wanted, and finds those that are silent."""

    beliefs: Beliefs
    events: LinkHandlers
    _selections: dict[str, LinkSelection] = field(factory=dict)

    def maintain_links(self) -> None:
        """Find silent links, and open those that are wanted and missing."""
        beliefs = self.beliefs
        now_s = beliefs.clock()
        for member in beliefs.members.by_name.values():
            if member.link is not None:
                member.link.check_silence(now_s)
        for link in beliefs.members.list_retired():
            link.check_silence(now_s)
        for service in self._find_needed_services():
            for member in self._select_members(service):
                if member.name != beliefs.name and now_s >= member.retry_s:
                    self.open_link(member)

    def open_link(self, member: Member) -> None:
        """Open the link to a node unless it is open."""
        if member.link is None:
            member.link = PeerLink(member, self.beliefs.clock, self.events)
        member.link.connect()

    def _find_needed_services(self) -> set[str]:
        """Return the services that requests of this VM need, directly or not."""
        beliefs = self.beliefs
        routes = beliefs.table.routes
        if len(beliefs.members.by_service) <= MAX_EAGER_SERVICES:
            return {
                target.service for route in routes.values() for target in route.targets
            }
        return {
            service
            for name in beliefs.called_before
            if name in routes
            for service in beliefs.graph.count_calls(routes[name], beliefs.table)
        }

    def _select_members(self, service: str) -> list[Member]:
        members = self.beliefs.members
        chosen = self._selections.get(service)
        if chosen is None or chosen.changes != members.changes:
            chosen = LinkSelection(members.changes, self._rank_members(service))
            self._selections[service] = chosen
        return chosen.members

    def _rank_members(self, service: str) -> list[Member]:
        found = list(self.beliefs.members.list_service(service))
        if len(found) <= MAX_LINKS_PER_SERVICE:
            return found
        # nodes choose differently, and each stays with its choice
        own = self.beliefs.name
        found.sort(
            key=lambda member: (
                member.failure_domain != self.beliefs.failure_domain,
                hash((own, member.name)),
            )
        )
        return found[:MAX_LINKS_PER_SERVICE]
