"""State machine of a graceful shutdown, without side effects."""

from __future__ import annotations

from enum import Enum, StrEnum

from attrs import evolve, frozen

from eelgrassmount.members.table import ServerState


class Cause(StrEnum):
    """The cause of a drain, in ascending order of priority."""

    SERVER = "server"
    ADMIN = "admin"
    SIGNAL = "signal"


class Step(Enum):
    """The steps of a drain, in order."""

    RUNNING = 0
    WAITING = 1
    HANDING_OVER = 2
    ENDING = 3
    LEAVING = 4
    DRAINED = 5


_PRIORITY = {Cause.SERVER: 1, Cause.ADMIN: 2, Cause.SIGNAL: 3}


@frozen
class DrainLimits:
    """Time limits of a drain, in seconds.

    For ``settle_s`` the node still receives calls from nodes that do not know of the
    drain. After ``limit_s`` it stops waiting for calls in flight. The hand-over of keys
    always gets ``hand_over_s``.
    """

    settle_s: float = 1.0
    limit_s: float = 60.0
    hand_over_s: float = 5.0


@frozen
class Observation:
    """The state of a node that decides on the next step of a drain."""

    now_s: float
    server_state: ServerState
    in_flight: int
    handed_over: bool = False
    has_left: bool = False


@frozen
class Drain:
    """The progress of a drain.

    ``interrupted`` is the number of requests and calls without an answer at the end of
    a drain that timed out.
    """

    step: Step = Step.RUNNING
    cause: Cause | None = None
    since_s: float = 0.0
    step_since_s: float = 0.0
    timed_out: bool = False
    interrupted: int = 0


def request_drain(drain: Drain, cause: Cause, now_s: float) -> Drain:
    """Start a drain, or raise the cause of the current one."""
    if drain.step is Step.RUNNING:
        return Drain(Step.WAITING, cause, now_s, now_s)
    if _PRIORITY[cause] > _PRIORITY[drain.cause]:
        return evolve(drain, cause=cause)
    return drain


def advance_drain(drain: Drain, limits: DrainLimits, observation: Observation) -> Drain:
    """Return the drain after its next step, or unchanged if that is not due.

    A drain that only the backend server requested is cancelled if the server announces
    that it serves again before keys are handed over.
    """
    match drain.step:
        case Step.RUNNING:
            if observation.server_state is ServerState.DRAINING:
                return request_drain(drain, Cause.SERVER, observation.now_s)
        case Step.WAITING:
            return _advance_waiting(drain, limits, observation)
        case Step.HANDING_OVER:
            elapsed_s = observation.now_s - drain.step_since_s
            overdue = _is_overdue(drain, limits, observation)
            abandoned = overdue and elapsed_s >= limits.hand_over_s
            if observation.handed_over or abandoned:
                timed_out = drain.timed_out or not observation.handed_over
                return _enter(
                    evolve(drain, timed_out=timed_out), Step.ENDING, observation
                )
        case Step.ENDING:
            # The node may still answer calls as the owner of their keys.
            if not observation.in_flight:
                return _enter(drain, Step.LEAVING, observation)
            if _is_overdue(drain, limits, observation):
                drain = evolve(drain, timed_out=True, interrupted=observation.in_flight)
                return _enter(drain, Step.LEAVING, observation)
        case Step.LEAVING:
            if observation.has_left:
                return _enter(drain, Step.DRAINED, observation)
    return drain


def _advance_waiting(
    drain: Drain, limits: DrainLimits, observation: Observation
) -> Drain:
    serving = observation.server_state is ServerState.SERVING
    if drain.cause is Cause.SERVER and serving:
        return Drain()
    settled = observation.now_s - drain.since_s >= limits.settle_s
    if settled and not observation.in_flight:
        return _enter(drain, Step.HANDING_OVER, observation)
    if _is_overdue(drain, limits, observation):
        return _enter(evolve(drain, timed_out=True), Step.HANDING_OVER, observation)
    return drain


def _is_overdue(drain: Drain, limits: DrainLimits, observation: Observation) -> bool:
    return observation.now_s - drain.since_s >= limits.limit_s


def _enter(drain: Drain, step: Step, observation: Observation) -> Drain:
    return evolve(drain, step=step, step_since_s=observation.now_s)
