"""Zip archive of compiled modules and data files, appended to the binary."""

import importlib._bootstrap_external as bytecode
import io
import zipfile
from pathlib import PurePosixPath

__all__ = ["Archive"]

# The earliest timestamp that zip can represent. A constant one makes builds
# reproducible.
_MEMBER_DATE = (1980, 1, 1, 0, 0, 0)
_CODE_PATH_PREFIX = "<binary>"


class Archive:
    """Builder of an in-memory zip archive.

    Members are stored uncompressed: the interpreter reads the archive before
    it can load zlib, and a stored member takes a single read.
    """

    def __init__(self) -> None:
        self._buffer = io.BytesIO()
        self._zip = zipfile.ZipFile(self._buffer, "w", zipfile.ZIP_STORED)
        self._directories: set[str] = set()

    def add(self, name: str, data: bytes) -> None:
        """Add a data file under the given member name."""
        self._add_parent_directories(PurePosixPath(name))
        self._zip.writestr(zipfile.ZipInfo(name, _MEMBER_DATE), data)

    def add_module(self, name: str, source: bytes) -> None:
        """Compile a module and add its bytecode.

        The code object gets a file name relative to the archive, so that
        tracebacks don't show paths of the build host.

        :param name: member name of the source file.
        """
        code = compile(source, f"{_CODE_PATH_PREFIX}/{name}", "exec", dont_inherit=True)
        self.add(f"{name}c", bytecode._code_to_timestamp_pyc(code))

    def _add_parent_directories(self, name: PurePosixPath) -> None:
        """Add directory entries for all parents of a file.

        ``zipimport`` finds a namespace package only by its directory entry.
        """
        for directory in reversed(name.parents[:-1]):
            member = f"{directory}/"
            if member not in self._directories:
                self._directories.add(member)
                self._zip.writestr(zipfile.ZipInfo(member, _MEMBER_DATE), b"")

    def finish(self) -> bytes:
        """Close the archive and return its content."""
        self._zip.close()
        return self._buffer.getvalue()
