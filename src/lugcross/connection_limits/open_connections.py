# SPDX-License-Identifier: Apache-2.0
"""Decides which open connection is closed to make room for a new one.

Clients may open connections and send nothing, or read nothing. If a listener
only refused new connections at its bound, these clients would keep all others
out. So near the bound the connection goes that is most likely of no use: one
that has never carried a whole request, then one that rests for longest, then
one whose client does not take its response. A request that is being served
is not interrupted.
"""

import datetime
import enum
from typing import final
from typing import Generic
from typing import TypeVar

from lugcross import clock as clock_lib

#: Fraction of the bound from which on connections are closed for new ones.
#: The rest is for those that are accepted until the closed ones are gone.
_FULL_FRACTION = 0.875
#: Time for which a client may take its response before its connection counts
#: as of no use.
_MIN_DELIVERY_TIME = datetime.timedelta(seconds=1)

ConnT = TypeVar("ConnT")


class ConnState(enum.Enum):
    """What an open connection does.

    ``WAITING``: for a request, or for the rest of one.
    ``SERVING``: a whole request is being served.
    ``SERVING_AHEAD``: the same; it was sent before the response to the request
    before it was complete.
    ``DELIVERING``: the response is complete, and its client takes it.
    """

    WAITING = "waiting"
    SERVING = "serving"
    SERVING_AHEAD = "serving-ahead"
    DELIVERING = "delivering"


@final
class OpenConnections(Generic[ConnT]):
    """The open connections of one listener; no I/O.

    :param max_count: bound on their number.
    """

    def __init__(self, max_count: float) -> None:
        self._max_count = max_count
        #: Connections that are accepted and not added yet.
        self._reserved_count = 0
        self._all: set[ConnT] = set()
        #: Connections that wait for their first request, oldest first.
        self._unserved: dict[ConnT, None] = {}
        #: Connections that wait for a further one, longest wait first.
        self._waiting: dict[ConnT, None] = {}
        #: When connections began to deliver, earliest first.
        self._delivering: dict[ConnT, clock_lib.Instant] = {}
        #: Connections that serve a request sent ahead, earliest first.
        self._serving_ahead: dict[ConnT, None] = {}

    @property
    def count(self) -> int:
        """Number of open connections, accepted ones included."""
        return len(self._all) + self._reserved_count

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be opened."""
        return self.count >= self._max_count

    def all(self) -> list[ConnT]:
        """Return the connections that were added and are still open."""
        return list(self._all)

    def reserve(self) -> None:
        """Count a connection that is accepted; :meth:`add` follows."""
        self._reserved_count += 1

    def cancel(self) -> None:
        """Note that an accepted connection will not be added."""
        self._reserved_count -= 1

    def add(self, conn: ConnT) -> None:
        """Add a connection that was reserved; it waits for a request."""
        self._reserved_count -= 1
        self._all.add(conn)
        self._unserved[conn] = None

    def update(
        self, conn: ConnT, state: ConnState, now: clock_lib.Instant
    ) -> None:
        """Note that a connection is in another state."""
        if conn not in self._all:
            return
        self._forget_state(conn)
        if state is ConnState.WAITING:
            self._waiting[conn] = None
        elif state is ConnState.DELIVERING:
            self._delivering[conn] = now
        elif state is ConnState.SERVING_AHEAD:
            self._serving_ahead[conn] = None

    def remove(self, conn: ConnT) -> None:
        """Note that a connection is closed."""
        self._forget_state(conn)
        self._all.discard(conn)

    def take_useless(self, now: clock_lib.Instant) -> ConnT | None:
        """Return a connection to close for a new one.

        It counts until :meth:`remove`, and is not returned again.

        :returns: None if there is room, or if all are of use.
        """
        if not self._is_nearly_full:
            return None
        conn = next(iter(self._unserved), None)
        if conn is None:
            conn = next(iter(self._waiting), None)
        if conn is None:
            conn = self._longest_delivering(now)
        if conn is not None:
            self._forget_state(conn)
        return conn

    def take_sending_ahead(self) -> ConnT | None:
        """Return a connection to close after the request it serves.

        It is not returned again until it serves a further one.

        :returns: None if there is room, or if no client sends ahead.
        """
        if not self._is_nearly_full:
            return None
        conn = next(iter(self._serving_ahead), None)
        if conn is not None:
            self._forget_state(conn)
        return conn

    @property
    def _is_nearly_full(self) -> bool:
        return self.count >= self._max_count * _FULL_FRACTION

    def _longest_delivering(self, now: clock_lib.Instant) -> ConnT | None:
        for conn, since in self._delivering.items():
            return conn if now - since >= _MIN_DELIVERY_TIME else None
        return None

    def _forget_state(self, conn: ConnT) -> None:
        self._unserved.pop(conn, None)
        self._waiting.pop(conn, None)
        self._delivering.pop(conn, None)
        self._serving_ahead.pop(conn, None)
