"""Load and cache reports of upstreams, read over HTTP from a test server."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from baobabwing.homes.polling import CacheChange, UpstreamPoller
from baobabwing.pools.catalogue import Upstream


class EngineServer:
    """HTTP server that answers with the load and the cache events that a test sets."""

    def __init__(self):
        self.answers = {}
        self.request_count = 0
        self.paths = set()
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):  # noqa: N802  (name given by the library)
                engine.request_count += 1
                engine.paths.add(self.path.partition("?")[0])
                path = self.path.partition("?")[0]
                body = json.dumps(engine.answers.get(path, {})).encode()
                self.send_response(200 if path in engine.answers else 404)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @property
    def upstream(self):
        address = f"127.0.0.1:{self.server.server_address[1]}"
        return Upstream(name="e", pool="p", address=address)


@pytest.fixture
def engine():
    server = EngineServer()
    yield server
    server.server.shutdown()
    server.server.server_close()


@pytest.fixture
def reports(engine):
    loads, changes = [], []
    poller = UpstreamPoller(on_load=loads.append, on_cache=changes.append)
    poller.watch([engine.upstream])
    yield loads, changes
    poller.stop()


def wait_for(condition):
    end = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.02)


def make_event(n, kind, block=0):
    return {"n": n, "kind": kind, "block": block}


def test_last_event_of_each_block_counts(engine, reports):
    _, changes = reports
    engine.answers["/cache-events"] = {
        "next": 4,
        "events": [
            make_event(0, "stored", 1),
            make_event(1, "stored", 2),
            make_event(3, "evicted", 1),
        ],
    }
    wait_for(lambda: changes)
    assert changes[0] == CacheChange(upstream="e", stored=(2,), evicted=(1,))


def test_restarted_engine_has_lost_its_cache(engine, reports):
    """Guards against routing prompts to an engine for a cache that it has lost.

    The engine restarts between two reads, and numbers its events from 0 again.
    """
    _, changes = reports
    engine.answers["/cache-events"] = {
        "next": 9,
        "events": [make_event(8, "stored", 1)],
    }
    wait_for(lambda: changes)
    engine.answers["/cache-events"] = {"next": 1, "events": []}
    wait_for(lambda: len(changes) > 1)
    assert changes[1].cleared


def test_load_report_is_backdated_by_its_lag(engine, reports):
    loads, _ = reports
    engine.answers["/load"] = {"running": 3, "waiting": 2, "lag_ms": 60_000}
    wait_for(lambda: loads)
    assert (loads[0].running, loads[0].waiting) == (3, 2)
    assert loads[0].measured_at < time.monotonic() - 59


def test_plain_service_is_polled_for_load_only(engine):
    """Guards against a service that executes a call that no caller sent.

    A service treats any path as a call. A home once polled all upstreams for cache
    events, and the services executed the poll.
    """
    loads, changes = [], []
    poller = UpstreamPoller(on_load=loads.append, on_cache=changes.append)
    engine.answers["/load"] = {"running": 0}
    poller.watch([], [engine.upstream])
    wait_for(lambda: len(loads) >= 3)
    poller.stop()
    assert engine.paths == {"/load"}


def test_malformed_answers_are_ignored(engine, reports):
    loads, changes = reports
    engine.answers["/load"] = {"running": "many"}
    engine.answers["/cache-events"] = {"next": 1, "events": [{"kind": "stored"}]}
    wait_for(lambda: engine.request_count >= 4)
    engine.answers["/load"] = {"running": 1}
    wait_for(lambda: loads)
    assert loads[0].running == 1
    assert not changes
