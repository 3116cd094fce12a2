"""Measure the control traffic between homes while one pool is overloaded.

Run as a script: ``python tests/homes/measure_floors.py [--seconds S] [--trial T]``.
Homes and their connections are real, over loopback, in one process; callers,
upstreams and the membership are simulated.
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
WARM_UP_S = 8.0
# A lower tier that arrives this soon after a refusal and is granted is counted as an
# inversion.
WINDOW_S = 0.005
KEYS = (b"k" * 32,)


@dataclass
class Request:
    """One request and the cells that it has passed through."""

    id: str
    rank: int
    cell: str
    arrived_at: float
    tried: dict = field(default_factory=dict)
    moves: int = 0
    code: str = ""
    upstream: str = ""
    decided_at: float = 0.0


class Site:
    """Homes of one pool's cells, and a heap of running requests for the entries."""

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
        hosts = [_host(*numbered_port) for numbered_port in enumerate(_free_ports())]
        self.view = FleetView(
            members=tuple(Member(host=h, state=MemberState.ALIVE) for h in hosts)
        )
        self.home_names = {c: home_of(self.view, cell_resource(c)) for c in self.cells}
        self.homes, self.clients, self.servers = {}, {}, []
        for host in set(self.home_names.values()):
            self._start(host)
        self.requests, self.running = [], []
        self.numbers = itertools.count()
        self.lock = threading.Lock()

    def _start(self, host):
        clients = PeerClients(name=host.name, incarnation=1, keys=KEYS)

        def ask(other, query):
            timeout_s = floors_module.FLOOR_TIMEOUT_S
            return clients.call_and_wait(other.peer, query, timeout_s=timeout_s)

        homes = CellHomes(
            me=host,
            view=lambda: self.view,
            query_inflight=lambda other, query: InflightAnswer(),
            local_inflight=lambda cell: InflightAnswer(),
            query_floor=ask,
        )
        server = PeerServer(
            listen=host.peer,
            name=host.name,
            incarnation=1,
            keys=KEYS,
            handler=lambda call, message: homes.answer_floor_query(message),
            on_disconnect=lambda identity, frames: None,
        )
        server.start()
        homes.start()
        # The upstreams do not exist, so their load is not polled.
        homes._poller.watch = lambda engines, services=(): None
        homes.configure(self.cfg)
        self.homes[host.name], self.clients[host.name] = homes, clients
        self.servers.append(server)

    def submit(self, request):
        homes = self.homes[self.home_names[request.cell].name]
        now = time.monotonic()
        left_s = request.arrived_at + BUDGETS_S[request.rank] - now
        message = PermitRequest(
            request_id=request.id,
            cell=request.cell,
            organisation="o",
            tier_rank=request.rank,
            budget_ms=max(1, int(left_s * 1000)),
            prompt_tokens=0,
            output_tokens=0,
            tried=tuple(request.tried),
            moves=request.moves,
            recent=sum(at > now - 0.1 for at in request.tried.values()),
        )
        homes.submit(
            "entry#1",
            message,
            lambda decision: self._handle_decision(request, decision),
        )

    def _handle_decision(self, request, decision):
        if decision.hand_to and request.moves < 32:
            request.moves += 1
            if decision.code != CROWDED:
                request.tried[request.cell] = time.monotonic()
            request.cell = decision.hand_to
            self.submit(request)
            return True
        request.decided_at = time.monotonic()
        request.code = "granted" if decision.granted else decision.code
        if decision.granted:
            request.upstream = decision.upstream
            with self.lock:
                heapq.heappush(
                    self.running, (request.decided_at + SERVICE_S, request.id, request)
                )
        return True

    def run(self, seconds, rng):
        rate = OVERLOAD * CELLS * CELL_SIZE / SERVICE_S
        end = time.monotonic() + seconds
        next_arrival = time.monotonic()
        while (now := time.monotonic()) < end:
            self._finish_due(now)
            if now < next_arrival:
                time.sleep(min(0.001, next_arrival - now))
                continue
            next_arrival += rng.expovariate(rate)
            request = Request(
                id=f"r{next(self.numbers)}",
                rank=rng.randrange(4),
                cell=rng.choice(self.cells),
                arrived_at=now,
            )
            self.requests.append(request)
            self.submit(request)

    def _finish_due(self, now):
        while True:
            with self.lock:
                if not self.running or self.running[0][0] > now:
                    return
                request = heapq.heappop(self.running)[2]
            done = PermitDone(
                request_id=request.id,
                cell=request.cell,
                upstream=request.upstream,
                outcome="answered",
                duration_ms=SERVICE_S * 1000,
            )
            self.homes[self.home_names[request.cell].name].release(done)

    def client_bytes(self):
        return {name: client.traffic_bytes() for name, client in self.clients.items()}


def _free_ports():
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(NODES)]
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
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


def count_inversions(requests):
    """Count the refusals followed by arrivals of lower tiers, and by grants of them.

    :returns: refusals after which a request of a lower tier arrived within
        ``WINDOW_S``, and those of them after which one was granted.
    """
    refused = [a for a in requests if a.code in LOAD_REFUSAL_CODES]
    arrivals = sorted(requests, key=lambda a: a.arrived_at)
    with_arrivals = inverted = 0
    for refusal in refused:
        later = [
            a
            for a in arrivals[_first_after(arrivals, refusal.decided_at) :][:200]
            if a.arrived_at <= refusal.decided_at + WINDOW_S
            and a.rank > refusal.rank
            and a.code
        ]
        with_arrivals += bool(later)
        inverted += any(a.code == "granted" for a in later)
    return with_arrivals, inverted


def _first_after(arrivals, moment):
    low, high = 0, len(arrivals)
    while low < high:
        middle = (low + high) // 2
        if arrivals[middle].arrived_at < moment:
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
    site.run(WARM_UP_S, rng)
    site.requests = []
    before = site.client_bytes()
    started_at = time.monotonic()
    site.run(args.seconds, rng)
    elapsed_s = time.monotonic() - started_at
    after = site.client_bytes()
    # Clients count the bytes of their own queries in both directions. Each query is
    # also received by another node, so the mean over all nodes is twice that.
    each = sorted((after[n] - before[n]) / elapsed_s for n in after)
    print(f"homes {len(each)}, requests {len(site.requests) / elapsed_s:.0f}/s")
    print(
        f"bytes/s a home, both ways: mean {2 * sum(each) / len(each):.0f},"
        f" most {each[-1] + sum(each) / len(each):.0f}, limit {LIMIT_BYTES_PER_S}"
    )
    for rank in range(4):
        codes = Counter(a.code for a in site.requests if a.rank == rank and a.code)
        print(f"tier {rank}: {dict(codes)}")
    moves = Counter(a.moves for a in site.requests)
    print(f"moves {dict(sorted(moves.items()))}")
    print("refusals followed by a lower arrival, and by one granted:", end=" ")
    print(*count_inversions(site.requests))
    for homes in site.homes.values():
        homes.stop()


if __name__ == "__main__":
    main()
