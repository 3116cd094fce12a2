"""State machine of a request: it is dispatched at most once and ends once."""

import threading

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from baobabwing.requests.outcome import Outcome
from baobabwing.requests.request import (
    Placement,
    Request,
    RequestFacts,
    RequestState,
    StateError,
)

AFTER_DISPATCH = (Outcome.ANSWERED, Outcome.UNKNOWN, Outcome.PARTIAL)


def test_full_lifecycle(make_request, make_placement):
    req = make_request()
    assert (req.state, req.outcome, req.placement) == (0, None, None)
    req.permit(make_placement())
    assert req.state is RequestState.PERMITTED
    req.dispatch()
    assert req.placement.upstream == "engine-1"
    req.close(Outcome.ANSWERED, stored=b"x")
    assert (req.state, req.outcome) == (RequestState.CLOSED, Outcome.ANSWERED)
    assert req.stored_answer == b"x"


def test_dispatched_once(make_request, make_placement):
    """An engine's connection breaks after the first byte, and a retry follows.

    A second dispatch could run the request twice, so it must fail.
    """
    req = make_request()
    req.permit(make_placement())
    req.dispatch()
    with pytest.raises(StateError):
        req.dispatch()
    with pytest.raises(StateError):
        req.permit(make_placement("engine-2"))
    assert req.placement.upstream == "engine-1"


def test_dispatched_request_never_ends_as_not_run(make_request, make_placement):
    """A host stops while a request is at an engine, which may still run it."""
    req = make_request()
    req.permit(make_placement())
    req.dispatch()
    assert req.give_up() is False
    with pytest.raises(StateError):
        req.close(Outcome.NOT_RUN)
    assert req.state is RequestState.DISPATCHED


def test_request_given_up_is_never_dispatched(make_request, make_placement):
    """A stop ends a queued request as "not run"; then its permit arrives late."""
    req = make_request()
    assert req.give_up() is True
    with pytest.raises(StateError):
        req.permit(make_placement())
    with pytest.raises(StateError):
        req.dispatch()
    assert req.outcome is Outcome.NOT_RUN


def test_given_up_between_permit_and_first_byte(make_request, make_placement):
    """A stop between the permit and the first byte prevents the dispatch."""
    req = make_request()
    req.permit(make_placement())
    assert req.give_up() is True
    with pytest.raises(StateError):
        req.dispatch()


def test_only_one_of_dispatch_and_give_up_wins(make_request, make_placement):
    """Two threads race to dispatch and to give up a request, 200 times."""
    for number in range(200):
        req = make_request(number)
        req.permit(make_placement())
        start = threading.Barrier(2)
        dispatched = []

        def dispatch(req=req, start=start, dispatched=dispatched):
            start.wait()
            try:
                req.dispatch()
            except StateError:
                return
            dispatched.append(True)

        thread = threading.Thread(target=dispatch)
        thread.start()
        start.wait()
        certain = req.give_up()
        thread.join()
        assert certain is not bool(dispatched)


def test_refusing_upstream_is_not_tried_again(make_request, make_placement):
    """An engine refuses a request explicitly; only another engine may get it."""
    req = make_request()
    req.permit(make_placement())
    req.dispatch()
    req.revert_dispatch()
    assert (req.state, req.placement) == (RequestState.RECEIVED, None)
    with pytest.raises(StateError):
        req.permit(make_placement())
    req.permit(make_placement("engine-2"))
    req.dispatch()


def test_ends_once(make_request, make_placement):
    req = make_request()
    req.permit(make_placement())
    req.dispatch()
    req.close(Outcome.UNKNOWN)
    with pytest.raises(StateError):
        req.close(Outcome.ANSWERED)
    assert req.give_up() is False
    assert req.outcome is Outcome.UNKNOWN


def test_undispatched_request_ends_as_not_run_only(make_request, make_placement):
    req = make_request()
    req.permit(make_placement())
    for outcome in AFTER_DISPATCH:
        with pytest.raises(StateError):
            req.close(outcome)
    req.close(Outcome.NOT_RUN)


def test_waiting_for_dispatch_and_end(make_request, make_placement):
    req = make_request()
    req.permit(make_placement())
    assert not req.wait_settled(0.0)
    waiting = threading.Thread(target=req.wait_closed, args=(20.0,))
    waiting.start()
    req.dispatch()
    assert req.wait_settled(0.0)
    assert not req.wait_closed(0.0)
    req.close(Outcome.ANSWERED)
    waiting.join(20.0)
    assert not waiting.is_alive()


class RequestMachine(RuleBasedStateMachine):
    """Calls in any order, checked against the dispatches and reported outcomes."""

    @initialize()
    def begin(self):
        self.req = Request(
            facts=RequestFacts(
                request_id="r",
                key="k",
                brand="b",
                organisation="o",
                tier="t",
                tier_rank=0,
                pool="p",
                prompt_tokens=1,
                output_tokens=1,
                deadline=1.0,
            )
        )
        self.running = 0
        self.refused = set()
        self.reported = []

    def _attempt(self, action):
        try:
            return action()
        except StateError:
            return None

    @rule(number=st.integers(1, 3))
    def permit(self, number):
        placement = Placement(
            upstream=f"e{number}", address="x", attempt_id="a", cell="p/0"
        )
        self._attempt(lambda: self.req.permit(placement))

    @rule()
    def dispatch(self):
        def send():
            self.req.dispatch()
            assert self.req.placement.upstream not in self.refused
            self.running += 1

        self._attempt(send)

    @rule()
    def refuse(self):
        placement = self.req.placement

        def refuse_attempt():
            self.req.revert_dispatch()
            self.refused.add(placement.upstream)
            self.running -= 1

        self._attempt(refuse_attempt)

    @rule(outcome=st.sampled_from(Outcome))
    def close(self, outcome):
        def end():
            self.req.close(outcome)
            self.reported.append(outcome)

        self._attempt(end)

    @rule()
    def give_up(self):
        already = self.req.outcome
        if self.req.give_up() and already is None:
            self.reported.append(Outcome.NOT_RUN)

    @invariant()
    def promises_hold(self):
        if not hasattr(self, "req"):
            return
        assert 0 <= self.running <= 1
        assert len(self.reported) <= 1
        if Outcome.NOT_RUN in self.reported:
            assert self.running == 0
        if set(self.reported) & set(AFTER_DISPATCH):
            assert self.running == 1


def test_any_order_of_calls():
    run_state_machine_as_test(
        RequestMachine,
        settings=settings(
            max_examples=100, stateful_step_count=20, derandomize=True, database=None
        ),
    )
