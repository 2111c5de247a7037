# SPDX-License-Identifier: Apache-2.0
"""A TCP relay that lets tests and benchmarks cut the links to an agent."""

import asyncio
import contextlib
from typing import final

from lugcross import wire

_READ_BYTES = 65_536


@final
class Relay:
    """Forwards connections to one port, unless it is cut off."""

    def __init__(self, loop: wire.LoopThread, host: str, port: int) -> None:
        self._loop = loop
        self._host = host
        self._target = port
        self._writers: set[asyncio.StreamWriter] = set()
        self._cut = False
        self.port = loop.call(self._listen(), timeout_s=5)

    def cut(self) -> None:
        """Reset all connections, and new ones, until :meth:`restore`."""
        self._cut = True
        self._loop.call(self._reset_connections(), timeout_s=5)

    def restore(self) -> None:
        """Accept connections again."""
        self._cut = False

    async def _listen(self) -> int:
        server = await asyncio.start_server(self._accept, self._host, 0)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def _reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._target
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(reader, target_writer),
            self._forward(target_reader, writer),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError):
                while data := await reader.read(_READ_BYTES):
                    writer.write(data)
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()
