"""Faults and planned work that the soak draws, each a short story of its own."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from baobabwing.standins.gateway_upstream import Behaviour, SeenRequest
from baobabwing.standins.loopback_proxy import PathFault
from tests.platform_adapter.demo import BAD_PART, CRASH, SPARE_SERVICE
from tests.platform_adapter.soak.callers import LongStream
from tests.platform_adapter.soak.checks import Kind, StatedLimit
from tests.platform_adapter.standin_store import StoreFault

if TYPE_CHECKING:
    from tests.platform_adapter.soak.run import Soak

__all__ = [
    "ENDLESS_FROM",
    "HOARDING",
    "LATER",
    "LATER_PLANNED",
    "PLANNED",
    "STOPS_FROM",
    "UNPLANNED",
    "Action",
]

# Seeds from here on have streams that may outlive a stop, and much planned work.
STOPS_FROM = 40_000
# Seeds from here on have workers and callers that have nodes hold bytes and
# connections, as every second fault.
ENDLESS_FROM = 50_000

# First seed whose store may answer reads and refuse writes.
_READ_ONLY_FROM = 23_000

# Writes of others that a copy may lack.
_MOST_OTHERS = 200
# Three heartbeats, as the nodes' settings have them by default.
_SILENT_S = 3.6
_LIMIT_CHECK_S = 0.02
# How long sound workers may be silent, and the least time between two silences.
_SILENCE_S = (1.0, 1.3)
_BETWEEN_SILENCES_S = 1.0
# How long a worker that leaves lets its streams go on.
_MOST_DRAIN_S = 15.0
_DRAIN_CHECK_S = 0.05
_IDLE_TIMEOUTS_MS = (2_000, 5_000, 15_000)
_ROUTE_TIMEOUTS_MS = (6_000, 8_000, 10_000)
# Forms of answers without end, each at 3 to 30 MB/s. A stated length is drawn more
# often: it is sound for any answer that is not endless.
_FORMS = (
    *("noise", "interim", "unframed", "chunks", "event", "comments", "extra"),
    *("length",) * 4,
)
_ENDLESS_PIECE_BYTES = 65_536
_ENDLESS_PAUSES_S = (0.002, 0.004, 0.02)
_ENDLESS_S = (3.0, 8.0)
_MOST_ENDLESS = 3
_ENDLESS_SHARES = (0.2, 0.5, 1.0)
# Bodies of which the last byte is kept, as long as callers may send them; connections
# of one crowd, and how long they last.
_BODY_BYTES = (100_000, 4_000_000)
_MOST_HELD = 40
_MOST_UNREAD = 15
_HOLD_S = (2.0, 7.0)
# An answer that is larger than what the sockets on its way to its caller hold.
_WIDE = LongStream(events=300, gap_ms=10, hint=300, deadline_s=8.0, padding=20_000)

Action = Callable[["Soak"], Awaitable[None]]
UNPLANNED: list[Action] = []
PLANNED: list[Action] = []
# Faults that came later, and the first seed that draws each: seeds that failed before
# keep the series of faults that they failed with.
LATER: list[tuple[int, Action]] = []
LATER_PLANNED: list[tuple[int, Action]] = []
# Workers and callers that have nodes hold what they send or do not read.
HOARDING: list[Action] = []


def _unplanned(action: Action) -> Action:
    """Register a fault; each is drawn as often as any other."""
    UNPLANNED.append(action)
    return action


def _later(
    first_seed: int, actions: list[tuple[int, Action]] = LATER
) -> Callable[[Action], Action]:
    """Register a fault for seeds that were never played without it."""

    def register(action: Action) -> Action:
        actions.append((first_seed, action))
        return action

    return register


def _planned(action: Action) -> Action:
    """Register planned work; callers must lose nothing by it."""
    PLANNED.append(action)
    return action


def _hoarding(weight: int) -> Callable[[Action], Action]:
    """Register a fault of one worker or some callers; others must lose nothing."""

    def register(action: Action) -> Action:
        HOARDING.extend([action] * weight)
        return action

    return register


@_unplanned
async def _kill_node(soak: Soak) -> None:
    _signal(soak, soak.node(), signal.SIGKILL)


@_unplanned
async def _kill_all(soak: Soak) -> None:
    for number in range(soak.nodes):
        _signal(soak, number, signal.SIGKILL)


@_unplanned
async def _freeze_node(soak: Soak) -> None:
    number = soak.node()
    _signal(soak, number, signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.2, 2.5))
    _signal(soak, number, signal.SIGCONT)


@_planned
async def _stop_node(soak: Soak) -> None:
    await soak.stop_node(soak.node())


@_planned
async def _stop_several(soak: Soak) -> None:
    for number in soak.rng.sample(range(soak.nodes), 2):
        await soak.stop_node(number)
        await asyncio.sleep(soak.rng.uniform(0.0, 0.5))


@_planned
async def _change_settings(soak: Soak) -> None:
    number = soak.node()
    soak.deployment.change_settings(
        number, f"bounds.budget_slack={50 + soak.rng.random()}"
    )
    if _listens(soak.deployment.processes[number].pid, signal.SIGHUP):
        _signal(soak, number, signal.SIGHUP)


@_unplanned
async def _harm_path(soak: Soak) -> None:
    proxy = soak.rng.choice(list(soak.deployment.proxies.values()))
    proxy.fault = soak.rng.choice(list(PathFault))
    await asyncio.sleep(soak.rng.uniform(0.1, 2.5))
    proxy.fault = PathFault.NONE


@_unplanned
async def _reset_path(soak: Soak) -> None:
    soak.rng.choice(list(soak.deployment.proxies.values())).reset_all()


@_unplanned
async def _harm_store(soak: Soak) -> None:
    store = soak.deployment.store
    faults = [fault for fault in StoreFault if fault is not StoreFault.READ_ONLY]
    if soak.seed >= _READ_ONLY_FROM:
        faults.append(StoreFault.READ_ONLY)
    store.fault = soak.rng.choice(faults)
    if soak.rng.random() < 0.5:
        store.cut_connections()
    await asyncio.sleep(soak.rng.uniform(0.2, 3.0))
    store.fault = StoreFault.NONE


@_planned
async def _forget_history(soak: Soak) -> None:
    soak.deployment.store.forget_history()


@_planned
async def _change_configuration(soak: Soak) -> None:
    soak.revoked = soak.revoked or soak.rng.random() < 0.5
    soak.write_configuration()


@_planned
async def _drain_worker(soak: Soak) -> None:
    """Have a worker say that it leaves, go on for a while, and come back as another."""
    name = soak.rng.choice(soak.deployment.names)
    worker = soak.deployment.worker(name)
    soak.deployment.write_row(name, state="draining")
    await asyncio.sleep(2.0)
    until = time.monotonic() + _MOST_DRAIN_S
    while soak.seed >= STOPS_FROM and worker.working and time.monotonic() < until:
        await asyncio.sleep(_DRAIN_CHECK_S)
    # Another one may have come meanwhile, which has not said that it leaves.
    if soak.deployment.worker(name) is worker:
        await soak.deployment.replace_worker(name)


@_unplanned
async def _crash_worker(soak: Soak) -> None:
    await soak.deployment.replace_worker(soak.rng.choice(soak.deployment.names))


@_later(10_000)
async def _crash_by_request(soak: Soak) -> None:
    """Have one request come again and again that no worker stands."""
    kind = soak.rng.choice(list(Kind))
    path = f"crash-{soak.rng.random()}"
    for _ in range(12):
        await soak.ask_anywhere(kind, path, CRASH)
        await asyncio.sleep(soak.rng.uniform(0.05, 0.6))


@_later(21_000)
async def _crash_by_part(soak: Soak) -> None:
    """Have different requests come that share a part which no worker stands."""
    part = f"{BAD_PART}{soak.rng.random()}"
    for number in range(16):
        path = f"{part}-{number}"
        await soak.ask_anywhere(Kind.STREAM, path, path.encode(), bad_part=part)
        await asyncio.sleep(soak.rng.uniform(0.05, 0.8))


@_later(10_100)
async def _leave_in_answers(soak: Soak) -> None:
    """Have a worker say in its answers that it leaves, and the store never hear it."""
    name = soak.rng.choice(soak.deployment.names)
    soak.deployment.worker(name).leaving = True
    await asyncio.sleep(soak.rng.uniform(2.5, 5.0))
    await soak.deployment.replace_worker(name)


@_later(10_200)
async def _restore_older_copy(soak: Soak) -> None:
    """Have the store go away for a moment, and come back without its last writes.

    Others write there as well, so that versions may go back far. The operator and the
    workers write theirs again within two seconds, in any order; rows that nobody renews
    are dropped after three heartbeats.
    """
    store = soak.deployment.store
    snapshot = store.take_snapshot()
    for number in range(soak.rng.randrange(_MOST_OTHERS)):
        store.write("others", f"o-{number}", {})
    await asyncio.sleep(soak.rng.uniform(0.2, 3.0))
    store.fault = soak.rng.choice([StoreFault.RESET, StoreFault.SILENT])
    await asyncio.sleep(soak.rng.uniform(0.05, 1.0))
    store.restore(snapshot, keep_calls=soak.rng.random() < 0.3)
    store.fault = StoreFault.NONE
    await asyncio.gather(
        _after(soak.rng.uniform(0.0, 2.0), soak.write_configuration_again),
        *(
            _after(
                soak.rng.uniform(0.0, 2.0), partial(soak.deployment.rewrite_row, name)
            )
            for name in soak.deployment.names
        ),
        _after(_SILENT_S, soak.deployment.drop_expired_rows),
    )


@_later(17_000)
async def _cut_off_nodes(soak: Soak) -> None:
    """Have some nodes reach no worker, while all else reaches them."""
    nodes = soak.rng.sample(range(soak.nodes), soak.rng.randint(1, soak.nodes - 1))
    soak.deployment.cut_off_nodes(nodes, reset=soak.rng.random() < 0.5)
    await asyncio.sleep(soak.rng.uniform(1.0, 5.0))
    soak.deployment.cut_off.difference_update(nodes)


@_later(19_000)
async def _limit_worker(soak: Soak) -> None:
    """Have a worker state for a while how many requests a second it takes.

    A limit that another one replaces ends then, and does not end that one.
    """
    worker = soak.deployment.worker(soak.rng.choice(soak.deployment.names))
    per_s = round(soak.rng.uniform(0.5, 6.0), 1)
    since = time.monotonic()
    stated = worker.rate_limit = b"%.1f" % per_s
    until = since + soak.rng.uniform(4.0, 9.0)
    while time.monotonic() < until and worker.rate_limit is stated:
        await asyncio.sleep(_LIMIT_CHECK_S)
    if worker.rate_limit is stated:
        worker.rate_limit = None
    soak.stated_limits.append(
        StatedLimit(
            instance=worker.instance,
            per_s=per_s,
            since=since,
            until=min(until, time.monotonic() - _LIMIT_CHECK_S),
        )
    )


@_later(STOPS_FROM, LATER_PLANNED)
async def _stop_at_once(soak: Soak) -> None:
    """Tell one, several or all nodes to stop within moments."""
    for number in soak.rng.sample(range(soak.nodes), soak.rng.randint(1, soak.nodes)):
        await soak.stop_node(number)
        await asyncio.sleep(soak.rng.uniform(0.0, 0.05))


@_later(STOPS_FROM, LATER_PLANNED)
async def _change_settings_and_stop(soak: Soak) -> None:
    """Have a node told of changed settings just before or after it is to stop."""
    number = soak.node()
    process = soak.deployment.processes[number]
    soak.deployment.change_settings(
        number, f"bounds.budget_slack={50 + soak.rng.random()}"
    )
    steps = soak.rng.sample((signal.SIGHUP, signal.SIGTERM), 2)
    pause_s = soak.rng.uniform(0.0, 0.3)
    for what in steps:
        if soak.deployment.processes[number] is not process:
            return
        if what is signal.SIGTERM:
            await soak.stop_node(number)
        elif _listens(process.pid, signal.SIGHUP):
            _signal(soak, number, signal.SIGHUP)
        await asyncio.sleep(pause_s)


@_later(STOPS_FROM, LATER_PLANNED)
async def _change_times_and_routes(soak: Soak) -> None:
    soak.idle_timeout_ms = soak.rng.choice(_IDLE_TIMEOUTS_MS)
    soak.route_timeout_ms = soak.rng.choice(_ROUTE_TIMEOUTS_MS)
    soak.moved = not soak.moved
    soak.write_configuration()


@_later(STOPS_FROM, LATER_PLANNED)
async def _silence_workers(soak: Soak) -> None:
    """Have some sound workers send nothing for a moment."""
    names = soak.deployment.names
    now = time.monotonic()
    for name in soak.rng.sample(names, soak.rng.randint(1, len(names))):
        worker = soak.deployment.worker(name)
        silent_s = soak.rng.uniform(*_SILENCE_S)
        if worker.silent_until + _BETWEEN_SILENCES_S <= now:
            worker.silent_until = now + silent_s


@_later(STOPS_FROM, LATER_PLANNED)
async def _stop_beside_silence(soak: Soak) -> None:
    """Tell a node to stop, and have workers fall silent later in its stop."""
    await soak.stop_node(soak.node())
    await asyncio.sleep(soak.rng.uniform(4.5, 7.0))
    await _silence_workers(soak)


@_hoarding(weight=3)
async def _answer_without_end(soak: Soak) -> None:
    """Have some workers answer with bytes without end, each in a form of its own."""
    names = soak.deployment.names
    if not soak.moved:
        names = [name for name in names if not name.startswith(SPARE_SERVICE)]
    lasts_s = soak.rng.uniform(*_ENDLESS_S)
    for name in soak.rng.sample(names, soak.rng.randint(1, _MOST_ENDLESS)):
        _answer_meanwhile(soak, name, time.monotonic() + lasts_s)
    await asyncio.sleep(lasts_s)


def _answer_meanwhile(soak: Soak, name: str, until: float) -> None:
    """Have a worker answer a share of its requests without end until some time."""
    worker = soak.deployment.worker(name)
    usual = worker.behave
    status = soak.rng.choice((200, 500, 503))
    endless = Behaviour(
        endless=soak.rng.choice(_FORMS),
        status=status,
        refuse=status == 503,
        gap_s=soak.rng.choice(_ENDLESS_PAUSES_S),
        padding=_ENDLESS_PIECE_BYTES,
    )
    share = soak.rng.choice(_ENDLESS_SHARES)
    soak.note(f"{worker.instance}: {endless.endless} {status}, {share} of its answers")

    def behave(seen: SeenRequest) -> Behaviour:
        # Each request is asked for more than once.
        drawn = random.Random(seen.request_id).random()
        if not seen.request_id or drawn >= share or time.monotonic() >= until:
            return usual(seen)
        soak.records.endless.add(seen.request_id)
        return endless

    worker.behave = behave


@_hoarding(weight=1)
async def _hold_connections(soak: Soak) -> None:
    """Have callers open connections and send nothing."""
    await soak.hold(soak.rng.randint(1, _MOST_HELD), soak.rng.uniform(*_HOLD_S))


@_hoarding(weight=1)
async def _keep_last_byte(soak: Soak) -> None:
    """Have callers send large bodies but for the last byte."""
    body_bytes = soak.rng.randint(*_BODY_BYTES)
    count, hold_s = soak.rng.randint(1, _MOST_HELD), soak.rng.uniform(*_HOLD_S)
    kind = soak.rng.choice(list(Kind))
    await soak.hold(count, hold_s, kind, path="x", body_bytes=body_bytes, kept=1)


@_hoarding(weight=1)
async def _read_nothing(soak: Soak) -> None:
    """Have callers ask for answers, some of them large, and never read them."""
    count, hold_s = soak.rng.randint(1, _MOST_UNREAD), soak.rng.uniform(*_HOLD_S)
    kind = soak.rng.choice(list(Kind))
    await soak.hold(count, hold_s, kind, path=_WIDE.path, headers=_WIDE.headers)


async def _after(pause_s: float, action: Callable[[], None]) -> None:
    await asyncio.sleep(pause_s)
    action()


def _signal(soak: Soak, number: int, what: signal.Signals) -> None:
    if what is not signal.SIGHUP:
        soak.records.disturbed(number)
    soak.deployment.send_signal(number, what)


def _listens(pid: int, what: signal.Signals) -> bool:
    """Whether a process has come so far that a signal does not just end it."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [line.split()[1] for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(int(mask, 16) & (1 << (what - 1)) for mask in masks)
