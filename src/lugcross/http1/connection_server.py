# SPDX-License-Identifier: Apache-2.0
"""Serves the connections of one listening address, up to a bound."""

import asyncio
from collections.abc import Callable
import enum
from typing import final

from lugcross import clock as clock_lib
from lugcross import connection_limits
from lugcross import desired
from lugcross import held_bytes
from lugcross.http1 import caller_memory
from lugcross.http1 import listener
from lugcross.http1 import parsing_turns
from lugcross.http1 import request_reader
from lugcross.http1 import server

#: Connections that may wait to be accepted; enough for all clients that
#: reconnect after this process was frozen for a second.
_MAX_PENDING_CONNECTIONS = 1024


@final
class ConnectionServer:
    """The connections of one listening address.

    :param name: name of the address, for the log.
    :param time_limit: returns the time that a request has from its head on,
        by its target and headers; None for any time.
    :param turns: turns for input that takes long to parse, shared by all
        addresses of the process.
    :param gate: admits new connections; None to admit all up to the bound.
    :param max_connections: bound on open connections.
    :param count_closed: called with the reason for each connection that is
        closed for what its client does, or refused.
    """

    def __init__(
        self,
        name: str,
        handler: server.Handler,
        *,
        limits: Callable[[], desired.RequestLimits],
        draining: Callable[[], bool],
        clock: clock_lib.Clock,
        held: held_bytes.HeldBytes,
        turns: parsing_turns.ParsingTurns,
        max_connections: float,
        count_closed: Callable[[enum.Enum], None],
        time_limit: request_reader.TimeLimit = lambda target, headers: None,
        gate: connection_limits.ConnectionGate | None = None,
    ) -> None:
        self._time_limit = time_limit
        self._handler = handler
        self._limits = limits
        self._draining = draining
        self._clock = clock
        self._held = held
        self._turns = turns
        self._gate = gate
        self._closed = connection_limits.ClosedConnections(name, count_closed)
        self._open: connection_limits.OpenConnections[server.ServerConn] = (
            connection_limits.OpenConnections(max_connections)
        )
        self._listener = listener.Listener(
            self._serve,
            admit=self._admit,
            on_failure=self._open.cancel,
            buffer_bytes=caller_memory.CALLER_BUFFER_BYTES,
        )

    @property
    def count(self) -> int:
        """Number of open connections."""
        return self._open.count

    def start(self, host: str, port: int) -> None:
        """Listen.

        :raises OSError: if the address is not available.
        """
        self._listener.start(host, port, backlog=_MAX_PENDING_CONNECTIONS)

    def close(self) -> None:
        """Stop listening; open connections go on."""
        self._listener.close()

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for conn in self._open.all():
            conn.close_if_idle()

    def log_closed(self) -> None:
        """Write one line about the connections closed since the last one."""
        self._closed.log()

    def _admit(self) -> bool:
        """Return whether to serve a new connection; count it if not."""
        self._make_room()
        refusal = None
        if self._open.is_full:
            refusal = connection_limits.Refusal.TOO_MANY
        elif self._gate is not None:
            refusal = self._gate.try_admit(self._open.count)
        if refusal is None:
            self._open.reserve()
            return True
        self._closed.note(refusal)
        return False

    def _make_room(self) -> None:
        """Close a connection if there is hardly room for new ones."""
        useless = self._open.take_useless(self._clock.monotonic())
        if useless is not None:
            useless.abort(server.CloseReason.MADE_ROOM)
            return
        ahead = self._open.take_sending_ahead()
        if ahead is not None:
            ahead.close_after_response(server.CloseReason.MADE_ROOM)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = server.ServerConn(
            reader,
            writer,
            self._handler,
            limits=self._limits,
            draining=self._draining,
            clock=self._clock,
            held=self._held,
            time_limit=self._time_limit,
            turns=self._turns,
            on_state=self._update_state,
            on_closed=self._closed.note,
        )
        self._open.add(conn)
        try:
            await conn.run()
        finally:
            self._open.remove(conn)

    def _update_state(
        self, conn: server.ServerConn, state: connection_limits.ConnState
    ) -> None:
        self._open.update(conn, state, self._clock.monotonic())
