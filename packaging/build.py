"""Build the program as one ELF file that needs no Python on the host.

Run by ``make binary`` with the interpreter of the build environment; see
``docs/design/0005-one-binary.md``.
"""

import argparse
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import pinned
import shared
import stdlib
from archive import Archive

__all__ = ["build", "main"]

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent
REQUIREMENTS = ROOT / "requirements.txt"
BOOT_MODULES = ("boot.py", "distributions.py")
# glibc loads it by name when a thread is ended, and aborts the process where
# it is missing; once loaded from memory it is found by its SONAME.
PRELOADED = ("libgcc_s.so.1",)
EXECUTABLE_MODE = 0o755


@dataclass(frozen=True, kw_only=True)
class EntryPoint:
    """The function that the binary runs."""

    module: str
    function: str


@dataclass(frozen=True, kw_only=True)
class Binaries:
    """ELF files of the payload, by the name under which they are imported."""

    extensions: dict[str, Path] = field(default_factory=dict)
    libraries: dict[str, Path] = field(default_factory=dict)
    needs: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def add(self, name: str, path: Path) -> None:
        """Add an extension module and the libraries that it needs."""
        found = shared.needed_libraries(path)
        self.extensions[name] = path
        self.libraries.update(found)
        self.needs[name] = tuple(found)


def build(*, target: Path, packages: list[Path], entry: EntryPoint) -> None:
    """Write the binary.

    :param packages: folders of our own packages, each with all its files.
    :param entry: what the binary runs.
    """
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        scratch = Path(name)
        linked = _link(scratch)
        payload = _payload(packages, entry, scratch)
    # Written beside and renamed: a running binary keeps the file it started from.
    partial = target.with_name(f"{target.name}.partial")
    partial.write_bytes(linked + payload)
    partial.chmod(EXECUTABLE_MODE)
    partial.rename(target)


def _link(scratch: Path) -> bytes:
    """Link the launcher with the whole static interpreter."""
    setting = sysconfig.get_config_var
    library = Path(setting("LIBPL")) / setting("LIBRARY")
    if not library.exists():
        raise SystemExit(f"this Python has no static library {library.name}")
    target = scratch / "launcher"
    command = ["gcc", "-O2", "-Wall", "-s", "-Wl,--build-id=none"]
    command += [f"-I{sysconfig.get_path('include')}", str(HERE / "launcher.c")]
    # Extension modules resolve the interpreter's functions in the program.
    command += ["-Wl,--whole-archive", str(library), "-Wl,--no-whole-archive"]
    command += ["-Wl,--export-dynamic", "-ldl", "-lm", "-o", str(target)]
    subprocess.run(command, check=True)
    return target.read_bytes()


def _payload(packages: list[Path], entry: EntryPoint, scratch: Path) -> bytes:
    archive = Archive()
    binaries = Binaries()
    for name in BOOT_MODULES:
        archive.add_module(name, (HERE / name).read_bytes())
    _add_stdlib(archive, binaries)
    _add_pinned(archive, binaries)
    for folder in packages:
        _add_package(archive, folder)
    _add_binaries(archive, binaries, scratch)
    archive.add_module("manifest.py", _manifest(binaries, entry).encode())
    return archive.finish()


def _add_stdlib(archive: Archive, binaries: Binaries) -> None:
    for name, path in stdlib.source_files():
        archive.add_module(name, path.read_bytes())
    name, source = stdlib.system_configuration()
    archive.add_module(name, source.encode())
    for name, path in stdlib.extension_files():
        binaries.add(name, path)


def _add_pinned(archive: Archive, binaries: Binaries) -> None:
    for file in pinned.package_files(REQUIREMENTS):
        if file.is_extension:
            binaries.add(file.module, file.path)
        else:
            _add_file(archive, file.name.as_posix(), file.path)


def _add_package(archive: Archive, folder: Path) -> None:
    for path in sorted(folder.rglob("*")):
        if path.is_file() and "__pycache__" not in path.parts:
            name = path.relative_to(folder.parent).as_posix()
            _add_file(archive, name, path)


def _add_file(archive: Archive, name: str, path: Path) -> None:
    if path.suffix == ".py":
        archive.add_module(name, path.read_bytes())
    else:
        archive.add(name, path.read_bytes())


def _add_binaries(archive: Archive, binaries: Binaries, scratch: Path) -> None:
    for name, path in sorted(binaries.extensions.items()):
        archive.add(f"_extensions/{name}.so", shared.stripped(path, scratch))
    for name, path in sorted(binaries.libraries.items()):
        archive.add(f"_libraries/{name}", shared.stripped(path, scratch))


def _manifest(binaries: Binaries, entry: EntryPoint) -> str:
    values = {
        "ENTRY_MODULE": entry.module,
        "ENTRY_FUNCTION": entry.function,
        "EXTENSIONS": dict(sorted(binaries.needs.items())),
        "PRELOADED": PRELOADED,
        "DISTRIBUTIONS": pinned.distribution_folders(REQUIREMENTS),
    }
    return "".join(f"{name} = {value!r}\n" for name, value in values.items())


def _project_entry() -> str:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    return project["project"]["scripts"]["baobabwing"]


def main() -> int:
    """Read the command line and build."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", type=Path, default=ROOT / "dist" / "baobabwing")
    parser.add_argument("--package", type=Path, action="append")
    parser.add_argument("--entry", default=_project_entry(), help="MODULE:FUNCTION")
    args = parser.parse_args()
    module, _, function = args.entry.partition(":")
    build(
        target=args.target,
        packages=args.package or [ROOT / "baobabwing"],
        entry=EntryPoint(module=module, function=function),
    )
    print(f"{args.target}: {args.target.stat().st_size} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
