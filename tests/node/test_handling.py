"""The inflight requests that a node reports to a new home of a cell."""

from baobabwing.entry.dispatch import scoped_key
from baobabwing.node.handling import inflight_of
from baobabwing.requests.registry import RequestRegistry
from baobabwing.requests.request import Placement, Request, RequestFacts


def test_new_home_receives_keys_with_their_organisation():
    """Guards against a new home that cannot find the key of a running stream.

    A home dies, and then the host of an open stream. The caller's retry queries
    the new home where its key was dispatched. If the key was reported without its
    organisation, the new home does not find it, and the running stream counts as
    "unknown".
    """
    registry = RequestRegistry(retention_s=10.0)
    req = Request(
        facts=RequestFacts(
            request_id="r",
            key="k",
            brand="tijera",
            organisation="salon",
            tier="chat",
            tier_rank=0,
            pool="assistant",
            prompt_tokens=1,
            output_tokens=1,
            deadline=1.0,
        )
    )
    registry.register(req, 0.0)
    req.permit(Placement(upstream="e", address="x", attempt_id="a", cell="assistant/0"))
    (item,) = inflight_of(registry, "assistant/0").items
    assert item.key == scoped_key("salon", "k")
