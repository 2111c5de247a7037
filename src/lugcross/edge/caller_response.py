# SPDX-License-Identifier: Apache-2.0
"""The response to a caller, which several attempts may contribute to."""

from typing import final

from lugcross import clock as clock_lib
from lugcross.edge import checked_request
from lugcross.edge import event_stream
from lugcross import http1
from lugcross import platform

_LENGTH = b"content-length"


@final
class CallerResponse:
    """The response to the caller; shared by all attempts of a request.

    :ivar started: whether part of the response has been written.
    :ivar in_parts: whether it is written in parts that cannot be resumed.
    :ivar first_byte_at: when the first part was written; None before.
    :ivar status: status of the response; 0 before it is started.
    :ivar last_event_id: id of the last event that was written; before that,
        the one that the caller resumes after, if any.
    """

    def __init__(
        self,
        writer: http1.ResponseWriter,
        checked: checked_request.CheckedRequest,
        clock: clock_lib.Clock,
    ) -> None:
        self._writer = writer
        self._clock = clock
        self.first_byte_at: clock_lib.Instant | None = None
        self.status = 0
        self._held_failure: tuple[http1.ResponseHead, bytes] | None = None
        self.started = False
        self.in_parts = False
        self.last_event_id = checked.caller_head.last_event_id

    @property
    def success(self) -> bool:
        """Whether a successful response has been started."""
        return 200 <= self.status < 300

    @property
    def memory(self) -> http1.ResponseMemory | None:
        """Bounds what is held for the caller; None for no bound."""
        return self._writer.memory

    def note_held(self, size: int) -> None:
        """Set how much is held of a response before it is written."""
        if self._writer.memory is not None:
            self._writer.memory.set_response(size)

    async def flush(self) -> None:
        """Wait until the caller has taken the response.

        Where held bytes are not bounded, writes wait instead.
        """
        if self.memory is not None:
            await self._writer.flush()

    async def write_complete(
        self, head: http1.ResponseHead, body: bytes
    ) -> None:
        """Write a complete response."""
        self._mark_started(head)
        headers = platform.headers_to_caller(head.raw_headers)
        await self._writer.write_head(
            head.status, headers, body, complete=True
        )

    async def write_part(
        self, head: http1.ResponseHead, data: bytes, size: int | None = None
    ) -> None:
        """Write a part of a response that is no stream of events.

        :param size: size of the body; None if only the head may state it.
        """
        self.in_parts = True
        if self.started:
            await self._writer.write_data(data)
            return
        self._mark_started(head)
        headers = platform.headers_to_caller(head.raw_headers)
        if size is None:
            headers += [(n, v) for n, v in head.headers if n == _LENGTH]
        else:
            headers.append((_LENGTH, str(size).encode()))
        await self._writer.write_head(head.status, headers, data)

    def hold_failure(self, head: http1.ResponseHead, body: bytes) -> None:
        """Keep an error response, written if no other attempt succeeds."""
        self._held_failure = (head, body)
        self._note_held_failure(len(body))

    async def write_held_failure(self) -> None:
        """Write the error response that was kept last."""
        assert self._held_failure is not None
        head, body = self._held_failure
        self._held_failure = None
        # It counts as unsent once it is written.
        self._note_held_failure(0)
        await self.write_complete(head, body)

    def _note_held_failure(self, size: int) -> None:
        if self._writer.memory is not None:
            self._writer.memory.set_failure(size)

    async def write_events(
        self, head: http1.ResponseHead, events: list[bytes]
    ) -> None:
        """Write events, preceded by the head if none was written yet."""
        data = b"".join(events)
        for event in events:
            self.last_event_id = (
                event_stream.event_id(event) or self.last_event_id
            )
        if self.started:
            await self._writer.write_data(data)
            return
        self._mark_started(head)
        headers = platform.headers_to_caller(head.raw_headers)
        await self._writer.write_head(head.status, headers, data)

    def _mark_started(self, head: http1.ResponseHead) -> None:
        self.started = True
        self.status = head.status
        self.first_byte_at = self._clock.monotonic()

    async def finish(self, head: http1.ResponseHead) -> None:
        """End a stream regularly."""
        if not self.started:
            await self.write_complete(head, b"")
            return
        await self._writer.finish()
