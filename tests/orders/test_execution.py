"""Single orders are idempotent, carry fencing numbers and are read back."""

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from baobabwing.orders.correction import correct_engines
from baobabwing.orders.engines import EngineOrder, HttpEngines
from baobabwing.orders.errors import (
    LeaseLostError,
    OrderError,
    OrderRefusedError,
    StaleFenceError,
)
from baobabwing.pools.catalogue import Upstream

LEASE_S = 10.0
ORDER_S = 1.0


def take_over(site, rival):
    """Have a rival take the lease over once that of a paused holder has lapsed."""
    assert rival.acquire() is None
    site.clock.sleep(LEASE_S * 1.2)
    return rival.acquire()


@pytest.mark.parametrize("fault", ["lose_request", "lose_answer"])
def test_lost_order_is_given_again_until_it_is_seen(site, fault):
    faults = [fault]
    site.engines.on_order = lambda *_: faults.pop() if faults else None
    execution = site.execution(site.acquire(site.holder()))
    execution.ensure_models(site.upstreams[0], ("m1", "m2"), order_id="o")
    assert site.models()["e1"] == ["m1", "m2"]
    assert len(site.engines.received) == 1
    assert not execution.may_release


def test_order_already_carried_out_is_not_repeated(site):
    execution = site.execution(site.acquire(site.holder()))
    for _ in range(2):
        execution.ensure_models(site.upstreams[0], ("m2",), order_id="o")
    assert len(site.engines.received) == 1
    assert execution.may_release


def test_refusal_is_reported(site):
    site.engines.full.add("e1")
    execution = site.execution(site.acquire(site.holder()))
    with pytest.raises(OrderRefusedError):
        execution.ensure_models(site.upstreams[0], ("m2",), order_id="o")
    assert site.models()["e1"] == ["m1"]


def test_paused_holder_gives_no_order(site):
    """Guards against orders of a holder that was paused for longer than its lease.

    Its successor has given orders meanwhile. An engine that checks fencing
    numbers refuses the late order; to one that does not, it must not be sent.
    """
    first, second = site.holder("a"), site.holder("b")
    paused = site.execution(site.acquire(first))
    take_over(site, second)
    for upstream in site.upstreams:
        site.execution(second).ensure_models(upstream, ("m2",), order_id="new")
    for upstream in site.upstreams:
        with pytest.raises(LeaseLostError):
            paused.ensure_models(upstream, ("m1",), order_id="old")
    assert site.models() == {"e1": ["m2"], "e2": ["m2"]}


def test_engine_that_checks_refuses_an_order_on_its_way(site):
    """Guards against a late order to an engine that needed no change.

    An order of the earlier holder is in transit when its successor reads the
    engine's state, which is the target already. If the successor sent no order,
    the engine would keep the old fencing number and accept the late order.
    """
    order = EngineOrder(fence=1, order_id="old", models=("m0",))
    second = site.holder("b")
    site.acquire(site.holder("a"))
    take_over(site, second)
    site.execution(second).ensure_models(site.upstreams[0], ("m1",), order_id="new")
    with pytest.raises(StaleFenceError):
        site.engines.order(site.upstreams[0], order)
    assert site.models()["e1"] == ["m1"]


def test_higher_number_at_an_engine_that_does_not_check(site):
    """Guards against orders of a holder whose clock has stopped.

    By its clock it still holds the lease. The engine would accept its order, but
    reports the fencing number of a successor.
    """
    execution = site.execution(site.acquire(site.holder()))
    later = EngineOrder(fence=7, order_id="new", models=("m2",))
    site.engines.order(site.upstreams[1], later)
    with pytest.raises(StaleFenceError):
        execution.ensure_models(site.upstreams[1], ("m1",), order_id="old")
    assert site.models()["e2"] == ["m2"]


def test_first_order_to_an_engine_that_does_not_check_waits(site):
    """Guards against an order of a dead holder that arrives after its successor's.

    It can be in transit for up to ``order_s``. The first order to an engine that
    does not check fencing numbers has to wait for that time, or the engine would
    end in the state that the dead holder ordered.
    """
    site.acquire(site.holder("a"))
    second = site.holder("b")
    lease = take_over(site, second)
    order_times = []
    site.engines.on_order = lambda *_: order_times.append(site.clock())
    execution = site.execution(second)
    execution.ensure_models(site.upstreams[0], ("m2",), order_id="o")
    execution.ensure_models(site.upstreams[1], ("m2",), order_id="o")
    assert order_times[0] == lease.taken_over_at
    assert order_times[1] >= lease.taken_over_at + ORDER_S


def test_late_order_to_an_engine_that_does_not_check_is_corrected(site):
    """Guards against an engine that stays in the state of a late order.

    A holder is paused between checking its lease and sending an order, for longer
    than any wait. The engine, which does not check fencing numbers, drops the
    model that callers are routed to. The holder of the lease corrects it in its
    next round.
    """
    site.acquire(site.holder("a"))
    second = site.holder("b")
    take_over(site, second)
    execution = site.execution(second)
    for upstream in site.upstreams:
        execution.ensure_models(upstream, ("m1",), order_id="new")
    late = EngineOrder(fence=1, order_id="old", models=("m0",))
    site.engines.order(site.upstreams[1], late)
    assert site.models()["e2"] == ["m0"]
    assert correct_engines(tables=site.tables, execution=execution) == ("e2",)
    assert site.models() == {"e1": ["m1"], "e2": ["m1"]}
    assert correct_engines(tables=site.tables, execution=execution) == ()


def test_correction_passes_over_engines_that_do_not_answer(site):
    site.engines.unreachable.add("e1")
    execution = site.execution(site.acquire(site.holder()))
    site.engines.accept(
        site.upstreams[1], EngineOrder(fence=0, order_id="x", models=("m0",))
    )
    assert correct_engines(tables=site.tables, execution=execution) == ("e2",)


class Handler(BaseHTTPRequestHandler):
    answers: list = []
    bodies: list = []

    def do_GET(self):
        self._answer()

    def do_POST(self):
        length = int(self.headers["Content-Length"])
        self.bodies.append(json.loads(self.rfile.read(length)))
        self._answer()

    def _answer(self):
        status, document = self.answers.pop(0)
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def test_engines_over_http():
    server = HTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    upstream = Upstream(
        name="e", pool="p", address=f"127.0.0.1:{server.server_address[1]}"
    )
    engines = HttpEngines(timeout_s=10.0)
    order = EngineOrder(fence=3, order_id="o", models=("m",))
    state = {"fence": 3, "order_id": "o", "models": ["m"], "role": "both"}
    Handler.answers = [(200, {}), (409, {}), (400, {}), (500, {})]
    Handler.answers += [(200, state | {"loaded": []}), (200, state), (200, {})]
    engines.order(upstream, order)
    assert Handler.bodies == [state]
    for kind in (StaleFenceError, OrderRefusedError, OrderError):
        with pytest.raises(kind) as caught:
            engines.order(upstream, order)
        assert type(caught.value) is kind
    assert engines.state(upstream).loaded == frozenset()
    assert engines.state(upstream).loaded == {"m"}
    with pytest.raises(OrderError):
        engines.state(upstream)
    server.shutdown()
    server.server_close()
    with pytest.raises(OrderError):
        engines.order(upstream, order)
