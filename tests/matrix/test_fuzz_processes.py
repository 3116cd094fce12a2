"""Stateful fuzzing of a site of real processes, with fewer steps than in process."""

import time

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import seed as fixed_seed
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from baobabwing.bench.deployments import PLATFORM
from baobabwing.bench.matrix.caller import Caller, Ending, Job
from baobabwing.bench.matrix.oracle import judge
from baobabwing.bench.matrix.site import ENGINES, SERVICES

NODES = ("node-1", "node-2", "node-3")
IDLE_S = 40.0
STEPS = 15
SEED = 4

nodes = st.sampled_from(NODES)
engines = st.sampled_from(ENGINES)
upstreams = st.sampled_from((*ENGINES, *SERVICES))


class SiteMachine(RuleBasedStateMachine):
    """Attempts that overlap with faults, checked when the site is idle again."""

    site = None
    # Shared by all examples: a request that its caller abandoned may still be executed
    # after the next example has started.
    scripts = None
    began_s = 0.0

    def __init__(self):
        super().__init__()
        self.site.heal()
        self.epoch_s = time.time()
        credential = self.site.shape.credential_key("pocitos", "chat")
        self.caller = Caller(credential=credential)
        self.jobs = []
        self.tries = []

    def _send(self, job, node, last=None):
        address = self.site.address(node)
        self.tries.append(self.caller.begin(job, address, last_event=last))

    @rule(node=nodes, tokens=st.integers(1, 150), service=st.booleans())
    def send(self, node, tokens, service):
        name = f"{len(self.jobs)}-{self.epoch_s}"
        key = name
        if not service:
            try:
                key = self.caller.key_at(self.site.address(node), name)
            except (OSError, LookupError, ValueError):
                return
        job = Job(text=f"a cut {name}", key=key, tokens=tokens, service=service)
        self.jobs.append(job)
        self._send(job, node)

    @rule(node=nodes, number=st.integers(0, 3), offset=st.booleans())
    def send_again(self, node, number, offset):
        if not self.jobs:
            return
        job = self.jobs[-1 - number % len(self.jobs)]
        words = self.caller.words_of(job)
        resuming = offset and words and not job.service
        self._send(job, node, len(words) - 1 if resuming else None)

    @rule(hard=st.booleans())
    def leave(self, hard):
        if self.tries:
            self.tries[-1].leave(hard=hard)

    @rule(words=st.integers(1, 20))
    def wait_words(self, words):
        if self.tries:
            self.tries[-1].wait_words(words, timeout_s=1.0)

    @rule(node=nodes)
    def kill_node(self, node):
        self.site.kill(node)

    @rule(node=nodes)
    def start_node(self, node):
        if not self.site.group.get(node).alive():
            self.site.restart_node(node)

    @rule(name=nodes | engines)
    def freeze(self, name):
        if self.site.group.get(name).alive():
            self.site.group.freeze(name)

    @rule(name=nodes | engines)
    def thaw(self, name):
        if self.site.group.get(name).alive():
            self.site.group.thaw(name)

    @rule(
        name=upstreams,
        fault=st.sampled_from(("drop_after_effect", "answer_twice", "refuse", "fail")),
    )
    def hurt_upstream(self, name, fault):
        self.site.group.thaw(name)
        self.site.fault(name, fault, count=1)

    @rule(name=engines, value=st.integers(1, 10))
    def cut(self, name, value):
        self.site.group.thaw(name)
        self.site.fault(name, "cut_stream_after", value=value, count=1)

    @rule(fault=st.sampled_from(("down", "lose_answer", "slow")))
    def hurt_store(self, fault):
        value = {"slow": 400}.get(fault)
        self.site.fault(PLATFORM, fault, value=value, for_ms=1_000)

    def teardown(self):
        self.site.heal()
        for one in self.tries:
            one.wait()
        assert self.site.wait_idle(timeout_s=IDLE_S)
        runs = self.site.executions(epoch_s=self.began_s)
        recent = [one for one in runs if one.started_s >= 0]
        self.scripts.extend(self.caller.transcripts)
        assert not judge(self.scripts, recent, epoch_s=self.began_s)
        # The failure of a service is a valid answer, that of an engine is not.
        others = [one for one in self.scripts if one.ending is Ending.OTHER]
        assert all(one.job.service for one in others), others


@pytest.mark.matrix
def test_any_order_of_faults_over_processes(running_site, request):
    """Guard against violations under any order of requests, kills, freezes and cuts."""
    seed = request.config.getoption("--fuzz-seed") or SEED
    shared = {"site": running_site, "scripts": [], "began_s": time.time()}
    machine = type("Fuzz", (SiteMachine,), shared)
    options = settings(
        max_examples=request.config.getoption("--process-examples"),
        stateful_step_count=STEPS,
        database=None,
        deadline=None,
        # Failures also depend on the timing of the host, so shrinking is not useful.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(fixed_seed(seed)(machine), settings=options)
