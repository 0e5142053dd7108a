"""State of the backend server on the node's own VM."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from attrs import Factory, define, evolve, field

from eelgrassmount.errors import WrongServerError
from eelgrassmount.relay.ended_server import EndedServer
from eelgrassmount.relay.heartbeats import (
    NO_SEQUENCE,
    UNKNOWN_START,
    Heartbeat,
    ServerIncarnation,
)
from eelgrassmount.relay.server_identity import (
    Effect,
    Evidence,
    Source,
    decide_effect,
)
from eelgrassmount.relay.server_rate_limit import ServerRateLimit
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

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
# A start that has sent nothing for two intervals of heartbeats may have ended.
SILENT_START_S = 3.0
# Identities of which notices of other nodes are kept; the oldest are dropped.
MAX_NOTICES = 8


@define(eq=False, repr=False)
class LocalServer:
    """The backend server of this VM: its incarnation, slots and availability.

    `decide_effect` decides which incarnation is at the address and whether a message
    or an answer concerns it; the methods here carry that out. On a later start of the
    same identity ``on_restart`` is called with the earlier and the later start.

    ``service`` is the service of the present incarnation, and ``evidence`` what shows
    it. ``configured_service`` is the one in the settings, which heartbeats have to
    name. Without evidence the server gets no calls, nor while it is ``unverified``, see
    `StartupCheck`.

    Other nodes may send a notice on what the server has said to an earlier process of
    this node. It applies as long as it concerns the current incarnation.

    A server whose clock was set back starts again with a smaller start time.
    ``earlier_start`` is the last heartbeat that seemed to be of an earlier start, and
    ``heard_s`` the time of the last message of the present one.

    An identity that another one has replaced may return, as a late heartbeat of a
    crashed server may have taken the place of one that runs on. All that is known of
    it then holds again: its service and an announced stop above all.
    """

    service: str
    address: Address
    on_restart: Callable[[ServerIncarnation, ServerIncarnation], None] = (
        lambda ended, started: None
    )
    configured_service: str = field(
        default=Factory(lambda self: self.service, takes_self=True)
    )
    incarnation: ServerIncarnation | None = None
    evidence: Evidence = Evidence.NONE
    unverified: bool = False
    slots: int = DEFAULT_SLOTS
    draining: bool = False
    has_left: bool = False
    sequence: int = NO_SEQUENCE
    rate_limit: ServerRateLimit = field(factory=ServerRateLimit)
    notices: dict[str, ServerNotice] = field(factory=dict)
    unreachable_until_s: float = 0.0
    clock: Callable[[], float] = time.monotonic
    heard_s: float = -math.inf
    earlier_start: Heartbeat | None = None
    _ended: dict[str, EndedServer] = field(factory=dict)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat or leave message; return whether the state has changed.

        Raises `WrongServerError`, without an acknowledgement of the message, if it
        names another service or address than the settings.
        """
        effect = decide_effect(self, Source.MESSAGE, heartbeat)
        if effect in (Effect.REFUSE, Effect.WITHDRAW):
            if effect is Effect.WITHDRAW:
                self.evidence = Evidence.NONE
            raise WrongServerError(*self.find_mismatch(heartbeat))
        if effect is Effect.IGNORE:
            self._remember_earlier_start(heartbeat)
        return self._apply(effect, heartbeat)

    def keeps_stop(self, heartbeat: Heartbeat) -> bool:
        """Return whether a stop that an applied message announces is kept.

        That of an earlier start is not. If the start is in fact a later one, an
        acknowledgement would promise what the node doesn't do.
        """
        stops = heartbeat.draining or heartbeat.leaving
        return not (stops and self.incarnation.is_after(heartbeat.incarnation))

    def apply_answer_identity(
        self, identity: str, source: Source | None = None
    ) -> bool:
        """Apply the identity that an answer names; return whether it is another one.

        Without a source, the first identity is that of a health check, and later ones
        are of rejections.
        """
        if source is None:
            is_first = self.incarnation is None
            source = Source.HEALTH_CHECK if is_first else Source.REJECTION
        said = Heartbeat(ServerIncarnation(identity))
        return self._apply(decide_effect(self, source, said), said)

    def apply_settings(self, service: str) -> None:
        """Apply the service that the settings name.

        A server that is there keeps its service until a heartbeat names the new one.
        """
        self.configured_service = service
        if self.incarnation is None:
            self.service = service

    def find_mismatch(self, heartbeat: Heartbeat) -> tuple[str, str, str] | None:
        """Return what a heartbeat names otherwise than the settings, and both values.

        A leave message names neither service nor address.
        """
        address = str(self.address)
        if heartbeat.service not in ("", self.configured_service):
            return ("service", heartbeat.service, self.configured_service)
        if heartbeat.address not in ("", address):
            return ("address", heartbeat.address, address)
        return None

    def has_ended(self, incarnation: ServerIncarnation) -> bool:
        """Return whether this start, or a later one of the identity, has ended."""
        ended = self._ended.get(incarnation.identity)
        return ended is not None and ended.includes(incarnation)

    def seems_set_back(self, heartbeat: Heartbeat) -> bool:
        """Return whether an earlier start is in fact the later one.

        Its clock was then set back. It goes on sending while the present start is
        silent; heartbeats of a crashed start stop arriving.
        """
        known = self.earlier_start
        return (
            known is not None
            and known.incarnation == heartbeat.incarnation
            and known.sequence < heartbeat.sequence
            and self.clock() - self.heard_s > SILENT_START_S
        )

    def find_ended(self, identity: str) -> EndedServer | None:
        """Return what is known of an identity that another one has replaced."""
        return self._ended.get(identity)

    def _apply(self, effect: Effect, said: Heartbeat) -> bool:
        """Carry out a decision; return whether the state has changed."""
        identity = said.incarnation.identity
        match effect:
            case Effect.RECORD:
                self._record_displaced(said)
                return False
            case Effect.UPDATE:
                self.heard_s = self.clock()
                return self._apply_current(said)
            case Effect.RESTART:
                self._restart(said)
            case Effect.REPLACE:
                self._mark_ended()
                self._start_incarnation(said)
            case Effect.RESTORE:
                self._restore(self._ended.pop(identity))
                # An answer says no more than the identity.
                if said.sequence != NO_SEQUENCE:
                    self._apply_current(said)
            case Effect.HOLD:
                self._restore(EndedServer(said.incarnation, self.slots))
            case Effect.IDENTIFY:
                self._restore(EndedServer(said.incarnation, self.slots))
                self.service = self.configured_service
                self.evidence = Evidence.SETTINGS
            case _:
                return False
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
        if self.incarnation is None or self.unverified:
            return Reason.SERVER_STARTING
        if self.has_left or now_s < self.unreachable_until_s:
            return Reason.NO_SERVER
        if self.evidence is Evidence.NONE:
            return Reason.SERVER_STARTING
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
        proven = self._prove_service(heartbeat.service)
        changed = heartbeat.draining and not self.draining
        self.draining = self.draining or heartbeat.draining
        self.slots = heartbeat.slots or self.slots
        # The server is alive: a connection may be tried at once.
        self.unreachable_until_s = 0.0
        return changed or learned or proven

    def _learn_start(self, reported: ServerIncarnation) -> bool:
        """Set the start of a server that is known only from its answers."""
        if self.incarnation.started_ms != UNKNOWN_START:
            return False
        self.incarnation = reported
        return reported.started_ms != UNKNOWN_START

    def _prove_service(self, service: str) -> bool:
        """Set the service that a heartbeat names; return whether it tells more."""
        before = (self.service, self.evidence is Evidence.NONE)
        self.service = service or self.service
        self.evidence = Evidence.HEARTBEAT
        return before != (self.service, False)

    def _remember_earlier_start(self, heartbeat: Heartbeat) -> None:
        """Keep the newest heartbeat of the latest of the earlier starts."""
        known = self.earlier_start
        if heartbeat.leaving:
            return
        if (
            known is None
            or heartbeat.incarnation.identity != known.incarnation.identity
            or heartbeat.incarnation.is_after(known.incarnation)
            or heartbeat.sequence > known.sequence
        ):
            self.earlier_start = heartbeat

    def _restart(self, heartbeat: Heartbeat) -> None:
        """Apply the first message of a later start of the current identity."""
        earlier = self.incarnation
        self.notices.pop(earlier.identity, None)
        self._start_incarnation(heartbeat)
        self.on_restart(earlier, heartbeat.incarnation)

    def _restore(self, known: EndedServer) -> None:
        """Make an identity the current one, with all that is known of it."""
        self._mark_ended()
        self.incarnation = known.incarnation
        self.evidence = known.evidence
        self.service = known.service or self.service
        self.sequence = known.sequence
        self.draining = known.draining
        self.has_left = known.has_left
        self.slots = known.slots
        self.rate_limit.clear()
        self._restore_rate_limit()

    def _record_displaced(self, heartbeat: Heartbeat) -> None:
        """Keep a message of an identity that seems to have ended."""
        known = self._ended.get(heartbeat.incarnation.identity)
        if known is not None and known.includes(heartbeat.incarnation):
            known.apply_late_message(heartbeat)
        else:
            ended = EndedServer(heartbeat.incarnation, DEFAULT_SLOTS, has_left=True)
            self._add_ended(ended)

    def _start_incarnation(self, heartbeat: Heartbeat) -> None:
        """Replace the current incarnation and discard all state of the old one."""
        self.incarnation = heartbeat.incarnation
        self.heard_s = self.clock()
        self.earlier_start = None
        # Later messages are compared with the start of the current incarnation.
        self._ended.pop(heartbeat.incarnation.identity, None)
        self.sequence = heartbeat.sequence
        self.draining = heartbeat.draining
        self.has_left = heartbeat.leaving
        self.slots = heartbeat.slots or DEFAULT_SLOTS
        self.evidence = Evidence.NONE if heartbeat.leaving else Evidence.HEARTBEAT
        self.service = heartbeat.service or self.service
        self.rate_limit.clear()
        self._restore_rate_limit()
        self.unreachable_until_s = 0.0

    def _mark_ended(self) -> None:
        """Keep what is known of the current incarnation, which is being replaced."""
        if self.incarnation is None:
            return
        self._add_ended(
            EndedServer(
                self.incarnation,
                self.slots,
                self.sequence,
                self.draining,
                self.has_left,
                self.service,
                self.evidence,
            )
        )

    def _add_ended(self, ended: EndedServer) -> None:
        identity = ended.incarnation.identity
        self._ended.pop(identity, None)
        self._ended[identity] = ended
        if len(self._ended) > MAX_ENDED_IDENTITIES:
            del self._ended[next(iter(self._ended))]
