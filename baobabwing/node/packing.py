"""The packed form of the configuration in force, made at most once."""

from __future__ import annotations

import threading

from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import deflate

__all__ = ["PackedConfiguration"]


class PackedConfiguration:
    """Remembers the packed document of one configuration.

    Packing takes a third of a second at 6,600 upstreams. Peers that ask at one time
    would each wait for the packing of all others, past their timeout, and then all
    turn to the store.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cfg: Configuration | None = None
        self._document = b""

    def of(self, cfg: Configuration) -> bytes:
        """Return the packed document; several who ask wait for one packing."""
        with self._lock:
            # By identity: two documents may claim one version, and what is handed
            # on must be the one that is in force here.
            if self._cfg is not cfg:
                self._document = deflate(cfg)
                self._cfg = cfg
            return self._document

    def keep(self, cfg: Configuration, document: bytes) -> None:
        """Take the packed document that a configuration was read from."""
        with self._lock:
            self._cfg = cfg
            self._document = document
