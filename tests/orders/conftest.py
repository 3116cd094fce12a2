"""Fixtures: a clock that only sleeping advances, and in-memory engines."""

from dataclasses import dataclass, field

import pytest
import structlog

from baobabwing.orders.engines import EngineOrder, EngineState
from baobabwing.orders.errors import OrderError, OrderRefusedError, StaleFenceError
from baobabwing.orders.execution import OrderExecution, OrderTiming
from baobabwing.orders.lease import Leaseholder
from baobabwing.orders.mover import Mover
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.plans import publish_plan
from baobabwing.settings.publish import publish
from baobabwing.store.memory import MemoryTables

LEASE_S = 10.0
TIMING = OrderTiming(
    order_s=1.0, load_s=5.0, poll_s=0.5, load_spacing_s=0.0, settle_s=1.0, attempts=2
)


class Clock:
    def __init__(self):
        self.now = 100.0
        self.on_sleep = None

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += max(seconds, 0.0)
        if self.on_sleep:
            self.on_sleep()


@dataclass
class FakeEngines:
    """Engines that load at once; ``on_order`` returns the fault to inject."""

    states: dict = field(default_factory=dict)
    on_order: object = None
    received: list = field(default_factory=list)
    full: set = field(default_factory=set)
    unreachable: set = field(default_factory=set)

    def state(self, upstream):
        if upstream.name in self.unreachable:
            raise OrderError("no answer", step="order", peer=upstream.name)
        return self.states[upstream.name]

    def order(self, upstream, order):
        fault = self.on_order(upstream, order) if self.on_order else None
        if fault == "lose_request":
            raise OrderError("request lost", step="order", peer=upstream.name)
        self.accept(upstream, order)
        if fault == "lose_answer":
            raise OrderError("answer lost", step="order", peer=upstream.name)

    def accept(self, upstream, order: EngineOrder):
        self.state(upstream)
        old = self.states[upstream.name]
        if upstream.checks_fencing and order.fence < old.fence:
            raise StaleFenceError(
                "old fencing number", step="order", peer=upstream.name
            )
        models = frozenset(order.models)
        if upstream.name in self.full and not models <= old.loaded:
            raise OrderRefusedError("no room", step="order", peer=upstream.name)
        self.received.append((upstream.name, order))
        self.states[upstream.name] = EngineState(
            fence=order.fence, order_id=order.order_id, models=models, loaded=models
        )


class Site:
    """Two engines of one pool that serve a model, and holders of their lease."""

    def __init__(self, names=("e1", "e2"), unchecked=("e2",)):
        self.clock = Clock()
        self.timing = TIMING
        self.tables = MemoryTables()
        self.engines = FakeEngines()
        self.upstreams = tuple(
            Upstream(
                name=name,
                pool="p",
                address=f"127.0.0.1:{7000 + number}",
                checks_fencing=name not in unchecked,
            )
            for number, name in enumerate(names)
        )
        held = frozenset({"m1"})
        for name in names:
            self.engines.states[name] = EngineState(
                fence=0, order_id="", models=held, loaded=held
            )
        pool = Pool(name="p", kind=PoolKind.ENGINE, models=("m1",))
        cfg = Configuration(version=0, pools=(pool,), upstreams=self.upstreams)
        publish(self.tables, base=0, cfg=cfg)

    def holder(self, name="a"):
        return Leaseholder(
            tables=self.tables,
            name="orders",
            holder=name,
            duration_s=LEASE_S,
            clock=self.clock,
        )

    def acquire(self, holder):
        while holder.acquire() is None:
            self.clock.sleep(1.0)
        return holder

    def execution(self, holder):
        return OrderExecution(
            engines=self.engines,
            holder=holder,
            timing=TIMING,
            clock=self.clock,
            sleep=self.clock.sleep,
        )

    def mover(self, holder):
        return Mover(
            tables=self.tables,
            holder=holder,
            execution=self.execution(holder),
            settle_s=TIMING.settle_s,
        )

    def publish(self, plan, author):
        """Publish a plan without giving its orders, as a rival operator."""
        return publish_plan(self.tables, plan, author=author)

    def models(self):
        return {name: sorted(s.loaded) for name, s in self.engines.states.items()}


@pytest.fixture(autouse=True)
def _without_log():
    with structlog.testing.capture_logs():
        yield


@pytest.fixture
def site():
    return Site()


@pytest.fixture
def make_site():
    return Site
