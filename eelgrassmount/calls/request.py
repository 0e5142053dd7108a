"""Requests, calls and their outcomes."""

from __future__ import annotations

from attrs import frozen

from eelgrassmount.context import Context
from eelgrassmount.load.state import ServiceLoad
from eelgrassmount.verdict import Header, Verdict


@frozen
class Request:
    """The content of a call, as the caller or the backend server sent it."""

    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes


@frozen
class Call:
    """A request with its call context."""

    context: Context
    request: Request


@frozen
class Outcome:
    """The verdict on a call and the attempts that its call tree did not use.

    ``loads`` has the loads of the services that the call used, for admission by the
    nodes upstream.
    """

    verdict: Verdict
    attempts_left: int = 0
    loads: tuple[ServiceLoad, ...] = ()
