"""Callers use the addresses that the system announces, in the announced order."""

import http.server
import json
import random
import threading

import pytest

from baobabwing.bench.directory import Directory, Entry
from baobabwing.bench.ports import free_port
from baobabwing.bench.processes import LOOPBACK, ProcessError, wait_until

FIRST = Entry(address="127.0.0.1:9001", key_prefix="bw1.a.")
SECOND = Entry(address="127.0.0.1:9002", key_prefix="bw1.b.")
KEEP_MS = 20


class _Node(http.server.BaseHTTPRequestHandler):
    entries = (FIRST, SECOND)

    def do_GET(self):  # noqa: N802
        addresses = [
            {"http": entry.address, "key_prefix": entry.key_prefix}
            for entry in self.entries
        ]
        document = {"addresses": addresses, "keep_ms": KEEP_MS, "key_prefix": "x"}
        body = json.dumps(document).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


@pytest.fixture
def node():
    class Node(_Node):
        pass

    with http.server.ThreadingHTTPServer((LOOPBACK, 0), Node) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield f"{LOOPBACK}:{server.server_port}", Node
        server.shutdown()


@pytest.fixture
def directory(node):
    directory = Directory(nodes=[node[0]], rng=random.Random(1))
    yield directory
    directory.stop()


def test_addresses_come_in_the_order_told_each_with_its_own_prefix(directory):
    """Guard against keys with the prefix of another address.

    Such a request is forwarded to the node of that prefix, and cannot run at all if
    that node is dead.
    """
    directory.start()
    cache = directory.choose()
    assert cache.entries() == (FIRST, SECOND)
    assert cache.entries(avoid=FIRST.address) == (SECOND, FIRST)


def test_answer_is_asked_for_again_after_its_keep_time(directory, node):
    directory.start()
    cache = directory.choose()
    node[1].entries = (SECOND,)
    assert wait_until(lambda: cache.entries() == (SECOND,), timeout_s=10)


def test_dropped_address_comes_back_with_the_next_answer(directory):
    directory.start()
    cache = directory.choose()
    cache.remove(FIRST)
    assert wait_until(lambda: cache.entries() == (FIRST, SECOND), timeout_s=10)


def test_no_node_to_ask_is_an_error():
    address = f"{LOOPBACK}:{free_port()}"
    directory = Directory(nodes=[address], rng=random.Random(1))
    with pytest.raises(ProcessError, match="no addresses"):
        directory.start()
