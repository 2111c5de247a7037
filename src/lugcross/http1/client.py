# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 client connection that carries one request at a time."""

import asyncio
import contextlib
import dataclasses
import fcntl
import socket
import struct
import termios
from typing import final
from typing import Protocol

from absl import logging
import h11

from lugcross import errors
from lugcross.http1 import caller_memory
from lugcross.http1 import outbox

#: Result of ``TIOCOUTQ``: bytes in the socket's send queue that the peer's
#: host has not acknowledged.
_SEND_QUEUE_SIZE = struct.Struct("i")
_READ_BYTES = 65_536
#: Requests up to this size are joined, so that they fit in one packet. Larger
#: bodies are not copied.
_MAX_JOINED_BYTES = 65_536
#: Limit of asyncio's read buffer, per connection; asyncio goes up to twice of
#: it.
_BUFFER_BYTES = 262_144
#: The same where the sum of held bytes is bounded: read buffers are not part
#: of that sum.
BOUNDED_BUFFER_BYTES = 16_384
#: Maximum size of a response head.
_MAX_HEAD_BYTES = 65_536
#: Highest status of HTTP. h11 rejects those below 100 and of other lengths.
_MAX_STATUS = 599
#: Time without an acknowledgment after which the kernel closes the
#: connection. Longer than a few retransmissions of a lost packet, shorter
#: than typical request timeouts.
_UNACKNOWLEDGED_TIMEOUT_MS = 3_000
#: Idle time before the first TCP keep-alive probe, and the interval between
#: probes.
_KEEPALIVE_INTERVAL_S = 1
#: Unanswered probes after which the kernel closes the connection.
_MAX_KEEPALIVE_PROBES = 3


class NoConnectionError(errors.LugcrossError):
    """A connection could not be established, so nothing was sent."""

    @property
    def refused(self) -> bool:
        """Whether the host refused the connection: no process listens."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class ConnectionBrokenError(errors.LugcrossError):
    """The connection broke after the server may have read the request."""


class ResponseMemory(Protocol):
    """Bounds what is held of a response; see :mod:`lugcross.held_bytes`."""

    def set_response(self, size: int) -> None:
        """Set how much is held of a response that is read in whole."""

    def may_hold_response(self) -> bool:
        """Return whether a response may be held until it is read in whole."""

    def may_read_response(self) -> bool:
        """Return whether more of the response may be read."""

    async def wait_to_read_response(self) -> None:
        """Wait until more of the response may be read."""


@final
@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response.

    :param raw_headers: headers with names spelled as received.
    :param headers: headers with names in lower case.
    """

    status: int
    raw_headers: list[tuple[bytes, bytes]]
    headers: list[tuple[bytes, bytes]]


async def connect(
    host: str,
    port: int,
    *,
    timeout_s: float,
    buffer_bytes: int = _BUFFER_BYTES,
) -> "ClientConn":
    """Open a connection.

    :param buffer_bytes: limit of the read buffer.
    :raises NoConnectionError: if it cannot be established within
        ``timeout_s``.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, limit=buffer_bytes
            )
    except (OSError, TimeoutError) as exc:
        raise NoConnectionError(
            f"no connection to {host}:{port} ({exc or 'timed out'})",
            remedy="send to another backend server",
        ) from exc
    _detect_dead_peer(writer)
    caller_memory.limit_read_size(writer, min(_READ_BYTES, 2 * buffer_bytes))
    return ClientConn(reader, writer)


@final
class ClientConn:
    """Sends requests and reads their responses in parts."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._outbox = outbox.Outbox(writer)
        self._h11 = _h11_connection()
        self.request_count = 0
        #: Whether the last answer named its request, or there was none. The
        #: owner sets it, since names are not part of HTTP.
        self.last_answer_named = True
        #: Bounds what is held of the present response; None for no bound.
        self.memory: ResponseMemory | None = None
        #: Size of the last request, head and body.
        self._last_request_bytes = 0

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request.

        False until the last response is complete, and if data follows it:
        such data belongs to no request.
        """
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE or self.closing:
            return False
        if not self._outbox.is_empty:
            # The server responded before it read the entire request. How it
            # treats the remaining bytes is unknown.
            return False
        return not self._h11.trailing_data[0] and not self.has_unread_data

    @property
    def closing(self) -> bool:
        """Whether the peer or this process has closed the connection."""
        return self._reader.at_eof() or self._writer.is_closing()

    @property
    def has_unread_data(self) -> bool:
        """Whether received data waits in the read buffer.

        On an idle connection such data belongs to no request.
        """
        return bool(caller_memory.unread_bytes(self._reader))

    def nothing_acknowledged(self) -> bool:
        """Return whether no byte of the last request was acknowledged.

        The peer's kernel acknowledges data even if the server has not read
        it yet. So this distinguishes a slow server (acknowledged) from a dead
        connection or an unreachable host (not acknowledged). Returns False
        where the platform cannot tell.
        """
        sock: socket.socket = self._writer.get_extra_info("socket")
        try:
            raw = fcntl.ioctl(
                sock, termios.TIOCOUTQ, bytes(_SEND_QUEUE_SIZE.size)
            )
        except (OSError, ValueError) as exc:
            logging.debug("cannot read the socket's send queue: %s", exc)
            return False
        queued: int = _SEND_QUEUE_SIZE.unpack(raw)[0]
        return queued + self._outbox.unsent_bytes >= self._last_request_bytes

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Queue one request for sending, without waiting for it."""
        if self.request_count:
            self._h11.start_next_cycle()
        self.request_count += 1
        head = h11.Request(method=method, target=target, headers=headers)
        parts = [self._h11.send(head) or b""]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        # No drain(): the server may respond before it has read a long body,
        # and that response must be read at once. A lost connection is
        # detected when the response is read.
        self._last_request_bytes = sum(map(len, parts))
        if self._last_request_bytes <= _MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            self._outbox.write(part)

    async def read_head(self) -> ResponseHead:
        """Return the head of the final response, skipping 1xx responses.

        :raises ConnectionBrokenError: if the connection ends before the head
            is complete.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > _MAX_STATUS:
                    raise _broken_error(
                        f"{event.status_code} is no status of HTTP"
                    )
                return ResponseHead(
                    event.status_code,
                    list(event.headers.raw_items()),
                    list(event.headers),
                )
            if not isinstance(event, h11.InformationalResponse):
                raise _broken_error(
                    f"{type(event).__name__} before the response head"
                )

    async def read_data(self) -> bytes | None:
        """Return the next part of the body; None at its end.

        :raises ConnectionBrokenError: if the connection ends before the body
            is complete.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise _broken_error(f"{type(event).__name__} within the response body")

    async def read_body(self) -> bytes:
        """Return the rest of the body.

        :raises ConnectionBrokenError: if the connection ends before the body
            is complete.
        """
        parts = []
        while (data := await self.read_data()) is not None:
            parts.append(data)
        return b"".join(parts)

    async def skip_body(self) -> None:
        """Read the rest of the body and discard it.

        :raises ConnectionBrokenError: if the connection ends before the body
            is complete.
        """
        while await self.read_data() is not None:
            pass

    async def read_body_to_hold(self) -> tuple[list[bytes], bool]:
        """Return the rest of the body, as far as it may be held.

        :returns: its parts, and whether they are all of it.
        :raises ConnectionBrokenError: if the connection ends before the body
            is complete.
        """
        parts = []
        size = 0
        while (data := await self.read_data()) is not None:
            parts.append(data)
            size += len(data)
            if self.memory is not None:
                self.memory.set_response(size)
                if not self.memory.may_hold_response():
                    return parts, False
        return parts, True

    def expect_another_response(self, method: bytes) -> None:
        """Prepare to read another response to the last request.

        Called when the response just read belongs to an earlier request: the
        response to this request may still follow.
        """
        unread, _ = self._h11.trailing_data
        self._h11 = _h11_connection()
        # Nothing goes to the socket: this only puts the new h11 state machine
        # into the state after a sent request.
        self._h11.send(
            h11.Request(method=method, target=b"/", headers=[(b"Host", b"-")])
        )
        self._h11.send(h11.EndOfMessage())
        if unread:
            self._h11.receive_data(unread)

    def close(self) -> None:
        """Close immediately and discard unsent data."""
        self._outbox.abort()

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise _broken_error(str(exc)) from exc
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            if isinstance(event, h11.Event):
                return event
            raise _broken_error("the peer closed the connection")

    async def _receive(self) -> None:
        memory = self.memory
        if memory is not None and not memory.may_read_response():
            with caller_memory.paused(self._reader, self._writer):
                await memory.wait_to_read_response()
        try:
            data = await self._reader.read(_READ_BYTES)
        except OSError as exc:
            raise _broken_error(str(exc)) from exc
        try:
            self._h11.receive_data(data)
        except RuntimeError as exc:
            raise _broken_error("the peer closed the connection") from exc


def _h11_connection() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
    )


def _detect_dead_peer(writer: asyncio.StreamWriter) -> None:
    """Let the kernel close the connection if the peer is unreachable."""
    sock: socket.socket = writer.get_extra_info("socket")
    # Some platforms lack some of these options.
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_TIMEOUT_MS,
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_KEEPALIVE_PROBES
        )


def _broken_error(why: str) -> ConnectionBrokenError:
    return ConnectionBrokenError(
        f"the connection broke ({why})",
        remedy="whether the request ran is not known",
    )
