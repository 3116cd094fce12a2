"""Several gateways in this process before the same upstreams, which may crash."""

import asyncio
import contextlib
import itertools
import random

from baobabwing.fleet.host import Host
from baobabwing.gateway.connection import open_connection
from baobabwing.gateway.gateway import Gateway
from baobabwing.gateway.model import UpstreamEntry
from baobabwing.gateway.settings import GatewaySettings
from baobabwing.standins.gateway_upstream import Behaviour, GatewayUpstream
from tests.gateway.bed import (
    NAMES,
    WAIT_S,
    ask,
    default_configuration,
    eventually,
    free_address,
)

# An upstream that has crashed is back after this, as another incarnation.
BACK_S = 0.3
READING_S = 0.03
SLOTS = 4


class FleetBed:
    """Nodes that know each other, and upstreams that come back after a crash.

    :ivar crashed: incarnations that ended under a request, in turn.
    """

    def __init__(self, *, nodes=3, engines=4, services=3, cfg=None):
        self.cfg = cfg or default_configuration()
        self.gateways = []
        self.upstreams = {}
        self.crashed = []
        self.by_name = {}
        self.usual = {"engines": Behaviour(events=5), "services": Behaviour()}
        self._counts = {"engines": engines, "services": services}
        self._nodes = nodes
        self._numbers = itertools.count(101)
        self._tasks = []

    async def __aenter__(self):
        for pool, count in self._counts.items():
            for number in range(1, count + 1):
                await self.add(pool, number)
        self.gateways = [self._gateway(f"node-{n}") for n in range(self._nodes)]
        hosts = [
            Host(
                name=one.settings.name,
                incarnation=0,
                zone="",
                region="",
                peer=one.settings.peers,
                http="",
            )
            for one in self.gateways
        ]
        self.list_all()
        for gateway in self.gateways:
            gateway.members.list_candidates(hosts)
            gateway.state.take_configuration(self.cfg, source="test")
            self._tasks.append(asyncio.ensure_future(gateway.run()))
        for gateway in self.gateways:
            await eventually(
                lambda one=gateway: len(one.members.others()) == self._nodes - 1,
                "nodes know each other",
            )
            await eventually(lambda one=gateway: one.callers.listening, "listening")
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for gateway in self.gateways:
            gateway.stop()
        for upstream, _ in self.upstreams.values():
            upstream.stop()
        await asyncio.sleep(0)

    def _gateway(self, name):
        settings = GatewaySettings(
            name=name,
            callers=free_address(),
            peers=free_address(),
            work=free_address(),
            stop_s=3.0,
            address_keep_s=0.1,
            names=NAMES,
        )
        return Gateway(settings=settings, rng=random.Random(name))

    async def add(self, pool, number=None):
        """Start one more upstream of a pool."""
        name = f"{pool}-{number or next(self._numbers)}"

        def behave(seen):
            crashes = b"crash" in seen.body
            # It is read before it begins to run.
            how = Behaviour(delay_s=READING_S, crash=True)
            return how if crashes else self.by_name.get(name, self.usual[pool])

        upstream = GatewayUpstream(
            instance=name,
            names=NAMES,
            behave=behave,
            on_crash=lambda seen: self._crashed(name, pool),
        )
        await upstream.start()
        self.upstreams[name] = (upstream, pool)

    def end(self, pool):
        """End one upstream of a pool, with all that it works on."""
        name = next(name for name, (_, of) in self.upstreams.items() if of == pool)
        self.upstreams[name][0].stop()
        self._crashed(name, pool)

    def at(self, name):
        """Return the requests that reached an upstream."""
        return self.upstreams[name][0].seen

    def runs(self, request_id):
        return sum(one.runs[request_id] for one, _ in self.upstreams.values())

    def _crashed(self, name, pool):
        self.crashed.append(name)
        self._tasks.append(asyncio.ensure_future(self._come_back(name, pool)))

    async def _come_back(self, name, pool):
        await asyncio.sleep(BACK_S)
        del self.upstreams[name]
        await self.add(pool)
        self.list_all()

    @property
    def whole(self):
        """Whether every upstream that crashed is back."""
        return len(self.upstreams) == sum(self._counts.values()) and not any(
            name in self.upstreams for name in self.crashed
        )

    def list_all(self):
        """Tell all gateways of the upstreams that run."""
        entries = [
            UpstreamEntry(
                instance=name, pool=pool, address=upstream.address, slots=SLOTS
            )
            for name, (upstream, pool) in self.upstreams.items()
        ]
        for gateway in self.gateways:
            gateway.state.take_upstreams(entries, source="test")

    async def ask(self, node, target, request_id, **more):
        """Ask a node over a connection of its own."""
        conn = await open_connection(
            self.gateways[node].settings.callers, timeout_s=WAIT_S, head_bytes=65_536
        )
        answer = await ask(conn, target, request_id, **more)
        conn.close()
        return answer
