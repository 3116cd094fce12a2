"""Which engines are scheduled together."""

import pytest

from baobabwing.gateway.decisions.cells import cell_layout


def names(count):
    return [f"i-{number:04}" for number in range(count)]


@pytest.mark.parametrize("count", [0, 1, 9, 16])
def test_few_engines_are_one_cell(count):
    assert cell_layout(names(count)) == (tuple(names(count)),)


@pytest.mark.parametrize("count", [17, 45, 600])
def test_each_engine_is_in_one_cell(count):
    cells = cell_layout(reversed(names(count)))
    assert len(cells) == -(-count // 16)
    assert sorted(name for cell in cells for name in cell) == names(count)


def test_one_that_goes_moves_no_other():
    """An engine leaves. The others stay where they are, and with them what runs."""
    before = cell_layout(names(45))
    after = cell_layout(names(45)[:-1])
    gone = {"i-0044"}
    assert [set(cell) - gone for cell in before] == [set(cell) for cell in after]


def test_one_cell_more_takes_only_what_belongs_there():
    before = cell_layout(names(48))
    after = cell_layout([*names(48), "new"])
    assert (len(before), len(after)) == (3, 4)
    for was, now in zip(before, after, strict=False):
        assert set(now) - {"new"} <= set(was)
