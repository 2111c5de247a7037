# SPDX-License-Identifier: Apache-2.0
"""A loopback proxy that harms the connections that go through it."""

import asyncio
import contextlib

HOST = "127.0.0.1"
_READ_BYTES = 65_536


class _ProxiedConnection:
    """One connection and its other half.

    :ivar silent: whether bytes are taken and dropped, both ways.
    :ivar deaf: whether what comes back is dropped.
    """

    def __init__(
        self,
        client: asyncio.StreamWriter,
        upstream: asyncio.StreamWriter,
    ) -> None:
        self.client = client
        self.upstream = upstream
        self.blackholed = False
        self.drops_responses = False

    def reset(self) -> None:
        """End both halves with a reset."""
        for writer in (self.client, self.upstream):
            writer.transport.abort()


class Proxy:
    """Passes connections on to one address.

    :ivar silent: whether new connections are silent from the start.
    :ivar deaf: whether answers are dropped, on all connections.
    """

    def __init__(self, port: int) -> None:
        self._target = port
        self._conns: set[_ProxiedConnection] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.blackhole_new = False
        self.drops_responses = False

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def blackhole_open(self) -> None:
        """Make what is open say nothing more, for good."""
        for conn in self._conns:
            conn.blackholed = True

    def reset(self) -> None:
        """Reset what is open."""
        for conn in list(self._conns):
            conn.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            other, upstream = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        conn = _ProxiedConnection(writer, upstream)
        conn.blackholed = self.blackhole_new
        self._conns.add(conn)
        try:
            await asyncio.gather(
                self._forward(conn, reader, upstream, is_response=False),
                self._forward(conn, other, writer, is_response=True),
            )
        finally:
            self._conns.discard(conn)

    async def _forward(
        self,
        conn: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                dropped = conn.blackholed or (
                    is_response and self.drops_responses
                )
                if not dropped:
                    writer.write(data)
                    await writer.drain()
        # An end is as silent as the rest.
        if not conn.blackholed:
            writer.close()
