# SPDX-License-Identifier: Apache-2.0
"""Data that is written to a connection faster than its peer reads it."""

import asyncio
import collections
from collections.abc import Callable
from typing import final

#: Data that is passed to the transport at once. The transport copies what the
#: socket does not take.
_CHUNK_BYTES = 65_536


@final
class Outbox:
    """Unsent data of one connection.

    Holds data without a copy, and passes it to the transport in chunks.

    :param on_size_change: called with the memory held for unsent data.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        on_size_change: Callable[[int], None] = lambda size: None,
    ) -> None:
        self._writer = writer
        self._on_size_change = on_size_change
        #: Parts that are waiting. Small ones are joined, since each object
        #: has a size of its own.
        self._parts: collections.deque[bytes | bytearray] = collections.deque()
        #: Size of the parts; the first counts until it is sent in whole.
        self._parts_bytes = 0
        #: How much of the first part was passed to the transport.
        self._sent_of_first = 0
        self._pump_task: asyncio.Task[None] | None = None
        self._set_transport_limit(_CHUNK_BYTES // 2)

    @property
    def size(self) -> int:
        """Memory that is held for data that the socket has not taken."""
        return (
            self._parts_bytes + self._writer.transport.get_write_buffer_size()
        )

    @property
    def unsent_bytes(self) -> int:
        """How many bytes the socket has not taken."""
        return self.size - self._sent_of_first

    @property
    def is_empty(self) -> bool:
        """Whether the socket has taken everything."""
        return not self.size

    def write(self, data: bytes) -> None:
        """Queue data, without waiting for it to be sent."""
        if not data:
            return
        last = self._parts[-1] if len(self._parts) > 1 else None
        if isinstance(last, bytearray) and len(last) < _CHUNK_BYTES:
            last.extend(data)
        else:
            small = len(data) < _CHUNK_BYTES and self._parts
            self._parts.append(bytearray(data) if small else data)
        self._parts_bytes += len(data)
        if self._pump_task is None:
            self._fill_transport()
            if self._parts:
                self._pump_task = asyncio.create_task(self._pump())
        self._on_size_change(self.size)

    async def flush(self) -> None:
        """Wait until the socket has taken everything.

        :raises OSError: if the connection is lost.
        """
        if self._pump_task is not None:
            await asyncio.wait((self._pump_task,))
        if self.is_empty and not self._writer.is_closing():
            self._on_size_change(0)
            return
        self._set_transport_limit(0)
        try:
            await self._writer.drain()
        finally:
            self._set_transport_limit(_CHUNK_BYTES // 2)
        self._on_size_change(self.size)

    def abort(self) -> None:
        """Close the connection at once and discard the unsent data."""
        if self._pump_task is not None:
            self._pump_task.cancel()
        self._discard()
        self._writer.transport.abort()

    async def _pump(self) -> None:
        try:
            while self._parts:
                await self._writer.drain()
                self._fill_transport()
                self._on_size_change(self.size)
        except OSError:
            # The connection is lost: the next write or flush reports it.
            self._discard()
        finally:
            self._pump_task = None

    def _fill_transport(self) -> None:
        """Pass chunks to the transport until it holds a whole one."""
        transport = self._writer.transport
        while self._parts and transport.get_write_buffer_size() < _CHUNK_BYTES:
            first = self._parts[0]
            end = self._sent_of_first + _CHUNK_BYTES
            if self._sent_of_first or end < len(first):
                # Released before the part may change.
                with memoryview(first) as view:
                    self._writer.write(bytes(view[self._sent_of_first : end]))
            else:
                self._writer.write(bytes(first))
            self._sent_of_first = end
            if end >= len(first):
                self._parts.popleft()
                self._parts_bytes -= len(first)
                self._sent_of_first = 0

    def _discard(self) -> None:
        self._parts.clear()
        self._parts_bytes = 0
        self._sent_of_first = 0
        self._on_size_change(0)

    def _set_transport_limit(self, size: int) -> None:
        self._writer.transport.set_write_buffer_limits(high=size)
