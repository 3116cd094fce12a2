"""Selection of the standard library modules that go into the binary."""

import sysconfig
from collections.abc import Iterator
from pathlib import Path

__all__ = ["extension_files", "source_files", "sysconfig_module"]

# Excluded to reduce the size, except for modules that need what the product must
# not use: child processes (multiprocessing), shared memory (_posixshmem) and a
# disk (dbm, sqlite3).
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
# These files contain paths and compiler flags of the build host.
EXCLUDED_SOURCE_PREFIXES = ("_sysconfigdata", "config-")
# The variables that the standard library reads at run time.
CONFIGURATION_VARIABLES = ("EXT_SUFFIX", "SOABI", "TZPATH")


def source_files() -> Iterator[tuple[str, Path]]:
    """Yield archive name and file of the pure Python modules, sorted by path."""
    root = Path(sysconfig.get_path("stdlib"))
    for path in sorted(root.rglob("*.py")):
        relative = path.relative_to(root)
        if _is_packaged(relative):
            yield relative.as_posix(), path


def extension_files() -> Iterator[tuple[str, Path]]:
    """Yield name and file of the extension modules, sorted by file name."""
    directory = Path(sysconfig.get_config_var("DESTSHARED"))
    for path in sorted(directory.glob("*.so")):
        name = path.name.partition(".")[0]
        if name in EXCLUDED_EXTENSIONS or name.startswith(EXCLUDED_EXTENSION_PREFIXES):
            continue
        yield name, path


def sysconfig_module() -> tuple[str, str]:
    """Return archive name and source of a reduced sysconfig data module."""
    name = sysconfig._get_sysconfigdata_name()
    variables = {key: sysconfig.get_config_var(key) for key in CONFIGURATION_VARIABLES}
    return f"{name}.py", f"build_time_vars = {variables!r}\n"


def _is_packaged(relative: Path) -> bool:
    top_level = relative.parts[0].removesuffix(".py")
    if top_level in EXCLUDED_MODULES or top_level.startswith(EXCLUDED_SOURCE_PREFIXES):
        return False
    return "test" not in relative.parts and "tests" not in relative.parts
