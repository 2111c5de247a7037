# SPDX-License-Identifier: Apache-2.0
"""Opens links: an entry host connects, and an agent listens."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
from typing import final

from absl import logging
from websockets.asyncio import client as ws_client
from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server as ws_server
from websockets import exceptions as ws_exceptions

from lugcross import errors
from lugcross import ids
from lugcross.wire import codec
from lugcross.wire import handshake
from lugcross.wire import link as link_lib
from lugcross.wire import messages

_HANDSHAKE_TIMEOUT_S = 3.0
_KEEPALIVE_S = 10.0
_CLOSE_TIMEOUT_S = 1.0
_POLICY_VIOLATION_CODE = 1008

#: Called with each link that passed the handshake; returns once it is lost.
LinkHandler = Callable[[link_lib.Link, messages.Hello], Awaitable[None]]


async def connect(
    host: str,
    port: int,
    *,
    secret: str,
    node: ids.NodeName,
    domain: ids.DomainName,
) -> tuple[link_lib.Link, messages.Welcome]:
    """Connect to the agent at ``host`` and ``port`` and open a link.

    :raises errors.LinkDownError: if the agent cannot be reached.
    :raises errors.HandshakeError: if the handshake fails.
    :raises errors.FrameError: if the agent sends a malformed frame.
    """
    try:
        async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
            ws = await ws_client.connect(
                f"ws://{_url_host(host)}:{port}",
                max_size=codec.MAX_FRAME_BYTES,
                compression=None,
                proxy=None,
                ping_interval=_KEEPALIVE_S,
                ping_timeout=_KEEPALIVE_S,
                close_timeout=_CLOSE_TIMEOUT_S,
            )
            shake = handshake.Handshake(secret)
            hello = shake.hello(
                await _receive_handshake_message(ws), node, domain
            )
            await ws.send(codec.encode([hello]))
            welcome = shake.verify_welcome(
                await _receive_handshake_message(ws)
            )
    except (OSError, TimeoutError, ws_exceptions.WebSocketException) as exc:
        raise errors.LinkDownError(
            f"cannot open a link to {host}:{port} "
            f"({exc or type(exc).__name__})",
            remedy="check that the agent is running at this address",
        ) from exc
    return link_lib.Link(ws, num=welcome.link), welcome


@final
class Listener:
    """Accepts links from entry hosts for one agent.

    :param accept: called with each link that passed the handshake.
    """

    def __init__(
        self,
        accept: LinkHandler,
        *,
        secret: str,
        backend: ids.BackendName,
        incarnation: ids.Incarnation,
    ) -> None:
        self._handle_link = accept
        self._secret = secret
        self._backend = backend
        self._incarnation = incarnation
        self._server: ws_server.Server | None = None
        self._link_numbers = itertools.count(1)

    async def start(self, host: str, port: int) -> int:
        """Start listening.

        :param port: port to listen on; 0 lets the system choose one.
        :returns: the port in use.
        """
        self._server = await ws_server.serve(
            self._handle,
            host,
            port,
            max_size=codec.MAX_FRAME_BYTES,
            compression=None,
            ping_interval=_KEEPALIVE_S,
            ping_timeout=_KEEPALIVE_S,
            close_timeout=_CLOSE_TIMEOUT_S,
        )
        bound: int = next(iter(self._server.sockets)).getsockname()[1]
        return bound

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _handle(self, ws: ws_server.ServerConnection) -> None:
        num = next(self._link_numbers)
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                hello = await self._run_handshake(ws, num)
        except (TimeoutError, errors.WireError) as exc:
            logging.warning("link refused", extra={"why": str(exc)})
            await ws.close(_POLICY_VIOLATION_CODE, "refused")
            return
        except ws_exceptions.ConnectionClosed:
            return
        await self._handle_link(link_lib.Link(ws, num=num), hello)

    async def _run_handshake(
        self, ws: ws_server.ServerConnection, num: int
    ) -> messages.Hello:
        shake = handshake.Handshake(self._secret)
        await ws.send(codec.encode([shake.challenge()]))
        hello = await _receive_handshake_message(ws)
        welcome = shake.welcome(
            hello, self._backend, self._incarnation, link=num
        )
        await ws.send(codec.encode([welcome]))
        assert isinstance(hello, messages.Hello)
        return hello


async def _receive_handshake_message(
    ws: ws_connection.Connection,
) -> messages.Message:
    frame = await ws.recv(decode=False)
    batch = codec.decode(frame)
    if len(batch) != 1:
        raise errors.HandshakeError(
            f"handshake frame has {len(batch)} messages, expected 1",
            remedy="check the versions on both hosts",
        )
    return batch[0]


def _url_host(host: str) -> str:
    return f"[{host}]" if ":" in host else host
