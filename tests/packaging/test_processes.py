import contextlib
import json
import os
import re
import signal
import subprocess
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

import urllib3

from baobabwing.bench.ports import free_port
from baobabwing.bench.processes import wait_until

TIMEOUT_S = 60
REQUESTS = 50
# Fields of /proc/PID/stat behind the command's name, which may hold blanks.
SESSION_FIELD = 3
WAITED_CHILDREN_FAULTS_FIELD = 8


@dataclass(frozen=True, kw_only=True)
class ProcessStat:
    """What the kernel tells of a process.

    :param reaped_faults: page faults of all children that it has waited for.
    """

    session: int
    waited_children_faults: int


def read_process_stat(pid):
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return ProcessStat(
        session=int(fields[SESSION_FIELD]),
        waited_children_faults=int(fields[WAITED_CHILDREN_FAULTS_FIELD]),
    )


def thread_ids(pid):
    return [path.name for path in Path(f"/proc/{pid}/task").iterdir()]


def children(pid):
    child_ids = []
    for thread_id in thread_ids(pid):
        thread_children = Path(f"/proc/{pid}/task/{thread_id}/children").read_text(
            encoding="ascii"
        )
        child_ids += thread_children.split()
    return child_ids


def session_members(session):
    """Return the processes of a session, grandchildren without parents included."""
    members = []
    for path in Path("/proc").iterdir():
        if not path.name.isdigit():
            continue
        try:
            if read_process_stat(path.name).session == session:
                members.append(int(path.name))
        except OSError:
            continue  # It ended between the listing and the reading.
    return members


@contextlib.contextmanager
def running_binary(binary, *arguments):
    """Run the binary in a session of its own, with no environment."""
    with subprocess.Popen(
        [binary, *arguments],
        env={},
        cwd="/",
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        start_new_session=True,
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def assert_no_child_processes(process):
    """Assert that the process has no child and has had none."""
    assert children(process.pid) == []
    assert session_members(process.pid) == [process.pid]
    assert os.readlink(f"/proc/{process.pid}/exe") == str(process.args[0])
    # A child that had come and gone would have left its page faults behind.
    assert read_process_stat(process.pid).waited_children_faults == 0


def assert_stops_gracefully(process):
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == 0
    assert session_members(process.pid) == []


def responds_ok(pool, url):
    try:
        return pool.request("GET", url, retries=False).status == HTTPStatus.OK
    except urllib3.exceptions.HTTPError:
        return False


def test_version_needs_no_environment(binary):
    completed = subprocess.run(
        [binary, "--version"],
        env={},
        cwd="/",
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=True,
    )
    assert re.fullmatch(r"baobabwing \d+\.\d+\.\d+\n", completed.stdout)


def test_is_one_linked_elf_file(binary):
    dump = subprocess.run(
        ["readelf", "--dynamic", "--program-headers", "--wide", binary],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert "Requesting program interpreter: /lib" in dump
    needed = re.findall(r"\(NEEDED\).*\[(.+)\]", dump)
    assert "libc.so.6" in needed
    assert set(needed) <= {"libc.so.6", "libm.so.6", "ld-linux-x86-64.so.2"}
    assert not re.search(r"\((RPATH|RUNPATH)\)", dump)


def test_a_standin_serves_and_stops_as_one_process(binary):
    """A host's supervisor starts the binary and stops it by its process id.

    The user would see a second process left running, or the port still taken,
    after a stop. Cause: a launcher that unpacks itself and runs the program as
    its child, or a library that runs a helper command.
    """
    arguments = ("standin", "service", "--listen", "127.0.0.1:0")
    with running_binary(binary, *arguments) as process:
        address = json.loads(process.stdout.readline())["listening"]
        pool = urllib3.PoolManager()
        for number in range(REQUESTS):
            answer = pool.request(
                "POST", f"http://{address}/bookings", json={"n": number}, retries=False
            )
            assert answer.status == HTTPStatus.OK
        assert len(thread_ids(process.pid)) > 1
        assert_no_child_processes(process)
        assert_stops_gracefully(process)


def test_a_node_serves_and_stops_as_one_process(binary, tmp_path):
    """The same story for a node, here with the platform's service down.

    The user would see what the stand-in's test tells, on an entry host.
    """
    ports = {name: f"127.0.0.1:{free_port()}" for name in ("http", "peer", "platform")}
    settings = {
        "name": "entry-1",
        "region": "texas",
        "zone": "a",
        "http": ports["http"],
        "peer": ports["peer"],
        "platform_url": f"http://{ports['platform']}",
        "peer_secrets": ["of-this-test-only"],
        "address_keep_ms": 100,
        "stop_deadline_ms": 1000,
    }
    path = tmp_path / "node.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    with running_binary(binary, "node", "--settings", path) as process:
        pool = urllib3.PoolManager()
        base = f"http://{ports['http']}"
        assert wait_until(
            lambda: responds_ok(pool, f"{base}/healthz"), timeout_s=TIMEOUT_S
        )
        for _ in range(REQUESTS):
            assert responds_ok(pool, f"{base}/v1/addresses")
            assert responds_ok(pool, f"{base}/metrics")
        assert_no_child_processes(process)
        assert_stops_gracefully(process)
