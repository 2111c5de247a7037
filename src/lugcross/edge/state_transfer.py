# SPDX-License-Identifier: Apache-2.0
"""Transfer of state between edge processes, over a WebSocket."""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import cast
from typing import final

from absl import logging
import cbor2
import msgspec
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server
from websockets import exceptions as ws_exceptions

from lugcross import clock as clock_lib
from lugcross import connection_limits
from lugcross.edge import messages
from lugcross.edge import state_connection
from lugcross import http1

#: Longest wait for a peer's response, connecting included.
REQUEST_TIMEOUT_S = 1.0
#: Connections that may wait to be accepted: all peers after a restart.
_MAX_PENDING_CONNECTIONS = 1024
#: Largest request that is accepted.
_MAX_REQUEST_BYTES = 4096
#: Largest response that is accepted; it must hold a large desired state.
_MAX_RESPONSE_BYTES = 16 * 1_048_576


@final
class StateServer:
    """Serves the state requests of peers.

    A peer sends one request on a connection and waits for the response for
    :data:`REQUEST_TIMEOUT_S`, so no connection is served for longer.

    :param respond: returns the response to a request.
    :param closed: connections closed for what their clients do.
    :param max_connections: bound on open connections.
    """

    def __init__(
        self,
        respond: Callable[[messages.StateRequest], messages.StateResponse],
        *,
        closed: connection_limits.ClosedConnections,
        max_connections: float,
        clock: clock_lib.Clock,
    ) -> None:
        self._respond = respond
        self._closed = closed
        self._clock = clock
        self._connections: connection_limits.OpenConnections[
            state_connection.StateConnection
        ] = connection_limits.OpenConnections(max_connections)
        self._server: ws_server.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to listen."""
        sock = http1.listening_socket(
            host, port, backlog=_MAX_PENDING_CONNECTIONS
        )
        self._server = await ws_server.serve(
            self._serve,
            sock=sock,
            backlog=state_connection.MAX_ACCEPTED_CONNECTIONS,
            max_size=_MAX_REQUEST_BYTES,
            compression=None,
            open_timeout=REQUEST_TIMEOUT_S,
            close_timeout=REQUEST_TIMEOUT_S,
            # It only has to be callable like the class.
            create_connection=cast(Any, self._create_connection),
        )
        # asyncio lets only as many wait as it accepts at once.
        sock.listen(_MAX_PENDING_CONNECTIONS)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def log_closed(self) -> None:
        """Log how many connections were closed for what their clients do."""
        self._closed.log()

    def _create_connection(
        self, *args: Any, **kwargs: Any
    ) -> state_connection.StateConnection:
        return state_connection.StateConnection(
            self._connections, self._closed.note, self._clock, *args, **kwargs
        )

    async def _serve(self, conn: ws_server.ServerConnection) -> None:
        assert isinstance(conn, state_connection.StateConnection)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                req = messages.decode_state_request(await conn.recv())
                await conn.send(messages.encode(self._respond(req)))
        except TimeoutError:
            conn.abort(http1.CloseReason.TIMED_OUT)
        except (
            cbor2.CBORDecodeError,
            msgspec.ValidationError,
            ws_exceptions.ConnectionClosed,
        ) as exc:
            logging.warning(
                "state request from peer failed", extra={"why": str(exc)}
            )


async def request_state(
    host: str, port: int, req: messages.StateRequest
) -> messages.StateResponse | None:
    """Request newer state from a peer.

    :returns: its response; none if there is no valid one in time.
    """
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            async with ws_client.connect(
                f"ws://{host}:{port}/",
                max_size=_MAX_RESPONSE_BYTES,
                compression=None,
                proxy=None,
            ) as conn:
                await conn.send(messages.encode(req))
                return messages.decode_state_response(await conn.recv())
    except (
        OSError,
        TimeoutError,
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ws_exceptions.WebSocketException,
    ) as exc:
        logging.warning(
            "peer did not answer", extra={"peer": host, "why": str(exc)}
        )
        return None
