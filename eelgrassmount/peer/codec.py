"""Conversion between thrift messages and the types of the program."""

from __future__ import annotations

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.context import MAX_DEPTH, PRIORITY_LEVELS, Context, Tier
from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen import ttypes
from eelgrassmount.http1.statuses import FINAL_STATUSES
from eelgrassmount.load.state import FULL_THRESHOLD, ServiceLoad
from eelgrassmount.verdict import (
    Answered,
    Header,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)

FRAME_HEADER_BYTES = 4
MAX_REMAINING_MS = 3_600_000
MAX_RETRY_AFTER_MS = 3_600_000


def encode_frame(message: ttypes.Message) -> bytes:
    """Return a message as a frame: a length prefix of four bytes and the payload."""
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    payload = buffer.getvalue()
    return len(payload).to_bytes(FRAME_HEADER_BYTES, "big") + payload


def decode_payload(payload: bytes) -> ttypes.Message:
    """Return the message in a payload; raise `BadFrameError` if it is malformed."""
    message = ttypes.Message()
    try:
        message.read(TBinaryProtocolAccelerated(TMemoryBuffer(payload)))
    # the accelerated decoder raises many types of exceptions on malformed input
    except Exception as error:
        raise BadFrameError(f"not a thrift message: {error!r}") from error
    if message.sequence is None:
        raise BadFrameError("the message has no sequence number")
    return message


def encode_call(call: Call, route: int, now_s: float) -> ttypes.Call:
    """Return the struct of a call that is sent to another node at ``now_s``."""
    context = call.context
    request = call.request
    return ttypes.Call(
        context=ttypes.Context(
            root_id=context.root_id,
            call_id=context.call_id,
            parent_id=context.parent_id,
            class_name=context.class_name,
            remaining_ms=_encode_remaining(context, now_s),
            attempts_left=context.attempts_left,
            tier=int(context.tier),
            priority=context.priority,
            depth=context.depth,
            idempotent=context.idempotent,
            key=context.key,
            digest=context.digest,
        ),
        service_name=request.service,
        method=request.method,
        path=request.path,
        headers=_encode_headers(request.headers),
        body=request.body,
        route=route,
    )


def _encode_remaining(context: Context, now_s: float) -> int:
    return max(0, int(context.compute_remaining_s(now_s) * 1000))


def decode_call(frame: ttypes.Call, now_s: float) -> Call:
    """Return a call received at ``now_s``; raise `BadFrameError` if it is invalid."""
    try:
        return Call(_decode_context(frame.context, now_s), _decode_request(frame))
    except (AttributeError, TypeError, ValueError) as error:
        raise BadFrameError(f"not a valid call: {error}") from error


def _decode_context(frame: ttypes.Context, now_s: float) -> Context:
    remaining_ms = _check_range("remaining_ms", frame.remaining_ms, MAX_REMAINING_MS)
    return Context(
        root_id=_check_text("root_id", frame.root_id),
        call_id=_check_text("call_id", frame.call_id),
        parent_id=frame.parent_id or "",
        class_name=frame.class_name or "",
        deadline_s=now_s + remaining_ms / 1000,
        attempts_left=_check_range("attempts_left", frame.attempts_left, 1000),
        tier=Tier(frame.tier),
        priority=_check_range("priority", frame.priority, PRIORITY_LEVELS - 1),
        depth=_check_range("depth", frame.depth, MAX_DEPTH),
        idempotent=bool(frame.idempotent),
        key=frame.key or "",
        digest=frame.digest or "",
    )


def _decode_request(frame: ttypes.Call) -> Request:
    return Request(
        service=_check_text("service_name", frame.service_name),
        method=_check_text("method", frame.method),
        path=_check_text("path", frame.path),
        headers=_decode_headers(frame.headers),
        body=frame.body or b"",
    )


def _check_text(name: str, value: str | None) -> str:
    if not value:
        raise ValueError(f"{name} is missing")
    return value


def _check_range(name: str, value: int | None, maximum: int) -> int:
    if value is None or not 0 <= value <= maximum:
        raise ValueError(f"{name} is {value}, allowed is 0 to {maximum}")
    return value


def _encode_headers(headers: tuple[Header, ...]) -> list[ttypes.Header]:
    return [ttypes.Header(header.name, header.value) for header in headers]


def _decode_headers(frames: list[ttypes.Header] | None) -> tuple[Header, ...]:
    return tuple(_decode_header(frame) for frame in frames or ())


def _decode_header(frame: ttypes.Header) -> Header:
    return Header(_check_text("header name", frame.name), frame.value or "")


def encode_outcome(call_id: str, outcome: Outcome) -> ttypes.Outcome:
    """Return the struct of a call's outcome."""
    frame = ttypes.Outcome(
        call_id=call_id,
        attempts_left=outcome.attempts_left,
        loads=[_encode_load(load) for load in outcome.loads],
    )
    match outcome.verdict:
        case Answered(status, headers, body):
            frame.kind = ttypes.VerdictKind.ANSWERED
            frame.status = status
            frame.headers = _encode_headers(headers)
            frame.body = body
        case NotRun(reason, retry_after_s):
            frame.kind = ttypes.VerdictKind.NOT_RUN
            frame.reason = reason.value
            frame.retry_after_ms = _encode_delay(retry_after_s)
        case MayHaveRun(reason, retry_after_s):
            frame.kind = ttypes.VerdictKind.MAY_HAVE_RUN
            frame.reason = reason.value
            frame.retry_after_ms = _encode_delay(retry_after_s)
    return frame


def _encode_delay(seconds: float) -> int:
    return int(min(max(0.0, seconds * 1000), MAX_RETRY_AFTER_MS))


def decode_outcome(frame: ttypes.Outcome) -> Outcome:
    """Return the outcome of a struct; raise `BadFrameError` if it is invalid."""
    try:
        verdict = _decode_verdict(frame)
        loads = tuple(_decode_load(load) for load in frame.loads or ())
    except (AttributeError, TypeError, ValueError) as error:
        raise BadFrameError(f"not a valid outcome: {error}") from error
    return Outcome(verdict, max(0, frame.attempts_left or 0), loads)


def _encode_load(load: ServiceLoad) -> ttypes.ServiceLoad:
    return ttypes.ServiceLoad(
        service_name=load.service,
        threshold=load.threshold,
        headroom=load.headroom,
        retry_after_ms=_encode_delay(load.retry_after_s),
    )


def _decode_load(frame: ttypes.ServiceLoad) -> ServiceLoad:
    if not frame.service_name:
        raise BadFrameError("a load has no service name")
    threshold = FULL_THRESHOLD if frame.threshold is None else frame.threshold
    return ServiceLoad(
        service=frame.service_name,
        threshold=min(FULL_THRESHOLD, max(0, threshold)),
        headroom=max(0, frame.headroom or 0),
        retry_after_s=max(0, frame.retry_after_ms or 0) / 1000,
    )


def _decode_verdict(frame: ttypes.Outcome) -> Verdict:
    retry_after_s = max(0, frame.retry_after_ms or 0) / 1000
    match frame.kind:
        case ttypes.VerdictKind.ANSWERED if frame.status in FINAL_STATUSES:
            headers = _decode_headers(frame.headers)
            return Answered(frame.status, headers, frame.body or b"")
        case ttypes.VerdictKind.NOT_RUN:
            return NotRun(_decode_reason(frame.reason), retry_after_s)
        case ttypes.VerdictKind.MAY_HAVE_RUN:
            return MayHaveRun(_decode_reason(frame.reason), retry_after_s)
    raise ValueError(f"kind {frame.kind}, status {frame.status}")


def _decode_reason(text: str | None) -> Reason:
    # a newer release may send reasons that this one does not define
    try:
        return Reason(text)
    except ValueError:
        return Reason.INTERNAL
