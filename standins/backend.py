"""Backend server: announces itself, runs requests in slots, calls downstream."""

from __future__ import annotations

import json
import os
import random
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import anyio
import fire
from attrs import asdict, frozen

from standins.announcer import Announcer
from standins.answers import Answerer, Faults, refuse
from standins.call_states import CALLS_PATH, CallStateTable
from standins.client import Client
from standins.downstream import CallFailedError, DownstreamClient
from standins.plans import Plan, find_plan, read_plans
from standins.runs import Run, RunTable
from standins.web import Listener, Request, Response, wait_for_signal

if TYPE_CHECKING:
    from collections.abc import Mapping

_DEFAULT_TIMEOUT_MS = 60_000
_MIN_DRAIN_S = 3.0
_MAX_DRAIN_S = 60.0
_DRAIN_POLL_INTERVAL_S = 0.05
_CRASH_EXIT = 70


@frozen
class Settings:
    """Settings of a backend server, from the flags of ``serve``."""

    service: str
    server: str
    address: str
    admin_address: str
    node_address: str
    advertise_address: str
    journal_address: str
    slots: int
    service_time_ms: float
    exponential: bool
    seed: int
    cold_s: float
    cold_factor: float
    queue_limit: int | None
    plans: dict[str, Plan]
    retries: int
    call_timeout_ms: float


class Server:
    """One backend server with its slots, faults and runs."""

    def __init__(self, settings: Settings) -> None:
        self.listener = Listener(settings.address, self._handle)
        self.admin = Listener(settings.admin_address, self._handle_admin)
        self._settings = settings
        self._faults = Faults()
        self._random = random.Random(settings.seed)
        self._slots = anyio.Semaphore(settings.slots)
        self._client = Client()
        self._answerer = Answerer(self._faults)
        self._runs = RunTable(
            settings.service, settings.server, settings.journal_address
        )
        self._downstream = DownstreamClient(
            self._client,
            settings.node_address,
            settings.retries,
            settings.call_timeout_ms,
        )
        self._call_states = CallStateTable()
        self._counts: Counter[str] = Counter()
        self._started = time.monotonic()
        self._drain_started: float | None = None
        self.announcer = Announcer(self._client, settings.node_address, self._describe)

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._settings.slots - self._slots.value

    async def drain(self) -> None:
        """Announce draining, finish the running requests, then deregister."""
        self._start_draining()
        earliest_end = time.monotonic() + _MIN_DRAIN_S
        with anyio.move_on_after(_MAX_DRAIN_S):
            while self.running or time.monotonic() < earliest_end:
                await anyio.sleep(_DRAIN_POLL_INTERVAL_S)
        await self.announcer.announce("DELETE")

    def _start_draining(self) -> None:
        self._faults.drain = True
        if self._drain_started is None:
            self._drain_started = time.monotonic()
        self.announcer.announce_soon()

    def _describe(self) -> dict[str, Any]:
        load = self._faults.load
        return {
            "service": self._settings.service,
            "address": self._settings.advertise_address,
            "state": "draining" if self._faults.drain else "serving",
            "load": self.running / self._settings.slots if load is None else load,
        }

    async def _handle(self, request: Request) -> Response | None:
        body = await request.read()
        if self._faults.silent:
            self._counts["silenced"] += 1
            await request.wait_disconnect()
            return None
        if request.path.startswith(CALLS_PATH):
            return self._call_states.report(request.path.removeprefix(CALLS_PATH))
        if self._faults.consume("lost"):
            self._counts["lost"] += 1
            await request.wait_disconnect()
            return None
        if self._drain_started is not None:
            self._counts["after_drain"] += 1
            since_s = time.monotonic() - self._drain_started
            self._counts["after_drain_last_ms"] = int(since_s * 1000)
        route = f"{request.method} {request.path}"
        call = request.headers.get("eelgrassmount-call", "")
        if self._must_shed():
            self._counts["shed"] += 1
            return self._call_states.add_headers(refuse("shedding"), call)
        if not self._call_states.start(call):
            self._counts["sealed"] += 1
            return self._call_states.add_headers(refuse("sealed"), call)
        run = self._runs.make(route, call, json.loads(body)["request"])
        timeout_ms = float(
            request.headers.get("eelgrassmount-timeout-ms", _DEFAULT_TIMEOUT_MS)
        )
        response = None
        with anyio.move_on_after(timeout_ms / 1000) as limit:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, request, group.cancel_scope)
                response = await self._run(run, body, limit)
                group.cancel_scope.cancel()
        if response is None:
            response = self._give_up(run, limit.cancelled_caught)
        response = self._call_states.finish(call, response)
        if self._faults.consume("mute"):
            await request.wait_disconnect()
            return None
        return response

    def _must_shed(self) -> bool:
        limit = self._settings.queue_limit
        waiting = self._slots.statistics().tasks_waiting
        full = limit is not None and self.running + waiting >= (
            self._settings.slots + limit
        )
        return full or (self._faults.drain and self._faults.refuse)

    def _give_up(self, run: Run, timed_out: bool) -> Response | None:
        outcome = "gave_up" if timed_out else "cancelled"
        if run.started is None:
            self._counts[f"{outcome}_waiting"] += 1
            return refuse("deadline") if timed_out else None
        self._runs.finish(run, outcome)
        verdict = {"eelgrassmount-verdict": "may-have-run"}
        return Response(504, b"", verdict) if timed_out else None

    async def _run(self, run: Run, body: bytes, limit: anyio.CancelScope) -> Response:
        async with self._slots:
            await self._runs.start(run)
            options = json.loads(body)
            if options.get("crash") and options.get("crash_service") == run.service:
                os._exit(_CRASH_EXIT)
            plan = find_plan(self._settings.plans, run.route)
            with anyio.CancelScope(shield=self._faults.late_ms > 0):
                await anyio.sleep(self._draw_service_time_s())
                try:
                    runs = await self._downstream.call_all(
                        plan,
                        run.call,
                        body,
                        limit.deadline,
                        bool(options.get("lenient")),
                    )
                except CallFailedError as failure:
                    self._runs.finish(run, "failed")
                    return Response(502, b"", failure.headers)
                await anyio.sleep(self._faults.late_ms / 1000)
            self._runs.finish(run, "finished")
            return self._answerer.answer(run, runs)

    def _draw_service_time_s(self) -> float:
        time_s = self._settings.service_time_ms / 1000 * self._faults.slow_factor
        if self._settings.exponential:
            time_s *= self._random.expovariate(1.0)
        if time.monotonic() - self._started < self._settings.cold_s:
            time_s *= self._settings.cold_factor
        return time_s

    async def _handle_admin(self, request: Request) -> Response:
        changes = await request.read_json()
        if request.path == "/runs":
            runs = [asdict(run) for run in self._runs.runs]
            return Response.from_json({"runs": runs})
        if request.path == "/stats":
            return Response.from_json(self._stats())
        if request.path != "/faults":
            return Response.from_json({"error": "no such resource"}, 404)
        self._faults.change(changes)
        if self._faults.drain:
            self._start_draining()
        else:
            self._drain_started = None
        self.announcer.announce_soon()
        return Response.from_json({"faults": asdict(self._faults)})

    def _stats(self) -> dict[str, Any]:
        return {
            "service": self._settings.service,
            "server": self._settings.server,
            "running": self.running,
            "waiting": self._slots.statistics().tasks_waiting,
            "counts": dict(self._counts),
            "node": self.announcer.last_reply,
            **self._runs.count(),
        }


async def _cancel_on_disconnect(request: Request, scope: anyio.CancelScope) -> None:
    await request.wait_disconnect()
    scope.cancel()


def serve(
    service: str,
    address: str,
    admin_address: str,
    node_address: str,
    server: str = "",
    advertise_address: str = "",
    journal_address: str = "",
    slots: int = 25,
    service_time_ms: float = 10.0,
    exponential: bool = False,
    seed: int = 0,
    cold_s: float = 0.0,
    cold_factor: float = 5.0,
    queue_limit: int | None = None,
    routes: str | Mapping[str, Any] = "{}",
    retries: int = 0,
    call_timeout_ms: float = _DEFAULT_TIMEOUT_MS,
) -> None:
    """Serve one backend server until SIGTERM, which drains it first.

    ``advertise_address`` is announced to the node (``address`` when empty).
    ``routes`` is the JSON table of downstream calls; each is retried up to
    ``retries`` times. Requests are shed when ``queue_limit`` requests wait.
    """
    settings = Settings(
        service,
        server or f"{service}@{address}",
        address,
        admin_address,
        node_address,
        advertise_address or address,
        journal_address,
        slots,
        service_time_ms,
        exponential,
        seed,
        cold_s,
        cold_factor,
        queue_limit,
        read_plans(routes),
        retries,
        call_timeout_ms,
    )

    async def run() -> None:
        backend = Server(settings)
        async with anyio.create_task_group() as group:
            group.start_soon(backend.listener.serve)
            group.start_soon(backend.admin.serve)
            group.start_soon(backend.announcer.run)
            await wait_for_signal()
            await backend.drain()
            group.cancel_scope.cancel()

    anyio.run(run)


if __name__ == "__main__":
    fire.Fire(serve)
