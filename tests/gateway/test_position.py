"""Order and text of positions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabwing.gateway.position import NOWHERE, Position

POSITIONS = st.builds(Position, era=st.integers(0, 9), version=st.integers(0, 10**12))


def test_order_is_by_era_and_then_by_version():
    before = Position(era=1, version=900)
    assert before < Position(era=2, version=300)
    assert before < Position(era=1, version=901)
    assert before > NOWHERE


@given(POSITIONS)
def test_text_and_parse_are_inverse(position):
    assert Position.parse(str(position)) == position


@pytest.mark.parametrize("text", ["", "7", "1.", ".1", "1.2.3", "-1.2", "a.b", "1.²"])
def test_malformed_text_is_refused(text):
    with pytest.raises(ValueError, match="invalid position"):
        Position.parse(text)
