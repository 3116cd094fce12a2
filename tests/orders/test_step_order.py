"""Counts the moves that stay half done, by the order of their steps.

A fault is injected at every call to an engine and at the switch, alone and
together with a second one. Each move is then continued by up to three more holders
of the lease. It is half done if it is still open, or if an engine does not hold
exactly the models of the configuration in force. ``pytest -s`` prints the figures.
"""

import itertools
from dataclasses import dataclass, replace

from baobabwing.exceptions import BaobabwingError
from baobabwing.orders.moves import MoveStore
from baobabwing.orders.targets import engine_targets
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.plans import plan
from baobabwing.settings.plans.steps import Step, StepAction, StepKind
from baobabwing.settings.plans.store import PLANS_TABLE
from baobabwing.settings.publish import publish
from baobabwing.store.memory import Fault

FAULTS = ("lose_request", "lose_answer", "full", "die_before", "die_after", "conflict")
CALLS = 8
HOLDERS = 4


class KilledError(Exception):
    """Stands for the death of the process."""


@dataclass
class Tally:
    moves: int = 0
    half_done: int = 0
    unserved: int = 0


class Run:
    """A move with faults that are injected at numbered calls."""

    def __init__(self, site, faults, reorder):
        self.site = site
        self.faults = dict(faults)
        self.calls = 0
        self.unserved = 0
        self.rival_has_published = False
        self.roll_plan = self._plan(reorder)
        site.engines.on_order = self._on_order
        site.tables.on_call = self._on_call

    def _plan(self, reorder):
        roll_plan = plan(
            self.site.tables,
            intent="roll-version",
            arguments={"old": "m1", "new": "m2"},
            author="ana",
        )
        row = self.site.tables.read(PLANS_TABLE, roll_plan.id)
        changed = replace(roll_plan, steps=reorder(roll_plan.steps))
        value = row.value | {"steps": [_document(step) for step in changed.steps]}
        self.site.tables.put(PLANS_TABLE, roll_plan.id, value, expected=row.version)
        return changed

    def finish(self):
        for number in range(HOLDERS):
            if number and not MoveStore(tables=self.site.tables).open_moves():
                break
            holder = self.site.acquire(self.site.holder(f"holder {number}"))
            mover = self.site.mover(holder)
            try:
                if number == 0:
                    mover.begin(self.roll_plan, author="ana")
                mover.run_open_moves()
            except (KilledError, BaobabwingError):
                continue
        self.site.tables.on_call = None
        self.site.engines.on_order = None

    def is_half_done(self):
        cfg = fetch_configuration(self.site.tables)
        deviating = [
            target
            for target in engine_targets(cfg)
            if self.site.models()[target.upstream.name] != sorted(target.models)
        ]
        return bool(deviating or MoveStore(tables=self.site.tables).open_moves())

    def _next_fault(self):
        self.calls += 1
        return self.faults.pop(self.calls, None)

    def _on_order(self, upstream, order):
        self._count_unserved()
        fault = self._next_fault()
        if fault == "die_before":
            raise KilledError
        if fault == "die_after":
            self.site.engines.accept(upstream, order)
            raise KilledError
        if fault == "full":
            self.site.engines.full.add(upstream.name)
        if fault == "conflict":
            self._publish_as_rival()
        return fault if fault in ("lose_request", "lose_answer") else None

    def _on_call(self, call):
        if call.table != "configuration" or call.operation != "put":
            return None
        fault = self._next_fault()
        if fault == "die_before":
            raise KilledError
        if fault == "conflict":
            self._publish_as_rival()
        kinds = {
            "lose_request": Fault.LOSE_REQUEST,
            "lose_answer": Fault.LOSE_ANSWER,
            "die_after": Fault.LOSE_ANSWER,
        }
        return kinds.get(fault)

    def _publish_as_rival(self):
        if not self.rival_has_published:
            self.rival_has_published = True
            on_call, self.site.tables.on_call = self.site.tables.on_call, None
            cfg = fetch_configuration(self.site.tables)
            rival = replace(cfg, author="eva", attempt="")
            publish(self.site.tables, base=cfg.version, cfg=rival)
            self.site.tables.on_call = on_call

    def _count_unserved(self):
        """Count the engines that have not loaded the models callers are routed to."""
        on_call, self.site.tables.on_call = self.site.tables.on_call, None
        targets = engine_targets(fetch_configuration(self.site.tables))
        self.site.tables.on_call = on_call
        for target in targets:
            loaded = self.site.engines.states[target.upstream.name].loaded
            self.unserved += not loaded.issuperset(target.models)


def _document(step):
    return {
        "kind": step.kind,
        "action": step.action,
        "upstream": step.upstream,
        "models_after": list(step.models_after),
    }


def in_paper_order(steps):
    """Loads, the switch, unloads."""
    return steps


def in_plain_order(steps):
    """Replace the version engine by engine, then switch."""
    exchanges = tuple(
        Step(
            kind=StepKind.COMPENSATABLE,
            action=StepAction.LOAD,
            upstream=step.upstream,
            models_after=step.models_after,
        )
        for step in steps
        if step.action is StepAction.UNLOAD
    )
    switch = tuple(step for step in steps if step.action is StepAction.SWITCH)
    return (*exchanges, *switch)


def switching_first(steps):
    """Switch, then replace the version engine by engine."""
    exchanges = in_plain_order(steps)[:-1]
    switch = in_plain_order(steps)[-1:]
    return (*switch, *(replace(s, kind=StepKind.RETRIABLE) for s in exchanges))


def single_faults():
    return [((n, fault),) for n in range(1, CALLS + 1) for fault in FAULTS]


def double_faults():
    return [
        (first, second)
        for (first,), (second,) in itertools.product(single_faults(), repeat=2)
        if first[0] < second[0]
    ]


def measure(make_site, matrix, reorder):
    tally = Tally()
    for faults in matrix:
        run = Run(make_site(), faults, reorder)
        run.finish()
        tally.moves += 1
        tally.half_done += run.is_half_done()
        tally.unserved += run.unserved
    print(f"\n{reorder.__name__}, {len(matrix[0])} faults a move: {tally}")
    return tally


def test_one_fault_a_move(make_site):
    """Guards against moves that stay half done after one fault.

    Switching first routes callers to engines that have not loaded the version, and
    an engine without room for it leaves the move half done permanently. Replacing
    before the switch unloads the old version while callers are routed to it.
    """
    paper = measure(make_site, single_faults(), in_paper_order)
    plain = measure(make_site, single_faults(), in_plain_order)
    early = measure(make_site, single_faults(), switching_first)
    assert (paper.half_done, paper.unserved) == (0, 0)
    assert early.half_done > 0
    assert min(plain.unserved, early.unserved) > 0


def test_two_faults_a_move(make_site):
    """Guards against moves that stay half done after two faults.

    When replacing before the switch, an engine that unloaded the old version may
    have no room to load it again, so that the move can neither be finished nor
    undone.
    """
    paper = measure(make_site, double_faults(), in_paper_order)
    plain = measure(make_site, double_faults(), in_plain_order)
    assert (paper.half_done, paper.unserved) == (0, 0)
    assert plain.half_done > 0
    assert plain.unserved > 0
