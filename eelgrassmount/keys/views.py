"""Which node holds a slot: views, decided by compare-and-set through the log."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.keys.placement import NO_NODE, SLOT_COUNT, NodeId

if TYPE_CHECKING:
    from eelgrassmount.log_port import Page, Record


@frozen
class View:
    """Who is primary and who is backup of a slot.

    ``version`` is one more than the offset of the record that set it, 0 if the slot has
    never been assigned. In a ``lost`` view the primary does not have what earlier
    ones ran, and waits for one key window before it runs anything.
    """

    slot: int
    version: int = 0
    primary: NodeId = NO_NODE
    backup: NodeId = NO_NODE
    lost: bool = False


@frozen
class Proposal:
    """A view that someone wants for a slot, in place of version ``base``.

    With ``rewrite`` it is the view of version ``base`` itself, written again
    before the log drops it.
    """

    slot: int
    base: int
    primary: NodeId
    backup: NodeId
    lost: bool = False
    rewrite: bool = False


@define
class ViewFold:
    """The views of all slots after reading the stream up to ``next``.

    ``first`` is the offset that reading began at, or went on at after records
    were dropped unread; ``initial_bases`` has the highest base of each slot that was
    set below it. ``written`` has the offset of each slot's latest valid record.
    """

    first: int = 0
    next: int = 0
    views: list[View] = field(factory=lambda: [View(s) for s in range(SLOT_COUNT)])
    initial_bases: dict[int, int] = field(factory=dict)
    written: dict[int, int] = field(factory=dict)


def fold_page(fold: ViewFold, page: Page) -> list[View]:
    """Take in a page of the stream and return the views that it changed."""
    if page.first > fold.next:
        _skip_dropped(fold, page.first)
    changed = {}
    for record in page.records:
        if record.offset < fold.next:
            continue
        fold.next = record.offset + 1
        for view in fold_record(fold, record):
            changed[view.slot] = view
    return list(changed.values())


def _skip_dropped(fold: ViewFold, first: int) -> None:
    fold.first = first
    fold.next = first
    fold.initial_bases = {view.slot: view.version for view in fold.views}


def fold_record(fold: ViewFold, record: Record) -> list[View]:
    """Take in one record: of all proposals on one base, the first one wins."""
    changed = []
    for proposal in decode_proposals(record.body):
        if not _accepts(fold, proposal):
            continue
        view = _make_view(proposal, record.offset)
        fold.written[view.slot] = record.offset
        if view != fold.views[view.slot]:
            fold.views[view.slot] = view
            changed.append(view)
    return changed


def _accepts(fold: ViewFold, proposal: Proposal) -> bool:
    current = fold.views[proposal.slot]
    if proposal.base == current.version:
        return True
    # The log keeps records for a limited time only. A reader that starts at
    # first > 0 can't see the record which set the base. Bases only grow, so of
    # all records on unseen bases the highest base is the true one; a stale
    # rewrite names a lower one. The current view is always rewritten in time,
    # so a reader that has come to the end of the stream has met it.
    unseen = proposal.base <= fold.first
    if unseen and proposal.base > fold.initial_bases.get(proposal.slot, 0):
        fold.initial_bases[proposal.slot] = proposal.base
        return True
    return False


def _make_view(proposal: Proposal, offset: int) -> View:
    version = proposal.base if proposal.rewrite else offset + 1
    return View(
        proposal.slot, version, proposal.primary, proposal.backup, proposal.lost
    )


def rewrite_view(view: View) -> Proposal:
    """Return the proposal that writes a view again."""
    return Proposal(
        view.slot, view.version, view.primary, view.backup, view.lost, rewrite=True
    )


def encode_proposals(proposals: list[Proposal]) -> bytes:
    """Return the record that carries proposals for many slots."""
    rows = [
        {
            "slot": proposal.slot,
            "base": proposal.base,
            "primary": format_node(proposal.primary),
            "backup": format_node(proposal.backup),
            "lost": proposal.lost,
            "rewrite": proposal.rewrite,
        }
        for proposal in proposals
    ]
    return json.dumps({"proposals": rows}, separators=(",", ":")).encode()


def decode_proposals(body: bytes) -> list[Proposal]:
    """Return the proposals of a record; one that can't be read has none."""
    try:
        rows = json.loads(body)["proposals"]
        return [_decode_proposal(row) for row in rows]
    except (ValueError, TypeError, KeyError, AttributeError):
        return []


def _decode_proposal(row: dict[str, object]) -> Proposal:
    proposal = Proposal(
        slot=int(row["slot"]),
        base=int(row["base"]),
        primary=parse_node(str(row["primary"])),
        backup=parse_node(str(row["backup"])),
        lost=bool(row["lost"]),
        rewrite=bool(row["rewrite"]),
    )
    valid = 0 <= proposal.slot < SLOT_COUNT and proposal.base >= 0
    if not valid or not proposal.primary or (proposal.rewrite and not proposal.base):
        raise ValueError("not a valid proposal")
    return proposal


def format_node(node: NodeId) -> str:
    """Return a node as one text, for messages and records."""
    return f"{node.address}~{node.incarnation}" if node else ""


def parse_node(text: str) -> NodeId:
    """Return the node that `format_node` wrote."""
    address, _, incarnation = text.partition("~")
    return NodeId(address, incarnation) if incarnation else NO_NODE
