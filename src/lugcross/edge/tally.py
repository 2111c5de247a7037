# SPDX-License-Identifier: Apache-2.0
"""Counts of this process and of all its peers, with the sums kept.

A sum over peers is asked for several times a request and changes a few
times a second for each peer. It is kept as their news arrives and grows
old: summed up anew for each of 192 servers from 98 peers' news, one request
took 8.1 ms to admit.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
import itertools
from typing import final
from typing import Generic
from typing import TypeVar

from lugcross import clock as clock_lib

_Key = TypeVar("_Key")


@final
@dataclasses.dataclass
class _Told(Generic[_Key]):
    """What one peer told last, and when it was heard."""

    counts: Mapping[_Key, int]
    at: clock_lib.Instant


@final
class Tally(Generic[_Key]):
    """Counts by key: own ones, and those that live peers have told.

    :param stale: age at which what a peer told counts no more.
    """

    def __init__(
        self, clock: clock_lib.Clock, *, stale: datetime.timedelta
    ) -> None:
        self._clock = clock
        self._stale = stale
        self._own: collections.Counter[_Key] = collections.Counter()
        self._sums: dict[_Key, int] = {}
        #: By peer; whoever was heard longest ago comes first.
        self._told: collections.OrderedDict[str, _Told[_Key]] = (
            collections.OrderedDict()
        )

    def add(self, key: _Key, count: int) -> None:
        """Add to this process's own count; less than 0 takes away."""
        self._own[key] += count
        if not self._own[key]:
            del self._own[key]
        self._add(key, count)

    def told(
        self, peer: str, counts: Mapping[_Key, int]
    ) -> Mapping[_Key, int] | None:
        """Take over all counts of a peer in place of what it told before.

        :returns: what it told before; none if that was too old or nothing.
        """
        self._drop_stale()
        before = self._told.pop(peer, None)
        if before is None or before.counts != counts:
            self._take_back(before)
            for key, count in counts.items():
                self._add(key, count)
        self._told[peer] = _Told(counts, self._clock.monotonic())
        return None if before is None else before.counts

    def own(self) -> dict[_Key, int]:
        """Return this process's own counts."""
        return dict(self._own)

    def of(self, key: _Key) -> int:
        """Return the sum of one key."""
        self._drop_stale()
        return self._sums.get(key, 0)

    def total(self, keys: Iterable[_Key]) -> int:
        """Return the sum of several keys."""
        self._drop_stale()
        return sum(map(self._sums.get, keys, itertools.repeat(0)))

    def sums(self) -> Mapping[_Key, int]:
        """Return all sums that are not 0; not to be changed or kept."""
        self._drop_stale()
        return self._sums

    def _add(self, key: _Key, count: int) -> None:
        total = self._sums.get(key, 0) + count
        if total:
            self._sums[key] = total
        else:
            self._sums.pop(key, None)

    def _take_back(self, told: _Told[_Key] | None) -> None:
        if told is None:
            return
        for key, count in told.counts.items():
            self._add(key, -count)

    def _drop_stale(self) -> None:
        """Forget what peers told that were not heard for too long."""
        limit = self._clock.monotonic() - self._stale
        while self._told:
            peer = next(iter(self._told))
            if self._told[peer].at > limit:
                return
            self._take_back(self._told.pop(peer))
