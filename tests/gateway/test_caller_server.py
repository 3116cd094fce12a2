"""Requests of callers: size limits, framing and malformed bytes."""

import asyncio

import pytest

from baobabwing.gateway.model import CallerLimits
from baobabwing.standins.gateway_upstream import Behaviour
from tests.gateway.harness import (
    NAMES,
    GatewayHarness,
    ask,
    default_configuration,
    eventually,
    organisation,
)

_STREAM = Behaviour(events=20, gap_s=0.02)
SMUGGLED = b"GET /safe/smuggled HTTP/1.1\r\nHost: api.example\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"Content-Length: 4\r\nContent-Length: 60\r\n", b"400"),
        (b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", b"400"),
        (b"Content-Length: 4, 60\r\n", b"400"),
        (b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", b"501"),
        (b"Content-Length: +4\r\n", b"400"),
        (b"Host: other.example\r\n", b"400"),
    ],
)
def test_request_whose_length_can_be_read_in_two_ways_is_refused(run, head, status):
    """Guards against request smuggling by two different lengths.

    A reader that took the other length would run the hidden request. The request must
    be refused, the connection closed, and nothing may reach an upstream.
    """

    async def scenario():
        async with GatewayHarness() as harness:
            start = b"POST /safe/x HTTP/1.1\r\nHost: api.example\r\n"
            conn = await harness.caller()
            await conn.write(start + head + b"\r\nbody" + SMUGGLED)
            await eventually(lambda: conn.gone, "end of the connection")
            assert conn.http.trailing_data[0].split(b" ")[1] == status
            assert not [
                seen for up, _ in harness.upstreams.values() for seen in up.seen
            ]

    run(scenario())


def test_body_over_its_bound(run):
    async def scenario():
        limits = CallerLimits(body_bytes=1000)
        async with GatewayHarness(default_configuration(limits=limits)) as harness:
            conn = await harness.caller()
            answer = await ask(conn, "/safe/x", "b1", body=b"x" * 1001)
            assert answer.status == 413
            assert harness.seen("b1") == []
            conn = await harness.caller()
            assert (await ask(conn, "/safe/x", "b2", body=b"x" * 1000)).status == 200

    run(scenario())


def test_head_over_its_bound(run):
    async def scenario():
        limits = CallerLimits(head_bytes=1000)
        async with GatewayHarness(default_configuration(limits=limits)) as harness:
            conn = await harness.caller()
            answer = await ask(
                conn, "/safe/x", "h1", headers=[(b"X-Long", b"x" * 2000)]
            )
            assert answer.status == 431
            assert harness.seen("h1") == []

    run(scenario())


def test_head_that_takes_too_long(run):
    """A caller sends half a head and stops.

    After the timeout for heads it must get 408 and the connection must close, so that
    it does not occupy a connection.
    """

    async def scenario():
        limits = CallerLimits(head_timeout_s=0.2, idle_timeout_s=0.2)
        async with GatewayHarness(default_configuration(limits=limits)) as harness:
            conn = await harness.caller()
            await conn.write(b"GET /safe/x HTTP/1.1\r\nHost:")
            await eventually(lambda: conn.gone, "end of the connection")
            assert b" 408 " in conn.http.trailing_data[0].split(b"\r\n")[0]

    run(scenario())


def test_idle_connection_closes_without_an_answer(run):
    async def scenario():
        limits = CallerLimits(idle_timeout_s=0.1)
        async with GatewayHarness(default_configuration(limits=limits)) as harness:
            conn = await harness.caller()
            await eventually(lambda: conn.gone, "end of the connection")
            assert conn.received == 0

    run(scenario())


def test_chunked_body_is_forwarded_whole(run):
    async def scenario():
        async with GatewayHarness() as harness:
            conn = await harness.caller()
            await conn.write(
                b"POST /unsafe/x HTTP/1.1\r\nHost: api.example\r\n"
                + NAMES.request_id
                + b": k1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
            )
            await eventually(lambda: harness.runs("k1") == 1)
            (seen,) = harness.seen("k1")
            assert seen.body == b"hello world"

    run(scenario())


def test_key_is_required_and_never_forwarded(run):
    """The organisation header is set from the caller's key.

    The upstream must get that name, whatever header the caller sends, and never the
    key. An unknown key, or none, gets 401.
    """

    async def scenario():
        cfg = default_configuration(
            organisations=(organisation("acme", "secret"),), keys_required=True
        )
        async with GatewayHarness(cfg) as harness:
            conn = await harness.caller()
            headers = [(NAMES.key, b"secret"), (NAMES.organisation, b"other")]
            assert (await ask(conn, "/safe/x", "k1", headers=headers)).status == 200
            (seen,) = harness.seen("k1")
            assert seen.headers[NAMES.organisation] == b"acme"
            assert NAMES.key not in seen.headers
            for headers in ([], [(NAMES.key, b"wrong")]):
                answer = await ask(conn, "/safe/x", "k2", headers=headers)
                assert answer.status == 401
            assert harness.seen("k2") == []

    run(scenario())


def test_revoked_key(run):
    """A new configuration no longer contains a key.

    A caller with an open connection must be refused from then on too.
    """

    async def scenario():
        with_key = default_configuration(
            organisations=(organisation("acme", "secret"),), keys_required=True
        )
        without = default_configuration(
            2, organisations=(organisation("acme", "new"),), keys_required=True
        )
        async with GatewayHarness(with_key) as harness:
            conn = await harness.caller()
            headers = [(NAMES.key, b"secret")]
            assert (await ask(conn, "/safe/x", "r1", headers=headers)).status == 200
            harness.gateway.state.take_configuration(without, source="test")
            assert (await ask(conn, "/safe/x", "r2", headers=headers)).status == 401

    run(scenario())


def test_older_configuration_is_ignored(run):
    """A lagging source offers the version before the one in force.

    If it were applied, removed routes would come back for a while.
    """

    async def scenario():
        async with GatewayHarness(default_configuration(5)) as harness:
            older = default_configuration(4, routes=())
            assert not harness.gateway.state.take_configuration(older, source="test")
            conn = await harness.caller()
            assert (await ask(conn, "/safe/x", "v1")).status == 200

    run(scenario())


def test_leaving_node_answers_and_closes(run):
    """A node shuts down while a caller keeps a connection open.

    Its request must still be answered, with ``Connection: close``, and the node must
    no longer list its own address.
    """

    async def scenario():
        async with GatewayHarness() as harness:
            conn = await harness.caller()
            assert (await ask(conn, "/safe/x", "l1")).status == 200
            harness.gateway.leave()
            await eventually(lambda: not harness.gateway.state.ready, "leaving")
            answer = await ask(conn, "/safe/x", "l2")
            assert answer.status == 200
            assert answer.headers[b"connection"] == b"close"
            assert harness.gateway.addresses_for("") == []

    run(scenario())


def test_stream_completes_while_the_node_leaves(run):
    """A node shuts down in the middle of a stream.

    The caller must get the rest of it before the node stops.
    """

    async def scenario():
        async with GatewayHarness() as harness:
            harness.behaviour["engines"] = _STREAM
            conn = await harness.caller()
            answer = asyncio.ensure_future(ask(conn, "/stream/x", "s1"))
            await eventually(lambda: harness.runs("s1") == 1, "run")
            harness.gateway.leave()
            done = await answer
            assert done.whole
            assert done.body.count(b"id:") == 20

    run(scenario())


def test_caller_that_does_not_read_blocks_no_other(run):
    """A caller stops reading its stream; other callers must still be served.

    The gateway stops reading from the engine of that stream in turn.
    """

    async def scenario():
        async with GatewayHarness() as harness:
            harness.behaviour["engines"] = _STREAM
            slow = await harness.caller()
            slow.transport.pause_reading()
            await slow.write(
                b"POST /stream/x HTTP/1.1\r\nHost: api.example\r\n"
                + NAMES.request_id
                + b": slow\r\nContent-Length: 0\r\n\r\n"
            )
            quick = await harness.caller()
            answer = await ask(quick, "/stream/x", "quick")
            assert answer.whole

    run(scenario())
