"""Errors for invalid calls name the field, and no upstream gets a request."""

import http.client
import json

import pytest

CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"
BOOK = "/v1/services/booking/book"
MODEL = "assistant-8b"
MESSAGES = [{"role": "user", "content": "a cut"}]


def _chat(**changes):
    document = {"model": MODEL, "messages": MESSAGES, "max_tokens": 4, **changes}
    return json.dumps({k: v for k, v in document.items() if v is not ...}).encode()


def _text(**changes):
    return json.dumps({"model": MODEL, "prompt": "a cut", **changes}).encode()


def _call(site, path, body, headers=None, method="POST"):
    conn = http.client.HTTPConnection(site.nodes["node-1"], timeout=10)
    key = site.shape.credential_key("pocitos", "chat")
    sent = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    try:
        conn.request(method, path, body=body, headers=sent | (headers or {}))
        resp = conn.getresponse()
        return resp.status, json.loads(resp.read())
    finally:
        conn.close()


def _executed(site):
    return [site.record(name) for name in site.upstreams]


CASES = {
    "no key": (CHAT, _chat(), {"Authorization": ""}, 401, "Authorization"),
    "unknown key": (
        CHAT,
        _chat(),
        {"Authorization": "Bearer no"},
        401,
        "Authorization",
    ),
    "other scheme": (CHAT, _chat(), {"Authorization": "Basic x"}, 401, "Authorization"),
    "no such tier": (CHAT, _chat(), {"X-Tier": "gold"}, 400, "X-Tier"),
    "unknown model": (CHAT, _chat(model="no"), {}, 404, "model"),
    "no model": (CHAT, _chat(model=...), {}, 400, "model"),
    "model is a number": (CHAT, _chat(model=3), {}, 400, "model"),
    "not JSON": (CHAT, b"{", {}, 400, "body"),
    "not UTF-8": (CHAT, b"\xff\xfe\xfa", {}, 400, "body"),
    "too deep": (CHAT, b"[" * 100_000, {}, 400, "body"),
    "a list": (CHAT, b"[]", {}, 400, "body"),
    "empty": (CHAT, b"", {}, 400, "body"),
    "no messages": (CHAT, _chat(messages=...), {}, 400, "messages"),
    "empty messages": (CHAT, _chat(messages=[]), {}, 400, "messages"),
    "message is text": (CHAT, _chat(messages=["a"]), {}, 400, "messages[0]"),
    "no role": (CHAT, _chat(messages=[{"content": "a"}]), {}, 400, "messages[0].role"),
    "content is a number": (
        CHAT,
        _chat(messages=[*MESSAGES, {"role": "user", "content": 3}]),
        {},
        400,
        "messages[1].content",
    ),
    "part is an image": (
        CHAT,
        _chat(messages=[{"role": "user", "content": [{"type": "image_url"}]}]),
        {},
        400,
        "messages[0].content",
    ),
    "stream is text": (CHAT, _chat(stream="yes"), {}, 400, "stream"),
    "tokens are a flag": (CHAT, _chat(max_tokens=True), {}, 400, "max_tokens"),
    "no tokens": (CHAT, _chat(max_tokens=0), {}, 400, "max_tokens"),
    "too many tokens": (CHAT, _chat(max_tokens=10**9), {}, 400, "max_tokens"),
    "two choices": (CHAT, _chat(n=2), {}, 400, "n"),
    "options are a list": (
        CHAT,
        _chat(stream_options=[1]),
        {},
        400,
        "stream_options",
    ),
    "prompt is a list": (TEXT, _text(prompt=["a"]), {}, 400, "prompt"),
    "deadline is text": (
        CHAT,
        _chat(),
        {"X-Deadline-Ms": "soon"},
        400,
        "X-Deadline-Ms",
    ),
    "deadline is zero": (CHAT, _chat(), {"X-Deadline-Ms": "0"}, 400, "X-Deadline-Ms"),
    "deadline is negative": (
        CHAT,
        _chat(),
        {"X-Deadline-Ms": "-5"},
        400,
        "X-Deadline-Ms",
    ),
    "deadline has more digits than a number may": (
        CHAT,
        _chat(),
        {"X-Deadline-Ms": "9" * 5000},
        400,
        "X-Deadline-Ms",
    ),
    "key is too long": (CHAT, _chat(), {"Idempotency-Key": "k" * 256}, 400, None),
    "resume after text": (CHAT, _chat(), {"Last-Event-ID": "x"}, 400, "Last-Event-ID"),
    "no such service": ("/v1/services/none/book", b"{}", {}, 404, "path"),
    "booking without a key": (
        BOOK,
        b"{}",
        {"X-Non-Idempotent": "1"},
        400,
        "Idempotency-Key",
    ),
    "no such path": ("/v2/chat", b"{}", {}, 404, "path"),
    "too long a body": (CHAT, b" " * (4 * 1024 * 1024 + 1), {}, 413, "body"),
}


@pytest.mark.parametrize("case", CASES)
def test_error_names_the_invalid_field(running_site, case):
    """An invalid call gets an error that names the invalid field.

    The answer is a 4xx with the outcome "not run", no upstream executes anything,
    and the node serves the next call.
    """
    path, body, headers, status, field = CASES[case]
    before = _executed(running_site)
    got, document = _call(running_site, path, body, headers)
    assert (got, document["error"]["outcome"]) == (status, "not_run")
    assert document["error"]["param"] == (field or "Idempotency-Key")
    assert _executed(running_site) == before
    assert _call(running_site, CHAT, _chat())[0] == 200


def test_stream_for_a_caller_without_chunked_coding(running_site):
    """An old client requests a stream with HTTP/1.0, which has no chunked coding.

    It must be refused before the engine runs: at the first event, the outcome
    "not run" would be false.
    """
    before = _executed(running_site)
    conn = http.client.HTTPConnection(running_site.nodes["node-1"], timeout=10)
    conn._http_vsn, conn._http_vsn_str = 10, "HTTP/1.0"
    key = running_site.shape.credential_key("pocitos", "chat")
    headers = {"Authorization": f"Bearer {key}"}
    conn.request("POST", CHAT, body=_chat(stream=True), headers=headers)
    resp = conn.getresponse()
    error = json.loads(resp.read())["error"]
    conn.close()
    assert (resp.status, error["outcome"], error["param"]) == (505, "not_run", "stream")
    assert _executed(running_site) == before


def test_other_method_is_refused(running_site):
    status, document = _call(running_site, CHAT, None, method="GET")
    assert (status, document["error"]["param"]) == (405, "method")


@pytest.mark.parametrize("length", ["-1", "x", "1e3", "9" * 5000])
def test_invalid_content_length_is_refused(running_site, length):
    """An invalid Content-Length gets a 4xx, and the node serves the next call."""
    conn = http.client.HTTPConnection(running_site.nodes["node-1"], timeout=10)
    key = running_site.shape.credential_key("pocitos", "chat")
    conn.putrequest("POST", CHAT)
    conn.putheader("Authorization", f"Bearer {key}")
    conn.putheader("Content-Length", length)
    conn.endheaders()
    assert conn.getresponse().status in (400, 413)
    conn.close()
    assert _call(running_site, CHAT, _chat())[0] == 200
