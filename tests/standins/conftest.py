"""Fixtures that run stand-ins as processes, and a client for their calls."""

import http.client
import json
import signal
import subprocess
import sys
import time
from dataclasses import dataclass

import pytest
import urllib3

WAIT_S = 20.0


def until(condition, wait_s=WAIT_S):
    """Poll a condition until it is true and return its value."""
    deadline = time.monotonic() + wait_s
    while not (value := condition()):
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.005)
    return value


@dataclass(frozen=True, kw_only=True)
class Standin:
    address: str
    process: subprocess.Popen
    pool: urllib3.PoolManager

    def call(self, method, path, document=None, **headers):
        named_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        body = None if document is None else json.dumps(document)
        url = f"http://{self.address}{path}"
        return self.pool.request(method, url, body=body, headers=named_headers)

    def json(self, method, path, document=None, **headers):
        return self.call(method, path, document, **headers).json()

    def open(self, path, document=None, *, method="POST", **headers):
        """Start a call and return its answer with the body unread."""
        named_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        body = None if document is None else json.dumps(document)
        url = f"http://{self.address}{path}"
        return self.pool.request(
            method, url, body=body, headers=named_headers, preload_content=False
        )

    def begin(self, path, document, **headers):
        """Send a request and return its connection with the answer unread."""
        host, port = self.address.split(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=WAIT_S)
        named_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        conn.request("POST", path, body=json.dumps(document), headers=named_headers)
        return conn

    def fault(self, name, **order):
        answer = self.call("POST", "/control/faults", {"fault": name, **order})
        assert answer.status == 204

    def executions(self):
        return self.json("GET", "/control/record")["executions"]

    def states(self):
        return [execution["state"] for execution in self.executions()]


@pytest.fixture
def start():
    """Return a function that starts stand-in processes.

    At teardown they must exit with status 0 unless they exited before.
    """
    started = []

    def start_one(kind, *options):
        command = [sys.executable, "-m", "baobabwing.cli.standin", kind, *options]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        started.append(process)
        address = json.loads(process.stdout.readline())["listening"]
        pool = urllib3.PoolManager(retries=False, timeout=WAIT_S, maxsize=32)
        return Standin(address=address, process=process, pool=pool)

    yield start_one
    for process in started:
        exited_before = process.poll() is not None
        process.send_signal(signal.SIGTERM)
        status = process.wait(WAIT_S)
        process.stdout.close()
        assert exited_before or status == 0


@pytest.fixture(name="until")
def until_fixture():
    return until
