"""The steps of tests/model/config.pml, run with the implementation."""

from __future__ import annotations

import random

import pytest
from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from eelgrassmount.config.follower import ConfigFollower
from eelgrassmount.config.publish import Accepted, Lost, _PendingPublish, make_publish
from eelgrassmount.config.record import RecordKind, decode_record, encode_record
from eelgrassmount.config.rewrite import make_rewrite
from eelgrassmount.gen.ttypes import ConfigQuestion, Hello, Message
from eelgrassmount.log_service import Appended, LogFailure, Page, Record
from eelgrassmount.members.table import Identity
from eelgrassmount.shared_node_state import SharedNodeState
from eelgrassmount.timers import ManualClock, TimerService
from tests.config.fakes import make_text

NODES = 2
NODE = st.integers(0, NODES - 1)
FAULT = st.sampled_from(["", "", "lost", "late", "refused"])
STEP = st.sampled_from(
    [
        "read",
        "publish",
        "prepare_publish",
        "step_publish",
        "deliver_late",
        "prepare_rewrite",
        "append_rewrite",
        "answer",
        "take_answer",
        "restart",
        "drop_oldest",
        "begin_afresh",
    ]
)


def run(coroutine):
    """Run a coroutine that never blocks."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine blocked")


@define
class SteppedLog:
    """A log with one record in a page, which computes the version in force itself."""

    bodies: list[bytes] = field(factory=list)
    first: int = 0
    resume_point: int = 0
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
            self.resume_point = len(self.bodies)
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
        self.seen_versions = [0] * NODES
        self.publishes: dict[int, _PendingPublish] = {}
        self.rewrites: dict[int, bytes] = {}
        self.answers: dict[int, Message] = {}
        self.count = 0

    def make_node(self) -> ConfigFollower:
        shared_state = SharedNodeState(Identity("a", "d", "r", "i"))
        return ConfigFollower(
            shared_state, self.timers, None, self.log, random.Random(1)
        )

    @rule(step=STEP, node=NODE, count=st.integers(1, 4), fault=FAULT)
    def take_step(self, step: str, node: int, count: int, fault: str) -> None:
        # one rule for all steps: hypothesis disables rules at random in a run
        match step:
            case "read":
                self.read(node, count)
            case "publish":
                self.prepare_publish(node)
                self.step_publish(node, fault)
            case "step_publish":
                self.step_publish(node, fault)
            case "answer":
                self.answer(node, (node + 1) % NODES)
            case "drop_oldest":
                self.drop_oldest(count)
            case "deliver_late" | "begin_afresh":
                getattr(self, step)()
            case _:
                getattr(self, step)(node)

    def read(self, node: int, count: int) -> None:
        for _ in range(count):
            run(self.nodes[node].stream.read_page(0.0))

    def prepare_publish(self, node: int) -> None:
        fold = self.nodes[node].stream.fold
        if fold.exact and node not in self.publishes:
            self.count += 1
            text = make_text(f"t{self.count}")
            record = make_publish(fold, str(self.count), fold.version, text)
            self.publishes[node] = _PendingPublish(record, fold)

    def step_publish(self, node: int, fault: str) -> None:
        if node not in self.publishes:
            return
        publish = self.publishes[node]
        self.log.fault = fault
        step = self.nodes[node]._publisher._step
        outcome = run(step(publish))
        self.log.fault = ""
        if outcome is None:
            return
        del self.publishes[node]
        text = publish.record.text
        if isinstance(outcome, Accepted):
            assert self.log.texts[outcome.version] == text
        elif isinstance(outcome, Lost):
            assert text not in self.log.texts.values()
            late = [decode_record(body) for body in self.log.late]
            may_win = [r for r in late if r.base == self.log.versions[-1]]
            assert text not in [record.text for record in may_win]

    def deliver_late(self) -> None:
        if self.log.late:
            self.log.put(self.log.late.pop(0))

    def prepare_rewrite(self, node: int) -> None:
        fold = self.nodes[node].stream.fold
        if fold.exact and fold.version:
            self.rewrites.setdefault(node, encode_record(make_rewrite(fold, "r")))

    def append_rewrite(self, node: int) -> None:
        if node in self.rewrites:
            self.log.put(self.rewrites.pop(node))

    def answer(self, sender: int, receiver: int) -> None:
        version = self.nodes[sender].shared_state.configuration.version
        question = Message(config_question=ConfigQuestion(version=version))
        handler = self.nodes[receiver].handlers()["config_question"]
        self.answers[sender] = run(handler(Hello(address="b"), question))

    def take_answer(self, node: int) -> None:
        if node in self.answers:
            answer = self.answers.pop(node).config_answer
            self.nodes[node]._exchange._apply_answer(answer)

    def is_known_without(self, node: int) -> bool:
        # a state in which no node knows the version in force allows no further steps
        folds = [other.stream.fold for at, other in enumerate(self.nodes) if at != node]
        return any(fold.exact and fold.next >= self.log.first for fold in folds)

    def restart(self, node: int) -> None:
        if self.log.first > self.log.resume_point and not self.is_known_without(node):
            return
        self.nodes[node] = self.make_node()
        self.seen_versions[node] = 0
        for held in (self.publishes, self.rewrites, self.answers):
            held.pop(node, None)

    def drop_oldest(self, count: int) -> None:
        read = [n.stream.fold.next for n in self.nodes if n.stream.fold.exact]
        self.log.first = min(self.log.first + count, max([self.log.first, *read]))

    def begin_afresh(self) -> None:
        if self.log.first > self.log.resume_point:
            return
        fresh = self.make_node()
        assert run(fresh.stream.catch_up())
        assert fresh.stream.fold.exact
        assert fresh.shared_state.configuration.version == self.log.versions[-1]

    @invariant()
    def exact_folds_have_the_version_in_force(self) -> None:
        for node in self.nodes:
            fold = node.stream.fold
            if fold.exact:
                assert fold.version == self.log.versions[fold.next]
                assert fold.text == self.log.texts[fold.version]

    @invariant()
    def versions_never_decrease_and_were_accepted(self) -> None:
        for at, node in enumerate(self.nodes):
            current = node.shared_state.configuration
            assert current.version >= self.seen_versions[at]
            assert current.text == self.log.texts[current.version]
            self.seen_versions[at] = current.version


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)


# Counterexamples of the model checker for faults seeded in the model.
COUNTEREXAMPLES = {
    "trust rewrite": (
        ("publish", 0),
        ("prepare_rewrite", 0),
        ("publish", 0),
        ("append_rewrite", 0),
        ("drop_oldest", 0),
        ("restart", 1),
        ("read", 1),
    ),
    "trust peer": (
        ("publish", 0),
        ("answer", 1),
        ("publish", 0),
        ("drop_oldest", 0),
        ("read", 1),
        ("take_answer", 1),
    ),
    "last copy": (("publish late", 0), ("deliver_late", 0), ("step_publish", 0)),
    "silence is refusal": (("publish late", 0), ("deliver_late", 0)),
    "go down": (
        ("publish", 0),
        ("answer", 1),
        ("publish", 0),
        ("read", 1),
        ("take_answer", 1),
    ),
}


@pytest.mark.parametrize("name", COUNTEREXAMPLES)
def test_counterexample_of_the_model_holds(name: str) -> None:
    machine = ConfigMachine()
    for step, node in COUNTEREXAMPLES[name]:
        step_name, _, fault = step.partition(" ")
        machine.take_step(step=step_name, node=node, count=2, fault=fault)
        machine.exact_folds_have_the_version_in_force()
        machine.versions_never_decrease_and_were_accepted()
    assert machine.log.versions[-1] > 0
