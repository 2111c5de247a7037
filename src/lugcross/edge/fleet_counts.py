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
class _PeerCounts(Generic[_Key]):
    """What one peer told last, and when it was heard."""

    counts: Mapping[_Key, int]
    heard_at: clock_lib.Instant


@final
class FleetCounts(Generic[_Key]):
    """Counts by key: own ones, and those that live peers have told.

    :param max_age: age at which what a peer told counts no more.
    """

    def __init__(
        self, clock: clock_lib.Clock, *, max_age: datetime.timedelta
    ) -> None:
        self._clock = clock
        self._max_age = max_age
        self._own: collections.Counter[_Key] = collections.Counter()
        self._sums: dict[_Key, int] = {}
        #: By peer; whoever was heard longest ago comes first.
        self._by_peer: collections.OrderedDict[str, _PeerCounts[_Key]] = (
            collections.OrderedDict()
        )

    def add(self, key: _Key, count: int) -> None:
        """Add to this process's own count; less than 0 takes away."""
        self._own[key] += count
        if not self._own[key]:
            del self._own[key]
        self._add_to_sum(key, count)

    def set_peer_counts(
        self, peer: str, counts: Mapping[_Key, int]
    ) -> Mapping[_Key, int] | None:
        """Take over all counts of a peer in place of what it told before.

        :returns: what it told before; none if that was too old or nothing.
        """
        self._drop_stale()
        before = self._by_peer.pop(peer, None)
        if before is None or before.counts != counts:
            self._subtract(before)
            for key, count in counts.items():
                self._add_to_sum(key, count)
        self._by_peer[peer] = _PeerCounts(counts, self._clock.monotonic())
        return None if before is None else before.counts

    def own(self) -> dict[_Key, int]:
        """Return this process's own counts."""
        return dict(self._own)

    def sum_of(self, key: _Key) -> int:
        """Return the sum of one key."""
        self._drop_stale()
        return self._sums.get(key, 0)

    def sum_of_all(self, keys: Iterable[_Key]) -> int:
        """Return the sum of several keys."""
        self._drop_stale()
        return sum(map(self._sums.get, keys, itertools.repeat(0)))

    def sums(self) -> Mapping[_Key, int]:
        """Return all sums that are not 0; not to be changed or kept."""
        self._drop_stale()
        return self._sums

    def _add_to_sum(self, key: _Key, count: int) -> None:
        total = self._sums.get(key, 0) + count
        if total:
            self._sums[key] = total
        else:
            self._sums.pop(key, None)

    def _subtract(self, peer_counts: _PeerCounts[_Key] | None) -> None:
        if peer_counts is None:
            return
        for key, count in peer_counts.counts.items():
            self._add_to_sum(key, -count)

    def _drop_stale(self) -> None:
        """Forget what peers told that were not heard for too long."""
        limit = self._clock.monotonic() - self._max_age
        while self._by_peer:
            peer = next(iter(self._by_peer))
            if self._by_peer[peer].heard_at > limit:
                return
            self._subtract(self._by_peer.pop(peer))
