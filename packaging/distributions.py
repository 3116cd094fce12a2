"""Metadata of the distributions contained in the binary.

The path finder of ``importlib.metadata`` would read the archive's complete
directory for each lookup.
"""

import re
from collections.abc import Callable, Iterator, Mapping
from importlib.metadata import Distribution
from pathlib import PurePosixPath

__all__ = ["find"]

MemberReader = Callable[[str], bytes]


class ArchivedDistribution(Distribution):
    """Distribution whose metadata directory is in the archive."""

    def __init__(self, *, directory: str, read: MemberReader) -> None:
        self._directory = directory
        self._read = read

    def read_text(self, filename: str) -> str | None:
        """Return a file of the metadata directory, None if it does not exist."""
        try:
            return self._read(f"{self._directory}/{filename}").decode("utf-8")
        except OSError:
            return None

    def locate_file(self, path: str) -> PurePosixPath:
        """Return the path of a file inside the archive."""
        return PurePosixPath(path)


def find(
    name: str | None, directories: Mapping[str, str], read: MemberReader
) -> Iterator[ArchivedDistribution]:
    """Yield the distributions with a name, or all of them if it is None.

    :param directories: metadata directory by normalized name.
    :param read: returns the content of an archive member.
    """
    names = directories if name is None else [_normalize(name)]
    for candidate in names:
        if candidate in directories:
            yield ArchivedDistribution(directory=directories[candidate], read=read)


def _normalize(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()
