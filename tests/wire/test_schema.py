"""The schema can be loaded by several threads at once."""

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


def test_eight_threads_load_the_schema_at_once():
    """Guards against an occasional crash at start without any log line.

    Connections to two peers are opened at the same time, and both load the schema.
    pycapnp terminates the process when two threads read one file.
    """
    for _ in range(3):
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, timeout=60
        )
        assert result.returncode == 0, result.stderr[-300:]
