"""Backend servers that repeat an answer late, on a virtual network and clock."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import pytest
from attrs import define, field

from tests.relay.deployment import Deployment, make_rule, send_as_client
from tests.relay.virtual import run_virtually

if TYPE_CHECKING:
    from collections.abc import Callable

    from eelgrassmount.http1.exchange import Exchange
    from tests.relay.virtual import Network

BOOK = make_rule("/book/", "list", kind="non_idempotent")
REQUEST_ID = b"eelgrassmount-attempt-id"
NOT_RUN = b"eelgrassmount-not-executed: 1\r\n"
SIGNED = b"eelgrassmount-response-signature: s\r\n"
WORK_S = 0.05
BOOKINGS = 60
CLIENTS = 3
# One booking in so many is rejected.
REJECTED_PERIOD = 3
# Late copies arrive while a later request is open, or long after it.
DELAYS_S = (0.0005, 0.005, 0.03, 0.08)


@define(eq=False)
class RepeatingServers:
    """Servers that reject some bookings once each and repeat these answers late.

    ``runs`` counts the bookings that were run, by their ids.
    """

    status: int
    names_id: bool
    copies: int
    rng: random.Random
    runs: Counter[bytes] = field(factory=Counter)

    def make_handler(self) -> Callable[[Exchange], None]:
        """Return the handler of one server."""
        seen: set[bytes] = set()

        def handle(exchange: Exchange) -> None:
            id = dict(exchange.headers)[REQUEST_ID]
            number = int(exchange.target.rpartition("/")[2])
            if number % REJECTED_PERIOD == 0 and id not in seen:
                seen.add(id)
                self._reject(exchange, id)
            else:
                self._run(exchange, id)

        return handle

    def _run(self, exchange: Exchange, id: bytes) -> None:
        self.runs[id] += 1
        head = b"%s: %s\r\n%s" % (REQUEST_ID, id, SIGNED)
        loop = asyncio.get_running_loop()
        loop.call_later(WORK_S, exchange.respond, 200, head, b"done")

    def _reject(self, exchange: Exchange, id: bytes) -> None:
        transport = exchange.connection.transport
        head = NOT_RUN
        if self.names_id:
            head += b"%s: %s\r\n" % (REQUEST_ID, id)
        exchange.respond(self.status, head)
        copy = exchange.encode_answer(closing=False)
        for _ in range(self.copies):
            delay_s = self.rng.choice(DELAYS_S)
            asyncio.get_running_loop().call_later(delay_s, transport.write, copy)


def play(servers: RepeatingServers, count: int, seed: int) -> dict[str, int]:
    """Send bookings to ``count`` servers and return the status of each by its id."""
    statuses: dict[str, int] = {}

    async def main(network: Network) -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start(BOOK)
            front = await deployment.add("front")
            for _ in range(count):
                vm = await deployment.add("list", retry_slack=1000.0)
                vm.server.answer = servers.make_handler()
            await deployment.wait_until_connected()
            numbers = iter(range(BOOKINGS))

            async def run_client() -> None:
                for number in numbers:
                    id = f"q{number}"
                    answer = await send_as_client(
                        front, f"/book/{number}", "POST", request_id=id
                    )
                    statuses[id] = answer.status

            async with anyio.create_task_group() as clients:
                for _ in range(CLIENTS):
                    clients.start_soon(run_client)
            await deployment.end()
            group.cancel_scope.cancel()

    run_virtually(main, seed)
    return statuses


@pytest.mark.parametrize("copies", [1, 3])
@pytest.mark.parametrize("names_id", [True, False])
@pytest.mark.parametrize("status", [503, 429, 400, 421])
@pytest.mark.parametrize("count", [1, 2, 3])
def test_late_copy_of_a_rejection_is_no_answer_to_another_sending(
    count, status, names_id, copies
):
    """Bookings ran twice, or were refused although they ran."""
    check_answers(count, status, names_id, copies, 100 * count + copies)


# Guards against copies that take a booking's place at a server, with another seed.
@pytest.mark.parametrize("seed", [302])
def test_late_copies_cost_no_booking_its_answer(seed):
    check_answers(3, 421, True, 3, seed)


def check_answers(
    count: int, status: int, names_id: bool, copies: int, seed: int
) -> None:
    servers = RepeatingServers(status, names_id, copies, random.Random(seed))
    statuses = play(servers, count, seed)
    for id, answered in statuses.items():
        runs = servers.runs[id.encode()]
        assert (answered, runs) in ((200, 1), (503, 0)), id
    # The copies cost no client its answer.
    undisturbed = RepeatingServers(status, names_id, 0, random.Random(seed))
    assert statuses == play(undisturbed, count, seed)
