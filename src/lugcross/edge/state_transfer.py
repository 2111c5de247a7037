# SPDX-License-Identifier: Apache-2.0
"""Transfer of state between edge processes, over a WebSocket."""

import asyncio
from collections.abc import Callable
from typing import final

from absl import logging
import cbor2
import msgspec
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server
from websockets import exceptions as ws_exceptions

from lugcross.edge import messages

#: Longest wait for a peer's response, connecting included.
REQUEST_TIMEOUT_S = 1.0
#: Largest request that is accepted.
_MAX_REQUEST_BYTES = 4096
#: Largest response that is accepted; it must hold a large desired state.
_MAX_RESPONSE_BYTES = 16 * 1_048_576


@final
class StateServer:
    """Serves the state requests of peers.

    :param respond: returns the response to a request.
    """

    def __init__(
        self,
        respond: Callable[[messages.StateRequest], messages.StateResponse],
    ) -> None:
        self._respond = respond
        self._server: ws_server.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to listen."""
        self._server = await ws_server.serve(
            self._serve,
            host,
            port,
            max_size=_MAX_REQUEST_BYTES,
            compression=None,
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, conn: ws_server.ServerConnection) -> None:
        try:
            async for frame in conn:
                response = self._respond(messages.decode_state_request(frame))
                await conn.send(messages.encode(response))
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
