"""An event loop whose time jumps to the next timer, and a network within it.

Whole nodes run on it without sockets and without waiting. Random numbers come from a
seed; only the order of sets of names differs from run to run.
"""

from __future__ import annotations

import asyncio
import errno
import random
import secrets
import selectors
import time
from collections import deque
from typing import TYPE_CHECKING, Any
from unittest import mock

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LATENCY_S = 0.001
# what one turn of a loop takes: without it, time would stand still for callbacks that
# ask for the next turn again and again
TURN_S = 0.00001
# the system finds out so long after it that nothing comes through any more
KEEP_ALIVE_S = 4.0
CLOSED = b""

SocketAddress = tuple[str, int]


class JumpingSelector(selectors.SelectSelector):
    """Lets time pass instead of waiting for it."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready now."""
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        self.loop.now_s += max(TURN_S, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Has its own time and its own network."""

    def __init__(self) -> None:
        selector = JumpingSelector()
        selector.loop = self
        self.now_s = 1000.0
        self.network = Network(self)
        super().__init__(selector)

    def time(self) -> float:
        """Return the present time in seconds."""
        return self.now_s

    async def create_server(
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: Any
    ) -> Listener:
        """Take connections at an address."""
        listener = Listener(self.network, (host, port), factory)
        self.network.listeners[listener.place] = listener
        return listener

    async def create_connection(
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: Any
    ) -> tuple[End, asyncio.Protocol]:
        """Connect to an address as soon as its system accepts."""
        await asyncio.sleep(LATENCY_S)
        protocol = factory()
        return self.network.connect(protocol, (host, port)), protocol


class Listener:
    """Takes connections."""

    def __init__(
        self,
        network: Network,
        place: SocketAddress,
        factory: Callable[[], asyncio.Protocol],
    ):
        self.network = network
        self.place = place
        self.factory = factory

    def close(self) -> None:
        """Refuse further connections."""
        if self.network.listeners.get(self.place) is self:
            del self.network.listeners[self.place]


class Network:
    """Carries bytes, with faults at the addresses of listeners.

    At a place that stands still the system takes connections and bytes, and the
    program hears and says nothing until it goes on.
    """

    def __init__(self, loop: VirtualLoop):
        self.loop = loop
        self.listeners: dict[SocketAddress, Listener] = {}
        self.standing: set[SocketAddress] = set()
        self.links: list[Link] = []

    def connect(self, protocol: asyncio.Protocol, place: SocketAddress) -> End:
        """Join a protocol to a new one of the listener."""
        listener = self.listeners.get(place)
        if listener is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"refused by {place}")
        link = Link(self, place, protocol)
        self.links.append(link)
        link.client_end.begin(protocol)
        if place not in self.standing:
            link.accept()
        return link.client_end

    def list_open(self, place: SocketAddress) -> list[Link]:
        """Return the connections to a place."""
        self.links = [one for one in self.links if not one.is_over()]
        return [one for one in self.links if one.place == place]

    def pause(self, place: SocketAddress) -> None:
        """Let the program at a place do nothing."""
        self.standing.add(place)

    def resume(self, place: SocketAddress) -> None:
        """Let it do at once all that has waited."""
        self.standing.discard(place)
        for link in self.list_open(place):
            link.accept()
            link.client_end.drain()
            link.server_end.drain()

    def mute(self, place: SocketAddress) -> None:
        """Lose all that goes over the open connections, which are not reset."""
        for link in self.list_open(place):
            link.mute = True
            self.loop.call_later(KEEP_ALIVE_S, link.reset)

    def reset(self, place: SocketAddress) -> None:
        """Reset the open connections at both ends."""
        for link in self.list_open(place):
            link.reset()


class Link:
    """One connection."""

    def __init__(
        self, network: Network, place: SocketAddress, protocol: asyncio.Protocol
    ):
        self.network = network
        self.place = place
        self.mute = False
        self.accepted = False
        self.client_end = End(self)
        self.server_end = End(self)
        self.client_end.other = self.server_end
        self.server_end.other = self.client_end

    def accept(self) -> None:
        """Let the listener's program take the connection, once."""
        listener = self.network.listeners.get(self.place)
        if not self.accepted and listener is not None:
            self.accepted = True
            self.server_end.begin(listener.factory())
            self.server_end.drain()

    def reset(self) -> None:
        """Let both systems reset the connection."""
        self.client_end.reset()
        self.server_end.reset()

    def is_held(self) -> bool:
        """Tell whether nothing is read now."""
        return self.place in self.network.standing

    def is_over(self) -> bool:
        """Tell whether both ends are gone."""
        return self.client_end.closing and self.server_end.closing


class End:
    """The transport of one end."""

    other: End

    def __init__(self, link: Link):
        self.link = link
        self.loop = link.network.loop
        self.protocol: asyncio.Protocol | None = None
        self.closing = False
        self.reading = True
        self.inbox: deque[bytes] = deque()

    def begin(self, protocol: asyncio.Protocol) -> None:
        """Hand the connection to its protocol."""
        self.protocol = protocol
        protocol.connection_made(self)

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not self.closing and not self.link.mute:
            self.other.inbox.append(bytes(data))
            self.loop.call_later(LATENCY_S, self.other.drain)

    def drain(self) -> None:
        """Read what has come, unless the program stands still."""
        while self.inbox and self._may_read():
            data = self.inbox.popleft()
            if data == CLOSED:
                self._end()
            else:
                self.protocol.data_received(data)

    def _may_read(self) -> bool:
        waits = self.protocol is None or self.link.is_held() or not self.reading
        return not (waits or self.closing)

    def close(self) -> None:
        """End the connection after what was written."""
        self.write(CLOSED)
        self._end()

    def abort(self) -> None:
        """Reset the connection: the other end loses what it has not read."""
        if not self.closing and not self.link.mute:
            self.other.inbox.clear()
            self.other.inbox.append(CLOSED)
            self.loop.call_later(LATENCY_S, self.other.drain)
        self._end()

    def reset(self) -> None:
        """Tell the program of a reset by the network."""
        self.inbox.clear()
        self.inbox.append(CLOSED)
        self.drain()

    def _end(self) -> None:
        if not self.closing:
            self.closing = True
            if self.protocol is not None:
                self.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        """Tell whether the connection ends."""
        return self.closing

    def pause_reading(self) -> None:
        """Read nothing for now."""
        self.reading = False

    def resume_reading(self) -> None:
        """Read again."""
        self.reading = True
        self.loop.call_soon(self.drain)

    def get_extra_info(self, name: str) -> None:
        """Return nothing: there is no socket."""

    def get_write_buffer_size(self) -> int:
        """Return how many bytes wait to be sent: none."""
        return 0


def run_virtually(main: Callable[[Network], Awaitable[None]], seed: int = 0) -> None:
    """Run a test on a loop and a network of its own."""
    loops: list[VirtualLoop] = []
    rng = random.Random(seed)

    def make_loop() -> VirtualLoop:
        loops.append(VirtualLoop())
        return loops[0]

    async def start() -> None:
        await main(loops[0].network)

    def read_clock(clock: int = time.CLOCK_MONOTONIC) -> float:
        return loops[0].now_s

    with (
        mock.patch.object(time, "monotonic", read_clock),
        mock.patch.object(time, "clock_gettime", read_clock),
        mock.patch.object(secrets, "randbits", rng.getrandbits),
        mock.patch.object(secrets, "token_hex", lambda size: rng.randbytes(size).hex()),
    ):
        anyio.run(start, backend_options={"loop_factory": make_loop})
