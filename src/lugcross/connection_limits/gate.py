# SPDX-License-Identifier: Apache-2.0
"""Decides which new connections are closed before anything is read.

Most connections of a region may come to one process for some seconds, many
times more than it can serve. Read all the same, all requests would wait until
their callers leave. A connection that is closed unread tells its caller that
the request has not run, and its retry meets another process.

How many connections a process can take depends on its processor, on what they
ask for and on what else the process does. So the number admitted in an
interval grows while the event loop keeps up, and is halved when it is late, as
TCP does with its congestion window. Open connections are not affected.
"""

import datetime
import enum
import math
import resource
from typing import final

#: Connections admitted in one interval at most: clients that all reconnect at
#: once after a restart.
_MAX_ADMITTED_COUNT = 256
#: The same at least, however late the event loop is.
_MIN_ADMITTED_COUNT = 2
#: By how many connections the number grows with each interval.
_ADMITTED_INCREASE_COUNT = 2
#: Delay of the event loop above which the number is halved: well below the
#: time in which callers expect the first byte.
MAX_LAG = datetime.timedelta(milliseconds=50)
#: Fraction of the file descriptors for callers' connections. Each may need
#: another one to a backend server; the rest is for peers, the store, the other
#: listening addresses and files.
_CALLER_DESCRIPTOR_FRACTION = 0.375
#: The same for connections to an address that no caller uses, such as that of
#: readiness checks: a small part of all, and enough for a few clients.
_OWN_DESCRIPTOR_FRACTION = 1 / 32
_MAX_OWN_CONNECTIONS = 128


class Refusal(enum.Enum):
    """Why a connection is closed unread.

    ``BEHIND``: the process is behind with what it has.
    ``TOO_MANY``: as many connections are open as it may have.
    """

    BEHIND = "behind"
    TOO_MANY = "too-many"


def default_max_connections(descriptor_limit: int) -> float:
    """Return how many connections of callers a process may have open.

    :param descriptor_limit: file descriptors that the process may have open;
        ``resource.RLIM_INFINITY`` for any number.
    """
    if descriptor_limit == resource.RLIM_INFINITY:
        return math.inf
    return int(descriptor_limit * _CALLER_DESCRIPTOR_FRACTION)


def default_max_own_connections(descriptor_limit: int) -> float:
    """Return how many connections an address may have that no caller uses.

    :param descriptor_limit: as for :func:`default_max_connections`.
    """
    if descriptor_limit == resource.RLIM_INFINITY:
        return _MAX_OWN_CONNECTIONS
    return min(
        _MAX_OWN_CONNECTIONS, int(descriptor_limit * _OWN_DESCRIPTOR_FRACTION)
    )


@final
class ConnectionGate:
    """Admits or refuses new connections of callers; no I/O.

    :param max_connections: open connections above which all are refused.
    """

    def __init__(self, max_connections: float) -> None:
        self._max_connections = max_connections
        self._max_admitted = _MAX_ADMITTED_COUNT
        self._admitted = 0

    @property
    def max_admitted(self) -> int:
        """Connections that are admitted in the present interval at most."""
        return self._max_admitted

    def start_interval(self, lag: datetime.timedelta) -> None:
        """Begin a new interval.

        :param lag: by how much the event loop was late at its beginning.
        """
        if lag > MAX_LAG:
            self._max_admitted = max(
                _MIN_ADMITTED_COUNT, self._max_admitted // 2
            )
        else:
            self._max_admitted = min(
                _MAX_ADMITTED_COUNT,
                self._max_admitted + _ADMITTED_INCREASE_COUNT,
            )
        self._admitted = 0

    def try_admit(self, open_connections: int) -> Refusal | None:
        """Admit a new connection, or return why not.

        :param open_connections: connections of callers that are open.
        """
        if open_connections >= self._max_connections:
            return Refusal.TOO_MANY
        if self._admitted >= self._max_admitted:
            return Refusal.BEHIND
        self._admitted += 1
        return None
