import contextlib
import random
import subprocess
import sys

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from baobabwing.exceptions import WireError
from baobabwing.wire.authentication import open_sealed, seal
from baobabwing.wire.datagram import (
    MAX_DATAGRAM_BYTES,
    MAX_UPDATES,
    Datagram,
    DatagramKind,
    MemberRecord,
    decode,
    encode,
    record_size,
)
from baobabwing.wire.schema import load_schema

FIRST_USE_BY_MANY_THREADS = """
import threading
from baobabwing.wire.datagram import Datagram, encode

barrier = threading.Barrier(8)

def use():
    barrier.wait()
    encode(Datagram(kind=1, sender="x", incarnation=1, sequence=1))

threads = [threading.Thread(target=use) for _ in range(8)]
[thread.start() for thread in threads]
[thread.join() for thread in threads]
"""

texts = st.text(
    st.characters(exclude_categories=["Cs"], exclude_characters="\0"), max_size=40
)
names = texts.filter(bool)
numbers = st.integers(0, 2**64 - 1)
records = st.builds(
    MemberRecord,
    name=names,
    incarnation=numbers,
    state=st.integers(0, 255),
    refutation=st.integers(0, 2**32 - 1),
    zone=texts,
    region=texts,
    peer=texts,
    http=texts,
    work=texts,
    weight=st.integers(0, 2**16 - 1),
)
datagrams = st.builds(
    Datagram,
    kind=st.sampled_from(DatagramKind),
    sender=names,
    incarnation=numbers,
    sequence=numbers,
    configuration=numbers,
    holds=numbers,
    target=texts,
    answers=numbers,
    digest=numbers,
    updates=st.lists(records, max_size=3).map(tuple),
)


CODECS = pytest.mark.parametrize("codec", ["capnp", "packed"])


@CODECS
@seed(1)
@settings(derandomize=True, max_examples=150, deadline=None)
@given(datagram=datagrams)
def test_round_trip_and_size_estimate(codec, datagram):
    packed = encode(datagram, codec=codec)
    minimal = encode(
        Datagram(kind=1, sender="x", incarnation=0, sequence=0), codec=codec
    )
    texts = (datagram.sender, datagram.target)
    estimate = sum(record_size(record) for record in datagram.updates)
    # 120 bytes for the numbers of the header, and 25 % more for text that packs
    # badly.
    head = len(minimal) + 120 + sum(len(t.encode()) * 5 // 4 for t in texts)
    assert len(packed) <= head + estimate
    if len(packed) <= MAX_DATAGRAM_BYTES:
        assert decode(packed, codec=codec) == datagram


def example(codec):
    record = MemberRecord(name="x", incarnation=7, state=3, peer="127.0.0.1:1")
    return encode(
        Datagram(
            kind=DatagramKind.GOSSIP,
            sender="me",
            incarnation=1,
            sequence=2,
            updates=(record,) * 4,
        ),
        codec=codec,
    )


@CODECS
@settings(derandomize=True, max_examples=400, deadline=None)
@given(payload=st.binary(max_size=200))
def test_random_bytes_are_decoded_or_refused(codec, payload):
    with contextlib.suppress(WireError):
        assert isinstance(decode(payload, codec=codec), Datagram)


@CODECS
def test_damaged_datagrams_are_decoded_or_refused(codec):
    rng = random.Random(1)
    refusals = 0
    for _ in range(3000):
        damaged = bytearray(example(codec))
        for _ in range(rng.randint(1, 4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        try:
            decode(bytes(damaged[: rng.randint(1, len(damaged))]), codec=codec)
        except WireError:
            refusals += 1
    assert refusals > 1000


def test_list_that_claims_too_many_updates_is_refused():
    """A forged list of zero-sized elements can claim 500 million entries.

    Reading it entry by entry would block the receiving thread for minutes, and the
    node would be declared dead.
    """
    message = load_schema().Datagram.new_message(kind=1, sender="x")
    message.init("updates", MAX_UPDATES + 1)
    with pytest.raises(WireError):
        decode(message.to_bytes_packed())


@CODECS
@pytest.mark.parametrize("payload", [b"", b"\0" * (MAX_DATAGRAM_BYTES + 1)])
def test_wrong_sizes_are_refused(codec, payload):
    with pytest.raises(WireError):
        decode(payload, codec=codec)


@CODECS
@pytest.mark.parametrize(
    "datagram",
    [
        Datagram(kind=1, sender="", incarnation=1, sequence=1),
        Datagram(kind=1, sender="x" * 65, incarnation=1, sequence=1),
        Datagram(kind=200, sender="x", incarnation=1, sequence=1),
    ],
)
def test_values_out_of_bounds_are_refused(codec, datagram):
    with pytest.raises(WireError):
        decode(encode(datagram, codec=codec), codec=codec)


def test_first_use_by_several_threads_at_once():
    """Guards against an occasional crash at start with "terminate called".

    The receiving and the probing thread used the schema for the first time at the
    same moment, and pycapnp terminates a process that loads a schema twice.
    """
    for _ in range(3):
        subprocess.run([sys.executable, "-c", FIRST_USE_BY_MANY_THREADS], check=True)


@CODECS
def test_numbers_out_of_range_are_not_encoded(codec):
    with pytest.raises(WireError):
        encode(Datagram(kind=1, sender="x", incarnation=-1, sequence=1), codec=codec)


def test_tag_is_verified_against_all_secrets():
    sealed = seal((b"new", b"old"), b"data", purpose=b"p")
    assert open_sealed((b"old", b"new"), sealed, purpose=b"p") == b"data"
    for secrets, data, purpose in (
        ((b"old",), sealed, b"p"),
        ((b"new",), sealed, b"q"),
        ((b"new",), sealed[:-1] + b"x", b"p"),
        ((b"new",), sealed[:16], b"p"),
        ((), sealed, b"p"),
    ):
        with pytest.raises(WireError):
            open_sealed(secrets, data, purpose=purpose)


@pytest.mark.parametrize("secrets", [(), (b"",)])
def test_nothing_is_sealed_without_a_secret(secrets):
    with pytest.raises(WireError):
        seal(secrets, b"data", purpose=b"p")
