"""Load reports between nodes: packed, lost, doubled, and out of order."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabwing.exceptions import WireError
from baobabwing.gateway.decisions.tracking import Outstanding
from baobabwing.gateway.model import EngineSpec, PoolSpec, UpstreamEntry
from baobabwing.gateway.report_codec import (
    Hello,
    Load,
    LoadReport,
    Used,
    crc,
    decode,
    encode_hello,
    encode_report,
    wrapped_difference,
)
from baobabwing.gateway.reports import Peers
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.gateway.state import GatewayState
from tests.gateway.bed import default_configuration

HELLO = Hello(
    name="b", incarnation=5, callers="x:1", reports="x:2", peers="x:3", zone="z"
)


def peers(name="a"):
    settings_ = GatewaySettings(name=name, callers="y:1", reports="y:2", peers="y:3")
    state = GatewayState(settings=settings_, rng=None)
    pool = PoolSpec(name="p", engine=EngineSpec(slots=4, kv_tokens=1000))
    state.take_configuration(
        default_configuration(pools=(pool,), routes=()), source="test"
    )
    state.take_upstreams(
        [UpstreamEntry(instance="i-1", pool="p", address="u:1", slots=4)],
        source="test",
    )
    made = Peers(
        state=state,
        incarnation=1,
        versions=lambda: {"configuration": 7, "upstreams": 9},
    )
    return made, state.pools["p"].scheduler.tracks["i-1"]


def report(number, requests, *, whole=True, incarnation=5):
    return encode_report(
        LoadReport(
            node=crc("b"),
            incarnation=incarnation,
            number=number,
            whole=whole,
            ready=True,
            loads=(Load(upstream=crc("i-1"), requests=requests, prompt_tokens=160),),
        )
    )


def take(made, *datagrams):
    for data in datagrams:
        made.datagram_received(data, ("x", 2))
    made._take_stock()


def test_what_is_packed_is_unpacked():
    sent = LoadReport(
        node=1,
        incarnation=2**40,
        number=3,
        whole=True,
        ready=True,
        configuration=11,
        upstreams=12,
        loads=(Load(upstream=4, requests=5, prompt_tokens=160),),
        used=(Used(organisation=6, units=7, excess=8),),
    )
    assert decode(encode_report(sent)) == sent
    assert decode(encode_hello(HELLO)) == HELLO


@settings(max_examples=200, deadline=None, derandomize=True)
@given(data=st.binary(max_size=80))
def test_other_bytes_are_an_error_of_their_own(data):
    try:
        decode(data)
    except WireError:
        return


@pytest.mark.parametrize(
    ("now", "before", "difference"),
    [(10, 4, 6), (4, 10, -6), (3, 2**32 - 2, 5), (2**32 - 2, 3, -5)],
)
def test_counters_that_wrap(now, before, difference):
    assert wrapped_difference(now, before) == difference


def test_loads_of_a_peer_count_and_changes_are_taken_at_once():
    made, track = peers()
    take(made, encode_hello(HELLO), report(1, 2))
    assert (track.others, track.others_prompt) == (2, 160)
    made.datagram_received(report(2, 3, whole=False), ("x", 2))
    assert track.others == 3


def test_older_and_doubled_reports_are_dropped():
    """Datagrams overtake each other, and one comes twice."""
    made, track = peers()
    take(made, encode_hello(HELLO), report(3, 4), report(2, 1), report(3, 1))
    assert track.others == 4


def test_peer_that_was_started_anew_counts_from_nothing():
    """A peer is killed with requests at an upstream, and starts again.

    Its old reports arrive late. What its old process had there is gone with it.
    """
    made, track = peers()
    take(made, encode_hello(HELLO), report(9, 4))
    take(made, report(1, 0, incarnation=6), report(10, 4))
    assert track.others == 0


def test_unknown_node_is_not_taken_before_its_hello():
    made, track = peers()
    take(made, report(1, 2))
    assert track.others == 0


def test_report_names_what_this_node_has():
    made, track = peers()
    track.begin(1, Outstanding(prompt_tokens=100, since=0.0, predicted_s=0.1))
    sent = decode(encode_report(made._whole_report()))
    assert sent.loads == (Load(upstream=crc("i-1"), requests=1, prompt_tokens=112),)
    assert (sent.configuration, sent.upstreams) == (7, 9)
