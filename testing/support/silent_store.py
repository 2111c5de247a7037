# SPDX-License-Identifier: Apache-2.0
"""A store that can stop answering, in virtual time.

Connections are never reset: a call on a silent one hangs until its timeout.
"""

import asyncio

from lugcross import http1
from lugcross.standin import store as standin

#: Round trip plus the time that the store takes.
_ANSWER_DELAY_S = 0.004


class SilentStore:
    """The stand-in of the store, behind connections that can go silent.

    Each process connects by a host name of its own, by which it can be cut
    off.

    :ivar silent: whether all calls hang, including those in progress.
    :ivar unreachable_hosts: host names at which connecting times out.
    """

    def __init__(self) -> None:
        self.standin = standin.StoreStandin()
        self.silent = False
        self.unreachable_hosts: set[str] = set()
        self._open_conns: list[_Conn] = []

    def silence_connections(self, host: str = "") -> None:
        """Make all calls on the connections that are open now hang.

        :param host: only connections opened to this host name; all if empty.
        """
        for conn in self._open_conns:
            conn.silent = conn.silent or host in ("", conn.host)

    async def connect(
        self, host: str, port: int, *, timeout_s: float
    ) -> "_Conn":
        """Stand in for :func:`lugcross.http1.connect`."""
        del port
        if host in self.unreachable_hosts:
            await asyncio.sleep(timeout_s)
            raise http1.NoConnectionError("cut off", remedy="wait")
        await asyncio.sleep(_ANSWER_DELAY_S)
        conn = _Conn(self, host)
        self._open_conns.append(conn)
        return conn


class _Conn:
    """Stands in for :class:`lugcross.http1.ClientConn`."""

    closing = False
    has_unread_data = False
    reusable = True

    def __init__(self, store: SilentStore, host: str) -> None:
        self._store = store
        self.host = host
        self.silent = False
        self.request_count = 0

    def send(self, method, target, headers, body):
        del method, headers
        self.request_count += 1
        self._sent = target.decode(), body

    async def read_head(self) -> http1.ResponseHead:
        await self._hang_if_silent()
        status, self._body = await self._store.standin.handle_request(
            *self._sent
        )
        await asyncio.sleep(_ANSWER_DELAY_S)
        await self._hang_if_silent()
        headers = [
            (name.lower(), value)
            for name, value in self._store.standin.headers()
        ]
        return http1.ResponseHead(status, headers, headers)

    async def read_body(self) -> bytes:
        return self._body

    def close(self) -> None:
        self.closing = True

    async def _hang_if_silent(self) -> None:
        if self.silent or self._store.silent:
            await asyncio.Event().wait()
