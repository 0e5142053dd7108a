"""Publishing of a configuration, with a definite outcome where there is one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash
from attrs import define

from eelgrassmount.config.document import DocumentProblem, parse_document
from eelgrassmount.config.fold import RESTORE_SKIP, Decision, Fold, FoldResult
from eelgrassmount.config.record import ConfigRecord, RecordKind
from eelgrassmount.config.stream import read_decisions
from eelgrassmount.log_service import Appended, LogFailure
from eelgrassmount.util.backoff import Backoff
from eelgrassmount.util.waiting import wait_for

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from eelgrassmount.config.stream import ConfigStream
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import TimerService

DEFAULT_LIMIT_S = 8.0

_ID_BITS = 128


@dataclass(frozen=True, slots=True)
class Accepted:
    """The text is in force, as this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Lost:
    """Another version than the one named is in force, so nothing was changed."""

    in_force: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The text is no configuration; nothing was published."""

    problems: tuple[DocumentProblem, ...]


@dataclass(frozen=True, slots=True)
class Unknown:
    """It could not be found out whether the text was accepted.

    Asking again with the same request id, base and text settles it and cannot
    publish it twice.
    """

    detail: str
    retry_after_s: float


PublishOutcome = Accepted | Lost | Invalid | Unknown


@define
class _Publish:
    """One publish on its way.

    ``fold`` is the publish's own reading of the stream, from just before the
    record was made, so that no decision is passed over.
    """

    record: ConfigRecord
    fold: Fold
    sent: bool = False
    placed: bool = False
    touched: bool = False


@define
class Publisher:
    """Appends publishes to the log and finds out what became of them.

    ``find_anchor`` asks other nodes for the version in force when the log no
    longer tells it. Only after ``restore_s`` seconds without an answer to that
    question is a publish allowed to begin a new history. A publish is given up
    after about ``limit_s`` seconds.
    """

    stream: ConfigStream
    board: SharedNodeState
    timers: TimerService
    rng: random.Random
    find_anchor: Callable[[], Awaitable[None]]
    restore_s: float
    limit_s: float = DEFAULT_LIMIT_S

    async def publish(
        self, text: str, base: int, request_id: str = ""
    ) -> PublishOutcome:
        """Publish a text that replaces version ``base``.

        A publish with the ``request_id``, base and text of an earlier one is the
        same publish and has its outcome. Without a request id it is a new one.
        """
        parsed = parse_document(text)
        if isinstance(parsed, tuple):
            outcome: PublishOutcome = Invalid(parsed)
        else:
            outcome = await self._run(text, base, request_id)
        self.stream.counts.publishes[type(outcome).__name__.lower()] += 1
        return outcome

    async def _run(self, text: str, base: int, request_id: str) -> PublishOutcome:
        end_s = self.timers.read() + self.limit_s
        backoff = Backoff(self.rng)
        publish: _Publish | None = None
        while self.timers.read() < end_s:
            if publish is None:
                prepared = await self._prepare(text, base, request_id)
                if isinstance(prepared, PublishOutcome):
                    return prepared
                publish = prepared
            outcome = publish and await self._step(publish)
            if outcome:
                return outcome
            await wait_for(self.timers, backoff.fail())
        return Unknown(self._explain(publish), backoff.limit_s)

    async def _prepare(
        self, text: str, base: int, request_id: str
    ) -> _Publish | PublishOutcome | None:
        if not await self.stream.catch_up():
            return None
        if not self.stream.fold.exact:
            await self.find_anchor()
        record_id = self._make_id(text, base, request_id)
        fold = self.stream.fold
        in_force = max(fold.version, self.board.configuration.version)
        if base != in_force:
            earlier = await self._find_earlier(record_id) if request_id else None
            return earlier or Lost(in_force)
        if fold.exact and base != fold.version:
            # other nodes have a version that this node's log does not show yet
            return None
        if not fold.exact and not self._may_restore():
            return None
        return _Publish(make_publish(fold, record_id, base, text), fold)

    def _may_restore(self) -> bool:
        # in that time every node that knows more would have rewritten it
        lost_s = self.stream.lost_s
        return lost_s is not None and self.timers.read() - lost_s >= self.restore_s

    def _make_id(self, text: str, base: int, request_id: str) -> str:
        if not request_id:
            return f"{self.rng.getrandbits(_ID_BITS):032x}"
        return xxhash.xxh3_128_hexdigest(f"{request_id}\n{base}\n{text}".encode())

    async def _find_earlier(self, record_id: str) -> PublishOutcome | None:
        result = await read_decisions(self.stream.log, Fold())
        if isinstance(result, LogFailure):
            return Unknown(result.detail, 1.0)
        decision = find_decision(result, record_id)
        if decision and decision.accepted:
            return Accepted(decision.in_force)
        return None

    async def _step(self, publish: _Publish) -> PublishOutcome | None:
        if not publish.sent:
            await self._append(publish)
        if not publish.sent:
            return None
        result = await read_decisions(self.stream.log, publish.fold)
        if isinstance(result, LogFailure):
            return None
        decision = find_decision(result, publish.record.record_id)
        if decision:
            return await self._conclude(decision, result.fold)
        if publish.fold.start != result.fold.start:
            return Unknown("the log dropped records before they were read", 1.0)
        publish.fold = result.fold
        # not there, so it was lost on the way; should it come late after all, a
        # second copy is harmless: its base is out of date by then
        publish.sent = publish.placed
        return None

    async def _append(self, publish: _Publish) -> None:
        result = await self.stream.append(publish.record)
        publish.placed = isinstance(result, Appended)
        publish.sent = publish.placed or result.sent
        publish.touched = publish.touched or publish.sent

    async def _conclude(self, decision: Decision, fold: Fold) -> PublishOutcome:
        if not await self.stream.catch_up() and fold.exact:
            self.stream.adopt(fold.version, fold.text, fold.next)
        if decision.accepted:
            return Accepted(decision.in_force)
        return Lost(max(decision.in_force, self.board.configuration.version))

    def _explain(self, publish: _Publish | None) -> str:
        if publish is not None and publish.touched:
            return "the log may have it, but cannot be read to make sure"
        if self.stream.lost_s is not None and self.board.log_reachable:
            return "the log no longer tells which version is in force; nothing was sent"
        return "the log cannot be reached from this node; nothing was sent"


def find_decision(result: FoldResult, record_id: str) -> Decision | None:
    """Return the first decision about a record; later copies decide nothing."""
    for decision in result.decisions:
        if decision.record.record_id == record_id:
            return decision
    return None


def make_publish(fold: Fold, record_id: str, base: int, text: str) -> ConfigRecord:
    """Return the record that asks for a text to replace version ``base``.

    If the fold is not exact, that is a restore.
    """
    kind = RecordKind.PUBLISH if fold.exact else RecordKind.RESTORE
    version = base + 1
    if not fold.exact:
        named = [placed.record.version for placed in fold.pending]
        version = max(base, *named, 0) + RESTORE_SKIP
    return ConfigRecord(
        kind=kind,
        record_id=record_id,
        base=base,
        version=version,
        through=fold.next,
        text=text,
    )
