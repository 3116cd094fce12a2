import json

import pytest


def completion(prompt, *, max_tokens=1, stream=False):
    return {
        "model": "m",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    }


def words(count, name="w"):
    return " ".join(f"{name}{i}" for i in range(count))


@pytest.fixture
def small(start):
    """Start an engine with a batch of two and a queue of two."""
    return start(
        "engine", "--model", "m", "--max-batch", "2", "--max-waiting", "2",
        "--report-lag-ms", "0", "--cache-event-lag-ms", "0", "--cache-event-gap", "0",
    )  # fmt: skip


@pytest.fixture
def begin(until):
    """Return a function that starts long streams in turn without reading them."""
    connections = []

    def begin_all(engine, *attempts):
        body = completion("p q", max_tokens=30_000, stream=True)
        for count, attempt in enumerate(attempts, start=1):
            conn = engine.begin("/v1/completions", body, X_Request_Id=attempt)
            connections.append(conn)
            until(lambda count=count: len(engine.executions()) == count)

    yield begin_all
    for conn in connections:
        conn.close()


def test_sequences_beyond_the_batch_are_queued_in_order_of_arrival(small, begin, until):
    begin(small, "a", "b", "c", "d")
    until(lambda: small.states() == ["running", "running", "waiting", "waiting"])
    until(lambda: small.executions()[1]["output_tokens"])
    load = small.json("GET", "/load")
    assert (load["running"], load["waiting"]) == (2, 2)
    assert load["waiting_prefill_tokens"] == 4
    small.call("DELETE", "/v1/streams/b")
    until(lambda: small.states() == ["running", "cancelled", "running", "waiting"])


def test_a_request_beyond_the_queue_is_refused_as_not_admitted(small, begin):
    begin(small, "a", "b", "c", "d")
    refused = small.call("POST", "/v1/completions", completion("p"))
    assert (refused.status, refused.headers["X-Not-Admitted"]) == (503, "1")
    assert len(small.executions()) == 4


def test_a_waiting_request_that_is_cancelled_prefills_nothing(small, begin):
    begin(small, "a", "b", "c")
    small.call("DELETE", "/v1/streams/c")
    last = small.executions()[-1]
    assert (last["state"], last["prefilled_tokens"]) == ("cancelled", 0)


def test_a_request_cancelled_during_its_prefill_records_the_prefilled_tokens(
    start, until
):
    """A caller cancels while its long prompt is being prefilled.

    The prompt tokens already prefilled are wasted and must be counted.
    """
    engine = start(
        "engine", "--model", "m", "--prefill-tokens-per-s", "2000",
        "--prefill-chunk", "20",
    )  # fmt: skip
    body = completion(words(20_000), stream=True)
    conn = engine.begin("/v1/completions", body, X_Request_Id="a")
    until(lambda: engine.executions() and engine.executions()[0]["prefilled_tokens"])
    engine.call("DELETE", "/v1/streams/a")
    (execution,) = engine.executions()
    assert execution["state"] == "cancelled"
    assert 0 < execution["prefilled_tokens"] < 20_000
    assert execution["output_tokens"] == 0
    conn.close()


@pytest.mark.parametrize("chunk", ["0", "100"])
def test_a_prompt_is_prefilled_once_and_its_blocks_are_reused(start, chunk):
    engine = start("engine", "--model", "m", "--prefill-chunk", chunk)
    for prompt in (words(300), words(310), words(256), words(300, "v")):
        engine.call("POST", "/v1/completions", completion(prompt))
    counts = [
        (execution["cached_tokens"], execution["prefilled_tokens"])
        for execution in engine.executions()
    ]
    assert counts == [(0, 300), (256, 54), (255, 1), (0, 300)]


def test_a_full_cache_evicts_and_reports_it(start):
    engine = start(
        "engine", "--model", "m", "--cache-tokens", "128",
        "--cache-event-lag-ms", "0", "--cache-event-gap", "0",
    )  # fmt: skip
    for name in "uv":
        engine.call("POST", "/v1/completions", completion(words(128, name)))
    events = engine.json("GET", "/cache-events?after=0")
    kinds = [event["kind"] for event in events["events"]]
    assert kinds == ["stored"] * 4 + ["evicted"] * 2
    assert events["next"] == 6


def test_exported_blocks_are_imported_by_another_engine(start):
    first = start("engine", "--model", "m")
    second = start("engine", "--model", "m")
    prompt = words(200)
    first.call("POST", "/v1/completions", completion(prompt))
    blocks = first.json("POST", "/kv/export", {"prompt": prompt})
    assert second.json("POST", "/kv/export", {"prompt": prompt}) == {"blocks": []}
    assert second.json("POST", "/kv/import", blocks) == blocks
    second.call("POST", "/v1/completions", completion(prompt))
    assert second.executions()[0]["cached_tokens"] == 192


def test_the_load_report_lags(start, begin, until):
    engine = start("engine", "--model", "m", "--report-lag-ms", "600000")
    begin(engine, "a")
    until(lambda: engine.states() == ["running"])
    assert engine.json("GET", "/load")["running"] == 0
    engine.fault("lag", value=0)
    until(lambda: engine.json("GET", "/load")["running"] == 1)


def test_prefill_wasted_by_a_crash_is_in_the_record_file(start, tmp_path):
    """An engine crashes after it has prefilled a long prompt.

    The prompt has to be prefilled again by another engine. As the memory of the
    first one is lost, only the record's file shows how much work was wasted.
    """
    path = tmp_path / "record"
    engine = start("engine", "--model", "m", "--record", str(path))
    engine.fault("die_at", value="answered")
    body = completion(words(300), max_tokens=30_000, stream=True)
    conn = engine.begin("/v1/completions", body)
    assert engine.process.wait(20) == 1
    last = json.loads(path.read_text().splitlines()[-1])
    assert (last["state"], last["prefilled_tokens"]) == ("running", 300)
    conn.close()


def test_a_step_running_at_a_cancel_counts_as_prefilled(start, until):
    """A caller cancels while its whole prompt is being prefilled in one step.

    The step cannot be stopped, so its work is wasted and must be counted.
    """
    engine = start(
        "engine", "--model", "m", "--prefill-chunk", "0",
        "--prefill-tokens-per-s", "600",
    )  # fmt: skip
    body = completion(words(300), stream=True)
    conn = engine.begin("/v1/completions", body, X_Request_Id="a")
    until(lambda: engine.states() == ["running"])
    engine.call("DELETE", "/v1/streams/a")
    assert engine.states() == ["cancelled"]
    until(lambda: engine.executions()[0]["prefilled_tokens"] == 300, wait_s=5.0)
    conn.close()
