"""HTTP client of the log service."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING

import anyio
import httpcore
from attrs import define, field

from eelgrassmount.log_service import Appended, LogFailure, Page, Record

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_CONNECTIONS = 4
DEFAULT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
_CONNECT_TIMEOUT_S = 1.0
_KEEP_ALIVE_S = 30.0
_SEND_STARTED_EVENT = "http11.send_request_headers.started"


@define
class _Attempt:
    """A request; ``sent`` is true if any byte may have left this process."""

    sent: bool = False

    async def trace(self, event: str, info: Mapping[str, object]) -> None:
        if event == _SEND_STARTED_EVENT:
            self.sent = True


@define
class LogClient:
    """Sends requests to the log service at ``url``, such as ``http://127.0.0.1:80``.

    Every request ends within ``timeout_s`` seconds, plus the time that a read waits for
    records. A request without a valid answer returns a `LogFailure`. The client never
    retries a request, since the first attempt may have taken effect.
    """

    url: str
    timeout_s: float = DEFAULT_TIMEOUT_S
    _pool: httpcore.AsyncConnectionPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare the connections, which are opened on first use."""
        self.url = self.url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            keepalive_expiry=_KEEP_ALIVE_S,
            network_backend=httpcore.AnyIOBackend(),
        )

    async def append(self, stream: str, body: bytes) -> Appended | LogFailure:
        """Append one record."""
        content = await self._request("POST", f"/streams/{stream}/records", body, 0.0)
        if isinstance(content, LogFailure):
            return content
        try:
            return Appended(_read_offset(json.loads(content)["offset"]))
        except (ValueError, TypeError, KeyError):
            return LogFailure("the log's answer to an append is malformed", True)

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> Page | LogFailure:
        """Read records from ``offset`` on, waiting up to ``wait_s`` for one."""
        query = f"from={offset}&limit={limit}&wait_ms={round(wait_s * 1000)}"
        target = f"/streams/{stream}/records?{query}"
        content = await self._request("GET", target, b"", wait_s)
        if isinstance(content, LogFailure):
            return content
        try:
            return _parse_page(content)
        except (ValueError, TypeError, KeyError):
            return LogFailure("the log's answer to a read is malformed", True)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def _request(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> bytes | LogFailure:
        attempt = _Attempt()
        try:
            with anyio.fail_after(self.timeout_s + wait_s):
                async with self._pool.stream(
                    method,
                    self.url + target,
                    headers=_make_headers(method),
                    content=body,
                    extensions={
                        "timeout": {"connect": min(_CONNECT_TIMEOUT_S, self.timeout_s)},
                        "trace": attempt.trace,
                    },
                ) as response:
                    body = await _read_body(response)
        except TimeoutError:
            return LogFailure(f"no answer within {self.timeout_s} s", attempt.sent)
        except (httpcore.TimeoutException, httpcore.NetworkError, OSError) as error:
            return LogFailure(f"{type(error).__name__}: {error}", attempt.sent)
        except httpcore.ProtocolError as error:
            return LogFailure(f"{type(error).__name__}: {error}", attempt.sent)
        if body is None:
            return LogFailure("the log's answer is too long", attempt.sent)
        return _check_status(response.status, body)


def _make_headers(method: str) -> list[tuple[str, str]]:
    if method == "POST":
        return [("Content-Type", "application/octet-stream")]
    return []


async def _read_body(response: httpcore.Response) -> bytes | None:
    """Return the body of an answer, or ``None`` if it is too long or has no end."""
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            return None
    return bytes(body)


def _check_status(status: int, body: bytes) -> bytes | LogFailure:
    if status == 200:
        return body
    # a server error may follow a write; a status below 500 means that nothing was done
    may_have_written = status >= 500
    return LogFailure(f"the log answered {status}", may_have_written)


def _parse_page(content: bytes) -> Page:
    page = json.loads(content)
    records = tuple(
        Record(_read_offset(record["offset"]), base64.b64decode(record["body"]))
        for record in page["records"]
    )
    return Page(_read_offset(page["first"]), _read_offset(page["next"]), records)


def _read_offset(value: object) -> int:
    if type(value) is not int or value < 0:
        raise ValueError("an offset must be a whole number")
    return value
