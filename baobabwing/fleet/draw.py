"""Weighted draws by hash, the same on every node."""

from __future__ import annotations

import functools
import hashlib
import math

__all__ = ["weighted_score"]

_HASH_BYTES = 8
_HASH_RANGE = 2.0 ** (8 * _HASH_BYTES)
_MIN_LOGARITHM = 1e-18
# Draws that are remembered: of 500 hosts for a dozen resources. A ranking of 195 hosts
# is made anew with each change of the members and takes 0.63 ms, and 0.27 so;
# while all hosts of a fleet come, that is a hundred times for each resource.
_MAX_CACHED_SCORES = 8192


@functools.lru_cache(maxsize=_MAX_CACHED_SCORES)
def weighted_score(name: str, subject: str, *, weight: float) -> float:
    """Return a number for a name and a subject.

    Among several names, each has the highest number for a share of all subjects
    that is in proportion to its weight.
    """
    data = f"{name}\0{subject}".encode()
    digest = hashlib.blake2b(data, digest_size=_HASH_BYTES).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / _HASH_RANGE
    # The topmost hashes round to 1, of which the logarithm is 0. Dividing by it
    # would raise in whoever asks for that one subject.
    return weight / max(-math.log(uniform), _MIN_LOGARITHM)
