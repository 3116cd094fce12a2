"""Start one node in which something fails at its end: ``faulty_start.py FAULT``."""

import asyncio
import resource
import sys
import time

from baobabwing.gateway import process
from baobabwing.gateway.gateway import Gateway
from baobabwing_platform.node import main

LONG_S = 120.0
usual_run = Gateway.run


async def swallow_cancellations():
    until = time.monotonic() + LONG_S
    while time.monotonic() < until:
        try:
            await asyncio.sleep(1)
        except asyncio.CancelledError:
            continue


async def fail(*_):
    raise MemoryError("drawn")


async def run_beside(self, work):
    self.kept = asyncio.ensure_future(work)
    await usual_run(self)


def stand_still(*_):
    time.sleep(LONG_S)


FAULTS = {
    "thread": lambda self: run_beside(self, asyncio.to_thread(stand_still)),
    "task": lambda self: run_beside(self, swallow_cancellations()),
    "drain": usual_run,
    "loop": usual_run,
    "start": fail,
    "settings": usual_run,
    "port": usual_run,
    "descriptors": usual_run,
}

if __name__ == "__main__":
    fault = sys.argv[1]
    Gateway.run = FAULTS[fault]
    if fault == "drain":
        Gateway._drain = fail
    if fault == "settings":
        process.read_at_start.__kwdefaults__["wait_s"] = 1.5
    if fault == "descriptors":
        resource.setrlimit(resource.RLIMIT_NOFILE, (12, 12))
    if fault == "loop":
        Gateway.stop = stand_still
    main()
