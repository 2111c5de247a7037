# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 server connection: one caller's requests, one after another."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import datetime
import http
from typing import Any
from typing import final

from absl import logging
import h11

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import errors

_READ_BYTES = 65_536
#: Unsent response data above which writes wait for the caller to read.
_MAX_BUFFERED_BYTES = 262_144
#: Bytes of pipelined requests that are read while one request is served.
#: Past the limit this process stops reading, and detects a disconnect only
#: by its next write.
_MAX_PIPELINED_BYTES = 131_072


class CallerDisconnectedError(errors.LugcrossError):
    """The caller closed its connection."""


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A complete request of a caller.

    :param headers: headers with names in lower case.
    :param raw_headers: headers with names spelled as received.
    :param body: None if the request had neither Content-Length nor
        Transfer-Encoding.
    :param received_at: when the head was complete.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    raw_headers: list[tuple[bytes, bytes]]
    body: bytes | None
    received_at: clock_lib.Instant


Handler = Callable[["ResponseWriter", Request], Coroutine[Any, Any, None]]


class _BadRequestError(errors.LugcrossError):
    """A request that this process answers with an error response."""

    def __init__(self, status: http.HTTPStatus, what: str) -> None:
        super().__init__(what, remedy="fix the request")
        self.status = status


@final
class ResponseWriter:
    """Writes the response to one request."""

    def __init__(self, conn: "ServerConn") -> None:
        self._conn = conn
        self.head_written = False
        self.finished = False

    async def write_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
        *,
        complete: bool = False,
    ) -> None:
        """Write the head and the first part of the body.

        :param complete: whether ``body`` is the entire body.
        :raises CallerDisconnectedError: if the caller has closed its
            connection.
        """
        self.head_written = True
        await self._conn.write_head(status, headers, body, complete=complete)
        self.finished = complete

    async def write_data(self, data: bytes) -> None:
        """Write the next part of the body."""
        await self._conn.write_event(h11.Data(data=data))

    async def finish(self) -> None:
        """Write the end of the response."""
        await self._conn.write_event(h11.EndOfMessage())
        self.finished = True


@final
class ServerConn:
    """Serves one connection until either side closes it.

    :param limits: returns the current limits on requests.
    :param draining: returns whether connections are to close after the
        current response.
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
        self.busy = False
        writer.transport.set_write_buffer_limits(high=_MAX_BUFFERED_BYTES)

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                pass
        except (CallerDisconnectedError, OSError):
            # The handler was cancelled when the caller disconnected.
            self._writer.transport.abort()
        finally:
            self.busy = False
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
        if self._draining():
            headers.append((b"Connection", b"close"))
        out = self._send(
            h11.Response(
                status_code=status, headers=headers, reason=_reason(status)
            )
        )
        if body:
            out += self._send(h11.Data(data=body))
        if complete:
            out += self._send(h11.EndOfMessage())
        await self._write(out)

    async def write_event(self, event: h11.Data | h11.EndOfMessage) -> None:
        """Write body data or the end of the response."""
        await self._write(self._send(event))

    def _send(self, event: h11.Event) -> bytes:
        return self._h11.send(event) or b""

    async def _write(self, data: bytes) -> None:
        if self._writer.is_closing():
            raise _disconnected_error("the connection is closed")
        try:
            self._writer.write(data)
            await self._writer.drain()
        except OSError as exc:
            raise _disconnected_error(str(exc)) from exc

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            req = await self._read_request()
        except _BadRequestError as exc:
            await self._send_error_response(exc)
            return False
        if req is None:
            return False
        response = ResponseWriter(self)
        await self._run_handler(response, req)
        if not response.finished:
            # Aborting shows the caller that the response is incomplete.
            self._writer.transport.abort()
            return False
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.busy = False
        return True

    async def _run_handler(
        self, response: ResponseWriter, req: Request
    ) -> None:
        """Run the handler; cancel it when the caller disconnects."""
        work = asyncio.create_task(self._handler(response, req))
        watch = asyncio.create_task(self._wait_for_disconnect())
        try:
            await asyncio.wait(
                (work, watch), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise _disconnected_error("before its response was complete")
        finally:
            work.cancel()
            watch.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)
        error = work.exception()
        if error is not None:
            if not isinstance(error, CallerDisconnectedError):
                logging.error("request handler failed", exc_info=error)
            raise _disconnected_error(
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
            self._h11.receive_data(data)
        await asyncio.get_running_loop().create_future()

    async def _read_request(self) -> Request | None:
        limits = self._limits()
        self._pipelined_bytes = 0
        head = await self._read_head(limits)
        if head is None:
            return None
        self._method = head.method
        received_at = self._clock.monotonic()
        headers = list(head.headers)
        _check_framing(headers, limits)
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._send(go_on))
        body = await self._read_body(limits)
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in headers
        )
        return Request(
            method=head.method,
            target=head.target,
            headers=headers,
            raw_headers=list(head.headers.raw_items()),
            body=body if framed else None,
            received_at=received_at,
        )

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
                raise _BadRequestError(
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
                if await self._receive(limits.idle_timeout):
                    continue
                if self._reader.at_eof():
                    raise _disconnected_error("within its request")
                raise _BadRequestError(
                    http.HTTPStatus.REQUEST_TIMEOUT,
                    "the request body stalled for too long",
                )
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise _too_large_error(limits)
                parts.append(bytes(event.data))
                continue
            return b"".join(parts)

    def _next_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise _BadRequestError(
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

    async def _send_error_response(self, exc: _BadRequestError) -> None:
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
            reason=_reason(exc.status),
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


def _check_framing(
    headers: list[tuple[bytes, bytes]], limits: desired.RequestLimits
) -> None:
    found = {name: value for name, value in headers}
    length = found.get(b"content-length")
    if length is not None and b"transfer-encoding" in found:
        # Request smuggling: a proxy or server that obeys the other header
        # would see a different request boundary.
        raise _BadRequestError(
            http.HTTPStatus.BAD_REQUEST,
            "the request has both Content-Length and Transfer-Encoding",
        )
    if length is not None and int(length) > limits.max_body_bytes:
        raise _too_large_error(limits)


def _too_large_error(limits: desired.RequestLimits) -> _BadRequestError:
    return _BadRequestError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f"the request body exceeds {limits.max_body_bytes} bytes",
    )


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


def _disconnected_error(why: str) -> CallerDisconnectedError:
    return CallerDisconnectedError(
        f"the caller disconnected: {why}", remedy="nothing to do"
    )
