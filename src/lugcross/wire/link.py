# SPDX-License-Identifier: Apache-2.0
"""A link: one WebSocket that carries many requests at once."""

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

#: Takes each message as it arrives, in the loop's thread.
MessageHandler = Callable[[messages.Message], None]

_POLICY_VIOLATION_CODE = 1008


@final
class Link:
    """Sends from any thread; messages that wait share one frame.

    :param ws: an open connection on which the handshake is done.
    :param num: given by the agent, never twice by one incarnation.
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
        """Send ``msg`` after those before it; never blocks.

        :raises errors.LinkDownError: when the link is closed and the
            message was certainly not sent.
        """
        if self.closed:
            raise _link_down_error()
        self._outbox.append(msg)
        if self._wake_scheduled:
            return
        self._wake_scheduled = True
        try:
            self._loop.call_soon_threadsafe(self._wake.set)
        except RuntimeError as exc:  # The loop was closed at shutdown.
            raise _link_down_error() from exc

    async def run(self, receive: MessageHandler) -> None:
        """Carry messages until the link is lost or closed."""
        sender = asyncio.create_task(self._send_all())
        try:
            await self._receive_all(receive)
        finally:
            self.closed = True
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
            # The peer hears of it now and need not time out.
            await self._ws.close()

    async def close(self) -> None:
        """Send what waits and close."""
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
            # A bad frame costs its own link and nothing else.
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
            "text frame", remedy="connect a process of lugcross"
        )
    return frame


def _link_down_error() -> errors.LinkDownError:
    return errors.LinkDownError(
        "the link is down; nothing was sent",
        remedy="send to another backend server",
    )
