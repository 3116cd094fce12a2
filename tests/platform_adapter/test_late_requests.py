"""Requests of all kinds at a node, as a real process, until the end of its stop."""

import asyncio
import random
import signal
import time
from dataclasses import dataclass

import pytest

from baobabwing.standins.gateway_upstream import Behaviour
from baobabwing_platform.dialect import HEADERS
from tests.platform_adapter import demo

GRACE_S = 8.0
# Later requests may not be cut, and earlier ones only if their worker is still at work
# in the last part of the shutdown.
EXCUSED_S, LAST_SHARE = 3.0, 1 / 6
# Most requests are sent around the bound for excuses; before, only usual ones.
FEW_S, MANY_S, DENSE_S = 0.1, 0.03, (2.8, 4.4)
GAP_S = 0.02
WAIT_S = 12.0
CONFIG_S = 1.0
KEPT = 60
LATE_S, LOST_S = 0.4, 0.2


def tokens(expected, most):
    return [(HEADERS.length_hint, b"%d" % expected), (HEADERS.tokens, b"9,%d" % most)]


STREAMS = {
    "short": (tokens(12, 20), Behaviour(events=12, gap_s=GAP_S)),
    "long": (tokens(36, 400), Behaviour(events=288, gap_s=GAP_S)),
    "silent": (
        tokens(10, 20),
        Behaviour(events=10, gap_s=GAP_S, stall_after=5, stall_s=1.2),
    ),
    "unstated": ([], Behaviour(events=288, gap_s=GAP_S)),
    "broken": (tokens(12, 20), Behaviour(events=12, gap_s=GAP_S, cut_after=5)),
}
PLAIN = {
    "fast": ([], Behaviour(delay_s=0.005)),
    "slow": ([], Behaviour(delay_s=4.0)),
    "unframed": ([], Behaviour(unframed=True)),
    "fails": ([], Behaviour(status=500, delay_s=0.2)),
    "broken": ([], Behaviour(cut_after=1, delay_s=0.5)),
    "mute": ([], Behaviour(mute=True)),
}
GROUPS = {
    "calls": {
        f"{route}-{name}": kind
        for route in ("safe", "unsafe")
        for name, kind in PLAIN.items()
    },
    "streams": {
        f"{route}-{name}": kind
        for route in ("stream", "once", "feed")
        for name, kind in STREAMS.items()
    },
}
KINDS = GROUPS["calls"] | GROUPS["streams"]
MODES = ("new", "kept", "pipelined", "slow body")


@dataclass(kw_only=True)
class Sent:
    """A request as its caller saw it."""

    name: str
    kind: str
    mode: str
    at: float
    status: int = 0
    closes: bool = False
    cut_at: float = 0.0


def configuration():
    """Add streams that may not be resumed, and ones of a service without slots."""
    answer = demo.configuration(2)
    stream = next(route for route in answer["routes"] if route["name"] == "stream")
    for name, service in (("once", "engines"), ("feed", "services")):
        answer["routes"].append(
            {
                **stream,
                "name": name,
                "prefix": f"/{name}/",
                "service": service,
                "resumable": False,
            }
        )
    return answer


def request_bytes(sent):
    headers = [
        *demo.request_headers(sent.name, demo.KEY, deadline_s=WAIT_S),
        *KINDS[sent.kind][0],
        (b"Content-Length", b"%d" % len(sent.kind)),
    ]
    route = sent.kind.partition("-")[0]
    lines = [b"POST /%b/x HTTP/1.1" % route.encode()]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + sent.kind.encode()


async def read_answer(reader, sent):
    """Note the status of a whole answer, and whether it is the last one."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        if b"transfer-encoding: chunked" in head:
            while size := int(await reader.readline(), 16):
                await reader.readexactly(size + 2)
            await reader.readline()
        else:
            length = head.partition(b"content-length:")[2].split(b"\r\n")[0]
            await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        sent.cut_at = time.monotonic()
        return
    sent.closes = b"connection: close" in head
    sent.status = int(head.split()[1])


class Callers:
    """Callers of one node, each with one connection, and what they saw."""

    def __init__(self):
        self.address = ""
        self._kept = []
        self.sent = []

    async def connect(self):
        host, _, port = self.address.partition(":")
        return await asyncio.open_connection(host, int(port))

    async def keep(self, count):
        self._kept += [await self.connect() for _ in range(count)]

    def close(self):
        for _, writer in self._kept:
            writer.close()

    def new(self, kind, mode):
        name = f"{len(self.sent)}"
        self.sent.append(Sent(name=name, kind=kind, mode=mode, at=time.monotonic()))
        return self.sent[-1]

    async def ask(self, kind, mode, second_kind=""):
        sent = [self.new(kind, mode)]
        if mode == "pipelined":
            sent.append(self.new(second_kind, mode))
        try:
            reader, writer = (
                self._kept.pop()
                if mode == "kept" and self._kept
                else await self.connect()
            )
            if mode == "slow body":
                text = request_bytes(sent[0])
                writer.write(text[:-3])
                for number in (3, 2, 1):
                    await asyncio.sleep(0.2)
                    sent[0].at = time.monotonic()
                    writer.write(text[len(text) - number :][:1])
            else:
                writer.write(b"".join(map(request_bytes, sent)))
            async with asyncio.timeout(WAIT_S):
                for one in sent:
                    await read_answer(reader, one)
                    if not one.status:
                        break
            if mode == "kept" and sent[-1].status and not sent[-1].closes:
                self._kept.append((reader, writer))
            else:
                writer.close()
        except OSError:
            return


def unanswered(deployment, callers, stopped_at):
    """Return the passed-on requests without an answer that the rule counts."""
    times, began = deployment.work_times(), dict(deployment.run_starts())
    last_s = GRACE_S * (1 - LAST_SHARE)
    lost = []
    for sent in callers.sent:
        if sent.status or began.get(sent.name, 0.0) < stopped_at:
            continue
        sent_s = sent.at - stopped_at
        worked_until_s = max(end for _, end in times[sent.name]) - stopped_at
        broken = sent.kind.endswith("-broken")
        excused = sent_s <= EXCUSED_S and worked_until_s >= last_s
        if not excused and not broken:
            lost.append((sent.kind, sent.mode, round(sent_s, 2), worked_until_s))
    return lost


def dropped(deployment, callers):
    """Return the requests that were not passed on and got no answer.

    Those that cross the end of their connection are left out.
    """
    runs = deployment.runs()
    pairs = [one for one in callers.sent if one.mode == "pipelined"]
    behind = [
        (second.kind, second.mode, first.kind)
        for first, second in zip(pairs[::2], pairs[1::2], strict=True)
        if first.status and not second.status and not runs[second.name]
    ]
    return behind + [
        (sent.kind, sent.mode, sent.cut_at - sent.at)
        for sent in callers.sent
        if not runs[sent.name] and sent.cut_at > sent.at + LOST_S
    ]


async def send_until_the_end(callers, kinds, usual, rng, stopped_at):
    sent = []
    while (since_s := time.monotonic() - stopped_at) < GRACE_S:
        first, second = rng.choices(kinds if since_s > DENSE_S[0] else usual, k=2)
        asking = callers.ask(first, rng.choice(MODES), second)
        sent.append(asyncio.ensure_future(asking))
        dense = DENSE_S[0] < since_s < DENSE_S[1]
        await asyncio.sleep(MANY_S if dense else FEW_S)
    await asyncio.gather(*sent)


async def play(folder, group, *, late_s=0.0):
    """Return what was cut, and what was dropped, as one of two nodes stopped."""
    rng, kinds = random.Random(group), sorted(GROUPS[group])
    deployment = demo.Deployment(
        nodes=2, folder=folder, grace_s=GRACE_S, ttl_s=5, cut_streams=False
    )
    callers = Callers()
    try:
        await deployment.start()
        callers.address = deployment.callers[0]
        for worker in deployment.workers:
            worker.behave = lambda seen: KINDS[seen.body.decode()][1]
        deployment.store.write("op", "config", configuration())
        await asyncio.sleep(CONFIG_S)
        usual = [kind for kind in kinds if kind.endswith(("-fast", "-short"))]
        await asyncio.gather(*(callers.ask(kind, "new") for kind in 12 * usual))
        assert {sent.status for sent in callers.sent} == {200}
        await callers.keep(KEPT)
        # The node is at work, and does not end early.
        asyncio.ensure_future(callers.ask("stream-unstated", "new"))
        if late_s:
            deployment.send_signal(0, signal.SIGSTOP)
        stopped_at = time.monotonic()
        deployment.send_signal(0, signal.SIGTERM)
        await asyncio.sleep(late_s)
        deployment.send_signal(0, signal.SIGCONT)
        await send_until_the_end(callers, kinds, usual, rng, stopped_at)
        runs = deployment.runs()
        late = [one for one in callers.sent if one.at > stopped_at + EXCUSED_S]
        assert any(runs[one.name] for one in late)
        return unanswered(deployment, callers, stopped_at), dropped(deployment, callers)
    finally:
        callers.close()
        await deployment.stop()


@pytest.mark.parametrize("group", GROUPS)
def test_no_request_that_was_passed_on_late_in_a_stop_is_cut(tmp_path, group):
    """Streams of unknown length were cut, and requests behind others were dropped."""
    assert asyncio.run(play(tmp_path, group)) == ([], [])


def test_time_of_a_stop_runs_from_a_signal_that_is_handled_late(tmp_path):
    """Requests were taken, and the process killed, by the time that was left."""
    assert asyncio.run(play(tmp_path, "streams", late_s=LATE_S))[0] == []
