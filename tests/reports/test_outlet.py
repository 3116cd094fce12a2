"""Log lines are bounded in volume and hold nobody up."""

import json
import os
import threading
import time

import pytest

from baobabwing.reports.outlet import LineOutlet

WAIT_S = 10.0


def eventually(condition):
    until = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.005)


def offer(outlet, number, *, routine=False, size=100):
    return outlet.offer(
        number=number,
        name="event",
        level="info",
        routine=routine,
        fields={"text": "x" * size},
    )


def read_all(fd):
    os.set_blocking(fd, False)
    data = b""
    while True:
        try:
            piece = os.read(fd, 65_536)
        except BlockingIOError:
            return data
        if not piece:
            return data
        data += piece


def test_lines_are_written():
    reader, writer = os.pipe()
    outlet = LineOutlet(fd=writer, bytes_per_s=0)
    outlet.start()
    assert offer(outlet, 1)
    outlet.close()
    assert json.loads(read_all(reader))["number"] == 1


def test_reader_that_stops_reading_holds_nobody_up():
    """Whoever collects the logs hangs; the pipe is full.

    Requests must go on. Lines are dropped once the queue is full, and counted.
    """
    reader, writer = os.pipe()
    outlet = LineOutlet(fd=writer, bytes_per_s=0)
    outlet.start()
    taken = sum(offer(outlet, 7, size=1000) for _ in range(20_000))
    assert taken < 20_000

    received = []

    def drain():
        while piece := os.read(reader, 65_536):
            received.append(piece)

    thread = threading.Thread(target=drain, daemon=True)
    thread.start()
    # The drops may be told in more than one line.
    eventually(lambda: dropped(b"".join(received)) == 20_000 - taken)


def dropped(data):
    lines = [one for one in data.splitlines() if b"lines_left_out" in one]
    whole = [one for one in lines if one.endswith(b"}")]
    return sum(json.loads(one)["counts"]["7"] for one in whole)


def test_closed_output_is_no_error():
    """Whoever collects the logs has ended. The node goes on without logs."""
    reader, writer = os.pipe()
    os.close(reader)
    outlet = LineOutlet(fd=writer, bytes_per_s=0)
    outlet.start()
    offer(outlet, 1)
    eventually(lambda: not offer(outlet, 1))


def test_routine_lines_are_left_out_first():
    """A burst fills the budget with routine lines.

    The lines of requests that fail still have room.
    """
    _, writer = os.pipe()
    outlet = LineOutlet(fd=writer, bytes_per_s=10_000)
    routine = sum(offer(outlet, 1, routine=True) for _ in range(1000))
    failing = sum(offer(outlet, 2) for _ in range(1000))
    assert 0 < routine < 1000
    assert 0 < failing < 1000


@pytest.mark.parametrize("rate", [2_000, 20_000])
def test_volume_keeps_to_the_budget(rate):
    reader, writer = os.pipe()
    outlet = LineOutlet(fd=writer, bytes_per_s=rate)
    began = time.monotonic()
    lines = sum(offer(outlet, 2) for _ in range(5000))
    took_s = time.monotonic() - began
    outlet.start()
    outlet.close()
    data = read_all(reader)
    assert data.count(b"\n") == lines + 1  # and one that tells of those left out
    assert len(data) <= rate * (took_s + 2.0) + 600
