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
# Indexes of /proc/PID/stat fields after the command name, which may contain spaces.
SESSION_FIELD = 3
WAITED_CHILDREN_FAULTS_FIELD = 8


@dataclass(frozen=True, kw_only=True)
class ProcessStat:
    """Fields of /proc/PID/stat.

    :param session: session id.
    :param waited_children_faults: minor page faults of all waited-for children.
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
    """Return the process ids of a session, including orphaned descendants."""
    members = []
    for path in Path("/proc").iterdir():
        if not path.name.isdigit():
            continue
        try:
            if read_process_stat(path.name).session == session:
                members.append(int(path.name))
        except OSError:
            continue  # The process has ended since the directory was listed.
    return members


@contextlib.contextmanager
def running_binary(binary, *arguments):
    """Run the binary in its own session with an empty environment."""
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
    """Assert that the process has no child processes and never had any."""
    assert children(process.pid) == []
    assert session_members(process.pid) == [process.pid]
    assert os.readlink(f"/proc/{process.pid}/exe") == str(process.args[0])
    # The page faults of ended children remain in their parent's count.
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
    """Guard against processes that survive a stop by process id.

    A launcher that runs the program as its child, or a library that runs a helper
    command, would leave a second process running or the port in use.
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
    """Guard against the same failure in a node whose platform is unavailable."""
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
