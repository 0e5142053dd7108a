"""Versions of the configuration between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.gen.ttypes import ConfigAnswer, ConfigQuestion, Message
from eelgrassmount.members.table import MemberState
from eelgrassmount.peer.port import PeerFailure

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from eelgrassmount.blackboard import Blackboard
    from eelgrassmount.config.classes import Configuration
    from eelgrassmount.config.stream import ConfigStream
    from eelgrassmount.gen.ttypes import Hello
    from eelgrassmount.peer.port import Handlers, PeerPort

ANNOUNCED_PEERS = 3

_ASK_LIMIT_S = 1.5
_MAX_FETCHES = 3
_ANCHOR_PEERS = 4


@define
class ConfigExchange:
    """Asks other nodes for versions, and tells them of new ones.

    A question carries the version that its sender has, so a node that is asked
    learns of a newer version by the question itself and then fetches it.
    ``take`` is called with each version that is newer than the one in force.
    """

    board: Blackboard
    stream: ConfigStream
    peers: PeerPort
    rng: random.Random
    seeds: tuple[str, ...]
    take: Callable[[int, str, int], None]
    tasks: TaskGroup | None = None
    _heard: dict[str, int] = field(factory=dict)
    _fetches: int = 0

    def handlers(self) -> Handlers:
        """Return what answers other nodes' messages."""
        return {"config_question": self._answer}

    def hear(self, address: str, version: int) -> None:
        """Note that the node at ``address`` has a version; fetch it if newer."""
        if version <= self._own.version or self.tasks is None:
            return
        self._heard[address] = version
        if self._fetches < _MAX_FETCHES:
            self._fetches += 1
            self.tasks.start_soon(self._fetch_heard)

    def announce(self, to_other_domains: bool) -> None:
        """Tell a few nodes at once of the version in force."""
        targets = self._choose_members(ANNOUNCED_PEERS)
        if to_other_domains:
            targets += self._choose_outside()
        for address in targets:
            if self.tasks is not None:
                self.tasks.start_soon(self.request, address)

    async def ask_some(self) -> None:
        """Ask a node of the own failure domain and some of the others."""
        targets = self._choose_members(_ANCHOR_PEERS) + self._choose_outside()
        self.rng.shuffle(targets)
        chosen = targets[:_ANCHOR_PEERS]
        if self.seeds:
            chosen.append(self.rng.choice(self.seeds))
        async with anyio.create_task_group() as tasks:
            for address in chosen:
                tasks.start_soon(self.request, address)

    async def request(self, address: str) -> None:
        """Ask one node for a newer version."""
        if address == self.board.identity.address:
            return
        question = ConfigQuestion(version=self._own.version)
        self.stream.counts.questions += 1
        reply = await self.peers.request(
            address, Message(config_question=question), _ASK_LIMIT_S
        )
        if isinstance(reply, PeerFailure) or reply.config_answer is None:
            return
        self._take_answer(reply.config_answer)

    @property
    def _own(self) -> Configuration:
        return self.board.configuration

    async def _fetch_heard(self) -> None:
        try:
            while True:
                address = self._next_heard()
                if address is None:
                    return
                await self.request(address)
        finally:
            self._fetches -= 1

    def _next_heard(self) -> str | None:
        newer = {a: v for a, v in self._heard.items() if v > self._own.version}
        self._heard = newer
        if not newer:
            return None
        address = max(newer, key=newer.__getitem__)
        del newer[address]
        return address

    async def _answer(self, sender: Hello, message: Message) -> Message:
        asked = message.config_question.version or 0
        self.hear(sender.address, asked)
        own = self._own
        body = own.text.encode() if own.version > asked else b""
        answer = ConfigAnswer(
            version=own.version, body=body, offset=self._find_offset(own)
        )
        return Message(config_answer=answer)

    def _find_offset(self, own: Configuration) -> int:
        fold = self.stream.fold
        if fold.exact and fold.version == own.version:
            return fold.next - 1
        return own.offset

    def _take_answer(self, answer: ConfigAnswer) -> None:
        own = self._own
        version = answer.version or 0
        offset = -1 if answer.offset is None else answer.offset
        if version < own.version:
            return
        text = own.text
        if version > own.version:
            if not answer.body:
                return
            text = answer.body.decode(errors="replace")
            self.take(version, text, offset)
        if offset >= 0:
            self.stream.adopt(version, text, offset + 1)

    def _choose_members(self, count: int) -> list[str]:
        others = [
            address
            for address, member in self.board.members.members.items()
            if member.state is MemberState.ALIVE
            and address != self.board.identity.address
        ]
        return self.rng.sample(others, min(count, len(others)))

    def _choose_outside(self) -> list[str]:
        found: dict[str, set[str]] = {}
        for summary in self.board.members.summaries.values():
            if summary.failure_domain != self.board.identity.failure_domain:
                found.setdefault(summary.failure_domain, set()).update(
                    summary.addresses
                )
        return [self.rng.choice(sorted(found[name])) for name in found if found[name]]
