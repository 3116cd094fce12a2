"""The schema can be asked for by several threads at once."""

import subprocess
import sys

PROGRAM = """
import threading
from baobabwing.wire.schema import load_schema
barrier = threading.Barrier(8)
def use():
    barrier.wait()
    load_schema().Envelope.new_message(correlation=7).to_bytes_packed()
threads = [threading.Thread(target=use) for _ in range(8)]
[thread.start() for thread in threads]
[thread.join() for thread in threads]
"""


def test_eight_threads_load_it_at_once():
    """A node ends at its start, now and then, with no word of its own.

    Its connections to two peers are opened at the same time, and both load the
    schema. pycapnp ends the process when it reads one file in two threads.
    """
    for _ in range(3):
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, timeout=60
        )
        assert done.returncode == 0, done.stderr[-300:]
