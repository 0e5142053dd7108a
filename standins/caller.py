"""Open-loop callers with timeouts and retries, as a library and as a process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import time
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any

import fire
from attrs import field, frozen

from standins.client import Answer, Client, UnansweredError
from standins.plans import expect_shape, read_plans
from standins.records import Attempt, Record, classify_answer, summarise
from standins.relay import make_loop

if TYPE_CHECKING:
    from collections.abc import Callable

_FINAL = frozenset({"complete", "failed", "partial", "mixed"})
_FINAL_STATUSES = frozenset({400, 404, 413, 422})


@frozen
class CallClass:
    """A class of requests; ``extra`` is merged into their bodies.

    ``expect`` is the shape of the complete answer, for example ``a(b,c)``.
    """

    name: str
    method: str
    path: str
    expect: str
    weight: float = 1.0
    keyed: bool = False
    timeout_ms: float = 2000.0
    extra: dict[str, Any] = field(factory=dict)


@frozen
class Phase:
    """A period with a constant request rate, in requests per second."""

    seconds: float
    rate: float


@frozen
class Load:
    """Requests to send, and the behaviour of the callers.

    After an outcome that isn't final, the request is retried up to ``retries`` times
    with the same key, after ``pause_ms`` or, with ``obey_retry_after``, after the
    longer of this and the delay that the refusal gives. ``sticky`` callers retry at
    the same node. Keys start with ``key_domain`` and a colon if it is given.
    """

    nodes: tuple[str, ...]
    classes: tuple[CallClass, ...]
    phases: tuple[Phase, ...]
    retries: int = 0
    pause_ms: float = 0.0
    obey_retry_after: bool = False
    sticky: bool = False
    key_domain: str = ""
    seed: int = 0


class Caller:
    """Sends requests and records the outcome of each."""

    def __init__(
        self,
        load: Load,
        client: Client,
        on_record: Callable[[Record], None],
        name: str = "",
    ) -> None:
        self._load = load
        self._client = client
        self._on_record = on_record
        self._name = name or uuid.uuid4().hex[:8]
        self._random = random.Random(load.seed)
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send the whole load; return when its last request has finished."""
        loop = asyncio.get_running_loop()
        weights = [call_class.weight for call_class in self._load.classes]
        due = loop.time()
        end = due
        for phase in self._load.phases:
            end += phase.seconds
            while phase.rate > 0:
                gap = self._random.expovariate(phase.rate)
                if due + gap > end:
                    break
                due += gap
                if due > loop.time():
                    await asyncio.sleep(due - loop.time())
                [call_class] = self._random.choices(self._load.classes, weights)
                task = loop.create_task(self.send(call_class, due))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            due = end
        await asyncio.sleep(max(0.0, end - loop.time()))
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def send(
        self, call_class: CallClass, t_start: float | None = None, key: str = ""
    ) -> None:
        """Send one request, with retries until the outcome is final or none remain."""
        self._number += 1
        request = f"{self._name}-{self._number}"
        if call_class.keyed and not key:
            prefix = f"{self._load.key_domain}:" if self._load.key_domain else ""
            key = prefix + uuid.UUID(int=self._random.getrandbits(128)).hex
        record = Record(call_class.name, key, t_start or time.monotonic())
        node = self._random.choice(self._load.nodes)
        for attempt_index in range(1 + self._load.retries):
            # Without a key, each attempt is a request of its own.
            name = request if key else f"{request}.{attempt_index + 1}"
            attempt = await self._send_once(call_class, node, name, key)
            record.sendings.append(attempt)
            if attempt.outcome in _FINAL or attempt.status in _FINAL_STATUSES:
                break
            if attempt_index < self._load.retries:
                await self._pause(attempt)
                if not self._load.sticky:
                    node = self._choose_other(node)
        record.t_end = record.sendings[-1].t_end
        record.outcome = record.sendings[-1].outcome
        self._on_record(record)

    async def _send_once(
        self, call_class: CallClass, node: str, request: str, key: str
    ) -> Attempt:
        body = json.dumps({"request": request, **call_class.extra}).encode()
        headers = {
            "content-type": "application/json",
            "eelgrassmount-timeout-ms": str(int(call_class.timeout_ms)),
        }
        if key:
            headers["idempotency-key"] = key
        start = time.monotonic()
        try:
            answer = await self._client.request(
                node,
                call_class.method,
                call_class.path,
                headers,
                body,
                call_class.timeout_ms / 1000,
            )
        except UnansweredError as error:
            outcome = "unreached" if error.reason == "connect" else "unknown"
            end = time.monotonic()
            return Attempt(request, node, start, end, outcome, "", 0, error.reason)
        name = call_class.extra.get("request", request)
        outcome = classify_answer(answer, name, call_class.expect)
        return _make_attempt(request, node, start, outcome, answer)

    def _choose_other(self, node: str) -> str:
        others = [other for other in self._load.nodes if other != node]
        return self._random.choice(others or [node])

    async def _pause(self, attempt: Attempt) -> None:
        pause_ms = self._load.pause_ms
        if self._load.obey_retry_after:
            pause_ms = max(pause_ms, attempt.retry_after_ms)
        if pause_ms:
            await asyncio.sleep(pause_ms / 1000)


def _make_attempt(
    request: str, node: str, start: float, outcome: str, answer: Answer
) -> Attempt:
    headers = answer.headers
    retry_after_s = float(headers.get("retry-after", 0))
    return Attempt(
        request,
        node,
        start,
        time.monotonic(),
        outcome,
        headers.get("eelgrassmount-verdict", ""),
        answer.status,
        headers.get("eelgrassmount-reason", ""),
        float(headers.get("eelgrassmount-retry-after-ms", retry_after_s * 1000)),
    )


def run_load(
    load: Load, name: str = "", on_record: Callable[[Record], None] | None = None
) -> list[Record]:
    """Send a load from this process and return a record of each request.

    ``on_record`` is called with each record when its request has finished.
    """
    records: list[Record] = []

    def add(record: Record) -> None:
        records.append(record)
        if on_record is not None:
            on_record(record)

    async def run() -> None:
        client = Client()
        await Caller(load, client, add, name).run()
        client.close()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(run())
    return records


def _parse_json_flag(value: Any) -> Any:
    return json.loads(value) if isinstance(value, str) else _convert_booleans(value)


def _convert_booleans(value: Any) -> Any:
    # fire parses JSON as Python, which makes true and false strings.
    match value:
        case list() | tuple():
            return [_convert_booleans(item) for item in value]
        case dict():
            return {name: _convert_booleans(item) for name, item in value.items()}
        case "true" | "false":
            return value == "true"
    return value


def serve(
    nodes: str | tuple[str, ...],
    classes: str | list[Any],
    phases: str | list[Any],
    routes: str | dict[str, Any] = "{}",
    output: str = "-",
    **options: Any,
) -> None:
    """Send a load and write one JSON line for each request, then a summary.

    ``nodes`` is a comma-separated list of ip:port, ``classes`` a JSON list of objects
    with ``name``, ``method``, ``path``, ``weight``, ``keyed``, ``timeout_ms`` and
    ``extra``, ``phases`` a JSON list of (seconds, rate), ``routes`` the route table
    of the backend servers, which defines complete answers. Lines go to the file
    ``output``, the summary to standard output. Options are ``retries``,
    ``pause_ms``, ``obey_retry_after``, ``sticky``, ``key_domain`` and ``seed``.
    """
    plans = read_plans(routes)
    call_classes = [
        CallClass(
            **{"expect": expect_shape(plans, entry["method"], entry["path"]), **entry}
        )
        for entry in _parse_json_flag(classes)
    ]
    addresses = nodes.split(",") if isinstance(nodes, str) else nodes
    load_phases = tuple(Phase(*phase) for phase in _parse_json_flag(phases))
    load = Load(tuple(addresses), tuple(call_classes), load_phases, **options)
    with contextlib.ExitStack() as stack:
        file = sys.stdout
        if output != "-":
            file = stack.enter_context(Path(output).open("w", buffering=1))
        records = run_load(
            load, on_record=lambda record: file.write(record.dump() + "\n")
        )
    print(json.dumps({"summary": summarise(records)}))


if __name__ == "__main__":
    fire.Fire(serve)
