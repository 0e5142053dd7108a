"""Views: the nodes of each slot, set by compare-and-set through the log."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from eelgrassmount.keys.placement import NO_NODE, SLOT_COUNT, NodeId

if TYPE_CHECKING:
    from eelgrassmount.log_service import Page, Record


@frozen
class View:
    """The primary and the backup of a slot.

    ``version`` is the offset of the record that set the view plus one, or 0 if the slot
    was never assigned. The primary of a ``lost`` view doesn't have the keys of earlier
    views, and waits for one key window before it runs any.
    """

    slot: int
    version: int = 0
    primary: NodeId = NO_NODE
    backup: NodeId = NO_NODE
    lost: bool = False


@frozen
class Proposal:
    """A proposed view that replaces version ``base`` of a slot.

    With ``rewrite``, it repeats the view of version ``base`` before the log drops its
    record.
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

    ``first`` is the offset at which reading started, or resumed after records were
    dropped unread. ``initial_bases`` has the highest base of each slot set before it.
    ``written`` has the offset of the latest valid record of each slot.
    """

    first: int = 0
    next: int = 0
    views: list[View] = field(factory=lambda: [View(s) for s in range(SLOT_COUNT)])
    initial_bases: dict[int, int] = field(factory=dict)
    written: dict[int, int] = field(factory=dict)


def fold_page(fold: ViewFold, page: Page) -> list[View]:
    """Apply a page of the stream and return the changed views."""
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
    """Apply a record; the first proposal on a base wins. Return the changed views."""
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
    # The log retains records for a limited time, so a reader that starts at first > 0
    # can't read the record that set the base. Bases only increase: the highest unseen
    # base is the current one, and stale rewrites name lower ones. The current view is
    # rewritten before its record expires, so every reader finds it.
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
    """Return the proposal that rewrites a view."""
    return Proposal(
        view.slot, view.version, view.primary, view.backup, view.lost, rewrite=True
    )


def encode_proposals(proposals: list[Proposal]) -> bytes:
    """Return the body of a record with proposals."""
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
    """Return the proposals of a record, none if it is malformed."""
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
    """Return the text form of a node for messages and records."""
    return f"{node.address}~{node.incarnation}" if node else ""


def parse_node(text: str) -> NodeId:
    """Return the node from its text form; the inverse of `format_node`."""
    address, _, incarnation = text.partition("~")
    return NodeId(address, incarnation) if incarnation else NO_NODE
