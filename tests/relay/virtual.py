"""An event loop with virtual time and a simulated network.

Time jumps to the next timer, so whole nodes run without sockets and without waiting.
Random numbers are seeded; only the iteration order of sets differs between runs.
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
# Time of one loop iteration; without it, time would never advance while callbacks
# schedule each other for the next iteration.
ITERATION_S = 0.00001
# TCP keep-alive: a connection without traffic is reset after this time.
KEEP_ALIVE_TIMEOUT_S = 4.0
CLOSED = b""

SocketAddress = tuple[str, int]


class VirtualSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time to the next timer and return the ready files."""
        if timeout is None:
            raise RuntimeError("the loop has no timers and would wait forever")
        self.loop.now_s += max(ITERATION_S, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time and a virtual network."""

    def __init__(self) -> None:
        selector = VirtualSelector()
        selector.loop = self
        self.now_s = 1000.0
        self.network = Network(self)
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s

    async def create_server(
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: Any
    ) -> Listener:
        """Accept connections at an address."""
        listener = Listener(self.network, (host, port), factory)
        self.network.listeners[listener.address] = listener
        return listener

    async def create_connection(
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: Any
    ) -> tuple[VirtualTransport, asyncio.Protocol]:
        """Connect to an address after the network latency."""
        await asyncio.sleep(LATENCY_S)
        protocol = factory()
        return self.network.connect(protocol, (host, port)), protocol


class Listener:
    """A listening socket."""

    def __init__(
        self,
        network: Network,
        address: SocketAddress,
        factory: Callable[[], asyncio.Protocol],
    ):
        self.network = network
        self.address = address
        self.factory = factory

    def close(self) -> None:
        """Refuse further connections."""
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]


class Network:
    """Transfers bytes between connections, with faults by listener address.

    At a paused address the kernel still accepts connections and buffers bytes, but the
    program reads nothing until it is resumed.
    """

    def __init__(self, loop: VirtualLoop):
        self.loop = loop
        self.listeners: dict[SocketAddress, Listener] = {}
        self.paused: set[SocketAddress] = set()
        self.links: list[Link] = []

    def connect(
        self, protocol: asyncio.Protocol, address: SocketAddress
    ) -> VirtualTransport:
        """Connect a protocol to the listener at an address."""
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"refused by {address}")
        link = Link(self, address, protocol)
        self.links.append(link)
        link.client_end.attach(protocol)
        if address not in self.paused:
            link.accept()
        return link.client_end

    def list_open(self, address: SocketAddress) -> list[Link]:
        """Return the open connections to an address."""
        self.links = [link for link in self.links if not link.is_closed()]
        return [link for link in self.links if link.address == address]

    def pause(self, address: SocketAddress) -> None:
        """Stop the program at an address from reading and accepting."""
        self.paused.add(address)

    def resume(self, address: SocketAddress) -> None:
        """Let a paused program process everything that was buffered."""
        self.paused.discard(address)
        for link in self.list_open(address):
            link.accept()
            link.client_end.drain()
            link.server_end.drain()

    def mute(self, address: SocketAddress) -> None:
        """Drop all traffic on the open connections until keep-alive resets them."""
        for link in self.list_open(address):
            link.mute = True
            self.loop.call_later(KEEP_ALIVE_TIMEOUT_S, link.reset)

    def reset(self, address: SocketAddress) -> None:
        """Reset the open connections at both ends."""
        for link in self.list_open(address):
            link.reset()


class Link:
    """A connection between two transports."""

    def __init__(
        self, network: Network, address: SocketAddress, protocol: asyncio.Protocol
    ):
        self.network = network
        self.address = address
        self.mute = False
        self.accepted = False
        self.client_end = VirtualTransport(self)
        self.server_end = VirtualTransport(self)
        self.client_end.other = self.server_end
        self.server_end.other = self.client_end

    def accept(self) -> None:
        """Hand the connection to the listener's protocol, once."""
        listener = self.network.listeners.get(self.address)
        if not self.accepted and listener is not None:
            self.accepted = True
            self.server_end.attach(listener.factory())
            self.server_end.drain()

    def reset(self) -> None:
        """Reset the connection at both ends."""
        self.client_end.reset()
        self.server_end.reset()

    def is_paused(self) -> bool:
        """Return whether the programs of the connection are paused."""
        return self.address in self.network.paused

    def is_closed(self) -> bool:
        """Return whether both ends are closed."""
        return self.client_end.closing and self.server_end.closing


class VirtualTransport:
    """The transport of one end of a connection."""

    other: VirtualTransport

    def __init__(self, link: Link):
        self.link = link
        self.loop = link.network.loop
        self.protocol: asyncio.Protocol | None = None
        self.closing = False
        self.reading = True
        self.inbox: deque[bytes] = deque()

    def attach(self, protocol: asyncio.Protocol) -> None:
        """Connect the protocol to this transport."""
        self.protocol = protocol
        protocol.connection_made(self)

    def write(self, data: bytes) -> None:
        """Send bytes to the other end."""
        if not self.closing and not self.link.mute:
            self.other.inbox.append(bytes(data))
            self.loop.call_later(LATENCY_S, self.other.drain)

    def drain(self) -> None:
        """Deliver received bytes to the protocol, unless reading is paused."""
        while self.inbox and self._may_read():
            data = self.inbox.popleft()
            if data == CLOSED:
                self._mark_closed()
            else:
                self.protocol.data_received(data)

    def _may_read(self) -> bool:
        waiting = self.protocol is None or self.link.is_paused() or not self.reading
        return not (waiting or self.closing)

    def close(self) -> None:
        """Close the connection after the bytes already written."""
        self.write(CLOSED)
        self._mark_closed()

    def abort(self) -> None:
        """Reset the connection and discard what the other end has not read."""
        if not self.closing and not self.link.mute:
            self.other.inbox.clear()
            self.other.inbox.append(CLOSED)
            self.loop.call_later(LATENCY_S, self.other.drain)
        self._mark_closed()

    def reset(self) -> None:
        """Discard unread bytes and report the connection as lost."""
        self.inbox.clear()
        self.inbox.append(CLOSED)
        self.drain()

    def _mark_closed(self) -> None:
        if not self.closing:
            self.closing = True
            if self.protocol is not None:
                self.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        """Return whether the connection is closing."""
        return self.closing

    def pause_reading(self) -> None:
        """Pause the delivery of bytes."""
        self.reading = False

    def resume_reading(self) -> None:
        """Resume the delivery of bytes."""
        self.reading = True
        self.loop.call_soon(self.drain)

    def get_extra_info(self, name: str) -> None:
        """Return ``None``: there is no socket."""

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing is buffered."""
        return 0


def run_virtually(main: Callable[[Network], Awaitable[None]], seed: int = 0) -> None:
    """Run a test on a new virtual loop and network."""
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
