"""Reports that arrive again with the same bytes."""

from __future__ import annotations

from unittest import mock

import pytest

from eelgrassmount.errors import BadFrameError, OverlongFrameError
from eelgrassmount.gen import ttypes
from eelgrassmount.relay import frames
from eelgrassmount.relay.frames import FrameConnection, FrameKind, encode_frame


class RecordingConnection(FrameConnection):
    """Keeps the received structs and errors."""

    def __init__(self):
        super().__init__()
        self.received = []

    def handle_frame(self, kind, struct):
        self.received.append(struct)

    def handle_bad_frame(self, error):
        self.received.append(error)

    def handle_connection_lost(self):
        pass


def make_report(in_flight=0, routes=1):
    times = [ttypes.RouteTime(f"route-{number}", 20.0) for number in range(routes)]
    return encode_frame(
        FrameKind.REPORT,
        ttypes.RelayReport(
            True, in_flight, 0, 8, 0, 1, times, [], 0, [], 0, 0, None, None
        ),
    )


@pytest.mark.parametrize(("routes", "decoded"), [(1, 2), (1000, 4)])
def test_only_small_report_with_the_same_bytes_is_not_decoded_again(routes, decoded):
    connection = RecordingConnection()
    with mock.patch.object(
        frames, "decode_struct", side_effect=frames.decode_struct
    ) as decode:
        for in_flight in (0, 0, 1, 1):
            connection.data_received(make_report(in_flight, routes))
    assert decode.call_count == decoded
    assert [report.in_flight for report in connection.received] == [0, 0, 1, 1]


def test_bad_report_is_refused_each_time():
    connection = RecordingConnection()
    for in_flight in (3, -1, -1):
        connection.data_received(make_report(in_flight))
    report, *errors = connection.received
    assert report.in_flight == 3
    assert [type(error) for error in errors] == [BadFrameError, BadFrameError]


def test_frames_in_pieces_of_any_size_are_decoded():
    frame = make_report(3) + make_report(4, routes=50) + make_report(5)
    for size in (1, 2, 7, 100, len(frame)):
        connection = RecordingConnection()
        for start in range(0, len(frame), size):
            connection.data_received(frame[start : start + size])
        assert [report.in_flight for report in connection.received] == [3, 4, 5]


# Guards against a node that keeps what a peer announces as one huge frame.
@pytest.mark.parametrize("kind", [FrameKind.REPORT, FrameKind.NEWS, 200])
def test_frame_without_a_body_that_is_too_long_is_refused_at_once(kind):
    connection = RecordingConnection()
    length = frames.MAX_SHORT_FRAME_BYTES + 1
    connection.data_received(length.to_bytes(4, "big") + bytes([kind]))
    (error,) = connection.received
    assert isinstance(error, OverlongFrameError)
