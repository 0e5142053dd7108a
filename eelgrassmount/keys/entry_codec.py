"""Encoding of key table entries for the nodes that hold a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eelgrassmount.gen.ttypes import KeyMark
from eelgrassmount.keys.table import Entry, Stage
from eelgrassmount.peer.codec import decode_outcome, encode_outcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_BATCH_ENTRIES = 100
_MAX_BATCH_BYTES = 256 * 1024


def encode_entry(entry: Entry, now_s: float) -> KeyMark:
    """Return an entry as a mark, with its outcome if it has one."""
    mark = KeyMark(
        key=entry.key,
        digest=entry.digest,
        age_ms=max(0, int((now_s - entry.since_s) * 1000)),
        call_id=f"{entry.runner}.{entry.mark}",
    )
    if entry.outcome is not None:
        mark.outcome = encode_outcome(mark.call_id, entry.outcome)
    return mark


def decode_entry(mark: KeyMark, now_s: float) -> Entry:
    """Return the entry of a mark; raise `ValueError` or `BadFrameError`."""
    runner, _, number = (mark.call_id or "").rpartition(".")
    if not mark.key or not runner:
        raise ValueError("a mark must have a key and a call id")
    outcome = decode_outcome(mark.outcome) if mark.outcome else None
    return Entry(
        key=mark.key,
        digest=mark.digest or "",
        runner=runner,
        mark=int(number),
        stage=Stage.DONE if outcome else Stage.ELSEWHERE,
        since_s=now_s - (mark.age_ms or 0) / 1000,
        outcome=outcome,
    )


def split_batches(marks: Iterable[KeyMark]) -> Iterator[list[KeyMark]]:
    """Yield marks in batches that fit into one message; yield at least one batch."""
    batch: list[KeyMark] = []
    size = 0
    for mark in marks:
        body = mark.outcome.body if mark.outcome and mark.outcome.body else b""
        if batch and (
            len(batch) >= MAX_BATCH_ENTRIES or size + len(body) > _MAX_BATCH_BYTES
        ):
            yield batch
            batch = []
            size = 0
        batch.append(mark)
        size += len(body)
    yield batch
