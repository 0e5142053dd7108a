"""Choice of the nodes that tail the log, and rewrites of the version in force."""

from __future__ import annotations

import pytest

from eelgrassmount.config.fold import Fold
from eelgrassmount.config.readers import READERS_PER_DOMAIN, is_reader
from eelgrassmount.config.record import decode_record
from eelgrassmount.config.rewrite import is_rewrite_due
from eelgrassmount.config.stream import ResumePoint


def find_readers(live: list[str], epoch: int) -> set[str]:
    return {address for address in live if is_reader(address, live, epoch)}


def test_few_nodes_read_and_the_next_in_rank_replace_them() -> None:
    live = [f"10.0.0.{number}:1" for number in range(100)]
    lasting = find_readers(live, 0) & find_readers(live, 1) & find_readers(live, 2)
    assert len(lasting) == READERS_PER_DOMAIN
    assert all(
        READERS_PER_DOMAIN <= len(find_readers(live, e)) <= READERS_PER_DOMAIN + 1
        for e in range(50)
    )
    assert len(set().union(*(find_readers(live, e) for e in range(50)))) > 20
    rest = [address for address in live if address not in lasting]
    taken_over = find_readers(rest, 0) & find_readers(rest, 1) & find_readers(rest, 2)
    assert len(taken_over) == READERS_PER_DOMAIN
    assert is_reader("10.0.0.1:1", [], 0)


FOLD = Fold(version=3)


@pytest.mark.parametrize(
    ("fold", "resume_point", "now_s", "due"),
    [
        (FOLD, ResumePoint(), 59.0, False),
        (FOLD, ResumePoint(), 60.0, True),
        (Fold(), ResumePoint(), 60.0, False),
        (Fold(exact=False, version=3), ResumePoint(), 60.0, False),
        (FOLD, ResumePoint(5, 50.0, 0, 100), 60.0, False),
        (FOLD, ResumePoint(5, 50.0, 0, 100), 110.0, True),
        (FOLD, ResumePoint(5, 50.0, 2, 100), 60.0, True),
        (FOLD, ResumePoint(60, 50.0, 2, 100), 60.0, False),
        (FOLD, ResumePoint(9, 50.0, 9, 10), 60.0, False),
        (FOLD, ResumePoint(-1, 0.0, 2, 10), 1.0, True),
    ],
)
def test_rewrite_is_due_by_time_or_position(
    fold: Fold, resume_point: ResumePoint, now_s: float, due: bool
) -> None:
    assert is_rewrite_due(fold, resume_point, now_s, 0.0, 60.0) is due


@pytest.mark.parametrize(
    "body",
    [b"", b"\xff", b"[]", b"{}", b"7", b'{"kind":"publish"}', b"[" * 100_000]
    + [
        b'{"kind":"publish","id":"a","base":%s,"version":1,"through":0,"text":"t"}' % x
        for x in (b"-1", b"1.5", b'"1"', b"true", b"null")
    ],
)
def test_malformed_records_are_ignored(body: bytes) -> None:
    assert decode_record(body) is None
