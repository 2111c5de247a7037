# SPDX-License-Identifier: Apache-2.0
"""A loopback proxy that harms the connections that go through it."""

import asyncio
import contextlib

HOST = "127.0.0.1"
_READ = 65_536


class _Pair:
    """One connection and its other half.

    :ivar silent: whether bytes are taken and dropped, both ways.
    :ivar deaf: whether what comes back is dropped.
    """

    def __init__(
        self,
        near: asyncio.StreamWriter,
        far: asyncio.StreamWriter,
    ) -> None:
        self.near = near
        self.far = far
        self.silent = False
        self.deaf = False

    def reset(self) -> None:
        """End both halves with a reset."""
        for writer in (self.near, self.far):
            writer.transport.abort()


class Proxy:
    """Passes connections on to one address.

    :ivar silent: whether new connections are silent from the start.
    :ivar deaf: whether answers are dropped, on all connections.
    """

    def __init__(self, port: int) -> None:
        self._target = port
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.silent = False
        self.deaf = False

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def silence(self) -> None:
        """Make what is open say nothing more, for good."""
        for pair in self._pairs:
            pair.silent = True

    def reset(self) -> None:
        """Reset what is open."""
        for pair in list(self._pairs):
            pair.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            other, far = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, far)
        pair.silent = self.silent
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pass(pair, reader, far, back=False),
                self._pass(pair, other, writer, back=True),
            )
        finally:
            self._pairs.discard(pair)

    async def _pass(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ):
                dropped = pair.silent or (back and self.deaf)
                if not dropped:
                    writer.write(data)
                    await writer.drain()
        # An end is as silent as the rest.
        if not pair.silent:
            writer.close()
