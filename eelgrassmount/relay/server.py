"""State of the backend server on the node's own VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from eelgrassmount.relay.ended_server import EndedServer
from eelgrassmount.relay.heartbeats import NO_SEQUENCE, UNKNOWN_START, ServerIncarnation
from eelgrassmount.relay.server_rate_limit import ServerRateLimit
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.heartbeats import Heartbeat
    from eelgrassmount.relay.server_notices import ServerNotice
    from eelgrassmount.util.addresses import Address

# Share of the server's slots that the node fills: a nearly full server slows down, and
# new connections to it hold a slot for a moment.
MAX_SLOT_SHARE = 0.93
DEFAULT_SLOTS = 16
# Delay before the next connection attempt after a refused one.
RECONNECT_DELAY_S = 0.25
# Ended identities whose late heartbeats are still recognized; the oldest are dropped.
# Heartbeats come seconds late, and a crashed server is back after some seconds, so that
# these are the identities of several minutes.
MAX_ENDED_IDENTITIES = 50
# Identities of which notices of other nodes are kept; the oldest are dropped.
MAX_NOTICES = 8


@define(eq=False, repr=False)
class LocalServer:
    """The backend server of this VM: its incarnation, slots and availability.

    The incarnation that a heartbeat or leave message names decides its effect:

    - a later start of the current identity: the earlier start has ended. Its state is
      discarded, and ``on_restart`` is called with the earlier and the later start;
    - an earlier start, or the current start with an old sequence: the message is late
      and ignored;
    - the current identity without a start: the message applies to the current start;
    - another identity: that incarnation replaces the current one, unless the message is
      a leave or the identity is known to have ended at this start or a later one;
    - an ended identity: the message is late, but an announced stop is kept. While the
      current server stops, a new heartbeat brings the identity back.

    Other nodes may send a notice on what the server has said to an earlier process of
    this node. It applies as long as it concerns the current incarnation.

    An answer names an identity only. If it differs from the current one, it replaces
    that. A late heartbeat of a crashed server may have taken the place of one that
    runs on, so that an identity returns with all that is known of it: an announced stop
    remains. The start of an unknown one is supplied by its next heartbeat.
    """

    service: str
    address: Address
    on_restart: Callable[[ServerIncarnation, ServerIncarnation], None] = (
        lambda ended, started: None
    )
    incarnation: ServerIncarnation | None = None
    slots: int = DEFAULT_SLOTS
    draining: bool = False
    has_left: bool = False
    sequence: int = NO_SEQUENCE
    rate_limit: ServerRateLimit = field(factory=ServerRateLimit)
    notices: dict[str, ServerNotice] = field(factory=dict)
    unreachable_until_s: float = 0.0
    _ended: dict[str, EndedServer] = field(factory=dict)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat or leave message; return whether the state has changed."""
        reported = heartbeat.incarnation
        current = self.incarnation
        if self._has_ended(reported):
            return self._apply_ended(heartbeat)
        if current is None or current.identity != reported.identity:
            return self._apply_other_identity(heartbeat)
        if current.is_after(reported):
            return False
        if reported.is_after(current):
            self.notices.pop(current.identity, None)
            self._start_incarnation(heartbeat)
            self.on_restart(current, reported)
            return True
        return self._apply_current(heartbeat)

    def apply_answer_identity(self, identity: str) -> bool:
        """Apply the identity that an answer names; return whether it is another one."""
        current = self.incarnation
        if not identity or (current is not None and current.identity == identity):
            return False
        # An answer proves that the identity is running, even if it was marked as ended.
        self._restore(identity)
        return True

    def apply_notice(self, notice: ServerNotice) -> None:
        """Apply what another node remembers of this server or an earlier one."""
        identity = notice.incarnation.identity
        known = self.notices.get(identity)
        if known is not None and known.leaving and known.concerns(notice.incarnation):
            # A stop that was announced is never taken back.
            notice = evolve(notice, leaving=True)
        self.notices.pop(identity, None)
        self.notices[identity] = notice
        if len(self.notices) > MAX_NOTICES:
            del self.notices[next(iter(self.notices))]
        self._restore_rate_limit()

    def is_leaving(self) -> bool:
        """Return whether the server has announced its stop or has left."""
        notice = self._find_notice()
        noticed = notice is not None and notice.leaving
        return self.draining or self.has_left or noticed

    def _find_notice(self) -> ServerNotice | None:
        """Return what other nodes remember of the current incarnation."""
        if self.incarnation is None:
            return None
        notice = self.notices.get(self.incarnation.identity)
        if notice is None or not notice.concerns(self.incarnation):
            return None
        return notice

    def _restore_rate_limit(self) -> None:
        notice = self._find_notice()
        if notice is not None and notice.rate_limit_per_s is not None:
            self.rate_limit.restore(notice.rate_limit_per_s)

    def apply_announced_stop(self) -> bool:
        """Apply that an answer announces the server's stop; return whether it is new.

        The heartbeat that says so may be late, or never come.
        """
        changed = not self.is_leaving()
        self.draining = True
        return changed

    def mark_unreachable(self, now_s: float) -> None:
        """Record that the server refused a connection."""
        self.unreachable_until_s = now_s + RECONNECT_DELAY_S

    def find_refusal_reason(self, now_s: float) -> Reason | None:
        """Return why the server can't be given calls, ``None`` when it can."""
        if self.incarnation is None:
            return Reason.SERVER_STARTING
        if self.has_left or now_s < self.unreachable_until_s:
            return Reason.NO_SERVER
        if self.is_leaving():
            return Reason.DRAINING
        return None

    def compute_concurrency_limit(self) -> int:
        """Return how many calls may run on the server at once."""
        return max(1, int(self.slots * MAX_SLOT_SHARE))

    def _apply_current(self, heartbeat: Heartbeat) -> bool:
        """Apply a message that names the current start or no start."""
        learned = self._learn_start(heartbeat.incarnation)
        if heartbeat.leaving:
            changed = not self.has_left
            self.has_left = True
            return changed
        if heartbeat.sequence <= self.sequence:
            return False
        self.sequence = heartbeat.sequence
        changed = heartbeat.draining and not self.draining
        self.draining = self.draining or heartbeat.draining
        self.slots = heartbeat.slots or self.slots
        # The server is alive: a connection may be tried at once.
        self.unreachable_until_s = 0.0
        return changed or learned

    def _learn_start(self, reported: ServerIncarnation) -> bool:
        """Set the start of a server that is known only from its answers."""
        if self.incarnation.started_ms != UNKNOWN_START:
            return False
        self.incarnation = reported
        return reported.started_ms != UNKNOWN_START

    def _apply_ended(self, heartbeat: Heartbeat) -> bool:
        """Apply a message of an identity that another one has replaced.

        While the present server stops, it gets no calls whose answers could name the
        server that is there. A new heartbeat is then believed; if it is late, the next
        call is rejected by the server that stops.
        """
        identity = heartbeat.incarnation.identity
        ended = self._ended[identity]
        ended.apply_late_message(heartbeat)
        if not self.is_leaving() or not ended.seems_alive(heartbeat):
            return False
        self._restore(identity)
        self._apply_current(heartbeat)
        return True

    def _restore(self, identity: str) -> None:
        """Make an identity the current one, with all that is known of it."""
        if self.incarnation is not None:
            self._mark_ended(self.incarnation)
        unknown = ServerIncarnation(identity)
        known = self._ended.pop(identity, None) or EndedServer(unknown, self.slots)
        self.incarnation = known.incarnation
        self.sequence = known.sequence
        self.draining = known.draining
        self.has_left = known.has_left
        self.slots = known.slots
        self.rate_limit.clear()
        self._restore_rate_limit()

    def _apply_other_identity(self, heartbeat: Heartbeat) -> bool:
        """Apply a message of an identity that is not the current one."""
        current = self.incarnation
        if current is not None and heartbeat.leaving:
            self._add_ended(
                EndedServer(heartbeat.incarnation, DEFAULT_SLOTS, has_left=True)
            )
            return False
        if current is not None:
            self._mark_ended(current)
        self._start_incarnation(heartbeat)
        return True

    def _start_incarnation(self, heartbeat: Heartbeat) -> None:
        """Replace the current incarnation and discard all state of the old one."""
        self.incarnation = heartbeat.incarnation
        # Later messages are compared with the start of the current incarnation.
        self._ended.pop(heartbeat.incarnation.identity, None)
        self.sequence = heartbeat.sequence
        self.draining = heartbeat.draining
        self.has_left = heartbeat.leaving
        self.slots = heartbeat.slots or DEFAULT_SLOTS
        self.service = heartbeat.service or self.service
        self.rate_limit.clear()
        self._restore_rate_limit()
        self.unreachable_until_s = 0.0

    def _mark_ended(self, current: ServerIncarnation) -> None:
        self._add_ended(
            EndedServer(
                current, self.slots, self.sequence, self.draining, self.has_left
            )
        )

    def _add_ended(self, ended: EndedServer) -> None:
        identity = ended.incarnation.identity
        self._ended.pop(identity, None)
        self._ended[identity] = ended
        if len(self._ended) > MAX_ENDED_IDENTITIES:
            del self._ended[next(iter(self._ended))]

    def _has_ended(self, incarnation: ServerIncarnation) -> bool:
        """Return whether this start, or a later one of the identity, has ended."""
        ended = self._ended.get(incarnation.identity)
        return ended is not None and ended.includes(incarnation)
