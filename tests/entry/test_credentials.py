"""Authentication of callers by the digests of their keys."""

import pytest

from baobabwing.brands.catalogue import Brand, Credential, Organisation, Tier
from baobabwing.brands.operators import token_digest
from baobabwing.entry.credentials import CredentialIndex, bearer_token
from baobabwing.exceptions import RequestError
from baobabwing.settings.configuration import Configuration

TIMES = {"first_token_ms": 1, "between_tokens_ms": 1, "deadline_ms": 1}
KEY = "a key of some length"


@pytest.fixture
def index():
    cfg = Configuration(
        version=1,
        tiers=tuple(
            Tier(name=name, rank=rank, **TIMES)
            for rank, name in enumerate(("high", "middle", "low"))
        ),
        brands=(Brand(name="b"),),
        organisations=(Organisation(name="o", brand="b"),),
        credentials=(
            Credential(
                name="k", sha256=token_digest(KEY), organisation="o", tier="middle"
            ),
        ),
    )
    return CredentialIndex(cfg=cfg)


def test_a_key_identifies_its_caller(index):
    for header in (f"Bearer {KEY}", f"bearer  {KEY} "):
        caller = index.identify(header)
        assert (caller.organisation.name, caller.tier.name) == ("o", "middle")


@pytest.mark.parametrize(
    "header",
    ["", "Bearer", "Bearer ", KEY, f"Basic {KEY}", f"Bearer {KEY}x", "Bearer \xff"],
)
def test_an_invalid_authorization_is_refused(index, header):
    with pytest.raises(RequestError) as caught:
        index.identify(header)
    assert caught.value.status == 401
    assert KEY not in str(caught.value)


def test_the_digest_is_not_accepted_as_a_key(index):
    """A reader of the configuration sends a digest as the key."""
    with pytest.raises(RequestError):
        index.identify(f"Bearer {token_digest(KEY)}")


def test_a_request_may_go_below_the_tier_of_its_key_only(index):
    assert index.identify(f"Bearer {KEY}", "low").tier.name == "low"
    with pytest.raises(RequestError) as caught:
        index.identify(f"Bearer {KEY}", "high")
    assert caught.value.status == 400


def test_bearer_token():
    assert bearer_token("Bearer a") == "a"
    assert bearer_token("Basic a") == ""
