import pytest


def order(fence, order_id, *models, role="both"):
    return {"fence": fence, "order_id": order_id, "models": models, "role": role}


def complete(engine, model):
    body = {"model": model, "prompt": "p", "max_tokens": 1}
    return engine.call("POST", "/v1/completions", body)


def loaded(engine):
    return engine.json("GET", "/orders")["loaded"]


def test_an_order_loads_and_unloads_models(start, until):
    engine = start("engine", "--model", "m1", "--load-ms", "1")
    assert engine.call("POST", "/orders", order(1, "o1", "m1", "m2")).status == 200
    until(lambda: loaded(engine) == ["m1", "m2"])
    engine.call("POST", "/orders", order(1, "o2", "m2"))
    assert loaded(engine) == ["m2"]
    refused = complete(engine, "m1")
    assert (refused.status, refused.headers["X-Not-Admitted"]) == (503, "1")
    assert complete(engine, "m2").status == 200
    models = engine.json("GET", "/v1/models")["data"]
    assert [model["id"] for model in models] == ["m2"]


@pytest.mark.parametrize(
    ("option", "status", "fence_in_force"),
    [("--fencing", 409, 5), ("--no-fencing", 200, 4)],
)
def test_an_old_fencing_number_is_refused_where_it_is_checked(
    start, option, status, fence_in_force
):
    """A node whose lease expired while it was paused sends an outdated order.

    An engine that checks fencing numbers keeps the state of the newer holder; one
    that does not check applies the outdated order. Both record it.
    """
    engine = start("engine", "--model", "m", option)
    engine.call("POST", "/orders", order(5, "new", "m"))
    assert engine.call("POST", "/orders", order(4, "late", "m")).status == status
    assert engine.json("GET", "/orders")["fence"] == fence_in_force
    received = engine.json("GET", "/control/record")["orders"]
    accepted = [(entry["order"]["order_id"], entry["accepted"]) for entry in received]
    assert accepted == [("new", True), ("late", status == 200)]


def test_a_leaving_engine_admits_no_new_requests(start):
    engine = start("engine", "--model", "m")
    engine.call("POST", "/orders", order(1, "o1", "m", role="leaving"))
    refused = complete(engine, "m")
    assert (refused.status, refused.headers["X-Not-Admitted"]) == (503, "1")
    assert engine.executions() == []


def test_weights_are_loaded_from_the_platform_at_its_rate_limit(start, until):
    platform = start(
        "platform", "--weight-load-ms", "1", "--weight-loads-per-s", "2",
        "--weight-burst", "1",
    )  # fmt: skip
    engine = start("engine", "--platform", f"http://{platform.address}")
    engine.call("POST", "/orders", order(1, "o1", "m1", "m2"))
    until(lambda: loaded(engine) == ["m1", "m2"])
    record = platform.json("GET", "/control/record")
    assert sorted(load["model"] for load in record["weights"]) == ["m1", "m2"]
    assert record["counts"]["loads_limited"] >= 1


def test_a_malformed_order_is_refused(start):
    engine = start("engine")
    assert engine.call("POST", "/orders", {"fence": "x"}).status == 400
