# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 server connection: one caller's requests, one after another."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
import http
from typing import Any
from typing import final

from absl import logging
import h11

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import held_bytes
from lugcross.http1 import caller_memory
from lugcross.http1 import caller_request
from lugcross.http1 import response_writer

_READ_BYTES = 65_536
#: Unsent response data above which writes wait for the caller to read, where
#: the sum of held bytes is not bounded.
_MAX_BUFFERED_BYTES = 262_144
#: Bytes of pipelined requests that are read while one request is served.
#: Past the limit this process stops reading, and detects a disconnect only
#: by its next write.
_MAX_PIPELINED_BYTES = 131_072
#: Response parts up to this size are joined, so that they fit in one packet.
_MAX_JOINED_BYTES = 65_536


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
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._limits = limits
        self._draining = draining
        self._clock = clock
        self._h11 = _h11_connection(limits())
        self._method = b""
        self._pipelined_bytes = 0
        #: Size of the body of the present request.
        self._body_bytes = 0
        self.busy = False
        self._body_refused = False
        self.memory: caller_memory.CallerMemory | None = None
        if held is not None and held.limit is not None:
            self.memory = caller_memory.CallerMemory(
                held.open(), reader, writer
            )
        else:
            writer.transport.set_write_buffer_limits(high=_MAX_BUFFERED_BYTES)

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                pass
        except (caller_request.CallerDisconnectedError, OSError):
            # The handler was cancelled when the caller disconnected.
            self._abort()
        finally:
            self.busy = False
            if self.memory is not None:
                self.memory.close()
            self._writer.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if not self.busy:
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
        if self._method == b"HEAD":
            body = b""
        elif complete:
            headers.append((b"Content-Length", str(len(body)).encode()))
        if self._draining() or self._body_refused:
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
            req = await self._read_request()
        except caller_request.BadRequestError as exc:
            await self._send_error_response(exc)
            return False
        if req is None:
            return False
        response = response_writer.ResponseWriter(self)
        await self._run_handler(response, req)
        if not response.finished or not await self._flush_rest():
            # Aborting shows the caller that the response is incomplete.
            self._abort()
            return False
        if req.body_refused:
            await caller_memory.discard_rest(self._reader, self._writer)
            return False
        if self.memory is not None:
            self.memory.end_request(len(self._h11.trailing_data[0]))
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.busy = False
        return True

    async def _flush_rest(self) -> bool:
        """Wait until the caller has taken a short response.

        Handlers wait for long ones until their deadline.
        """
        timeout = self._limits().idle_timeout
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self.flush()
        except TimeoutError:
            return False
        return True

    async def _run_handler(
        self,
        response: response_writer.ResponseWriter,
        req: caller_request.Request,
    ) -> None:
        """Run the handler; cancel it when the caller disconnects."""
        work = asyncio.create_task(self._handler(response, req))
        watch = asyncio.create_task(self._wait_for_disconnect())
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

    async def _wait_for_disconnect(self) -> None:
        """Return when the caller disconnects.

        Buffers pipelined requests meanwhile.
        """
        while self._pipelined_bytes < _MAX_PIPELINED_BYTES:
            data = await self._reader.read(_READ_BYTES)
            if not data:
                return
            self._pipelined_bytes += len(data)
            if self.memory is not None:
                self.memory.set_body(self._body_bytes + self._pipelined_bytes)
            self._h11.receive_data(data)
        await asyncio.get_running_loop().create_future()

    async def _read_request(self) -> caller_request.Request | None:
        limits = self._limits()
        self._pipelined_bytes = 0
        self._body_bytes = 0
        head = await self._read_head(limits)
        if head is None:
            return None
        self._method = head.method
        received_at = self._clock.monotonic()
        headers = list(head.headers)
        caller_request.check_framing(headers, limits)
        self._body_refused = (
            caller_request.has_body(headers)
            and self.memory is not None
            and not self.memory.admits_body()
        )
        body = b""
        if not self._body_refused:
            body = await self._read_whole_body(limits)
        if self._body_refused:
            # Reads no more while the refusal is written.
            self._pipelined_bytes = _MAX_PIPELINED_BYTES
        return caller_request.Request(
            method=head.method,
            target=head.target,
            headers=headers,
            raw_headers=list(head.headers.raw_items()),
            body=body if caller_request.is_framed(headers) else None,
            received_at=received_at,
            body_refused=self._body_refused,
        )

    async def _read_whole_body(self, limits: desired.RequestLimits) -> bytes:
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._send(go_on))
        body = await self._read_body(limits)
        if self.memory is not None:
            self.memory.set_body(len(body))
        self._body_bytes = len(body)
        return body

    async def _read_head(
        self, limits: desired.RequestLimits
    ) -> h11.Request | None:
        event = self._next_event()
        if event is h11.NEED_DATA and not self._h11.trailing_data[0]:
            if not await self._receive(limits.idle_timeout):
                return None
            event = self._next_event()
        self.busy = True
        deadline = self._clock.monotonic() + limits.head_timeout
        while event is h11.NEED_DATA:
            left = deadline - self._clock.monotonic()
            if not await self._receive(max(left, datetime.timedelta())):
                if self._reader.at_eof():
                    return None
                raise caller_request.BadRequestError(
                    http.HTTPStatus.REQUEST_TIMEOUT,
                    "the request head did not arrive in time",
                )
            event = self._next_event()
        if isinstance(event, h11.Request):
            return event
        return None

    async def _read_body(self, limits: desired.RequestLimits) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                if not await self._may_read_body():
                    return b""
                if await self._receive(limits.idle_timeout):
                    continue
                if self._reader.at_eof():
                    raise caller_request.disconnected_error(
                        "within its request"
                    )
                raise caller_request.BadRequestError(
                    http.HTTPStatus.REQUEST_TIMEOUT,
                    "the request body stalled for too long",
                )
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise caller_request.too_large_error(limits)
                parts.append(bytes(event.data))
                if self.memory is not None:
                    self.memory.set_body(size)
                continue
            return b"".join(parts)

    async def _may_read_body(self) -> bool:
        """Wait for memory; note if the request is refused for lack of it."""
        if self.memory is None or await self.memory.wait_to_read_body():
            return True
        self._body_refused = True
        return False

    def _next_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise caller_request.BadRequestError(
                http.HTTPStatus(exc.error_status_hint), str(exc)
            ) from exc

    async def _receive(self, wait: datetime.timedelta) -> bool:
        """Read more data; return whether any arrived within ``wait``."""
        try:
            async with asyncio.timeout(wait.total_seconds()):
                data = await self._reader.read(_READ_BYTES)
        except TimeoutError:
            return False
        if data:
            self._h11.receive_data(data)
        return bool(data)

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
        await self._receive(datetime.timedelta(milliseconds=200))


def _h11_connection(limits: desired.RequestLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
    )
