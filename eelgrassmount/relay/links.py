"""Selection and upkeep of the links to other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.relay.link import PeerLink

if TYPE_CHECKING:
    from eelgrassmount.relay.link import LinkHandlers
    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.routes import RouteTable
    from eelgrassmount.relay.shared_state import SharedState

MAX_LINKS_PER_SERVICE = 16
# Up to this number, links to all services are opened before they are needed.
MAX_EAGER_SERVICES = 8


@frozen
class LinkSelection:
    """The members of a service that get links, valid until the member table changes."""

    changes: int
    members: list[Member]


@define(eq=False, repr=False)
class LinkManager:
    """Opens links to the nodes of the services in use and checks them for silence."""

    state: SharedState
    handlers: LinkHandlers
    _selections: dict[str, LinkSelection] = field(factory=dict)
    _listed_table: RouteTable | None = None
    _target_services: set[str] = field(factory=set)

    def maintain_links(self) -> None:
        """Check all links for silence and open the missing ones."""
        state = self.state
        now_s = state.clock()
        for member in state.members.by_name.values():
            link = member.link
            if link is not None:
                link.check_silence(now_s)
        for link in state.members.list_retired():
            link.check_silence(now_s)
        for service in self._find_needed_services():
            for member in self._select_members(service):
                link = member.link
                if link is not None and link.is_up():
                    continue
                if member.name != state.name and now_s >= member.retry_at_s:
                    self.open_link(member)

    def open_link(self, member: Member) -> None:
        """Connect the link to a node, creating the link if there is none."""
        if member.link is None:
            member.link = PeerLink(member, self.state.clock, self.handlers)
        member.link.connect()

    def _find_needed_services(self) -> set[str]:
        """Return the services that requests of this VM call, directly or indirectly."""
        state = self.state
        routes = state.table.routes
        if len(state.members.by_service) <= MAX_EAGER_SERVICES:
            return self._list_target_services(state.table)
        return {
            service
            for name in state.request_counts
            if name in routes
            for service in state.graph.count_calls_by_service(routes[name], state.table)
        }

    def _list_target_services(self, table: RouteTable) -> set[str]:
        """Return the services of all routes."""
        if table is not self._listed_table:
            self._listed_table = table
            self._target_services = {
                target.service
                for route in table.routes.values()
                for target in route.targets
            }
        return self._target_services

    def _select_members(self, service: str) -> list[Member]:
        members = self.state.members
        selection = self._selections.get(service)
        if selection is None or selection.changes != members.changes:
            selection = LinkSelection(members.changes, self._rank_members(service))
            self._selections[service] = selection
        return selection.members

    def _rank_members(self, service: str) -> list[Member]:
        found = list(self.state.members.list_service(service))
        if len(found) <= MAX_LINKS_PER_SERVICE:
            return found
        # Members of the local failure domain come first. The hash spreads the links of
        # different nodes over all members; the order is stable within a process.
        local_name = self.state.name
        found.sort(
            key=lambda member: (
                member.failure_domain != self.state.failure_domain,
                hash((local_name, member.name)),
            )
        )
        return found[:MAX_LINKS_PER_SERVICE]
