"""DRAIN: after a restart of all nodes, a late heartbeat brings a server back."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from review.stage import (
    Stage,
    call,
    has_trouble,
    make_request,
    make_rule,
    run_case,
)

REQUESTS_PER_S = 40
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# The last heartbeat before the leave arrives this long after it was sent.
HEARTBEAT_DELAY_S = 3.0
KILL_AFTER_S = 0.3
DOWN_S = 0.5
# The upstream serves on for some seconds after ``drainMs``.
SERVE_AFTER_S = 11.0


async def play(stage: Stage) -> int:
    """Let an upstream leave, kill all nodes, and deliver its last heartbeat late."""
    rules = [
        make_rule("/list/", "list", "idempotent"),
        make_rule("/gate/", "gate", "idempotent"),
    ]
    await stage.configure(rules)
    gate, _ = await stage.add("gate")
    _, leaving = await stage.add("list")
    for _ in range(3):
        await stage.add("list")
    await stage.wait_until_ready()
    clients = asyncio.create_task(send_requests(stage, gate.ip))
    await asyncio.sleep(1.0)
    leaving.stop_heartbeats()
    leaving.sequence += 1
    late_sequence = leaving.sequence
    late_s = stage.record.now() + HEARTBEAT_DELAY_S
    stage.record.add(f"{leaving.identity} sends heartbeat {late_sequence} (ready)")
    await asyncio.sleep(0.4)
    if not await leaving.leave():
        return 2
    left_s = stage.record.now()
    stage.record.add(f"the leave of {leaving.identity} is acknowledged")
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble():
        for node in stage.nodes:
            node.send_signal(signal.SIGKILL)
        for node in stage.nodes:
            node.process.wait()
        await asyncio.sleep(DOWN_S)
        for node in stage.nodes:
            node.start()
    restarted_s = stage.record.now()
    await asyncio.sleep(max(0.0, late_s - stage.record.now()))
    acknowledged = await leaving.announce(late_sequence)
    stage.record.add(
        f"heartbeat {late_sequence} of {leaving.identity} arrives late: "
        f"{'acknowledged' if acknowledged else 'refused'}"
    )
    await asyncio.sleep(max(0.0, left_s + SERVE_AFTER_S - stage.record.now()))
    clients.cancel()
    in_touch_s = restarted_s + STABLE_WINDOW_S + 1.0
    from_s = max(left_s + DRAIN_S, in_touch_s)
    wrong = [run for run in leaving.runs if run.started_s > from_s]
    for run in wrong:
        stage.record.add(
            f"BROKEN: {run.request_id} ran at {run.server} at {run.started_s:.3f}, "
            f"{run.started_s - left_s:.3f} s after the acknowledged leave"
        )
    total = sum(len(upstream.runs) for upstream in stage.upstreams)
    stage.record.add(f"{total} runs, {len(wrong)} at a server that has left")
    if not total:
        return 2
    return 1 if wrong else 0


async def send_requests(stage: Stage, ip: str) -> None:
    """Send requests at a steady rate until cancelled."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            group.create_task(send_request(stage, ip, number))
            await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def send_request(stage: Stage, ip: str, number: int) -> None:
    """Send one request for a list."""
    request_id = f"{number:016x}"
    data = make_request("GET", f"/list/{number}", request_id, 3000)
    stage.record.add(f"client sends {request_id}")
    try:
        async with asyncio.timeout(4.0):
            answer = await call(ip, 8304, data)
        stage.record.add(f"client gets {answer.status} to {request_id}")
    except (OSError, EOFError, asyncio.IncompleteReadError) as error:
        stage.record.add(f"client gets no answer to {request_id}: {error!r}")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
