"""What a node proposes for the views of the slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field, frozen

from eelgrassmount.keys.placement import (
    NO_NODE,
    NodeId,
    choose_readers,
    identify_node,
    rank_for_slot,
    sort_nodes,
)
from eelgrassmount.keys.views import Proposal, View
from eelgrassmount.members.table import MemberState, ServerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from eelgrassmount.members.table import Member

MOVES_AT_ONCE = 4


@frozen
class Roster:
    """The nodes of the own failure domain as a plan sees them.

    ``fit`` are those that may hold slots, ``gone`` those known not to come back
    or thought dead, ``settled`` tells that the list has not changed for a while.
    """

    me: NodeId
    fit: tuple[NodeId, ...]
    known: frozenset[NodeId]
    gone: frozenset[NodeId]
    settled: bool = False
    readers: tuple[NodeId, ...] = field(eq=False, init=False)

    def __attrs_post_init__(self) -> None:
        """Choose the readers once, as they are asked for all the time."""
        object.__setattr__(self, "readers", tuple(choose_readers(self.fit)))

    def is_gone(self, node: NodeId) -> bool:
        """Tell whether a node is dead, has left, or has been replaced."""
        if node.address == self.me.address:
            return node != self.me
        return node in self.gone or (self.settled and node not in self.known)

    @property
    def is_delegate(self) -> bool:
        """Tell whether this node proposes for slots that nobody holds."""
        return self.readers[:1] == (self.me,)


@frozen
class SlotStanding:
    """What this node knows of one slot besides its view.

    ``synced``: as primary, the backup has everything; as backup, it has
    everything itself. ``waiting``: a lost view's waiting time is not known to be over.
    """

    view: View
    synced: bool
    waiting: bool


def build_roster(me: NodeId, members: Iterable[Member], leaving: bool) -> Roster:
    """Return the roster of a failure domain from its members, not yet settled."""
    fit = set() if leaving else {me}
    known = {me}
    gone = set()
    for member in members:
        node = identify_node(member.identity)
        # whoever else is known at the own address has been replaced by this node
        if node.address == me.address:
            continue
        known.add(node)
        if member.state in (MemberState.DEAD, MemberState.LEFT):
            gone.add(node)
        elif member.state is MemberState.ALIVE and _is_staying(member):
            fit.add(node)
    return Roster(me, tuple(sort_nodes(fit)), frozenset(known), frozenset(gone))


def _is_staying(member: Member) -> bool:
    return member.server_state is not ServerState.DRAINING


def plan_proposals(
    standings: Iterable[SlotStanding], roster: Roster, from_start: bool
) -> list[Proposal]:
    """Return the proposals that this node should write now.

    Repairs come first; moves towards the ranked nodes follow when nothing is
    to be repaired, few at a time. ``from_start`` tells that the stream has been
    read from its very first record, so that a slot without a view has
    certainly never had one.
    """
    standings = list(standings)
    repairs = [_plan_repair(standing, roster, from_start) for standing in standings]
    proposals = [proposal for proposal in repairs if proposal is not None]
    if proposals or not roster.settled:
        return proposals
    moves = [_plan_move(standing, roster) for standing in standings]
    return [proposal for proposal in moves if proposal is not None][:MOVES_AT_ONCE]


def _plan_repair(
    standing: SlotStanding, roster: Roster, from_start: bool
) -> Proposal | None:
    view = standing.view
    if not view.version:
        return _plan_first(view, roster, from_start)
    if view.primary == roster.me:
        return _plan_as_primary(standing, roster)
    if not roster.is_gone(view.primary):
        return _plan_as_leaver(standing, roster)
    if view.backup == roster.me:
        lost = standing.waiting or not standing.synced
        return _propose(view, (roster.me,), roster, lost)
    if not view.backup or roster.is_gone(view.backup):
        return _propose(view, (), roster, True) if roster.is_delegate else None
    return None


def _plan_first(view: View, roster: Roster, from_start: bool) -> Proposal | None:
    if not roster.settled or not roster.is_delegate:
        return None
    return _propose(view, (), roster, lost=not from_start)


def _plan_as_primary(standing: SlotStanding, roster: Roster) -> Proposal | None:
    view = standing.view
    others = [node for node in roster.fit if node != roster.me]
    if roster.me not in roster.fit:
        # leaving: the backup takes over, with all that this node has
        if standing.synced and view.backup and not roster.is_gone(view.backup):
            return _propose(view, (view.backup,), roster, standing.waiting)
        if view.backup and not roster.is_gone(view.backup):
            return None
    if view.backup and not roster.is_gone(view.backup):
        return None
    if not others and not view.backup:
        return None
    return _propose(view, (roster.me,), roster, standing.waiting)


def _plan_as_leaver(standing: SlotStanding, roster: Roster) -> Proposal | None:
    view = standing.view
    if view.backup != roster.me or roster.me in roster.fit:
        return None
    return _propose(view, (view.primary,), roster, standing.waiting)


def _plan_move(standing: SlotStanding, roster: Roster) -> Proposal | None:
    view = standing.view
    if view.primary != roster.me or not standing.synced or standing.waiting:
        return None
    best = rank_for_slot(view.slot, roster.fit)[:2]
    if len(best) < 2 or [view.primary, view.backup] == best:
        return None
    if view.backup not in best:
        newcomer = best[0] if best[0] != roster.me else best[1]
        return Proposal(view.slot, view.version, roster.me, newcomer)
    if view.backup == best[0]:
        return Proposal(view.slot, view.version, best[0], best[1])
    # the backup is second: a first that is not in the pair becomes backup next
    return Proposal(view.slot, view.version, roster.me, best[0])


def _propose(
    view: View, keep: tuple[NodeId, ...], roster: Roster, lost: bool
) -> Proposal | None:
    ranked = [node for node in rank_for_slot(view.slot, roster.fit) if node not in keep]
    chosen = [*keep, *ranked][:2]
    if not chosen:
        return None
    backup = chosen[1] if len(chosen) > 1 else NO_NODE
    return Proposal(view.slot, view.version, chosen[0], backup, lost)
