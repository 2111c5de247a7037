# SPDX-License-Identifier: Apache-2.0
"""Data that a caller has sent and that is not parsed yet."""

import asyncio
from typing import final

from lugcross.http1 import caller_memory

_READ_BYTES = 65_536
#: Data that may be kept when more is read ahead. Each request that is served
#: takes only its own part of it.
_MAX_AHEAD_BYTES = 16_384


@final
class ReceivedData:
    """Reads from a caller's connection, also while a request is served.

    What is sent ahead of a response is read to notice that the caller closes
    its connection.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._data = bytearray()

    @property
    def size(self) -> int:
        """Bytes that are kept."""
        return len(self._data)

    @property
    def ended(self) -> bool:
        """Whether the caller has closed its side and all has been taken."""
        return not self._data and self._reader.at_eof()

    async def wait(self) -> bool:
        """Wait until there is data; return False at the end of it."""
        if not self._data:
            self._data += await self._reader.read(_READ_BYTES)
        return bool(self._data)

    def take(self, max_bytes: int) -> bytes:
        """Return the next bytes, at most ``max_bytes`` of them."""
        data = bytes(memoryview(self._data)[:max_bytes])
        del self._data[:max_bytes]
        return data

    def clear(self) -> None:
        """Discard what is kept."""
        self._data.clear()

    async def read_ahead(self, *, may_keep_more: bool) -> bool:
        """Read more while a request is served.

        Does not return once as much is kept as may be; then a caller that
        closes its connection is noticed by the next write only.

        :param may_keep_more: whether there is memory for more.
        :returns: whether there was more; False if the caller has closed its
            side of the connection.
        """
        if may_keep_more and self.size < _MAX_AHEAD_BYTES:
            data = await self._reader.read(_READ_BYTES)
            self._data += data
            return bool(data)
        with caller_memory.paused(self._reader, self._writer):
            await asyncio.get_running_loop().create_future()
        return False
