"""Bootstrap module of the binary: installs the import hooks and starts the program.

Extension modules and the shared libraries they need are members of the archive
at the end of the binary. The dynamic linker cannot load them from there, so
each is copied to a sealed memory-backed file on first import and loaded from
that file.
"""

from __future__ import annotations

import _thread
import posix
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

import _launcher
import manifest

# typing itself imports an extension module, which cannot be loaded yet.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from types import ModuleType
    from typing import Any

__all__ = ["run"]

_ARCHIVE_PATH = sys.path[0]
_LIBRARY_DIRECTORY = "_libraries"
_EXTENSION_DIRECTORY = "_extensions"


class MemoryExtensionLoader(ExtensionFileLoader):
    """Loader of an extension module stored in the archive."""

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Load the shared libraries that the module needs, then the module."""
        for library in manifest.EXTENSIONS[spec.name]:
            _load_library(library)
        with _MemoryFile(f"{_EXTENSION_DIRECTORY}/{spec.name}.so") as path:
            archive_origin, spec.origin = spec.origin, path
            try:
                module = super().create_module(spec)
            finally:
                spec.origin = archive_origin
        module.__file__ = archive_origin
        return module

    def get_data(self, path: str) -> bytes:
        """Return the content of an archive member."""
        return _read_member(path)


class MemoryExtensionFinder:
    """Finder of archived extension modules and distribution metadata."""

    @staticmethod
    def find_spec(
        name: str, path: Sequence[str] | None = None, target: Any = None
    ) -> ModuleSpec | None:
        """Return the spec of an archived extension module, None for other names."""
        if name not in manifest.EXTENSIONS:
            return None
        origin = f"{_ARCHIVE_PATH}/{_EXTENSION_DIRECTORY}/{name}.so"
        return ModuleSpec(name, MemoryExtensionLoader(name, origin), origin=origin)

    @staticmethod
    def find_distributions(context: Any) -> Iterator[Any]:
        """Yield the matching distributions from the manifest.

        The archive itself is not searched.
        """
        from distributions import find

        return find(context.name, manifest.DISTRIBUTIONS, _read_member)


class _MemoryFile:
    """Context manager for a temporary memory-backed copy of an archive member."""

    _open_count = 0

    def __init__(self, member: str) -> None:
        self._member = member

    def __enter__(self) -> str:
        self._fd = _launcher.memory_file(self._member, _read_member(self._member))
        # The dynamic linker identifies loaded libraries by path, and descriptor
        # numbers are reused. A different number of slashes makes each path
        # unique; otherwise the linker returns the library that was loaded
        # earlier under the same number, and the import fails because its init
        # function is missing.
        _MemoryFile._open_count += 1
        return f"/proc/self/fd{'/' * _MemoryFile._open_count}{self._fd}"

    def __exit__(self, *exc_info: object) -> None:
        posix.close(self._fd)


_loaded_libraries: set[str] = set()
_library_lock = _thread.allocate_lock()


def _load_library(name: str) -> None:
    # Without the lock, concurrent imports could map the library twice.
    with _library_lock:
        if name in _loaded_libraries:
            return
        with _MemoryFile(f"{_LIBRARY_DIRECTORY}/{name}") as path:
            _launcher.load_library(path)
        _loaded_libraries.add(name)


def _read_member(member: str) -> bytes:
    return sys.path_importer_cache[_ARCHIVE_PATH].get_data(member)


def run() -> None:
    """Run the program's entry point and exit with its return value."""
    sys.frozen = True
    sys.meta_path.insert(0, MemoryExtensionFinder)
    for library in manifest.PRELOADED:
        _load_library(library)
    module = __import__(manifest.ENTRY_MODULE, fromlist=[manifest.ENTRY_FUNCTION])
    sys.exit(getattr(module, manifest.ENTRY_FUNCTION)())
