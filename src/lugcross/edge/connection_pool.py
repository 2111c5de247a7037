# SPDX-License-Identifier: Apache-2.0
"""Pool of idle connections to backend servers."""

import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import http1
from lugcross import reachability as reachability_lib

#: A few round trips within a region. A host that takes longer is unreachable
#: or its listen backlog is full.
_CONNECT_TIMEOUT_S = 0.4
#: Idle time after which a connection is not reused, where the server sends no
#: ``Keep-Alive`` timeout. A request on a connection that the server has just
#: closed has an unknown outcome.
_MAX_IDLE = datetime.timedelta(seconds=4)
#: The same for requests that must not be repeated. The server may have dropped
#: the connection, or it may have gone silent; a new one takes some
#: milliseconds, which is cheap compared with an unknown outcome.
_MAX_IDLE_NOT_REPEATABLE = datetime.timedelta(seconds=1)
#: Safety margin before the end of the server's ``Keep-Alive`` timeout.
_KEEP_ALIVE_MARGIN = datetime.timedelta(seconds=1)
#: Idle connections to one server.
_MAX_IDLE_CONNECTIONS = 6


@final
@dataclasses.dataclass(frozen=True)
class _IdleConnection:
    """An idle connection.

    :param idle_since: when its last response ended.
    :param expires_at: time from which on it is not reused.
    """

    conn: http1.ClientConn
    idle_since: clock_lib.Instant
    expires_at: clock_lib.Instant


@final
class ConnectionPool:
    """Idle connections by backend server; the newest is reused first.

    :param reachability: is told which connections could be opened.
    :param bounded: whether the sum of held bytes is bounded.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        reachability: reachability_lib.DomainReachability | None = None,
        *,
        bounded: bool = False,
    ) -> None:
        self._clock = clock
        self._reachability = (
            reachability or reachability_lib.DomainReachability(clock)
        )
        self._bounded = bounded
        self._idle: dict[desired.BackendKey, list[_IdleConnection]] = {}

    async def acquire(
        self,
        backend: desired.Backend,
        *,
        not_repeatable: bool = False,
        new: bool = False,
    ) -> http1.ClientConn:
        """Return an idle connection to ``backend``, or a new one.

        :param not_repeatable: whether it is for a request that must not be
            repeated.
        :param new: whether to open a new connection in any case, which
            shows that the server is running.
        :raises http1.NoConnectionError: when no connection can be opened.
        """
        idle = [] if new else self._idle.get(backend.key, [])
        now = self._clock.monotonic()
        while idle:
            if (
                not_repeatable
                and now - idle[-1].idle_since > _MAX_IDLE_NOT_REPEATABLE
            ):
                # All others have been idle for longer.
                break
            one = idle.pop()
            usable = not one.conn.closing and not one.conn.has_unread_data
            if usable and now < one.expires_at:
                return one.conn
            one.conn.close()
        try:
            conn = await self._connect(backend)
        except http1.NoConnectionError:
            self._reachability.record_not_connected(
                backend.domain, backend.address, begun_at=now
            )
            raise
        self._reachability.record_connected(backend.domain, backend.address)
        return conn

    async def _connect(self, backend: desired.Backend) -> http1.ClientConn:
        if self._bounded:
            return await http1.connect(
                backend.host,
                backend.port,
                timeout_s=_CONNECT_TIMEOUT_S,
                buffer_bytes=http1.BOUNDED_BUFFER_BYTES,
            )
        return await http1.connect(
            backend.host, backend.port, timeout_s=_CONNECT_TIMEOUT_S
        )

    def release(
        self,
        backend: desired.Backend,
        conn: http1.ClientConn,
        keep_alive: datetime.timedelta | None,
    ) -> None:
        """Return a connection to the pool; close it if it is not reusable.

        :param keep_alive: the server's ``Keep-Alive`` timeout; None if it
            sent none.
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
            or lifetime <= datetime.timedelta()
        ):
            conn.close()
            return
        now = self._clock.monotonic()
        idle.append(_IdleConnection(conn, now, now + lifetime))

    def close_idle(self, key: desired.BackendKey) -> None:
        """Close all idle connections to a server that stopped responding.

        Each of them would delay one more request until it is noticed that
        the connection is dead.
        """
        for one in self._idle.pop(key, []):
            one.conn.close()

    def close_unusable(self, known: set[desired.BackendKey]) -> None:
        """Close connections that are expired or whose server is not known.

        :param known: keys of the servers that still exist.
        """
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
        """Close all idle connections."""
        self.close_unusable(set())
