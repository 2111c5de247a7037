# SPDX-License-Identifier: Apache-2.0
"""One connection to an HTTP server; one request at a time."""

import asyncio
import contextlib
import dataclasses
import fcntl
import socket
import struct
import termios
from typing import final

from absl import logging
import h11

from lugcross import errors

#: Bytes that a socket holds until they are acknowledged.
_QUEUED_BYTES = struct.Struct("i")
#: Bytes taken from the socket at once.
_READ_BYTES = 65_536
#: Bytes that may wait for a peer that does not read, per connection.
_MAX_BUFFERED_BYTES = 262_144
#: Largest head of an answer, in bytes.
_MAX_HEAD_BYTES = 65_536
#: A peer that acknowledges nothing for this long is taken as cut off.
#: Longer than a lost packet's few retransmissions, shorter than the
#: time that a caller would wait in vain.
_UNACKNOWLEDGED_TIMEOUT_MS = 3_000
#: Rest after which keep-alive probes go out, and the time between two.
_KEEPALIVE_INTERVAL_S = 1
#: Probes without an answer after which a peer is taken as cut off.
_MAX_KEEPALIVE_PROBES = 3


class NoConnectionError(errors.LugcrossError):
    """No connection came up, so that nothing was sent."""

    @property
    def refused(self) -> bool:
        """Whether the host said that nobody listens there."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class ConnectionBrokenError(errors.LugcrossError):
    """A connection that broke once a request may have been read."""


@final
@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Head of an answer.

    :param raw_headers: headers with their names as they were spelled.
    :param headers: headers with their names in lower case.
    """

    status: int
    raw_headers: list[tuple[bytes, bytes]]
    headers: list[tuple[bytes, bytes]]


async def connect(host: str, port: int, *, timeout_s: float) -> "ClientConn":
    """Open a connection.

    :raises NoConnectionError: when none came up in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, limit=_MAX_BUFFERED_BYTES
            )
    except (OSError, TimeoutError) as exc:
        raise NoConnectionError(
            f"no connection to {host}:{port} ({exc or 'timed out'})",
            remedy="send to another backend server",
        ) from exc
    _detect_dead_peer(writer)
    return ClientConn(reader, writer)


@final
class ClientConn:
    """Sends requests and hands out what comes back, event by event."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._h11 = _h11_connection()
        self.request_count = 0
        #: Bytes of the request that was sent last.
        self._last_request_bytes = 0

    @property
    def reusable(self) -> bool:
        """Whether the last answer is whole and another may follow.

        Bytes past a whole answer belong to no request: a connection
        that has any is not used again.
        """
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE or self.closing:
            return False
        if self._writer.transport.get_write_buffer_size():
            # Answered before the request was read; what the server makes
            # of the rest is not known.
            return False
        return not self._h11.trailing_data[0] and not self.has_unread_data

    @property
    def closing(self) -> bool:
        """Whether the peer has closed, or this side has."""
        return self._reader.at_eof() or self._writer.is_closing()

    @property
    def has_unread_data(self) -> bool:
        """Whether bytes have come that nobody asked for."""
        # The reader offers no look at what it holds but this.
        return bool(self._reader._buffer)  # type: ignore[attr-defined]

    def nothing_acknowledged(self) -> bool:
        """Tell whether no byte of the last request was acknowledged.

        What the peer's host has acknowledged it has, whether or not the
        server has read it: a slow server is heard, a connection that went
        silent or a host that is cut off is not.
        """
        sock: socket.socket = self._writer.get_extra_info("socket")
        try:
            raw = fcntl.ioctl(
                sock, termios.TIOCOUTQ, bytes(_QUEUED_BYTES.size)
            )
        except (OSError, ValueError) as exc:
            # A platform that lacks the call: the answer is waited for.
            logging.debug("cannot see what is queued: %s", exc)
            return False
        queued: int = _QUEUED_BYTES.unpack(raw)[0]
        waiting = self._writer.transport.get_write_buffer_size()
        return queued + waiting >= self._last_request_bytes

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Begin to send one request; its bytes go out in order."""
        if self.request_count:
            self._h11.start_next_cycle()
        self.request_count += 1
        head = h11.Request(method=method, target=target, headers=headers)
        data = self._h11.send(head) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        # Not waited for: the server may answer before it has read a long
        # body, and the answer must be read then. A connection that is lost
        # shows when the answer is read.
        self._last_request_bytes = len(data)
        self._writer.write(data)

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer, past any provisional ones.

        :raises ConnectionBrokenError: when it does not come whole.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return ResponseHead(
                    event.status_code,
                    list(event.headers.raw_items()),
                    list(event.headers),
                )
            if not isinstance(event, h11.InformationalResponse):
                raise _broken_error(f"{type(event).__name__} before any head")

    async def read_data(self) -> bytes | None:
        """Return more of the body; none at its end.

        :raises ConnectionBrokenError: when the body is not whole.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise _broken_error(f"{type(event).__name__} within a body")

    async def read_body(self) -> bytes:
        """Return all that is left of the body.

        :raises ConnectionBrokenError: when it is not whole.
        """
        parts = []
        while (data := await self.read_data()) is not None:
            parts.append(data)
        return b"".join(parts)

    def expect_another_response(self, method: bytes) -> None:
        """Wait for one more answer to the same request.

        Called after a whole answer that belongs to an earlier request:
        the one that is due may still follow.
        """
        rest, _ = self._h11.trailing_data
        self._h11 = _h11_connection()
        # Nothing is written: this only tells the new machine that a
        # request is out.
        self._h11.send(
            h11.Request(method=method, target=b"/", headers=[(b"Host", b"-")])
        )
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._h11.receive_data(rest)

    def close(self) -> None:
        """Close at once; what was not yet sent is dropped."""
        self._writer.transport.abort()

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
            raise _broken_error("the peer closed")

    async def _receive(self) -> None:
        try:
            data = await self._reader.read(_READ_BYTES)
        except OSError as exc:
            raise _broken_error(str(exc)) from exc
        try:
            self._h11.receive_data(data)
        except RuntimeError as exc:
            raise _broken_error("the peer closed") from exc


def _h11_connection() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
    )


def _detect_dead_peer(writer: asyncio.StreamWriter) -> None:
    """Make the kernel notice a peer that is cut off."""
    sock: socket.socket = writer.get_extra_info("socket")
    # A platform that lacks an option still serves without it.
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
