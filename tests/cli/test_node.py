"""The command that runs a node process."""

import subprocess
import sys

from baobabwing.bench.ports import free_port

PROGRAM = """
import sys, threading
from baobabwing.node.node import Node

def start(self):
    threading.Thread(target=threading.Event().wait).start()
    raise RuntimeError("can't start new thread")

Node.start = start
from baobabwing.cli.main import main
sys.argv = ["baobabwing", "node", "--settings", sys.argv[1]]
main()
"""
SETTINGS = """{
  "name": "entry-1", "region": "r", "zone": "a",
  "http": "127.0.0.1:%d", "peer": "127.0.0.1:%d",
  "platform_url": "http://127.0.0.1:9", "peer_secrets": ["a-secret-of-the-fleet"],
}"""


def test_node_that_cannot_start_exits(tmp_path):
    """A node whose start fails midway must exit, so that the platform replaces it.

    The host refuses to create more threads when half of the node is started. The
    threads already running would keep the process alive without serving requests.
    """
    settings = tmp_path / "node.jsonc"
    settings.write_text(SETTINGS % (free_port(), free_port()))
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(settings)], capture_output=True, timeout=60
    )
    assert result.returncode == 1
    assert b"node_start_failed" in result.stderr
