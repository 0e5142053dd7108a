"""A call: its context and its content."""

from __future__ import annotations

from attrs import frozen

from eelgrassmount.context import Context
from eelgrassmount.load.state import ServiceLoad
from eelgrassmount.verdict import Header, Verdict


@frozen
class Request:
    """The content of a call, as the caller or the backend server gave it."""

    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes


@frozen
class Call:
    """One call on its way to a backend server."""

    context: Context
    request: Request


@frozen
class Outcome:
    """The verdict on a call and the attempts that its subtree did not use.

    ``loads`` are those of the services that the call touched, for admission
    further up the chain.
    """

    verdict: Verdict
    attempts_left: int = 0
    loads: tuple[ServiceLoad, ...] = ()
