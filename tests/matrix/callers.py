"""Requests of stand-in clients that can be retried."""

from __future__ import annotations

import json
import time
import uuid
from typing import TYPE_CHECKING

from attrs import define, field

from standins.client import Answer, UnansweredError
from standins.records import Attempt, classify_answer

if TYPE_CHECKING:
    from standins.client import Client

BOOKING = "/jobdesk/bookings"
TIMEOUT_S = 3.0
# tolerated delay of an answer after its deadline
MAX_LATENESS_S = 0.6
EXTRA_CLIENT_WAIT_S = 1.0


@define(eq=False)
class Booking:
    """A non-idempotent request with one key and any number of attempts."""

    key: str
    expected_shape: str
    extra: dict[str, object] = field(factory=dict)
    name: str = field(factory=lambda: f"m{uuid.uuid4().hex[:12]}")
    attempts: list[Attempt] = field(factory=list)
    bodies: set[bytes] = field(factory=set)

    @property
    def attempts_by_end(self) -> list[Attempt]:
        """Return the attempts in the order of their completion."""
        return sorted(self.attempts, key=lambda attempt: attempt.t_end)

    async def send(self, client: Client, node: str) -> Attempt:
        start = time.monotonic()
        headers = {
            "idempotency-key": self.key,
            "eelgrassmount-timeout-ms": str(int(TIMEOUT_S * 1000)),
        }
        content = json.dumps({"request": self.name, **self.extra}).encode()
        try:
            answer = await client.request(
                node, "POST", BOOKING, headers, content, TIMEOUT_S + EXTRA_CLIENT_WAIT_S
            )
        except UnansweredError as error:
            answer = None
            outcome = "unreached" if error.reason == "connect" else "unknown"
            reason = error.reason
        else:
            outcome = classify_answer(answer, self.name, self.expected_shape)
            reason = answer.headers.get("eelgrassmount-reason", "")
        end = time.monotonic()
        if outcome == "complete":
            self.bodies.add(answer.body)
        attempt = _make_attempt(self.name, node, start, end, outcome, answer, reason)
        self.attempts.append(attempt)
        return attempt


def _make_attempt(
    name: str,
    node: str,
    start: float,
    end: float,
    outcome: str,
    answer: Answer | None,
    reason: str,
) -> Attempt:
    if answer is None:
        return Attempt(name, node, start, end, outcome, "", 0, reason)
    verdict = answer.headers.get("eelgrassmount-verdict", "")
    return Attempt(name, node, start, end, outcome, verdict, answer.status, reason)


async def fetch_key(client: Client, node: str) -> str:
    """Return a key issued by a node."""
    content = json.dumps({"request": "mint"}).encode()
    answer = await client.request(node, "GET", "/ratebook/price", {}, content, 3.0)
    return answer.headers["eelgrassmount-next-key"]
