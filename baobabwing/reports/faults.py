"""Descriptions of unexpected exceptions without their messages."""

from __future__ import annotations

from traceback import extract_tb

__all__ = ["describe_fault"]

_PACKAGE = "baobabwing"


def describe_fault(exc: BaseException) -> str:
    """Return the type of an exception and its innermost line in this package.

    The message is omitted: errors of the standard library quote the invalid value,
    which may be a key or a prompt of a caller.
    """
    frames = extract_tb(exc.__traceback__)
    own = [frame for frame in frames if f"/{_PACKAGE}/" in frame.filename]
    if not own:
        return type(exc).__name__
    last = own[-1]
    place = last.filename.rpartition(f"/{_PACKAGE}/")[2]
    return f"{type(exc).__name__} at {place}:{last.lineno}"
