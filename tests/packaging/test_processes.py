import json
import os
import re
import signal
import subprocess
from dataclasses import dataclass
from pathlib import Path

import pytest
import urllib3

TIMEOUT_S = 60
REQUESTS = 50
# Fields of /proc/PID/stat behind the command's name, which may hold blanks.
SESSION_FIELD = 3
REAPED_FAULTS_FIELD = 8


@dataclass(frozen=True, kw_only=True)
class Stat:
    """What the kernel tells of a process.

    :param reaped_faults: page faults of all children that it has waited for.
    """

    session: int
    reaped_faults: int


def read_stat(pid):
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return Stat(
        session=int(fields[SESSION_FIELD]),
        reaped_faults=int(fields[REAPED_FAULTS_FIELD]),
    )


def tasks(pid):
    return [path.name for path in Path(f"/proc/{pid}/task").iterdir()]


def children(pid):
    found = []
    for task in tasks(pid):
        listed = Path(f"/proc/{pid}/task/{task}/children").read_text(encoding="ascii")
        found += listed.split()
    return found


def session_members(session):
    """Return the processes of a session, grandchildren without parents included."""
    members = []
    for path in Path("/proc").iterdir():
        if not path.name.isdigit():
            continue
        try:
            if read_stat(path.name).session == session:
                members.append(int(path.name))
        except OSError:
            continue  # It ended between the listing and the reading.
    return members


@pytest.fixture
def service(binary):
    command = [binary, "standin", "service", "--listen", "127.0.0.1:0"]
    with subprocess.Popen(
        command, env={}, cwd="/", stdout=subprocess.PIPE, start_new_session=True
    ) as running:
        yield running
        running.kill()


def test_version_needs_no_environment(binary):
    done = subprocess.run(
        [binary, "--version"],
        env={},
        cwd="/",
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=True,
    )
    assert re.fullmatch(r"baobabwing \d+\.\d+\.\d+\n", done.stdout)


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


def test_serves_and_stops_as_one_process(service):
    """A host's supervisor starts the binary and stops it by its process id.

    The user would see a second process left running, or the port still taken,
    after a stop. Cause: a launcher that unpacks itself and runs the program as
    its child, or a library that runs a helper command.
    """
    address = json.loads(service.stdout.readline())["listening"]
    pool = urllib3.PoolManager()
    for number in range(REQUESTS):
        answer = pool.request(
            "POST", f"http://{address}/bookings", json={"n": number}, retries=False
        )
        assert answer.status == 200
        assert children(service.pid) == []
    assert len(tasks(service.pid)) > 1
    assert os.readlink(f"/proc/{service.pid}/exe") == str(service.args[0])
    assert session_members(service.pid) == [service.pid]
    # A child that had come and gone would have left its page faults behind.
    assert read_stat(service.pid).reaped_faults == 0

    service.send_signal(signal.SIGTERM)
    assert service.wait(TIMEOUT_S) == 0
    assert session_members(service.pid) == []
