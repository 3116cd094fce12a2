"""Limits of one organisation on one node."""

import pytest

from baobabwing.brands.catalogue import Limits
from baobabwing.brands.limits import (
    Charge,
    Exceeded,
    LimitName,
    OrganisationLimiter,
    TokenBucket,
)


def count_admitted(limiter, now, count, tokens=1.0):
    results = [limiter.admit(tokens, now) for _ in range(count)]
    return sum(isinstance(result, Charge) for result in results)


def test_no_limits_admit_all():
    limiter = OrganisationLimiter(limits=Limits(), now=0.0)
    assert count_admitted(limiter, 0.0, 100, tokens=1e9) == 100


def test_requests_are_admitted_at_the_rate():
    limiter = OrganisationLimiter(limits=Limits(requests_per_s=5.0), now=0.0)
    total = sum(count_admitted(limiter, second, 20) for second in range(10))
    assert total == 50


def test_refusal_has_retry_delay():
    limiter = OrganisationLimiter(limits=Limits(requests_per_s=2.0), now=0.0)
    count_admitted(limiter, 0.0, 2)
    refusal = limiter.admit(1.0, 0.0)
    assert refusal == Exceeded(limit=LimitName.REQUESTS, retry_after_s=0.5)
    assert isinstance(limiter.admit(1.0, 0.5), Charge)


def test_concurrency_is_freed_by_settling():
    limiter = OrganisationLimiter(limits=Limits(concurrency=1), now=0.0)
    charge = limiter.admit(1.0, 0.0)
    assert limiter.admit(1.0, 0.0).limit is LimitName.CONCURRENCY
    limiter.settle(charge, 1.0, 0.1)
    assert isinstance(limiter.admit(1.0, 0.1), Charge)


def test_refused_request_costs_nothing():
    limits = Limits(requests_per_s=2.0, tokens_per_s=10.0)
    limiter = OrganisationLimiter(limits=limits, now=0.0)
    limiter.admit(10.0, 0.0)
    assert limiter.admit(5.0, 0.0).limit is LimitName.TOKENS
    assert isinstance(limiter.admit(5.0, 0.5), Charge)


def test_tokens_are_settled_by_usage():
    limiter = OrganisationLimiter(limits=Limits(tokens_per_s=100.0), now=0.0)
    charge = limiter.admit(100.0, 0.0)
    assert isinstance(limiter.admit(50.0, 0.0), Exceeded)
    limiter.settle(charge, 40.0, 0.0)
    assert isinstance(limiter.admit(60.0, 0.0), Charge)


def test_underestimate_leaves_a_debt():
    """Guards against unlimited usage by requests with a low estimate.

    An organisation requests 1 token and streams 300. Charged by the estimate alone
    it could use any number of tokens per second.
    """
    limiter = OrganisationLimiter(limits=Limits(tokens_per_s=100.0), now=0.0)
    charge = limiter.admit(1.0, 0.0)
    limiter.settle(charge, 301.0, 0.0)
    assert limiter.admit(1.0, 0.0).retry_after_s == pytest.approx(2.02)


def test_request_larger_than_the_burst_is_admitted():
    """Guards against refusing a large request indefinitely.

    A request of 500 tokens under a limit of 100 tokens per second never finds 500
    tokens in the bucket, so it has to leave a debt.
    """
    limiter = OrganisationLimiter(limits=Limits(tokens_per_s=100.0), now=0.0)
    assert isinstance(limiter.admit(500.0, 0.0), Charge)
    assert limiter.admit(100.0, 0.0).retry_after_s == pytest.approx(5.0)


def test_changed_rate_gives_no_new_burst():
    bucket = TokenBucket(rate=10.0, now=0.0)
    bucket.take(10.0, 0.0)
    bucket.change_rate(100.0, 0.0)
    assert bucket.level(0.0) == 0.0


def test_rate_that_becomes_bounded_starts_full():
    limiter = OrganisationLimiter(limits=Limits(), now=0.0)
    limiter.change(Limits(requests_per_s=3.0), 1.0)
    assert count_admitted(limiter, 1.0, 10) == 3


def test_clock_running_backwards_adds_nothing():
    bucket = TokenBucket(rate=10.0, now=5.0)
    bucket.take(10.0, 5.0)
    assert bucket.level(4.0) == 0.0
    assert bucket.level(5.0) == 0.0
