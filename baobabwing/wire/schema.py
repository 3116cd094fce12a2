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
    """Return the module that pycapnp makes of ``messages.capnp``.

    Inside the binary the schema is no file, and hosts have no disk to unpack it
    to, so pycapnp reads it from a memory-backed file.
    """
    # Two threads that load it at once make pycapnp end the process. A cache of
    # the interpreter's does not hold the second one back while the first loads.
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
    """Path of a memory-backed file, which cannot end in ``.capnp``.

    pycapnp asks for that suffix before it reads the file.
    """

    __slots__ = ()

    def endswith(self, *_: object) -> bool:
        return True
