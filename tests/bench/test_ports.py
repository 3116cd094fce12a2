"""Ports are allocated only once, even to concurrent processes."""

import socket
import subprocess
import sys

from baobabwing.bench.ports import free_port, free_ports

ALLOCATE_PORTS = """
from baobabwing.bench.ports import free_port, free_ports
ports = [free_port() for _ in range(150)]
for _ in range(30):
    first = free_ports(3)
    ports += range(first, first + 3)
print(*ports, flush=True)
input()
"""


def test_ports_are_given_once():
    ports = [free_port() for _ in range(50)]
    for _ in range(10):
        first = free_ports(3)
        ports += range(first, first + 3)
    assert len(set(ports)) == len(ports)


def test_port_that_is_taken_is_passed_over():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", free_port() + 1))
        assert free_port() != sock.getsockname()[1]


def test_runs_side_by_side_never_get_the_same_port():
    """Guard against a race between concurrent test runs.

    If two runs find the same port free before either opens it, the second server fails
    with "address already in use", and its deployment never becomes ready.
    """
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", ALLOCATE_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(6)
    ]
    allocated = [port for run in runs for port in run.stdout.readline().split()]
    for run in runs:
        run.communicate("\n")
    assert len(allocated) == 6 * 240
    assert len(set(allocated)) == len(allocated)
