"""The steps of tests/model/config.pml, taken by the code itself."""

from __future__ import annotations

import random

from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from eelgrassmount.blackboard import Blackboard
from eelgrassmount.config.follower import ConfigFollower
from eelgrassmount.config.publish import Accepted, Lost, _Publish, make_publish
from eelgrassmount.config.record import RecordKind, decode_record, encode_record
from eelgrassmount.config.rewrite import make_rewrite
from eelgrassmount.gen.ttypes import ConfigQuestion, Hello, Message
from eelgrassmount.members.table import Identity
from eelgrassmount.platform.port import Appended, LogFailure, Page, Record
from eelgrassmount.timers import ManualClock, TimerService
from tests.config.fakes import make_text

NODES = 3
NODE = st.integers(0, NODES - 1)


def run(coroutine):
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("it waits")


@define
class SteppedLog:
    """Gives one record a page, and knows by itself what is in force."""

    bodies: list[bytes] = field(factory=list)
    first: int = 0
    anchor: int = 0
    fault: str = ""
    late: list[bytes] = field(factory=list)
    versions: list[int] = field(factory=lambda: [0])
    texts: dict[int, str] = field(factory=lambda: {0: ""})

    def put(self, body: bytes) -> int:
        record, version = decode_record(body), self.versions[-1]
        if record.kind is RecordKind.PUBLISH and record.base == version:
            version += 1
            self.texts[version] = record.text
        if record.kind is RecordKind.REWRITE and record.through == len(self.bodies):
            self.anchor = len(self.bodies)
        self.versions.append(version)
        self.bodies.append(body)
        return len(self.bodies) - 1

    async def append(self, stream: str, body: bytes) -> Appended | LogFailure:
        if self.fault == "late":
            self.late.append(body)
            return LogFailure("no answer", True)
        if self.fault == "refused":
            return LogFailure("refused", False)
        offset = self.put(body)
        if self.fault == "lost":
            return LogFailure("no answer", True)
        return Appended(offset)

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> Page | LogFailure:
        if self.fault == "unreadable":
            return LogFailure("down", False)
        at = max(offset, self.first)
        records = tuple(Record(at, body) for body in self.bodies[at : at + 1])
        return Page(self.first, len(self.bodies), records)


class ConfigMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.log = SteppedLog()
        self.timers = TimerService(ManualClock(), random.Random(1))
        self.nodes = [self.make_node() for _ in range(NODES)]
        self.boards = [0] * NODES
        self.publishes: dict[int, _Publish] = {}
        self.rewrites: dict[int, bytes] = {}
        self.answers: dict[int, Message] = {}
        self.count = 0

    def make_node(self) -> ConfigFollower:
        board = Blackboard(Identity("a", "d", "r", "i"))
        return ConfigFollower(board, self.timers, None, self.log, random.Random(1))

    @rule(node=NODE)
    def read(self, node: int) -> None:
        run(self.nodes[node].stream.read_page(0.0))

    @rule(node=NODE)
    def prepare_publish(self, node: int) -> None:
        fold = self.nodes[node].stream.fold
        if fold.exact and node not in self.publishes:
            self.count += 1
            text = make_text(f"t{self.count}")
            record = make_publish(fold, str(self.count), fold.version, text)
            self.publishes[node] = _Publish(record, fold)

    @precondition(lambda self: self.publishes)
    @rule(data=st.data(), fault=st.sampled_from(["", "", "lost", "late", "refused"]))
    def step_publish(self, data: st.DataObject, fault: str) -> None:
        node = data.draw(st.sampled_from(sorted(self.publishes)))
        publish = self.publishes[node]
        self.log.fault = fault
        publish_on = self.nodes[node]._publisher._step
        outcome = run(publish_on(publish))
        self.log.fault = ""
        if outcome is None:
            return
        del self.publishes[node]
        text = publish.record.text
        if isinstance(outcome, Accepted):
            assert self.log.texts[outcome.version] == text
        elif isinstance(outcome, Lost):
            assert text not in self.log.texts.values()
            bases = [decode_record(b).base for b in self.log.late]
            assert self.log.versions[-1] not in bases or text not in str(self.log.late)

    @precondition(lambda self: self.log.late)
    @rule()
    def deliver_late(self) -> None:
        self.log.put(self.log.late.pop(0))

    @rule(node=NODE)
    def prepare_rewrite(self, node: int) -> None:
        fold = self.nodes[node].stream.fold
        if fold.exact and fold.version:
            self.rewrites.setdefault(node, encode_record(make_rewrite(fold, "r")))

    @precondition(lambda self: self.rewrites)
    @rule(data=st.data())
    def append_rewrite(self, data: st.DataObject) -> None:
        node = data.draw(st.sampled_from(sorted(self.rewrites)))
        self.log.put(self.rewrites.pop(node))

    @rule(asker=NODE, answerer=NODE)
    def answer(self, asker: int, answerer: int) -> None:
        version = self.nodes[asker].board.configuration.version
        question = Message(config_question=ConfigQuestion(version=version))
        handler = self.nodes[answerer].handlers()["config_question"]
        self.answers[asker] = run(handler(Hello(address="b"), question))

    @rule(node=NODE)
    def take_answer(self, node: int) -> None:
        if node in self.answers:
            answer = self.answers.pop(node).config_answer
            self.nodes[node]._exchange._take_answer(answer)

    @rule(node=NODE)
    def restart(self, node: int) -> None:
        self.nodes[node] = self.make_node()
        self.boards[node] = 0
        for held in (self.publishes, self.rewrites, self.answers):
            held.pop(node, None)

    @rule()
    def drop_oldest(self) -> None:
        self.log.first = min(self.log.first + 1, len(self.log.bodies))

    @precondition(lambda self: self.log.first <= self.log.anchor)
    @rule()
    def begin_afresh(self) -> None:
        fresh = self.make_node()
        assert run(fresh.stream.catch_up())
        assert fresh.stream.fold.exact
        assert fresh.board.configuration.version == self.log.versions[-1]

    @invariant()
    def exact_is_true(self) -> None:
        for node in self.nodes:
            fold = node.stream.fold
            if fold.exact:
                assert fold.version == self.log.versions[fold.next]
                assert fold.text == self.log.texts[fold.version]

    @invariant()
    def never_down_and_only_accepted(self) -> None:
        for at, node in enumerate(self.nodes):
            own = node.board.configuration
            assert own.version >= self.boards[at]
            assert own.text == self.log.texts[own.version]
            self.boards[at] = own.version


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
