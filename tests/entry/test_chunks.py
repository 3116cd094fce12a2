"""Decoding of chunked coding with any block boundaries and malformed input."""

from __future__ import annotations

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from baobabwing.entry.chunks import (
    LAST_CHUNK,
    ChunkDecoder,
    ChunkError,
    encode_chunk,
)

PAYLOADS = st.lists(st.binary(min_size=1, max_size=40), max_size=6)


def decode(blocks: list[bytes]) -> tuple[bytes, ChunkDecoder]:
    decoder = ChunkDecoder(peer="engine")
    return b"".join([decoder.feed(block) for block in blocks]), decoder


def split_at(raw: bytes, positions: list[int]) -> list[bytes]:
    edges = [0, *sorted(position % (len(raw) + 1) for position in positions), len(raw)]
    return [raw[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@seed(1)
@settings(max_examples=300, database=None, deadline=None)
@given(payloads=PAYLOADS, positions=st.lists(st.integers(0, 500)), rest=st.binary())
def test_any_block_boundaries_yield_the_payload_and_the_rest(payloads, positions, rest):
    raw = b"".join(map(encode_chunk, payloads)) + LAST_CHUNK + rest
    body, decoder = decode(split_at(raw, positions))
    assert body == b"".join(payloads)
    assert decoder.done
    assert decoder.spare == rest


@seed(2)
@settings(max_examples=500, database=None, deadline=None)
@given(payloads=PAYLOADS, position=st.integers(0, 500), byte=st.integers(0, 255))
def test_a_changed_byte_never_yields_more_than_was_sent(payloads, position, byte):
    raw = bytearray(b"".join(map(encode_chunk, payloads)) + LAST_CHUNK)
    raw[position % len(raw)] = byte
    try:
        body, _ = decode([bytes(raw)])
    except ChunkError as exc:
        assert exc.peer == "engine"
    else:
        assert len(body) <= len(raw)


@seed(3)
@settings(max_examples=300, database=None, deadline=None)
@given(raw=st.binary(max_size=200), positions=st.lists(st.integers(0, 200), max_size=5))
def test_noise_decodes_the_same_for_any_block_boundaries(raw, positions):
    def outcome(blocks: list[bytes]) -> tuple[bytes, bool, bytes] | None:
        try:
            body, decoder = decode(blocks)
        except ChunkError:
            return None
        return body, decoder.done, decoder.spare

    assert outcome([raw]) == outcome(split_at(raw, positions))


@pytest.mark.parametrize(
    "raw",
    [
        b"\r\n",
        b"g\r\n",
        b"-1\r\n",
        b"+1\r\na\r\n",
        b"0x1\r\na\r\n",
        b"1_0\r\n",
        b" 1\r\na\r\n",
        b"1\na\r\n",
        b"1\r\nab\r\n",
        b"1\r\na\n",
        b"1000001\r\n",
        b"1;" + b"x" * 300 + b"\r\n",
        b"0\r\n" + b"a: b\r\n" * 2000,
    ],
)
def test_malformed_coding_is_refused(raw):
    with pytest.raises(ChunkError):
        decode([raw])


def test_extensions_and_trailers_are_skipped():
    body, decoder = decode([b"3;a=b\r\nabc\r\n0\r\nDigest: x\r\n\r\nnext"])
    assert body == b"abc"
    assert decoder.done
    assert decoder.spare == b"next"
