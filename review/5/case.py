"""ROUTE: a request runs at a service that has taken over an upstream's address."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.stage import (
    HEARTBEAT_S,
    Stage,
    Upstream,
    call,
    has_trouble,
    make_request,
    make_rule,
    run_case,
)

REQUESTS_PER_S = 40
BEFORE_S = 2.0
# The pages allow an address to be used again after ``reuseAfterS``, which is 2 s.
REUSE_AFTER_S = 3.0
AFTER_S = 6.0


async def play(stage: Stage) -> int:
    """Ask for lists while the address of one of their upstreams changes hands."""
    rules = [
        make_rule("/list/", "list", "idempotent"),
        make_rule("/pay/", "pay", "non_idempotent"),
        make_rule("/gate/", "gate", "idempotent"),
    ]
    await stage.configure(rules)
    gate, _ = await stage.add("gate")
    node, crashed = await stage.add("list")
    await stage.add("list")
    await stage.add("list")
    await stage.add("pay")
    await stage.wait_until_ready()
    clients = asyncio.create_task(send_requests(stage, gate.ip))
    await asyncio.sleep(BEFORE_S)
    if has_trouble():
        crashed.end()
        stage.record.add(f"server {crashed.identity} of list has crashed for good")
        await asyncio.sleep(REUSE_AFTER_S)
        follower = Upstream(stage.record, "i-09pay", "pay", crashed.ip)
        stage.upstreams.append(follower)
        node.service = "pay"
        node.write_settings()
        # It reports approximately each heartbeat interval, the first time within it.
        await follower.start(HEARTBEAT_S * 0.8)
        stage.record.add(
            f"server {follower.identity} of pay listens at {crashed.ip}:8301; "
            f"the settings file of {node.name} names pay"
        )
    await asyncio.sleep(AFTER_S)
    clients.cancel()
    runs = [run for upstream in stage.upstreams for run in upstream.runs]
    wrong = [
        run
        for run in runs
        if run.message.start.split()[1].startswith("/list/") and run.service != "list"
    ]
    for run in wrong:
        stage.record.add(
            f"BROKEN: {run.request_id} ({run.message.start}) ran at {run.server} of "
            f"{run.service} at {run.started_s:.3f}"
        )
    stage.record.add(f"{len(runs)} runs, {len(wrong)} at a wrong service")
    if not runs:
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
        stage.record.add(
            f"client gets {answer.status} to {request_id}, signature "
            f"{answer.headers.get('eelgrassmount-response-signature', 'none')}"
        )
    except (OSError, EOFError, asyncio.IncompleteReadError) as error:
        stage.record.add(f"client gets no answer to {request_id}: {error!r}")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
