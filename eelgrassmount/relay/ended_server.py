"""Servers that others have replaced at the address of the local server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from eelgrassmount.relay.heartbeats import NO_SEQUENCE, UNKNOWN_START
from eelgrassmount.relay.server_identity import Evidence

if TYPE_CHECKING:
    from eelgrassmount.relay.heartbeats import Heartbeat, ServerIncarnation


@define(eq=False, repr=False)
class EndedServer:
    """What is known of an identity that another one has replaced.

    A late message of a crashed server may have replaced it although it runs on. If an
    answer names it again, all of this holds, an announced stop above all. All starts of
    the identity up to that of ``incarnation`` have ended, or all if that is unknown::

        ended = EndedServer(ServerIncarnation("i1", 1_700_000_000_000), slots=16)
        ended.includes(ServerIncarnation("i1", 1_600_000_000_000))  # True

    ``later_sequence`` is that of its last heartbeat since.
    """

    incarnation: ServerIncarnation
    slots: int
    sequence: int = NO_SEQUENCE
    draining: bool = False
    has_left: bool = False
    service: str = ""
    evidence: Evidence = Evidence.NONE
    later_sequence: int = NO_SEQUENCE

    def includes(self, incarnation: ServerIncarnation) -> bool:
        """Return whether a start of the identity has ended, as far as is known."""
        last_ms = self.incarnation.started_ms
        return last_ms == UNKNOWN_START or incarnation.started_ms <= last_ms

    def apply_late_message(self, heartbeat: Heartbeat) -> None:
        """Apply an announced stop, unless it is of an earlier start."""
        if not self._may_concern(heartbeat.incarnation):
            return
        if heartbeat.sequence > max(self.sequence, self.later_sequence):
            self.later_sequence = heartbeat.sequence
        self.draining = self.draining or heartbeat.draining
        self.has_left = self.has_left or heartbeat.leaving

    def seems_alive(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is a new one of a server that does not stop."""
        is_new = heartbeat.sequence > self.sequence
        stops = self.draining or self.has_left or heartbeat.draining
        return is_new and not stops and self._may_concern(heartbeat.incarnation)

    def was_heard_before(self, heartbeat: Heartbeat) -> bool:
        """Return whether it has sent another heartbeat since it was replaced."""
        return NO_SEQUENCE < self.later_sequence < heartbeat.sequence

    def _may_concern(self, incarnation: ServerIncarnation) -> bool:
        return not self.incarnation.is_after(incarnation)
