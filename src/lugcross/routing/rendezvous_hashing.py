# SPDX-License-Identifier: Apache-2.0
"""Rendezvous hashing: who is first for a key, alike on every node."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

_Name = TypeVar("_Name", bound=str)


def rendezvous_order(key: str, names: Iterable[_Name]) -> list[_Name]:
    """Return ``names``, best first for ``key``.

    When a name goes, only the keys that it was best for move.
    """
    return sorted(names, key=lambda name: (-_score(key, name), name))


def rendezvous_first(key: str, names: Iterable[_Name]) -> _Name | None:
    """Return the best of ``names`` for ``key``, if there are any."""
    return max(names, key=lambda name: (_score(key, name), name), default=None)


def _score(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
