"""The paths that callers may use, in a registry that a decorator fills."""

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
    """A path, or a prefix that ends in a slash, and what serves it.

    :param methods: methods that are taken; empty for all.
    """

    path: str
    methods: tuple[str, ...]
    serve: Serve


_EXACT: dict[str, Route] = {}
_PREFIXES: list[Route] = []


def route(path: str, *methods: str) -> Callable[[Serve], Serve]:
    """Register a function for a path; one that ends in ``*`` is a prefix."""

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
