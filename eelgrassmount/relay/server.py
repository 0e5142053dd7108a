"""What a node believes of the backend server beside it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.heartbeats import NO_SEQUENCE, UNKNOWN_START, ServerIncarnation
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.heartbeats import Heartbeat
    from eelgrassmount.util.addresses import Address

# part of the slots that is used: a server that is nearly full slows down, and its
# own new connections hold a slot for a moment
SLOT_SHARE = 0.93
DEFAULT_SLOTS = 16
# after a connection was refused, the next one is tried so much later
RETRY_S = 0.25
# identities that are kept as ended, the last ones: heartbeats come seconds late, and a
# server that has crashed is back after some seconds, so that these are those of minutes
MAX_ENDED = 50
# all starts of an identity have ended whose last start is not known
EVERY_START = math.inf


@define(eq=False)
class LocalServer:
    """The server of this VM: its incarnation, slots and whether it takes work.

    What is heard of it is one of these:

    - of a later start of the present identity: the earlier start has ended. All that
      was believed of it goes, and ``on_restart`` is called with both;
    - of an earlier start, or of the present one with an old sequence: it is late and
      changes nothing;
    - of the present identity without its start: it counts for the present start;
    - of another identity: it takes the place of the present one, unless it is a leave
      or that identity is known to have ended at this start or a later one.

    An answer names an identity only. Another one than the present takes its place and
    its start is learned from the next heartbeat.
    """

    service: str
    address: Address
    on_restart: Callable[[ServerIncarnation, ServerIncarnation], None] = (
        lambda ended, begun: None
    )
    incarnation: ServerIncarnation | None = None
    slots: int = DEFAULT_SLOTS
    draining: bool = False
    left: bool = False
    sequence: int = NO_SEQUENCE
    unreachable_until_s: float = 0.0
    _ended: dict[str, float] = field(factory=dict)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Take up a heartbeat or a leave; tell whether anything has changed."""
        told = heartbeat.incarnation
        present = self.incarnation
        if self._has_ended(told):
            return False
        if present is None or present.identity != told.identity:
            return self._note_other(heartbeat)
        if present.is_after(told):
            return False
        if told.is_after(present):
            self._begin(heartbeat)
            self.on_restart(present, told)
            return True
        return self._note_present(heartbeat)

    def apply_answer_identity(self, identity: str) -> None:
        """Take up the identity that answered in place of the expected one."""
        present = self.incarnation
        if not identity or (present is not None and present.identity == identity):
            return
        if present is not None:
            self._end(present)
        # the server itself is right, also about an identity that seemed to have ended
        self._ended.pop(identity, None)
        self.incarnation = ServerIncarnation(identity)
        self.sequence = NO_SEQUENCE
        self.draining = False
        self.left = False

    def mark_unreachable(self, now_s: float) -> None:
        """Note that the server does not accept connections."""
        self.unreachable_until_s = now_s + RETRY_S

    def find_refusal_reason(self, now_s: float) -> Reason | None:
        """Return why the server can't be given work, ``None`` when it can."""
        if self.incarnation is None:
            return Reason.SERVER_STARTING
        if self.left or now_s < self.unreachable_until_s:
            return Reason.NO_SERVER
        if self.draining:
            return Reason.DRAINING
        return None

    def compute_concurrency_limit(self) -> int:
        """Return how many calls the server is given at once."""
        return max(1, int(self.slots * SLOT_SHARE))

    def _note_present(self, heartbeat: Heartbeat) -> bool:
        """Take up what the present start says, or what names no start."""
        learned = self._learn_start(heartbeat.incarnation)
        if heartbeat.leaving:
            changed = not self.left
            self.left = True
            return changed
        if heartbeat.sequence <= self.sequence:
            return False
        self.sequence = heartbeat.sequence
        changed = heartbeat.draining and not self.draining
        self.draining = self.draining or heartbeat.draining
        self.slots = heartbeat.slots or self.slots
        # a server that is heard may be tried at once
        self.unreachable_until_s = 0.0
        return changed or learned

    def _learn_start(self, told: ServerIncarnation) -> bool:
        """Take up the start of a server that only its answers have named."""
        if self.incarnation.started_ms != UNKNOWN_START:
            return False
        self.incarnation = told
        return told.started_ms != UNKNOWN_START

    def _note_other(self, heartbeat: Heartbeat) -> bool:
        """Take up what another identity says than the present one."""
        present = self.incarnation
        if present is not None and heartbeat.leaving:
            self._end(heartbeat.incarnation)
            return False
        if present is not None:
            self._end(present)
        self._begin(heartbeat)
        return True

    def _begin(self, heartbeat: Heartbeat) -> None:
        """Believe of an incarnation what it says now, and nothing from before."""
        self.incarnation = heartbeat.incarnation
        # from here on, starts are compared with that of the present incarnation
        self._ended.pop(heartbeat.incarnation.identity, None)
        self.sequence = heartbeat.sequence
        self.draining = heartbeat.draining
        self.left = heartbeat.leaving
        self.slots = heartbeat.slots or DEFAULT_SLOTS
        self.service = heartbeat.service or self.service
        self.unreachable_until_s = 0.0

    def _end(self, incarnation: ServerIncarnation) -> None:
        started_ms = incarnation.started_ms
        known = started_ms != UNKNOWN_START
        self._ended.pop(incarnation.identity, None)
        self._ended[incarnation.identity] = started_ms if known else EVERY_START
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def _has_ended(self, incarnation: ServerIncarnation) -> bool:
        """Tell whether this start, or a later one of the identity, has ended."""
        ended_ms = self._ended.get(incarnation.identity)
        return ended_ms is not None and incarnation.started_ms <= ended_ms
