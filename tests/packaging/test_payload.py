import json
import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAYLOAD = Path(__file__).parent / "payload"
SYSTEM_LIBRARY = re.compile(r".*/(ld-linux[^/]*|lib(c|m|dl|rt|pthread|util)\.so\.\d+)$")
TIMEOUT_S = 60


def run_probe(probe, function):
    """Run the probe without any environment or path that leads to a Python."""
    completed = subprocess.run(
        [probe, function],
        env={},
        cwd="/",
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    return json.loads(completed.stdout)


def test_maps_nothing_but_itself_and_the_c_library(probe):
    result = run_probe(probe, "imports")
    others = [path for path in result["paths"] if not SYSTEM_LIBRARY.match(path)]
    assert others == [str(probe)]
    assert result["search_path"] == ["/proc/self/exe"]


def test_every_module_of_the_package_can_be_imported(probe):
    sources = [
        path
        for path in (ROOT / "baobabwing").rglob("*.py")
        if path.name != "__main__.py" and path.parent != ROOT / "baobabwing"
    ]
    assert run_probe(probe, "imports")["modules"] >= len(sources)


def test_finds_each_distribution_once(probe):
    result = run_probe(probe, "imports")
    assert re.fullmatch(r"\d+(\.\d+)+", result["cheroot"])
    assert len(result["entries"]) == len(set(result["entries"])) > 5


def test_text_is_utf_8_in_an_empty_environment(probe):
    assert run_probe(probe, "imports")["encoding"] == "utf-8"


def test_loads_the_message_schema(probe):
    result = run_probe(probe, "schema")
    assert result["correlation"] == 7
    # Hosts have no disk to which the schema could be unpacked.
    assert result["file"].startswith("/proc/self/fd")


def test_keeps_no_descriptor_of_what_it_loaded(probe):
    # pycapnp keeps the schema file open while the schema is in use.
    schema = "/memfd:messages.capnp (deleted)"
    assert run_probe(probe, "descriptors") == {"open": [schema]}


@pytest.mark.parametrize(
    ("function", "raised"),
    [("interrupt", "KeyboardInterrupt"), ("broken_pipe", "BrokenPipeError")],
)
def test_signals_become_exceptions(probe, function, raised):
    """Guard against SIGPIPE terminating a node with all its streams.

    An embedded interpreter installs no signal handlers by default, so writing to
    a connection that the caller has closed terminates the process.
    """
    assert run_probe(probe, function) == {"raised": raised}


def test_ends_quietly_while_a_thread_still_runs(probe):
    """Guard against an abort at exit on hosts without libgcc_s.

    If a thread still serves a connection when the program ends, the interpreter
    terminates it, and glibc loads libgcc_s by name. Without the library the process
    aborts with "libgcc_s.so.1 must be installed for pthread_exit to work" instead of
    exiting with status 0.
    """
    result = run_probe(probe, "daemon_thread")
    assert result["threads"] == 2
    assert result["unwinders"] == ["/memfd:_libraries/libgcc_s.so.1"]


def test_runs_on_after_its_file_was_replaced(probe, tmp_path):
    """Guard against failing imports after an operator has replaced the binary.

    If modules were read by the path of the executable, a running process would
    import them from the newer file, and requests that need a module for the first
    time would fail.
    """
    running = shutil.copy(probe, tmp_path / "running")
    assert run_probe(running, "replaced") == {"ssl": True}


def test_equal_input_gives_equal_bytes(build_directory):
    binaries = []
    for seed in ("1", "2"):
        target = build_directory / f"seed-{seed}"
        command = [sys.executable, ROOT / "packaging" / "build.py", "--target", target]
        command += ["--package", PAYLOAD, "--entry", "payload.probe:main"]
        # The output must not depend on the iteration order of sets.
        env = {**os.environ, "PYTHONHASHSEED": seed}
        subprocess.run(command, env=env, check=True)
        binaries.append(target.read_bytes())
    assert binaries[0] == binaries[1]
