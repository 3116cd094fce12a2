"""Benchmark of relays: a minimal relay, one by the HTTP libraries, and the product's.

``python -m baobabwing.bench.relay_cost`` starts a source of streams, a sink that
opens them through a relay, and each relay in turn between them, all on loopback. It
prints the CPU time per token, the added time to the first token and the memory usage.
See ``docs/design/0002-relay.md``.
"""

from __future__ import annotations

import heapq
import json
import os
import selectors
import socket
import statistics
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path

import typer
import urllib3
from cheroot.server import Gateway, HTTPServer

from baobabwing.bench.ports import free_port
from baobabwing.bench.processes import ProcessGroup
from baobabwing.entry.chunks import LAST_CHUNK, encode_chunk
from baobabwing.entry.relay import relay_events
from baobabwing.entry.streams import finish_stream, start_stream
from baobabwing.entry.upstream import open_exchange

__all__ = ["Figures", "app"]

LOOPBACK = "127.0.0.1"
EVENT_TEXT = "word " * 4
BLOCK_BYTES = 65_536
BACKLOG = 1024
SPARE_THREADS = 30
STREAM_TYPE = "text/event-stream"
HEAD_END = b"\r\n\r\n"
EVENT_END = b"\n\n"
SOURCE_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\nX-Request-Id: {}\r\n\r\n"
)
DEADLINE_S = 120.0
WARM_UP_S = 2.0
# Rate of new streams opened beside the running ones, which is the load per node of
# 10,000 requests/s on 460 nodes, and a length that adds hardly any load.
PROBES_PER_S = 22
PROBE_TOKENS = 5
SINK_POLL_S = 0.002

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

_RELAYS: dict[str, Callable[[int, str, int], None]] = {}


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Measurements of one relay.

    :param tokens: tokens relayed during the measurement.
    :param seconds: duration of the measurement.
    :param cpu_us: CPU time of the relay process per token.
    :param rss_mb: peak resident memory at the end of the measurement.
    :param first_ms: times to the first token, in milliseconds.
    """

    tokens: int
    seconds: float
    cpu_us: float
    rss_mb: float
    first_ms: list[float] = field(repr=False)

    def first_p95(self) -> float:
        """Return the 95th percentile of the times to the first token."""
        return statistics.quantiles(self.first_ms, n=20)[-1]


def _relay(name: str) -> Callable[[Callable[[int, str, int], None]], Callable]:
    def register(run: Callable[[int, str, int], None]) -> Callable:
        _RELAYS[name] = run
        return run

    return register


@app.callback(invoke_without_command=True)
def measure(
    ctx: typer.Context,
    streams: int = 200,
    gap_ms: float = 50.0,
    seconds: float = 8.0,
    rounds: int = 1,
    relays: str = "bare,libraries,ours",
    memory_streams: int = 600,
) -> None:
    """Measure the relays in sequence and print one line for each."""
    if ctx.invoked_subcommand is not None:
        return
    names = relays.split(",")
    typer.echo(f"{streams} streams, {streams * 1000 / gap_ms:.0f} tokens/s offered")
    costs: dict[str, list[float]] = {name: [] for name in names}
    for _ in range(rounds):
        for name in names:
            figures = _run_trial(name, streams, gap_ms, seconds)
            costs[name].append(figures.cpu_us)
            typer.echo(
                f"{name:10} {figures.cpu_us:6.1f} us/token, "
                f"{figures.tokens / figures.seconds:6.0f} tokens/s relayed, "
                f"{figures.rss_mb:5.0f} MB"
            )
    if {"bare", "ours"} <= set(costs):
        ratio = statistics.median(costs["ours"]) / statistics.median(costs["bare"])
        typer.echo(f"ours / bare: {ratio:.2f}")
    _print_first_token(names, streams // 2, gap_ms, seconds)
    if "ours" in costs and memory_streams:
        _print_memory(memory_streams)


def _print_first_token(
    names: list[str], streams: int, gap_ms: float, seconds: float
) -> None:
    direct = _run_trial("direct", streams, gap_ms, seconds, probes=True).first_p95()
    for name in names:
        figures = _run_trial(name, streams, gap_ms, seconds, probes=True)
        typer.echo(
            f"{name:10} first token with {streams} streams open, p95: "
            f"{figures.first_p95():.2f} ms, direct {direct:.2f} ms, "
            f"added {figures.first_p95() - direct:.2f} ms "
            f"({len(figures.first_ms)} streams)"
        )


def _print_memory(streams: int) -> None:
    figures = _run_trial("ours", streams, 500.0, 3.0)
    with ProcessGroup() as group:
        idle = group.start_python("idle", ["-c", "import time; time.sleep(60)"])
        time.sleep(0.5)
        interpreter_mb = _rss_mb(idle.pid)
        group.kill("idle")
    typer.echo(
        f"{streams} open streams: {figures.rss_mb:.0f} MB, plain interpreter "
        f"{interpreter_mb:.0f} MB, beyond it {figures.rss_mb - interpreter_mb:.0f} MB"
    )


def _run_trial(
    name: str, streams: int, gap_ms: float, seconds: float, *, probes: bool = False
) -> Figures:
    """Run one relay with all streams open.

    :param probes: whether to open new short streams beside them.
    """
    tokens = int((seconds + 2 * WARM_UP_S) * 1000 / gap_ms) + 1
    module = ["-m", __spec__.name if __spec__ else "baobabwing.bench.relay_cost"]
    with ProcessGroup() as group:
        source = free_port()
        started = group.start_python(
            "source", [*module, "source", str(source), str(tokens), str(gap_ms)]
        )
        group.wait_ready("source", lambda: _is_listening(source))
        port = source
        if name != "direct":
            port = free_port()
            arguments = ["relay", name, str(port), str(source), str(streams)]
            started = group.start_python("relay", [*module, *arguments])
            group.wait_ready("relay", lambda: _is_listening(port))
        load = [str(started.pid), str(streams), str(seconds), str(int(probes))]
        sink = group.start_python("sink", [*module, "sink", str(port), *load])
        sink.popen.wait(DEADLINE_S)
        output = sink.log.read_text()
        for process_name in ("relay", "source"):
            if process_name in group.names():
                group.kill(process_name)
    try:
        return Figures(**json.loads(output))
    except ValueError:
        raise SystemExit(f"{name}: the sink failed: {output[-2000:]}") from None


def _is_listening(port: int) -> bool:
    try:
        socket.create_connection((LOOPBACK, port), timeout=1).close()
    except OSError:
        return False
    return True


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) / 1024


@app.command(hidden=True)
def source(port: int, tokens: int, gap_ms: float) -> None:
    """Send a stream of evenly spaced events in response to each request."""
    listener = socket.create_server((LOOPBACK, port), backlog=BACKLOG)
    listener.setblocking(False)
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    due: list[tuple[float, int, _SourceStream]] = []
    while True:
        wait_s = max(0.0, due[0][0] - time.monotonic()) if due else None
        for key, _ in selector.select(wait_s):
            if key.fileobj is listener:
                _accept(listener, selector)
            else:
                _read_request(key.fileobj, selector, due)
        now = time.monotonic()
        while due and due[0][0] <= now:
            at, fd, stream = heapq.heappop(due)
            if stream.send_next(tokens):
                heapq.heappush(due, (at + gap_ms / 1000, fd, stream))


def _accept(listener: socket.socket, selector: selectors.BaseSelector) -> None:
    conn, _ = listener.accept()
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    selector.register(conn, selectors.EVENT_READ)


def _read_request(
    conn: socket.socket,
    selector: selectors.BaseSelector,
    due: list[tuple[float, int, _SourceStream]],
) -> None:
    try:
        head = conn.recv(BLOCK_BYTES).decode("latin-1")
    except OSError:
        head = ""
    if not head:
        selector.unregister(conn)
        conn.close()
        return
    headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2])
    limit = int(headers.get("x-tokens", 0))
    stream = _SourceStream(conn=conn, attempt_id=headers["x-request-id"], limit=limit)
    heapq.heappush(due, (time.monotonic(), conn.fileno(), stream))


class _SourceStream:
    """Stream that the source sends on a connection."""

    def __init__(self, *, conn: socket.socket, attempt_id: str, limit: int) -> None:
        self._limit = limit
        self._conn = conn
        self._attempt_id = attempt_id
        self._next = 0

    def send_next(self, tokens: int) -> bool:
        """Send the next event and return whether there are more.

        :param tokens: length of the stream if its request specifies none.
        """
        tokens = self._limit or tokens
        text = {
            "id": self._attempt_id,
            "object": "text_completion",
            "created": 1,
            "model": "model",
            "choices": [{"index": 0, "text": EVENT_TEXT, "finish_reason": None}],
        }
        event = f"id: {self._next}\ndata: {json.dumps(text)}\n\n".encode()
        output = encode_chunk(event)
        if not self._next:
            output = SOURCE_HEAD.format(self._attempt_id).encode() + output
        self._next += 1
        if self._next == tokens:
            output += encode_chunk(b"data: [DONE]\n\n") + LAST_CHUNK
        try:
            self._conn.send(output)
        except OSError:
            return False
        return self._next < tokens


@app.command(hidden=True)
def sink(port: int, pid: int, streams: int, seconds: float, probes: int) -> None:
    """Keep streams open through a relay and print the measurements as JSON."""
    client = _Sink(port=port, streams=streams)
    client.run(WARM_UP_S)
    cpu_before_s, tokens, start = _cpu_s(pid), client.tokens, time.monotonic()
    client.first_ms.clear()
    if probes:
        client.probe()
    client.run(seconds)
    cpu_spent_s, tokens = _cpu_s(pid) - cpu_before_s, client.tokens - tokens
    figures = Figures(
        tokens=tokens,
        seconds=time.monotonic() - start,
        cpu_us=cpu_spent_s / max(tokens, 1) * 1e6,
        rss_mb=_rss_mb(pid),
        first_ms=client.first_ms,
    )
    sys.stdout.write(json.dumps(asdict(figures)))


class _Sink:
    """Single-threaded client that reads many streams."""

    def __init__(self, *, port: int, streams: int) -> None:
        self.tokens = 0
        self.first_ms: list[float] = []
        self._port = port
        self._selector = selectors.DefaultSelector()
        self._opened = 0
        self._pending = streams
        self._tokens = 0
        self._open_interval_s = WARM_UP_S / 2 / streams
        self._open_at = time.monotonic()

    def probe(self) -> None:
        """Open short streams at a constant rate from now on."""
        self._pending = sys.maxsize
        self._open_interval_s = 1 / PROBES_PER_S
        self._tokens = PROBE_TOKENS
        self._open_at = time.monotonic()

    def run(self, seconds: float) -> None:
        """Read streams for a period of time and open those that are due."""
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            if self._pending and now >= self._open_at:
                self._open()
            for key, _ in self._selector.select(SINK_POLL_S):
                self._read(key)

    def _open(self) -> None:
        self._pending -= 1
        self._opened += 1
        self._open_at += self._open_interval_s
        conn = socket.create_connection((LOOPBACK, self._port))
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        at = time.monotonic()
        conn.sendall(
            b"GET /v1/completions HTTP/1.1\r\nHost: relay\r\n"
            b"X-Request-Id: attempt-%d\r\nX-Tokens: %d\r\n\r\n"
            % (self._opened, self._tokens)
        )
        conn.setblocking(False)
        self._selector.register(conn, selectors.EVENT_READ, [at])

    def _read(self, key: selectors.SelectorKey) -> None:
        block = key.fileobj.recv(BLOCK_BYTES)
        events = block.count(EVENT_END)
        self.tokens += events
        if events and key.data:
            self.first_ms.append((time.monotonic() - key.data.pop()) * 1000)
        if not block or block.endswith(LAST_CHUNK):
            self._selector.unregister(key.fileobj)
            key.fileobj.close()


@app.command(hidden=True)
def relay(name: str, port: int, source_port: int, streams: int) -> None:
    """Run one of the compared relays."""
    _RELAYS[name](port, f"{LOOPBACK}:{source_port}", streams)


@_relay("bare")
def _run_bare(port: int, address: str, streams: int) -> None:
    listener = socket.create_server((LOOPBACK, port), backlog=BACKLOG)
    host, _, upstream_port = address.rpartition(":")
    while True:
        conn, _ = listener.accept()
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        target = (host, int(upstream_port))
        threading.Thread(
            target=_relay_connection, args=(conn, target), daemon=True
        ).start()


def _relay_connection(conn: socket.socket, target: tuple[str, int]) -> None:
    with conn:
        head = conn.recv(BLOCK_BYTES)
        if not head:
            return
        with socket.create_connection(target) as upstream:
            upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            upstream.sendall(head)
            while block := upstream.recv(BLOCK_BYTES):
                conn.sendall(block)


@_relay("libraries")
def _run_libraries(port: int, address: str, streams: int) -> None:
    pool = urllib3.PoolManager(maxsize=streams)

    class LibraryGateway(Gateway):
        def respond(self) -> None:
            response = pool.request(
                "GET",
                f"http://{address}/v1/completions",
                headers=_forwarded_headers(self.req),
                preload_content=False,
            )
            self.req.status = b"200 OK"
            self.req.outheaders.append((b"Content-Type", STREAM_TYPE.encode()))
            self.req.ensure_headers_sent()
            for block in response.stream():
                self.req.write(block)
            response.release_conn()

    _serve(port, streams, LibraryGateway)


@_relay("ours")
def _run_ours(port: int, address: str, streams: int) -> None:
    class RelayGateway(Gateway):
        def respond(self) -> None:
            headers = _forwarded_headers(self.req)
            answer = open_exchange(
                address=address,
                method="GET",
                target="/v1/completions",
                headers=headers,
                body=None,
                timeout_s=DEADLINE_S,
                caller_socket=self.req.conn.socket,
            )
            relay_events(
                answer=answer,
                caller_socket=self.req.conn.socket,
                expect_id=headers["X-Request-Id"],
                before_first=lambda: start_stream(
                    self.req, [(b"Content-Type", STREAM_TYPE.encode())]
                ),
            )
            finish_stream(self.req)

    _serve(port, streams, RelayGateway)


def _forwarded_headers(req: object) -> dict[str, str]:
    names = (b"X-Request-Id", b"X-Tokens")
    return {name.decode(): req.inheaders[name].decode() for name in names}


def _serve(port: int, streams: int, gateway: type[Gateway]) -> None:
    server = HTTPServer((LOOPBACK, port), gateway, minthreads=streams + SPARE_THREADS)
    server.request_queue_size = BACKLOG
    server.safe_start()


if __name__ == "__main__":
    app()
