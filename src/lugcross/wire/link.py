# SPDX-License-Identifier: Apache-2.0
"""A link: a WebSocket connection shared by many requests."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from absl import logging
from websockets.asyncio import connection as ws_connection
from websockets import exceptions as ws_exceptions

from lugcross import errors
from lugcross.wire import codec
from lugcross.wire import messages

#: Called with each received message in the event loop's thread.
MessageHandler = Callable[[messages.Message], None]

_POLICY_VIOLATION_CODE = 1008


@final
class Link:
    """A link between an entry host and an agent.

    Any thread may post messages. Queued messages are sent together in
    one frame.

    :param ws: an open connection that has completed the handshake.
    :param num: number that the agent gave the link; one incarnation of an
        agent never reuses it.
    """

    def __init__(self, ws: ws_connection.Connection, *, num: int) -> None:
        self.num = num
        self._ws = ws
        self._loop = asyncio.get_running_loop()
        self._outbox: collections.deque[messages.Message] = collections.deque()
        self._wake = asyncio.Event()
        self._wake_scheduled = False
        self.closed = False

    def post(self, msg: messages.Message) -> None:
        """Queue ``msg`` for sending, without blocking.

        :raises errors.LinkDownError: if the link is closed; the message
            is not sent.
        """
        if self.closed:
            raise _link_down_error()
        self._outbox.append(msg)
        if self._wake_scheduled:
            return
        self._wake_scheduled = True
        try:
            self._loop.call_soon_threadsafe(self._wake.set)
        except RuntimeError as exc:  # The event loop has been closed.
            raise _link_down_error() from exc

    async def run(self, receive: MessageHandler) -> None:
        """Send and receive messages until the link is lost or closed."""
        sender = asyncio.create_task(self._send_all())
        try:
            await self._receive_all(receive)
        finally:
            self.closed = True
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
            # The peer learns of the closed link at once, without a timeout.
            await self._ws.close()

    async def close(self) -> None:
        """Send queued messages and close the connection."""
        await self._flush()
        await self._ws.close()

    async def _receive_all(self, receive: MessageHandler) -> None:
        try:
            async for frame in self._ws:
                for msg in codec.decode(_as_bytes(frame)):
                    receive(msg)
        except ws_exceptions.ConnectionClosed:
            return
        except errors.FrameError as exc:
            # A bad frame closes only the link that it arrived on.
            logging.warning("bad frame", extra={"why": str(exc)})
            await self._ws.close(_POLICY_VIOLATION_CODE, "bad frame")

    async def _send_all(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            self._wake_scheduled = False
            await self._flush()

    async def _flush(self) -> None:
        while self._outbox:
            try:
                await self._ws.send(codec.encode(self._next_batch()))
            except ws_exceptions.ConnectionClosed:
                return

    def _next_batch(self) -> Sequence[messages.Message]:
        batch: list[messages.Message] = []
        size = 0
        while self._outbox and len(batch) < codec.MAX_MESSAGES_PER_FRAME:
            size += _payload_bytes(self._outbox[0])
            # Half the limit, as the size counts payloads only.
            if batch and size > codec.MAX_FRAME_BYTES // 2:
                break
            batch.append(self._outbox.popleft())
        return batch


def _payload_bytes(msg: messages.Message) -> int:
    if isinstance(msg, messages.ResponseChunk):
        return sum(map(len, msg.events))
    if isinstance(msg, messages.Dispatch):
        return len(msg.body)
    if isinstance(msg, messages.ConfigRecords):
        return sum(map(len, msg.records))
    if isinstance(msg, messages.ConfigSnapshotPart):
        return len(msg.part)
    return 0


def _as_bytes(frame: str | bytes) -> bytes:
    if isinstance(frame, str):
        raise errors.FrameError(
            "text frame received, expected binary",
            remedy="check that the peer is a lugcross process",
        )
    return frame


def _link_down_error() -> errors.LinkDownError:
    return errors.LinkDownError(
        "the link is down; the message was not sent",
        remedy="send to another backend server",
    )
