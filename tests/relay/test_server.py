"""What heartbeats, leaves and mistaken identities change."""

from __future__ import annotations

import pytest

from eelgrassmount.relay.heartbeats import (
    UNKNOWN_START,
    Heartbeat,
    ServerIncarnation,
)
from eelgrassmount.relay.server import DEFAULT_SLOTS, MAX_ENDED_IDENTITIES, LocalServer
from eelgrassmount.util.addresses import Address
from eelgrassmount.verdict import Reason

NOW_S = 100.0


FIRST_MS = 1_700_000_000_000
SECOND_MS = FIRST_MS + 5_000
THIRD_MS = SECOND_MS + 5_000


def beat(
    identity: str = "i1", sequence: int = 1, started_ms: int = FIRST_MS, **changes
) -> Heartbeat:
    values = {"service": "list", "slots": 100, "sequence": sequence, **changes}
    return Heartbeat(ServerIncarnation(identity, started_ms), **values)


def leave(identity: str = "i1", started_ms: int = UNKNOWN_START) -> Heartbeat:
    return Heartbeat(ServerIncarnation(identity, started_ms), leaving=True)


@pytest.fixture
def restarts() -> list[tuple[ServerIncarnation, ServerIncarnation]]:
    return []


@pytest.fixture
def server(restarts) -> LocalServer:
    return LocalServer(
        "list",
        Address("127.0.0.1", 80),
        on_restart=lambda ended, begun: restarts.append((ended, begun)),
    )


def test_nothing_goes_to_a_server_before_it_is_known(server):
    assert server.find_refusal_reason(NOW_S) is Reason.SERVER_STARTING
    assert server.apply_heartbeat(beat())
    assert server.find_refusal_reason(NOW_S) is None


def test_draining_closes_for_good(server):
    server.apply_heartbeat(beat())
    assert server.apply_heartbeat(beat(sequence=2, draining=True))
    server.apply_heartbeat(beat(sequence=3))
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING


def test_late_heartbeat_of_the_same_incarnation_is_ignored(server):
    server.apply_heartbeat(beat(sequence=5))
    assert not server.apply_heartbeat(beat(sequence=4, draining=True))
    assert server.find_refusal_reason(NOW_S) is None


def test_late_heartbeat_of_an_ended_incarnation_is_ignored(server):
    server.apply_heartbeat(beat("i1", 7))
    server.apply_heartbeat(beat("i2", 1))
    assert not server.apply_heartbeat(beat("i1", 9, draining=True))
    assert server.incarnation.identity == "i2"
    assert server.find_refusal_reason(NOW_S) is None


def test_leave_closes_and_a_new_incarnation_opens(server):
    server.apply_heartbeat(beat("i1"))
    server.apply_heartbeat(leave("i1"))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER
    server.apply_heartbeat(beat("i2"))
    assert server.find_refusal_reason(NOW_S) is None


def test_leave_of_another_incarnation_does_not_close(server):
    server.apply_heartbeat(beat("i2"))
    assert not server.apply_heartbeat(leave("i1"))
    assert server.find_refusal_reason(NOW_S) is None


def test_server_that_names_itself_is_believed(server):
    server.apply_heartbeat(beat("old", 3))
    server.apply_answer_identity("new")
    assert server.incarnation.identity == "new"
    server.apply_heartbeat(beat("old", 4))
    assert server.incarnation.identity == "new"


def test_unreachable_server_is_tried_again_when_it_is_heard(server):
    server.apply_heartbeat(beat())
    server.mark_unreachable(NOW_S)
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER
    server.apply_heartbeat(beat(sequence=2))
    assert server.find_refusal_reason(NOW_S) is None


def test_limit_stays_below_the_slots(server):
    server.apply_heartbeat(beat())
    assert server.compute_concurrency_limit() == 93


# Servers were known by their identity alone. One that started again under the
# identity that it had began to count at 1, so that its heartbeats were dropped as late
# until they overtook those of its earlier start, and what that one had said last, that
# it drains or has left, held on for the new one.


@pytest.mark.parametrize("last", [beat(sequence=9, draining=True), leave("i1")])
def test_server_that_starts_again_under_its_identity_begins_anew(
    server, restarts, last
):
    server.apply_heartbeat(beat(sequence=8))
    server.apply_heartbeat(last)
    server.mark_unreachable(NOW_S)
    assert server.find_refusal_reason(NOW_S) is not None
    assert server.apply_heartbeat(beat(started_ms=SECOND_MS, slots=7))
    assert server.find_refusal_reason(NOW_S) is None
    assert (server.sequence, server.slots) == (1, 7)
    ends = [(ended.started_ms, begun.started_ms) for ended, begun in restarts]
    assert ends == [(FIRST_MS, SECOND_MS)]


def test_slots_of_the_earlier_start_are_not_those_of_the_later(server):
    server.apply_heartbeat(beat())
    server.apply_heartbeat(beat(started_ms=SECOND_MS, slots=0))
    assert server.slots == DEFAULT_SLOTS


def test_later_start_that_drains_is_draining(server):
    server.apply_heartbeat(beat(sequence=4))
    server.apply_heartbeat(beat(started_ms=SECOND_MS, draining=True))
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING


@pytest.mark.parametrize(
    "late",
    [
        beat(sequence=9, draining=True),
        beat(sequence=9, slots=3),
        leave("i1", FIRST_MS),
        beat(sequence=2, started_ms=SECOND_MS, draining=True),
    ],
)
def test_what_comes_late_changes_nothing(server, restarts, late):
    server.apply_heartbeat(beat(sequence=8))
    server.apply_heartbeat(beat(sequence=2, started_ms=SECOND_MS))
    assert not server.apply_heartbeat(late)
    assert server.find_refusal_reason(NOW_S) is None
    assert server.incarnation == ServerIncarnation("i1", SECOND_MS)
    assert (server.sequence, server.slots) == (2, 100)
    assert len(restarts) == 1


@pytest.mark.parametrize("started_ms", [UNKNOWN_START, FIRST_MS])
def test_leave_of_the_present_start_closes(server, started_ms):
    server.apply_heartbeat(beat())
    assert server.apply_heartbeat(leave("i1", started_ms))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER
    # heartbeats from before the leave don't open it again
    server.apply_heartbeat(beat(sequence=2))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER


def test_leave_of_a_later_start_ends_the_earlier_one(server, restarts):
    server.apply_heartbeat(beat())
    assert server.apply_heartbeat(leave("i1", SECOND_MS))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER
    assert not server.apply_heartbeat(beat(sequence=2))
    assert len(restarts) == 1


def test_two_restarts_within_one_heartbeat_are_one(server, restarts):
    server.apply_heartbeat(beat(sequence=5))
    server.apply_heartbeat(beat(started_ms=THIRD_MS))
    for late in (
        beat(sequence=3, started_ms=SECOND_MS, draining=True),
        leave("i1", SECOND_MS),
    ):
        assert not server.apply_heartbeat(late)
    assert server.find_refusal_reason(NOW_S) is None
    assert len(restarts) == 1


def test_start_that_an_answer_did_not_say_is_taken_from_the_heartbeat(server, restarts):
    server.apply_answer_identity("i1")
    assert server.incarnation == ServerIncarnation("i1", UNKNOWN_START)
    assert server.find_refusal_reason(NOW_S) is None
    assert server.apply_heartbeat(beat(sequence=4))
    assert server.incarnation == ServerIncarnation("i1", FIRST_MS)
    assert (server.sequence, server.slots) == (4, 100)
    assert restarts == []


def test_answer_that_names_the_known_identity_changes_nothing(server, restarts):
    server.apply_heartbeat(beat(sequence=4, draining=True))
    server.apply_answer_identity("i1")
    assert server.incarnation == ServerIncarnation("i1", FIRST_MS)
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING
    assert not server.apply_heartbeat(beat(sequence=3))
    assert restarts == []


def test_heartbeat_without_a_start_counts_for_the_present_one(server, restarts):
    server.apply_heartbeat(beat(sequence=4))
    assert not server.apply_heartbeat(
        beat(sequence=4, started_ms=UNKNOWN_START, draining=True)
    )
    assert server.apply_heartbeat(
        beat(sequence=5, started_ms=UNKNOWN_START, draining=True)
    )
    assert server.incarnation == ServerIncarnation("i1", FIRST_MS)
    assert restarts == []


def test_other_identity_is_no_restart(server, restarts):
    server.apply_heartbeat(beat("i1"))
    server.apply_heartbeat(beat("i2", started_ms=SECOND_MS))
    assert server.incarnation == ServerIncarnation("i2", SECOND_MS)
    assert restarts == []


def test_identity_that_was_replaced_may_start_again(server):
    server.apply_heartbeat(beat("i1", 7))
    server.apply_heartbeat(beat("i2", 1, SECOND_MS))
    assert not server.apply_heartbeat(beat("i1", 8))
    assert not server.apply_heartbeat(leave("i1"))
    assert server.apply_heartbeat(beat("i1", 1, THIRD_MS))
    assert server.incarnation == ServerIncarnation("i1", THIRD_MS)
    assert not server.apply_heartbeat(beat("i2", 9, SECOND_MS))


def test_heartbeat_of_an_identity_that_was_named_by_mistake_is_taken_again(server):
    server.apply_heartbeat(beat("i2", 3, SECOND_MS))
    # late, of a server that had this address before
    server.apply_heartbeat(beat("i1", 9))
    server.apply_answer_identity("i2")
    assert server.apply_heartbeat(beat("i2", 4, SECOND_MS, draining=True))
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING


def test_ended_incarnations_are_bounded_and_the_last_ones_kept(server):
    count = MAX_ENDED_IDENTITIES + 20
    for number in range(count):
        server.apply_heartbeat(beat(f"i{number}", 2))
        server.apply_heartbeat(leave(f"other{number}"))
    assert len(server._ended) <= MAX_ENDED_IDENTITIES
    for number in range(count - MAX_ENDED_IDENTITIES // 2 + 1, count - 1):
        assert not server.apply_heartbeat(beat(f"i{number}", 3))


def test_incarnations_of_one_identity_are_ordered_by_their_start():
    first = ServerIncarnation("i1", FIRST_MS)
    second = ServerIncarnation("i1", SECOND_MS)
    assert second.is_after(first)
    assert not first.is_after(second)
    assert not first.is_after(first)
    unknown = ServerIncarnation("i1", UNKNOWN_START)
    assert not first.is_after(unknown)
    assert not unknown.is_after(first)
    assert not ServerIncarnation("i2", SECOND_MS).is_after(first)


def test_identity_that_has_started_again_leaves_without_saying_its_start(server):
    server.apply_heartbeat(beat("i1"))
    server.apply_heartbeat(beat("i2", started_ms=SECOND_MS))
    server.apply_heartbeat(beat("i1", started_ms=THIRD_MS))
    assert server.apply_heartbeat(leave("i1"))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER


def test_identity_that_ended_with_an_unknown_start_is_back_when_it_answers(server):
    server.apply_answer_identity("i1")
    server.apply_heartbeat(beat("i2", started_ms=SECOND_MS))
    # nothing says whether this is late
    assert not server.apply_heartbeat(beat("i1", started_ms=THIRD_MS))
    server.apply_answer_identity("i1")
    assert server.apply_heartbeat(beat("i1", started_ms=THIRD_MS))
    assert server.incarnation == ServerIncarnation("i1", THIRD_MS)
