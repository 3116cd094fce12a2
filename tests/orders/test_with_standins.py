"""Commands carry out plans against stand-ins that run as processes."""

import json
import signal
import subprocess
import sys

import pytest
import typer
import urllib3
from typer.testing import CliRunner

from baobabwing.cli import plan as plan_commands
from baobabwing.orders.execution import OrderTiming
from baobabwing.pools.catalogue import Pool, PoolKind, Upstream
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.plans import list_plans
from baobabwing.settings.publish import publish
from baobabwing.store.tables import TableClient

TIMEOUT_S = 20.0
TIMEOUT_MS = "5000"
TIMING = OrderTiming(
    order_s=1.0, load_s=TIMEOUT_S, poll_s=0.02, load_spacing_s=0.0, settle_s=0.05
)


class Standins:
    """A platform and two engines, one of which ignores fencing numbers."""

    def __init__(self):
        self._processes = []
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self.platform = self._start("platform", "--weight-loads-per-s", "100")
        engine = ("engine", "--model", "m1", "--load-ms", "20")
        self.engines = (
            self._start(*engine, "--fencing"),
            self._start(*engine, "--no-fencing"),
        )

    def _start(self, *options):
        command = [sys.executable, "-m", "baobabwing.cli.standin", *options]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self._processes.append(process)
        return json.loads(process.stdout.readline())["listening"]

    def fault(self, address, name, **order):
        body = json.dumps({"fault": name, **order})
        url = f"http://{address}/control/faults"
        assert self._http.request("POST", url, body=body).status == 204

    def loaded(self):
        return [self._state(address)["loaded"] for address in self.engines]

    def orders(self, address):
        url = f"http://{address}/control/record"
        return self._http.request("GET", url).json()["orders"]

    def _state(self, address):
        return self._http.request("GET", f"http://{address}/orders").json()

    def stop(self):
        for process in self._processes:
            process.send_signal(signal.SIGTERM)
            process.wait(TIMEOUT_S)
            process.stdout.close()


@pytest.fixture
def standins():
    running = Standins()
    yield running
    running.stop()


@pytest.fixture
def tables(standins):
    client = TableClient(url=f"http://{standins.platform}", timeout_s=TIMEOUT_S)
    upstreams = tuple(
        Upstream(name=f"e{number}", pool="p", address=address, checks_fencing=checks)
        for number, (address, checks) in enumerate(
            zip(standins.engines, (True, False), strict=True)
        )
    )
    pool = Pool(name="p", kind=PoolKind.ENGINE, models=("m1",))
    cfg = Configuration(version=0, pools=(pool,), upstreams=upstreams)
    publish(client, base=0, cfg=cfg)
    return client


@pytest.fixture
def run(standins, monkeypatch):
    monkeypatch.setattr(plan_commands, "OrderTiming", lambda: TIMING)
    app = typer.Typer()
    app.add_typer(plan_commands.app, name="plan")
    app.command()(plan_commands.confirm)
    options = ["--platform", f"http://{standins.platform}", "--author", "ana"]
    options += ["--timeout-ms", TIMEOUT_MS]

    return lambda *arguments: CliRunner().invoke(app, [*arguments, *options])


def test_roll_version_by_commands(standins, tables, run):
    shown = run("plan", "roll-version", "--old", "m1", "--new", "m2")
    assert "no-fencing: e1" in shown.output
    (roll_plan,) = list_plans(tables)
    confirmed = run("confirm", roll_plan.id)
    assert "version 2 accepted" in confirmed.output
    assert standins.loaded() == [["m2"], ["m2"]]
    assert fetch_configuration(tables).pools[0].models == ("m2",)
    assert run("confirm", roll_plan.id).exit_code == 0
    for address in standins.engines:
        assert [order["order"]["models"] for order in standins.orders(address)] == [
            ["m1", "m2"],
            ["m2"],
        ]


def test_answers_lost_on_both_sides(standins, tables, run):
    """Guards against a plan that is carried out twice after lost answers.

    The store's answers to a confirmation are lost, and then an engine's. The exit
    code says that the effect is unknown, and the operator confirms again.
    """
    run("plan", "roll-version", "--old", "m1", "--new", "m2")
    (roll_plan,) = list_plans(tables)
    standins.fault(standins.engines[0], "drop_after_effect", count=1)
    standins.fault(standins.platform, "lose_answer", count=3)
    assert run("confirm", roll_plan.id).exit_code == 5
    confirmed = run("confirm", roll_plan.id)
    assert "version 2 accepted" in confirmed.output
    assert standins.loaded() == [["m2"], ["m2"]]
    assert fetch_configuration(tables).version == 2


def test_store_down(standins, tables, run):
    run("plan", "roll-version", "--old", "m1", "--new", "m2")
    (roll_plan,) = list_plans(tables)
    standins.fault(standins.platform, "down")
    assert run("confirm", roll_plan.id).exit_code == 4
    assert standins.loaded() == [["m1"], ["m1"]]
