"""Admission of calls at a node, with the outcome to report for refused ones."""

from __future__ import annotations

from http import HTTPStatus

from cheroot.server import HTTPRequest

from baobabwing.entry.calls import HttpCall, send_error
from baobabwing.entry.context import Catalogue, EntryContext
from baobabwing.exceptions import RequestError
from baobabwing.requests.keys import parse_bound_key
from baobabwing.requests.outcome import Outcome

__all__ = ["admitted_catalogue", "require_chunks"]

UNAVAILABLE_RETRY_S = 1.0


def admitted_catalogue(context: EntryContext, call: HttpCall) -> Catalogue | None:
    """Return the catalogue, or answer the caller if the node takes no requests.

    A node that is leaving or partitioned does not look up earlier attempts. A call
    without a key, or with an unused key that this node owns, has not run. With any
    other key an earlier attempt may have run, so "not run" could be false.

    :returns: ``None`` if the caller was answered.
    :raises RequestError: 503 if the request certainly did not run.
    """
    try:
        return context.require_catalogue()
    except RequestError as exc:
        if _never_dispatched(context, call.header("Idempotency-Key")):
            raise
        send_error(
            call, exc, outcome=Outcome.UNKNOWN, retry_after_s=UNAVAILABLE_RETRY_S
        )
        return None


def require_chunks(req: HTTPRequest) -> None:
    """Refuse a caller that cannot receive a stream, before the dispatch.

    :raises RequestError: if the caller does not speak HTTP/1.1, which has chunks.
    """
    if req.response_protocol != "HTTP/1.1":
        raise RequestError(
            "streams need HTTP/1.1",
            status=HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
            code="http_version",
            field="stream",
        )


def _never_dispatched(context: EntryContext, key: str) -> bool:
    """Whether no earlier attempt with a key can have been dispatched."""
    if not key:
        return True
    bound = parse_bound_key(key)
    if bound is None:
        return False
    me = (context.me.name, context.me.incarnation)
    return me == (bound.node, bound.incarnation) and not context.registry.has_key(key)
