"""Registry of HTTP routes, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from baobabwing.entry.calls import HttpCall
from baobabwing.exceptions import RequestError

if TYPE_CHECKING:
    from baobabwing.entry.context import EntryContext

__all__ = ["Route", "find_route", "route"]

Serve = Callable[["EntryContext", HttpCall], None]


@dataclass(frozen=True, kw_only=True)
class Route:
    """A path, or a prefix that ends in a slash, and its handler.

    :param methods: accepted methods; empty for all.
    :param serve: handler of the calls.
    """

    path: str
    methods: tuple[str, ...]
    serve: Serve


_EXACT: dict[str, Route] = {}
_PREFIXES: list[Route] = []


def route(path: str, *methods: str) -> Callable[[Serve], Serve]:
    """Register a handler for a path; a path that ends in ``*`` is a prefix."""

    def register(serve: Serve) -> Serve:
        new_route = Route(path=path.rstrip("*"), methods=methods, serve=serve)
        if path.endswith("*"):
            _PREFIXES.append(new_route)
        else:
            _EXACT[path] = new_route
        return serve

    return register


def find_route(method: str, path: str) -> Route:
    """Return the route of a call.

    :raises RequestError: 404 for an unknown path, 405 for another method.
    """
    matched = _EXACT.get(path)
    if matched is None:
        matching = (
            candidate for candidate in _PREFIXES if path.startswith(candidate.path)
        )
        matched = next(matching, None)
    if matched is None:
        raise RequestError("no such path", status=404, code="not_found", field="path")
    if matched.methods and method not in matched.methods:
        raise RequestError(
            f"{' or '.join(matched.methods)} is wanted",
            status=405,
            code="bad_method",
            field="method",
        )
    return matched
