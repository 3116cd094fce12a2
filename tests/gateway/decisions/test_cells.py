"""Tests of the division of a pool into cells."""

import pytest

from baobabwing.gateway.decisions.cells import cell_layout


def make_names(count):
    return [f"i-{number:04}" for number in range(count)]


@pytest.mark.parametrize("count", [0, 1, 9, 16])
def test_few_engines_form_one_cell(count):
    assert cell_layout(make_names(count)) == (tuple(make_names(count)),)


@pytest.mark.parametrize("count", [17, 45, 600])
def test_each_engine_is_in_one_cell(count):
    cells = cell_layout(reversed(make_names(count)))
    assert len(cells) == -(-count // 16)
    assert sorted(name for cell in cells for name in cell) == make_names(count)


def test_removed_engine_moves_no_other():
    """An engine leaves; the others and their requests must stay in their cells."""
    before = cell_layout(make_names(45))
    after = cell_layout(make_names(45)[:-1])
    removed = {"i-0044"}
    assert [set(cell) - removed for cell in before] == [set(cell) for cell in after]


def test_additional_cell_moves_no_engine_between_the_others():
    before = cell_layout(make_names(48))
    after = cell_layout([*make_names(48), "new"])
    assert (len(before), len(after)) == (3, 4)
    for old, new in zip(before, after, strict=False):
        assert set(new) - {"new"} <= set(old)
