# SPDX-License-Identifier: Apache-2.0
"""One attempt at one backend server, and the answer that comes of it."""

import asyncio
from collections.abc import Callable
import datetime
import http
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import checked_request
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import event_stream
from lugcross.edge import retry_policy
from lugcross import http1
from lugcross import platform
from lugcross import routing

#: Time within which a peer's host acknowledges a request. Many round trips
#: within a region, and one packet that is lost and sent again after 0.2 s.
#: A repeatable request to a host that was cut off is answered elsewhere
#: after 0.3 s instead of being given up at the end of its time.
ACK_TIMEOUT = datetime.timedelta(seconds=0.3)
#: What a backend server gets less than there is, so that its own answer
#: at the deadline still arrives before ours is due.
_TRANSIT_MARGIN = datetime.timedelta(milliseconds=20)
#: Type of an answer that comes in events.
_EVENT_STREAM_TYPE = b"text/event-stream"


class _InvalidAnswerError(Exception):
    """An answer that cannot be the one to this request."""


@final
class AnswerWriter:
    """What the caller was given, over all attempts.

    :ivar begun: whether the caller has part of the answer.
    :ivar first_byte_at: when the first part was given.
    :ivar last_event_id: id of the last event that was given.
    """

    def __init__(
        self,
        exchange: http1.ResponseWriter,
        checked: checked_request.CheckedRequest,
        clock: clock_lib.Clock,
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self.first_byte_at: clock_lib.Instant | None = None
        self.status = 0
        self._held_failure: tuple[http1.ResponseHead, bytes] | None = None
        self.begun = False
        self.last_event_id = checked.caller_head.last_event_id

    async def write_whole(
        self, answer: http1.ResponseHead, body: bytes
    ) -> None:
        """Give a whole answer."""
        self._begin(answer)
        headers = platform.headers_to_caller(answer.raw_headers)
        await self._exchange.write_head(
            answer.status, headers, body, complete=True
        )

    def hold_failure(self, answer: http1.ResponseHead, body: bytes) -> None:
        """Keep a failure, for the case that there is nothing better."""
        self._held_failure = (answer, body)

    async def write_held_failure(self) -> None:
        """Give the failure that was kept."""
        assert self._held_failure is not None
        await self.write_whole(*self._held_failure)

    async def write_events(
        self, answer: http1.ResponseHead, events: list[bytes]
    ) -> None:
        """Give events; before the first of them the head."""
        data = b"".join(events)
        for event in events:
            self.last_event_id = (
                event_stream.event_id(event) or self.last_event_id
            )
        if self.begun:
            await self._exchange.write_data(data)
            return
        self._begin(answer)
        headers = platform.headers_to_caller(answer.raw_headers)
        await self._exchange.write_head(answer.status, headers, data)

    def _begin(self, answer: http1.ResponseHead) -> None:
        self.begun = True
        self.status = answer.status
        self.first_byte_at = self._clock.monotonic()

    async def finish(self, answer: http1.ResponseHead) -> None:
        """Mark a stream as whole."""
        if not self.begun:
            await self.write_whole(answer, b"")
            return
        await self._exchange.finish()


@final
class Attempt:
    """Sends a request to one backend server and passes its answer on.

    :param may_resend: tells whether it may go to another one if it breaks
        here.
    :param new_connection: whether it must not be sent to a server that has
        ended already: nothing may speak against a request that never ran
        there.
    """

    def __init__(
        self,
        edge_state: edge_state_lib.EdgeState,
        clock: clock_lib.Clock,
        checked: checked_request.CheckedRequest,
        backend: desired.Backend,
        answer_writer: AnswerWriter,
        *,
        may_resend: Callable[[], bool],
        new_connection: bool,
    ) -> None:
        self._may_resend = may_resend
        self._new_connection = new_connection
        self._edge_state = edge_state
        self._clock = clock
        self._checked = checked
        self._backend = backend
        self._answer_writer = answer_writer
        self._keep_alive: datetime.timedelta | None = None
        self._unacknowledged = False
        #: Whether the attempt told how the server is.
        self._health_reported = False
        #: Whether the server, or its host, ended the connection.
        self.connection_lost = False

    async def run(self) -> retry_policy.AttemptOutcome | None:
        """Return none once the caller has the whole answer.

        :raises http1.CallerDisconnectedError: when nobody reads it.
        """
        edge_state = self._edge_state
        checked = self._checked
        edge_state.loads.record_started(self._backend.key)
        edge_state.workspace_usage.request_started(
            checked.service, checked.workspace_name
        )
        try:
            try:
                not_repeatable = not self._checked.route.repeatable
                conn = await edge_state.pool.acquire(
                    self._backend,
                    not_repeatable=not_repeatable,
                    new=self._new_connection,
                )
            except http1.NoConnectionError as exc:
                self._report_failure(str(exc))
                return retry_policy.AttemptOutcome.UNREACHED
            if edge_state.backoffs.is_active(self._backend.key):
                # It has asked while this one waited for its connection, for
                # up to 0.4 s: as many as waited would reach it.
                edge_state.pool.release(self._backend, conn, None)
                return retry_policy.AttemptOutcome.UNREACHED
            return await self._run_on(conn)
        finally:
            if not self._health_reported:
                # Its caller left, or its time was over: a server on trial
                # would be left alone for good.
                self._health().record_no_result()
            edge_state.loads.record_ended(self._backend.key)
            edge_state.workspace_usage.request_ended(
                checked.service, checked.workspace_name
            )

    async def _run_on(
        self, conn: http1.ClientConn
    ) -> retry_policy.AttemptOutcome | None:
        whole = False
        try:
            self._send(conn)
            event = await self._receive(conn)
            whole = conn.reusable
        except (http1.ConnectionBrokenError, _InvalidAnswerError) as exc:
            ended = isinstance(exc, http1.ConnectionBrokenError)
            self.connection_lost = ended and not self._unacknowledged
            unacknowledged = "no byte of the request was acknowledged"
            self._report_failure(
                unacknowledged if self._unacknowledged else str(exc)
            )
            return retry_policy.AttemptOutcome.BROKEN
        finally:
            if whole:
                self._edge_state.pool.release(
                    self._backend, conn, self._keep_alive
                )
            else:
                # The server notices, and stops working on the request.
                conn.close()
        return event

    def _send(self, conn: http1.ClientConn) -> None:
        checked = self._checked
        resumed = self._answer_writer.begun
        left = checked.deadline - self._clock.monotonic() - _TRANSIT_MARGIN
        headers = platform.headers_to_backend(
            checked.req.raw_headers,
            backend=self._backend.id,
            workspace=checked.workspace_name,
            time_left=left,
            body_bytes=None
            if checked.req.body is None
            else len(checked.req.body),
            resume_after=self._answer_writer.last_event_id if resumed else "",
        )
        conn.send(
            checked.req.method,
            checked.req.target,
            headers,
            checked.req.body or b"",
        )

    async def _receive(
        self, conn: http1.ClientConn
    ) -> retry_policy.AttemptOutcome | None:
        answer, head = await self._receive_acknowledged(conn)
        self._keep_alive = head.keep_alive
        self._edge_state.apply_answer_head(self._backend, head)
        if head.not_executed:
            await conn.read_body()
            return self._handle_not_run(head)
        self._check_answer(head)
        types = [v for n, v in answer.headers if n == b"content-type"]
        streams = bool(types) and types[0].startswith(_EVENT_STREAM_TYPE)
        if head.success and streams:
            self._health().record_answer_started()
            return await self._forward_events(conn, answer)
        return await self._forward_whole(conn, answer, head)

    async def _receive_acknowledged(
        self, conn: http1.ClientConn
    ) -> tuple[http1.ResponseHead, platform.BackendResponseHead]:
        """Return the answer to this request, unless it was not heard.

        Where it cannot go elsewhere, as what must not be repeated and may
        have run, its answer is waited for to the end.
        """
        look = asyncio.get_running_loop().call_later(
            ACK_TIMEOUT.total_seconds(), self._close_if_unacknowledged, conn
        )
        try:
            return await self._matching_answer(conn)
        finally:
            look.cancel()

    def _close_if_unacknowledged(self, conn: http1.ClientConn) -> None:
        if not conn.nothing_acknowledged() or not self._may_resend():
            return
        self._unacknowledged = True
        self._edge_state.pool.close_idle(self._backend.key)
        conn.close()

    async def _matching_answer(
        self, conn: http1.ClientConn
    ) -> tuple[http1.ResponseHead, platform.BackendResponseHead]:
        """Return the answer to this request, past any to earlier ones."""
        while True:
            answer = await conn.read_head()
            head = platform.parse_backend_response_head(
                answer.status, answer.headers
            )
            if head.attempt_id in ("", self._checked.caller_head.attempt_id):
                return answer, head
            logging.warning(
                "surplus answer skipped",
                extra={
                    "request": self._checked.caller_head.attempt_id,
                    "backend": self._backend.key,
                    "other": head.attempt_id,
                },
            )
            # Late, but the same server's word about itself.
            self._edge_state.apply_answer_head(self._backend, head)
            await conn.read_body()
            conn.expect_another_response(self._checked.req.method)

    def _handle_not_run(
        self, head: platform.BackendResponseHead
    ) -> retry_policy.AttemptOutcome:
        if head.wrong_instance:
            self._edge_state.backends.forget(
                self._backend.key, "another life has its address"
            )
        elif head.retry_after is None:
            self._health().record_refusal(self._clock.monotonic())
        return retry_policy.AttemptOutcome.NOT_RUN

    def _check_answer(self, head: platform.BackendResponseHead) -> None:
        if head.content_encoded:
            raise _InvalidAnswerError(
                "an encoded body is not the server's own"
            )
        if head.success and not head.signed:
            raise _InvalidAnswerError("a success without a signature")
        if (
            head.success
            and head.attempt_id != self._checked.caller_head.attempt_id
        ):
            raise _InvalidAnswerError("a success without the request's id")

    async def _forward_whole(
        self,
        conn: http1.ClientConn,
        answer: http1.ResponseHead,
        head: platform.BackendResponseHead,
    ) -> retry_policy.AttemptOutcome | None:
        body = await conn.read_body()
        failed = head.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        if failed or head.status in platform.NOT_EXECUTED_STATUSES:
            self._report_failure(f"status {head.status}")
            if head.status in platform.NOT_EXECUTED_STATUSES:
                # Without a proof, the status would promise too much.
                return retry_policy.AttemptOutcome.BROKEN
            self._answer_writer.hold_failure(answer, body)
            return retry_policy.AttemptOutcome.FAILED
        self._report_success()
        if self._answer_writer.begun:
            raise _InvalidAnswerError("not a stream, where one was to go on")
        await self._answer_writer.write_whole(answer, body)
        return None

    async def _forward_events(
        self, conn: http1.ClientConn, answer: http1.ResponseHead
    ) -> retry_policy.AttemptOutcome | None:
        splitter = event_stream.EventSplitter()
        after = (
            self._answer_writer.last_event_id
            if self._answer_writer.begun
            else ""
        )
        last: clock_lib.Instant | None = None
        while (data := await conn.read_data()) is not None:
            events = splitter.feed(data)
            if events:
                last = self._observe_pause(last)
            if after:
                events = [
                    one
                    for one in events
                    if event_stream.has_later_id(one, after)
                ]
            if events:
                await self._answer_writer.write_events(answer, events)
        if splitter.incomplete:
            raise _InvalidAnswerError("the stream ended within an event")
        self._report_success()
        await self._answer_writer.finish(answer)
        return None

    def _observe_pause(
        self, last: clock_lib.Instant | None
    ) -> clock_lib.Instant:
        now = self._clock.monotonic()
        limit = self._checked.route.max_event_gap
        if last is not None and limit is not None:
            self._edge_state.observe_pause(self._backend, now - last, limit)
        return now

    def _health(self) -> routing.BackendHealth:
        return self._edge_state.loads.health(self._backend.key)

    def _report_success(self) -> None:
        self._health_reported = True
        self._health().record_success()

    def _report_failure(self, why: str) -> None:
        self._health_reported = True
        ejected = self._health().record_failure(self._clock.monotonic())
        logging.info(
            "backend server failed",
            extra={
                "request": self._checked.caller_head.attempt_id,
                "same": self._checked.fingerprint.hex(),
                "backend": self._backend.key,
                "why": why,
                "ejected": ejected,
            },
        )
