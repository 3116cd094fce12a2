"""Relays whole streams, cut streams, foreign streams, to callers of all kinds."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterable
from contextlib import contextmanager

from baobabwing.entry.chunks import ChunkDecoder, encode_chunk
from baobabwing.entry.relay import RelayReport, relay_events
from baobabwing.entry.upstream import UpstreamAnswer, open_exchange

ATTEMPT = "attempt-1"
END = encode_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\nX-Request-Id: %b\r\n\r\n"
)


def event(number: int, attempt: str = ATTEMPT) -> bytes:
    return b'id: %d\ndata: {"id": "%b", "text": "w%d"}\n\n' % (
        number,
        attempt.encode(),
        number,
    )


def stream(count: int, first: int = 0) -> bytes:
    events = (encode_chunk(event(n)) for n in range(first, count))
    return b"".join(events) + END


@contextmanager
def upstream(blocks: Iterable[bytes], attempt: str = ATTEMPT):
    """Answer one request with a head and the blocks, then close."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        conn, _ = listener.accept()
        with conn:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while not conn.recv(65536).endswith(b"\r\n\r\n"):
                pass
            conn.sendall(HEAD % attempt.encode())
            for block in blocks:
                conn.sendall(block)

    thread = threading.Thread(target=serve)
    thread.start()
    host, port = listener.getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        thread.join(30)
        listener.close()


def ask(address: str) -> UpstreamAnswer:
    return open_exchange(
        address=address,
        method="GET",
        target="/",
        headers={"X-Request-Id": ATTEMPT},
        body=None,
        timeout_s=10,
    )


@contextmanager
def caller_pair():
    listener = socket.create_server(("127.0.0.1", 0))
    far = socket.create_connection(listener.getsockname())
    near, _ = listener.accept()
    listener.close()
    with near, far:
        yield near, far


def read_all(far: socket.socket) -> bytes:
    parts = []
    while part := far.recv(65536):
        parts.append(part)
    return b"".join(parts)


def decoded(raw: bytes) -> bytes:
    decoder = ChunkDecoder()
    body = decoder.feed(raw)
    assert decoder.done
    assert decoder.spare == b""
    return body


def relayed(blocks: Iterable[bytes], **options) -> tuple[RelayReport, bytes]:
    """Relay to a caller who reads at the end; streams here fit its buffers."""
    with caller_pair() as (near, far), upstream(blocks) as address:
        report = relay_events(
            answer=ask(address), caller_socket=near, expect_id=ATTEMPT, **options
        )
        near.shutdown(socket.SHUT_WR)
        return report, read_all(far)


def test_whole_stream_reaches_the_caller():
    report, raw = relayed([stream(20)])
    expected = b"".join(event(n) for n in range(20)) + b"data: [DONE]\n\n"
    assert decoded(raw) == expected
    assert report.whole
    assert report.next_id == 20
    assert report.sent_bytes == len(raw)
