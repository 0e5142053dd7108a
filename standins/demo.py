"""Demonstration: a small deployment under a surge of bookings and lookups."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import fire

from standins.caller import CallClass, Caller, Load
from standins.client import Client
from standins.deploy import (
    NODE_COMMAND,
    PYTHON,
    Deployment,
    DeploymentSpec,
    ServiceSpec,
)
from standins.plans import Plan, dump_plans
from standins.records import Record, find_duplicate_runs, find_false_refusals, summarise

if TYPE_CHECKING:
    from standins.processes import Process

CONFIGURATION = Path(__file__).with_name("demo.toml")
CLASSES = (
    {"name": "booking", "method": "POST", "path": "/jobdesk/bookings"}
    | {"weight": 0.4, "keyed": True, "timeout_ms": 2000},
    {"name": "status", "method": "GET", "path": "/proofline/status"}
    | {"weight": 0.4, "timeout_ms": 1000},
    {"name": "price", "method": "GET", "path": "/ratebook/price"}
    | {"weight": 0.2, "timeout_ms": 1000},
)
CALLERS = 2
# Duration in seconds and requests per second of each caller: calm, surge, calm.
PHASES = ((6, 25), (10, 120), (12, 25))
RETRIES = 2
PAUSE_MS = 200
COLUMNS = ("sent", "complete", "refused", "unknown", "doubled", "p50_ms", "p99_ms")

_CONFIGURATION_TIMEOUT_S = 15.0
_WARM_UP_TIMEOUT_S = 15.0
_FINISH_TIMEOUT_S = 30.0


def make_spec(node_command: tuple[str, ...] = NODE_COMMAND) -> DeploymentSpec:
    """Return the deployment, in which proofline has the least capacity."""
    bookings = Plan((("POST", "/platehouse/orders"), ("GET", "/ratebook/price")))
    orders = Plan((("GET", "/proofline/status"),), parallel=False)
    services = (
        ServiceSpec("jobdesk", 1, 30, 10.0, {"POST /jobdesk/bookings": bookings}),
        ServiceSpec("platehouse", 1, 30, 10.0, {"POST /platehouse/orders": orders}),
        ServiceSpec("ratebook", 1, 10, 10.0),
        ServiceSpec("proofline", 1, 2, 50.0),
    )
    domains = ("bowbazar", "sealdah")
    return DeploymentSpec(domains, services, node_command=node_command)


def run_demo(node_command: tuple[str, ...] = NODE_COMMAND) -> int:
    """Run the demonstration and return its exit status."""
    print("starting 2 failure domains of 4 VMs each, the log and the journal ...")
    with Deployment(make_spec(node_command)) as deployment:
        published = deployment.publish(CONFIGURATION.read_text())
        print(published.stdout.strip())
        if published.returncode != 0:
            raise RuntimeError(f"config publish failed: {published.stderr}")
        deployment.wait_until_in_force(1, _CONFIGURATION_TIMEOUT_S)
        asyncio.run(_warm_up(deployment))
        records = _send(deployment)
        runs = deployment.get_runs()
    doubled = find_duplicate_runs(runs)
    summary = summarise(records, doubled)
    false_refusals = len(find_false_refusals(records, runs))
    _show_table(summary)
    total = summary["all"]
    wrong = len(doubled) + total["mixed"] + total["partial"] + false_refusals
    idle = [
        call_class["name"]
        for call_class in CLASSES
        if not _has_complete(summary, call_class)
    ]
    if idle:
        print(f"no request was completed of: {', '.join(idle)}")
    if false_refusals:
        print(
            f"{false_refusals} refusals with verdict 'not run' for a request that ran"
        )
    passed = wrong == 0 and not idle
    print(
        json.dumps(
            {
                "passed": passed,
                "classes": summary,
                "doubled_runs": len(doubled),
                "false_refusals": false_refusals,
            }
        )
    )
    return 0 if passed else 1


def _has_complete(
    summary: dict[str, dict[str, float]], call_class: dict[str, object]
) -> bool:
    return summary.get(call_class["name"], {}).get("complete", 0) > 0


def _make_classes(spec: DeploymentSpec) -> tuple[CallClass, ...]:
    return tuple(
        CallClass(
            **call_class, expect=spec.expect(call_class["method"], call_class["path"])
        )
        for call_class in CLASSES
    )


async def _warm_up(deployment: Deployment) -> None:
    """Send requests of each class, one at a time, until one is complete."""
    classes = _make_classes(deployment.spec)
    deadline = time.monotonic() + _WARM_UP_TIMEOUT_S
    records: list[Record] = []
    load = Load(tuple(deployment.caller_addresses), classes, ())
    caller = Caller(load, Client(), records.append, "warm")
    for call_class in classes:
        await caller.send(call_class)
        while records[-1].outcome != "complete":
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"no complete answer in warm-up; last record: {records[-1].dump()}"
                )
            await asyncio.sleep(0.1)
            await caller.send(call_class)


def _send(deployment: Deployment) -> list[Record]:
    outputs = [deployment.folder / f"records-{i}.jsonl" for i in range(CALLERS)]
    processes = [
        _start_caller(deployment, number, output)
        for number, output in enumerate(outputs)
    ]
    started = time.monotonic()
    limit_s = sum(seconds for seconds, _ in PHASES) + _FINISH_TIMEOUT_S
    shown = 0
    while any(process.running for process in processes):
        if time.monotonic() - started > limit_s:
            raise TimeoutError("callers did not finish in time")
        time.sleep(1.0)
        records = _read_records(outputs)
        _show_progress(time.monotonic() - started, records[shown:])
        shown = len(records)
    for process in processes:
        if process.wait(0) != 0:
            raise RuntimeError(f"{process.name} failed: {process.read_log()}")
    return _read_records(outputs)


def _start_caller(deployment: Deployment, number: int, output: Path) -> Process:
    flags = {
        "nodes": ",".join(deployment.caller_addresses),
        "classes": json.dumps(CLASSES),
        "phases": json.dumps(PHASES),
        "routes": dump_plans(deployment.spec.plans),
        "output": output,
        "retries": RETRIES,
        "pause_ms": PAUSE_MS,
        "seed": number,
    }
    command = [f"--{name}={value}" for name, value in flags.items()]
    return deployment.start(
        f"caller-{number}", PYTHON, "-m", "standins.caller", *command
    )


def _read_records(outputs: list[Path]) -> list[Record]:
    records = []
    for output in outputs:
        text = output.read_text() if output.exists() else ""
        whole, _, _ = text.rpartition("\n")
        records += [
            Record.load(line) for line in whole.splitlines() if '"sendings"' in line
        ]
    return sorted(records, key=lambda record: record.t_end)


def _show_progress(elapsed_s: float, records: list[Record]) -> None:
    phase, until = "the rest", 0.0
    for name, (seconds, _) in zip(("calm", "surge", "calm"), PHASES, strict=True):
        until += seconds
        if elapsed_s < until:
            phase = name
            break
    parts = []
    for call_class in CLASSES:
        name = call_class["name"]
        counts = Counter(item.outcome for item in records if item.class_name == name)
        outcomes = ", ".join(f"{count} {outcome}" for outcome, count in counts.items())
        parts.append(f"{name}: {outcomes or 'none'}")
    print(f"{elapsed_s:4.0f} s {phase:8} {' | '.join(parts)}", flush=True)


def _show_table(summary: dict[str, dict[str, float]]) -> None:
    print()
    print(f"{'class':10}" + "".join(f"{column:>10}" for column in COLUMNS))
    for name, figures in summary.items():
        cells = "".join(f"{figures[column]:>10}" for column in COLUMNS)
        print(f"{name:10}{cells}")
    print()


def main() -> None:
    """Run the demonstration; exit with 0 only if no answer was wrong."""
    sys.exit(run_demo())


if __name__ == "__main__":
    fire.Fire(main)
