"""The compiled message schema, loaded once."""

from __future__ import annotations

import functools
import importlib.resources
from typing import Any

import capnp

__all__ = ["load_schema"]

_SCHEMA_FILE = "messages.capnp"


@functools.lru_cache(maxsize=1)
def load_schema() -> Any:
    """Return the module that pycapnp makes of ``messages.capnp``."""
    capnp.remove_import_hook()
    resource = importlib.resources.files("baobabwing.wire") / _SCHEMA_FILE
    with importlib.resources.as_file(resource) as path:
        return capnp.load(str(path))
