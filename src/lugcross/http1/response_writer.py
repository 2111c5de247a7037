# SPDX-License-Identifier: Apache-2.0
"""Writer of the response to one request."""

from typing import final
from typing import Protocol

import h11

from lugcross.http1 import caller_memory


class Connection(Protocol):
    """The connection that a response is written to."""

    memory: caller_memory.CallerMemory | None

    async def write_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        complete: bool,
    ) -> None:
        """Write the response head and the first part of the body."""

    async def write_event(self, event: h11.Data | h11.EndOfMessage) -> None:
        """Write body data or the end of the response."""

    async def flush(self) -> None:
        """Wait until the caller has taken everything that was written."""


@final
class ResponseWriter:
    """Writes the response to one request."""

    def __init__(self, conn: Connection) -> None:
        self._conn = conn
        self.head_written = False
        self.finished = False

    async def write_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
        *,
        complete: bool = False,
    ) -> None:
        """Write the head and the first part of the body.

        :param complete: whether ``body`` is the entire body.
        :raises CallerDisconnectedError: if the caller has closed its
            connection.
        """
        self.head_written = True
        await self._conn.write_head(status, headers, body, complete=complete)
        self.finished = complete

    async def write_data(self, data: bytes) -> None:
        """Write the next part of the body."""
        await self._conn.write_event(h11.Data(data=data))

    async def finish(self) -> None:
        """Write the end of the response."""
        await self._conn.write_event(h11.EndOfMessage())
        self.finished = True

    async def flush(self) -> None:
        """Wait until the caller has taken the response.

        If that is interrupted, the response counts as not finished. Does
        nothing where the sum of held bytes is not bounded.

        :raises CallerDisconnectedError: if the caller has closed its
            connection.
        """
        self.finished = False
        await self._conn.flush()
        self.finished = True

    @property
    def memory(self) -> caller_memory.CallerMemory | None:
        """What is held for the caller; None if that is not bounded."""
        return self._conn.memory
