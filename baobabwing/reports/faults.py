"""Faults of the program, told without the text that they carry."""

from __future__ import annotations

from traceback import extract_tb

__all__ = ["describe_fault"]

_PACKAGE = "baobabwing"


def describe_fault(exc: BaseException) -> str:
    """Return the type of an exception and where it arose.

    The message is left out: errors of the standard library quote the value that
    they could not take, which may be a key or a prompt of a caller.
    """
    frames = extract_tb(exc.__traceback__)
    own = [frame for frame in frames if f"/{_PACKAGE}/" in frame.filename]
    if not own:
        return type(exc).__name__
    last = own[-1]
    place = last.filename.rpartition(f"/{_PACKAGE}/")[2]
    return f"{type(exc).__name__} at {place}:{last.lineno}"
