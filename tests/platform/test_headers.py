"""Reading and writing the platform's headers."""

from __future__ import annotations

import pytest

from eelgrassmount.platform import headers


def test_request_head_is_read_and_hop_by_hop_headers_are_dropped():
    head = headers.read_request(
        [
            (b"host", b"Shop.Example:80"),
            (b"eelgrassmount-attempt-id", b"a1"),
            (b"eelgrassmount-deadline-ms", b"900"),
            (b"eelgrassmount-caller-service", b"forged"),
            (b"eelgrassmount-expect-instance", b"forged"),
            (b"connection", b"keep-alive, x-hop"),
            (b"x-hop", b"1"),
            (b"content-length", b"3"),
            (b"x-kept", b"yes"),
        ]
    )
    assert (head.host, head.request_id) == ("shop.example", "a1")
    assert head.remaining_ms == 900
    assert head.forwarded_headers == (
        b"host: Shop.Example:80\r\neelgrassmount-attempt-id: a1\r\nx-kept: yes\r\n"
    )


@pytest.mark.parametrize("value", [b"", b"-1", b"soon", b"1.5"])
def test_invalid_remaining_time_is_ignored(value):
    head = headers.read_request([(b"eelgrassmount-deadline-ms", value)])
    assert head.remaining_ms is None


@pytest.mark.parametrize("name", [b"eelgrassmount-tenant", b"x-api-key"])
def test_team_and_key_of_a_client_are_not_forwarded(name):
    lines = [(name, b"one"), (b"accept", b"a"), (name, b"two")]
    assert headers.read_request(lines).forwarded_headers == b"accept: a\r\n"


@pytest.mark.parametrize(
    ("values", "key"),
    [([], None), ([b""], b""), ([b" k-1 "], b"k-1"), ([b"k-1", b"k-1"], b"")],
)
def test_single_key_is_read(values, key):
    head = headers.read_request([(b"x-api-key", value) for value in values])
    assert head.api_key == key
    assert "k-1" not in repr(head)


def test_team_header_is_written():
    assert headers.write_team("press-1") == b"eelgrassmount-tenant: press-1\r\n"


def test_request_to_the_server_is_written():
    data = headers.write_request(
        "POST", "/p", b"host: x\r\n", b"body", 250, "desk", "i1"
    )
    head, _, body = data.partition(b"\r\n\r\n")
    assert body == b"body"
    assert head.split(b"\r\n") == [
        b"POST /p HTTP/1.1",
        b"host: x",
        b"content-length: 4",
        b"eelgrassmount-deadline-ms: 250",
        b"eelgrassmount-caller-service: desk",
        b"eelgrassmount-expect-instance: i1",
    ]


def test_answer_head_is_read():
    lines = [
        (b"eelgrassmount-response-signature", b"s"),
        (b"eelgrassmount-attempt-id", b"a1"),
        (b"keep-alive", b"timeout=10, max=5"),
        (b"connection", b"keep-alive"),
        (b"content-type", b"text/plain"),
    ]
    head = headers.read_answer(lines)
    assert head.signed
    assert not head.not_run
    assert headers.read_idle_limit(lines) == 10.0
    assert b"connection" not in head.forwarded_headers
    assert b"eelgrassmount-response-signature: s\r\n" in head.forwarded_headers
    assert b"content-type: text/plain\r\n" in head.forwarded_headers


def test_refusal_has_a_retry_after_header():
    assert headers.write_refusal("a1", 0.25) == (
        b"eelgrassmount-attempt-id: a1\r\nretry-after: 0.250\r\n"
    )
    assert headers.write_refusal("", 0.0) == b""


# The identity from an answer is sent in a header of the next request, so that an
# invalid one could inject data there.
@pytest.mark.parametrize(
    "value",
    [b"", b" ", b"a b", b"a\tb", b"\xff\xfe", b"x" * 129, b"a,b", b"a/b", b"%41"],
)
def test_invalid_identity_in_an_answer_is_ignored(value):
    assert headers.read_answer([(b"eelgrassmount-instance-id", value)]).instance == ""


def test_identity_in_an_answer_is_read():
    head = headers.read_answer([(b"eelgrassmount-instance-id", b"i-7f3a91c2")])
    assert head.instance == "i-7f3a91c2"


# A remaining time of 5,000 digits raised ValueError, and an idle limit of 400 digits
# kept a connection open for ever.
def test_numbers_with_very_many_digits_are_limited():
    digits = b"9" * 5000
    head = headers.read_request([(b"eelgrassmount-deadline-ms", digits)])
    assert head.remaining_ms == headers.MAX_REMAINING_MS
    assert headers.read_idle_limit([(b"keep-alive", b"timeout=" + digits)]) is None
    assert headers.read_idle_limit([(b"keep-alive", b"timeout=" + b"9" * 400)]) is None
    assert headers.read_idle_limit([(b"keep-alive", b"timeout=86400")]) == 86400.0


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ([], None),
        ([b"8.9"], 8.9),
        ([b" 24 "], 24.0),
        ([b"0"], 0.0),
        ([b"5e-1"], 0.5),
        ([b"9", b"4.5"], 4.5),
    ],
)
def test_rate_limit_of_a_server_is_read(values, limit):
    head = headers.read_answer([(b"server-limit", value) for value in values])
    assert head.rate_limit_per_s == limit
    assert head.invalid_headers == []


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"1e999", b"1_0", b"4, 5", b"many", b"1" * 80]
)
def test_malformed_rate_limit_is_reported_and_ignored(value):
    head = headers.read_answer([(b"server-limit", value), (b"server-limit", b"7")])
    assert head.rate_limit_per_s == 7.0
    assert head.invalid_headers == [(b"server-limit", value)]


@pytest.mark.parametrize(
    ("value", "leaving", "invalid"),
    [(b"1", True, 0), (b" 1 ", True, 0), (b"0", False, 0), (b"soon", False, 1)],
)
def test_leaving_server_is_recognized(value, leaving, invalid):
    head = headers.read_answer([(b"server-leaving", value)])
    assert head.leaving is leaving
    assert len(head.invalid_headers) == invalid


def test_clients_receive_what_a_server_says_about_itself():
    head = headers.read_answer([(b"server-limit", b"7"), (b"server-leaving", b"1")])
    assert head.forwarded_headers == b"server-limit: 7\r\nserver-leaving: 1\r\n"
