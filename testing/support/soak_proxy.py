# SPDX-License-Identifier: Apache-2.0
"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import contextlib

HOST = "127.0.0.1"
_READ_BYTES = 65_536


class _ProxiedConnection:
    """A client's connection and the one to the target.

    :ivar blackholed: whether bytes are read and discarded both ways.
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
        """Reset both connections."""
        for writer in (self.client, self.upstream):
            writer.transport.abort()


class Proxy:
    """Forwards connections to one port.

    :ivar blackhole_new: whether new connections are blackholed.
    :ivar drops_responses: whether bytes from the target are discarded, on all
        connections.
    """

    def __init__(self, port: int) -> None:
        self._target = port
        self._conns: set[_ProxiedConnection] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.blackhole_new = False
        self.drops_responses = False

    async def start(self) -> None:
        """Listen on a free port, which :attr:`port` then holds."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def blackhole_open(self) -> None:
        """Discard all further bytes of the connections that are open now."""
        for conn in self._conns:
            conn.blackholed = True

    def reset(self) -> None:
        """Reset all open connections."""
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
        # A blackholed connection does not pass on that one side closed.
        if not conn.blackholed:
            writer.close()
