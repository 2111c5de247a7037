# SPDX-License-Identifier: Apache-2.0
"""What is held for one caller's connection, and waits while that is bounded.

:mod:`lugcross.held_bytes` decides who waits.
"""

import asyncio
from collections.abc import Iterator
import contextlib
from typing import final

from lugcross import held_bytes
from lugcross.http1 import outbox as outbox_lib

#: Longest wait of a request whose body is not read on. Its caller is then
#: told that it has not run, while there is time left to go elsewhere.
_MAX_BODY_WAIT_S = 1.0
#: Time for which the rest of a refused body is read and discarded.
_DISCARD_TIMEOUT_S = 2.0
#: Limit of asyncio's read buffer of a caller's connection, which is filled
#: whether the data is awaited or not; asyncio goes up to twice of it.
CALLER_BUFFER_BYTES = 16_384
#: Size of one read from a caller's socket.
_CALLER_READ_BYTES = 32_768


def unread_bytes(reader: asyncio.StreamReader) -> int:
    """Return the size of the data in a read buffer."""
    # StreamReader has no public way to inspect its buffer.
    return len(reader._buffer)  # type: ignore[attr-defined]


def limit_read_size(writer: asyncio.StreamWriter, size: int) -> None:
    """Let asyncio read less at once from the socket.

    What it has read is held, whether anyone waits for it or not.
    """
    # asyncio reads 256 KB at once, and has no documented way to change that.
    # Loops without this attribute read as before.
    setattr(writer.transport, "max_size", size)


async def discard_rest(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Discard what a caller still sends of a refused body.

    Closing a socket with unread data resets the connection, and a caller that
    sends its whole request first would not read the refusal.
    """
    if writer.can_write_eof():
        writer.write_eof()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_DISCARD_TIMEOUT_S):
            while await reader.read(_CALLER_READ_BYTES):
                pass


@contextlib.contextmanager
def paused(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Iterator[None]:
    """Read nothing from the socket; otherwise asyncio fills its buffer."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    transport.pause_reading()
    try:
        yield
    finally:
        # A reader whose buffer is full has paused the transport itself, and
        # resumes it when the buffer has been read. It has no public way to
        # tell.
        if not reader._paused:  # type: ignore[attr-defined]
            transport.resume_reading()


@final
class CallerMemory:
    """Memory of one connection of a caller.

    :param holding: counts what is held; without a limit, writes wait for the
        caller in :class:`~lugcross.http1.server.ServerConn` instead.
    """

    def __init__(
        self,
        holding: held_bytes.Holding,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._holding = holding
        self._reader = reader
        self._writer = writer
        limit_read_size(writer, _CALLER_READ_BYTES)
        self.outbox = outbox_lib.Outbox(writer, self._set_unsent)
        self._request_bytes = 0

    def admits_body(self) -> bool:
        """Return whether a new request may bring a body."""
        return self._holding.admits_body()

    def may_read_ahead(self) -> bool:
        """Return whether data beyond the present request may be read."""
        return self._holding.may_read_ahead()

    def set_request(self, size: int) -> None:
        """Set how much is held of the request and of what follows it."""
        self._request_bytes = size
        self._holding.set(held_bytes.Kind.REQUEST, size)

    def end_request(self, next_requests_size: int) -> None:
        """Note that the request has ended.

        :param next_requests_size: what was already received after it.
        """
        self.set_request(next_requests_size)
        self.set_failure(0)
        self._holding.end_request()

    async def wait_to_read_body(self) -> bool:
        """Wait while no further body may be read; return False if too long."""
        if self._holding.may_read_body():
            return True
        self._holding.set(
            held_bytes.Kind.REQUEST,
            self._request_bytes + unread_bytes(self._reader),
        )
        with paused(self._reader, self._writer):
            try:
                async with asyncio.timeout(_MAX_BODY_WAIT_S):
                    while not self._holding.may_read_body():
                        await self._change()
            except TimeoutError:
                return False
        return True

    def set_response(self, size: int) -> None:
        """Set how much is held of a response to be delivered in one piece."""
        self._holding.set(held_bytes.Kind.RESPONSE, size)

    def set_failure(self, size: int) -> None:
        """Set how much is held of a failure while another server is tried."""
        self._holding.set(held_bytes.Kind.FAILURE, size)

    def may_hold_response(self) -> bool:
        """Return whether a response may be held until it is read in whole."""
        return self._holding.may_hold_response()

    def may_read_response(self) -> bool:
        """Return whether more of the response may be read from a server."""
        self._set_unsent(self.outbox.size)
        return self._holding.may_read_response()

    async def wait_to_read_response(self) -> None:
        """Wait until more of the response may be read from a server."""
        while not self.may_read_response():
            change = asyncio.ensure_future(self._change())
            waits: set[asyncio.Future[None]] = {change}
            if not self.outbox.is_empty:
                waits.add(asyncio.ensure_future(self._flush()))
            try:
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for one in waits:
                    one.cancel()

    def close(self) -> None:
        """Note that nothing is held any more."""
        self._holding.close()

    def _set_unsent(self, size: int) -> None:
        self._holding.set(held_bytes.Kind.UNSENT, size)

    async def _flush(self) -> None:
        # A lost connection is reported by the next write.
        with contextlib.suppress(OSError):
            await self.outbox.flush()

    async def _change(self) -> None:
        """Wait until a connection that waits may go on."""
        changed = asyncio.get_running_loop().create_future()

        def notify() -> None:
            if not changed.done():
                changed.set_result(None)

        self._holding.call_on_change(notify)
        try:
            await changed
        finally:
            self._holding.forget(notify)
