"""Queues calls for the backend server within its concurrency limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
from attrs import define, field

from eelgrassmount.context import PRIORITY_LEVELS, Tier
from eelgrassmount.load.limiter import Limiter
from eelgrassmount.load.port import Sample, SampleKind
from eelgrassmount.load.queue import (
    WaitingCall,
    WaitingQueue,
    compute_queue_capacity,
    make_waiting_call,
)
from eelgrassmount.load.refusals import (
    AdmissionMeter,
    compute_retry_after,
    spread_retry_after,
)
from eelgrassmount.load.state import ServiceLoad
from eelgrassmount.load.threshold import (
    THRESHOLD_INTERVAL_S,
    TIER_HOLD_S,
    PeriodCounts,
    ThresholdState,
    adjust_threshold,
)
from eelgrassmount.members.table import ServerState
from eelgrassmount.shared_node_state import DrainStage
from eelgrassmount.verdict import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.context import Context
    from eelgrassmount.shared_node_state import SharedNodeState
    from eelgrassmount.timers import Timer, TimerService

_SWEEP_INTERVAL_S = 0.02
_RUN_TIME_SMOOTHING = 0.1
# A call above the threshold may wait for the mean run time, or this long if longer.
_MIN_STARVED_S = 0.1
# A queue that has been nonempty for more mean run times is a standing queue.
_STANDING_QUEUE_RUNS = 2.0


@define
class LimitedDispatcher:
    """Admits calls to the backend server of this node.

    A call starts at once if the concurrency limit allows; otherwise it waits in a short
    queue or is refused. The limit, the threshold and the run times are reset when the
    server restarts.
    """

    shared_state: SharedNodeState
    timers: TimerService
    make_limiter: Callable[[float], Limiter] = Limiter
    in_flight: int = 0
    limiter: Limiter = field(init=False)
    queue: WaitingQueue = field(factory=WaitingQueue)
    threshold: ThresholdState = field(factory=ThresholdState)
    admission_meter: AdmissionMeter = field(factory=AdmissionMeter)
    _period_counts: PeriodCounts = field(factory=PeriodCounts)
    _run_s_by_class: dict[str, float] = field(factory=dict)
    _blocked_until_s: float = 0.0
    _last_completion_s: float = 0.0
    _served_address: str = ""
    _sweep_timer: Timer | None = None

    def __attrs_post_init__(self) -> None:
        """Subscribe to the timer service."""
        self.limiter = self.make_limiter(self.timers.read())
        self.timers.subscribe(THRESHOLD_INTERVAL_S, self.adjust)

    async def enter(self, context: Context) -> NotRun | None:
        """Wait for a slot; ``None`` means admitted, and `leave` must follow.

        A call that is cancelled while it waits holds no slot.
        """
        waiting = self.offer(context)
        if waiting.admitted or waiting.refusal is not None:
            return waiting.refusal
        try:
            await waiting.done.wait()
            await anyio.lowlevel.checkpoint_if_cancelled()
        except anyio.get_cancelled_exc_class():
            self.abandon(waiting)
            raise
        return waiting.refusal

    def offer(self, context: Context) -> WaitingCall:
        """Admit, refuse or queue a call, without waiting."""
        now_s = self.timers.read()
        self._start_sweeping(now_s)
        waiting = make_waiting_call(context, now_s)
        refusal = self._check_server() or self._check_call(waiting, now_s)
        if refusal is not None:
            self._refuse(waiting, refusal)
        elif not self.queue and self.in_flight < self.limiter.limit:
            self._record_arrival(waiting)
            self._admit(waiting, now_s)
        else:
            self._record_arrival(waiting)
            self._enqueue(waiting, now_s)
        return waiting

    def _start_sweeping(self, now_s: float) -> None:
        if self._sweep_timer is None:
            self._follow_server(now_s)
            self._sweep_timer = self.timers.subscribe(_SWEEP_INTERVAL_S, self.sweep)

    def _stop_idle_sweeping(self, period: PeriodCounts) -> None:
        # Frequent timers would keep an idle process awake.
        busy = period.ranks or period.in_flight or self.in_flight or self.queue
        if self._sweep_timer is not None and not busy:
            self._sweep_timer.cancel()
            self._sweep_timer = None

    def _record_arrival(self, waiting: WaitingCall) -> None:
        self._period_counts.ranks.append(waiting.rank)

    def _check_server(self) -> NotRun | None:
        if self.shared_state.drain is not DrainStage.RUNNING:
            return NotRun(Reason.DRAINING)
        match self.shared_state.server.state:
            case ServerState.SERVING:
                return None
            case ServerState.STARTING:
                return NotRun(Reason.SERVER_STARTING)
            case ServerState.DRAINING:
                return NotRun(Reason.DRAINING)
        return NotRun(Reason.NO_SERVER)

    def _check_call(self, waiting: WaitingCall, now_s: float) -> NotRun | None:
        if waiting.tier is Tier.REFUSED_FIRST and now_s < self._compute_block_end():
            return self._make_refusal(Reason.OVERLOAD, now_s)
        has_room = not self.queue and self.in_flight < self.limiter.limit
        ahead = 0 if has_room else self.queue.count_ahead(waiting.rank) + 1
        if self._can_finish(waiting, ahead, now_s):
            return None
        if self._can_finish(waiting, 0, now_s):
            # The call misses its deadline only because of the queue.
            self._record_overload(waiting, now_s)
            self._record_arrival(waiting)
        return self._make_refusal(Reason.DEADLINE, now_s)

    def _compute_block_end(self) -> float:
        return max(self._blocked_until_s, self.threshold.hold_until_s)

    def _can_finish(self, waiting: WaitingCall, ahead: int, now_s: float) -> bool:
        remaining_s = waiting.context.compute_remaining_s(now_s)
        needed_s = self._run_s_by_class.get(waiting.context.class_name, 0.0)
        if ahead:
            needed_s += ahead * self._estimate_slot_wait_s(now_s)
        return remaining_s > 0 and needed_s <= remaining_s

    def _estimate_slot_wait_s(self, now_s: float) -> float:
        """Return the expected time until a slot is released.

        The time since the last completion is the first sign of a server that slows
        down.
        """
        slot_interval_s = self.limiter.mean_run_s / max(self.limiter.limit, 1)
        return max(slot_interval_s, now_s - self._last_completion_s)

    def _enqueue(self, waiting: WaitingCall, now_s: float) -> None:
        if len(self.queue) < compute_queue_capacity(self.limiter.limit):
            self.queue.push(waiting)
            self._admit_waiting(now_s)
            return
        least_urgent = self.queue.find_least_urgent()
        if least_urgent is not None and least_urgent.rank > waiting.rank:
            self.queue.remove(least_urgent)
            self.queue.push(waiting)
            waiting = least_urgent
        self._record_overload(waiting, now_s)
        self._refuse(waiting, self._make_refusal(Reason.OVERLOAD, now_s))

    def _record_overload(self, waiting: WaitingCall, now_s: float) -> None:
        if waiting.rank < self.threshold.threshold:
            self._period_counts.refused += 1
        if waiting.tier is Tier.REFUSED_LAST:
            self._period_counts.refused_last = True
            self._blocked_until_s = now_s + TIER_HOLD_S
            self._refuse_tier(Tier.REFUSED_FIRST, now_s)

    def _refuse_tier(self, tier: Tier, now_s: float) -> None:
        for waiting in self.queue.list_calls():
            if waiting.tier is tier:
                self.queue.remove(waiting)
                self._refuse(waiting, self._make_refusal(Reason.OVERLOAD, now_s))

    def _make_refusal(self, reason: Reason, now_s: float) -> NotRun:
        self.admission_meter.record_refused(now_s)
        delay_s = compute_retry_after(self.admission_meter, now_s)
        return NotRun(reason, spread_retry_after(delay_s, self.timers.rng))

    def _refuse(self, waiting: WaitingCall, refusal: NotRun) -> None:
        waiting.refusal = refusal
        waiting.done.set()

    def _admit(self, waiting: WaitingCall, now_s: float) -> None:
        if not self.in_flight:
            # Idle time must not count as a slow server.
            self._last_completion_s = now_s
        self.in_flight += 1
        self.limiter.record_start(self.in_flight, now_s)
        self.admission_meter.record_admitted(now_s)
        waiting.admitted = True
        waiting.done.set()

    def _admit_waiting(self, now_s: float) -> None:
        while self.queue and self.in_flight < self.limiter.limit:
            waiting = self.queue.pop_next(self._is_queue_standing(now_s))
            if waiting is None:
                return
            if self._can_finish(waiting, 0, now_s):
                self._admit(waiting, now_s)
            else:
                self._refuse(waiting, self._make_refusal(Reason.DEADLINE, now_s))

    def _is_queue_standing(self, now_s: float) -> bool:
        standing_s = self.queue.compute_standing_s(now_s)
        return standing_s > _STANDING_QUEUE_RUNS * self.limiter.mean_run_s

    def abandon(self, waiting: WaitingCall) -> None:
        """Drop a call whose caller has disconnected before the call started."""
        if self.queue.remove(waiting):
            return
        if waiting.admitted:
            self.leave(Sample(SampleKind.CANCELLED, 0.0))

    def leave(self, sample: Sample) -> None:
        """Release the slot and start the next call."""
        now_s = self.timers.read()
        self._last_completion_s = now_s
        self.limiter.record(sample, self.in_flight, now_s)
        self.in_flight -= 1
        if sample.kind is SampleKind.COMPLETE:
            self._record_run(sample)
        self._admit_waiting(now_s)

    def _record_run(self, sample: Sample) -> None:
        mean_run_s = self._run_s_by_class.get(sample.class_name, sample.latency_s)
        mean_run_s += _RUN_TIME_SMOOTHING * (sample.latency_s - mean_run_s)
        self._run_s_by_class[sample.class_name] = mean_run_s

    def sweep(self) -> None:
        """Refuse waiting calls that would miss their deadline or never start."""
        now_s = self.timers.read()
        self._follow_server(now_s)
        self._period_counts.observe(
            self.queue.count_below(self.threshold.advertised),
            self.queue.count_below(PRIORITY_LEVELS),
            self.in_flight,
        )
        server_refusal = self._check_server()
        for waiting in self.queue.list_calls():
            if server_refusal is not None:
                refusal = server_refusal
            elif not self._can_finish(waiting, 0, now_s):
                refusal = self._make_refusal(Reason.DEADLINE, now_s)
            elif self._is_starved(waiting, now_s):
                refusal = self._make_refusal(Reason.OVERLOAD, now_s)
            else:
                continue
            self.queue.remove(waiting)
            self._refuse(waiting, refusal)
        self._admit_waiting(now_s)

    def _is_starved(self, waiting: WaitingCall, now_s: float) -> bool:
        # More urgent calls fill the server; this call and its callers would only wait
        # until their deadline.
        waited_s = now_s - waiting.arrived_s
        too_long = waited_s > max(self.limiter.mean_run_s, _MIN_STARVED_S)
        return too_long and waiting.rank >= self.threshold.threshold

    def _follow_server(self, now_s: float) -> None:
        server = self.shared_state.server
        if server.state in (ServerState.ABSENT, ServerState.STARTING):
            self._served_address = ""
        elif server.state is ServerState.SERVING:
            if server.address != self._served_address:
                self._reset(now_s)
            self._served_address = server.address

    def _reset(self, now_s: float) -> None:
        self.limiter = self.make_limiter(now_s)
        self.threshold = ThresholdState()
        self._run_s_by_class.clear()

    def adjust(self) -> None:
        """Adjust the limit and the threshold; called several times a second."""
        now_s = self.timers.read()
        self._follow_server(now_s)
        self.limiter.adjust(now_s)
        period, self._period_counts = self._period_counts, PeriodCounts()
        self._stop_idle_sweeping(period)
        observation = period.summarize(self.limiter.limit)
        adjust_threshold(self.threshold, observation, now_s)
        if now_s < self.threshold.hold_until_s:
            self._refuse_tier(Tier.REFUSED_FIRST, now_s)

    def describe(self) -> ServiceLoad:
        """Return the load that is sent with answers."""
        now_s = self.timers.read()
        threshold = self.threshold.advertised if self.shared_state.accepts_work else 0
        headroom = self.limiter.limit - self.in_flight - len(self.queue)
        return ServiceLoad(
            service=self.shared_state.server.service,
            threshold=threshold,
            headroom=max(0, headroom),
            retry_after_s=compute_retry_after(self.admission_meter, now_s),
            received_s=now_s,
        )
