# SPDX-License-Identifier: Apache-2.0
"""Asking a peer what it knows beyond one's own, over a WebSocket."""

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

#: Longest wait for a peer's answer, in seconds.
REQUEST_TIMEOUT_S = 1.0
#: Largest answer of a peer, in bytes: a large desired state.
_MAX_RESPONSE_BYTES = 16 * 1_048_576


@final
class StateServer:
    """Answers peers that ask for newer state.

    :param respond: what is newer than a question names.
    """

    def __init__(
        self,
        respond: Callable[[messages.StateRequest], messages.StateResponse],
    ) -> None:
        self._respond = respond
        self._server: ws_server.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await ws_server.serve(
            self._serve, host, port, max_size=4096, compression=None
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, conn: ws_server.ServerConnection) -> None:
        try:
            async for frame in conn:
                state = self._respond(messages.decode_state_request(frame))
                await conn.send(messages.encode(state))
        except (
            cbor2.CBORDecodeError,
            msgspec.ValidationError,
            ws_exceptions.ConnectionClosed,
        ) as exc:
            logging.warning("bad question", extra={"why": str(exc)})


async def request_state(
    host: str, port: int, req: messages.StateRequest
) -> messages.StateResponse | None:
    """Return what a peer knows beyond ``req``; none if it is away."""
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
