"""Entry point of the test binary; prints the result of a function as JSON."""

import importlib
import importlib.metadata
import json
import os
import pkgutil
import signal
import sys
import threading


def imports():
    """Import every module of the product and return the files that are mapped."""
    package = importlib.import_module("baobabwing")
    module_names = [
        item.name for item in pkgutil.walk_packages(package.__path__, "baobabwing.")
    ]
    modules = [
        importlib.import_module(name) for name in module_names if "__main__" not in name
    ]
    return {
        "modules": len(modules),
        "paths": [path for path in _mapped_files() if not path.startswith("/memfd:")],
        "search_path": sys.path,
        "encoding": sys.stdout.encoding,
        "cheroot": importlib.metadata.version("cheroot"),
        "entries": [item.name for item in importlib.metadata.distributions()],
    }


def schema():
    """Load the message schema, then encode and decode a message with it."""
    from baobabwing.wire.schema import load_schema

    envelope = load_schema().Envelope
    packed = envelope.new_message(correlation=7).to_bytes_packed()
    return {
        "correlation": envelope.from_bytes_packed(packed).correlation,
        "file": load_schema().__file__,
    }


def descriptors():
    """Return the memory-backed files that are open after importing all modules."""
    imports()
    targets = [os.readlink(f"/proc/self/fd/{fd}") for fd in _open_descriptors()]
    return {"open": [name for name in targets if name.startswith("/memfd:")]}


def interrupt():
    """Send SIGINT to the process itself and return the exception it raises."""
    try:
        os.kill(os.getpid(), signal.SIGINT)
        threading.Event().wait()
    except KeyboardInterrupt:
        return {"raised": "KeyboardInterrupt"}


def broken_pipe():
    """Write to a pipe without a reader and return the exception it raises."""
    reader, writer = os.pipe()
    os.close(reader)
    try:
        os.write(writer, b"x")
    except BrokenPipeError:
        return {"raised": "BrokenPipeError"}


def daemon_thread():
    """Return from the entry point while a daemon thread is running."""
    started = threading.Event()

    def spin():
        started.set()
        while True:
            os.getpid()

    threading.Thread(target=spin, daemon=True).start()
    started.wait()
    unwinder_paths = [path for path in _mapped_files() if "libgcc_s" in path]
    return {"threads": threading.active_count(), "unwinders": unwinder_paths}


def replaced():
    """Replace the executable with another file, then import an extension module."""
    os.unlink(sys.executable)
    with open(sys.executable, "w", encoding="utf-8") as replacement:
        replacement.write("a newer version")
    importlib.import_module("ssl")
    return {"ssl": "ssl" in sys.modules}


def _mapped_files():
    with open("/proc/self/maps", encoding="utf-8") as maps:
        paths = {line.split(maxsplit=5)[5].strip() for line in maps if "/" in line}
    return sorted(path.removesuffix(" (deleted)") for path in paths)


def _open_descriptors():
    for name in os.listdir("/proc/self/fd"):
        if os.path.lexists(f"/proc/self/fd/{name}"):
            yield name


def main():
    """Run the function named on the command line."""
    print(json.dumps(globals()[sys.argv[1]]()))
    return 0
