"""The archive at the end of the binary: compiled modules and data, uncompressed."""

import importlib._bootstrap_external as bytecode
import io
import zipfile
from pathlib import PurePosixPath

__all__ = ["Archive"]

# The oldest date that the format knows: equal input gives equal bytes.
_MEMBER_DATE = (1980, 1, 1, 0, 0, 0)
_CODE_PATH_PREFIX = "<binary>"


class Archive:
    """A zip archive in memory, filled member by member.

    Members are stored uncompressed: the interpreter reads the archive before
    it can load zlib, and a stored member costs one read and no more.
    """

    def __init__(self) -> None:
        self._buffer = io.BytesIO()
        self._zip = zipfile.ZipFile(self._buffer, "w", zipfile.ZIP_STORED)
        self._directories: set[str] = set()

    def add(self, name: str, data: bytes) -> None:
        """Add a data file."""
        self._add_parent_directories(PurePosixPath(name))
        self._zip.writestr(zipfile.ZipInfo(name, _MEMBER_DATE), data)

    def add_module(self, name: str, source: bytes) -> None:
        """Add a module, compiled; ``name`` is that of its source file.

        The file name inside the code object is relative, so that a traceback
        shows no path of the building machine.
        """
        code = compile(source, f"{_CODE_PATH_PREFIX}/{name}", "exec", dont_inherit=True)
        self.add(f"{name}c", bytecode._code_to_timestamp_pyc(code))

    def _add_parent_directories(self, name: PurePosixPath) -> None:
        """Add members for the folders above a file.

        A package without ``__init__`` is found by its folder's member alone.
        """
        for directory in reversed(name.parents[:-1]):
            member = f"{directory}/"
            if member not in self._directories:
                self._directories.add(member)
                self._zip.writestr(zipfile.ZipInfo(member, _MEMBER_DATE), b"")

    def finish(self) -> bytes:
        """Return the whole archive."""
        self._zip.close()
        return self._buffer.getvalue()
