"""The calls that this node runs on its backend server."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.calls.request import Outcome
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call

# how long the answer of a finished call is kept, and its fate after its deadline
KEEP_S = 15.0
# sealed ids are kept for longer than TCP goes on sending a late message
SEAL_S = 1200.0


class CallStatus(Enum):
    """What is known of a call id."""

    UNKNOWN = "unknown"
    PENDING = "pending"
    DONE = "done"


@define(eq=False)
class Child:
    """A downstream call made on behalf of a running call."""

    done: anyio.Event = field(factory=anyio.Event)
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    outcome: Outcome | None = None

    @property
    def answered(self) -> bool:
        """Tell whether the call has its complete answer."""
        return self.outcome is not None and isinstance(self.outcome.verdict, Answered)

    @property
    def may_have_run(self) -> bool:
        """Tell whether something of the call may have run."""
        return self.outcome is None or not isinstance(self.outcome.verdict, NotRun)


@define(eq=False)
class CallRecord:
    """One call at this node.

    ``begun`` is set just before the first byte goes to the backend server.
    ``attempts_left`` is what the subtree may still spend.
    """

    call: Call
    attempts_left: int
    begun: bool = False
    cancelled: bool = False
    children: dict[str, Child] = field(factory=dict)
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    done: anyio.Event = field(factory=anyio.Event)
    outcome: Outcome | None = None
    finished_s: float = 0.0
    _waiting_children: int = 0
    _waiting_since_s: float = 0.0
    _waited_s: float = 0.0

    def note_child_start(self, now_s: float) -> None:
        """Note that a downstream call begins."""
        if self._waiting_children == 0:
            self._waiting_since_s = now_s
        self._waiting_children += 1

    def note_child_end(self, now_s: float) -> None:
        """Note that a downstream call has ended."""
        self._waiting_children -= 1
        if self._waiting_children == 0:
            self._waited_s += now_s - self._waiting_since_s

    def measure_downstream(self, now_s: float) -> float:
        """Return the seconds during which downstream calls were outstanding."""
        if self._waiting_children == 0:
            return self._waited_s
        return self._waited_s + now_s - self._waiting_since_s


@define(eq=False)
class CallTable:
    """Calls by id, running and recently finished, and sealed ids.

    An id is *sealed* when another node asked for the fate of a call that has
    not arrived: it is answered "unknown", which that node takes for "not run",
    so the call must never run when it arrives late.
    """

    records: dict[str, CallRecord] = field(factory=dict)
    sealed: dict[str, float] = field(factory=dict)
    running: int = 0

    def find(self, call_id: str) -> CallRecord | None:
        """Return the record of a call, running or recently finished."""
        return self.records.get(call_id)

    def open(self, call: Call) -> CallRecord | None:
        """Begin a record; ``None`` when the id is sealed."""
        call_id = call.context.call_id
        if call_id in self.sealed:
            return None
        record = CallRecord(call, call.context.attempts_left)
        self.records[call_id] = record
        self.running += 1
        return record

    def finish(self, record: CallRecord, outcome: Outcome, now_s: float) -> None:
        """Keep the outcome of a call for later questions."""
        record.outcome = outcome
        record.finished_s = now_s
        record.done.set()
        self.running -= 1

    def query_status(self, call_id: str, now_s: float) -> CallStatus:
        """Return the fate of a call; an unknown one is sealed from now on."""
        record = self.records.get(call_id)
        if record is None:
            self.sealed[call_id] = now_s
            return CallStatus.UNKNOWN
        return CallStatus.PENDING if record.outcome is None else CallStatus.DONE

    def cancel(self, call_id: str, now_s: float) -> bool:
        """Cancel a call unless it has begun and is not idempotent.

        A call that has not arrived yet is sealed, so that it never begins.
        """
        record = self.records.get(call_id)
        if record is None:
            self.sealed[call_id] = now_s
            return True
        if record.begun and not record.call.context.idempotent:
            return False
        record.cancelled = True
        record.scope.cancel()
        return True

    def count_running(self) -> int:
        """Return how many calls have no outcome yet."""
        return self.running

    def expire(self, now_s: float) -> None:
        """Forget finished calls and seals that nobody will ask for any more."""
        finished = [
            record
            for record in self.records.values()
            if record.outcome is not None and now_s - record.finished_s > KEEP_S
        ]
        for record in finished:
            context = record.call.context
            # "unknown" would be taken for "not run" by whoever still waits
            if now_s - context.deadline_s > KEEP_S:
                del self.records[context.call_id]
            elif isinstance(record.outcome.verdict, Answered):
                record.outcome = Outcome(MayHaveRun(Reason.PEER_LOST))
        stale = [
            call_id
            for call_id, sealed_s in self.sealed.items()
            if now_s - sealed_s > SEAL_S
        ]
        for call_id in stale:
            del self.sealed[call_id]
