"""Interface of the codec for request and answer headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable


@define(eq=False, repr=False)
class RequestHead:
    """The parsed headers of a request.

    ``remaining_ms`` is the time until the client's deadline, ``None`` without one.
    ``forwarded_headers`` are the header lines that the server receives. ``api_key`` is
    ``None`` without a key, and empty if there are several.
    """

    host: str = ""
    request_id: str = ""
    remaining_ms: int | None = None
    api_key: bytes | None = field(default=None, repr=False)
    forwarded_headers: bytes = b""


@define(eq=False, repr=False)
class AnswerHead:
    """The parsed headers of a server's answer.

    ``signed`` is set if the answer carries the server's signature, ``not_run`` if the
    server did not run the request. ``instance`` is the identity of the server.
    ``rate_limit_per_s`` is the number of requests per second that the server takes from
    all nodes together, ``None`` if it names no valid limit. ``leaving`` is set if the
    server will stop. ``invalid_headers`` are headers whose value could not be parsed.
    ``forwarded_headers`` are the header lines that the client receives.
    """

    signed: bool = False
    not_run: bool = False
    instance: str = ""
    rate_limit_per_s: float | None = None
    leaving: bool = False
    invalid_headers: list[tuple[bytes, bytes]] = field(factory=list)
    forwarded_headers: bytes = b""


@frozen
class HeaderCodec:
    """The functions of an adapter that parse and write headers."""

    read_request: Callable[[list[tuple[bytes, bytes]]], RequestHead]
    write_team: Callable[[str], bytes]
    write_request: Callable[[str, str, bytes, bytes, int, str, str], bytes]
    write_probe: Callable[[str], bytes]
    read_answer: Callable[[list[tuple[bytes, bytes]]], AnswerHead]
    find_request_id: Callable[[list[tuple[bytes, bytes]]], bytes]
    read_idle_limit: Callable[[list[tuple[bytes, bytes]]], float | None]
    write_refusal: Callable[[str, float], bytes]
