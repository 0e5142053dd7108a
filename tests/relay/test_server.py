"""Effects of heartbeats, leave messages and answers on the state of the server."""

from __future__ import annotations

import pytest

from eelgrassmount.relay.heartbeats import (
    UNKNOWN_START,
    Heartbeat,
    ServerIncarnation,
)
from eelgrassmount.relay.server import (
    DEFAULT_SLOTS,
    MAX_ENDED_IDENTITIES,
    MAX_NOTICES,
    LocalServer,
)
from eelgrassmount.relay.server_notices import ServerNotice
from eelgrassmount.util.addresses import Address
from eelgrassmount.verdict import Reason

NOW_S = 100.0
FIRST_MS = 1_700_000_000_000
SECOND_MS = FIRST_MS + 5_000
THIRD_MS = SECOND_MS + 5_000


def make_heartbeat(
    identity: str = "i1", sequence: int = 1, started_ms: int = FIRST_MS, **changes
) -> Heartbeat:
    values = {"service": "list", "slots": 100, "sequence": sequence, **changes}
    return Heartbeat(ServerIncarnation(identity, started_ms), **values)


def make_leave(identity: str = "i1", started_ms: int = UNKNOWN_START) -> Heartbeat:
    return Heartbeat(ServerIncarnation(identity, started_ms), leaving=True)


@pytest.fixture
def restarts() -> list[tuple[ServerIncarnation, ServerIncarnation]]:
    return []


@pytest.fixture
def server(restarts) -> LocalServer:
    return LocalServer(
        "list",
        Address("127.0.0.1", 80),
        on_restart=lambda ended, started: restarts.append((ended, started)),
    )


def test_server_gets_no_calls_before_its_first_heartbeat(server):
    assert server.find_refusal_reason(NOW_S) is Reason.SERVER_STARTING
    assert server.apply_heartbeat(make_heartbeat())
    assert server.find_refusal_reason(NOW_S) is None


def test_draining_server_stays_draining(server):
    server.apply_heartbeat(make_heartbeat())
    assert server.apply_heartbeat(make_heartbeat(sequence=2, draining=True))
    server.apply_heartbeat(make_heartbeat(sequence=3))
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING


def test_late_heartbeat_of_the_same_incarnation_is_ignored(server):
    server.apply_heartbeat(make_heartbeat(sequence=5))
    assert not server.apply_heartbeat(make_heartbeat(sequence=4, draining=True))
    assert server.find_refusal_reason(NOW_S) is None


def test_late_heartbeat_of_an_ended_incarnation_is_ignored(server):
    server.apply_heartbeat(make_heartbeat("i1", 7))
    server.apply_heartbeat(make_heartbeat("i2", 1))
    assert not server.apply_heartbeat(make_heartbeat("i1", 9, draining=True))
    assert server.incarnation.identity == "i2"
    assert server.find_refusal_reason(NOW_S) is None


def test_server_that_left_gets_no_calls_until_a_new_incarnation_starts(server):
    server.apply_heartbeat(make_heartbeat("i1"))
    server.apply_heartbeat(make_leave("i1"))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER
    server.apply_heartbeat(make_heartbeat("i2"))
    assert server.find_refusal_reason(NOW_S) is None


def test_leave_of_another_incarnation_is_ignored(server):
    server.apply_heartbeat(make_heartbeat("i2"))
    assert not server.apply_heartbeat(make_leave("i1"))
    assert server.find_refusal_reason(NOW_S) is None


def test_identity_in_an_answer_replaces_the_known_one(server):
    server.apply_heartbeat(make_heartbeat("old", 3))
    server.apply_answer_identity("new")
    assert server.incarnation.identity == "new"
    server.apply_heartbeat(make_heartbeat("old", 4))
    assert server.incarnation.identity == "new"


def test_unreachable_server_is_tried_again_after_a_heartbeat(server):
    server.apply_heartbeat(make_heartbeat())
    server.mark_unreachable(NOW_S)
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER
    server.apply_heartbeat(make_heartbeat(sequence=2))
    assert server.find_refusal_reason(NOW_S) is None


def test_concurrency_limit_stays_below_the_slots(server):
    server.apply_heartbeat(make_heartbeat())
    assert server.compute_concurrency_limit() == 93


# A server that restarts under its identity counts its heartbeats from 1 again. They
# must not be dropped as late, nor may the draining or leave of the earlier start last.


@pytest.mark.parametrize(
    "last", [make_heartbeat(sequence=9, draining=True), make_leave("i1")]
)
def test_restart_under_the_same_identity_discards_the_earlier_state(
    server, restarts, last
):
    server.apply_heartbeat(make_heartbeat(sequence=8))
    server.apply_heartbeat(last)
    server.mark_unreachable(NOW_S)
    assert server.find_refusal_reason(NOW_S) is not None
    assert server.apply_heartbeat(make_heartbeat(started_ms=SECOND_MS, slots=7))
    assert server.find_refusal_reason(NOW_S) is None
    assert (server.sequence, server.slots) == (1, 7)
    ends = [(ended.started_ms, started.started_ms) for ended, started in restarts]
    assert ends == [(FIRST_MS, SECOND_MS)]


def test_slots_of_the_earlier_start_do_not_apply_to_the_later(server):
    server.apply_heartbeat(make_heartbeat())
    server.apply_heartbeat(make_heartbeat(started_ms=SECOND_MS, slots=0))
    assert server.slots == DEFAULT_SLOTS


def test_later_start_that_drains_is_draining(server):
    server.apply_heartbeat(make_heartbeat(sequence=4))
    server.apply_heartbeat(make_heartbeat(started_ms=SECOND_MS, draining=True))
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING


@pytest.mark.parametrize(
    "late",
    [
        make_heartbeat(sequence=9, draining=True),
        make_heartbeat(sequence=9, slots=3),
        make_leave("i1", FIRST_MS),
        make_heartbeat(sequence=2, started_ms=SECOND_MS, draining=True),
    ],
)
def test_late_message_changes_nothing(server, restarts, late):
    server.apply_heartbeat(make_heartbeat(sequence=8))
    server.apply_heartbeat(make_heartbeat(sequence=2, started_ms=SECOND_MS))
    assert not server.apply_heartbeat(late)
    assert server.find_refusal_reason(NOW_S) is None
    assert server.incarnation == ServerIncarnation("i1", SECOND_MS)
    assert (server.sequence, server.slots) == (2, 100)
    assert len(restarts) == 1


@pytest.mark.parametrize("started_ms", [UNKNOWN_START, FIRST_MS])
def test_leave_of_the_current_start_stops_calls(server, started_ms):
    server.apply_heartbeat(make_heartbeat())
    assert server.apply_heartbeat(make_leave("i1", started_ms))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER
    # A late heartbeat from before the leave must not undo it.
    server.apply_heartbeat(make_heartbeat(sequence=2))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER


def test_leave_of_a_later_start_ends_the_earlier_one(server, restarts):
    server.apply_heartbeat(make_heartbeat())
    assert server.apply_heartbeat(make_leave("i1", SECOND_MS))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER
    assert not server.apply_heartbeat(make_heartbeat(sequence=2))
    assert len(restarts) == 1


def test_two_restarts_between_heartbeats_are_reported_as_one(server, restarts):
    server.apply_heartbeat(make_heartbeat(sequence=5))
    server.apply_heartbeat(make_heartbeat(started_ms=THIRD_MS))
    for late in (
        make_heartbeat(sequence=3, started_ms=SECOND_MS, draining=True),
        make_leave("i1", SECOND_MS),
    ):
        assert not server.apply_heartbeat(late)
    assert server.find_refusal_reason(NOW_S) is None
    assert len(restarts) == 1


def test_start_unknown_from_an_answer_is_taken_from_the_heartbeat(server, restarts):
    server.apply_answer_identity("i1")
    assert server.incarnation == ServerIncarnation("i1", UNKNOWN_START)
    assert server.find_refusal_reason(NOW_S) is None
    assert server.apply_heartbeat(make_heartbeat(sequence=4))
    assert server.incarnation == ServerIncarnation("i1", FIRST_MS)
    assert (server.sequence, server.slots) == (4, 100)
    assert restarts == []


def test_answer_that_names_the_known_identity_changes_nothing(server, restarts):
    server.apply_heartbeat(make_heartbeat(sequence=4, draining=True))
    server.apply_answer_identity("i1")
    assert server.incarnation == ServerIncarnation("i1", FIRST_MS)
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING
    assert not server.apply_heartbeat(make_heartbeat(sequence=3))
    assert restarts == []


def test_heartbeat_without_a_start_applies_to_the_current_one(server, restarts):
    server.apply_heartbeat(make_heartbeat(sequence=4))
    assert not server.apply_heartbeat(
        make_heartbeat(sequence=4, started_ms=UNKNOWN_START, draining=True)
    )
    assert server.apply_heartbeat(
        make_heartbeat(sequence=5, started_ms=UNKNOWN_START, draining=True)
    )
    assert server.incarnation == ServerIncarnation("i1", FIRST_MS)
    assert restarts == []


def test_other_identity_is_not_reported_as_a_restart(server, restarts):
    server.apply_heartbeat(make_heartbeat("i1"))
    server.apply_heartbeat(make_heartbeat("i2", started_ms=SECOND_MS))
    assert server.incarnation == ServerIncarnation("i2", SECOND_MS)
    assert restarts == []


def test_replaced_identity_may_start_again(server):
    server.apply_heartbeat(make_heartbeat("i1", 7))
    server.apply_heartbeat(make_heartbeat("i2", 1, SECOND_MS))
    assert not server.apply_heartbeat(make_heartbeat("i1", 8))
    assert not server.apply_heartbeat(make_leave("i1"))
    assert server.apply_heartbeat(make_heartbeat("i1", 1, THIRD_MS))
    assert server.incarnation == ServerIncarnation("i1", THIRD_MS)
    assert not server.apply_heartbeat(make_heartbeat("i2", 9, SECOND_MS))


def test_identity_wrongly_marked_as_ended_is_accepted_after_its_answer(server):
    server.apply_heartbeat(make_heartbeat("i2", 3, SECOND_MS))
    # A late heartbeat of an earlier server at this address.
    server.apply_heartbeat(make_heartbeat("i1", 9))
    server.apply_answer_identity("i2")
    assert server.apply_heartbeat(make_heartbeat("i2", 4, SECOND_MS, draining=True))
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING


def test_ended_identities_are_bounded_and_the_latest_are_kept(server):
    count = MAX_ENDED_IDENTITIES + 20
    for number in range(count):
        server.apply_heartbeat(make_heartbeat(f"i{number}", 2))
        server.apply_heartbeat(make_leave(f"other{number}"))
    assert len(server._ended) <= MAX_ENDED_IDENTITIES
    for number in range(count - MAX_ENDED_IDENTITIES // 2 + 1, count - 1):
        assert not server.apply_heartbeat(make_heartbeat(f"i{number}", 3))


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


def test_restarted_identity_leaves_without_naming_its_start(server):
    server.apply_heartbeat(make_heartbeat("i1"))
    server.apply_heartbeat(make_heartbeat("i2", started_ms=SECOND_MS))
    server.apply_heartbeat(make_heartbeat("i1", started_ms=THIRD_MS))
    assert server.apply_heartbeat(make_leave("i1"))
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER


def test_identity_that_ended_with_an_unknown_start_returns_with_its_answer(server):
    server.apply_answer_identity("i1")
    server.apply_heartbeat(make_heartbeat("i2", started_ms=SECOND_MS))
    # Without a known start, the heartbeat may be a late one.
    assert not server.apply_heartbeat(make_heartbeat("i1", started_ms=THIRD_MS))
    server.apply_answer_identity("i1")
    assert server.apply_heartbeat(make_heartbeat("i1", started_ms=THIRD_MS))
    assert server.incarnation == ServerIncarnation("i1", THIRD_MS)


# The following tests guard against a late heartbeat that displaces a server, which its
# answers bring back: what it has announced must still hold.


@pytest.mark.parametrize("displaced_first", [True, False])
@pytest.mark.parametrize("started_ms", [UNKNOWN_START, FIRST_MS])
@pytest.mark.parametrize(
    ("leaving", "reason"), [(True, Reason.NO_SERVER), (False, Reason.DRAINING)]
)
def test_announced_stop_holds_for_an_identity_that_returns(
    server, displaced_first, started_ms, leaving, reason
):
    stop = make_heartbeat("i2", 4, started_ms, draining=True)
    if leaving:
        stop = make_leave("i2", started_ms)
    late = make_heartbeat("i1", 9, UNKNOWN_START, slots=7)
    server.apply_heartbeat(make_heartbeat("i2", 3, started_ms))
    for message in (late, stop) if displaced_first else (stop, late):
        server.apply_heartbeat(message)
    assert server.incarnation.identity == "i1"
    assert server.apply_answer_identity("i2")
    assert server.incarnation == ServerIncarnation("i2", started_ms)
    assert server.slots == 100
    assert server.find_refusal_reason(NOW_S) is reason
    # The late heartbeat is known by now, and a later start is given work.
    assert not server.apply_heartbeat(late)
    server.apply_heartbeat(make_heartbeat("i2", 1, SECOND_MS))
    if started_ms != UNKNOWN_START:
        assert server.find_refusal_reason(NOW_S) is None


def test_late_stop_of_an_earlier_start_does_not_hold_for_an_identity_that_returns(
    server,
):
    server.apply_heartbeat(make_heartbeat("i2", 3, SECOND_MS))
    server.apply_heartbeat(make_heartbeat("i1", 9))
    server.apply_heartbeat(make_leave("i2", FIRST_MS))
    server.apply_heartbeat(make_heartbeat("i2", 8, FIRST_MS, draining=True))
    server.apply_answer_identity("i2")
    assert server.find_refusal_reason(NOW_S) is None


def test_leave_of_an_unknown_identity_holds_when_its_answer_names_it(server):
    server.apply_heartbeat(make_heartbeat("i1"))
    server.apply_heartbeat(make_leave("i2"))
    assert server.find_refusal_reason(NOW_S) is None
    server.apply_answer_identity("i2")
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER


# Guards against a server that stays unused after a late heartbeat that says draining.
@pytest.mark.parametrize("started_ms", [UNKNOWN_START, FIRST_MS])
def test_displaced_server_returns_by_a_new_heartbeat_while_the_present_one_stops(
    server, started_ms
):
    server.apply_heartbeat(make_heartbeat("i2", 3, started_ms))
    server.apply_heartbeat(make_heartbeat("i1", 9, UNKNOWN_START, draining=True))
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING
    assert not server.apply_heartbeat(make_heartbeat("i2", 3, started_ms))
    if started_ms != UNKNOWN_START:
        assert not server.apply_heartbeat(make_heartbeat("i2", 5, FIRST_MS - 1))
    assert server.apply_heartbeat(make_heartbeat("i2", 4, started_ms, slots=8))
    assert server.incarnation == ServerIncarnation("i2", started_ms)
    assert (server.sequence, server.slots) == (4, 8)
    assert server.find_refusal_reason(NOW_S) is None


def test_late_heartbeat_that_is_believed_undoes_no_leave(server):
    server.apply_heartbeat(make_heartbeat("i1", 3))
    server.apply_heartbeat(make_heartbeat("i2", 1))
    server.apply_heartbeat(make_leave("i2"))
    assert server.apply_heartbeat(make_heartbeat("i1", 4))
    server.apply_answer_identity("i2")
    assert server.find_refusal_reason(NOW_S) is Reason.NO_SERVER
    # A stop of the other identity is kept as well.
    assert not server.apply_heartbeat(make_heartbeat("i1", 5, draining=True))
    assert not server.apply_heartbeat(make_heartbeat("i1", 6))
    assert server.incarnation.identity == "i2"


# The following tests guard against a node that restarts and forgets what its server has
# said in answers, which bind the nodes that have passed them on.


def make_notice(
    identity: str = "i1",
    started_ms: int = FIRST_MS,
    leaving: bool = True,
    rate_limit_per_s: float | None = 2.0,
) -> ServerNotice:
    incarnation = ServerIncarnation(identity, started_ms)
    return ServerNotice(incarnation, leaving, rate_limit_per_s)


@pytest.mark.parametrize("notice_first", [True, False])
@pytest.mark.parametrize("started_ms", [FIRST_MS, UNKNOWN_START])
def test_notice_applies_to_its_incarnation(server, notice_first, started_ms):
    notice = make_notice(started_ms=started_ms)
    if notice_first:
        server.apply_notice(notice)
        server.apply_heartbeat(make_heartbeat())
    else:
        server.apply_heartbeat(make_heartbeat())
        server.apply_notice(notice)
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING
    assert server.rate_limit.per_s == 2.0


@pytest.mark.parametrize(
    "notice", [make_notice("i2"), make_notice(started_ms=FIRST_MS - 1)]
)
def test_notice_on_another_incarnation_has_no_effect(server, notice):
    server.apply_notice(notice)
    server.apply_heartbeat(make_heartbeat())
    server.apply_notice(notice)
    assert server.find_refusal_reason(NOW_S) is None
    assert server.rate_limit.per_s is None


def test_notice_ends_with_its_incarnation(server):
    server.apply_notice(make_notice(started_ms=UNKNOWN_START))
    server.apply_heartbeat(make_heartbeat())
    server.apply_heartbeat(make_heartbeat(started_ms=SECOND_MS))
    assert server.find_refusal_reason(NOW_S) is None
    assert server.rate_limit.per_s is None


def test_notice_of_an_earlier_start_ends_when_the_start_becomes_known(server):
    server.apply_notice(make_notice(started_ms=FIRST_MS))
    server.apply_answer_identity("i1")
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING
    server.apply_heartbeat(make_heartbeat(started_ms=SECOND_MS))
    assert server.find_refusal_reason(NOW_S) is None


def test_answers_of_the_server_replace_the_limit_of_a_notice(server):
    server.apply_heartbeat(make_heartbeat())
    server.apply_notice(make_notice(leaving=False))
    server.rate_limit.apply_answer(None, sent_s=NOW_S, now_s=NOW_S + 1)
    server.apply_notice(make_notice(leaving=False))
    assert server.rate_limit.per_s is None


def test_announced_stop_is_not_taken_back_by_another_notice(server):
    server.apply_notice(make_notice())
    server.apply_notice(make_notice(leaving=False))
    server.apply_heartbeat(make_heartbeat())
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING


def test_latest_notices_are_kept(server):
    for number in range(3 * MAX_NOTICES):
        server.apply_notice(make_notice(f"x{number}"))
    server.apply_notice(make_notice())
    assert len(server.notices) == MAX_NOTICES
    server.apply_heartbeat(make_heartbeat())
    assert server.find_refusal_reason(NOW_S) is Reason.DRAINING
