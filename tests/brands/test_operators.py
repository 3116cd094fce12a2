"""Operators, their roles and the brands that they are confined to."""

import pytest

from baobabwing.brands.operators import (
    AccessError,
    Operator,
    Role,
    find_operator,
    token_digest,
)


def make_operator(name="ana", role=Role.EDITOR, brands=()):
    return Operator(
        name=name, sha256=token_digest(f"{name}-token"), role=role, brands=brands
    )


def test_roles_include_those_before():
    for rank, role in enumerate(Role):
        included = [
            other for other in Role if make_operator(role=role).includes_role(other)
        ]
        assert included == list(Role)[: rank + 1]
    with pytest.raises(AccessError, match="wanted is admin"):
        make_operator().require(Role.ADMIN, "plan")


def test_confined_operator_covers_own_brands_only():
    confined = make_operator(brands=("a", "b"))
    assert confined.has_access_to_all({"a"})
    assert confined.has_access_to_all({"a", "b"})
    assert not confined.has_access_to_all({"a", "c"})
    assert not confined.has_access_to_all(())
    assert make_operator().has_access_to_all(())


def test_a_token_finds_its_operator():
    known = (make_operator("ana"), make_operator("eva"))
    assert find_operator(known, "eva-token") == known[1]
    assert find_operator(known, "eva-token ") is None
    assert find_operator(known, "") is None
    assert find_operator(known, known[0].sha256) is None
    assert find_operator(known, "\udcff") is None
