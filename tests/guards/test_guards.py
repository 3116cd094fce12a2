"""Each guard matters: without it, the test that is named here fails.

A guard is taken out of a scratch copy of the package by an exact replacement of
text, and one test is run against the copy. A replacement that does not fit any
more fails too, so that this list keeps up with the code.
"""

import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 240.0
LONG = 400
FAILED = 1

FUZZ_FILE = "tests/matrix/test_fuzz_in_process.py"
FUZZ = f"{FUZZ_FILE}::test_any_order_of_faults"
REQUEST = "tests/requests/test_request.py"
REGISTRY = "tests/requests/test_registry.py"
CLAIMS = "tests/requests/test_claims.py"
RELAY = "tests/entry/test_relay.py"
WHERE = "tests/homes/test_where.py"
LEAVING = "tests/features/test_leaving.py"


@dataclass(frozen=True, kw_only=True)
class Guard:
    """A guard, how it is taken out, and the test that then fails.

    :param promise: the promise of the brief that it serves.
    :param examples: runs of the fuzzing that it takes.
    """

    promise: str
    file: str
    old: str
    new: str
    test: str
    examples: int = 40


GUARDS = {
    "one dispatch": Guard(
        promise="dispatched to an engine at most once",
        file="requests/request.py",
        old='self._require(self._state == RequestState.PERMITTED, "dispatch")',
        new="pass",
        test=f"{REQUEST}::test_dispatched_once",
    ),
    "no second try at who refused": Guard(
        promise="dispatched to an engine at most once",
        file="requests/request.py",
        old="self._require(placement.upstream not in self._refused_by,",
        new="self._require(True,",
        test=f"{REQUEST}::test_refusing_upstream_is_not_tried_again",
    ),
    "key of an open request": Guard(
        promise="dispatched to an engine at most once",
        file="requests/registry.py",
        old="if earlier is not None and earlier.outcome is not Outcome.NOT_RUN:",
        new="if False:",
        test=f"{REGISTRY}::test_retry_finds_the_first_attempt",
    ),
    "only the owner dispatches": Guard(
        promise="dispatched to an engine at most once",
        file="entry/key_routing.py",
        old="    if owner.is_local:",
        new="    if True:",
        test=FUZZ,
    ),
    "a stream that goes on is not dispatched": Guard(
        promise="dispatched to an engine at most once",
        file="entry/key_routing.py",
        old="        elif owner.dispatchable and not resuming:",
        new="        elif owner.dispatchable:",
        test=FUZZ,
    ),
    "mark before the first byte": Guard(
        promise='"not run" means not run',
        file="entry/dispatch.py",
        old="                before_send=request.dispatch,",
        new="                before_send=lambda: None,",
        test=FUZZ,
        examples=LONG,
    ),
    "a dispatched request is not given up": Guard(
        promise='"not run" means not run',
        file="requests/request.py",
        old="            if self._state == RequestState.DISPATCHED:\n"
        "                return False\n",
        new="",
        test=f"{REQUEST}::test_dispatched_request_never_ends_as_not_run",
    ),
    "homes are asked before not run": Guard(
        promise='"not run" means not run',
        file="entry/key_routing.py",
        old="    elif lookup.sure:",
        new="    elif True:",
        test=FUZZ,
    ),
    "a home that knows half is not sure": Guard(
        promise='"not run" means not run',
        file="homes/cells.py",
        old="        if not complete:",
        new="        if False:",
        test=f"{WHERE}::test_home_is_not_sure_when_an_entry_did_not_report",
    ),
    "a queued key is not sure": Guard(
        promise='"not run" means not run',
        file="homes/cells.py",
        old="sure = all(pending.key != key for pending in self._pending.values())",
        new="sure = True",
        test=f"{WHERE}::test_home_is_not_sure_of_a_key_that_waits_in_its_queue",
    ),
    "reading a claim back": Guard(
        promise="non-idempotent calls run at most once",
        file="requests/claims.py",
        old="held = {table_key: self._read_back(table_key) for table_key in values}",
        new="held = {name: _to_claim(value) for name, value in values.items()}",
        test=f"{CLAIMS}::test_lost_answer_may_hide_another_owner",
    ),
    "the first claim holds": Guard(
        promise="non-idempotent calls run at most once",
        file="requests/claims.py",
        old="held = {result.key: _to_claim(result.value) for result in results}",
        new="held = {one.key: _to_claim(values[one.key]) for one in results}",
        test=f"{CLAIMS}::test_first_claim_holds",
    ),
    "services are not asked for streams": Guard(
        promise="non-idempotent calls run at most once",
        file="entry/services.py",
        old="            resumable=False,",
        new="            resumable=True,",
        test=f"{FUZZ_FILE}::test_service_is_not_called_for_a_caller_that_left",
    ),
    "the answer names its attempt": Guard(
        promise="the whole answer to its own request and no one else's",
        file="entry/relay.py",
        old='if answer.request_id not in ("", expect_id):',
        new="if False:",
        test=f"{RELAY}::test_an_answer_of_another_attempt_never_reaches_the_caller",
    ),
    "the end is kept back": Guard(
        promise="the whole answer to its own request and no one else's",
        file="entry/relay.py",
        old="whole = self._decoder.done and self._done and not self._partial",
        new="whole = self._decoder.done",
        test=f"{RELAY}::test_a_stream_without_its_last_event_or_chunk_is_truncated",
    ),
    "keys at a new home": Guard(
        promise="the whole answer to its own request and no one else's",
        file="node/handling.py",
        old="key=scoped_key(request.facts.organisation, request.facts.key),",
        new="key=request.facts.key,",
        test="tests/node/test_handling.py",
    ),
    "never a lower version": Guard(
        promise="a configuration never reverts",
        file="settings/keeper.py",
        old="if cfg.version <= 0 or cfg.version < self._highest_known:",
        new="if False:",
        test="tests/settings/test_keeper.py::test_only_higher_versions_are_applied",
    ),
    "a stop is cut at its deadline": Guard(
        promise="a planned stop is a graceful shutdown",
        file="node/node.py",
        old="        cut = self.context.open_calls.shut_down()",
        new="        cut = 0",
        test=f"{LEAVING}::test_a_second_signal_cuts_a_stop_short",
    ),
    "callers' keep time is waited out": Guard(
        promise="a planned stop is a graceful shutdown",
        file="node/node.py",
        old="        self._stopping.wait(self.settings.address_keep_ms / 1000)",
        new="        pass",
        test=f"{LEAVING}::test_all_hosts_are_restarted_one_after_another_under_load",
    ),
}
IN_CI = (
    "one dispatch",
    "key of an open request",
    "only the owner dispatches",
    "a dispatched request is not given up",
    "reading a claim back",
    "the answer names its attempt",
    "never a lower version",
)


def _copy(tmp_path):
    for name in ("baobabwing", "tests"):
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / name, tmp_path / name, ignore=ignored)
    shutil.copy(ROOT / "pyproject.toml", tmp_path)


def _marks(name):
    return () if name in IN_CI else (pytest.mark.matrix,)


@pytest.mark.parametrize(
    "name", [pytest.param(name, id=name, marks=_marks(name)) for name in GUARDS]
)
def test_without_the_guard_a_test_fails(tmp_path, name):
    guard = GUARDS[name]
    _copy(tmp_path)
    path = tmp_path / "baobabwing" / guard.file
    text = path.read_text(encoding="utf-8")
    assert text.count(guard.old) == 1, f"{guard.old!r} is not there once"
    path.write_text(text.replace(guard.old, guard.new), encoding="utf-8")
    done = subprocess.run(
        [
            sys.executable,
            *("-m", "pytest", "-x", "--show-capture=no"),
            *("--fuzz-raw", "--fuzz-examples", str(guard.examples)),
            guard.test,
        ],
        cwd=tmp_path,
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    # Status 1 says that tests ran and failed; a copy that cannot be imported, or
    # a test that is not there, has another.
    assert done.returncode == FAILED, done.stdout.decode("utf-8", "replace")[-2000:]
    assert b" failed" in done.stdout
