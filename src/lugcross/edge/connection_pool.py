# SPDX-License-Identifier: Apache-2.0
"""Connections to backend servers, kept for the next request."""

import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import http1

#: Longest wait for a connection: a few round trips within a region; past
#: it the host is cut off or its queue of connections is full.
_CONNECT_TIMEOUT_S = 0.4
#: Rest after which a connection is not used again where the server tells
#: no time of its own. Short: one that the server has just closed costs a
#: request whose fate is unknown.
_MAX_IDLE = datetime.timedelta(seconds=4)
#: The same for what must not be repeated. The server may have forgotten the
#: connection, or it may have gone silent, and then whether the request ran
#: is not known; a new connection costs some milliseconds.
_MAX_IDLE_NOT_REPEATABLE = datetime.timedelta(seconds=1)
#: What is kept clear of the time that a server tells.
_KEEP_ALIVE_MARGIN = datetime.timedelta(seconds=1)
#: Idle connections kept to one server.
_MAX_IDLE_CONNECTIONS = 6


@final
@dataclasses.dataclass(frozen=True)
class _IdleConnection:
    """One kept connection.

    :param idle_since: when its last answer ended.
    :param expires_at: when it is used no more.
    """

    conn: http1.ClientConn
    idle_since: clock_lib.Instant
    expires_at: clock_lib.Instant


@final
class ConnectionPool:
    """Idle connections by backend server; newest first."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._idle: dict[desired.BackendKey, list[_IdleConnection]] = {}

    async def acquire(
        self,
        backend: desired.Backend,
        *,
        not_repeatable: bool = False,
        new: bool = False,
    ) -> http1.ClientConn:
        """Return a connection to ``backend``.

        :param not_repeatable: whether what is sent on it must not be repeated.
        :param new: whether it must be a new one, which shows that the
            server lives.
        :raises http1.NoConnectionError: when none came up.
        """
        idle = [] if new else self._idle.get(backend.key, [])
        now = self._clock.monotonic()
        while idle:
            if (
                not_repeatable
                and now - idle[-1].idle_since > _MAX_IDLE_NOT_REPEATABLE
            ):
                # All others have rested longer.
                break
            one = idle.pop()
            usable = not one.conn.closing and not one.conn.has_unread_data
            if usable and now < one.expires_at:
                return one.conn
            one.conn.close()
        return await http1.connect(
            backend.host, backend.port, timeout_s=_CONNECT_TIMEOUT_S
        )

    def release(
        self,
        backend: desired.Backend,
        conn: http1.ClientConn,
        keep_alive: datetime.timedelta | None,
    ) -> None:
        """Keep a connection for the next request, if it can be.

        :param keep_alive: how long the server said that it keeps it.
        """
        idle = self._idle.setdefault(backend.key, [])
        lifetime = (
            _MAX_IDLE
            if keep_alive is None
            else keep_alive - _KEEP_ALIVE_MARGIN
        )
        if (
            len(idle) >= _MAX_IDLE_CONNECTIONS
            or not conn.reusable
            or not lifetime
        ):
            conn.close()
            return
        now = self._clock.monotonic()
        idle.append(_IdleConnection(conn, now, now + lifetime))

    def close_idle(self, key: desired.BackendKey) -> None:
        """Close what is idle to a server whose connection went silent.

        Its other connections were open then, too: each would cost one more
        request the time until that is noticed.
        """
        for one in self._idle.pop(key, []):
            one.conn.close()

    def close_unusable(self, known: set[desired.BackendKey]) -> None:
        """Close what has rested too long or whose server is gone."""
        now = self._clock.monotonic()
        for key, idle in list(self._idle.items()):
            kept = []
            for one in idle:
                usable = key in known and now < one.expires_at
                if usable and not one.conn.closing:
                    kept.append(one)
                else:
                    one.conn.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def close(self) -> None:
        """Close all that is idle."""
        self.close_unusable(set())
