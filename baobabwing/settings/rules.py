"""Rules for the fields of configuration documents.

Importing the module registers them with the checker.
"""

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
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_NAME_RULE = Rule(
    least=1,
    most=128,
    check=lambda text: text.isprintable() and text == text.strip(),
    words="printable, without blanks at its ends",
)
_DURATION_MS_RULE = Rule(least=1, most=_DAY_MS)

set_rules(
    Tier,
    name=_NAME_RULE,
    rank=Rule(least=0, most=MAX_RANK),
    first_token_ms=_DURATION_MS_RULE,
    between_tokens_ms=_DURATION_MS_RULE,
    deadline_ms=_DURATION_MS_RULE,
    objective=Rule(least=0.0, most=1.0),
)
set_rules(
    Limits,
    requests_per_s=Rule(least=0.0, most=1e9),
    tokens_per_s=Rule(least=0.0, most=1e12),
    concurrency=Rule(least=0, most=10**9),
)
set_rules(Brand, name=_NAME_RULE, prefill_cost_per_million=Rule(least=0.0, most=1e9))
set_rules(
    Organisation, name=_NAME_RULE, brand=_NAME_RULE, weight=Rule(least=0.001, most=1e6)
)
_SHA256_RULE = Rule(check=_SHA256_HEX.fullmatch, words="64 digits 0-9 and a-f")
set_rules(
    Credential,
    name=_NAME_RULE,
    sha256=_SHA256_RULE,
    organisation=_NAME_RULE,
    tier=_NAME_RULE,
)
set_rules(
    Pool,
    name=_NAME_RULE,
    models=_NAME_RULE,
    cell_size=Rule(least=1, most=1024),
    policy=_NAME_RULE,
    queue_limit=Rule(least=1, most=1_000_000),
)
set_rules(
    Upstream,
    name=_NAME_RULE,
    pool=_NAME_RULE,
    address=Rule(check=is_address, words="an IP number and a port"),
    zone=Rule(most=63),
    generation=_NAME_RULE,
    capacity=Rule(least=1, most=100_000),
    prefill_tokens_per_s=Rule(least=0.001, most=1e9),
    step_ms=Rule(least=0.001, most=60_000),
)
set_rules(ModelRoute, brand=Rule(most=128), model=_NAME_RULE, serves=_NAME_RULE)
set_rules(LeavingHost, name=_NAME_RULE)
set_rules(Operator, name=_NAME_RULE, sha256=_SHA256_RULE, brands=_NAME_RULE)
set_rules(
    Configuration,
    version=Rule(least=0, most=2**63 - 1),
    attempt=Rule(most=128),
    author=Rule(most=128),
    summary=Rule(most=1000),
)
