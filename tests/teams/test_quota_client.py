"""The timers of a quota client."""

from __future__ import annotations

from unittest import mock

import pytest

from eelgrassmount.teams.directory import Team
from eelgrassmount.teams.quota_allocator import Grant
from eelgrassmount.teams.quota_client import QuotaClient

TEAM = Team("press", 1, rate=10.0, burst=10.0)
GRANT = Grant("press", wanted=1, granted=1)


@pytest.mark.parametrize("answers_at_once", [False, True])
def test_answered_request_has_no_timer(answers_at_once):
    call_later = mock.Mock()
    decide = mock.Mock()

    def send_request(*arguments: object) -> bool:
        if answers_at_once:
            client.handle_grant(1, GRANT)
        return True

    client = QuotaClient(
        lambda: 100.0, call_later, lambda name: ["node-1"], send_request, 1.0
    )
    client.request(TEAM, decide)
    (_, ask), _ = call_later.call_args
    call_later.reset_mock()
    ask()
    if answers_at_once:
        assert not call_later.called
    else:
        timer = call_later.return_value
        assert call_later.called
        client.handle_grant(1, GRANT)
        assert timer.cancel.called
    assert decide.call_count == 1
