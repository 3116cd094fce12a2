"""The registry recognises every key that is still valid."""

from baobabwing.requests.outcome import Outcome
from baobabwing.requests.registry import RequestRegistry


def _registry():
    return RequestRegistry(retention_s=10.0)


def _run(req, placement, outcome=Outcome.ANSWERED):
    req.permit(placement)
    req.dispatch()
    req.close(outcome)


def test_retry_finds_the_first_attempt(make_request):
    """A caller retries a request while its first attempt is still running."""
    registry = _registry()
    first, second = make_request(1, key="k"), make_request(2, key="k")
    assert registry.register(first, 0.0) is None
    assert registry.register(second, 0.0) is first
    assert registry.find("salon", "k") is first


def test_retry_after_the_end_finds_the_first_attempt(make_request, make_placement):
    registry = _registry()
    first = make_request(1, key="k")
    registry.register(first, 0.0)
    _run(first, make_placement(), Outcome.UNKNOWN)
    registry.mark_closed(first, 1.0)
    assert registry.register(make_request(2, key="k"), 10.9) is first


def test_key_of_a_request_not_run_may_be_used_again(make_request):
    registry = _registry()
    first, second = make_request(1, key="k"), make_request(2, key="k")
    registry.register(first, 0.0)
    first.give_up()
    assert registry.register(second, 0.0) is None
    registry.mark_closed(first, 0.0)
    assert registry.register(make_request(3, key="k"), 0.0) is second


def test_late_leave_of_the_first_attempt_keeps_the_second(make_request):
    """A first attempt that was not run is closed only after the second has begun.

    If that dropped the key, a third attempt would be dispatched in parallel to the
    second.
    """
    registry = _registry()
    first, second = make_request(1, key="k"), make_request(2, key="k")
    registry.register(first, 0.0)
    first.give_up()
    registry.register(second, 0.0)
    registry.mark_closed(first, 0.0)
    assert registry.register(make_request(3, key="k"), 100.0) is second


def test_open_request_is_never_forgotten(make_request):
    registry = _registry()
    first = make_request(1, key="k")
    registry.register(first, 0.0)
    assert registry.register(make_request(2, key="k"), 1e6) is first


def test_closed_request_is_forgotten_after_the_retention(make_request, make_placement):
    registry = _registry()
    first = make_request(1, key="k")
    registry.register(first, 0.0)
    _run(first, make_placement())
    registry.mark_closed(first, 0.0)
    registry.register(make_request(2, key="other"), 11.0)
    assert registry.find("salon", "k") is None
    assert registry.size() == 2


def test_keys_belong_to_their_organisation(make_request):
    """Two organisations use the same key; neither may get the other's answer."""
    registry = _registry()
    assert registry.register(make_request(1, key="k"), 0.0) is None
    rival = make_request(2, key="k", organisation="rival")
    assert registry.register(rival, 0.0) is None


def test_requests_without_a_key_are_independent(make_request):
    registry = _registry()
    assert registry.register(make_request(1), 0.0) is None
    assert registry.register(make_request(2), 0.0) is None
    assert len(registry.open_requests()) == 2


def test_dispatched_in_lists_permitted_requests_of_one_cell(
    make_request, make_placement
):
    """A new home gets the permitted and dispatched requests of its cell only."""
    registry = _registry()
    received, permitted, sent, other = (make_request(n) for n in range(4))
    for req in (received, permitted, sent, other):
        registry.register(req, 0.0)
    permitted.permit(make_placement())
    sent.permit(make_placement())
    sent.dispatch()
    other.permit(make_placement(cell="assistant/1"))
    listed = {req for req, _ in registry.permitted_in("assistant/0")}
    assert listed == {permitted, sent}
