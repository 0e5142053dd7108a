"""Keeps the configuration in force at this node up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, evolve, field
from loguru import logger

from eelgrassmount.config.document import read_document
from eelgrassmount.config.exchange import ConfigExchange
from eelgrassmount.config.fold import Fold
from eelgrassmount.config.history import HistoryEntry, list_accepted
from eelgrassmount.config.publish import Publisher
from eelgrassmount.config.readers import ROTATION_INTERVAL_S, is_reader
from eelgrassmount.config.rewrite import Rewriter
from eelgrassmount.config.stream import ConfigStream, read_decisions
from eelgrassmount.log_port import LogFailure
from eelgrassmount.members.table import MemberState
from eelgrassmount.util.backoff import Backoff
from eelgrassmount.util.waiting import wait_for

if TYPE_CHECKING:
    import random

    from anyio.abc import TaskGroup

    from eelgrassmount.blackboard import Blackboard
    from eelgrassmount.config.counts import ConfigCounts
    from eelgrassmount.config.publish import PublishOutcome
    from eelgrassmount.log_port import LogPort
    from eelgrassmount.peer.port import Handlers, PeerPort
    from eelgrassmount.timers import Timer, TimerService

DEFAULT_REWRITE_S = 60.0

_TAIL_WAIT_S = 5.0
_EMPTY_PAUSE_S = 0.1
_IDLE_PAUSE_S = 1.0
_PROBE_S = 120.0
_RESTORE_PERIODS = 2.0
_FIRST_PAUSE_S = (0.5, 2.0)
_FIRST_PROBE_S = (3.0, 10.0)
_RANK_PERIOD_S = 2.0
_ASK_PERIOD_S = 2.0
_REWRITE_CHECK_S = 1.0
_JITTER = 0.3


@define
class ConfigFollower:
    """Takes each accepted version, from the log or from other nodes.

    It writes ``board.configuration`` and ``board.log_reachable``. The version in
    force never goes down. ``seeds`` are nodes to ask before any member is known;
    at the latest ``rewrite_s`` to one and a half times as many seconds after the
    last rewrite the version in force is written to the log again, which must be
    well within the time that the log keeps records. ``tails_log`` tells whether this
    node is one of those that tail the log at present.
    """

    board: Blackboard
    timers: TimerService
    peers: PeerPort
    log: LogPort
    rng: random.Random
    seeds: tuple[str, ...] = ()
    rewrite_s: float = DEFAULT_REWRITE_S
    tails_log: bool = False
    stream: ConfigStream = field(init=False)
    _exchange: ConfigExchange = field(init=False)
    _publisher: Publisher = field(init=False)
    _rewriter: Rewriter = field(init=False)
    _tasks: TaskGroup | None = None

    def __attrs_post_init__(self) -> None:
        """Wire the parts."""
        self.stream = ConfigStream(
            self.log, self.board, self.timers.read, self._take_fold
        )
        self._exchange = ConfigExchange(
            self.board, self.stream, self.peers, self.rng, self.seeds, self._take_peers
        )
        self._publisher = Publisher(
            self.stream,
            self.board,
            self.timers,
            self.rng,
            self._exchange.ask_some,
            _RESTORE_PERIODS * self.rewrite_s,
        )
        self._rewriter = Rewriter(self.stream, self.timers, self.rng, self.rewrite_s)

    @property
    def counts(self) -> ConfigCounts:
        """What was done so far."""
        return self.stream.counts

    def handlers(self) -> Handlers:
        """Return what answers other nodes' messages."""
        return self._exchange.handlers()

    async def start(self, task_group: TaskGroup) -> None:
        """Begin to follow, in tasks of ``task_group``."""
        self._rank()
        self._tasks = task_group
        self._exchange.tasks = task_group
        timers = (
            self.timers.subscribe(_RANK_PERIOD_S, self._rank, _JITTER),
            self.timers.subscribe(_ASK_PERIOD_S, self._ask_if_behind, _JITTER),
            self.timers.subscribe(_REWRITE_CHECK_S, self._rewrite_if_due, _JITTER),
            self.timers.subscribe(_PROBE_S, self._probe, _JITTER),
            self.timers.schedule(self.rng.uniform(*_FIRST_PROBE_S), self._probe),
        )
        task_group.start_soon(self._end_with_tasks, timers)
        task_group.start_soon(self._tail)

    def record_announced_version(self, address: str, version: int) -> None:
        """Note that the node at ``address`` says to have ``version``.

        Called for every message that carries a version; a newer one is fetched at
        once.
        """
        self._exchange.hear(address, version)

    async def publish(
        self, text: str, base: int, request_id: str = ""
    ) -> PublishOutcome:
        """Publish a text that replaces version ``base``."""
        return await self._publisher.publish(text, base, request_id)

    async def history(self) -> tuple[HistoryEntry, ...]:
        """Return the accepted versions that are still known, oldest first.

        These are the ones that the log keeps and, should it be out, those that
        this node has seen on it.
        """
        result = await read_decisions(self.log, Fold())
        decisions = tuple(self.stream.accepted.values())
        if not isinstance(result, LogFailure):
            decisions += result.decisions
        return list_accepted(decisions, self.board.configuration)

    async def _end_with_tasks(self, timers: tuple[Timer, ...]) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            self._tasks = self._exchange.tasks = None
            for timer in timers:
                timer.cancel()

    async def _tail(self) -> None:
        backoff = Backoff(self.rng)
        await self._exchange.ask_some()
        if self.seeds and self.board.configuration.version == 0:
            # until other nodes are known each one takes itself for a reader
            await wait_for(self.timers, self.rng.uniform(*_FIRST_PAUSE_S))
        while True:
            if not self.tails_log:
                await wait_for(self.timers, _IDLE_PAUSE_S)
                continue
            page = await self.stream.read_page(_TAIL_WAIT_S)
            if isinstance(page, LogFailure):
                await wait_for(self.timers, backoff.fail())
                continue
            backoff.reset()
            if not page.records:
                await wait_for(self.timers, _EMPTY_PAUSE_S)

    def _rank(self) -> None:
        # hashes all members, hence not on each use
        live = (
            address
            for address, member in self.board.members.members.items()
            if member.state is MemberState.ALIVE
        )
        epoch = int(self.timers.read() // ROTATION_INTERVAL_S)
        self.tails_log = is_reader(self.board.identity.address, live, epoch)

    def _ask_if_behind(self) -> None:
        # also the way in for a failure domain that is cut from the log
        cut = self.tails_log and not self.board.log_reachable
        lost = not self.stream.fold.exact and self.tails_log
        if cut or lost or self.board.configuration.version == 0:
            self._spawn(self._exchange.ask_some)

    def _rewrite_if_due(self) -> None:
        if self.tails_log and self.board.log_reachable and self._rewriter.is_due():
            self._spawn(self._rewriter.rewrite)

    def _probe(self) -> None:
        if not self.tails_log:
            self._spawn(self.stream.read_page, 0.0)

    def _spawn(self, function, *args) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

    def _take_fold(self) -> None:
        fold = self.stream.fold
        if fold.exact and fold.version > self.board.configuration.version:
            self._take(fold.version, fold.text, fold.next - 1, "log")

    def _take_peers(self, version: int, text: str, offset: int) -> None:
        self._take(version, text, offset, "peer")

    def _take(self, version: int, text: str, offset: int, source: str) -> None:
        own = self.board.configuration
        if version <= own.version:
            return
        reading = read_document(text)
        for problem in reading.problems:
            logger.error(
                "configuration {} line {}: {}", version, problem.line, problem.message
            )
        document = reading.document
        if reading.problems and not document.classes:
            # nothing of it can be read: go on with what was in force before
            document = own.document
        self.board.configuration = evolve(
            own, version=version, document=document, text=text, offset=offset
        )
        self.counts.taken[source] += 1
        logger.info("configuration {} is in force, from a {}", version, source)
        self._exchange.announce(to_other_domains=source == "log")
