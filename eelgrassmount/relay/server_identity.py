"""Decides which backend server stands at the address beside the node."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from eelgrassmount.relay.heartbeats import Heartbeat
    from eelgrassmount.relay.server import LocalServer


class Source(Enum):
    """How a statement about the server has reached the node."""

    MESSAGE = auto()  # a heartbeat or leave message
    HEALTH_CHECK = auto()  # the answer to the health check of a starting node
    REJECTION = auto()  # the answer of a server that another one was expected to be


class Evidence(Enum):
    """What shows the service of the server at the address."""

    NONE = auto()  # only its identity is known
    SETTINGS = auto()  # the settings that were in force when it was identified
    HEARTBEAT = auto()  # a heartbeat of its own


class Effect(Enum):
    """What a statement changes."""

    IGNORE = auto()  # late, or nothing new
    REFUSE = auto()  # about a server that doesn't belong here
    WITHDRAW = auto()  # the same, and the server at the address is that one
    RECORD = auto()  # of an identity that seems to have ended, in case it returns
    UPDATE = auto()  # about the present incarnation
    RESTART = auto()  # the present identity has started again
    REPLACE = auto()  # another incarnation is there
    RESTORE = auto()  # an identity that seemed to have ended is there
    HOLD = auto()  # another identity is there, which may be of another service
    IDENTIFY = auto()  # the first identity is there, of the service in the settings


def decide_effect(server: LocalServer, source: Source, said: Heartbeat) -> Effect:
    """Return what a statement about the server changes.

    ``said`` has only an identity unless ``source`` is a message. Each row of the table
    of incarnations in the design is one return::

        decide_effect(server, Source.REJECTION, Heartbeat(ServerIncarnation("i2")))
    """
    current = server.incarnation
    reported = said.incarnation
    is_current = current is not None and current.identity == reported.identity
    if source is not Source.MESSAGE:
        return _decide_answer(server, source, reported.identity, is_current)
    if server.find_mismatch(said) is not None:
        is_unproven = is_current and server.evidence is Evidence.SETTINGS
        return Effect.WITHDRAW if is_unproven else Effect.REFUSE
    if server.has_ended(reported):
        return Effect.RESTORE if _is_alive(server, said) else Effect.RECORD
    if not is_current:
        is_displaced_leave = current is not None and said.leaving
        return Effect.RECORD if is_displaced_leave else Effect.REPLACE
    if current.is_after(reported):
        is_later = server.seems_set_back(said)
        return Effect.RESTART if is_later else Effect.IGNORE
    return Effect.RESTART if reported.is_after(current) else Effect.UPDATE


def _decide_answer(
    server: LocalServer, source: Source, identity: str, is_current: bool
) -> Effect:
    """Return what an answer changes, which proves that an identity runs."""
    if not identity or is_current:
        return Effect.IGNORE
    if server.find_ended(identity) is not None:
        return Effect.RESTORE
    if source is Source.HEALTH_CHECK:
        return Effect.IDENTIFY
    return Effect.HOLD


def _is_alive(server: LocalServer, said: Heartbeat) -> bool:
    """Return whether an identity that seemed to have ended is to be believed again.

    No answer can name the server that is there while the present one gets no calls. If
    that stops, one new heartbeat of another is believed. If its service is unknown, its
    own heartbeat is awaited, unless another one goes on sending. If the heartbeat is
    late, the next call is rejected by the server that is there.
    """
    ended = server.find_ended(said.incarnation.identity)
    if not ended.seems_alive(said):
        return False
    is_held = server.evidence is Evidence.NONE
    return server.is_leaving() or (is_held and ended.was_heard_before(said))
