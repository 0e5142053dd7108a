"""UNASKED: a request that offers a protocol upgrade runs without its body."""

from __future__ import annotations

import asyncio
import hashlib
import sys
from pathlib import Path

from review.stage import Stage, call, has_trouble, make_request, make_rule, run_case

REQUESTS = 20
# The headers by which common HTTP/1.1 clients offer HTTP/2 on a connection. A server
# may ignore the offer; the request is complete without it.
OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\n"
    "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n"
)


async def play(stage: Stage) -> int:
    """Send bookings and compare their bodies with those that the upstream ran."""
    rules = [
        make_rule("/book/", "desk", "non_idempotent"),
        make_rule("/gate/", "gate", "idempotent"),
    ]
    await stage.configure(rules)
    gate, _ = await stage.add("gate")
    _, desk = await stage.add("desk")
    await stage.wait_until_ready()
    sent = {}
    for number in range(REQUESTS):
        request_id = f"{number:016x}"
        body = b'{"booking":"%d","press":"Bowbazar Offset"}' % number
        sent[request_id] = body
        head = OFFER if has_trouble() else ""
        data = make_request("POST", f"/book/{number}", request_id, 5000, body, head)
        stage.record.add(f"client sends {request_id} with a body of {len(body)} bytes")
        async with asyncio.timeout(6.0):
            answer = await call(gate.ip, 8304, data)
        stage.record.add(f"client gets {answer.status} to {request_id}")
        await asyncio.sleep(0.05)
    changed = 0
    for run in desk.runs:
        want = hashlib.sha256(sent[run.request_id]).hexdigest()[:12]
        got = hashlib.sha256(run.message.body).hexdigest()[:12]
        if want != got:
            changed += 1
            stage.record.add(
                f"BROKEN: {run.request_id} ran with body {got}, sent was {want}"
            )
    if not desk.runs:
        stage.record.add("nothing ran")
        return 2
    stage.record.add(f"{len(desk.runs)} runs, {changed} with a changed body")
    return 1 if changed else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
