"""How the news of the log reach a node: by its own reads, or from a node that reads.

Of each failure domain, a few nodes read the log and pass on what is new over the links;
the others listen to two of them. Who reads follows from what each node knows: the first
ones in the order of the records that it can reach.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from attrs import define, field
from loguru import logger

from eelgrassmount.gen import ttypes
from eelgrassmount.policy.readers import SUBSCRIBED_READERS, choose_subscribed_readers
from eelgrassmount.relay.frames import FrameKind
from eelgrassmount.relay.tallies import Tally, add_tallies, read_tally, write_tally
from eelgrassmount.topics.local_record import find_spread
from eelgrassmount.topics.log_epoch import EraWatch
from eelgrassmount.topics.ranking import Ranking
from eelgrassmount.topics.records import RecordBook
from eelgrassmount.topics.store import StoredRecord
from eelgrassmount.topics.subscriptions import HEARD_S, Subscriber, Subscription, Sums

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.relay.members import Member
    from eelgrassmount.relay.shared_state import SharedState
    from eelgrassmount.topics.follower import TopicFollower

# a node asks its readers so often, and one that has not answered for as long is
# replaced. Together with the first read of the one that takes its place, that is less
# than a configuration may take to be in force
PERIOD_S = 0.75
SILENT_S = 0.75
# counts go along with each question while a service is short or calls are not known,
# and else so seldom, since they are most of what is said
CALM_PERIOD_S = 3.0
# while requests come and no calls are known, it asks so often
LEARNING_PERIOD_S = 0.25
# a reader that was silent is asked again after so long
RETRY_SILENT_S = 3.0
# without a word of any reader, a node reads by itself: soon after its start, and else
# once both readers that it listened to had time to be replaced
START_WAIT_S = 0.4
ALONE_S = 1.2
# where readers live but can't read the log, it is mostly away for all: a node tries by
# itself only after this time, drawn anew each time, and then seldom, so that an outage
# doesn't make every node call
LOST_S = (3.0, 6.0)
LOST_RETRY_LIMIT_S = 8.0
READER_RETRY_LIMIT_S = 1.5
# a node that others listen to, or that was a reader, reads on for so long
READ_ON_S = 3.0
# a record that is gone is waited for so much longer than the nodes take to write it
CONFIRM_S = 5.0
# after a longer pause of this node itself, the others had no chance to be heard
OWN_PAUSE_S = 0.7


@define(eq=False)
class LogReaders:
    """Decides whether this node reads the log, and passes on what is new.

    A node reads while it is among the readers of its failure domain as it knows them,
    while another listens to it, or when it hears from no reader. ``make_tally`` counts
    for this node alone; the sum over all nodes is in ``beliefs.cluster_counts``.
    """

    beliefs: SharedState
    nodes_topic: str
    followers: list[TopicFollower]
    open_link: Callable[[Member], None]
    take_records: Callable[[tuple[StoredRecord, ...]], None]
    make_tally: Callable[[], Tally]
    eras: EraWatch = field(factory=EraWatch)
    book: RecordBook = field(factory=RecordBook)
    ranking: Ranking = field(init=False)
    sums: Sums = field(factory=Sums)
    begun: bool = False
    reading: bool = False
    is_reader: bool = False
    subscriptions: dict[str, Subscription] = field(factory=dict)
    subscribers: dict[str, Subscriber] = field(factory=dict)
    _silent_until_s: dict[str, float] = field(factory=dict)
    _stepped_s: float = -math.inf
    _alive_s: float = -math.inf
    _served_s: float = -math.inf
    _read_until_s: float = -math.inf
    _lost_wait_s: float = LOST_S[1]
    _confirm_s: float = math.inf

    def __attrs_post_init__(self) -> None:
        """Rank by the records that the book holds."""
        self.ranking = Ranking(self.beliefs.members, self.book)
        self.eras.on_rise.append(self.begin_anew)

    def begin_anew(self) -> None:
        """Read all records again, since the log has come back from an older copy.

        The other nodes are told at once. Nodes whose records are gone have some time to
        write them again.
        """
        self.book.begin_anew()
        nodes = len(self.beliefs.members.by_name)
        self._confirm_s = self.beliefs.clock() + find_spread(nodes) + CONFIRM_S
        for follower in self.followers:
            follower.begin_anew()
        for subscriber in self.subscribers.values():
            subscriber.next_offset = 0
        self.publish()

    def _forget_unconfirmed(self, now_s: float) -> None:
        """Forget the nodes whose records are gone for good."""
        if now_s < self._confirm_s or not self.book.next_offset:
            return
        self._confirm_s = math.inf
        members = self.beliefs.members
        gone = [
            name
            for name in self.book.list_unconfirmed()
            if name in members.by_name and not members.by_name[name].is_connected()
        ]
        self.book.forget_before()
        for name in gone:
            if name != self.beliefs.name:
                members.remove(name)
        logger.info("records of before forgotten", gone=len(gone))

    def begin(self) -> None:
        """Begin, with the other nodes known as far as the log or links tell of them."""
        if self.begun:
            return
        self.begun = True
        now_s = self.beliefs.clock()
        self._served_s = max(self._served_s, now_s - ALONE_S + START_WAIT_S)
        self.step()

    def step(self) -> None:
        """Work out who reads, and ask those that this node listens to."""
        if not self.begun:
            return
        now_s = self.beliefs.clock()
        if now_s - self._stepped_s > OWN_PAUSE_S:
            self._forgive_pause(now_s)
        self._stepped_s = now_s
        self._expire(now_s)
        self._forget_unconfirmed(now_s)
        readers = self.list_readers(self.beliefs.failure_domain, now_s)
        self.is_reader = self.beliefs.name in readers
        listened = choose_subscribed_readers(self.beliefs.name, readers)
        if self._hears_far(readers):
            listened += self._choose_far(now_s)
        self.subscriptions = {
            name: self.subscriptions.get(name) or Subscription() for name in listened
        }
        for name, subscription in self.subscriptions.items():
            self._ask(name, subscription, now_s)
        self._update_reading(now_s)
        self._update_outlook(now_s)

    def _forgive_pause(self, now_s: float) -> None:
        for one in self.subscriptions.values():
            if one.waiting_s < now_s:
                one.waiting_s = now_s
        self._served_s = max(self._served_s, now_s - ALONE_S / 2)

    def _expire(self, now_s: float) -> None:
        for name, one in self.subscriptions.items():
            if now_s - one.waiting_s > SILENT_S:
                self._silent_until_s[name] = now_s + RETRY_SILENT_S
        self._silent_until_s = {
            name: until_s
            for name, until_s in self._silent_until_s.items()
            if until_s > now_s
        }
        self.subscribers = {
            name: one
            for name, one in self.subscribers.items()
            if now_s - one.heard_s <= HEARD_S
        }

    def list_readers(self, failure_domain: str, now_s: float) -> list[str]:
        """Return the readers of a failure domain as this node sees them."""
        # the first ones are tried anew even while they can't be used
        for name in self.ranking.list_first(failure_domain):
            self._connect(name, now_s)
        return self.ranking.list_readers(failure_domain, self._is_usable)

    def _is_usable(self, name: str) -> bool:
        if name == self.beliefs.name:
            return not self.beliefs.closing
        member = self.beliefs.members.by_name.get(name)
        return (
            member is not None
            and not member.connect_failures
            and name not in self._silent_until_s
        )

    def _hears_far(self, readers: list[str]) -> bool:
        """Tell whether this node listens to other failure domains for its own.

        One reader is enough where all nodes listen to it: with two, bytes between
        failure domains were twice as many.
        """
        if len(readers) <= SUBSCRIBED_READERS:
            return self.is_reader and readers[0] == self.beliefs.name
        return self.is_reader

    def _choose_far(self, now_s: float) -> list[str]:
        """Return one reader of each other failure domain."""
        own = self.beliefs.failure_domain
        return [
            name
            for domain in sorted(self.ranking.list_domains())
            if domain != own
            for name in choose_subscribed_readers(
                self.beliefs.name, self.list_readers(domain, now_s), 1
            )
        ]

    def _connect(self, name: str, now_s: float) -> None:
        member = self.beliefs.members.by_name.get(name)
        if member is None or name == self.beliefs.name or member.is_connected():
            return
        if now_s >= member.retry_at_s:
            self.open_link(member)

    def _ask(self, name: str, subscription: Subscription, now_s: float) -> None:
        member = self.beliefs.members.by_name[name]
        if not member.is_connected():
            self._connect(name, now_s)
            subscription.waiting_s = min(subscription.waiting_s, now_s)
            subscription.sent_s = -math.inf
        elif now_s - subscription.sent_s >= self._find_period():
            self._send_request(member, subscription, now_s)

    def _send_request(
        self, member: Member, subscription: Subscription, now_s: float
    ) -> None:
        with_counts = now_s - subscription.counted_s >= self._find_count_period()
        if with_counts:
            subscription.counted_s = now_s
        near = member.failure_domain == self.beliefs.failure_domain
        request = ttypes.RelaySubscribe(
            self.beliefs.name,
            self.beliefs.failure_domain,
            self.book.next_offset,
            write_tally(self.make_tally() if near and with_counts else Tally()),
            with_counts,
            self.eras.current,
        )
        subscription.sent_s = now_s
        subscription.waiting_s = min(subscription.waiting_s, now_s)
        member.link.send(FrameKind.SUBSCRIBE, request)

    def _find_period(self) -> float:
        """Return the seconds between two questions.

        While requests come and no calls are known, counts are worth more than bytes: in
        a surge, all that is begun meanwhile may be lost.
        """
        beliefs = self.beliefs
        learning = beliefs.request_counts and not beliefs.graph.has_learned_calls()
        return LEARNING_PERIOD_S if learning else PERIOD_S

    def _find_count_period(self) -> float:
        """Return the seconds between two exchanges of counts."""
        beliefs = self.beliefs
        known = beliefs.graph.has_learned_calls()
        short = any(
            control.admitted_fraction < 1.0
            for control in beliefs.admission_controllers.values()
        )
        return self._find_period() if short or not known else CALM_PERIOD_S

    def note_linked(self, member: Member) -> None:
        """Ask a reader at once whose link has come up."""
        subscription = self.subscriptions.get(member.name)
        if subscription is not None and member.is_connected():
            self._send_request(member, subscription, self.beliefs.clock())

    def _update_reading(self, now_s: float) -> None:
        silent_s = now_s - self._served_s
        alone_s = ALONE_S if now_s - self._alive_s > ALONE_S else self._lost_wait_s
        if self.is_reader or self.subscribers or silent_s > alone_s:
            self._read_until_s = now_s + READ_ON_S
        reading = now_s < self._read_until_s
        for follower in self.followers:
            chosen = self.is_reader or self.subscribers
            limit_s = READER_RETRY_LIMIT_S if chosen else LOST_RETRY_LIMIT_S
            follower.retry_limit_s = limit_s
            follower.want(reading)
        if reading == self.reading:
            return
        self.reading = reading
        self._lost_wait_s = self.beliefs.rng.uniform(*LOST_S)
        logger.info(
            "reading the log" if reading else "log heard from readers",
            chosen=self.is_reader,
            subscribers=len(self.subscribers),
            readers=sorted(self.subscriptions),
            unheard_s=None if math.isinf(silent_s) else round(silent_s, 3),
        )

    def reads(self) -> bool:
        """Tell whether this node reads the log itself, and can."""
        return bool(self.followers) and all(one.is_current() for one in self.followers)

    def hears(self) -> bool:
        """Tell whether this node hears from one that reads the log."""
        now_s = self.beliefs.clock()
        return any(
            one.reads and one.is_fresh(now_s) for one in self.subscriptions.values()
        )

    def is_current(self) -> bool:
        """Tell whether this node knows what stands on the log now."""
        return self.reads() or self.hears()

    def note_read(self, records: tuple[StoredRecord, ...], next_offset: int) -> None:
        """Take up records that this node has read, and pass them on."""
        before = self.book.next_offset
        self.book.take(records, next_offset)
        if next_offset > before:
            self.publish()

    def publish(self) -> None:
        """Tell all that listen to this node what is new, or which version it has."""
        for subscriber in self.subscribers.values():
            self._answer(subscriber)

    def note_subscribe(
        self, struct: ttypes.RelaySubscribe, send: Callable[[FrameKind, Any], None]
    ) -> None:
        """Take up that another node listens to this one, and answer it."""
        self.eras.note_heard(struct.era)
        known = self.subscribers.get(struct.node_name)
        tally = read_tally(struct.tally)
        if known is not None and not tally.nodes:
            tally = known.tally
        subscriber = Subscriber(
            send,
            struct.failure_domain == self.beliefs.failure_domain,
            self.beliefs.clock(),
            # an offset of another era says nothing of what is known
            struct.next_offset if struct.era == self.eras.current else 0,
            tally,
        )
        is_first = not self.subscribers
        self.subscribers[struct.node_name] = subscriber
        if is_first:
            self._update_reading(self.beliefs.clock())
        self._answer(subscriber, struct.with_counts)

    def _answer(self, subscriber: Subscriber, with_counts: bool = False) -> None:
        records = []
        if self.book.next_offset > subscriber.next_offset:
            records = [
                ttypes.RelayRecord(one.key, one.value, max(0, one.offset))
                for one in self.book.list_since(subscriber.next_offset)
            ]
            subscriber.next_offset = self.book.next_offset
        counts = Tally()
        if with_counts:
            counts = self.sums.total if subscriber.near else self.sums.near
        news = ttypes.RelayNews(
            self.beliefs.name,
            self.reads(),
            self.hears(),
            self.beliefs.table.version,
            self.book.next_offset,
            records,
            write_tally(counts),
            self.eras.current,
        )
        subscriber.send(FrameKind.NEWS, news)

    def note_news(self, news: ttypes.RelayNews) -> None:
        """Take up what a reader tells; its version is asked for elsewhere."""
        now_s = self.beliefs.clock()
        self.eras.note_heard(news.era)
        subscription = self.subscriptions.get(news.node_name)
        if subscription is not None:
            self._note_heard(news, subscription, now_s)
        is_later = news.next_offset > self.book.next_offset
        if news.era != self.eras.current or not is_later:
            return
        records = tuple(
            StoredRecord(one.key, one.value, one.offset) for one in news.records
        )
        self.take_records(records)
        for follower in self.followers:
            if follower.topic == self.nodes_topic:
                follower.skip_to(news.next_offset)
        self.note_read(records, news.next_offset)

    def _note_heard(
        self, news: ttypes.RelayNews, subscription: Subscription, now_s: float
    ) -> None:
        subscription.waiting_s = math.inf
        subscription.heard_s = now_s
        subscription.reads = news.reads
        subscription.hears = news.hears
        if news.tally.nodes:
            subscription.tally = read_tally(news.tally)
        member = self.beliefs.members.by_name.get(news.node_name)
        if member is None or member.failure_domain != self.beliefs.failure_domain:
            return
        self._alive_s = now_s
        if news.reads or news.hears:
            self._served_s = now_s

    def _add_near(self) -> Tally:
        """Return the counts of this failure domain, as this node hears of them."""
        heard = [one.tally for one in self.subscribers.values() if one.near]
        tally = add_tallies([self.make_tally(), *heard])
        domain = self.beliefs.failure_domain
        nodes = len(self.ranking.list_domains().get(domain, []))
        if len(self.ranking.list_first(domain)) > SUBSCRIBED_READERS:
            # with more readers than a node listens to, each hears only of a part
            tally.scale(nodes / max(1, tally.nodes))
        return tally

    def _update_outlook(self, now_s: float) -> None:
        """Add up what this node hears of, and choose the sum that covers most nodes."""
        members = self.beliefs.members.by_name
        near, far = [], []
        for name, one in self.subscriptions.items():
            same = members[name].failure_domain == self.beliefs.failure_domain
            if one.is_fresh(now_s):
                (near if same else far).append(one.tally)
        self.sums.update(self._add_near(), far)
        found = [self.sums.total, *near]
        self.beliefs.cluster_counts = max(found, key=lambda tally: tally.nodes)
