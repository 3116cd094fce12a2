"""What of the standard library goes into the binary."""

import sysconfig
from collections.abc import Iterator
from pathlib import Path

__all__ = ["extension_files", "source_files", "sysconfig_module"]

# Left out for size, but for three that the product must not use: processes of
# their own (multiprocessing), shared memory (_posixshmem) and a disk (dbm, sqlite3).
EXCLUDED_MODULES = frozenset(
    {
        "__phello__",
        "antigravity",
        "curses",
        "dbm",
        "distutils",
        "ensurepip",
        "idlelib",
        "lib2to3",
        "multiprocessing",
        "pydoc_data",
        "site-packages",
        "sqlite3",
        "test",
        "this",
        "tkinter",
        "turtle",
        "turtledemo",
        "unittest",
        "venv",
        "xmlrpc",
    }
)
EXCLUDED_EXTENSIONS = frozenset(
    {
        "_bz2",
        "_crypt",
        "_curses",
        "_curses_panel",
        "_lsprof",
        "_lzma",
        "_multiprocessing",
        "_posixshmem",
        "_sqlite3",
        "_tkinter",
        "_xxsubinterpreters",
        "audioop",
        "nis",
        "ossaudiodev",
        "readline",
        "spwd",
    }
)
EXCLUDED_EXTENSION_PREFIXES = ("_test", "_xxtest", "_ctypes_test", "xxlimited")
# They hold the paths and the compiler flags of the building machine.
EXCLUDED_SOURCE_PREFIXES = ("_sysconfigdata", "config-")
# What the standard library itself reads of them while it runs.
CONFIGURATION_VARIABLES = ("EXT_SUFFIX", "SOABI", "TZPATH")


def source_files() -> Iterator[tuple[str, Path]]:
    """Yield archive name and file of the pure modules, in order of name."""
    root = Path(sysconfig.get_path("stdlib"))
    for path in sorted(root.rglob("*.py")):
        relative = path.relative_to(root)
        if _is_packaged(relative):
            yield relative.as_posix(), path


def extension_files() -> Iterator[tuple[str, Path]]:
    """Yield module name and file of the extension modules, in order of name."""
    directory = Path(sysconfig.get_config_var("DESTSHARED"))
    for path in sorted(directory.glob("*.so")):
        name = path.name.partition(".")[0]
        if name in EXCLUDED_EXTENSIONS or name.startswith(EXCLUDED_EXTENSION_PREFIXES):
            continue
        yield name, path


def sysconfig_module() -> tuple[str, str]:
    """Return archive name and source of the module with the kept configuration."""
    name = sysconfig._get_sysconfigdata_name()
    variables = {key: sysconfig.get_config_var(key) for key in CONFIGURATION_VARIABLES}
    return f"{name}.py", f"build_time_vars = {variables!r}\n"


def _is_packaged(relative: Path) -> bool:
    top_level = relative.parts[0].removesuffix(".py")
    if top_level in EXCLUDED_MODULES or top_level.startswith(EXCLUDED_SOURCE_PREFIXES):
        return False
    return "test" not in relative.parts and "tests" not in relative.parts
