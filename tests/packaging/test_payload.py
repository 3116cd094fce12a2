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
    """Run the probe where no variable, path or working folder leads to a Python."""
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
    # A host has no disk to unpack the schema to.
    assert result["file"].startswith("/proc/self/fd")


def test_keeps_no_descriptor_of_what_it_loaded(probe):
    # pycapnp keeps the one file of the schema open for as long as it is used.
    schema = "/memfd:messages.capnp (deleted)"
    assert run_probe(probe, "descriptors") == {"open": [schema]}


@pytest.mark.parametrize(
    ("function", "raised"),
    [("interrupt", "KeyboardInterrupt"), ("broken_pipe", "BrokenPipeError")],
)
def test_signals_become_exceptions(probe, function, raised):
    """A caller closes its connection, then the node writes to it.

    The user would see the node vanish with all its other streams. Cause: an
    embedded interpreter sets up no signals by default, so SIGPIPE ends it.
    """
    assert run_probe(probe, function) == {"raised": raised}


def test_ends_quietly_while_a_thread_still_runs(probe):
    """The program ends while a thread still serves a connection.

    The user would see "libgcc_s.so.1 must be installed for pthread_exit to
    work" and an abort in place of exit status 0, on hosts without that library.
    Cause: glibc loads it by name when the interpreter ends the thread.
    """
    result = run_probe(probe, "daemon_thread")
    assert result["threads"] == 2
    assert result["unwinders"] == ["/memfd:_libraries/libgcc_s.so.1"]


def test_runs_on_after_its_file_was_replaced(probe, tmp_path):
    """An operator puts a newer binary in the place of one that runs.

    The user would see requests fail that are the first to need some module.
    Cause: modules read by the file's name come from the newer file by then.
    """
    running = shutil.copy(probe, tmp_path / "running")
    assert run_probe(running, "replaced") == {"ssl": True}


def test_equal_input_gives_equal_bytes(build_directory):
    binaries = []
    for seed in ("1", "2"):
        target = build_directory / f"seed-{seed}"
        command = [sys.executable, ROOT / "packaging" / "build.py", "--target", target]
        command += ["--package", PAYLOAD, "--entry", "payload.probe:main"]
        # The order of sets in the builder must not show in what it writes.
        env = {**os.environ, "PYTHONHASHSEED": seed}
        subprocess.run(command, env=env, check=True)
        binaries.append(target.read_bytes())
    assert binaries[0] == binaries[1]
