"""Validation of decoded thrift structs from other nodes and from the log.

The thrift decoder sets a field to ``None`` if it is missing or of another type, and
accepts any number. After `check_struct`, all fields are present and within their range.
"""

from __future__ import annotations

from operator import itemgetter
from typing import TYPE_CHECKING, Any

from eelgrassmount.errors import AddressError, BadFrameError
from eelgrassmount.gen import ttypes
from eelgrassmount.http1.statuses import FINAL_STATUSES
from eelgrassmount.policy.retries import COUNTED_PARTS
from eelgrassmount.relay.messages import Outcome
from eelgrassmount.relay.routes import MAX_RANK
from eelgrassmount.relay.tallies import MAX_GROUPS
from eelgrassmount.topics.log_epoch import UNKNOWN_EPOCH
from eelgrassmount.util.addresses import parse_address
from eelgrassmount.util.fields import MAX_NAME_LENGTH, is_identity, is_printable
from eelgrassmount.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Characters of a host and a path prefix.
MAX_ROUTE_NAME_LENGTH = 65536
# Characters of an incarnation, a crash id or a digest.
MAX_ID_LENGTH = 512
MAX_REMAINING_MS = 3_600_000
# Calls, nodes or quota units in one field.
MAX_CALLS = 1_000_000
# Load as a fraction of capacity, in thousandths.
MAX_LOAD_MILLI = 1_000_000_000
MAX_PPM = 1_000_000
# Versions, offsets, log epochs, and sequence and message numbers.
MAX_COUNTER = 2**62
# Calls per run, and requests, rates or durations of one route.
MAX_COUNT = 1e9
# Requests per second of a server; higher limits have no effect.
MAX_RATE_PER_S = 1e9

_REASONS = frozenset(str(reason) for reason in Reason)
_OUTCOMES = frozenset(int(outcome) for outcome in Outcome)


def check_struct(struct: Any) -> None:
    """Raise `BadFrameError`, naming the field, if a struct is incomplete or invalid."""
    struct_type = type(struct)
    get_required = _REQUIRED_GETTERS.get(struct_type)
    values = struct.__dict__
    if None in (values.values() if get_required is None else get_required(values)):
        _require_all(struct)
    check = _CHECKS.get(struct_type)
    if check is not None:
        check(struct)


def _require_all(struct: Any) -> None:
    optional = _OPTIONAL_FIELDS.get(type(struct), ())
    for name, value in vars(struct).items():
        if value is None and name not in optional:
            _raise_invalid(struct, name, "missing or of another type")


def _raise_invalid(struct: Any, name: str, cause: str) -> None:
    raise BadFrameError(f"{type(struct).__name__}.{name} is {cause}")


def _check_ranges(struct: Any, maxima: dict[str, int]) -> None:
    values = struct.__dict__
    for name, maximum in maxima.items():
        if not 0 <= values[name] <= maximum:
            _raise_invalid(struct, name, f"not between 0 and {maximum}")


def _check_optional_ranges(struct: Any, maxima: dict[str, int]) -> None:
    """Check the ranges of those fields that are present."""
    present = {
        name: maximum
        for name, maximum in maxima.items()
        if getattr(struct, name) is not None
    }
    _check_ranges(struct, present)


def _check_texts(struct: Any, names: Iterable[str], max_length: int) -> None:
    for name in names:
        text = getattr(struct, name)
        if not is_printable(text, max_length):
            _raise_invalid(
                struct, name, f"not printable text of 1 to {max_length} characters"
            )


def _check_address(struct: Any) -> None:
    try:
        parse_address(struct.address)
    except AddressError as error:
        raise BadFrameError(f"{type(struct).__name__}.address: {error}") from error


def _check_hello(hello: ttypes.RelayHello) -> None:
    _check_node(hello)
    _check_ranges(hello, {"config_version": MAX_COUNTER})
    _check_texts(hello, ("incarnation",), MAX_ID_LENGTH)
    _check_notice(hello.notice)


def _check_notice(notice: ttypes.ServerNotice | None) -> None:
    if notice is None:
        return
    _require_all(notice)
    if not is_identity(notice.identity):
        _raise_invalid(notice, "identity", "not the identity of a server")
    _check_ranges(notice, {"started_ms": MAX_COUNTER})
    limit = notice.rate_limit
    # The comparison is also false for NaN and infinity.
    if limit is not None and not 0 <= limit <= MAX_RATE_PER_S:
        _raise_invalid(notice, "rate_limit", f"not between 0 and {MAX_RATE_PER_S:g}")


def _check_node(node: ttypes.RelayHello | ttypes.NodeRecord) -> None:
    names = ("node_name", "failure_domain", "service_name")
    _check_texts(node, names, MAX_NAME_LENGTH)
    _check_address(node)


def _check_call(call: ttypes.RelayCall) -> None:
    # One comparison each, as this runs for each call.
    if not (
        0 <= call.remaining_ms <= MAX_REMAINING_MS
        and 0 <= call.sequence <= MAX_COUNTER
        and 0 <= call.priority <= MAX_RANK
        and 0 <= call.left <= MAX_CALLS
    ):
        _check_ranges(call, _CALL_RANGES)
    if not (call.method and call.target and call.route_name):
        _raise_invalid(call, "method, target or route_name", "empty")
    _check_request_lines(call)
    _check_head(call)


def _check_request_lines(call: ttypes.RelayCall) -> None:
    """Reject fields that would break out of their line of the HTTP request."""
    line = f"{call.method}{call.target}{call.request_id}{call.caller_service}"
    if "\r" in line or "\n" in line:
        _raise_invalid(call, "method, target or a header", "more than one line")
    if line.isascii():
        return
    try:
        line.encode("latin-1")
    except UnicodeEncodeError as error:
        raise BadFrameError(f"{type(call).__name__}: {error.reason}") from error


def _check_head(struct: ttypes.RelayCall | ttypes.RelayReply) -> None:
    """Reject a header block that is not terminated or contains an empty line."""
    head = struct.head
    if head and (
        not head.endswith(b"\r\n") or head.startswith(b"\r\n") or b"\r\n\r\n" in head
    ):
        _raise_invalid(struct, "head", "not a block of complete header lines")


def _check_reply(reply: ttypes.RelayReply) -> None:
    if reply.outcome not in _OUTCOMES:
        _raise_invalid(reply, "outcome", "unknown")
    if reply.reason and reply.reason not in _REASONS:
        _raise_invalid(reply, "reason", "unknown")
    if reply.outcome == Outcome.ANSWERED and reply.status not in FINAL_STATUSES:
        _raise_invalid(reply, "status", "not an HTTP status")
    if not (0 <= reply.in_flight <= MAX_CALLS and 0 <= reply.queued <= MAX_CALLS):
        _check_ranges(reply, _REPLY_RANGES)
    if reply.wait_ms is not None:
        _check_ranges(reply, {"wait_ms": MAX_REMAINING_MS})
    if reply.moved_to is not None:
        _check_texts(reply, ("moved_to",), MAX_NAME_LENGTH)
    _check_head(reply)


def _check_report(report: ttypes.RelayReport) -> None:
    _check_ranges(report, _REPORT_RANGES)
    slots = report.usable_slots
    # The comparison is also false for NaN.
    if slots is not None and not 0 < slots <= report.limit:
        _raise_invalid(report, "usable_slots", "not between 0 and the limit")
    _check_notice(report.notice)
    _check_rejections(report.rejections)
    for time in report.times:
        _check_row(time, ("route_name",), "run_ms")
    _check_counts(report.counts)
    _check_calls(report.calls)


def _check_rejections(found: ttypes.ServerRejections | None) -> None:
    if found is None:
        return
    _require_all(found)
    _check_ranges(found, {"rejected_ppm": MAX_PPM})
    if len(found.requests) != COUNTED_PARTS:
        _raise_invalid(found, "requests", f"not {COUNTED_PARTS} counts")
    if not all(0 <= count <= MAX_COUNT for count in found.requests):
        _raise_invalid(found, "requests", f"not between 0 and {MAX_COUNT:g}")


def _check_learned(record: ttypes.LearnedRecord) -> None:
    _check_calls(record.calls)


def _check_calls(rows: list[ttypes.RouteCalls]) -> None:
    for row in rows:
        # A route that makes no calls has one row with an empty ``called_route``.
        names = ("run_route",) if row.called_route == "" else _CALL_NAMES
        _check_row(row, names, "calls_per_run")


def _check_row(row: Any, names: tuple[str, ...], number: str) -> None:
    values = row.__dict__
    for name in names:
        text = values[name]
        if text is None or not 0 < len(text) <= MAX_ROUTE_NAME_LENGTH:
            _raise_invalid(row, name, "not a route name")
    value = values[number]
    # The comparison is also false for NaN and infinity.
    if value is None or not 0 <= value <= MAX_COUNT:
        _raise_invalid(row, number, f"not between 0 and {MAX_COUNT:g}")


def _check_tally(tally: ttypes.RelayTally) -> None:
    _check_ranges(tally, {"nodes": MAX_CALLS})
    for row in tally.offered:
        _require_all(row)
        _check_row(row, ("route_name",), "rate")
        _check_ranges(row, {"rank": MAX_RANK})
    _check_counts(tally.runs)
    for service in tally.asked:
        _require_all(service)
        _check_texts(service, ("service_name",), MAX_NAME_LENGTH)
        _check_ranges(service, {"nodes": MAX_CALLS})
        _check_counts(service.counts)
    for row in tally.calls:
        _check_row(row, _CALL_NAMES, "calls_per_run")
    _check_groups(tally)


def _check_groups(tally: ttypes.RelayTally) -> None:
    groups = tally.groups or ()
    if len(groups) > MAX_GROUPS:
        _raise_invalid(tally, "groups", f"longer than {MAX_GROUPS}")
    for row in groups:
        _require_all(row)
        _check_row(row, ("route_name",), "rate")
        _check_ranges(row, {"rank": MAX_RANK})
        _check_texts(row, ("group",), MAX_NAME_LENGTH)


def _check_counts(counts: list[ttypes.RouteCount]) -> None:
    for count in counts:
        _check_row(count, ("route_name",), "count")


def _check_subscribe(struct: ttypes.RelaySubscribe) -> None:
    _check_texts(struct, ("node_name", "failure_domain"), MAX_NAME_LENGTH)
    _check_ranges(struct, {"next_offset": MAX_COUNTER})
    _check_optional_ranges(struct, {"sent_ms": MAX_COUNTER})
    _check_era(struct)
    _require_all(struct.tally)
    _check_tally(struct.tally)


def _check_era(struct: ttypes.RelaySubscribe | ttypes.RelayNews) -> None:
    if not UNKNOWN_EPOCH <= struct.era <= MAX_COUNTER:
        _raise_invalid(struct, "era", f"not between {UNKNOWN_EPOCH} and {MAX_COUNTER}")


def _check_news(news: ttypes.RelayNews) -> None:
    _check_texts(news, ("node_name",), MAX_NAME_LENGTH)
    _check_ranges(news, {"config_version": MAX_COUNTER, "next_offset": MAX_COUNTER})
    times = {"request_ms": MAX_COUNTER, "log_age_ms": MAX_COUNTER}
    _check_optional_ranges(news, times)
    _check_era(news)
    _require_all(news.tally)
    _check_tally(news.tally)
    for record in news.records:
        _require_all(record)
        _check_ranges(record, {"offset": MAX_COUNTER})


def _check_quota_ask(ask: ttypes.RelayQuotaAsk) -> None:
    _check_texts(ask, ("node_name",), MAX_NAME_LENGTH)
    _check_ranges(ask, {"number": MAX_COUNTER})
    for name in ask.holders:
        if not is_printable(name, MAX_NAME_LENGTH):
            _raise_invalid(ask, "holders", "not a list of names")
    for use in ask.uses:
        _require_all(use)
        _check_texts(use, ("team_name",), MAX_NAME_LENGTH)
        _check_ranges(use, {"wanted": MAX_CALLS})
        if abs(use.used) > MAX_CALLS:
            _raise_invalid(use, "used", f"not between {-MAX_CALLS} and {MAX_CALLS}")


def _check_quota_grants(struct: ttypes.RelayQuotaGrants) -> None:
    _check_texts(struct, ("node_name",), MAX_NAME_LENGTH)
    _check_ranges(struct, {"number": MAX_COUNTER})
    for grant in struct.grants:
        _require_all(grant)
        _check_texts(grant, ("team_name",), MAX_NAME_LENGTH)
        _check_ranges(grant, _GRANT_RANGES)
        if grant.granted > grant.wanted:
            _raise_invalid(grant, "granted", "more than requested")


def _check_quota_borrow(borrow: ttypes.RelayQuotaBorrow) -> None:
    _check_texts(borrow, ("node_name", "team_name"), MAX_NAME_LENGTH)
    _check_ranges(borrow, {"number": MAX_COUNTER, "wanted": MAX_CALLS})


def _check_quota_loan(loan: ttypes.RelayQuotaLoan) -> None:
    _check_texts(loan, ("node_name",), MAX_NAME_LENGTH)
    _check_ranges(loan, {"number": MAX_COUNTER, "amount": MAX_CALLS})


def _check_slot_offer(offer: ttypes.RelaySlotOffer) -> None:
    _check_texts(offer, ("node_name", "service_name"), MAX_NAME_LENGTH)
    _check_ranges(offer, {"slots": MAX_CALLS})


def _check_suspects(suspects: ttypes.RelaySuspects) -> None:
    _check_texts(suspects, ("crash_id",), MAX_ID_LENGTH)
    for digest in suspects.digests:
        if not is_printable(digest, MAX_ID_LENGTH):
            _raise_invalid(suspects, "digests", "not a list of digests")


def _check_config(config: ttypes.RelayConfig) -> None:
    _check_ranges(config, {"version": MAX_COUNTER})
    if config.node_name is not None:
        _check_texts(config, ("node_name",), MAX_NAME_LENGTH)


_CALL_NAMES = ("run_route", "called_route")
_CALL_RANGES = {
    "remaining_ms": MAX_REMAINING_MS,
    "sequence": MAX_COUNTER,
    "priority": MAX_RANK,
    "left": MAX_CALLS,
}
_REPLY_RANGES = {"in_flight": MAX_CALLS, "queued": MAX_CALLS}
_GRANT_RANGES = {
    "wanted": MAX_CALLS,
    "granted": MAX_CALLS,
    "wait_s": MAX_COUNT,
    "gap_s": MAX_COUNT,
}
_REPORT_RANGES = {
    "in_flight": MAX_CALLS,
    "queued": MAX_CALLS,
    "limit": MAX_CALLS,
    "demand": MAX_LOAD_MILLI,
    "wait": MAX_LOAD_MILLI,
    "failures_ppm": MAX_PPM,
    "lost_ppm": MAX_PPM,
    "config_version": MAX_COUNTER,
}
# Fields that may be missing. A reply with an answer has no reason.
_OPTIONAL_FIELDS = {
    ttypes.RelayReply: ("reason", "wait_ms", "moved_to"),
    ttypes.RelayReport: ("usable_slots", "notice", "rejections"),
    ttypes.RelayHello: ("notice",),
    ttypes.RelayTally: ("groups",),
    ttypes.RelayConfig: ("node_name",),
    ttypes.RelaySubscribe: ("sent_ms",),
    ttypes.RelayNews: ("request_ms", "log_age_ms"),
    ttypes.ServerNotice: ("rate_limit",),
}
# Read all fields that must be present at once. A type that is missing here has no
# optional fields.
_REQUIRED_GETTERS = {
    struct_type: itemgetter(
        *(name for name in vars(struct_type()) if name not in optional)
    )
    for struct_type, optional in _OPTIONAL_FIELDS.items()
}
_CHECKS: dict[type, Callable[[Any], None]] = {
    ttypes.RelayHello: _check_hello,
    ttypes.RelayCall: _check_call,
    ttypes.RelayReply: _check_reply,
    ttypes.RelayReport: _check_report,
    ttypes.RelaySuspects: _check_suspects,
    ttypes.RelayConfig: _check_config,
    ttypes.NodeRecord: _check_node,
    ttypes.LearnedRecord: _check_learned,
    ttypes.RelaySubscribe: _check_subscribe,
    ttypes.RelayNews: _check_news,
    ttypes.RelayQuotaAsk: _check_quota_ask,
    ttypes.RelayQuotaGrants: _check_quota_grants,
    ttypes.RelayQuotaBorrow: _check_quota_borrow,
    ttypes.RelayQuotaLoan: _check_quota_loan,
    ttypes.RelaySlotOffer: _check_slot_offer,
}
