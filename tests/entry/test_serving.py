"""Charging of requests, and closing of requests that fail with an error."""

import time
from types import SimpleNamespace

import pytest

from baobabwing.brands.catalogue import Organisation
from baobabwing.entry.dispatch import Dispatch, UpstreamCall, attempt_id
from baobabwing.entry.held_prompts import HeldPrompts
from baobabwing.entry.relay_report import RelayReport
from baobabwing.entry.serving import Delivery, Serving
from baobabwing.exceptions import RequestError
from baobabwing.reports.metrics import NodeMetrics
from baobabwing.requests.outcome import Outcome
from baobabwing.requests.registry import RequestRegistry
from baobabwing.requests.request import Placement, Request, RequestFacts

PLACEMENT = Placement(upstream="e", address="127.0.0.1:9", attempt_id="r.e", cell="p/0")


class FakeLimits:
    """Admits every request and records the tokens that are finally charged."""

    def __init__(self):
        self.settled = []

    def admit(self, organisation, tokens):
        return "ticket"

    def settle(self, admitted, tokens):
        self.settled.append(tokens)


class FakeContext(SimpleNamespace):
    """The components of a node that are needed to serve a request."""

    def require_catalogue(self):
        if not self.ready:
            raise RequestError("not ready", status=503, code="not_ready")
        organisation = Organisation(name="o", brand="b")
        return SimpleNamespace(organisation=lambda name: organisation)


@pytest.fixture
def serving():
    registry = RequestRegistry(retention_s=600.0)
    context = FakeContext(
        ready=True,
        limits=FakeLimits(),
        metrics=NodeMetrics(),
        registry=registry,
        held_prompts=HeldPrompts(),
        permits=SimpleNamespace(release=lambda message: None),
    )
    service = Serving(context=context)

    def dispatch(request, upstream_call, caller):
        request.permit(PLACEMENT)
        request.dispatch()
        return Dispatch(placement=PLACEMENT, answer=None, dispatched_at=0.0)

    service.dispatcher.dispatch = dispatch
    return service


def registered_request(serving):
    request = Request(
        facts=RequestFacts(
            request_id="r",
            key="",
            brand="b",
            organisation="o",
            tier="chat",
            tier_rank=0,
            pool="p",
            prompt_tokens=10,
            output_tokens=500,
            deadline=time.monotonic() + 60,
        )
    )
    assert serving.context.registry.register(request, 0.0) is None
    return request


CALL = SimpleNamespace(caller_socket=None)
UPSTREAM_CALL = UpstreamCall(
    method="POST", target="/", body=b"", headers={}, prefix=(1, 2)
)


def test_an_organisation_is_charged_the_tokens_used(serving):
    """An organisation would be refused for tokens that it never received.

    It requests at most 500 tokens and the answer ends after 3. The estimate, which
    is charged first, has to be replaced by the actual number.
    """

    def deliver(request, dispatch):
        return Delivery(outcome=Outcome.ANSWERED, report=RelayReport(next_id=3))

    serving.run(CALL, registered_request(serving), UPSTREAM_CALL, deliver)
    assert serving.context.limits.settled == [13]


@pytest.mark.parametrize("lost", [True, False])
def test_lost_engine_accuses_the_prompt_that_it_began(serving, monkeypatch, lost):
    """Jobs with one bad beginning each ended another engine."""
    recorded = []
    held_prompts = serving.context.held_prompts
    monkeypatch.setattr(
        held_prompts, "lost", lambda *args, **times: recorded.append(args)
    )

    def deliver(request, dispatch):
        dispatch.lost_at = 1.0 if lost else None
        return Delivery(outcome=Outcome.UNKNOWN)

    serving.run(CALL, registered_request(serving), UPSTREAM_CALL, deliver)
    assert recorded == ([("r", (1, 2))] if lost else [])


def test_a_request_that_fails_before_dispatch_is_closed(serving):
    """A graceful stop would wait until its deadline for a request left open.

    The host is partitioned after the request was registered and before it is
    charged, which raises an error. The request has to end as not run.
    """
    request = registered_request(serving)
    serving.context.ready = False
    with pytest.raises(RequestError):
        serving.run(CALL, request, None, lambda *delivery: None)
    assert request.outcome is Outcome.NOT_RUN
    assert serving.context.registry.open_requests() == ()


def test_attempt_id_hides_the_upstream_name():
    """A brand's caller could read the names of the operator's engines.

    The attempt id is in the head of the answer and in each event.
    """
    first = attempt_id("req-1", "engine-g3-west-7")
    assert "engine" not in first
    assert first.startswith("req-1.")
    assert first != attempt_id("req-1", "engine-g3-west-8")
