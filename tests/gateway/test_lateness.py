"""How late a process runs, as it measures it itself."""

import time

from baobabwing.gateway.lateness import LoopWatch


def test_a_process_that_is_late_says_by_how_much(monkeypatch):
    """Nodes left homes for silence while they themselves did not run.

    The answers were in their sockets. Nothing in their logs told a node that was late
    from a home that was; now the node says how late it was, and how much of that time
    it worked.
    """
    lines = []
    monkeypatch.setattr(
        "baobabwing.gateway.lateness.log", lambda event, **fields: lines.append(fields)
    )
    busy = [0.0]
    watch = LoopWatch(busy=lambda: busy[0])
    now = time.monotonic()
    watch.woke(now + 0.05, now + 0.051)
    assert not lines
    busy[0] = 0.03
    watch.woke(now + 0.4, now + 0.7)
    assert round(watch.late_s, 3) == 0.3
    watch.woke(now + 2.0, now + 2.001)
    assert lines[0]["late_ms"] == 300.0
    assert lines[0]["busy_ms"] == 30.0
    # The window after keeps the worst of the one before, and the next drops it.
    assert round(watch.late_s, 3) == 0.3
    watch.woke(now + 4.0, now + 4.001)
    assert watch.late_s < 0.01
    assert len(lines) == 1
