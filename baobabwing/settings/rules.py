"""What the fields of configuration documents allow."""

from __future__ import annotations

import re

from baobabwing.brands.catalogue import Brand, Credential, Limits, Organisation, Tier
from baobabwing.brands.operators import Operator
from baobabwing.pools.catalogue import Pool, Upstream
from baobabwing.settings.checker import Rule, is_address, set_rules
from baobabwing.settings.configuration import Configuration, LeavingHost, ModelRoute

__all__ = ["MAX_RANK"]

MAX_RANK = 255
_DAY_MS = 24 * 3_600_000
_DIGEST = re.compile(r"[0-9a-f]{64}")
_ANY_NAME = Rule(
    least=1,
    most=128,
    check=lambda text: text.isprintable() and text == text.strip(),
    words="printable, without blanks at its ends",
)
_MS = Rule(least=1, most=_DAY_MS)

set_rules(
    Tier,
    name=_ANY_NAME,
    rank=Rule(least=0, most=MAX_RANK),
    first_token_ms=_MS,
    between_tokens_ms=_MS,
    deadline_ms=_MS,
    objective=Rule(least=0.0, most=1.0),
)
set_rules(
    Limits,
    requests_per_s=Rule(least=0.0, most=1e9),
    tokens_per_s=Rule(least=0.0, most=1e12),
    concurrency=Rule(least=0, most=10**9),
)
set_rules(Brand, name=_ANY_NAME, prefill_cost_per_million=Rule(least=0.0, most=1e9))
set_rules(
    Organisation, name=_ANY_NAME, brand=_ANY_NAME, weight=Rule(least=0.001, most=1e6)
)
_SHA256 = Rule(check=_DIGEST.fullmatch, words="64 digits 0-9 and a-f")
set_rules(
    Credential,
    name=_ANY_NAME,
    sha256=_SHA256,
    organisation=_ANY_NAME,
    tier=_ANY_NAME,
)
set_rules(
    Pool,
    name=_ANY_NAME,
    models=_ANY_NAME,
    cell_size=Rule(least=1, most=1024),
    policy=_ANY_NAME,
    queue_limit=Rule(least=1, most=1_000_000),
)
set_rules(
    Upstream,
    name=_ANY_NAME,
    pool=_ANY_NAME,
    address=Rule(check=is_address, words="an IP number and a port"),
    zone=Rule(most=63),
    generation=_ANY_NAME,
    capacity=Rule(least=1, most=100_000),
    prefill_tokens_per_s=Rule(least=0.001, most=1e9),
    step_ms=Rule(least=0.001, most=60_000),
)
set_rules(ModelRoute, brand=Rule(most=128), model=_ANY_NAME, serves=_ANY_NAME)
set_rules(LeavingHost, name=_ANY_NAME)
set_rules(Operator, name=_ANY_NAME, sha256=_SHA256, brands=_ANY_NAME)
set_rules(
    Configuration,
    version=Rule(least=0, most=2**63 - 1),
    attempt=Rule(most=128),
    author=Rule(most=128),
    summary=Rule(most=1000),
)
