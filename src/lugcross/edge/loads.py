# SPDX-License-Identifier: Apache-2.0
"""How busy each backend server is, from what several sources tell."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import tally as tally_lib
from lugcross.edge import unseen as unseen_lib
from lugcross import ids
from lugcross import platform
from lugcross import routing

#: Age at which what a peer told of its requests counts no more: a few of
#: its messages were lost, or it is gone and so are its requests.
_PEER_STALE = datetime.timedelta(seconds=1.5)
#: Age at which a load told in an answer counts no more; about the time
#: in which a server's requests are replaced by others.
_TOLD_STALE = datetime.timedelta(milliseconds=500)
#: Mean age of the news of peers nearby: half of the time between two
#: datagrams, and the way.
_NEAR_AGE = datetime.timedelta(milliseconds=30)
#: The same of peers in other failure domains.
_FAR_AGE = datetime.timedelta(milliseconds=105)


@final
@dataclasses.dataclass
class _Told:
    """Requests that an answer told of its server."""

    requests: int
    at: clock_lib.Instant


@final
class Loads:
    """Requests in progress at each backend server, as far as known.

    :param service_of: service of a backend server; none if not known.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        *,
        service_of: Callable[
            [desired.BackendKey], ids.ServiceName | None
        ] = lambda key: None,
    ) -> None:
        self._clock = clock
        self._service_of = service_of
        self._running: tally_lib.Tally[desired.BackendKey] = tally_lib.Tally(
            clock, stale=_PEER_STALE
        )
        self._unseen = unseen_lib.Unseen(near=_NEAR_AGE, far=_FAR_AGE)
        #: By backend server; whoever told longest ago comes first.
        self._told: collections.OrderedDict[desired.BackendKey, _Told] = (
            collections.OrderedDict()
        )
        self._health: dict[desired.BackendKey, routing.Health] = {}

    def started(self, key: desired.BackendKey) -> None:
        """Note that a request was sent from here."""
        self._running.add(key, 1)
        self.health(key).sent(self._clock.monotonic())

    def ended(self, key: desired.BackendKey) -> None:
        """Note that a request sent from here is over."""
        self._running.add(key, -1)

    def told(self, key: desired.BackendKey, load: platform.ServerLoad) -> None:
        """Take over the load that an answer told."""
        self._told[key] = _Told(
            load.running + load.waiting, self._clock.monotonic()
        )
        self._told.move_to_end(key)

    def peer_told(
        self,
        node: str,
        running: Mapping[desired.BackendKey, int],
        *,
        near: bool = True,
    ) -> None:
        """Take over what a peer has in progress.

        :param near: whether it is of this process's failure domain.
        """
        before = self._running.told(node, running)
        if before is None:
            # What it has had in progress for long is no burst.
            return
        now = self._clock.monotonic()
        for key, count in running.items():
            more = count - before.get(key, 0)
            service = self._service_of(key) if more > 0 else None
            if service is not None:
                self._unseen.began(service, more, now, near=near)

    def unseen(self, service: ids.ServiceName) -> float:
        """Return how many requests peers have sent and not told yet."""
        return self._unseen.of(service, self._clock.monotonic())

    def own(self) -> dict[desired.BackendKey, int]:
        """Return what is in progress from here."""
        return self._running.own()

    def busy(self, key: desired.BackendKey) -> int:
        """Return how many requests ``key`` probably has."""
        return self.busy_each([key])[0]

    def busy_each(self, keys: Iterable[desired.BackendKey]) -> list[int]:
        """Return how many requests each of several servers has."""
        running = self._running.sums()
        told = self._fresh_told()
        return [
            max(running.get(key, 0), told[key].requests)
            if key in told
            else running.get(key, 0)
            for key in keys
        ]

    def busy_all(self, keys: Set[desired.BackendKey]) -> int:
        """Return how many requests several servers probably have."""
        running = self._running.sums()
        total = self._running.total(keys)
        for key, told in self._fresh_told().items():
            if key in keys:
                total += max(0, told.requests - running.get(key, 0))
        return total

    def _fresh_told(self) -> Mapping[desired.BackendKey, _Told]:
        limit = self._clock.monotonic() - _TOLD_STALE
        while self._told:
            key = next(iter(self._told))
            if self._told[key].at > limit:
                break
            del self._told[key]
        return self._told

    def health(self, key: desired.BackendKey) -> routing.Health:
        """Return what was seen of ``key`` from here."""
        return self._health.setdefault(key, routing.Health())

    def ejected(self, key: desired.BackendKey) -> bool:
        """Tell whether requests should go elsewhere."""
        health = self._health.get(key)
        return health is not None and health.ejected(self._clock.monotonic())

    def on_trial(self, key: desired.BackendKey) -> bool:
        """Tell whether it was left alone and has answered nothing since."""
        health = self._health.get(key)
        return health is not None and health.on_trial

    def closed(self, key: desired.BackendKey) -> bool:
        """Tell whether one request is finding out whether it has rested."""
        health = self._health.get(key)
        return health is not None and health.closed()

    def keep_only(self, known: set[desired.BackendKey]) -> None:
        """Forget servers that are gone."""
        for table in (self._told, self._health):
            for key in table.keys() - known:
                del table[key]
