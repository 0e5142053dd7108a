"""All readers of the log agree on the views of slots."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.keys.placement import NO_NODE, SLOT_COUNT, NodeId
from eelgrassmount.keys.views import (
    Proposal,
    View,
    ViewFold,
    decode_proposals,
    encode_proposals,
    fold_page,
    rewrite_view,
)
from eelgrassmount.log_service import Page, Record

A, B, C = (NodeId(f"127.0.0.{n}:1", f"i{n}") for n in (1, 2, 3))


def make_record(offset: int, *proposals: Proposal) -> Record:
    return Record(offset, encode_proposals(list(proposals)))


def read(records: list[Record], first: int = 0) -> ViewFold:
    fold = ViewFold()
    kept = tuple(record for record in records if record.offset >= first)
    after = records[-1].offset + 1 if records else first
    fold_page(fold, Page(first, after, kept))
    return fold


@pytest.mark.parametrize(
    ("proposals", "version", "primary"),
    [
        ([Proposal(3, 0, A, B)], 1, A),
        # the first of two proposals on one base wins
        ([Proposal(3, 0, A, B), Proposal(3, 0, B, A)], 1, A),
        # each proposal names the version that it replaces
        ([Proposal(3, 0, A, B), Proposal(3, 1, B, C)], 2, B),
        ([Proposal(3, 0, A, B), Proposal(3, 1, B, C), Proposal(3, 1, A, C)], 2, B),
        # rewriting a view changes nothing
        ([Proposal(3, 0, A, B), rewrite_view(View(3, 1, A, B))], 1, A),
    ],
)
def test_first_proposal_on_a_base_wins(proposals, version, primary) -> None:
    records = [make_record(n, proposal) for n, proposal in enumerate(proposals)]
    view = read(records).views[3]
    assert (view.version, view.primary) == (version, primary)


def test_stale_rewrite_does_not_win_at_a_late_reader() -> None:
    records = [
        make_record(0, Proposal(3, 0, A, B)),
        make_record(1, Proposal(3, 1, B, C)),
        make_record(2, rewrite_view(View(3, 1, A, B))),
        make_record(3, rewrite_view(View(3, 2, B, C))),
        make_record(4, Proposal(3, 1, A, C)),
    ]
    for first in range(4):
        assert read(records, first).views[3] == View(3, 2, B, C), first


def test_reader_that_lags_behind_the_retention_catches_up() -> None:
    fold = read([make_record(0, Proposal(3, 0, A, B))])
    late = (
        make_record(7, Proposal(3, 1, A, C)),
        make_record(8, rewrite_view(View(3, 5, C, B))),
    )
    fold_page(fold, Page(7, 9, late))
    assert fold.views[3] == View(3, 5, C, B)


def test_malformed_records_are_ignored() -> None:
    for body in (b"", b"{}", b'{"proposals": [{"slot": 99}]}', b"\xff"):
        assert decode_proposals(body) == []


@given(st.data())
def test_readers_agree_from_any_start_offset(data: st.DataObject) -> None:
    """Guards against readers that diverge after records expired.

    Proposals name any earlier version. Readers start at any offset up to the latest
    record of the current view.
    """
    nodes = st.sampled_from((A, B, C, NO_NODE))
    records: list[Record] = []
    held = [0]
    views: list[View] = []
    for offset in range(data.draw(st.integers(1, 12))):
        base = data.draw(st.sampled_from(held))
        if views and data.draw(st.booleans()):
            proposal = rewrite_view(data.draw(st.sampled_from(views)))
        else:
            primary = data.draw(st.sampled_from((A, B, C)))
            proposal = Proposal(0, base, primary, data.draw(nodes))
        records.append(make_record(offset, proposal))
        view = read(records).views[0]
        if view.version not in held:
            held.append(view.version)
            views.append(view)
    whole = read(records)
    for first in range(whole.written[0] + 1):
        late = read(records, first)
        assert late.views[0] == whole.views[0], first
        assert len(late.views) == SLOT_COUNT
