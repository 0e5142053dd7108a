"""A node with one mechanism disabled, to show that the matrix detects its absence."""

from __future__ import annotations

import itertools
import sys
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from attrs import evolve

from eelgrassmount.calls import dispatch, downstream, local, remote
from eelgrassmount.calls.request import Outcome
from eelgrassmount.calls.table import CallStatus, CallTable
from eelgrassmount.cmd.main import main
from eelgrassmount.edge import headers as names
from eelgrassmount.edge import server
from eelgrassmount.edge.probes import ServerProbes
from eelgrassmount.keys.owner import Owner
from eelgrassmount.keys.service import KeyService
from eelgrassmount.metrics import RetryReason
from eelgrassmount.peer.link import Link
from eelgrassmount.retry.budget import RetryBudget
from eelgrassmount.retry.quarantine import Quarantine
from eelgrassmount.verdict import Answered, Header, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.calls.request import Call

OPTION = "--without="
# finite, so that retries at every hop don't exhaust the machine
UNLIMITED_ATTEMPTS = 1000


def drop_dedup() -> None:
    """Run every attempt of a key."""

    async def run(self: KeyService, call: Call) -> Outcome:
        return await self.core.run(call)

    KeyService.run = run


def drop_marks() -> None:
    """Run a client-chosen key before its backup has stored the mark."""

    async def mark(self: Owner, *_: Any) -> None:
        return None

    Owner._mark = mark


def drop_verdict() -> None:
    """Report "not run" whenever there is no answer."""

    def judge(record: Any, verdict: Verdict) -> Verdict:
        return _claim_not_run(verdict)

    local._judge_subtree = judge
    remote._judge_failure = lambda failure: NotRun(Reason.PEER_LOST)
    dispatch.downgrade_verdict = lambda verdict, _: verdict


def _claim_not_run(verdict: Verdict) -> Verdict:
    return verdict if isinstance(verdict, Answered) else NotRun(verdict.reason)


def drop_retry_rule() -> None:
    """Retry a call whatever its verdict and destination."""

    def choose(verdict: Verdict, *_: Any) -> RetryReason | None:
        return None if isinstance(verdict, Answered) else RetryReason.PEER_LOST

    dispatch.choose_retry = choose


def drop_outcome_queries() -> None:
    """Skip the queries for the outcome of a call."""

    async def settle(self: Any, call: Call, failure: Any) -> Any:
        return failure

    remote.RemoteRunner._resolve_lost_call = settle
    ServerProbes.start = lambda self: None


def drop_seals() -> None:
    """Report a call as unknown, but let it run when it arrives later."""

    def query_status(self: CallTable, call_id: str, now_s: float) -> CallStatus:
        return CallStatus.UNKNOWN

    CallTable.query_status = query_status


def drop_call_id_check() -> None:
    """Accept an answer with the id of another call."""
    judge = server.ServerClient.judge

    def judge_any(self: server.ServerClient, call: Call, result: Any) -> Verdict:
        if isinstance(result, server.RawAnswer):
            others = (item for item in result.headers if item.name != names.CALL)
            own_header = Header(names.CALL, call.context.call_id)
            result = replace(result, headers=(*others, own_header))
        return judge(self, call, result)

    server.ServerClient.judge = judge_any
    server._is_reusable = lambda result, verdict: isinstance(result, server.RawAnswer)


def drop_digest_check() -> None:
    """Accept bodies without checking their digests."""
    server.is_digest_valid = lambda headers, body: True


def drop_partial_answer_check() -> None:
    """Accept an answer even if a downstream call has failed."""

    def judge(record: Any, verdict: Verdict) -> Verdict:
        ran = any(child.may_have_run for child in record.children.values())
        return local.downgrade_verdict(verdict, ran)

    local._judge_subtree = judge


def drop_silence_detection() -> None:
    """Never detect a silent link."""
    Link.watch = lambda self, silence_timeout_s: False


def drop_budget() -> None:
    """Let every hop retry without limit, and treat retries of servers as new calls."""
    RetryBudget.try_spend = lambda self, now_s: True
    server.LOST_REASONS = frozenset()
    attempt = dispatch.Dispatcher._attempt
    handle = downstream.Downstream.handle
    numbers = itertools.count()

    async def attempt_freely(self: Any, address: str, call: Call, _: int) -> Outcome:
        outcome = await attempt(self, address, call, UNLIMITED_ATTEMPTS)
        return evolve(outcome, attempts_left=UNLIMITED_ATTEMPTS)

    async def handle_anew(self: Any, parent_id: str, _: str, request: Any) -> Verdict:
        return await handle(self, parent_id, str(next(numbers)), request)

    dispatch.Dispatcher._attempt = attempt_freely
    downstream.Downstream.handle = handle_anew


def drop_quarantine() -> None:
    """Run a request even if its content has crashed many servers."""
    Quarantine.check = lambda self, digest, now_s: None


MECHANISMS: dict[str, Callable[[], None]] = {
    "dedup": drop_dedup,
    "marks": drop_marks,
    "verdict": drop_verdict,
    "retry-rule": drop_retry_rule,
    "fate": drop_outcome_queries,
    "seals": drop_seals,
    "callid": drop_call_id_check,
    "digest": drop_digest_check,
    "parts": drop_partial_answer_check,
    "silence": drop_silence_detection,
    "budget": drop_budget,
    "quarantine": drop_quarantine,
}


def run_without(arguments: list[str]) -> int:
    """Run the program's command line without the mechanisms named in it."""
    for argument in arguments:
        if argument.startswith(OPTION):
            MECHANISMS[argument.removeprefix(OPTION)]()
    return main([argument for argument in arguments if not argument.startswith(OPTION)])


if __name__ == "__main__":
    sys.exit(run_without(sys.argv[1:]))
