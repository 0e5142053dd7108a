"""Measures goodput and recovery under overload, with and without eelgrassmount.

``--scenarios surge-5x``, ``--systems c`` and ``--shapes samiti`` select what
``python -m benchmarks.overload`` runs.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import fire
from attrs import asdict, evolve, frozen

from benchmarks.overload_figures import Figures, Trial, compute_figures, count_goodput
from benchmarks.overload_scenarios import (
    BASELINE_S,
    DISTURBANCE_S,
    NORMAL_LOAD,
    RECOVERY_S,
    SCENARIOS,
    Scenario,
)
from benchmarks.overload_shapes import SHAPES, Shape
from standins import round_robin
from standins.deploy import NODE_COMMAND, PYTHON, Deployment, DeploymentSpec
from standins.records import Record

if TYPE_CHECKING:
    from collections.abc import Iterable

_OUTPUT_FOLDER = Path("out") / "overload"
_CALLERS = 3
_CALLER_RETRIES = 2
_CALLER_RETRY_PAUSE_MS = 300
_HOP_RETRIES = 2
_JOIN_WAIT_S = 4.0
_CALLER_START_S = 1.0
_CALLER_EXIT_TIMEOUT_S = 60.0
_CRASH_WEIGHT = 0.002


@frozen
class System:
    """One way of running the services.

    ``queue_factor`` bounds the waiting requests of a server, as a multiple of its
    slots; without it, the number of connections bounds its requests.
    """

    letter: str
    name: str
    node_command: tuple[str, ...]
    queue_factor: float | None = None


_ROUND_ROBIN = (PYTHON, "-m", "standins.round_robin")
SYSTEMS = (
    System("a", "no layer", _ROUND_ROBIN),
    System("b", "fixed limits", _ROUND_ROBIN, 1.0),
    System("c", "eelgrassmount", NODE_COMMAND),
)


def run_trial(scenario: Scenario, system: System, shape: Shape) -> Trial:
    """Run one scenario with one system and return what was recorded."""
    spec = DeploymentSpec(
        shape.failure_domains,
        shape.make_services(system.queue_factor),
        relays=True,
        peer_delay_ms=shape.delay_ms,
        node_command=system.node_command,
        ready_timeout_s=60.0,
    )
    with tempfile.TemporaryDirectory(prefix="overload-") as folder:
        os.environ[round_robin.FOLDER_VARIABLE] = folder
        os.environ[round_robin.RETRIES_VARIABLE] = str(_HOP_RETRIES)
        with Deployment(spec) as deployment:
            if system.letter == "c":
                _publish(deployment, shape)
            time.sleep(_JOIN_WAIT_S)
            return _run_load(deployment, scenario, shape, Path(folder))


def _publish(deployment: Deployment, shape: Shape) -> None:
    result = deployment.publish(shape.write_configuration())
    if result.returncode:
        raise RuntimeError(f"publishing failed: {result.stdout}{result.stderr}")


def _run_load(
    deployment: Deployment, scenario: Scenario, shape: Shape, folder: Path
) -> Trial:
    outputs = [folder / f"records-{number}" for number in range(_CALLERS)]
    callers = [
        _start_caller(deployment, scenario, shape, number, output)
        for number, output in enumerate(outputs)
    ]
    started_s = time.monotonic() + _CALLER_START_S
    cpu_before = _measure_cpu(deployment)
    _sleep_until(started_s + BASELINE_S)
    if scenario.start_fault is not None:
        scenario.start_fault(deployment, shape)
    _sleep_until(started_s + BASELINE_S + DISTURBANCE_S)
    if scenario.end_fault is not None:
        scenario.end_fault(deployment, shape)
    fault_end_s = time.monotonic()
    for caller in callers:
        caller.wait(RECOVERY_S + _CALLER_EXIT_TIMEOUT_S)
    cpu_after = _measure_cpu(deployment)
    records = [
        Record.load(line)
        for output in outputs
        for line in output.read_text().splitlines()
    ]
    start_s = min(record.t_start for record in records)
    disturbance_start_s = start_s + BASELINE_S
    disturbance_end_s = disturbance_start_s + DISTURBANCE_S
    if scenario.end_fault is not None:
        disturbance_end_s = max(disturbance_end_s, fault_end_s)
    trial = Trial(
        shape,
        records,
        deployment.get_runs(),
        start_s,
        disturbance_start_s,
        disturbance_end_s,
        start_s + BASELINE_S + DISTURBANCE_S + RECOVERY_S,
    )
    trial.cpu_s = {
        name: cpu_after[name] - cpu_before.get(name, 0.0) for name in cpu_after
    }
    return trial


def _start_caller(
    deployment: Deployment,
    scenario: Scenario,
    shape: Shape,
    number: int,
    output: Path,
) -> subprocess.Popen[bytes]:
    rate = shape.capacity_per_s / _CALLERS
    phases = [
        (BASELINE_S, NORMAL_LOAD * rate),
        (DISTURBANCE_S, scenario.load * rate),
        (RECOVERY_S, NORMAL_LOAD * rate),
    ]
    # The command line of the callers would parse true and false as strings.
    classes = [
        {**asdict(call_class), "keyed": int(call_class.keyed)}
        for call_class in shape.make_call_classes()
    ]
    if scenario.crashing and number == 0:
        classes.append(_make_crash_class(shape))
    command = (
        PYTHON,
        "-m",
        "standins.caller",
        f"--nodes={','.join(deployment.caller_addresses)}",
        f"--classes={json.dumps(classes)}",
        f"--phases={json.dumps(phases)}",
        f"--output={output}",
        f"--retries={_CALLER_RETRIES}",
        f"--pause_ms={_CALLER_RETRY_PAUSE_MS}",
        f"--seed={number + 1}",
    )
    return subprocess.Popen(command, stdout=subprocess.DEVNULL)


def _make_crash_class(shape: Shape) -> dict[str, object]:
    """Return a request that crashes every server of the bottleneck that runs it."""
    lookup = next(
        call_class
        for call_class in shape.make_call_classes()
        if call_class.path.startswith(f"/{shape.bottleneck}/")
    )
    crash = {"request": "crash", "crash": True, "crash_service": shape.bottleneck}
    return asdict(evolve(lookup, weight=_CRASH_WEIGHT, extra=crash))


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


def _measure_cpu(deployment: Deployment) -> dict[str, float]:
    """Return the processor seconds used since the start, by kind of process."""
    ticks_per_s = os.sysconf("SC_CLK_TCK")
    used: dict[str, float] = {}
    for process in deployment.processes:
        if not process.running:
            continue
        fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1]
        ticks = sum(int(value) for value in fields.split()[11:13])
        kind = process.name.split("-")[0]
        used[kind] = used.get(kind, 0.0) + ticks / ticks_per_s
    return used


def _print_figures(
    scenario: Scenario, system: System, shape: Shape, trial: Trial, figures: Figures
) -> None:
    print(f"\n{shape.name} {scenario.name} ({system.letter}) {system.name}")
    print("  class       offered/s  good/s refused/s  p50 ms  p99 ms")
    for class_figures in figures.classes:
        print(
            f"  {class_figures.name:11} {class_figures.offered_per_s:9.1f}"
            f" {class_figures.goodput_per_s:7.1f} {class_figures.refused_per_s:9.1f}"
            f" {class_figures.p50_ms:7.0f} {class_figures.p99_ms:7.0f}"
        )
    recovery = figures.recovery_s
    print(
        f"  good {figures.goodput_per_s:.1f}/s; of {shape.bottleneck}"
        f" {figures.bottleneck_goodput_per_s:.1f}/s of"
        f" {shape.bottleneck_capacity_per_s:.1f}/s;"
        f" wasted {figures.wasted_share:.1%};"
        f" calls per good request {figures.calls_per_good_request:.2f};"
        f" attempts per request {figures.attempts_per_request:.2f}"
    )
    print(
        f"  recovery {'none' if recovery is None else f'{recovery:.1f} s'};"
        f" refused-last refusals {figures.refused_last_refusals},"
        f" of them inversions {figures.inversions};"
        f" duplicate runs {figures.duplicate_runs};"
        f" false refusals {figures.false_refusals}"
    )
    used = ", ".join(f"{name} {cpu:.0f}" for name, cpu in sorted(trial.cpu_s.items()))
    print(f"  processor s: {used}", flush=True)


def _plot(
    scenario: Scenario, shape: Shape, trials: Iterable[tuple[System, Trial]]
) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    trials = list(trials)
    figure, axes = pyplot.subplots(len(trials), 1, sharex=True, squeeze=False)
    for (system, trial), axis in zip(trials, axes[:, 0], strict=True):
        counts = count_goodput(trial)
        seconds = range(int(trial.end_s - trial.start_s))
        for name, count in counts.items():
            style = ":" if name == "offered" else "-"
            axis.plot(seconds, [count[at] for at in seconds], style, label=name)
        axis.axvspan(
            trial.disturbance_start_s - trial.start_s,
            trial.disturbance_end_s - trial.start_s,
            alpha=0.1,
        )
        axis.set_title(f"({system.letter}) {system.name}")
        axis.set_ylabel("good/s")
    axes[0, 0].legend(fontsize="small")
    axes[-1, 0].set_xlabel("seconds")
    figure.set_size_inches(8, 3 * len(trials))
    figure.tight_layout()
    figure.savefig(_OUTPUT_FOLDER / f"{shape.name}-{scenario.name}.png")
    pyplot.close(figure)


def _parse_choice(wanted: str, names: Iterable[str]) -> set[str]:
    known = set(names)
    chosen = set(wanted.split(",")) if wanted else known
    if chosen - known:
        sys.exit(f"unknown: {', '.join(sorted(chosen - known))}; known: {known}")
    return chosen


def _join(value: str | tuple[str, ...]) -> str:
    return value if isinstance(value, str) else ",".join(value)


_DEFAULT_SCENARIOS = "surge-2x,surge-5x,slow-2x"
_DEFAULT_SHAPE = "samiti"


def main(
    scenarios: str | tuple[str, ...] = _DEFAULT_SCENARIOS,
    systems: str | tuple[str, ...] = "",
    shapes: str | tuple[str, ...] = _DEFAULT_SHAPE,
) -> None:
    """Run the chosen scenarios and print the figures of each system.

    The default selection takes several minutes; ``--scenarios= --shapes=`` runs
    every scenario with every shape.
    """
    _OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    chosen = _parse_choice(_join(scenarios), (scenario.name for scenario in SCENARIOS))
    letters = _parse_choice(_join(systems), (system.letter for system in SYSTEMS))
    for name in sorted(_parse_choice(_join(shapes), SHAPES)):
        shape = SHAPES[name]
        for scenario in SCENARIOS:
            if scenario.name not in chosen:
                continue
            trials = []
            for system in SYSTEMS:
                if system.letter not in letters:
                    continue
                trial = run_trial(scenario, system, shape)
                figures = compute_figures(trial)
                _print_figures(scenario, system, shape, trial, figures)
                trials.append((system, trial))
            _plot(scenario, shape, trials)


if __name__ == "__main__":
    fire.Fire(main)
