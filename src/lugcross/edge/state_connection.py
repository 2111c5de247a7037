# SPDX-License-Identifier: Apache-2.0
"""Connections of peers that ask for state, up to a bound."""

import asyncio
from collections.abc import Callable
import enum
from typing import Any
from typing import final

from websockets.asyncio import server as ws_server

from lugcross import clock as clock_lib
from lugcross import connection_limits
from lugcross import http1

#: Connections that asyncio accepts before they are counted.
MAX_ACCEPTED_CONNECTIONS = 16


@final
class StateConnection(ws_server.ServerConnection):
    """A connection that counts toward a bound while it is open.

    :param connections: the open connections of the address.
    :param note_closed: called with the reason if this one, or another one for
        it, is closed.
    """

    def __init__(
        self,
        connections: "connection_limits.OpenConnections[StateConnection]",
        note_closed: Callable[[enum.Enum], None],
        clock: clock_lib.Clock,
        *args: Any,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._connections = connections
        self._note_closed = note_closed
        self._clock = clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection or close it; called by asyncio."""
        super().connection_made(transport)
        useless = self._connections.take_useless(self._clock.monotonic())
        if useless is not None:
            useless.abort(http1.CloseReason.MADE_ROOM)
        if self._connections.is_full:
            self.abort(connection_limits.Refusal.TOO_MANY)
            return
        self._connections.reserve()
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection no more; called by asyncio."""
        self._connections.remove(self)
        super().connection_lost(exc)

    def abort(self, reason: enum.Enum) -> None:
        """Close the connection at once."""
        self._note_closed(reason)
        self.transport.abort()
