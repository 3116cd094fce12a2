"""Names of the headers that gateways, callers and upstreams exchange."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HOP_BY_HOP", "HeaderNames"]

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """Header names of a deployment, in lower case.

    :param request_id: identifies one attempt of a caller; upstreams echo it.
    :param deadline: milliseconds that the caller, or the gateway, waits.
    :param key: the caller's key; never forwarded.
    :param organisation: organisation that holds the key; set by the gateway.
    :param expected_instance: name of the upstream that a request is meant for.
    :param instance: the incarnation that answered.
    :param not_executed: present if the request was not run.
    :param leaving: whether the answering upstream is leaving; 0 or 1.
    :param signature: present on answers that come from an upstream itself.
    :param load: running requests, waiting requests and slots of an upstream, and how
        long work takes on its machine, in percent of the usual time.
    :param refusal_limit: requests a second that an upstream can refuse before it fails.
    :param rate_limit: requests a second that an upstream takes from all nodes.
    :param tokens: prompt tokens and maximum output tokens, separated by a comma.
    :param prefix: parts of a prompt in order, as ``ID:TOKENS`` entries.
    :param length_hint: the caller's estimate of output tokens.
    :param last_event: id of the last event that the caller has received.
    :param resumes: request id of the caller's attempt that brought the first event of
        the stream that this request resumes.
    :param reserved: headers that callers may not set; they are removed.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    key: bytes = b"x-key"
    organisation: bytes = b"x-organisation"
    expected_instance: bytes = b"x-expected-instance"
    instance: bytes = b"x-instance"
    not_executed: bytes = b"x-not-executed"
    leaving: bytes = b"x-leaving"
    signature: bytes = b"x-signature"
    load: bytes = b"x-load"
    refusal_limit: bytes = b"x-refusal-limit"
    rate_limit: bytes = b"x-rate-limit"
    tokens: bytes = b"x-tokens"
    prefix: bytes = b"x-prompt-parts"
    length_hint: bytes = b"x-length-hint"
    last_event: bytes = b"last-event-id"
    resumes: bytes = b"x-resumes"
    reserved: frozenset[bytes] = frozenset()
