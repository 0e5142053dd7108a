"""Planning of proposals for the views of the slots."""

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

MAX_MOVES_PER_PLAN = 4


@frozen
class Roster:
    """The nodes of the local failure domain, as input of planning.

    ``eligible`` nodes may hold slots. ``gone`` nodes have left or are considered dead.
    ``stable``: the list has not changed for `KeySettings.stable_s`.
    """

    node_id: NodeId
    eligible: tuple[NodeId, ...]
    known: frozenset[NodeId]
    gone: frozenset[NodeId]
    stable: bool = False
    readers: tuple[NodeId, ...] = field(eq=False, init=False)

    def __attrs_post_init__(self) -> None:
        """Choose the readers once, since they are read often."""
        object.__setattr__(self, "readers", tuple(choose_readers(self.eligible)))

    def is_gone(self, node: NodeId) -> bool:
        """Return whether a node is dead, has left, or has been replaced."""
        if node.address == self.node_id.address:
            return node != self.node_id
        return node in self.gone or (self.stable and node not in self.known)

    @property
    def is_delegate(self) -> bool:
        """Return whether this node proposes for slots without a live node."""
        return self.readers[:1] == (self.node_id,)


@frozen
class SlotStatus:
    """The state of one slot at this node, as input of planning.

    ``synced``: the backup has the whole table. ``waiting``: the waiting time of a lost
    view may still be running.
    """

    view: View
    synced: bool
    waiting: bool


def build_roster(node_id: NodeId, members: Iterable[Member], leaving: bool) -> Roster:
    """Return the roster of a failure domain; ``stable`` is not set."""
    eligible = set() if leaving else {node_id}
    known = {node_id}
    gone = set()
    for member in members:
        node = identify_node(member.identity)
        # this node has replaced any other incarnation at its address
        if node.address == node_id.address:
            continue
        known.add(node)
        if member.state in (MemberState.DEAD, MemberState.LEFT):
            gone.add(node)
        elif member.state is MemberState.ALIVE and _has_staying_server(member):
            eligible.add(node)
    return Roster(
        node_id, tuple(sort_nodes(eligible)), frozenset(known), frozenset(gone)
    )


def _has_staying_server(member: Member) -> bool:
    return member.server_state is not ServerState.DRAINING


def plan_proposals(
    statuses: Iterable[SlotStatus], roster: Roster, from_start: bool
) -> list[Proposal]:
    """Return the proposals that this node should write now.

    Repairs precede moves towards the ranked nodes; a plan has at most
    `MAX_MOVES_PER_PLAN` moves. ``from_start``: the stream was read from its first
    record, so a slot without a view never had one.
    """
    statuses = list(statuses)
    repairs = [_plan_repair(status, roster, from_start) for status in statuses]
    proposals = [proposal for proposal in repairs if proposal is not None]
    if proposals or not roster.stable:
        return proposals
    moves = [_plan_move(status, roster) for status in statuses]
    return [proposal for proposal in moves if proposal is not None][:MAX_MOVES_PER_PLAN]


def _plan_repair(
    status: SlotStatus, roster: Roster, from_start: bool
) -> Proposal | None:
    view = status.view
    if not view.version:
        return _plan_first(view, roster, from_start)
    if view.primary == roster.node_id:
        return _plan_as_primary(status, roster)
    if not roster.is_gone(view.primary):
        return _plan_as_leaving_backup(status, roster)
    if view.backup == roster.node_id:
        lost = status.waiting or not status.synced
        return _propose(view, (roster.node_id,), roster, lost)
    if not view.backup or roster.is_gone(view.backup):
        return _propose(view, (), roster, True) if roster.is_delegate else None
    return None


def _plan_first(view: View, roster: Roster, from_start: bool) -> Proposal | None:
    if not roster.stable or not roster.is_delegate:
        return None
    return _propose(view, (), roster, lost=not from_start)


def _plan_as_primary(status: SlotStatus, roster: Roster) -> Proposal | None:
    view = status.view
    others = [node for node in roster.eligible if node != roster.node_id]
    if roster.node_id not in roster.eligible:
        # this node leaves: a synced backup becomes primary
        if status.synced and view.backup and not roster.is_gone(view.backup):
            return _propose(view, (view.backup,), roster, status.waiting)
        if view.backup and not roster.is_gone(view.backup):
            return None
    if view.backup and not roster.is_gone(view.backup):
        return None
    if not others and not view.backup:
        return None
    return _propose(view, (roster.node_id,), roster, status.waiting)


def _plan_as_leaving_backup(status: SlotStatus, roster: Roster) -> Proposal | None:
    view = status.view
    if view.backup != roster.node_id or roster.node_id in roster.eligible:
        return None
    return _propose(view, (view.primary,), roster, status.waiting)


def _plan_move(status: SlotStatus, roster: Roster) -> Proposal | None:
    view = status.view
    if view.primary != roster.node_id or not status.synced or status.waiting:
        return None
    best = rank_for_slot(view.slot, roster.eligible)[:2]
    if len(best) < 2 or [view.primary, view.backup] == best:
        return None
    if view.backup not in best:
        newcomer = best[0] if best[0] != roster.node_id else best[1]
        return Proposal(view.slot, view.version, roster.node_id, newcomer)
    if view.backup == best[0]:
        return Proposal(view.slot, view.version, best[0], best[1])
    # the backup ranks second: the first-ranked node becomes backup before it moves up
    return Proposal(view.slot, view.version, roster.node_id, best[0])


def _propose(
    view: View, keep: tuple[NodeId, ...], roster: Roster, lost: bool
) -> Proposal | None:
    ranked = [
        node for node in rank_for_slot(view.slot, roster.eligible) if node not in keep
    ]
    chosen = [*keep, *ranked][:2]
    if not chosen:
        return None
    backup = chosen[1] if len(chosen) > 1 else NO_NODE
    return Proposal(view.slot, view.version, chosen[0], backup, lost)
