"""Measure what homes tell each other while one pool is overloaded.

Run as a script: ``python tests/homes/measure_floors.py [--seconds S] [--trial T]``.
Homes and their connections are real, over loopback, in one process; callers,
upstreams and the membership are not.
"""

import argparse
import heapq
import itertools
import logging
import random
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

import structlog

from baobabwing.fleet.homes import home_of
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.homes import floors as floors_module
from baobabwing.homes.cells import CROWDED, LOAD_REFUSAL_CODES, CellHomes
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.partition import cell_names, cell_resource
from baobabwing.settings.configuration import Configuration
from baobabwing.wire.messages import InflightAnswer, PermitDone, PermitRequest
from baobabwing.wire.peers import PeerClients, PeerServer
from baobabwing.wire.schema import load_schema

NODES = 460
CELLS = 23
CELL_SIZE = 32
SERVICE_S = 2.0
OVERLOAD = 2.0
BUDGETS_S = (6.0, 15.0, 40.0, 40.0)
QUEUE_LIMIT = 64
LIMIT_BYTES_PER_S = 4096
# A lower tier that arrives this soon after a refusal and is granted counts.
WARM_S = 8.0
WINDOW_S = 0.005
KEYS = (b"k" * 32,)


@dataclass
class Asked:
    """One request on its way through the cells."""

    id: str
    rank: int
    cell: str
    arrived: float
    tried: dict = field(default_factory=dict)
    moves: int = 0
    code: str = ""
    upstream: str = ""
    decided: float = 0.0


class Site:
    """Homes of one pool's cells, and entries in the form of one heap of ends."""

    def __init__(self):
        upstreams = tuple(
            Upstream(name=f"u{n}", pool="p", address="127.0.0.1:1", capacity=1)
            for n in range(CELLS * CELL_SIZE)
        )
        pool = Pool(
            name="p",
            kind=PoolKind.SERVICE,
            cell_size=CELL_SIZE,
            queue_limit=QUEUE_LIMIT,
        )
        self.cfg = Configuration(version=1, pools=(pool,), upstreams=upstreams)
        self.cells = cell_names(pool, upstreams)
        hosts = [_host(*one) for one in enumerate(_free_ports())]
        self.view = FleetView(
            members=tuple(Member(host=h, state=MemberState.ALIVE) for h in hosts)
        )
        self.home_names = {c: home_of(self.view, cell_resource(c)) for c in self.cells}
        self.homes, self.clients, self.servers = {}, {}, []
        for host in set(self.home_names.values()):
            self._start(host)
        self.asks, self.ends = [], []
        self.numbers = itertools.count()
        self.lock = threading.Lock()

    def _start(self, host):
        clients = PeerClients(name=host.name, incarnation=1, keys=KEYS)

        def ask(other, query):
            timeout_s = floors_module.FLOOR_TIMEOUT_S
            return clients.ask(other.peer, query, timeout_s=timeout_s)

        homes = CellHomes(
            me=host,
            view=lambda: self.view,
            ask_peer=lambda other, query: InflightAnswer(),
            own_inflight=lambda cell: InflightAnswer(),
            ask_floor=ask,
        )
        server = PeerServer(
            listen=host.peer,
            name=host.name,
            incarnation=1,
            keys=KEYS,
            handler=lambda caller, message: homes.floor(message),
            on_lost=lambda identity, frames: None,
        )
        server.start()
        homes.start()
        # Upstreams here are no servers, so that nothing is read from them.
        homes._watcher.watch = lambda engines, services=(): None
        homes.configure(self.cfg)
        self.homes[host.name], self.clients[host.name] = homes, clients
        self.servers.append(server)

    def submit(self, asked):
        homes = self.homes[self.home_names[asked.cell].name]
        now = time.monotonic()
        left_s = asked.arrived + BUDGETS_S[asked.rank] - now
        message = PermitRequest(
            request_id=asked.id,
            cell=asked.cell,
            organisation="o",
            tier_rank=asked.rank,
            budget_ms=max(1, int(left_s * 1000)),
            prompt_tokens=0,
            output_tokens=0,
            tried=tuple(asked.tried),
            moves=asked.moves,
            recent=sum(at > now - 0.1 for at in asked.tried.values()),
        )
        homes.submit("entry#1", message, lambda decision: self._take(asked, decision))

    def _take(self, asked, decision):
        if decision.hand_to and asked.moves < 32:
            asked.moves += 1
            if decision.code != CROWDED:
                asked.tried[asked.cell] = time.monotonic()
            asked.cell = decision.hand_to
            self.submit(asked)
            return True
        asked.decided = time.monotonic()
        asked.code = "granted" if decision.granted else decision.code
        if decision.granted:
            asked.upstream = decision.upstream
            with self.lock:
                heapq.heappush(self.ends, (asked.decided + SERVICE_S, asked.id, asked))
        return True

    def run(self, seconds, rng):
        rate = OVERLOAD * CELLS * CELL_SIZE / SERVICE_S
        end = time.monotonic() + seconds
        following = time.monotonic()
        while (now := time.monotonic()) < end:
            self._end_all(now)
            if now < following:
                time.sleep(min(0.001, following - now))
                continue
            following += rng.expovariate(rate)
            asked = Asked(
                id=f"r{next(self.numbers)}",
                rank=rng.randrange(4),
                cell=rng.choice(self.cells),
                arrived=now,
            )
            self.asks.append(asked)
            self.submit(asked)

    def _end_all(self, now):
        while True:
            with self.lock:
                if not self.ends or self.ends[0][0] > now:
                    return
                asked = heapq.heappop(self.ends)[2]
            done = PermitDone(
                request_id=asked.id,
                cell=asked.cell,
                upstream=asked.upstream,
                outcome="answered",
                duration_ms=SERVICE_S * 1000,
            )
            self.homes[self.home_names[asked.cell].name].done(done)

    def client_bytes(self):
        return {name: one.control_bytes() for name, one in self.clients.items()}


def _free_ports():
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(NODES)]
    ports = [one.getsockname()[1] for one in socks]
    for one in socks:
        one.close()
    return ports


def _host(number, port):
    return Host(
        name=f"n{number}",
        incarnation=1,
        zone="abc"[number % 3],
        region="r",
        peer=f"127.0.0.1:{port}",
        http="127.0.0.1:2",
    )


def inversions(asks):
    """Count refusals right after which a lower tier arrived, and was granted."""
    refused = [a for a in asks if a.code in LOAD_REFUSAL_CODES]
    arrivals = sorted(asks, key=lambda a: a.arrived)
    seen = found = 0
    for one in refused:
        close = [
            a
            for a in arrivals[_first(arrivals, one.decided) :][:200]
            if a.arrived <= one.decided + WINDOW_S and a.rank > one.rank and a.code
        ]
        seen += bool(close)
        found += any(a.code == "granted" for a in close)
    return seen, found


def _first(arrivals, moment):
    low, high = 0, len(arrivals)
    while low < high:
        middle = (low + high) // 2
        if arrivals[middle].arrived < moment:
            low = middle + 1
        else:
            high = middle
    return low


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--trial", choices=("alone", "no-promise"), default=None)
    args = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    if args.trial == "alone":
        exchange = floors_module.FloorExchange
        exchange.find_target = lambda self, *, cell, rank, tried=(), on_target: (
            on_target("")
        )
        exchange.find_less_loaded = lambda *_: ""
    if args.trial == "no-promise":
        floors_module.Promises.close_below = lambda *_: None
    load_schema()
    site = Site()
    time.sleep(1.0)
    rng = random.Random(1)
    site.run(WARM_S, rng)
    site.asks = []
    before = site.client_bytes()
    began = time.monotonic()
    site.run(args.seconds, rng)
    elapsed = time.monotonic() - began
    after = site.client_bytes()
    # What a node asks passes two nodes, so that its own questions and those to
    # it come to twice the mean of what clients count.
    each = sorted((after[n] - before[n]) / elapsed for n in after)
    print(f"homes {len(each)}, requests {len(site.asks) / elapsed:.0f}/s")
    print(
        f"bytes/s a home, both ways: mean {2 * sum(each) / len(each):.0f},"
        f" most {each[-1] + sum(each) / len(each):.0f}, limit {LIMIT_BYTES_PER_S}"
    )
    for rank in range(4):
        codes = Counter(a.code for a in site.asks if a.rank == rank and a.code)
        print(f"tier {rank}: {dict(codes)}")
    moves = Counter(a.moves for a in site.asks)
    print(f"moves {dict(sorted(moves.items()))}")
    print("refusals followed by a lower arrival, and by one granted:", end=" ")
    print(*inversions(site.asks))
    for one in site.homes.values():
        one.stop()


if __name__ == "__main__":
    main()
