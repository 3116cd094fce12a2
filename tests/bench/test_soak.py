"""The soak test reports unanswered requests and growing nodes."""

from dataclasses import replace

from baobabwing.bench import soak
from baobabwing.bench.answers import Answer, Verdict
from baobabwing.bench.rig import Look

MEGABYTE = 1_000_000


def test_a_soak_tells_of_requests_without_an_end():
    """Guard against requests that are lost when a node is killed."""
    fine = Answer(index=0, verdict=Verdict.WHOLE)
    broken = Answer(index=1, verdict=Verdict.ERROR, code="no_error_object")
    assert soak.unaccounted(1, [fine]) == []
    assert len(soak.unaccounted(3, [fine, fine, broken])) == 3
    unknown = replace(fine, verdict=Verdict.UNKNOWN, sent_s=10.0, end_s=12.0)
    assert soak.unaccounted(1, [unknown], [11.0]) == []
    assert len(soak.unaccounted(1, [unknown], [60.0])) == 1


def test_growth_counts_after_the_warm_up_only():
    def look(megabytes, threads):
        return Look(resident_bytes=megabytes * MEGABYTE, threads=threads)

    life = soak.Life(node="node-1")
    warming = range(int(soak.WARM_UP_S))
    life.looks.extend((age, look(10 + age, 30)) for age in warming)
    after = range(int(soak.WARM_UP_S), 150)
    life.looks.extend((age, look(60, 40)) for age in after)
    assert soak.grown(life) == (0.0, 0.0)
    life.looks.extend((age, look(90, 45)) for age in range(150, 220))
    memory, threads = soak.grown(life)
    assert memory > 20 * MEGABYTE
    assert threads > 3
