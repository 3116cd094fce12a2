"""Ends of real processes, with outputs that nobody reads and parts that fail."""

import asyncio
import contextlib
import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.platform_adapter import demo
from tests.platform_adapter.test_processes import ask

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 4.0
NODES = 6
# For the kernel and the event loop of this process to report an end.
REPORT_S = 0.5


class Started(demo.Deployment):
    """Starts each node in a way of its own.

    :ivar ways: by number: name of an output, and words of the command.
    """

    ways = ()

    async def _launch(self, number):
        output, words = self.ways[number]
        env = {**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'platform'}"}
        env["BAOBABWING_SETTINGS"] = str(self._settings_file(number))
        if output == "closed":
            words = ["sh", "-c", 'exec "$@" <&- >&- 2>&-', "sh", *words]
        fd = open_output(output, self.folder / f"node-{number}.log")
        try:
            return await asyncio.create_subprocess_exec(
                *words, env=env, cwd=ROOT, stdout=fd, stderr=fd
            )
        finally:
            os.close(fd)


def open_output(kind, log):
    if kind in ("log", "closed"):
        return os.open(log, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    reader, writer = os.pipe()
    if kind == "gone":
        os.close(reader)
        return writer
    # The reader stays open, and reads nothing.
    os.set_blocking(writer, False)
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    os.write(writer, b"x" * 4096)
    os.set_blocking(writer, kind == "full")
    return writer


def play(tmp_path, ways):
    """Return the statuses of the nodes and how long their stop took."""
    deployment = Started(nodes=len(ways), folder=tmp_path, grace_s=GRACE_S)
    deployment.ways = ways

    async def story():
        try:
            await deployment.start()
            for number, callers in enumerate(deployment.callers):
                for turn in range(20):
                    status, _ = await ask(callers, 100 * number + turn)
                    assert status == 200
            began_at = time.monotonic()
            for number in range(len(ways)):
                deployment.send_signal(number, signal.SIGTERM)
            async with asyncio.timeout(3 * GRACE_S):
                for process in deployment.processes:
                    await process.wait()
            return time.monotonic() - began_at
        finally:
            for number in range(len(deployment.processes)):
                deployment.send_signal(number, signal.SIGKILL)
            await deployment.stop()

    took_s = asyncio.run(story())
    return [process.returncode for process in deployment.processes], took_s


def test_outputs_that_nobody_reads_end_no_node(tmp_path):
    start = [sys.executable, str(ROOT / "platform/start.py")]
    outputs = ("closed", "full", "full and not blocking", "gone")
    statuses, took_s = play(tmp_path, [(output, start) for output in outputs])
    assert dict(zip(outputs, statuses, strict=True)) == dict.fromkeys(outputs, 0)
    assert took_s <= GRACE_S + REPORT_S


@pytest.mark.parametrize("output", ["log", "full"])
def test_parts_that_fail_delay_no_end(tmp_path, output):
    """Hanging threads, uncancellable tasks and errors kept a process from ending."""
    script = str(Path(__file__).with_name("faulty_start.py"))
    faults = ("thread", "task", "drain", "loop")
    ways = [(output, [sys.executable, script, fault]) for fault in faults]
    statuses, took_s = play(tmp_path, ways)
    assert dict(zip(faults, statuses, strict=True)) == dict.fromkeys(faults, 0)
    assert took_s <= GRACE_S + REPORT_S


FAILED_STARTS = {
    "start": (os.EX_SOFTWARE, "MemoryError('drawn')"),
    "settings": (os.EX_CONFIG, "KeyError('ip')"),
    "port": (os.EX_OSERR, "[step=callers]"),
    "descriptors": (os.EX_OSERR, "Too many open files"),
}


@pytest.mark.parametrize("fault", FAILED_STARTS)
def test_status_and_line_tell_why_a_start_failed(tmp_path, fault):
    status, error = FAILED_STARTS[fault]
    text = demo.settings_text(0, "127.0.0.1:1", grace_s=0.5)
    fields = dict(line.split("=", 1) for line in text.splitlines())
    if fault == "settings":
        text = text.replace("ip=", "other=")
    file = tmp_path / "boot.conf"
    file.write_text(text)
    with contextlib.ExitStack() as stack:
        if fault == "port":
            host, _, port = fields["listen.front"].rpartition(":")
            stack.enter_context(socket.create_server((host, int(port))))
        ended = subprocess.run(
            [sys.executable, Path(__file__).with_name("faulty_start.py"), fault],
            env={
                **os.environ,
                "PYTHONPATH": f"{ROOT}:{ROOT / 'platform'}",
                "BAOBABWING_SETTINGS": str(file),
            },
            capture_output=True,
            timeout=30,
        )
    assert ended.returncode == status
    last = json.loads(ended.stdout.splitlines()[-1])
    assert (last["number"], last["status"]) == (8524, status)
    assert error in last["error"]


def test_signals_at_any_moment_of_an_end(tmp_path):
    """One that came while the interpreter ended killed the process."""
    rng = random.Random(29)
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGPIPE)
    deployment = demo.Deployment(nodes=NODES, folder=tmp_path, grace_s=GRACE_S)

    async def play():
        try:
            await deployment.start()
            for number in range(NODES):
                deployment.send_signal(number, signal.SIGTERM)
            until = time.monotonic() + GRACE_S
            while time.monotonic() < until:
                for number in range(NODES):
                    deployment.send_signal(number, rng.choice(signals))
                await asyncio.sleep(rng.uniform(0, 0.004))
        finally:
            await deployment.stop()

    asyncio.run(play())
    assert [process.returncode for process in deployment.processes] == [0] * NODES
