# SPDX-License-Identifier: Apache-2.0
"""Reads a caller's requests, one after another."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import datetime
import http
from typing import Any
from typing import final

import h11

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.http1 import caller_memory
from lugcross.http1 import caller_request
from lugcross.http1 import parsing_turns
from lugcross.http1 import received_data

#: Stands for no limit on the time of a request.
_NO_TIME_LIMIT = datetime.timedelta(days=1)
#: Data of a head or a chunked body that is parsed at once.
_PARSED_BYTES = 4_096
#: Data of a body with a length that is parsed at once.
_PLAIN_BODY_BYTES = 65_536

TimeLimit = Callable[
    [bytes, list[tuple[bytes, bytes]]], datetime.timedelta | None
]


@final
class RequestReader:
    """Reads the requests of one connection.

    :param conn: parser of the connection; not used for reading by others.
    :param write: writes to the caller.
    :param memory: what is held for this caller; None if that is not bounded.
    :param time_limit: returns the time that a request has from its head on, by
        its target and headers; None for any time.
    :param turns: turns for input beyond the first :data:`_PARSED_BYTES` of a
        request, but for bodies with a length.
    :ivar method: method of the last request.
    :ivar was_sent_ahead: whether it began to arrive before the response to the
        request before it was delivered.
    :ivar busy: whether a request is being read or served. The owner resets
        it.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        conn: h11.Connection,
        *,
        write: Callable[[bytes], Awaitable[None]],
        clock: clock_lib.Clock,
        memory: caller_memory.CallerMemory | None,
        time_limit: TimeLimit,
        turns: parsing_turns.ParsingTurns,
    ) -> None:
        self._time_limit = time_limit
        self._turns = turns
        self._has_turn = False
        #: Whether what comes next is parsed in turns.
        self._needs_turn = False
        #: Length of the present request's body; None if the head states none.
        self._body_length: int | None = None
        self._received = received_data.ReceivedData(reader, writer)
        self._h11 = conn
        self._write = write
        self._clock = clock
        self._memory = memory
        #: Memory of the head of the present request.
        self._head_bytes = 0
        #: Size of its body.
        self._body_bytes = 0
        self.method = b""
        self.busy = False
        self.was_sent_ahead = False
        self.refused = False

    async def read_request(
        self, limits: desired.RequestLimits
    ) -> caller_request.Request | None:
        """Return the next request; None if the caller sends no other.

        :raises caller_request.BadRequestError: if it is not valid.
        :raises caller_request.CallerDisconnectedError: if the connection ends
            within its body.
        """
        self._head_bytes = 0
        self._body_bytes = 0
        self._needs_turn = False
        self._body_length = None
        try:
            return await self._read_request(limits)
        finally:
            self._end_turn()

    async def _read_request(
        self, limits: desired.RequestLimits
    ) -> caller_request.Request | None:
        head = await self._read_head(limits)
        if head is None:
            return None
        self.method = head.method
        received_at = self._clock.monotonic()
        headers = list(head.headers)
        caller_request.check_framing(headers, limits)
        self._body_length = caller_request.body_length(headers)
        self._head_bytes = caller_request.head_bytes(headers)
        self.refused = (
            self._memory is not None
            and not self._memory.admits_body()
            and (
                caller_request.has_body(headers)
                or self._head_bytes > caller_request.LARGE_HEAD_BYTES
            )
        )
        self._count_held()
        body = b""
        if not self.refused:
            body = await self._read_whole_body(limits, head, received_at)
        return caller_request.Request(
            method=head.method,
            target=head.target,
            headers=headers,
            raw_headers=list(head.headers.raw_items()),
            body=body if caller_request.is_framed(headers) else None,
            received_at=received_at,
            refused=self.refused,
        )

    async def wait_for_disconnect(self) -> None:
        """Return when the caller disconnects while it is served."""
        if self.refused:
            # Reads no more while the refusal is written.
            await asyncio.get_running_loop().create_future()
        while await self._received.read_ahead(
            may_keep_more=self._memory is None or self._memory.may_read_ahead()
        ):
            self._count_held()

    def end_request(self) -> None:
        """Note that the response has been delivered."""
        if self._memory is not None:
            self._memory.end_request(self._unparsed_bytes())
        self.was_sent_ahead = bool(self._unparsed_bytes())

    async def discard(self, wait: datetime.timedelta) -> None:
        """Discard what has come and what comes next within some time."""
        self._received.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait.total_seconds()):
                await self._received.wait()

    def _count_held(self) -> None:
        if self._memory is not None:
            self._memory.set_request(
                self._head_bytes + self._body_bytes + self._unparsed_bytes()
            )

    def _unparsed_bytes(self) -> int:
        return self._received.size + len(self._h11.trailing_data[0])

    async def _read_whole_body(
        self,
        limits: desired.RequestLimits,
        head: h11.Request,
        received_at: clock_lib.Instant,
    ) -> bytes:
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._h11.send(go_on) or b"")
        body = await self._read_body(limits, head, received_at)
        self._body_bytes = len(body)
        self._count_held()
        return body

    async def _read_head(
        self, limits: desired.RequestLimits
    ) -> h11.Request | None:
        event = self._next_event()
        if event is h11.NEED_DATA and not self._unparsed_bytes():
            if not await self._receive(limits.idle_timeout):
                return None
            event = self._next_event()
        self.busy = True
        deadline = self._clock.monotonic() + limits.head_timeout
        while event is h11.NEED_DATA:
            left = deadline - self._clock.monotonic()
            if not await self._receive(max(left, datetime.timedelta())):
                if self._received.ended:
                    return None
                raise caller_request.BadRequestError(
                    http.HTTPStatus.REQUEST_TIMEOUT,
                    "the request head did not arrive in time",
                )
            self._count_held()
            event = self._next_event()
        if isinstance(event, h11.Request):
            return event
        return None

    async def _read_body(
        self,
        limits: desired.RequestLimits,
        head: h11.Request,
        received_at: clock_lib.Instant,
    ) -> bytes:
        # Chunks of a few bytes would take many times their size as objects.
        body = bytearray()
        deadline: clock_lib.Instant | None = None
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                self._body_bytes = len(body)
                self._count_held()
                if not await self._may_read_body():
                    return b""
                if deadline is None:
                    limit = self._time_limit(head.target, list(head.headers))
                    deadline = received_at + (limit or _NO_TIME_LIMIT)
                await self._receive_body(limits, deadline)
                continue
            if not isinstance(event, h11.Data):
                return bytes(body)
            body += event.data
            if len(body) > limits.max_body_bytes:
                raise caller_request.too_large_error(limits)

    async def _receive_body(
        self, limits: desired.RequestLimits, deadline: clock_lib.Instant
    ) -> None:
        left = deadline - self._clock.monotonic()
        if left <= datetime.timedelta():
            raise caller_request.BadRequestError(
                http.HTTPStatus.REQUEST_TIMEOUT,
                "the request's time ended before its body had arrived",
            )
        if await self._receive(min(limits.idle_timeout, left)):
            return
        if self._received.ended:
            raise caller_request.disconnected_error("within its request")
        raise caller_request.BadRequestError(
            http.HTTPStatus.REQUEST_TIMEOUT,
            "the request body stalled for too long",
        )

    async def _may_read_body(self) -> bool:
        """Wait for memory; note if the request is refused for lack of it."""
        self._end_turn()
        if self._memory is None or await self._memory.wait_to_read_body():
            return True
        self.refused = True
        return False

    def _next_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise caller_request.BadRequestError(
                http.HTTPStatus(exc.error_status_hint), str(exc)
            ) from exc

    async def _receive(self, wait: datetime.timedelta) -> bool:
        """Parse more data; return whether any arrived within ``wait``."""
        self._end_turn()
        try:
            async with asyncio.timeout(wait.total_seconds()):
                if not await self._received.wait():
                    return False
        except TimeoutError:
            return False
        if self._body_length is not None:
            # Takes nothing of the next request, which may need turns.
            left = self._body_length - self._body_bytes
            size = min(left, _PLAIN_BODY_BYTES)
            self._h11.receive_data(self._received.take(size))
            return True
        if self._needs_turn:
            await self._turns.begin()
            self._has_turn = True
        self._needs_turn = True
        self._h11.receive_data(self._received.take(_PARSED_BYTES))
        return True

    def _end_turn(self) -> None:
        if self._has_turn:
            self._has_turn = False
            self._turns.end()
