"""Figures that upstreams report of their load."""

import pytest

from baobabwing.gateway.decisions.told_load import parse_told_load

CASES = [
    (b"3,0,5", (3, 0, 5, None), 0),
    (b"3,0,5,170", (3, 0, 5, 170), 0),
    (b" 3 , 0,5 ,170 ,9,x", (3, 0, 5, 170), 0),
    (b"3,0,5,fast", (3, 0, 5, None), 1),
    (b"-1,?,5,170", (None, None, 5, 170), 2),
    (b"3,0,0,0", (3, 0, None, None), 2),
    (b"3,0,5,10001", (3, 0, 5, None), 1),
    (b"3,0,5," + b"9" * 5000, (3, 0, 5, None), 1),
    (b"+3,1e2,5.0,\xb2", (None, None, None, None), 4),
    (b"3", (3, None, None, None), 0),
    (b"", (None, None, None, None), 1),
]


@pytest.mark.parametrize(("value", "figures", "rejected"), CASES)
def test_bad_figure_does_not_take_the_others_along(value, figures, rejected):
    """A header with four figures was once dropped as a whole."""
    load = parse_told_load(value, 1.5)
    assert (load.running, load.waiting, load.slots, load.work_percent) == figures
    assert (load.rejected, load.at) == (rejected, 1.5)


def test_answer_without_the_header_reports_nothing():
    assert parse_told_load(None, 1.0) is None
