"""Connections between nodes carry calls, replies and one-way messages."""

import threading

import pytest

from baobabwing.bench.ports import free_port
from baobabwing.exceptions import PeerError, WireError
from baobabwing.wire.codec import decode, encode
from baobabwing.wire.messages import (
    ConfigurationNotice,
    InflightAnswer,
    InflightItem,
    PermitDecision,
    PermitRequest,
    WhereAnswer,
    WhereQuery,
)
from baobabwing.wire.peers import PeerClients, PeerServer

KEYS = (b"first-secret-of-the-fleet", b"second-secret-of-the-fleet")


def serve(address, handler, keys=KEYS, **kwargs):
    server = PeerServer(
        listen=address,
        name="home",
        incarnation=7,
        keys=keys,
        handler=handler,
        **kwargs,
    )
    server.start()
    return server


def clients(keys=KEYS):
    return PeerClients(name="entry", incarnation=3, keys=keys)


def free_address():
    return f"127.0.0.1:{free_port()}"


def test_messages_round_trip_through_the_codec():
    request = PermitRequest(
        request_id="r1",
        cell="assistant/0",
        organisation="salon",
        tier_rank=2,
        budget_ms=900,
        prompt_tokens=12,
        output_tokens=5,
        prefix=(2**63 + 1, 4),
        exclude=("e1",),
        weight=0.5,
    )
    answer = InflightAnswer(items=(InflightItem(request_id="r", upstream="e"),))
    assert decode(encode(request, correlation=9)) == (9, request)
    assert decode(encode(answer)) == (0, answer)


def test_undecodable_bytes_raise_a_wire_error():
    with pytest.raises(WireError):
        decode(b"\xff" * 40)


def test_replies_in_reverse_order_reach_their_calls():
    """Guards against a caller receiving the reply meant for another caller.

    Two calls wait at the server, which answers the second one first. Replies must
    be matched by correlation number, not by order of arrival.
    """
    calls = []
    both_arrived = threading.Event()

    def handler(caller, message):
        calls.append((caller, message))
        if len(calls) == 2:
            for waiting_caller, query in reversed(calls):
                waiting_caller.reply(WhereAnswer(known=True, upstream=query.key))
            both_arrived.set()

    address = free_address()
    server = serve(address, handler)
    peers = clients()
    first = peers.call(address, WhereQuery(key="one", pool="p"))
    second = peers.call(address, WhereQuery(key="two", pool="p"))
    assert both_arrived.wait(5)
    assert server.traffic_bytes() > 0
    assert peers.traffic_bytes() > 0
    assert first.result(5).upstream == "one"
    assert second.result(5).upstream == "two"
    peers.close()
    server.stop()


def test_a_peer_without_the_key_is_refused():
    address = free_address()
    server = serve(address, lambda caller, message: None)
    unauthenticated = clients(keys=(b"not-the-secret-of-this-fleet",))
    with pytest.raises(PeerError):
        unauthenticated.call(address, WhereQuery(key="k", pool="p"))
    server.stop()


def test_keys_can_be_rotated_while_nodes_have_different_first_keys():
    address = free_address()
    server = serve(address, lambda c, m: WhereAnswer(known=False), keys=KEYS)
    peers = clients(keys=KEYS[::-1])
    reply = peers.call_and_wait(address, WhereQuery(key="k", pool="p"), timeout_s=5)
    assert reply == WhereAnswer(known=False)
    peers.close()
    server.stop()


def test_call_fails_at_once_when_the_peer_dies_and_the_next_one_reconnects():
    """Guards against a caller waiting until its deadline for a dead peer.

    The peer dies while a call waits there. The lost connection must fail the call,
    and the next call must connect to the new peer at the same address.
    """
    address = free_address()
    arrived = threading.Event()
    lost = threading.Event()
    server = serve(
        address, lambda c, m: arrived.set(), on_disconnect=lambda *args: lost.set()
    )
    peers = clients()
    future = peers.call(address, WhereQuery(key="k", pool="p"))
    assert arrived.wait(5)
    server.stop()
    with pytest.raises(PeerError):
        future.result(5)
    assert lost.wait(5)
    restarted = serve(
        address, lambda c, m: PermitDecision(request_id="r", granted=True)
    )
    reply = peers.call_and_wait(address, WhereQuery(key="k", pool="p"), timeout_s=5)
    assert reply.granted
    peers.close()
    restarted.stop()


def test_handler_error_is_returned_and_the_connection_continues():
    address = free_address()

    def handler(caller, message):
        if isinstance(message, ConfigurationNotice):
            raise ValueError("boom")
        return WhereAnswer(known=True)

    server = serve(address, handler)
    peers = clients()
    with pytest.raises(PeerError):
        peers.call_and_wait(address, ConfigurationNotice(version=1), timeout_s=5)
    assert peers.call_and_wait(
        address, WhereQuery(key="k", pool="p"), timeout_s=5
    ).known
    peers.close()
    server.stop()
