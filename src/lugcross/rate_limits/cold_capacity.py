# SPDX-License-Identifier: Apache-2.0
"""Capacity that cold servers cannot offer yet; no I/O."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import ids
from lugcross.rate_limits import server_limits

#: Time for which a result is cached. Hundreds of servers may be cold, and the
#: result is needed for each request.
_CACHE_TTL = datetime.timedelta(milliseconds=50)

#: Returns the estimated number of requests on each of some servers.
RequestsAtEach = Callable[[Iterable[desired.BackendKey]], list[int]]


@final
@dataclasses.dataclass(frozen=True)
class ClosedCapacity:
    """Capacity of a service that is closed because servers are cold.

    :param servers: in servers; a server whose slots are closed in part counts
        in part.
    :param slots: in slots.
    """

    servers: float = 0.0
    slots: float = 0.0


_NOTHING_CLOSED = ClosedCapacity()


@final
@dataclasses.dataclass(frozen=True)
class _Cached:
    servers: Sequence[desired.Backend]
    expires_at: clock_lib.Instant
    closed: ClosedCapacity


@final
class ColdCapacity:
    """Computes for each service how much of its capacity is closed."""

    def __init__(
        self, clock: clock_lib.Clock, limits: server_limits.ServerLimits
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._cached: dict[ids.ServiceName, _Cached] = {}

    def closed(
        self,
        service: ids.ServiceName,
        servers: Sequence[desired.Backend],
        requests_at_each: RequestsAtEach,
    ) -> ClosedCapacity:
        """Return the closed part of the capacity of ``servers``.

        A cold server counts with the requests that it has and those that its
        rate allows shortly, at most with its slots.

        :param servers: servers of ``service`` that new requests may go to.
        """
        cold = self._limits.cold_servers()
        if not cold:
            return _NOTHING_CLOSED
        now = self._clock.monotonic()
        cached = self._cached.get(service)
        if cached and cached.servers is servers and now < cached.expires_at:
            return cached.closed
        some = [one for one in servers if one.key in cold]
        requests = requests_at_each(one.key for one in some)
        closed_slots = [
            max(0.0, one.slots - present - self._limits.cold.room(one.key))
            for one, present in zip(some, requests, strict=True)
        ]
        closed = ClosedCapacity(
            sum(
                slots / one.slots
                for one, slots in zip(some, closed_slots, strict=True)
            ),
            sum(closed_slots),
        )
        self._cached[service] = _Cached(servers, now + _CACHE_TTL, closed)
        return closed
