"""Build a self-contained ELF executable that needs no Python on the host.

``make binary`` runs it with the interpreter of the build environment; see
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
# glibc loads it by name when a thread is terminated, and aborts the process if
# it is missing. Once it is loaded from memory, glibc finds it by its SONAME.
PRELOADED = ("libgcc_s.so.1",)
EXECUTABLE_MODE = 0o755


@dataclass(frozen=True, kw_only=True)
class EntryPoint:
    """Module and function that the binary runs."""

    module: str
    function: str


@dataclass(frozen=True, kw_only=True)
class SharedObjects:
    """Extension modules and the shared libraries that they need.

    :param extensions: file by dotted module name.
    :param libraries: file by SONAME.
    :param dependencies: SONAMEs by dotted module name, in load order.
    """

    extensions: dict[str, Path] = field(default_factory=dict)
    libraries: dict[str, Path] = field(default_factory=dict)
    dependencies: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def add(self, name: str, path: Path) -> None:
        """Add an extension module and the shared libraries that it needs."""
        libraries = shared.needed_libraries(path)
        self.extensions[name] = path
        self.libraries.update(libraries)
        self.dependencies[name] = tuple(libraries)


def build(*, target: Path, packages: list[Path], entry: EntryPoint) -> None:
    """Build the binary and write it to the target path.

    :param packages: directories of first-party packages, included completely.
    :param entry: function that the binary runs.
    """
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        work_directory = Path(name)
        launcher = _link_launcher(work_directory)
        archive = _build_archive(packages, entry, work_directory)
    # Replaced by renaming, so that a running process keeps its original file.
    temporary = target.with_name(f"{target.name}.partial")
    temporary.write_bytes(launcher + archive)
    temporary.chmod(EXECUTABLE_MODE)
    temporary.rename(target)


def _link_launcher(work_directory: Path) -> bytes:
    """Link the launcher with the complete static libpython."""
    config_var = sysconfig.get_config_var
    library = Path(config_var("LIBPL")) / config_var("LIBRARY")
    if not library.exists():
        raise SystemExit(f"this Python has no static library {library.name}")
    target = work_directory / "launcher"
    command = ["gcc", "-O2", "-Wall", "-s", "-Wl,--build-id=none"]
    command += [f"-I{sysconfig.get_path('include')}", str(HERE / "launcher.c")]
    # Extension modules resolve the symbols of libpython in the executable.
    command += ["-Wl,--whole-archive", str(library), "-Wl,--no-whole-archive"]
    command += ["-Wl,--export-dynamic", "-ldl", "-lm", "-o", str(target)]
    subprocess.run(command, check=True)
    return target.read_bytes()


def _build_archive(
    packages: list[Path], entry: EntryPoint, work_directory: Path
) -> bytes:
    archive = Archive()
    shared_objects = SharedObjects()
    for name in BOOT_MODULES:
        archive.add_module(name, (HERE / name).read_bytes())
    _add_stdlib(archive, shared_objects)
    _add_pinned(archive, shared_objects)
    for directory in packages:
        _add_package(archive, directory)
    _add_shared_objects(archive, shared_objects, work_directory)
    archive.add_module("manifest.py", _manifest_source(shared_objects, entry).encode())
    return archive.finish()


def _add_stdlib(archive: Archive, shared_objects: SharedObjects) -> None:
    for name, path in stdlib.source_files():
        archive.add_module(name, path.read_bytes())
    name, source = stdlib.sysconfig_module()
    archive.add_module(name, source.encode())
    for name, path in stdlib.extension_files():
        shared_objects.add(name, path)


def _add_pinned(archive: Archive, shared_objects: SharedObjects) -> None:
    for file in pinned.package_files(REQUIREMENTS):
        if file.is_extension:
            shared_objects.add(file.module, file.path)
        else:
            _add_file(archive, file.name.as_posix(), file.path)


def _add_package(archive: Archive, directory: Path) -> None:
    for path in sorted(directory.rglob("*")):
        if path.is_file() and "__pycache__" not in path.parts:
            name = path.relative_to(directory.parent).as_posix()
            _add_file(archive, name, path)


def _add_file(archive: Archive, name: str, path: Path) -> None:
    if path.suffix == ".py":
        archive.add_module(name, path.read_bytes())
    else:
        archive.add(name, path.read_bytes())


def _add_shared_objects(
    archive: Archive, shared_objects: SharedObjects, work_directory: Path
) -> None:
    for name, path in sorted(shared_objects.extensions.items()):
        archive.add(f"_extensions/{name}.so", shared.stripped(path, work_directory))
    for name, path in sorted(shared_objects.libraries.items()):
        archive.add(f"_libraries/{name}", shared.stripped(path, work_directory))


def _manifest_source(shared_objects: SharedObjects, entry: EntryPoint) -> str:
    values = {
        "ENTRY_MODULE": entry.module,
        "ENTRY_FUNCTION": entry.function,
        "EXTENSIONS": dict(sorted(shared_objects.dependencies.items())),
        "PRELOADED": PRELOADED,
        "DISTRIBUTIONS": pinned.metadata_directories(REQUIREMENTS),
    }
    return "".join(f"{name} = {value!r}\n" for name, value in values.items())


def _default_entry_point() -> str:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    return project["project"]["scripts"]["baobabwing"]


def main() -> int:
    """Build the binary according to the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", type=Path, default=ROOT / "dist" / "baobabwing")
    parser.add_argument("--package", type=Path, action="append")
    parser.add_argument(
        "--entry", default=_default_entry_point(), help="MODULE:FUNCTION"
    )
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
