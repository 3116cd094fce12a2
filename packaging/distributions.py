"""Metadata of the distributions inside the binary.

``importlib.metadata`` itself would read the archive's whole table of contents
for each distribution that is asked for.
"""

import re
from collections.abc import Callable, Iterator, Mapping
from importlib.metadata import Distribution
from pathlib import PurePosixPath

__all__ = ["find"]

MemberReader = Callable[[str], bytes]


class ArchivedDistribution(Distribution):
    """A distribution whose metadata folder is a folder of the archive."""

    def __init__(self, *, directory: str, read: MemberReader) -> None:
        self._directory = directory
        self._read = read

    def read_text(self, filename: str) -> str | None:
        """Return a file of the metadata folder, None if there is none."""
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
    """Yield the distributions of that name, all of them without a name.

    :param folders: metadata folder by normalized name.
    """
    names = directories if name is None else [_normalize(name)]
    for candidate in names:
        if candidate in directories:
            yield ArchivedDistribution(directory=directories[candidate], read=read)


def _normalize(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()
