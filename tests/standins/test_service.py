import threading


def test_executions_are_counted_by_key_and_retries_are_run(start):
    service = start("service", "--name", "slots", "--service-ms", "1")
    keys = ["k1", "k2", "k1", ""]
    answers = [
        service.json("PUT", f"/book/{index}?x=1", "cut", Idempotency_Key=key)
        for index, key in enumerate(keys)
    ]
    assert [answer["execution"] for answer in answers] == [1, 1, 2, 1]
    assert answers[0] == {
        "service": "slots",
        "key": "k1",
        "execution": 1,
        "echo": '"cut"',
    }
    assert [execution["key"] for execution in service.executions()] == keys


def test_excess_calls_are_queued_and_then_refused(start, until):
    service = start(
        "service", "--service-ms", "600000", "--concurrency", "2",
        "--max-waiting", "1", "--report-lag-ms", "0",
    )  # fmt: skip
    conns = []
    for count in range(1, 4):
        conns.append(service.begin("/book", "x"))
        until(lambda count=count: len(service.executions()) == count)
    until(lambda: sorted(service.states()) == ["running", "running", "waiting"])
    load = service.json("GET", "/load")
    assert (load["running"], load["waiting"]) == (2, 1)
    refused = service.call("POST", "/book", "x")
    assert (refused.status, refused.headers["X-Not-Admitted"]) == (503, "1")
    assert len(service.executions()) == 3
    for conn in conns:
        conn.close()


def test_concurrent_calls_with_one_key_get_different_execution_counts(start):
    service = start("service", "--service-ms", "1")
    numbers = []

    def call():
        answer = service.json("POST", "/book", "x", Idempotency_Key="k")
        numbers.append(answer["execution"])

    threads = [threading.Thread(target=call) for _ in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(numbers) == list(range(1, 13))
