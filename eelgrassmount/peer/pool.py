"""Pool of links to other nodes, opened when needed and replaced when lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.errors import AddressError, BadFrameError, LinkLostError
from eelgrassmount.gen.ttypes import Hello, Message
from eelgrassmount.metrics import Direction
from eelgrassmount.peer.codec import encode_frame
from eelgrassmount.peer.frames import FrameReader, FrameWriter
from eelgrassmount.peer.link import MAX_QUEUED_BYTES, PINGS_PER_SILENCE_TIMEOUT, Link
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.peer.traffic import make_traffic
from eelgrassmount.util.addresses import parse_address

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from eelgrassmount.members.table import Identity
    from eelgrassmount.metrics import Metrics
    from eelgrassmount.timers import TimerService
    from eelgrassmount.util.background import Background

RELEASE = 1
# Minimum time between a failed connection and the next attempt to an address.
RECONNECT_DELAY_S = 0.1


@define(eq=False)
class PeerPool:
    """All links that this node has opened, one for each address.

    It implements `eelgrassmount.peer.port.PeerPort`. A link with pending requests
    that is silent for ``silence_timeout_s`` is replaced. Its requests fail with
    ``sent=True``; their senders query the outcome over the new link.
    """

    identity: Identity
    local_host: str
    silence_timeout_s: float
    max_frame_bytes: int
    timers: TimerService
    metrics: Metrics
    _group: Background | None = None
    _links: dict[str, Link] = field(factory=dict)
    _locks: dict[str, anyio.Lock] = field(factory=dict)
    _last_failure_s: dict[str, float] = field(factory=dict)

    async def start(self, group: Background) -> None:
        """Start to run links in the given task group."""
        self._group = group
        self.timers.subscribe(
            self.silence_timeout_s / PINGS_PER_SILENCE_TIMEOUT, self._watch
        )

    async def request(
        self, address: str, message: Message, timeout_s: float, incarnation: str = ""
    ) -> Message | PeerFailure:
        """Send a message and wait for its reply.

        With ``incarnation``, nothing is sent if another process now answers at
        the address.
        """
        deadline_s = self.timers.read() + timeout_s
        link = await self._find_or_open(address)
        if link is None or incarnation not in ("", link.hello.incarnation):
            return PeerFailure(address, sent=False)
        remaining_s = deadline_s - self.timers.read()
        try:
            reply = await link.request(message, remaining_s)
        except LinkLostError as error:
            return PeerFailure(address, error.sent, link.hello.incarnation)
        if reply is None:
            return PeerFailure(address, True, link.hello.incarnation)
        return reply

    async def send(self, address: str, message: Message) -> bool:
        """Send a message that has no reply; return whether it was queued."""
        link = await self._find_or_open(address)
        return link is not None and link.send(message)

    def find_hello(self, address: str) -> Hello | None:
        """Return the greeting of the node at an address, or ``None`` without a link."""
        link = self._links.get(address)
        return link.hello if link is not None else None

    async def _find_or_open(self, address: str) -> Link | None:
        link = self._links.get(address)
        if link is not None and not link.lost:
            return link
        lock = self._locks.setdefault(address, anyio.Lock())
        async with lock:
            return await self._open_if_missing(address)

    async def _open_if_missing(self, address: str) -> Link | None:
        link = self._links.get(address)
        if link is not None and not link.lost:
            return link
        if (
            self.timers.read() - self._last_failure_s.get(address, -1.0)
            < RECONNECT_DELAY_S
        ):
            return None
        link = await self._connect(address)
        if link is None:
            self._last_failure_s[address] = self.timers.read()
            return None
        self._links[address] = link
        self._group.start_soon(self._run, link)
        return link

    async def _connect(self, address: str) -> Link | None:
        try:
            target = parse_address(address)
        except AddressError:
            return None
        # the system accepts connections of a paused peer, which sends no greeting
        with anyio.move_on_after(self.silence_timeout_s):
            try:
                stream = await anyio.connect_tcp(
                    target.host, target.port, local_host=self.local_host
                )
            except OSError:
                return None
            try:
                return await self._handshake(address, stream)
            except (BadFrameError, anyio.EndOfStream, anyio.BrokenResourceError):
                await anyio.aclose_forcefully(stream)
                return None
            except BaseException:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)
                raise
        return None

    async def _handshake(self, address: str, stream: SocketStream) -> Link | None:
        received = make_traffic(self.metrics, Direction.RECEIVED)
        reader = FrameReader(stream, self.max_frame_bytes, received)
        hello = make_hello(self.identity)
        greeting = Message(sequence=0, reply=False, hello=hello)
        await stream.send(encode_frame(greeting))
        reply = await reader.read()
        if reply.hello is None:
            raise BadFrameError("the first message is not a greeting")
        sent = make_traffic(self.metrics, Direction.SENT)
        writer = FrameWriter(stream, self.max_frame_bytes, MAX_QUEUED_BYTES, sent)
        return Link(
            address, reply.hello, writer, reader, stream, self.timers, self.metrics
        )

    async def _run(self, link: Link) -> None:
        reason = await link.run()
        self.metrics.peer_links_replaced.labels(reason).inc()
        if self._links.get(link.address) is link:
            del self._links[link.address]

    def _watch(self) -> None:
        for link in list(self._links.values()):
            if link.watch(self.silence_timeout_s):
                self._group.start_soon(link.abort)

    def forget(self, address: str) -> None:
        """Close the link to a node that will not return."""
        link = self._links.get(address)
        if link is not None:
            self._group.start_soon(link.abort)
        self._locks.pop(address, None)
        self._last_failure_s.pop(address, None)


def make_hello(identity: Identity) -> Hello:
    """Return the greeting with which a node identifies itself."""
    return Hello(
        address=identity.address,
        failure_domain=identity.failure_domain,
        region=identity.region,
        incarnation=identity.incarnation,
        release=RELEASE,
    )
