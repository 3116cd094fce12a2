"""Request heads: decoded from callers, built for upstreams."""

import pytest

from baobabwing.gateway.headers import HeaderNames
from baobabwing.gateway.request_head import read_request_head, upstream_headers

NAMES = HeaderNames(reserved=frozenset({b"x-hold"}))


def read(*headers):
    return read_request_head("POST", "/x", list(headers), NAMES)


def sent(request_head, **more):
    values = {
        "left_s": 1.5,
        "instance": "i-1",
        "organisation": "",
        "body_bytes": 0,
        "last_event": "",
    }
    headers = upstream_headers(request_head, NAMES, **{**values, **more})
    return {name.lower(): value for name, value in headers}


def test_figures_are_decoded():
    request_head = read(
        (NAMES.deadline, b"8000"),
        (NAMES.tokens, b"1460,80"),
        (NAMES.prefix, b"5c1e:800, 91bd:410"),
        (NAMES.length_hint, b"33"),
    )
    assert request_head.deadline_s == 8.0
    assert (request_head.tokens_in, request_head.tokens_out) == (1460, 80)
    assert [(part.name, part.tokens) for part in request_head.parts] == [
        ("5c1e", 800),
        ("91bd", 410),
    ]
    assert request_head.expected_out == 33


@pytest.mark.parametrize("value", [b"", b"many", b"-5", b"nan", b"1e400"])
def test_invalid_figures_count_as_not_stated(value):
    request_head = read((NAMES.deadline, value), (NAMES.tokens, value))
    assert request_head.deadline_s is None
    assert request_head.tokens_in is None


def test_deadline_is_replaced_by_the_time_left():
    request_head = read((NAMES.deadline, b"8000"))
    assert sent(request_head, left_s=1.5)[NAMES.deadline] == b"1500"
    assert sent(request_head, left_s=-1.0)[NAMES.deadline] == b"1"


def test_caller_can_not_strip_the_host():
    """A caller lists Host in its ``Connection`` header.

    If it were removed as a hop-by-hop header, the upstream would get no Host.
    """
    request_head = read(
        (b"Host", b"h"), (b"Connection", b"host, x-gone"), (b"X-Gone", b"1")
    )
    assert sent(request_head)[b"host"] == b"h"
    assert b"x-gone" not in sent(request_head)


def test_last_event_of_the_gateway_replaces_the_callers():
    request_head = read((NAMES.last_event, b"4"))
    assert sent(request_head, last_event="9")[NAMES.last_event] == b"9"
