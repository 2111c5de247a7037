# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 server connection: one caller's requests, one after another."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
import enum
from typing import Any
from typing import final

from absl import logging
import h11

from lugcross import clock as clock_lib
from lugcross import connection_limits
from lugcross import desired
from lugcross import held_bytes
from lugcross.http1 import caller_memory
from lugcross.http1 import caller_request
from lugcross.http1 import parsing_turns
from lugcross.http1 import request_reader
from lugcross.http1 import response_writer

#: Unsent response data above which writes wait for the caller to read, where
#: the sum of held bytes is not bounded.
_MAX_BUFFERED_BYTES = 262_144
#: Time for which data after an invalid request is awaited and discarded.
_ERROR_DISCARD_TIME = datetime.timedelta(milliseconds=200)
#: Response parts up to this size are joined, so that they fit in one packet.
_MAX_JOINED_BYTES = 65_536
#: Time for which a closed connection may wait for its client to take what is
#: unsent.
_MAX_CLOSE_TIME = datetime.timedelta(seconds=2)


class CloseReason(enum.Enum):
    """Why a connection is closed for what its client does.

    ``MADE_ROOM``: for a new connection, as it was of no use.
    ``NOT_READING``: its client does not take the response.
    ``TIMED_OUT``: its client has not sent a request, or not taken the
    response, in the time for both.
    """

    MADE_ROOM = "made-room"
    NOT_READING = "not-reading"
    TIMED_OUT = "timed-out"


Handler = Callable[
    [response_writer.ResponseWriter, caller_request.Request],
    Coroutine[Any, Any, None],
]


@final
class ServerConn:
    """Serves one connection until either side closes it.

    :param limits: returns the current limits on caller_request.
    :param draining: returns whether connections are to close after the
        current response.
    :param held: counts and bounds what is held for this caller; None, or one
        without a limit, to let each write wait for the caller instead.
    :param time_limit: returns the time that a request has from its head on,
        by its target and headers; None for any time.
    :param turns: turns for input that takes long to parse, shared with other
        connections of the process.
    :param on_state: called with each new state of this connection; it begins
        by waiting for a request.
    :param on_closed: called if it is closed for what its client does.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        *,
        limits: Callable[[], desired.RequestLimits],
        draining: Callable[[], bool],
        clock: clock_lib.Clock,
        held: held_bytes.HeldBytes | None = None,
        time_limit: request_reader.TimeLimit = lambda target, headers: None,
        turns: parsing_turns.ParsingTurns | None = None,
        on_state: Callable[
            ["ServerConn", connection_limits.ConnState], None
        ] = lambda conn, state: None,
        on_closed: Callable[[CloseReason], None] = lambda reason: None,
    ) -> None:
        self._on_state = on_state
        self._on_closed = on_closed
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._limits = limits
        self._draining = draining
        self._is_last_response = False
        self._clock = clock
        self._h11 = _h11_connection(limits())
        self.memory: caller_memory.CallerMemory | None = None
        if held is not None and held.limit is not None:
            self.memory = caller_memory.CallerMemory(
                held.open(), reader, writer
            )
        else:
            writer.transport.set_write_buffer_limits(high=_MAX_BUFFERED_BYTES)
        self._requests = request_reader.RequestReader(
            reader,
            writer,
            self._h11,
            write=self._write,
            clock=clock,
            memory=self.memory,
            time_limit=time_limit,
            turns=turns or parsing_turns.ParsingTurns(),
        )

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                pass
        except (caller_request.CallerDisconnectedError, OSError):
            # The handler was cancelled when the caller disconnected.
            self._abort()
        except asyncio.CancelledError:
            # The process ends; nobody is waited for.
            self._abort()
            raise
        finally:
            if self.memory is not None:
                self.memory.close()
            await self._close()

    async def _close(self) -> None:
        """Close the connection; wait for its client only for a short time."""
        self._writer.close()
        try:
            async with asyncio.timeout(_MAX_CLOSE_TIME.total_seconds()):
                await self._writer.wait_closed()
        except TimeoutError:
            self.abort(CloseReason.NOT_READING)
        except OSError as exc:
            logging.debug("connection lost while closing: %s", exc)

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and discard what is unsent."""
        self._on_closed(reason)
        self._abort()

    def close_after_response(self, reason: CloseReason) -> None:
        """Serve no further request on this connection."""
        self._on_closed(reason)
        self._is_last_response = True

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if not self._requests.busy:
            self._writer.close()

    async def write_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        complete: bool,
    ) -> None:
        """Write the response head and the first part of the body."""
        headers = list(headers)
        if self._requests.method == b"HEAD":
            body = b""
        elif complete:
            headers.append((b"Content-Length", str(len(body)).encode()))
        if (
            self._draining()
            or self._is_last_response
            or self._requests.refused
        ):
            headers.append((b"Connection", b"close"))
        parts = [
            self._send(
                h11.Response(
                    status_code=status,
                    headers=headers,
                    reason=caller_request.reason_phrase(status),
                )
            )
        ]
        if body:
            parts.append(self._send(h11.Data(data=body)))
        if complete:
            parts.append(self._send(h11.EndOfMessage()))
            if self.memory is not None:
                # It counts as unsent from now on.
                self.memory.set_response(0)
        await self._write(*parts)

    async def flush(self) -> None:
        """Wait until the caller has taken everything that was written."""
        if self.memory is None:
            return
        try:
            await self.memory.outbox.flush()
        except OSError as exc:
            raise caller_request.disconnected_error(str(exc)) from exc

    async def write_event(self, event: h11.Data | h11.EndOfMessage) -> None:
        """Write body data or the end of the response."""
        await self._write(self._send(event))

    def _send(self, event: h11.Event) -> bytes:
        return self._h11.send(event) or b""

    async def _write(self, *parts: bytes) -> None:
        if self._writer.is_closing():
            raise caller_request.disconnected_error("the connection is closed")
        if sum(map(len, parts)) <= _MAX_JOINED_BYTES:
            parts = (b"".join(parts),)
        if self.memory is not None:
            for part in parts:
                self.memory.outbox.write(part)
            return
        try:
            for part in parts:
                self._writer.write(part)
            await self._writer.drain()
        except OSError as exc:
            raise caller_request.disconnected_error(str(exc)) from exc

    def _abort(self) -> None:
        if self.memory is not None:
            self.memory.outbox.abort()
        self._writer.transport.abort()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            req = await self._requests.read_request(self._limits())
        except caller_request.BadRequestError as exc:
            await self._send_error_response(exc)
            return False
        if req is None:
            return False
        response = response_writer.ResponseWriter(self)
        self._on_state(
            self,
            connection_limits.ConnState.SERVING_AHEAD
            if self._requests.was_sent_ahead
            else connection_limits.ConnState.SERVING,
        )
        refused = req.refused
        await self._run_handler(response, req)
        # A large head is not held for a caller that does not read.
        del req
        if not response.finished or not await self._flush_rest():
            # Aborting shows the caller that the response is incomplete.
            self._abort()
            return False
        if refused:
            await caller_memory.discard_rest(self._reader, self._writer)
            return False
        self._requests.end_request()
        if self._is_last_response or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self._requests.busy = False
        self._on_state(self, connection_limits.ConnState.WAITING)
        return True

    async def _flush_rest(self) -> bool:
        """Wait until the caller has taken a short response.

        Handlers wait for long ones until their deadline.
        """
        if self.memory is not None and not self.memory.outbox.is_empty:
            self._on_state(self, connection_limits.ConnState.DELIVERING)
        timeout = self._limits().idle_timeout
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self.flush()
        except TimeoutError:
            self._on_closed(CloseReason.NOT_READING)
            return False
        return True

    async def _run_handler(
        self,
        response: response_writer.ResponseWriter,
        req: caller_request.Request,
    ) -> None:
        """Run the handler; cancel it when the caller disconnects."""
        work = asyncio.create_task(self._handler(response, req))
        watch = asyncio.create_task(self._requests.wait_for_disconnect())
        try:
            await asyncio.wait(
                (work, watch), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise caller_request.disconnected_error(
                    "before its response was complete"
                )
        finally:
            work.cancel()
            watch.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)
        error = work.exception()
        if error is not None:
            if not isinstance(error, caller_request.CallerDisconnectedError):
                logging.error("request handler failed", exc_info=error)
            raise caller_request.disconnected_error(
                "the response could not be written"
            ) from error

    async def _send_error_response(
        self, exc: caller_request.BadRequestError
    ) -> None:
        logging.warning(
            "bad request",
            extra={"status": exc.status.value, "why": exc.what},
        )
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = f"{exc}\n".encode()
        headers = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        head = h11.Response(
            status_code=exc.status,
            headers=headers,
            reason=caller_request.reason_phrase(exc.status),
        )
        out = self._send(head) + self._send(h11.Data(data=body))
        await self._write(out + self._send(h11.EndOfMessage()))
        if self._writer.can_write_eof():
            self._writer.write_eof()
        # Closing a socket with unread data resets the connection, and the
        # caller could lose the error response.
        await self._requests.discard(_ERROR_DISCARD_TIME)


def _h11_connection(limits: desired.RequestLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
    )
