"""The soak test reports unanswered requests and growing nodes."""

from dataclasses import replace

from baobabwing.bench import soak
from baobabwing.bench.answers import Answer, Verdict
from baobabwing.bench.rig import ProcessSample

MEGABYTE = 1_000_000


def test_a_soak_tells_of_requests_without_an_end():
    """Guard against requests that are lost when a node is killed."""
    whole = Answer(index=0, verdict=Verdict.WHOLE)
    broken = Answer(index=1, verdict=Verdict.ERROR, code="no_error_object")
    assert soak.unaccounted_requests(1, [whole]) == []
    assert len(soak.unaccounted_requests(3, [whole, whole, broken])) == 3
    unknown = replace(whole, verdict=Verdict.UNKNOWN, sent_s=10.0, end_s=12.0)
    assert soak.unaccounted_requests(1, [unknown], [11.0]) == []
    assert len(soak.unaccounted_requests(1, [unknown], [60.0])) == 1


def test_growth_counts_after_the_warm_up_only():
    def sample(megabytes, threads):
        return ProcessSample(resident_bytes=megabytes * MEGABYTE, threads=threads)

    history = soak.ProcessHistory(node="node-1")
    warm_up_ages = range(int(soak.WARM_UP_S))
    history.looks.extend((age, sample(10 + age, 30)) for age in warm_up_ages)
    later_ages = range(int(soak.WARM_UP_S), 150)
    history.looks.extend((age, sample(60, 40)) for age in later_ages)
    assert soak.resource_growth(history) == (0.0, 0.0)
    history.looks.extend((age, sample(90, 45)) for age in range(150, 220))
    memory, threads = soak.resource_growth(history)
    assert memory > 20 * MEGABYTE
    assert threads > 3
