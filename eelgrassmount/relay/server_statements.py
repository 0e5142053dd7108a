"""Effects of what a server says about itself in its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from eelgrassmount.relay.header_codec import AnswerHead
    from eelgrassmount.relay.server import LocalServer


def apply_statements(
    server: LocalServer, head: AnswerHead, sent_s: float, now_s: float
) -> bool:
    """Apply an answer to a request that was sent at ``sent_s``.

    Return whether the server has announced its stop, or has begun or ceased to limit
    its rate, which concerns the nodes that send it calls.
    """
    stops = head.leaving and server.apply_announced_stop()
    if stops:
        logger.info("server announces its stop", incarnation=str(server.incarnation))
    return _apply_rate_limit(server, head, sent_s, now_s) or stops


def _apply_rate_limit(
    server: LocalServer, head: AnswerHead, sent_s: float, now_s: float
) -> bool:
    # Rejections and answers of a failing server may lack the header.
    names_none = head.signed and not head.not_run and not head.invalid_headers
    if head.rate_limit_per_s is None and not names_none:
        return False
    limit = server.rate_limit
    was_limited = limit.per_s is not None
    limit.apply_answer(head.rate_limit_per_s, sent_s, now_s)
    is_limited = limit.per_s is not None
    if is_limited == was_limited:
        return False
    logger.info(
        "server limits its rate" if is_limited else "server no longer limits its rate",
        service=server.service,
        incarnation=str(server.incarnation),
        per_s=limit.per_s,
    )
    return True


def apply_health_statements(server: LocalServer, head: AnswerHead) -> None:
    """Apply the answer to the health check that has identified the server."""
    if head.leaving:
        server.apply_announced_stop()
    if head.rate_limit_per_s is not None:
        server.rate_limit.restore(head.rate_limit_per_s)
