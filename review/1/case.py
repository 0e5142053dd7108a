"""A late second copy of a rejection is taken for the answer to the next attempt."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    REQUEST_ID,
    Deployment,
    Message,
    Server,
    is_troubled,
    make_rule,
    run_case,
)

BOUNDS = {"drainMs": 2000, "graceS": 6, "stableWindowMs": 3000}
SEED = 1
REQUESTS = 960
CLIENTS = 6
# Both servers reject the first attempt of one request in so many, and they
# repeat that answer late.
REJECTED_PERIOD = 40
REPEAT_DELAY_RANGE_S = (0.005, 0.03)
DEADLINE_MS = 5000


def make_faulty(server: Server, rng: random.Random, repeats: bool) -> None:
    """Let a server reject some requests once, and repeat these answers late."""
    rejected: set[str] = set()

    def reject(request: Message) -> bool:
        name = request.headers[REQUEST_ID]
        number = int(request.start[1].rpartition("/")[2])
        if number % REJECTED_PERIOD or name in rejected:
            return False
        rejected.add(name)
        return True

    def spoil(writer: asyncio.StreamWriter, answer: bytes) -> None:
        if not repeats or not answer.startswith(b"HTTP/1.1 503"):
            return

        def repeat() -> None:
            if not writer.is_closing():
                server.record.write("repeated", server=server.identity)
                writer.write(answer)

        delay_s = rng.uniform(*REPEAT_DELAY_RANGE_S)
        asyncio.get_running_loop().call_later(delay_s, repeat)

    server.reject = reject
    server.spoil = spoil


async def scenario(deployment: Deployment) -> bool:
    """Run the case and return whether the rule held."""
    rng = random.Random(SEED)
    for number in (1, 2):
        vm = await deployment.add(f"vm-{number}", "booking", "zone-a", BOUNDS)
        vm.server = Server(f"i-{number}", "booking", vm, deployment.record)
        make_faulty(vm.server, rng, is_troubled())
        await vm.server.start()
        vm.start_node()
    rule = make_rule("/book/", "booking", "non_idempotent")
    await deployment.configure([rule], ["booking"])
    for vm in deployment.vms:
        vm.server.start_heartbeats(0.5)
    await deployment.wait_until_ready()
    await asyncio.sleep(3.0)
    statuses = {}
    left = iter(range(REQUESTS))

    async def run_client() -> None:
        for number in left:
            vm = deployment.vms[number % 2]
            name, answer = await deployment.send(
                vm, "POST", f"/book/{number}", DEADLINE_MS
            )
            statuses[name] = None if answer is None else answer.status

    await asyncio.gather(*(run_client() for _ in range(CLIENTS)))
    await asyncio.sleep(1.0)
    runs = Counter(name for vm in deployment.vms for name, *_ in vm.server.runs)
    twice = [name for name, count in runs.items() if count > 1]
    refused = [
        name for name, status in statuses.items() if status == 503 and runs[name]
    ]
    for name in twice:
        deployment.record.write("TWICE", id=name, runs=runs[name])
    for name in refused:
        deployment.record.write("REFUSED", id=name, runs=runs[name])
    counts = Counter(statuses.values())
    deployment.record.write(
        "counts", statuses=dict(counts), twice=len(twice), refused=len(refused)
    )
    print(dict(counts), "twice:", len(twice), "refused but run:", len(refused))
    return not twice and not refused


run_case(FOLDER, scenario)
