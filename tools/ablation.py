"""A node with one mechanism left out, to see what the mechanism is worth.

``python -m tools.ablation NAME`` runs a node as ``python -m eelgrassmount relay``
does, without the mechanism NAME. It is for measurements only: put it into the command
of a deploy file in a scratch copy, and compare plays with and without over equal seeds.
"""

from __future__ import annotations

import math
import random
import sys
from typing import TYPE_CHECKING

from eelgrassmount.cmd.relay import run_relay
from eelgrassmount.entry.fair_shares import FairShares
from eelgrassmount.policy import admission_controller
from eelgrassmount.relay import admission, budget, dispatcher, routing, sender
from eelgrassmount.relay.admission import Admission, CallGraph
from eelgrassmount.relay.admitted_fractions import AdmittedFractions
from eelgrassmount.relay.backend import BackendPool
from eelgrassmount.relay.call_attribution import CallAttributor
from eelgrassmount.relay.control_loop import ControlLoop
from eelgrassmount.relay.messages import Call
from eelgrassmount.relay.sender import Sender
from eelgrassmount.topics.learned import LearnedCalls
from eelgrassmount.topics.readers import LogReaders

if TYPE_CHECKING:
    from collections.abc import Callable


def admit_all() -> None:
    """Let every request begin."""
    Admission.try_admit = lambda self, request_class, group="": True


def ignore_calls() -> None:
    """Count only the service that a route leads to, and not what its runs call."""
    walk = CallGraph._count_runs_to_depth
    CallGraph._count_runs_to_depth = lambda self, route, table, depth=0: walk(
        self, route, table, 0
    )


def ignore_priority() -> None:
    """Cut all routes that lead to a short service alike."""
    admission.compute_admitted_fractions = lambda required, admitted_fraction: {
        one.request_class: admitted_fraction for one in required
    }


def ignore_allowance() -> None:
    """Give each call its own objective, whatever its request has left."""
    CallGraph.find_time_allowance = lambda self, route, table: route.objective_s


def ignore_order() -> None:
    """Queue by the due time alone."""
    dispatcher.compute_due_factor = lambda origin: 1.0


def ignore_lineage() -> None:
    """Know no caller of any call."""
    CallAttributor.find_caller = lambda self, *asked: None


def share_repeats_alike() -> None:
    """Give repeats to whoever asks first."""
    budget.compute_reserved_share = lambda remaining_runs, priority: 0.0


def spend_repeats_at_once() -> None:
    """Let the repeats of a window be used at any time in it."""
    budget.refill_tokens = lambda tokens, allowed, windows: math.inf


def give_rejected_up() -> None:
    """Send a rejected call once more at most."""
    sender.MAX_REJECTIONS = 2


def repeat_in_vain() -> None:
    """Repeat runs that make calls also where all servers fail."""
    Sender._is_retry_futile = lambda self, call: False


def wait_for_silent() -> None:
    """Stay with a silent server until the deadline."""
    sender.SILENCE_OBJECTIVE_SHARE = math.inf


def forget_crashes() -> None:
    """Run what has crashed servers again."""
    Call.is_quarantined = lambda self, quarantine, now_s: False


def choose_at_random() -> None:
    """Send each call to any server that takes it."""
    routing.compute_cost = lambda *inputs: random.random()


def ignore_failure_domain() -> None:
    """Take all servers for equally near."""
    routing.compute_cross_domain_share = lambda size_bytes: 0.0


def keep_no_connections() -> None:
    """Open a connection for each request to a server."""
    BackendPool._take_idle = lambda self, fresh_only: None


def keep_nothing_learned() -> None:
    """Let a node that starts learn all by itself."""
    LearnedCalls.build_due_record = lambda self: None


def ask_for_no_reports() -> None:
    """Wait for the reports of a short service."""
    AdmittedFractions._request_reports = lambda self, members, oldest_s: None


def tell_callers_only() -> None:
    """Report only to nodes that have lately sent calls."""
    ControlLoop._is_loaded = lambda self: False


def forget_level() -> None:
    """Seek a level as if the present one had always been in force."""

    def update(
        self: admission_controller.AdmissionController,
        demand: float,
        wait: float,
        age_steps: int = 0,
        forecast: float = 0.0,
    ) -> float:
        target_fraction = admission_controller.compute_admitted_fraction(
            self.admitted_fraction, demand, wait, forecast
        )
        return self._set_fraction(
            self.admitted_fraction
            + admission_controller.FRACTION_SMOOTHING
            * (target_fraction - self.admitted_fraction)
        )

    admission_controller.AdmissionController.update = update


def count_alone() -> None:
    """Go by the counts of this node and of those that report to it."""
    LogReaders._update_cluster_counts = lambda self, now_s: None


def foresee_nothing() -> None:
    """Go by the demand that arrives."""
    admission_controller.estimate_offered_load = (
        lambda measured, forecast, arriving_demand: measured
    )


def blame_servers() -> None:
    """Take runs that failed with a call of theirs for failures of their servers."""
    CallAttributor.has_lost_call = lambda self, job: False


def divide_by_rate() -> None:
    """Give all requests of a class the same odds, whoever sends them."""
    FairShares.find_group_fraction = lambda self, request_class, group: 1.0


ABLATIONS: dict[str, Callable[[], None]] = {
    "admission": admit_all,
    "learned-calls": ignore_calls,
    "priority": ignore_priority,
    "allowance": ignore_allowance,
    "order": ignore_order,
    "lineage": ignore_lineage,
    "kept-repeats": share_repeats_alike,
    "spread-repeats": spend_repeats_at_once,
    "rejected-again": give_rejected_up,
    "vain-repeats": repeat_in_vain,
    "silent": wait_for_silent,
    "quarantine": forget_crashes,
    "expected-time": choose_at_random,
    "failure-domain": ignore_failure_domain,
    "connections": keep_no_connections,
    "learned-kept": keep_nothing_learned,
    "asked-reports": ask_for_no_reports,
    "reports-to-all": tell_callers_only,
    "level-memory": forget_level,
    "counts-of-all": count_alone,
    "forecast": foresee_nothing,
    "lost-below": blame_servers,
    "fair-shares": divide_by_rate,
}

if __name__ == "__main__":
    ABLATIONS[sys.argv[1]]()
    sys.exit(run_relay())
