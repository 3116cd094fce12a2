"""The settings file of the platform."""

import pytest

from baobabwing.gateway import process
from baobabwing.gateway.settings import RolloutSettings
from baobabwing_platform import settings_file

TEXT = """\
node=front-a-1
zone=a
region=r
listen.front=10.1.0.25:8221
listen.ready=10.1.0.25:8224
listen.directory=10.1.0.25:8220
ip=10.1.0.25
internal_ports=7600,7615
some.new.field=1,2,3
bounds.grace_s=8
bounds.ttl_max_s=5
bounds.retry_budget_ratio=0.2
bounds.budget_slack=52
bounds.quota_slack=72000
bounds.quota_over=not-a-number
bounds.expose_share=0.05
bounds.rollback_ms=3000
platform.address=10.200.1.7:8225
"""


def test_fields_that_are_known(tmp_path):
    file = tmp_path / "boot.conf"
    file.write_text(TEXT)
    found = settings_file.load(file)
    assert found.store == "10.200.1.7:8225"
    assert found.gateway.callers == "10.1.0.25:8221"
    assert found.gateway.peers == "10.1.0.25:7600"
    assert found.gateway.work == "10.1.0.25:7601"
    assert found.gateway.address_keep_s == 1.0
    assert found.gateway.repeats.slack == 52
    assert found.gateway.tolerance.over == 0
    assert not found.gateway.first_start
    assert found.gateway.rollouts == RolloutSettings(share=0.05, slack=0, stop_s=3.0)


def test_path_comes_from_the_environment(monkeypatch):
    monkeypatch.setenv("BAOBABWING_SETTINGS", "/somewhere/else")
    assert str(settings_file.path()) == "/somewhere/else"


def test_hosts_with_more_processor_time_are_home_of_more(tmp_path):
    """Hosts of half a core answered too late in a rush, others were mostly idle."""
    weights = []
    for cores, share in ((1, 0.5), (2, 0.537), (2, 1.0)):
        file = tmp_path / "boot.conf"
        file.write_text(f"{TEXT}limits.cores={cores}\nlimits.cpu_share={share}\n")
        weights.append(settings_file.load(file).gateway.weight)
    small, usual, large = weights
    assert small < usual / 3 < large / 9
    file.write_text(TEXT)
    assert settings_file.load(file).gateway.weight == 1.0


def test_first_start_of_the_whole_fleet_is_told(tmp_path):
    file = tmp_path / "boot.conf"
    file.write_text(f"{TEXT}bootstrap=true\n")
    assert settings_file.load(file).gateway.first_start


@pytest.mark.parametrize("first", ["", TEXT[:60]])
def test_node_that_starts_while_its_file_is_written_waits_for_it(
    tmp_path, monkeypatch, first
):
    """It ended by itself with KeyError, and callers lost a node."""
    file = tmp_path / "boot.conf"
    file.write_text(first)
    monkeypatch.setattr(process.time, "sleep", lambda seconds: file.write_text(TEXT))
    assert (
        process.read_at_start(lambda: settings_file.load(file)).gateway.name
        == "front-a-1"
    )


def test_file_that_stays_incomplete_ends_the_start(tmp_path, monkeypatch):
    file = tmp_path / "boot.conf"
    file.write_text("node=front-a-1\n")
    clock = iter(range(100))
    monkeypatch.setattr(process.time, "sleep", lambda seconds: None)
    monkeypatch.setattr(process.time, "monotonic", lambda: next(clock))
    with pytest.raises(KeyError):
        process.read_at_start(lambda: settings_file.load(file))
    assert next(clock) > process.START_WAIT_S
