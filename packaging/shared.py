"""Shared libraries that the extension modules need, and how ELF files are read."""

import re
import subprocess
from pathlib import Path

__all__ = ["needed_libraries", "stripped"]

_NEEDED = re.compile(r"\(NEEDED\).*\[(.+)\]")
# The C library's own parts: the program is linked to them as usual.
_C_LIBRARY = re.compile(r"^(ld-linux.*|lib(c|m|dl|rt|pthread|util|resolv)\.so\.\d+)$")


def needed_libraries(path: Path) -> dict[str, Path]:
    """Return the libraries that an ELF file needs besides the C library.

    :returns: file by SONAME, each after those that it needs itself.
    :raises FileNotFoundError: if the linker's search path lacks one.
    """
    found: dict[str, Path] = {}
    for soname in _direct_dependencies(path):
        library = _library_path(soname)
        found.update(needed_libraries(library))
        found[soname] = library
    return found


def stripped(path: Path, work_directory: Path) -> bytes:
    """Return an ELF file without its debugging information."""
    target = work_directory / "stripped.so"
    subprocess.run(["strip", "--strip-unneeded", "-o", target, path], check=True)
    return target.read_bytes()


def _direct_dependencies(path: Path) -> list[str]:
    dump = _command_output("readelf", "--dynamic", "--wide", str(path))
    return [name for name in _NEEDED.findall(dump) if not _C_LIBRARY.match(name)]


def _library_path(soname: str) -> Path:
    # The compiler answers with the bare name when it does not know the file.
    path = Path(_command_output("gcc", f"-print-file-name={soname}").strip())
    if not path.is_absolute():
        raise FileNotFoundError(f"shared library {soname} is not installed")
    return path.resolve()


def _command_output(*command: str) -> str:
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    return completed.stdout
