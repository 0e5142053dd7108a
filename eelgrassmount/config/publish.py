"""Publishing of configurations to the log."""

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

PUBLISH_TIMEOUT_S = 8.0

_ID_BITS = 128


@dataclass(frozen=True, slots=True)
class Accepted:
    """The text was accepted as this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Lost:
    """Another version than the base is in force, so nothing was changed."""

    in_force: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The text is not a valid configuration; nothing was published."""

    problems: tuple[DocumentProblem, ...]


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the text was accepted could not be determined.

    A retry with the same request id, base and text returns the outcome and cannot
    publish the text twice.
    """

    detail: str
    retry_after_s: float


PublishOutcome = Accepted | Lost | Invalid | Unknown


@define
class _PendingPublish:
    """A publish whose outcome is not known yet.

    ``fold`` is a separate fold of the stream, from before the record was made, so
    that the decision about the record is not missed. ``appended`` is true if the
    log confirmed the last append, ``may_be_stored`` if any append may have
    reached the log.
    """

    record: ConfigRecord
    fold: Fold
    sent: bool = False
    appended: bool = False
    may_be_stored: bool = False


@define
class Publisher:
    """Appends publishes to the log and determines their outcomes.

    If the records on the log do not determine the version in force,
    ``query_peers`` requests it from other nodes. If it remains unknown for
    ``restore_delay_s``, a publish becomes a restore. A publish without an outcome
    is abandoned after about ``timeout_s``.
    """

    stream: ConfigStream
    shared_state: SharedNodeState
    timers: TimerService
    rng: random.Random
    query_peers: Callable[[], Awaitable[None]]
    restore_delay_s: float
    timeout_s: float = PUBLISH_TIMEOUT_S

    async def publish(
        self, text: str, base: int, request_id: str = ""
    ) -> PublishOutcome:
        """Publish a text to replace version ``base``.

        A publish with the ``request_id``, base and text of an earlier one returns
        the outcome of that one. Without a request id, each publish is a new one.
        """
        parsed = parse_document(text)
        if isinstance(parsed, tuple):
            outcome: PublishOutcome = Invalid(parsed)
        else:
            outcome = await self._run(text, base, request_id)
        self.stream.counts.publishes[type(outcome).__name__.lower()] += 1
        return outcome

    async def _run(self, text: str, base: int, request_id: str) -> PublishOutcome:
        end_s = self.timers.read() + self.timeout_s
        backoff = Backoff(self.rng)
        publish: _PendingPublish | None = None
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
        return Unknown(self._describe_unknown(publish), backoff.limit_s)

    async def _prepare(
        self, text: str, base: int, request_id: str
    ) -> _PendingPublish | PublishOutcome | None:
        if not await self.stream.catch_up():
            return None
        if not self.stream.fold.exact:
            await self.query_peers()
        record_id = self._make_id(text, base, request_id)
        fold = self.stream.fold
        in_force = max(fold.version, self.shared_state.configuration.version)
        if base != in_force:
            earlier = await self._find_earlier(record_id) if request_id else None
            return earlier or Lost(in_force)
        if fold.exact and base != fold.version:
            # other nodes have a version that this node has not read from the log yet
            return None
        if not fold.exact and not self._may_restore():
            return None
        return _PendingPublish(make_publish(fold, record_id, base, text), fold)

    def _may_restore(self) -> bool:
        # by then, a node that knows the version in force would have rewritten it
        inexact_since_s = self.stream.inexact_since_s
        return (
            inexact_since_s is not None
            and self.timers.read() - inexact_since_s >= self.restore_delay_s
        )

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

    async def _step(self, publish: _PendingPublish) -> PublishOutcome | None:
        if not publish.sent:
            await self._append(publish)
        if not publish.sent:
            return None
        result = await read_decisions(self.stream.log, publish.fold)
        if isinstance(result, LogFailure):
            return None
        decision = find_decision(result, publish.record.record_id)
        if decision:
            return await self._make_outcome(decision, result.fold)
        if publish.fold.start != result.fold.start:
            return Unknown("the log dropped records before they were read", 1.0)
        publish.fold = result.fold
        # an append without confirmation is retried: if the first copy arrives late,
        # the second one is rejected, since its base is out of date by then
        publish.sent = publish.appended
        return None

    async def _append(self, publish: _PendingPublish) -> None:
        result = await self.stream.append(publish.record)
        publish.appended = isinstance(result, Appended)
        publish.sent = publish.appended or result.sent
        publish.may_be_stored = publish.may_be_stored or publish.sent

    async def _make_outcome(self, decision: Decision, fold: Fold) -> PublishOutcome:
        if not await self.stream.catch_up() and fold.exact:
            self.stream.adopt_version(fold.version, fold.text, fold.next)
        if decision.accepted:
            return Accepted(decision.in_force)
        return Lost(max(decision.in_force, self.shared_state.configuration.version))

    def _describe_unknown(self, publish: _PendingPublish | None) -> str:
        if publish is not None and publish.may_be_stored:
            return "the log may have the record, but it could not be read to confirm"
        if self.stream.inexact_since_s is not None and self.shared_state.log_reachable:
            return "the log no longer tells which version is in force; nothing was sent"
        return "the log cannot be reached from this node; nothing was sent"


def find_decision(result: FoldResult, record_id: str) -> Decision | None:
    """Return the first decision about a record; later copies have no effect."""
    for decision in result.decisions:
        if decision.record.record_id == record_id:
            return decision
    return None


def make_publish(fold: Fold, record_id: str, base: int, text: str) -> ConfigRecord:
    """Return a publish record, or a restore record if the fold is not exact."""
    kind = RecordKind.PUBLISH if fold.exact else RecordKind.RESTORE
    version = base + 1
    if not fold.exact:
        pending = [placed.record.version for placed in fold.pending]
        version = max(base, *pending, 0) + RESTORE_SKIP
    return ConfigRecord(
        kind=kind,
        record_id=record_id,
        base=base,
        version=version,
        through=fold.next,
        text=text,
    )
