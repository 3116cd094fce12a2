"""Measure the CPU time of a cell's decisions; not a test.

Usage: python tests/pools/measure_decisions.py [POLICY ...]

A cell of 32 engines with 16 slots, 512 requests in flight and up to 500
queued in 4 tiers of 50 organisations. Each round submits one request and ends
one. The first table is for short chats, the second for prompts of 1,290 tokens
with 20 cached blocks.
"""

import gc
import random
import sys
import time
from statistics import mean, quantiles

from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.pools.cell import Cell
from baobabwing.pools.permits import Grant, PermitEnd, PlacementRequest
from baobabwing.pools.policies import policy_names

UPSTREAMS = 32
QUEUED = 500
ROUNDS = 20_000
BLOCKS = 20
TICK_S = 0.02
ROUND_S = 0.002


class Load:
    def __init__(self, policy, prompt_tokens, blocks):
        self.rng = random.Random(1)
        self.now = 0.0
        self.count = 0
        self.live = []
        self.prompt_tokens = prompt_tokens
        self.chains = [
            tuple(self.rng.getrandbits(64) for _ in range(blocks)) for _ in range(200)
        ]
        self.cell = Cell(name="c", now=0.0)
        pool = Pool(name="p", kind=PoolKind.ENGINE, policy=policy)
        upstreams = [
            Upstream(
                name=f"u{i}",
                pool="p",
                address=f"127.0.0.1:{9000 + i}",
                generation=f"g{i % 3}",
            )
            for i in range(UPSTREAMS)
        ]
        self.cell.configure(pool, upstreams, 0.0)

    def next_request(self):
        self.count += 1
        return PlacementRequest(
            request_id=f"r{self.count}",
            entry="n#1",
            pool="p",
            organisation=f"o{self.rng.randrange(50)}",
            tier_rank=self.rng.randrange(4),
            deadline=self.now + 600 + self.rng.random() * 100,
            prompt_tokens=self.prompt_tokens,
            output_tokens=100,
            prefix=self.rng.choice(self.chains),
            key=f"k{self.count}",
        )

    def done(self):
        grant = self.live.pop(self.rng.randrange(len(self.live)))
        return PermitEnd(
            request_id=grant.request_id,
            upstream=grant.upstream,
            outcome="answered",
            first_token_s=0.2,
            tokens=100,
            duration_s=1.0,
            prompt_tokens=self.prompt_tokens,
        )

    def timed(self, call, argument):
        before = time.thread_time_ns()
        decisions = call(argument, self.now)
        taken = time.thread_time_ns() - before
        self.live += [d for d in decisions if isinstance(d, Grant)]
        return taken / 1000.0

    def fill(self):
        while len(self.live) < 16 * UPSTREAMS or self.queued() < QUEUED:
            self.now += ROUND_S
            self.timed(self.cell.submit, self.next_request())
            if self.count > 2 * (16 * UPSTREAMS + QUEUED):
                return

    def queued(self):
        return sum(tier.count for tier in self.cell.snapshot().queued)


def measure(policy, prompt_tokens, blocks):
    load = Load(policy, prompt_tokens, blocks)
    load.fill()
    first_queued = load.queued()
    submits, dones, ticks = [], [], []
    next_tick = load.now
    for _ in range(ROUNDS):
        load.now += ROUND_S
        submits.append(load.timed(load.cell.submit, load.next_request()))
        dones.append(load.timed(load.cell.end_permit, load.done()))
        if load.now >= next_tick:
            next_tick = load.now + TICK_S
            ticks.append(load.timed(lambda _, now: load.cell.tick(now), None))
    print(f"{policy:20} queued {first_queued:3} to {load.queued():3}", end="")
    for name, times in (("submit", submits), ("done", dones), ("tick", ticks)):
        p99 = quantiles(times, n=100)[98]
        print(f"  {name} {mean(times):6.1f} us p99 {p99:6.1f}", end="")
    print()


def main():
    gc.freeze()
    for title, prompt_tokens, blocks in (("chats", 60, 0), ("prefixes", 1290, BLOCKS)):
        print(title)
        for policy in sys.argv[1:] or policy_names():
            measure(policy, prompt_tokens, blocks)


if __name__ == "__main__":
    main()
