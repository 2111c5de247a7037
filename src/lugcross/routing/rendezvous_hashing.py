# SPDX-License-Identifier: Apache-2.0
"""Rendezvous (highest random weight) hashing; same result on every node."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

_Name = TypeVar("_Name", bound=str)
#: A score has 64 bits, of which a float holds 53 exactly.
_FRACTION_SHIFT_BITS = 11
_FRACTION_STEP_COUNT = 1 << 53


def rendezvous_order(key: str, names: Iterable[_Name]) -> list[_Name]:
    """Return ``names`` by descending score for ``key``.

    When a name is removed, only the keys that it came first for move.
    """
    return sorted(names, key=lambda name: (-_score(key, name), name))


def rendezvous_first(key: str, names: Iterable[_Name]) -> _Name | None:
    """Return the name with the highest score, or None if there are none."""
    return max(names, key=lambda name: (_score(key, name), name), default=None)


def rendezvous_rank(key: str, names: Iterable[str], name: str) -> int:
    """Return how many of ``names`` come before ``name`` for ``key``."""
    own = (-_score(key, name), name)
    return sum((-_score(key, one), one) < own for one in names)


def rendezvous_fraction(key: str, name: str) -> float:
    """Return a number from 0 to 1 that looks random, below 1."""
    return (_score(key, name) >> _FRACTION_SHIFT_BITS) / _FRACTION_STEP_COUNT


def _score(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
