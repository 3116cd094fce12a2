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
        added = Route(path=path.rstrip("*"), methods=methods, serve=serve)
        if path.endswith("*"):
            _PREFIXES.append(added)
        else:
            _EXACT[path] = added
        return serve

    return register


def find_route(method: str, path: str) -> Route:
    """Return the route of a call.

    :raises RequestError: 404 for an unknown path, 405 for another method.
    """
    found = _EXACT.get(path)
    if found is None:
        matching = (one for one in _PREFIXES if path.startswith(one.path))
        found = next(matching, None)
    if found is None:
        raise RequestError("no such path", status=404, code="not_found", field="path")
    if found.methods and method not in found.methods:
        raise RequestError(
            f"{' or '.join(found.methods)} is wanted",
            status=405,
            code="bad_method",
            field="method",
        )
    return found
