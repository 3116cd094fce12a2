"""What a node writes and tells holds no secret and no text of a caller."""

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
    """Words that nobody else uses, by what they stand for."""
    kinds = ("token", "wrong", "prompt", "body", "path", "query", "header", "length")
    return {kind: f"{MARK}{kind}{uuid.uuid4().hex}" for kind in kinds}


@pytest.fixture
def node(site):
    """A node that logs all it can; others keep the site whole meanwhile."""
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
    """An operator whose token is marked."""
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


class Speaker:
    """Sends requests to a node and keeps all that is not the answer to a prompt."""

    def __init__(self, address):
        self._address = address
        self.told = []

    def send(self, method, path, body=None, **headers):
        """Send one request and return its status."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        conn = http.client.HTTPConnection(self._address, timeout=WAIT_S)
        try:
            conn.request(method, path, body=body, headers=named)
            answer = conn.getresponse()
            text = f"{answer.headers}\n{answer.read().decode()}"
        finally:
            conn.close()
        if answer.status >= 400 or not path.startswith((CHAT, "/v1/services/")):
            self.told.append(text)
        return answer.status

    def send_raw(self, head):
        """Send bytes that no library would send."""
        host, _, port = self._address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
            sock.sendall(head.encode())
            sock.shutdown(socket.SHUT_WR)
            while part := sock.recv(65_536):
                self.told.append(part.decode("latin-1"))


def test_secrets_and_prompts_stay_out(site, node, marks, operators):
    """Somebody reads a node's logs, its metrics and the errors it answers.

    Callers and operators have sent it keys, tokens and prompts before, in right
    places and wrong ones, in requests that were answered and that were refused.
    """
    address = site.address(node)
    speak = Speaker(address)
    key = site.shape.credential_key("pocitos", "chat")
    right = {"Authorization": f"Bearer {key}"}
    wrong = {"Authorization": f"Bearer {marks['wrong']}"}
    chat = {
        "model": "assistant-8b",
        "messages": [{"role": "user", "content": marks["prompt"]}],
        "max_tokens": 4,
    }
    whole = json.dumps(chat)
    assert speak.send("POST", CHAT, whole, **right) == 200
    stream = json.dumps({**chat, "stream": True})
    assert speak.send("POST", CHAT, stream, **right) == 200
    assert speak.send("POST", CHAT, whole, **wrong) == 401
    assert speak.send("POST", CHAT, whole) == 401
    assert speak.send("GET", f"/{marks['path']}?{marks['query']}", **right) == 404
    assert speak.send("DELETE", CHAT, **right) == 405
    bodies = (
        marks["body"],
        whole[:-1],
        json.dumps({**chat, "model": marks["body"]}),
        json.dumps({**chat, "max_tokens": marks["body"]}),
        json.dumps({**chat, "messages": marks["body"]}),
        json.dumps(
            {**chat, "messages": [{"role": "user", "content": [marks["body"]]}]}
        ),
    )
    for body in bodies:
        assert speak.send("POST", CHAT, body, **right) in (200, 400, 404)
    for name in ("X_Deadline_Ms", "X_Tier", "Idempotency_Key", "Last_Event_ID"):
        speak.send("POST", CHAT, whole, **right, **{name: marks["header"]})
    assert speak.send("POST", f"/{marks['path']}", marks["body"], **right) == 404
    speak.send("POST", f"/v1/services/booking/{marks['path']}", marks["body"], **right)
    site.fault("engine-1", "refuse", count=1)
    assert speak.send("POST", CHAT, whole, **right) == 200
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
        speak.send_raw(head)
    assert "the body's chunks cannot be read" in "".join(speak.told)
    token = {"Authorization": f"Bearer {marks['token']}"}
    assert speak.send("GET", "/v1/status", **token) == 200
    assert speak.send("GET", "/v1/status", **right) == 403
    assert speak.send("GET", "/v1/status", **wrong) == 401
    assert speak.send("POST", CHAT, whole, **token) == 401
    for path in ("/metrics", "/readyz", "/v1/addresses"):
        assert speak.send("GET", path) == 200
    settings = json.loads((site.group.folder / f"{node}.json").read_text())
    secrets = {**marks, "key": key, "peer": settings["peer_secrets"][0]}
    digests = {token_digest(text) for text in (key, marks["token"])}
    logs = {name: site.group.get(name).log.read_text() for name in site.nodes}
    assert '"level": "debug"' in logs[node]
    for where, text in {**logs, "answers": "\n".join(speak.told)}.items():
        for kind, secret in secrets.items():
            assert secret not in text, f"{kind} in {where}"
        assert not [digest for digest in digests if digest in text], where
