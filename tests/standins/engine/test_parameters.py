import pytest

from baobabwing.standins.engine.parameters import EngineParameters


def test_a_step_takes_longer_with_larger_batches_and_more_prompt_tokens():
    parameters = EngineParameters(
        step_ms=6, step_ms_per_sequence=0.5, prefill_tokens_per_s=1000
    )
    assert parameters.step_s(running=1, prefill_tokens=0) == pytest.approx(0.0065)
    assert parameters.step_s(running=16, prefill_tokens=0) == pytest.approx(0.014)
    assert parameters.step_s(running=16, prefill_tokens=500) == pytest.approx(0.514)
