"""Operators' changes are written and spread while things fail."""

import contextlib
import threading

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabwing.bench.control import answers_ok, clear_faults
from baobabwing.bench.deployments import PLATFORM
from baobabwing.bench.processes import wait_until
from baobabwing.exceptions import ConflictError, PlatformUnavailableError

scenarios("operators.feature")

SECONDS = 5.0
HURT = "node-3"


class Watch:
    """Reads the versions in force at all hosts, over and over."""

    def __init__(self, site):
        self._site = site
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.seen = {name: [] for name in site.nodes}
        self._thread.start()

    def stop(self):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(0.02):
            for name, versions in self.seen.items():
                if not self._site.group.get(name).alive() or name == HURT:
                    continue
                version = self._site.version(name)
                if version > 0:
                    versions.append(version)


@pytest.fixture
def watch(site):
    watching = Watch(site)
    yield watching
    watching.stop()


@given("a running site")
def _running(site, watch):
    assert len({site.version(name) for name in site.nodes}) == 1


def _before(site, fault):
    if fault == "the store loses the answer":
        site.fault(PLATFORM, "lose_answer", count=1)
    elif fault == "the store is slow":
        site.fault(PLATFORM, "slow", value=150)
    elif fault == "the store's list of hosts is wrong":
        site.fault(PLATFORM, "list_error", value="leaving", names=("node-1", "node-2"))


def _after(site, fault):
    if fault == "the store goes down":
        site.fault(PLATFORM, "down")
    elif fault == "a host is killed":
        site.kill(HURT)
    elif fault == "a host is frozen":
        site.group.freeze(HURT)
    elif fault == "the store shows what was before":
        site.fault(PLATFORM, "stale", value=1_000)


@when(
    parsers.re(r"(?P<fault>.+) (?P<step>(while|once) a change is written)$"),
    target_fixture="accepted",
)
def _change(site, fault, step):
    _before(site, fault)
    accepted = _publish(site)
    if fault == "the store goes down":
        # One host at least has to have it; which, is left to chance.
        assert wait_until(lambda: _has_it(site, accepted.version), timeout_s=SECONDS)
    _after(site, fault)
    if fault == "a host is frozen":
        assert wait_until(
            lambda: site.version("node-1") == accepted.version, timeout_s=SECONDS
        )
        site.group.thaw(HURT)
    if fault == "a host is killed":
        site.restart_node(HURT)
    return accepted


def _publish(site):
    """Change something, and again when told that nothing was changed."""
    try:
        return site.change(lambda cfg: cfg)
    except PlatformUnavailableError:
        return site.change(lambda cfg: cfg)


def _has_it(site, version):
    return any(site.version(name) == version for name in site.nodes)


@when("two operators change the same version", target_fixture="accepted")
def _race(site, race):
    return race["accepted"]


@pytest.fixture
def race(site):
    start = threading.Barrier(2)
    found = {"conflicts": []}

    def change(author):
        def edit(cfg):
            start.wait()
            return cfg

        try:
            found["accepted"] = site.change(edit, author=author)
        except ConflictError as exc:
            found["conflicts"].append(exc)

    threads = [threading.Thread(target=change, args=(name,)) for name in ("ana", "leo")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


@then("one change is accepted and the other is told of the conflict")
def _one_conflict(race):
    assert len(race["conflicts"]) == 1


@then("the change is in force at every host within seconds")
def _in_force(site, accepted):
    def everywhere():
        return all(site.version(name) == accepted.version for name in site.nodes)

    assert wait_until(everywhere, timeout_s=SECONDS)


@then("no host ever went back to a lower version")
def _never_lower(watch):
    watch.stop()
    for versions in watch.seen.values():
        assert versions == sorted(versions)


@when("a host is killed and starts again while the store is down")
def _start_without_store(site):
    site.fault(PLATFORM, "down")
    site.kill(HURT)
    site.restart_node(HURT)


@then("it serves with the version that its peers have")
def _serves(site):
    with contextlib.ExitStack() as stack:
        stack.callback(clear_faults, site.platform)
        address = site.nodes[HURT]
        assert wait_until(lambda: answers_ok(address, "/readyz"), timeout_s=20.0)
        assert site.version(HURT) == site.version("node-1")
