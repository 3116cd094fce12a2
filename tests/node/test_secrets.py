"""Logs, metrics and errors of a node hold no secrets and no text of callers."""

import http.client
import json
import socket
import uuid

import pytest

from baobabwing.bench.processes import wait_until
from baobabwing.brands.operators import Operator, Role, token_digest

NODE = "node-1"
WAIT_S = 20.0
CHAT = "/v1/chat/completions"
MARK = "marked"


@pytest.fixture
def marks():
    """Unique texts, by the kind of secret or caller's text that they stand for."""
    kinds = ("token", "wrong", "prompt", "body", "path", "query", "header", "length")
    return {kind: f"{MARK}{kind}{uuid.uuid4().hex}" for kind in kinds}


@pytest.fixture
def node(site):
    """A node that logs at level debug; it is restarted before and after."""
    path = site.group.folder / f"{NODE}.json"
    before = path.read_text()
    settings = json.loads(before)

    def restart(text):
        path.write_text(text)
        site.kill(NODE)
        site.heal()

    restart(json.dumps({**settings, "log_level": "debug"}))
    yield NODE
    restart(before)


@pytest.fixture
def operators(site, marks):
    """An operator whose token is one of the marks."""
    before = site.accepted()
    digest = token_digest(marks["token"])
    ana = Operator(name="ana", sha256=digest, role=Role.ADMIN)
    cfg = site.change(lambda cfg: _with_operators(cfg, (ana,)))
    assert wait_until(
        lambda: all(site.version(name) >= cfg.version for name in site.nodes),
        timeout_s=WAIT_S,
    )
    yield
    site.change(lambda cfg: _with_operators(cfg, before.operators))


def _with_operators(cfg, operators):
    return type(cfg)(**{**vars(cfg), "operators": operators})


class RecordingClient:
    """Sends requests to a node; records answers other than those to prompts."""

    def __init__(self, address):
        self._address = address
        self.recorded = []

    def send(self, method, path, body=None, **headers):
        """Send one request and return its status."""
        http_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        conn = http.client.HTTPConnection(self._address, timeout=WAIT_S)
        try:
            conn.request(method, path, body=body, headers=http_headers)
            answer = conn.getresponse()
            text = f"{answer.headers}\n{answer.read().decode()}"
        finally:
            conn.close()
        if answer.status >= 400 or not path.startswith((CHAT, "/v1/services/")):
            self.recorded.append(text)
        return answer.status

    def send_raw(self, head):
        """Send raw bytes, such as a malformed request."""
        host, _, port = self._address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
            sock.sendall(head.encode())
            sock.shutdown(socket.SHUT_WR)
            while part := sock.recv(65_536):
                self.recorded.append(part.decode("latin-1"))


def test_secrets_and_prompts_are_not_written_or_answered(site, node, marks, operators):
    """Guards against keys, tokens and prompts in logs, metrics and errors.

    Callers and operators send them in the right places and in wrong ones, in
    requests that are answered and in requests that are refused.
    """
    address = site.address(node)
    client = RecordingClient(address)
    key = site.shape.credential_key("pocitos", "chat")
    valid_key = {"Authorization": f"Bearer {key}"}
    wrong = {"Authorization": f"Bearer {marks['wrong']}"}
    chat = {
        "model": "assistant-8b",
        "messages": [{"role": "user", "content": marks["prompt"]}],
        "max_tokens": 4,
    }
    full_body = json.dumps(chat)
    assert client.send("POST", CHAT, full_body, **valid_key) == 200
    stream = json.dumps({**chat, "stream": True})
    assert client.send("POST", CHAT, stream, **valid_key) == 200
    assert client.send("POST", CHAT, full_body, **wrong) == 401
    assert client.send("POST", CHAT, full_body) == 401
    assert client.send("GET", f"/{marks['path']}?{marks['query']}", **valid_key) == 404
    assert client.send("DELETE", CHAT, **valid_key) == 405
    bodies = (
        marks["body"],
        full_body[:-1],
        json.dumps({**chat, "model": marks["body"]}),
        json.dumps({**chat, "max_tokens": marks["body"]}),
        json.dumps({**chat, "messages": marks["body"]}),
        json.dumps(
            {**chat, "messages": [{"role": "user", "content": [marks["body"]]}]}
        ),
    )
    for body in bodies:
        assert client.send("POST", CHAT, body, **valid_key) in (200, 400, 404)
    for name in ("X_Deadline_Ms", "X_Tier", "Idempotency_Key", "Last_Event_ID"):
        client.send("POST", CHAT, full_body, **valid_key, **{name: marks["header"]})
    assert client.send("POST", f"/{marks['path']}", marks["body"], **valid_key) == 404
    client.send(
        "POST", f"/v1/services/booking/{marks['path']}", marks["body"], **valid_key
    )
    site.fault("engine-1", "refuse", count=1)
    assert client.send("POST", CHAT, full_body, **valid_key) == 200
    for head in (
        f"POST {CHAT} HTTP/1.1\r\nContent-Length: {marks['length']}\r\n\r\n",
        f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nContent-Length: {marks['length']}\r\n\r\n",
        f"{marks['path']}\r\n\r\n",
        f"GET {marks['path']} HTTP/1.1\r\n{marks['header']}\r\n\r\n",
        f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n"
        f"Transfer-Encoding: chunked\r\n\r\n{marks['body']}\r\n",
        f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: 900\r\n\r\n{marks['prompt']}",
    ):
        client.send_raw(head)
    assert "the body's chunks cannot be read" in "".join(client.recorded)
    token = {"Authorization": f"Bearer {marks['token']}"}
    assert client.send("GET", "/v1/status", **token) == 200
    assert client.send("GET", "/v1/status", **valid_key) == 403
    assert client.send("GET", "/v1/status", **wrong) == 401
    assert client.send("POST", CHAT, full_body, **token) == 401
    for path in ("/metrics", "/readyz", "/v1/addresses"):
        assert client.send("GET", path) == 200
    settings = json.loads((site.group.folder / f"{node}.json").read_text())
    secrets = {**marks, "key": key, "peer": settings["peer_secrets"][0]}
    digests = {token_digest(text) for text in (key, marks["token"])}
    logs = {name: site.group.get(name).log.read_text() for name in site.nodes}
    assert '"level": "debug"' in logs[node]
    for source, text in {**logs, "answers": "\n".join(client.recorded)}.items():
        for kind, secret in secrets.items():
            assert secret not in text, f"{kind} in {source}"
        assert not [digest for digest in digests if digest in text], source
