"""Measurement of the event loop's delay."""

import time

from baobabwing.gateway.loop_delay import LoopDelayMonitor


def test_late_process_logs_its_delay_and_its_processor_time(monkeypatch):
    """Nodes left homes as unresponsive while they themselves did not run.

    The answers were in their sockets, unread. The log has to distinguish a late node
    from a late home, and an overloaded node from a suspended one.
    """
    lines = []
    monkeypatch.setattr(
        "baobabwing.gateway.loop_delay.log",
        lambda event, **fields: lines.append(fields),
    )
    busy = [0.0]
    watch = LoopDelayMonitor(busy=lambda: busy[0])
    now = time.monotonic()
    watch.record_wakeup(now + 0.05, now + 0.051)
    assert not lines
    busy[0] = 0.03
    watch.record_wakeup(now + 0.4, now + 0.7)
    assert round(watch.late_s, 3) == 0.3
    watch.record_wakeup(now + 2.0, now + 2.001)
    assert lines[0]["late_ms"] == 300.0
    assert lines[0]["busy_ms"] == 30.0
    # The delay is reported for one more window.
    assert round(watch.late_s, 3) == 0.3
    watch.record_wakeup(now + 4.0, now + 4.001)
    assert watch.late_s < 0.01
    assert len(lines) == 1


def test_time_before_a_delay_is_known_when_the_loop_runs_again():
    """The time of a stop ran from a signal that had been handled late."""
    watch, now = LoopDelayMonitor(), time.monotonic()
    watch.record_wakeup(now + 0.1, now + 0.101)
    assert watch.ran_at == now + 0.101
    watch.record_wakeup(now + 0.201, now + 0.7)
    assert watch.ran_at <= now + 0.102
    watch.record_wakeup(now + 0.8, now + 0.801)
    assert watch.ran_at == now + 0.801
