"""Internal errors are answered and logged without text of the request."""

import http.client
from types import SimpleNamespace

import pytest

from baobabwing.bench.ports import free_port
from baobabwing.entry import server as server_module
from baobabwing.entry.routes import Route
from baobabwing.entry.server import EntryServer
from baobabwing.settings.schema import NodeLimits

SECRET = "marked-prompt"


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        server_module, "log", lambda event, **fields: lines.append((event, fields))
    )
    return lines


@pytest.fixture
def address():
    limits = NodeLimits(worker_threads=2, connections=10)
    settings = SimpleNamespace(http=f"127.0.0.1:{free_port()}", limits=limits)
    entry = EntryServer(context=SimpleNamespace(settings=settings))
    entry.start()
    yield settings.http
    entry.stop()


@pytest.mark.parametrize("error", [ValueError, OSError])
def test_an_internal_error_reveals_no_request_text(address, logged, monkeypatch, error):
    """An operator could read a caller's prompt in the error log.

    A handler raises an error whose message quotes its input; the caller gets a 500
    or a broken connection, and the error is logged.
    """

    def fail(context, call):
        raise error(f"invalid: {SECRET}")

    route = Route(path="/", methods=(), serve=fail)
    monkeypatch.setattr(server_module, "find_route", lambda method, path: route)
    conn = http.client.HTTPConnection(address, timeout=10)
    conn.request("POST", f"/{SECRET}", body=SECRET)
    try:
        reply = conn.getresponse().read().decode()
    except http.client.HTTPException as exc:
        reply = str(exc)
    conn.close()
    assert SECRET not in reply
    assert logged
    assert SECRET not in str(logged)
    assert error.__name__ in str(logged)
