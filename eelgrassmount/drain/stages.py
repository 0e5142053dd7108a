"""The steps of a graceful shutdown, as a pure state machine."""

from __future__ import annotations

from enum import Enum, StrEnum

from attrs import evolve, frozen

from eelgrassmount.members.table import ServerState


class Cause(StrEnum):
    """Why a node drains, from the weakest cause to the strongest."""

    SERVER = "server"
    ADMIN = "admin"
    SIGNAL = "signal"


class Step(Enum):
    """What a draining node is busy with."""

    RUNNING = 0
    WAITING = 1
    HANDING_OVER = 2
    ENDING = 3
    LEAVING = 4
    DRAINED = 5


_STRENGTH = {Cause.SERVER: 1, Cause.ADMIN: 2, Cause.SIGNAL: 3}


@frozen
class DrainLimits:
    """Bounds of a drain, in seconds.

    Calls that other nodes sent before they heard of the drain still arrive for
    ``settle_s``. After ``limit_s`` the node ends with what is then in flight, but
    gives the handing over of keys ``hand_over_s`` even then.
    """

    settle_s: float = 1.0
    limit_s: float = 60.0
    hand_over_s: float = 5.0


@frozen
class Observed:
    """What the node sees at one moment."""

    now_s: float
    server_state: ServerState
    in_flight: int
    handed_over: bool = False
    left: bool = False


@frozen
class Drain:
    """How far the shutdown has come; ``cut`` counts what the limit cut off."""

    step: Step = Step.RUNNING
    cause: Cause | None = None
    since_s: float = 0.0
    step_since_s: float = 0.0
    limit_hit: bool = False
    cut: int = 0


def request_drain(drain: Drain, cause: Cause, now_s: float) -> Drain:
    """Begin to drain, or strengthen the cause of a drain that has begun."""
    if drain.step is Step.RUNNING:
        return Drain(Step.WAITING, cause, now_s, now_s)
    if _STRENGTH[cause] > _STRENGTH[drain.cause]:
        return evolve(drain, cause=cause)
    return drain


def advance_drain(drain: Drain, limits: DrainLimits, observed: Observed) -> Drain:
    """Take the next step, if it is time for one.

    A drain that only the backend server asked for is undone when the server says that
    it is serving again, up to the moment when keys are handed over.
    """
    match drain.step:
        case Step.RUNNING:
            if observed.server_state is ServerState.DRAINING:
                return request_drain(drain, Cause.SERVER, observed.now_s)
        case Step.WAITING:
            return _advance_waiting(drain, limits, observed)
        case Step.HANDING_OVER:
            took_s = observed.now_s - drain.step_since_s
            overdue = _is_overdue(drain, limits, observed)
            given_up = overdue and took_s >= limits.hand_over_s
            if observed.handed_over or given_up:
                hit = drain.limit_hit or not observed.handed_over
                return _enter(evolve(drain, limit_hit=hit), Step.ENDING, observed)
        case Step.ENDING:
            # as their owner, the node may still be answering for calls
            if not observed.in_flight:
                return _enter(drain, Step.LEAVING, observed)
            if _is_overdue(drain, limits, observed):
                drain = evolve(drain, limit_hit=True, cut=observed.in_flight)
                return _enter(drain, Step.LEAVING, observed)
        case Step.LEAVING:
            if observed.left:
                return _enter(drain, Step.DRAINED, observed)
    return drain


def _advance_waiting(drain: Drain, limits: DrainLimits, observed: Observed) -> Drain:
    serving = observed.server_state is ServerState.SERVING
    if drain.cause is Cause.SERVER and serving:
        return Drain()
    settled = observed.now_s - drain.since_s >= limits.settle_s
    if settled and not observed.in_flight:
        return _enter(drain, Step.HANDING_OVER, observed)
    if _is_overdue(drain, limits, observed):
        return _enter(evolve(drain, limit_hit=True), Step.HANDING_OVER, observed)
    return drain


def _is_overdue(drain: Drain, limits: DrainLimits, observed: Observed) -> bool:
    return observed.now_s - drain.since_s >= limits.limit_s


def _enter(drain: Drain, step: Step, observed: Observed) -> Drain:
    return evolve(drain, step=step, step_since_s=observed.now_s)
