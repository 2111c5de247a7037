# SPDX-License-Identifier: Apache-2.0
"""Counts by key, summed over this process and its live peers.

The sums are updated incrementally, as counts of peers arrive and expire:
they are read several times per request, but change only a few times a
second per peer. Adding up all peers' counts for each server at every read
would dominate the time to admit a request.
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
    """The last counts received from one peer, and when."""

    counts: Mapping[_Key, int]
    heard_at: clock_lib.Instant


@final
class FleetCounts(Generic[_Key]):
    """Counts by key of this process and of its peers, with their sums.

    :param max_age: age at which a peer's counts are dropped from the sums.
    """

    def __init__(
        self, clock: clock_lib.Clock, *, max_age: datetime.timedelta
    ) -> None:
        self._clock = clock
        self._max_age = max_age
        self._own: collections.Counter[_Key] = collections.Counter()
        self._sums: dict[_Key, int] = {}
        #: Ordered by time of receipt, oldest first.
        self._by_peer: collections.OrderedDict[str, _PeerCounts[_Key]] = (
            collections.OrderedDict()
        )

    def add(self, key: _Key, count: int) -> None:
        """Add ``count``, which may be negative, to the own count of a key."""
        self._own[key] += count
        if not self._own[key]:
            del self._own[key]
        self._add_to_sum(key, count)

    def set_peer_counts(
        self, peer: str, counts: Mapping[_Key, int]
    ) -> Mapping[_Key, int] | None:
        """Replace all counts of a peer.

        :returns: the counts replaced, or None if there were none or they had
            expired.
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
        """Return a copy of this process's own counts."""
        return dict(self._own)

    def sum_of(self, key: _Key) -> int:
        """Return the sum for one key over this process and live peers."""
        self._drop_stale()
        return self._sums.get(key, 0)

    def sum_of_all(self, keys: Iterable[_Key]) -> int:
        """Return the total of the sums for several keys."""
        self._drop_stale()
        return sum(map(self._sums.get, keys, itertools.repeat(0)))

    def sums(self) -> Mapping[_Key, int]:
        """Return all sums other than 0.

        The mapping is the internal one: callers must neither modify it nor
        keep it.
        """
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
        """Drop the counts of peers that are older than ``max_age``."""
        limit = self._clock.monotonic() - self._max_age
        while self._by_peer:
            peer = next(iter(self._by_peer))
            if self._by_peer[peer].heard_at > limit:
                return
            self._subtract(self._by_peer.pop(peer))
