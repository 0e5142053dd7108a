"""What a node believes of the backend server beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from eelgrassmount.relay.heartbeats import ServerIncarnation
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from eelgrassmount.relay.heartbeats import Heartbeat
    from eelgrassmount.util.addresses import Address

# part of the slots that is used: a server that is nearly full slows down, and its
# own new connections hold a slot for a moment
SLOT_SHARE = 0.93
DEFAULT_SLOTS = 16
# after a connection was refused, the next one is tried so much later
RETRY_S = 0.25


@define(eq=False)
class LocalServer:
    """The server of this VM: its incarnation, slots and whether it takes work.

    Heartbeats may arrive late, also those of an incarnation that has ended: the
    sequence tells them apart within one incarnation, and incarnations that were
    replaced or named as wrong by the server itself are not taken up again.
    """

    service: str
    address: Address
    incarnation: ServerIncarnation | None = None
    slots: int = DEFAULT_SLOTS
    draining: bool = False
    left: bool = False
    sequence: int = -1
    unreachable_until_s: float = 0.0
    _ended: set[str] = field(factory=set)

    def note_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Take up a heartbeat or a leave; tell whether anything has changed."""
        if heartbeat.incarnation.identity in self._ended:
            return False
        if heartbeat.leaving:
            return self._note_leave(heartbeat)
        if not self._is_present(heartbeat.incarnation):
            self._replace(heartbeat)
            return True
        if heartbeat.sequence <= self.sequence:
            return False
        self.sequence = heartbeat.sequence
        changed = heartbeat.draining and not self.draining
        self.draining = self.draining or heartbeat.draining
        self.slots = heartbeat.slots or self.slots
        # a server that is heard may be tried at once
        self.unreachable_until_s = 0.0
        return changed

    def note_named(self, identity: str) -> None:
        """Take up the identity that answered in place of the expected one."""
        named = ServerIncarnation(identity)
        if identity and not self._is_present(named):
            if self.incarnation is not None:
                self._ended.add(self.incarnation.identity)
            self._ended.discard(identity)
            self.incarnation = named
            self.sequence = -1
            self.draining = False
            self.left = False

    def note_unreachable(self, now_s: float) -> None:
        """Note that the server does not accept connections."""
        self.unreachable_until_s = now_s + RETRY_S

    def find_refusal(self, now_s: float) -> Reason | None:
        """Return why the server can't be given work, ``None`` when it can."""
        if self.incarnation is None:
            return Reason.SERVER_STARTING
        if self.left or now_s < self.unreachable_until_s:
            return Reason.NO_SERVER
        if self.draining:
            return Reason.DRAINING
        return None

    def compute_limit(self) -> int:
        """Return how many calls the server is given at once."""
        return max(1, int(self.slots * SLOT_SHARE))

    def _is_present(self, incarnation: ServerIncarnation) -> bool:
        present = self.incarnation
        return present is not None and present.identity == incarnation.identity

    def _note_leave(self, heartbeat: Heartbeat) -> bool:
        if not self._is_present(heartbeat.incarnation):
            if self.incarnation is not None:
                self._ended.add(heartbeat.incarnation.identity)
                return False
            self.incarnation = heartbeat.incarnation
        changed = not self.left
        self.left = True
        return changed

    def _replace(self, heartbeat: Heartbeat) -> None:
        if self.incarnation is not None:
            self._ended.add(self.incarnation.identity)
        self.incarnation = heartbeat.incarnation
        self.sequence = heartbeat.sequence
        self.draining = heartbeat.draining
        self.left = False
        self.slots = heartbeat.slots or self.slots
        self.service = heartbeat.service or self.service
        self.unreachable_until_s = 0.0
