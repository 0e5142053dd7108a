"""Verdicts that callers get under each fault, with caller keys and minted keys."""

from __future__ import annotations

import random
from collections.abc import Iterator

import anyio
import pytest

from eelgrassmount.gen.ttypes import Message, SlotQuestion
from eelgrassmount.keys.follower import compute_digest
from eelgrassmount.keys.syntax import BadKey, CallerKey, MintedKey, parse_key
from eelgrassmount.verdict import Answered, MayHaveRun, NotRun, Reason
from tests.keys.world import HOP_S, WINDOW_S, World

KEY = "howrah:booking-1"
REACHED = HOP_S * 8


@pytest.fixture
def world() -> Iterator[World]:
    world = World(random.Random(3))
    for failure_domain in ("howrah", "howrah", "howrah", "sealdah"):
        world.start_node(failure_domain)
    world.advance(6.0)
    yield world
    world.check_all()
    assert not world.task_errors
    world.close()


def find_entry(world: World, key: str = KEY) -> object:
    """Return a node of the home failure domain that does not hold the key."""
    holders = world.find_holders(key)
    return next(
        node
        for node in world.nodes.values()
        if node.alive
        and node not in holders
        and node.identity.failure_domain == "howrah"
    )


def get_reason(verdict: object) -> object:
    return verdict.reason if isinstance(verdict, NotRun | MayHaveRun) else "answered"


def test_same_answer_from_every_node_and_after_the_primary_is_killed(world) -> None:
    entry = find_entry(world)
    verdicts = [world.send_and_wait(node, KEY) for node in list(world.nodes.values())]
    primary, _ = world.find_holders(KEY)
    world.kill(primary)
    world.advance(4.0)
    verdicts += [
        world.send_and_wait(node, KEY) for node in world.nodes.values() if node.alive
    ]
    assert isinstance(verdicts[0], Answered)
    assert set(verdicts) == {verdicts[0]}
    assert world.send_and_wait(entry, KEY, b"other") == MayHaveRun(Reason.KEY_REUSED)


def test_views_are_sent_only_to_nodes_with_other_views(world) -> None:
    home = [n for n in world.nodes.values() if n.identity.failure_domain == "howrah"]
    follower = home[0].service.follower
    views = [slot_state.view for slot_state in home[1].service.core.slot_states]
    answers = []
    for digest in (compute_digest(views), compute_digest(views[1:]), None):
        question = SlotQuestion(failure_domain="howrah", digest=digest)
        message = Message(slot_question=question)
        answers.append(
            anyio.run(follower.answer_view_request, None, message).slot_answer
        )
    assert [(answer.same, len(answer.views)) for answer in answers] == [
        (True, 0),
        (False, len(views)),
        (False, len(views)),
    ]


@pytest.mark.parametrize("fail", ["freeze", "kill"])
def test_successor_never_runs_a_key_that_its_predecessor_marked(world, fail) -> None:
    primary, _ = world.find_holders(KEY)
    entry = find_entry(world)
    world.run_s = 1.0
    world.send(entry, KEY)
    world.advance(REACHED)
    getattr(world, fail)(primary)
    world.advance(4.0)
    assert world.find_holders(KEY)[0] is not primary
    assert world.send_and_wait(entry, KEY) == MayHaveRun(Reason.OWNER_UNREACHABLE)
    if fail == "freeze":
        world.thaw(primary)
        world.advance(2.0)
        assert isinstance(world.send_and_wait(entry, KEY), Answered)


def test_nodes_that_do_not_read_the_log_learn_new_primaries(world) -> None:
    for _ in range(5):
        world.start_node("howrah")
        world.advance(2.0)
    world.advance(30.0)
    world.kill(world.find_holders(KEY)[0])
    world.advance(3.5)
    keys = [f"howrah:{number}" for number in range(40)]
    nodes = [node for node in world.nodes.values() if node.alive]
    attempts = [world.send(nodes[n % len(nodes)], key) for n, key in enumerate(keys)]
    world.advance(1.0)
    assert all(isinstance(attempt.verdict, Answered) for attempt in attempts)
    primaries = {world.find_holders(key)[0] for key in keys}
    assert len(primaries) >= 5


def test_call_not_run_frees_its_key(world) -> None:
    world.shed_next = True
    assert world.send_and_wait(find_entry(world), KEY) == NotRun(Reason.OVERLOAD)
    assert isinstance(world.send_and_wait(find_entry(world), KEY), Answered)


def test_retry_of_a_running_call_waits_for_its_outcome(world) -> None:
    world.run_s = 2.0
    first = world.send(find_entry(world), KEY)
    world.advance(0.1)
    again = world.send_and_wait(world.find_holders(KEY)[1], KEY)
    assert isinstance(again, Answered)
    assert first.verdict == again


@pytest.mark.parametrize("home", ["howrah", "sealdah"])
@pytest.mark.parametrize("minted", [False, True])
def test_attempt_lost_with_its_link_is_retried(world, home, minted) -> None:
    nodes = list(world.nodes.values())
    [entry] = [node for node in nodes if node.identity.failure_domain == "sealdah"]
    if home == "howrah":
        entry = find_entry(world)
    key = nodes[0].service.mint() if minted else KEY
    if minted and entry is nodes[0]:
        entry = nodes[1]
    world.drop_next_requests()
    attempt = world.send(entry, key)
    world.advance(5.0)
    assert isinstance(attempt.verdict, Answered)


def test_keys_run_during_a_long_outage_of_the_log(world) -> None:
    world.log.up = False
    world.advance(3 * WINDOW_S)
    assert all(
        isinstance(world.send_and_wait(node, f"howrah:{number}"), Answered)
        for number, node in enumerate(world.nodes.values())
    )
    entry = find_entry(world)
    world.kill(world.find_holders(KEY)[1])
    world.advance(3.0)
    started_s = world.loop.time()
    attempt = world.send(entry, KEY)
    world.advance(1.0)
    assert attempt.verdict == MayHaveRun(Reason.OWNER_UNREACHABLE)
    assert world.loop.time() - started_s <= 1.0 + HOP_S
    world.log.up = True
    world.advance(15.0)
    assert isinstance(world.send_and_wait(entry, KEY), Answered)


def test_slot_whose_holders_both_died_opens_after_a_window(world) -> None:
    entry = find_entry(world)
    for node in world.find_holders(KEY):
        world.kill(node)
    world.advance(5.0)
    verdict = world.send_and_wait(entry, KEY)
    assert get_reason(verdict) is Reason.OWNER_CHANGING
    assert 0 < verdict.retry_after_s < WINDOW_S
    world.advance(WINDOW_S)
    assert isinstance(world.send_and_wait(entry, KEY), Answered)


def test_frozen_pair_fetches_the_views_when_it_resumes(world) -> None:
    pair = world.find_holders(KEY)
    entry = find_entry(world)
    for node in pair:
        world.freeze(node)
    world.advance(WINDOW_S + 10.0)
    assert isinstance(world.send_and_wait(entry, KEY), Answered)
    for node in pair:
        node.log_disconnected = True
        world.thaw(node)
    world.advance(2.5)
    attempts = [world.send(node, KEY) for node in pair]
    world.advance(8.0)
    assert [get_reason(attempt.verdict) for attempt in attempts] == ["answered"] * 2


def test_request_that_waited_in_a_frozen_node_is_not_run_as_new(world) -> None:
    entry = find_entry(world)
    assert isinstance(world.send_and_wait(entry, KEY), Answered)
    world.freeze(entry)
    waiting = world.send(entry, KEY)
    world.advance(WINDOW_S + 5.0)
    world.thaw(entry)
    world.advance(5.0)
    assert waiting.verdict == MayHaveRun(Reason.DEADLINE)


def test_replaced_primary_with_a_full_table_does_not_return_not_run(world) -> None:
    primary, backup = world.find_holders(KEY)
    primary.log_disconnected = True
    primary.service.core.budget.max_keys = 0
    primary.suspected_s = world.loop.time() + 5.0
    world.advance(5.0)
    assert world.find_holders(KEY)[0] is backup
    assert isinstance(world.send_and_wait(backup, KEY), Answered)
    assert not isinstance(world.send_and_wait(primary, KEY), NotRun)


def test_primary_without_backup_stops_without_the_log(world) -> None:
    unbacked = next(
        n for n in world.nodes.values() if n.identity.failure_domain != "howrah"
    )
    assert isinstance(world.send_and_wait(unbacked, "sealdah:1"), Answered)
    unbacked.log_disconnected = True
    world.advance(WINDOW_S / 2 + 1.0)
    assert world.send_and_wait(unbacked, "sealdah:2") == MayHaveRun(
        Reason.OWNER_UNREACHABLE
    )
    assert isinstance(world.send_and_wait(unbacked, "sealdah:1"), Answered)


def test_partition_between_failure_domains_keeps_the_home_available(world) -> None:
    world.partitions = {("howrah", "sealdah"), ("sealdah", "howrah")}
    remote = next(
        n for n in world.nodes.values() if n.identity.failure_domain != "howrah"
    )
    assert world.send_and_wait(remote, KEY) == MayHaveRun(Reason.OWNER_UNREACHABLE)
    assert isinstance(world.send_and_wait(find_entry(world), KEY), Answered)


def test_graceful_stop_hands_over_all_outcomes(world) -> None:
    entry = find_entry(world)
    primary, _ = world.find_holders(KEY)
    used, unused = primary.service.mint(), primary.service.mint()
    answers = [world.send_and_wait(entry, key) for key in (KEY, used)]
    primary.spawn(primary.service.hand_over())
    world.advance(8.0)
    assert primary not in world.find_holders(KEY)
    world.kill(primary)
    world.advance(3.0)
    assert [world.send_and_wait(entry, key) for key in (KEY, used)] == answers
    assert world.send_and_wait(entry, unused) == NotRun(Reason.KEY_EXPIRED)
    assert isinstance(world.send_and_wait(entry, "howrah:booking-2"), Answered)


@pytest.mark.parametrize(
    ("spoil", "reason"),
    [
        (lambda world, node, key: world.kill(node), Reason.OWNER_UNREACHABLE),
        (lambda world, node, key: world.advance(WINDOW_S + 5.0), Reason.KEY_EXPIRED),
    ],
)
def test_minted_key_with_dead_owner_or_expired_may_have_run(
    world, spoil, reason
) -> None:
    node, entry = list(world.nodes.values())[:2]
    key = node.service.mint()
    spoil(world, node, key)
    world.advance(3.0)
    assert world.send_and_wait(entry, key) == MayHaveRun(reason)
    forged = entry.service.mint()[:-1] + "x"
    assert world.send_and_wait(entry, forged) == NotRun(Reason.KEY_MALFORMED)


def test_full_table_refuses_new_keys_only(world) -> None:
    for node in world.nodes.values():
        node.service.core.budget.max_keys = 1
    entry = find_entry(world)
    first = world.send_and_wait(entry, KEY)
    verdicts = [world.send_and_wait(entry, f"howrah:{number}") for number in range(12)]
    assert NotRun(Reason.KEY_TABLE_FULL) in verdicts
    assert world.send_and_wait(entry, KEY) == first


def test_views_lost_from_the_log_count_as_lost() -> None:
    world = World(random.Random(3))
    world.log.drop_before("slots.howrah", 9)
    node = world.start_node("howrah")
    world.advance(6.0)
    assert get_reason(world.send_and_wait(node, KEY)) is Reason.OWNER_CHANGING
    world.close()


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("7", CallerKey),
        ("howrah:7", CallerKey),
        ("em1~127.0.0.1_7~howrah~ab12~0-0123456789abcdef", MintedKey),
        ("em1~127.0.0.1_7~howrah~ab12~0", BadKey),
        ("em1~x", BadKey),
        ("", BadKey),
        ("a b", BadKey),
        ("x" * 129, BadKey),
    ],
)
def test_syntax_of_keys(text, kind) -> None:
    assert isinstance(parse_key(text), kind)
