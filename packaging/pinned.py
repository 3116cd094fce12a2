"""Selection of the files of pinned packages that go into the binary."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from importlib import metadata
from pathlib import Path, PurePosixPath

__all__ = ["PinnedFile", "metadata_directories", "package_files"]

_PIN = re.compile(r"^([A-Za-z0-9._-]+)==([^ \\]+)", re.MULTILINE)
# Sources of compiled modules, type stubs and files that only installers read.
_EXCLUDED_SUFFIXES = frozenset(
    {".c", ".capnp", ".cpp", ".h", ".pxd", ".pyc", ".pyi", ".pyx", ".typed"}
)
_METADATA_FILES = frozenset({"METADATA", "entry_points.txt"})
# At the top level importlib.metadata would find each distribution twice.
_METADATA_DIRECTORY = "_distributions"


@dataclass(frozen=True, kw_only=True)
class PinnedFile:
    """File of an installed distribution.

    :param name: path in the archive.
    :param path: path of the installed file.
    """

    name: PurePosixPath
    path: Path

    @property
    def is_extension(self) -> bool:
        """Whether the file is an extension module."""
        return self.name.suffix == ".so"

    @property
    def module(self) -> str:
        """Dotted name of the module that the file contains."""
        return ".".join((*self.name.parent.parts, self.name.name.partition(".")[0]))


def package_files(requirements: Path) -> Iterator[PinnedFile]:
    """Yield the files of all pinned packages to include, sorted by name."""
    for distribution in _distributions(requirements):
        for file in sorted(distribution.files or (), key=str):
            if _is_packaged(file):
                path = Path(distribution.locate_file(file))
                yield PinnedFile(name=_archive_name(file), path=path)


def metadata_directories(requirements: Path) -> dict[str, str]:
    """Return the metadata directory of each pinned package by normalized name."""
    directories = {}
    for distribution in _distributions(requirements):
        for file in distribution.files or ():
            if file.name == "METADATA":
                directory = _archive_name(file).parent
                directories[_normalize(distribution.name)] = directory.as_posix()
    return directories


def _distributions(requirements: Path) -> list[metadata.Distribution]:
    pins = sorted(_PIN.findall(requirements.read_text(encoding="utf-8")))
    return [_installed_distribution(name, version) for name, version in pins]


def _installed_distribution(name: str, version: str) -> metadata.Distribution:
    distribution = metadata.distribution(name)
    if distribution.version != version:
        raise SystemExit(f"{name} {distribution.version} installed, {version} pinned")
    return distribution


def _is_packaged(file: metadata.PackagePath) -> bool:
    if ".." in file.parts or file.suffix in _EXCLUDED_SUFFIXES:
        return False
    if file.parts[0].endswith(".dist-info"):
        return file.name in _METADATA_FILES
    return "tests" not in file.parts and "test" not in file.parts


def _archive_name(file: metadata.PackagePath) -> PurePosixPath:
    if file.parts[0].endswith(".dist-info"):
        return PurePosixPath(_METADATA_DIRECTORY, file)
    return PurePosixPath(file)


def _normalize(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()
