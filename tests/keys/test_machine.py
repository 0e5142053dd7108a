"""No key runs twice, whatever fails and in whatever order."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.keys.world import WINDOW_S, Node, World

MAX_NODES = 7
NODE = st.integers(0, MAX_NODES - 1)
SHORT_S = st.sampled_from((0.002, 0.02, 0.1, 0.6, 3.0))


class KeyMachine(RuleBasedStateMachine):
    """Callers repeat keys at any node, while nodes, links and the log fail."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(random.Random(7))
        for failure_domain in ("howrah", "howrah", "howrah", "sealdah"):
            self.world.start_node(failure_domain)
        self.world.advance(6.0)
        self.keys: list[str] = []
        self.first_sent_s: dict[str, float] = {}
        self.waiting: list[Node] = []

    def pick(self, index: int) -> Node:
        living = [node for node in self.world.nodes.values() if node.alive]
        return living[index % len(living)]

    def count_living(self) -> int:
        return sum(node.alive for node in self.world.nodes.values())

    @rule(index=NODE, minted=st.booleans(), entry=NODE, run_s=SHORT_S)
    def send_new(self, index: int, minted: bool, entry: int, run_s: float) -> None:
        node = self.pick(index)
        own = f"howrah:k{len(self.keys)}"
        key = (node.service.mint() if minted and not node.frozen else "") or own
        self.keys.append(key)
        self.first_sent_s[key] = self.world.loop.time()
        self.world.run_s = run_s
        self.world.send(self.pick(entry), key)

    @precondition(lambda self: self.keys)
    @rule(back=st.integers(1, 3), entry=NODE)
    def repeat(self, back: int, entry: int) -> None:
        key = self.keys[-min(back, len(self.keys))]
        if self.world.loop.time() - self.first_sent_s[key] < WINDOW_S:
            self.world.send(self.pick(entry), key)

    @rule(seconds=SHORT_S)
    def wait(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(seconds=st.sampled_from((8.0, WINDOW_S / 2, WINDOW_S + 10)))
    def wait_long(self, seconds: float) -> None:
        self.world.advance(seconds)

    @precondition(lambda self: self.count_living() > 2)
    @rule(index=NODE)
    def kill(self, index: int) -> None:
        self.world.kill(self.pick(index))

    @rule(index=NODE)
    def replace(self, index: int) -> None:
        node = self.pick(index)
        identity = node.identity
        if self.count_living() > 2:
            self.world.kill(node)
            self.world.start_node(identity.failure_domain, identity.address)

    @precondition(lambda self: len(self.world.nodes) < MAX_NODES)
    @rule(failure_domain=st.sampled_from(("howrah", "sealdah")))
    def join(self, failure_domain: str) -> None:
        self.world.start_node(failure_domain)

    @rule(index=NODE)
    def freeze(self, index: int) -> None:
        node = self.pick(index)
        if not node.frozen:
            self.world.freeze(node)

    @rule(index=NODE)
    def thaw(self, index: int) -> None:
        node = self.pick(index)
        if node.frozen:
            self.world.thaw(node)

    @rule(index=NODE)
    def suspect_falsely(self, index: int) -> None:
        self.pick(index).suspected_s = self.world.loop.time() + 3.0

    @precondition(lambda self: self.count_living() > 2)
    @rule(index=NODE)
    def leave(self, index: int) -> None:
        node = self.pick(index)
        if not node.frozen and not node.service.core.leaving:
            node.spawn(self.stop(node))

    async def stop(self, node: Node) -> None:
        await node.service.hand_over()
        await node.stand()
        node.alive = False
        for task in list(node.tasks):
            task.cancel()

    @rule(up=st.booleans())
    def switch_log(self, up: bool) -> None:
        self.world.log.up = up

    @rule()
    def lose_log_answer(self) -> None:
        self.world.log.lose_answers += 1

    @rule(index=NODE, cut=st.booleans())
    def cut_from_log(self, index: int, cut: bool) -> None:
        self.pick(index).log_cut = cut

    @rule(loss=st.sampled_from((0.0, 0.0, 0.3)))
    def lose_messages(self, loss: float) -> None:
        self.world.loss = loss

    @rule(way=st.sampled_from(("both", "one", "healed")))
    def cut_domains(self, way: str) -> None:
        cuts = {
            "both": {("howrah", "sealdah"), ("sealdah", "howrah")},
            "one": {("sealdah", "howrah")},
            "healed": set(),
        }
        self.world.cuts = cuts[way]

    @rule()
    def shed(self) -> None:
        self.world.shed_next = True

    @invariant()
    def runs_at_most_once(self) -> None:
        self.world.check_all()
        assert not self.world.faults, self.world.faults

    def teardown(self) -> None:
        for node in self.world.nodes.values():
            if node.frozen:
                self.world.thaw(node)
        self.world.advance(10.0)
        try:
            self.runs_at_most_once()
        finally:
            self.world.close()


TestKeys = KeyMachine.TestCase
TestKeys.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
