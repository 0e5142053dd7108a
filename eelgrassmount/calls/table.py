"""Table of the calls that this node runs on its backend server."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.calls.request import Outcome
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call

# Retention of the answer of a finished call, and of its status after its deadline.
OUTCOME_RETENTION_S = 15.0
# Retention of blocked ids, longer than TCP retransmits a late message.
BLOCKED_ID_RETENTION_S = 1200.0


class CallStatus(Enum):
    """The status of a call id at this node."""

    UNKNOWN = "unknown"
    PENDING = "pending"
    DONE = "done"


@define(eq=False)
class DownstreamCall:
    """A downstream call made on behalf of a running call."""

    done: anyio.Event = field(factory=anyio.Event)
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    outcome: Outcome | None = None

    @property
    def answered(self) -> bool:
        """Whether the call has a complete answer."""
        return self.outcome is not None and isinstance(self.outcome.verdict, Answered)

    @property
    def may_have_run(self) -> bool:
        """Whether a part of the call may have run."""
        return self.outcome is None or not isinstance(self.outcome.verdict, NotRun)


@define(eq=False)
class CallRecord:
    """One call at this node.

    ``started`` is set just before the first byte is sent to the backend server.
    ``attempts_left`` is the number of retries that remain for the call tree.
    """

    call: Call
    attempts_left: int
    started: bool = False
    cancelled: bool = False
    children: dict[str, DownstreamCall] = field(factory=dict)
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    done: anyio.Event = field(factory=anyio.Event)
    outcome: Outcome | None = None
    finished_s: float = 0.0
    _running_children: int = 0
    _waiting_since_s: float = 0.0
    _waited_s: float = 0.0

    def record_child_start(self, now_s: float) -> None:
        """Record the start of a downstream call."""
        if self._running_children == 0:
            self._waiting_since_s = now_s
        self._running_children += 1

    def record_child_end(self, now_s: float) -> None:
        """Record the end of a downstream call."""
        self._running_children -= 1
        if self._running_children == 0:
            self._waited_s += now_s - self._waiting_since_s

    def measure_downstream(self, now_s: float) -> float:
        """Return the seconds during which downstream calls were outstanding."""
        if self._running_children == 0:
            return self._waited_s
        return self._waited_s + now_s - self._waiting_since_s


@define(eq=False)
class CallTable:
    """Running and recently finished calls by id, and blocked ids.

    A status query or a cancellation for a call that has not arrived blocks its id. The
    sender then takes the call for "not run", so the call must not run if it arrives
    late.
    """

    records: dict[str, CallRecord] = field(factory=dict)
    blocked: dict[str, float] = field(factory=dict)
    running: int = 0

    def find(self, call_id: str) -> CallRecord | None:
        """Return the record of a call, running or recently finished."""
        return self.records.get(call_id)

    def open(self, call: Call) -> CallRecord | None:
        """Add the record of a new call; return ``None`` if its id is blocked."""
        call_id = call.context.call_id
        if call_id in self.blocked:
            return None
        record = CallRecord(call, call.context.attempts_left)
        self.records[call_id] = record
        self.running += 1
        return record

    def finish(self, record: CallRecord, outcome: Outcome, now_s: float) -> None:
        """Store the outcome of a call for duplicates and status queries."""
        record.outcome = outcome
        record.finished_s = now_s
        record.done.set()
        self.running -= 1

    def query_status(self, call_id: str, now_s: float) -> CallStatus:
        """Return the status of a call; block the id if it is unknown."""
        record = self.records.get(call_id)
        if record is None:
            self.blocked[call_id] = now_s
            return CallStatus.UNKNOWN
        return CallStatus.PENDING if record.outcome is None else CallStatus.DONE

    def cancel(self, call_id: str, now_s: float) -> bool:
        """Cancel a call unless it has started and is not idempotent.

        The id of a call that has not arrived is blocked. Return whether the call was
        cancelled or blocked.
        """
        record = self.records.get(call_id)
        if record is None:
            self.blocked[call_id] = now_s
            return True
        if record.started and not record.call.context.idempotent:
            return False
        record.cancelled = True
        record.scope.cancel()
        return True

    def count_running(self) -> int:
        """Return the number of calls without an outcome."""
        return self.running

    def expire(self, now_s: float) -> None:
        """Remove finished calls and blocked ids after their retention time."""
        finished = [
            record
            for record in self.records.values()
            if record.outcome is not None
            and now_s - record.finished_s > OUTCOME_RETENTION_S
        ]
        for record in finished:
            context = record.call.context
            # A node that still waits would take the status "unknown" for "not run".
            if now_s - context.deadline_s > OUTCOME_RETENTION_S:
                del self.records[context.call_id]
            elif isinstance(record.outcome.verdict, Answered):
                record.outcome = Outcome(MayHaveRun(Reason.PEER_LOST))
        stale = [
            call_id
            for call_id, blocked_s in self.blocked.items()
            if now_s - blocked_s > BLOCKED_ID_RETENTION_S
        ]
        for call_id in stale:
            del self.blocked[call_id]
