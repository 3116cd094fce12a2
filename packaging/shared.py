"""Shared library dependencies of ELF files."""

import re
import subprocess
from pathlib import Path

__all__ = ["needed_libraries", "stripped"]

_NEEDED = re.compile(r"\(NEEDED\).*\[(.+)\]")
# Parts of the C library, to which the program is linked dynamically as usual.
_C_LIBRARY = re.compile(r"^(ld-linux.*|lib(c|m|dl|rt|pthread|util|resolv)\.so\.\d+)$")


def needed_libraries(path: Path) -> dict[str, Path]:
    """Return the transitive dependencies of an ELF file except the C library.

    :returns: file by SONAME in load order: each library follows its dependencies.
    :raises FileNotFoundError: if a library is not in the linker's search path.
    """
    found: dict[str, Path] = {}
    for soname in _direct_dependencies(path):
        library = _library_path(soname)
        found.update(needed_libraries(library))
        found[soname] = library
    return found


def stripped(path: Path, work_directory: Path) -> bytes:
    """Return the content of an ELF file without debugging information."""
    target = work_directory / "stripped.so"
    subprocess.run(["strip", "--strip-unneeded", "-o", target, path], check=True)
    return target.read_bytes()


def _direct_dependencies(path: Path) -> list[str]:
    dump = _command_output("readelf", "--dynamic", "--wide", str(path))
    return [name for name in _NEEDED.findall(dump) if not _C_LIBRARY.match(name)]


def _library_path(soname: str) -> Path:
    # gcc prints the bare name if it does not find the file.
    path = Path(_command_output("gcc", f"-print-file-name={soname}").strip())
    if not path.is_absolute():
        raise FileNotFoundError(f"shared library {soname} is not installed")
    return path.resolve()


def _command_output(*command: str) -> str:
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    return completed.stdout
