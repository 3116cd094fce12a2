"""Nodes as real processes whose descriptors are few, under many connections."""

import asyncio
import os
import resource
from pathlib import Path

import pytest

from baobabwing.gateway.connection import open_connection
from tests.platform_adapter import demo
from tests.platform_adapter.test_processes import ask, eventually

LIMIT = 150
SILENT = 300
REQUESTS = 20
WATCHED_S = 2.0
# A node that turns in a loop takes all that it gets.
MAX_CORES = 0.3
# Lines on its connections that a node may write meanwhile.
MAX_LINES = 20


def limit_process(deployment):
    resource.prlimit(deployment.processes[0].pid, resource.RLIMIT_NOFILE, (LIMIT,) * 2)
    deployment.change_settings(0, "limits.further=1")


def limit_setting(deployment):
    deployment.change_settings(0, f"limits.max_fds={LIMIT}")


def used_s(pid):
    """Return the processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def connect_silently(address, count):
    return await asyncio.gather(
        *(
            open_connection(address, timeout_s=5.0, head_bytes=1024)
            for _ in range(count)
        )
    )


async def ask_on(conn, number):
    """Return the status of an answer on a kept connection; 0 if there is none."""
    conn.http.start_next_cycle()
    headers = demo.request_headers(str(number), demo.KEY)
    try:
        async with asyncio.timeout(3.0):
            return (await demo.exchange(conn, "POST", "/safe/x", headers, b"x"))[0]
    except (demo.ConnectionLostError, TimeoutError):
        return 0


async def is_ready(deployment):
    text = (deployment.folder / "node-0.conf").read_text()
    address = dict(line.split("=", 1) for line in text.splitlines())["listen.ready"]
    (conn,) = await connect_silently(address, 1)
    status, _ = await demo.exchange(conn, "GET", "/", [(b"Host", b"d")], b"")
    conn.close()
    return status == 200


async def kept_connection(deployment):
    (conn,) = await connect_silently(deployment.callers[0], 1)
    headers = demo.request_headers("1", demo.KEY)
    assert (await demo.exchange(conn, "POST", "/safe/x", headers, b"x"))[0] == 200
    return conn


@pytest.mark.parametrize("limit", [limit_process, limit_setting])
def test_silent_callers_do_not_take_the_descriptors_of_a_node(tmp_path, limit):
    """Nothing else could be opened, and the listener turned in a loop."""
    deployment = demo.Deployment(nodes=1, folder=tmp_path)

    def log_lines(event):
        return (tmp_path / "node-0.log").read_text().count(f'"{event}"')

    async def reloaded():
        return log_lines("settings_reloaded")

    async def story():
        pid = deployment.processes[0].pid
        limit(deployment)
        await eventually(reloaded, "the settings are reloaded")
        kept = await kept_connection(deployment)
        silent = await connect_silently(deployment.callers[0], SILENT)
        began_s = used_s(pid)
        await asyncio.sleep(WATCHED_S)
        cores = (used_s(pid) - began_s) / WATCHED_S
        on_kept = [await ask_on(kept, 10 + number) for number in range(REQUESTS)]
        newcomers = await asyncio.gather(
            *(
                asyncio.wait_for(ask(deployment.callers[0], 100 + number), 8.0)
                for number in range(REQUESTS)
            ),
            return_exceptions=True,
        )
        async with asyncio.timeout(5.0):
            answers = [
                await is_ready(deployment),
                bool(await demo.resolve(deployment.directories[0])),
            ]
        opened = len(list(Path(f"/proc/{pid}/fd").iterdir()))
        for conn in (kept, *silent):
            conn.abort()
        served = sum(isinstance(one, tuple) and one[0] == 200 for one in newcomers)
        return cores, on_kept.count(200), served, answers, opened

    async def play():
        try:
            await deployment.start()
            return await story()
        finally:
            await deployment.stop()

    cores, on_kept, served, answers, opened = asyncio.run(play())
    seen = (
        f"{cores:.2f} cores, {on_kept} on the kept connection, {served} newcomers, "
        f"readiness and directory: {answers}, {opened} descriptors, "
        f"{log_lines('error_unhandled')} errors, {log_lines('connections_full')} lines"
    )
    assert on_kept == served == REQUESTS, seen
    assert all(answers), seen
    assert opened < LIMIT, seen
    assert cores < MAX_CORES, seen
    assert log_lines("error_unhandled") == 0, seen
    assert 0 < log_lines("connections_full") <= MAX_LINES, seen
