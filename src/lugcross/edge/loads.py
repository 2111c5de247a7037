# SPDX-License-Identifier: Apache-2.0
"""How busy each backend server is, from what several sources tell."""

import collections
from collections.abc import Mapping
import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import ids
from lugcross import platform
from lugcross import routing

#: Age at which what a peer told of its requests counts no more: a few of
#: its messages were lost, or it is gone and so are its requests.
_PEER_STALE = datetime.timedelta(seconds=1.5)
#: Time within which what was sent here and at peers is not known to each
#: other: the spacing of their datagrams and the way.
_UNTOLD = datetime.timedelta(milliseconds=60)
#: Age at which a load told in an answer counts no more; about the time
#: in which a server's requests are replaced by others.
_TOLD_STALE = datetime.timedelta(milliseconds=500)


@final
@dataclasses.dataclass
class _Told:
    load: platform.Load
    at: clock_lib.Instant


@final
@dataclasses.dataclass
class _Peer:
    running: Mapping[desired.BackendKey, int]
    at: clock_lib.Instant


@final
class Loads:
    """Requests in progress at each backend server, as far as known."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._own: collections.Counter[desired.BackendKey] = (
            collections.Counter()
        )
        self._sent: collections.deque[
            tuple[clock_lib.Instant, ids.ServiceName]
        ] = collections.deque()
        self._told: dict[desired.BackendKey, _Told] = {}
        self._peers: dict[str, _Peer] = {}
        self._health: dict[desired.BackendKey, routing.Health] = {}

    def started(
        self, key: desired.BackendKey, service: ids.ServiceName
    ) -> None:
        """Note that a request was sent from here."""
        self._own[key] += 1
        self._sent.append((self._clock.monotonic(), service))
        self.health(key).sent(self._clock.monotonic())

    def ended(self, key: desired.BackendKey) -> None:
        """Note that a request sent from here is over."""
        self._own[key] -= 1
        if not self._own[key]:
            del self._own[key]

    def told(self, key: desired.BackendKey, load: platform.Load) -> None:
        """Take over the load that an answer told."""
        self._told[key] = _Told(load, self._clock.monotonic())

    def peer_told(
        self, node: str, running: Mapping[desired.BackendKey, int]
    ) -> None:
        """Take over what a peer has in progress."""
        self._peers[node] = _Peer(running, self._clock.monotonic())

    def fresh(self, service: ids.ServiceName) -> int:
        """Return how many were sent that peers' news cannot reflect."""
        now = self._clock.monotonic()
        while self._sent and now - self._sent[0][0] > _UNTOLD:
            self._sent.popleft()
        return sum(1 for _, other in self._sent if other == service)

    def peers(self) -> int:
        """Return how many peers were heard lately."""
        now = self._clock.monotonic()
        return sum(
            1 for peer in self._peers.values() if now - peer.at < _PEER_STALE
        )

    def own(self) -> dict[desired.BackendKey, int]:
        """Return what is in progress from here."""
        return dict(self._own)

    def busy(self, key: desired.BackendKey) -> int:
        """Return how many requests ``key`` probably has."""
        now = self._clock.monotonic()
        total = self._own[key]
        for peer in self._peers.values():
            if now - peer.at < _PEER_STALE:
                total += peer.running.get(key, 0)
        told = self._told.get(key)
        if told is not None and now - told.at < _TOLD_STALE:
            total = max(total, told.load.running + told.load.waiting)
        return total

    def health(self, key: desired.BackendKey) -> routing.Health:
        """Return what was seen of ``key`` from here."""
        return self._health.setdefault(key, routing.Health())

    def ejected(self, key: desired.BackendKey) -> bool:
        """Tell whether requests should go elsewhere."""
        health = self._health.get(key)
        return health is not None and health.ejected(self._clock.monotonic())

    def keep_only(self, known: set[desired.BackendKey]) -> None:
        """Forget servers that are gone."""
        for table in (self._told, self._health):
            for key in table.keys() - known:
                del table[key]
