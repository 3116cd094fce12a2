import pytest

from baobabwing.standins.engine.parameters import EngineParameters


def test_a_step_grows_with_the_batch_and_with_the_prompt_tokens_in_it():
    cfg = EngineParameters(
        step_ms=6, step_ms_per_sequence=0.5, prefill_tokens_per_s=1000
    )
    assert cfg.step_s(running=1, prefill_tokens=0) == pytest.approx(0.0065)
    assert cfg.step_s(running=16, prefill_tokens=0) == pytest.approx(0.014)
    assert cfg.step_s(running=16, prefill_tokens=500) == pytest.approx(0.514)
