"""How requests and answers are read and written at the edges of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable


@define(eq=False)
class RequestHead:
    """What a node needs from the headers of a request.

    ``remaining_ms`` is how long the client will wait, ``None`` when it doesn't
    say; ``forwarded_headers`` are the header lines that go on to the server. ``api_key`` is
    ``None`` without a key, and empty if there are several.
    """

    host: str = ""
    request_id: str = ""
    remaining_ms: int | None = None
    api_key: bytes | None = field(default=None, repr=False)
    forwarded_headers: bytes = b""


@define(eq=False)
class AnswerHead:
    """What a node needs from the headers of a server's answer.

    ``signed`` tells that the server vouches for the body, ``not_run`` that it did
    not run the request, and ``instance`` which incarnation of the server spoke.
    """

    signed: bool = False
    not_run: bool = False
    instance: str = ""
    forwarded_headers: bytes = b""


@frozen
class HeaderCodec:
    """The functions that read and write headers, which an adapter supplies."""

    read_request: Callable[[list[tuple[bytes, bytes]]], RequestHead]
    write_team: Callable[[str], bytes]
    write_request: Callable[[str, str, bytes, bytes, int, str, str], bytes]
    write_probe: Callable[[str], bytes]
    read_answer: Callable[[list[tuple[bytes, bytes]]], AnswerHead]
    find_request_id: Callable[[list[tuple[bytes, bytes]]], bytes]
    read_idle_limit: Callable[[list[tuple[bytes, bytes]]], float | None]
    write_refusal: Callable[[str, float], bytes]
