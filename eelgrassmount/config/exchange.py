"""Exchange of configuration versions between nodes."""

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

    from eelgrassmount.config.classes import Configuration
    from eelgrassmount.config.stream import ConfigStream
    from eelgrassmount.gen.ttypes import Hello
    from eelgrassmount.peer.port import Handlers, PeerPort
    from eelgrassmount.shared_node_state import SharedNodeState

MAX_ANNOUNCED_PEERS = 3

_REQUEST_TIMEOUT_S = 1.5
_MAX_PARALLEL_FETCHES = 3
_MAX_QUERIED_PEERS = 4


@define
class ConfigExchange:
    """Requests versions from other nodes and announces new ones to them.

    A request contains the sender's version. A receiver with an older version
    then fetches the newer one. ``apply_version`` is called with each received
    version that is newer than the one in force.
    """

    shared_state: SharedNodeState
    stream: ConfigStream
    peers: PeerPort
    rng: random.Random
    seeds: tuple[str, ...]
    apply_version: Callable[[int, str, int], None]
    tasks: TaskGroup | None = None
    _announced_versions: dict[str, int] = field(factory=dict)
    _running_fetches: int = 0

    def handlers(self) -> Handlers:
        """Return the handlers of other nodes' messages."""
        return {"config_question": self._answer}

    def record_announced(self, address: str, version: int) -> None:
        """Record that the node at ``address`` has a version; fetch it if newer."""
        if version <= self._configuration.version or self.tasks is None:
            return
        self._announced_versions[address] = version
        if self._running_fetches < _MAX_PARALLEL_FETCHES:
            self._running_fetches += 1
            self.tasks.start_soon(self._fetch_announced)

    def announce(self, to_other_domains: bool) -> None:
        """Announce the version in force to a few nodes at once."""
        targets = self._choose_members(MAX_ANNOUNCED_PEERS)
        if to_other_domains:
            targets += self._choose_remote()
        for address in targets:
            if self.tasks is not None:
                self.tasks.start_soon(self.request, address)

    async def query_some(self) -> None:
        """Request newer versions from a few nodes of all failure domains."""
        targets = self._choose_members(_MAX_QUERIED_PEERS) + self._choose_remote()
        self.rng.shuffle(targets)
        chosen = targets[:_MAX_QUERIED_PEERS]
        if self.seeds:
            chosen.append(self.rng.choice(self.seeds))
        async with anyio.create_task_group() as tasks:
            for address in chosen:
                tasks.start_soon(self.request, address)

    async def request(self, address: str) -> None:
        """Request a newer version from one node."""
        if address == self.shared_state.identity.address:
            return
        question = ConfigQuestion(version=self._configuration.version)
        self.stream.counts.questions += 1
        reply = await self.peers.request(
            address, Message(config_question=question), _REQUEST_TIMEOUT_S
        )
        if isinstance(reply, PeerFailure) or reply.config_answer is None:
            return
        self._apply_answer(reply.config_answer)

    @property
    def _configuration(self) -> Configuration:
        return self.shared_state.configuration

    async def _fetch_announced(self) -> None:
        try:
            while True:
                address = self._pop_newest_announced()
                if address is None:
                    return
                await self.request(address)
        finally:
            self._running_fetches -= 1

    def _pop_newest_announced(self) -> str | None:
        newer = {
            a: v
            for a, v in self._announced_versions.items()
            if v > self._configuration.version
        }
        self._announced_versions = newer
        if not newer:
            return None
        address = max(newer, key=newer.__getitem__)
        del newer[address]
        return address

    async def _answer(self, sender: Hello, message: Message) -> Message:
        sender_version = message.config_question.version or 0
        self.record_announced(sender.address, sender_version)
        local = self._configuration
        body = local.text.encode() if local.version > sender_version else b""
        answer = ConfigAnswer(
            version=local.version, body=body, offset=self._find_offset(local)
        )
        return Message(config_answer=answer)

    def _find_offset(self, local: Configuration) -> int:
        fold = self.stream.fold
        if fold.exact and fold.version == local.version:
            return fold.next - 1
        return local.offset

    def _apply_answer(self, answer: ConfigAnswer) -> None:
        local = self._configuration
        version = answer.version or 0
        offset = -1 if answer.offset is None else answer.offset
        if version < local.version:
            return
        text = local.text
        if version > local.version:
            if not answer.body:
                return
            text = answer.body.decode(errors="replace")
            self.apply_version(version, text, offset)
        if offset >= 0:
            self.stream.adopt_version(version, text, offset + 1)

    def _choose_members(self, count: int) -> list[str]:
        others = [
            address
            for address, member in self.shared_state.members.members.items()
            if member.state is MemberState.ALIVE
            and address != self.shared_state.identity.address
        ]
        return self.rng.sample(others, min(count, len(others)))

    def _choose_remote(self) -> list[str]:
        found: dict[str, set[str]] = {}
        for summary in self.shared_state.members.summaries.values():
            if summary.failure_domain != self.shared_state.identity.failure_domain:
                found.setdefault(summary.failure_domain, set()).update(
                    summary.addresses
                )
        return [self.rng.choice(sorted(found[name])) for name in found if found[name]]
