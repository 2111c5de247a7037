# SPDX-License-Identifier: Apache-2.0
"""Rendezvous (highest random weight) hashing; same result on every node."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

_Name = TypeVar("_Name", bound=str)


def rendezvous_order(key: str, names: Iterable[_Name]) -> list[_Name]:
    """Return ``names`` by descending score for ``key``.

    When a name is removed, only the keys that it came first for move.
    """
    return sorted(names, key=lambda name: (-_score(key, name), name))


def rendezvous_first(key: str, names: Iterable[_Name]) -> _Name | None:
    """Return the name with the highest score, or None if there are none."""
    return max(names, key=lambda name: (_score(key, name), name), default=None)


def _score(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
