"""The compiled message schema, loaded once."""

from __future__ import annotations

import functools
import os
import pkgutil
import threading
from typing import Any

import capnp

__all__ = ["load_schema"]

_SCHEMA_FILE = "messages.capnp"


_LOAD_LOCK = threading.Lock()


def load_schema() -> Any:
    """Return the module that pycapnp generates from ``messages.capnp``.

    In the packaged binary the schema is not a file, and hosts have no disk to
    extract it to, so pycapnp reads it from a memory-backed file.
    """
    # pycapnp terminates the process when two threads load the schema at the same
    # time, and lru_cache does not block a second caller while the first one loads.
    with _LOAD_LOCK:
        return _compile()


@functools.lru_cache(maxsize=1)
def _compile() -> Any:
    capnp.remove_import_hook()
    source = pkgutil.get_data(__package__, _SCHEMA_FILE)
    with os.fdopen(os.memfd_create(_SCHEMA_FILE), "wb") as file:
        file.write(source)
        file.flush()
        path = _MemoryPath(f"/proc/self/fd/{file.fileno()}")
        return capnp.load(path, display_name=_SCHEMA_FILE)


class _MemoryPath(str):
    """Path of a memory-backed file that passes pycapnp's check of the suffix.

    pycapnp only reads paths that end in ``.capnp``, which this one cannot.
    """

    __slots__ = ()

    def endswith(self, *_: object) -> bool:
        return True
