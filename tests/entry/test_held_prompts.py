"""Prompts that crash engines are refused by the node that saw it."""

import time
from types import SimpleNamespace

import pytest

from baobabwing.entry.dispatch import Dispatcher, RefusedError, UpstreamCall
from baobabwing.entry.held_prompts import HeldPrompts

COMMON, BAD = 1, 2


def lose(held_prompts, number, *prefix, ran_s=0.1, began_s=None):
    """Record that an engine was lost under a request, the next second."""
    lost_at = time.monotonic() - 100.0 + number
    held_prompts.lost(
        f"req-{number}",
        prefix,
        sent_at=lost_at - ran_s,
        lost_at=lost_at,
        began_at=None if began_s is None else lost_at - began_s,
    )


def test_prompts_with_a_bad_beginning_are_refused_after_three_engines_were_lost():
    """Each job ended one more engine, as it came under another key."""
    held_prompts = HeldPrompts()
    for number in (1, 2, 3):
        assert held_prompts.refused_s((COMMON, BAD, 90)) == 0.0
        lose(held_prompts, number, COMMON, BAD, 10 + number)
        held_prompts.answered((COMMON, 80 + number), time.monotonic())
    assert held_prompts.refused_s((COMMON, BAD, 90)) > 0.0
    assert held_prompts.refused_s((COMMON, 90)) == 0.0


def test_engines_lost_long_after_an_answer_began_accuse_no_prompt():
    held_prompts = HeldPrompts()
    for number in range(1, 6):
        lose(held_prompts, number, COMMON, ran_s=5.0, began_s=4.0)
    assert held_prompts.refused_s((COMMON,)) == 0.0


def test_engines_that_are_lost_together_accuse_no_prompt():
    held_prompts = HeldPrompts()
    for number in range(5):
        lose(held_prompts, number / 100, COMMON, 10 + number)
    assert held_prompts.refused_s((COMMON,)) == 0.0


def test_dispatcher_refuses_a_held_prompt_unrun():
    held_prompts = HeldPrompts()
    for number in (1, 2, 3):
        lose(held_prompts, number, BAD, 10 + number)
    dispatcher = Dispatcher(context=SimpleNamespace(held_prompts=held_prompts))
    call = UpstreamCall(
        method="POST", target="/", body=b"", headers={}, prefix=(BAD, 90)
    )
    with pytest.raises(RefusedError) as refused:
        dispatcher.dispatch(None, call, None)
    assert refused.value.code == "crashes_engines"
    assert refused.value.retry_after_s >= 1.0
