"""Encoding and decoding of frames, also of malformed ones."""

from __future__ import annotations

from contextlib import suppress

import anyio
import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from eelgrassmount.calls.request import Call, Outcome, Request
from eelgrassmount.context import Context, Tier
from eelgrassmount.errors import (
    BadFrameError,
    OverlongFrameError,
    TruncatedFrameError,
)
from eelgrassmount.gen import ttypes
from eelgrassmount.peer.codec import (
    decode_call,
    decode_outcome,
    decode_payload,
    encode_call,
    encode_frame,
    encode_outcome,
)
from eelgrassmount.peer.frames import FrameReader, FrameWriter
from eelgrassmount.verdict import Answered, Header, MayHaveRun, NotRun, Reason

pytestmark = pytest.mark.anyio

TEXT = st.text(min_size=1, max_size=20)
HEADERS = st.lists(st.builds(Header, TEXT, st.text(max_size=20)), max_size=4).map(tuple)
DELAYS_S = st.integers(0, 3_600_000).map(lambda ms: ms / 1000)
VERDICTS = st.one_of(
    st.builds(Answered, st.integers(200, 599), HEADERS, st.binary(max_size=200)),
    st.builds(NotRun, st.sampled_from(Reason), DELAYS_S),
    st.builds(MayHaveRun, st.sampled_from(Reason), DELAYS_S),
)
CONTEXTS = st.builds(
    Context,
    root_id=TEXT,
    call_id=TEXT,
    parent_id=st.text(max_size=20),
    class_name=st.text(max_size=20),
    deadline_s=st.integers(0, 3_600_000).map(lambda ms: 100.0 + ms / 1000),
    attempts_left=st.integers(0, 1000),
    tier=st.sampled_from(Tier),
    priority=st.integers(0, 1023),
    depth=st.integers(0, 32),
    idempotent=st.booleans(),
    key=st.text(max_size=20),
    digest=st.text(max_size=20),
)
REQUESTS = st.builds(Request, TEXT, TEXT, TEXT, HEADERS, st.binary(max_size=200))


def encode_and_decode(message: ttypes.Message) -> ttypes.Message:
    message.sequence = 7
    return decode_payload(encode_frame(message)[4:])


@given(st.builds(Call, CONTEXTS, REQUESTS))
def test_call_arrives_as_it_was_sent(call: Call) -> None:
    frame = encode_and_decode(
        ttypes.Message(call=encode_call(call, ttypes.Route.OWN, 100.0))
    )
    arrived = decode_call(frame.call, 100.0)
    assert frame.call.route == ttypes.Route.OWN
    # the remaining time is sent in whole milliseconds, rounded down
    rounding_s = call.context.deadline_s - arrived.context.deadline_s
    assert 0 <= rounding_s < 0.0011
    context = evolve(arrived.context, deadline_s=call.context.deadline_s)
    assert (context, arrived.request) == (call.context, call.request)


@given(VERDICTS, st.integers(0, 1000))
def test_outcome_arrives_as_it_was_sent(verdict: object, attempts_left: int) -> None:
    frame = encode_and_decode(
        ttypes.Message(outcome=encode_outcome("id", Outcome(verdict)))
    )
    arrived = decode_outcome(frame.outcome).verdict
    assert frame.outcome.call_id == "id"
    if isinstance(verdict, Answered):
        assert arrived == verdict
    else:
        assert (type(arrived), arrived.reason) == (type(verdict), verdict.reason)
        assert arrived.retry_after_s == pytest.approx(verdict.retry_after_s, abs=0.0011)


@given(st.floats(allow_nan=False))
def test_retry_delays_are_limited_in_a_frame(delay_s: float) -> None:
    outcome = Outcome(NotRun(Reason.SERVER_SHED, delay_s))
    frame = encode_and_decode(ttypes.Message(outcome=encode_outcome("id", outcome)))
    assert 0 <= decode_outcome(frame.outcome).verdict.retry_after_s <= 3600


def decode_all(payload: bytes) -> None:
    message = decode_payload(payload)
    if message.call is not None:
        decode_call(message.call, 0.0)
    if message.outcome is not None:
        decode_outcome(message.outcome)


def make_message() -> ttypes.Message:
    context = ttypes.Context("r", "c", "", "k", 10, 1, 0, 0, 0, True, "", "")
    headers = [ttypes.Header("name", "value")]
    call = ttypes.Call(context, "s", "GET", "/s", headers, b"body", 0)
    outcome = ttypes.Outcome("c", 0, "", 0, 200, headers, b"body", 1)
    return ttypes.Message(sequence=1, reply=False, call=call, outcome=outcome)


@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_a_bad_frame(payload: bytes) -> None:
    with suppress(BadFrameError):
        decode_all(payload)


@given(st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=6))
def test_a_damaged_frame_is_a_message_or_a_bad_frame(
    damage: list[tuple[int, int]],
) -> None:
    payload = bytearray(encode_frame(make_message())[4:])
    for position, value in damage:
        payload[position % len(payload)] = value
    with suppress(BadFrameError):
        decode_all(bytes(payload))


def make_overlong_list() -> bytes:
    # gossip whose list of members claims 2**31 - 1 entries
    return b"\x0c\x00\x0a\x0f\x00\x01\x0c\x7f\xff\xff\xff"


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x00",
        make_overlong_list(),
        b"\x0c\x00\x63" * 50_000,
        b"\x08\x00\x01\0\0\0\1\0",
    ],
)
def test_malformed_payloads_are_rejected(payload: bytes) -> None:
    with pytest.raises(BadFrameError):
        decode_payload(payload)


@pytest.mark.parametrize(
    "change",
    [
        {"context": None},
        {"method": None},
        {"path": ""},
        {"headers": [ttypes.Header(None, "value")]},
    ],
)
def test_incomplete_calls_are_rejected(change: dict[str, object]) -> None:
    frame = make_message().call
    for name, value in change.items():
        setattr(frame, name, value)
    with pytest.raises(BadFrameError):
        decode_call(frame, 0.0)


@pytest.mark.parametrize(
    ("name", "value"),
    [("kind", 9), ("kind", None), ("status", 999), ("status", None), ("status", 101)],
)
def test_impossible_outcomes_are_rejected(name: str, value: object) -> None:
    frame = make_message().outcome
    setattr(frame, name, value)
    with pytest.raises(BadFrameError):
        decode_outcome(frame)


def test_unknown_fields_and_reasons_of_a_newer_release_are_accepted() -> None:
    payload = encode_frame(make_message())[4:]
    unknown = b"\x0b\x03\xe7\x00\x00\x00\x03new\x0c\x03\xe8\x08\x00\x01\0\0\0\1\0\x00"
    assert decode_payload(payload[:-1] + unknown) == make_message()
    frame = ttypes.Outcome("c", ttypes.VerdictKind.NOT_RUN, "a-newer-reason", 500)
    assert decode_outcome(frame).verdict == NotRun(Reason.INTERNAL, 0.5)


class PieceStream:
    """A stream that returns its bytes in pieces of a given length."""

    def __init__(self, data: bytes, piece_bytes: int) -> None:
        self.data = data
        self.piece_bytes = piece_bytes

    async def receive(self, max_bytes: int) -> bytes:
        if not self.data:
            raise anyio.EndOfStream
        taken, self.data = self.data[: self.piece_bytes], self.data[self.piece_bytes :]
        return taken

    async def send(self, data: bytes) -> None:
        self.data += data


@pytest.mark.parametrize("piece_bytes", [1, 3, 4, 1000])
async def test_reader_reassembles_frames_from_pieces(piece_bytes: int) -> None:
    frames = [
        ttypes.Message(sequence=number, call=make_message().call) for number in range(3)
    ]
    data = b"".join(encode_frame(frame) for frame in frames)
    reader = FrameReader(PieceStream(data, piece_bytes), 1000)
    assert [await reader.read() for _ in frames] == frames
    with pytest.raises(anyio.EndOfStream):
        await reader.read()


@pytest.mark.parametrize("length", [1, 4, 5, 30])
async def test_reader_reports_a_truncated_frame(length: int) -> None:
    data = encode_frame(make_message())
    with pytest.raises(TruncatedFrameError):
        await FrameReader(PieceStream(data[:length], 2), 1000).read()


async def test_reader_rejects_an_overlong_frame_by_its_length_prefix() -> None:
    with pytest.raises(OverlongFrameError):
        await FrameReader(PieceStream(b"\x00\x00\x04\x01", 4), 1024).read()


async def test_writer_preserves_order_and_enforces_its_bounds() -> None:
    stream = PieceStream(b"", 1000)
    writer = FrameWriter(stream, 400, 500)
    assert not writer.write(
        ttypes.Message(sequence=1, call=ttypes.Call(body=b"x" * 400))
    )
    message = ttypes.Message(sequence=0, call=ttypes.Call(body=b"x" * 200))
    written = 0
    while writer.write(message):
        written += 1
        message.sequence = written
    assert written == 3
    async with anyio.create_task_group() as group:
        group.start_soon(writer.run)
        await anyio.wait_all_tasks_blocked()
        assert writer.write(message)
        await anyio.wait_all_tasks_blocked()
        writer.close()
    assert not writer.write(message)
    reader = FrameReader(stream, 400)
    assert [(await reader.read()).sequence for _ in range(4)] == [0, 1, 2, 3]
