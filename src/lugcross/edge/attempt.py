# SPDX-License-Identifier: Apache-2.0
"""One attempt of a request at one backend server."""

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

#: Time within which the backend server's host must acknowledge a byte of the
#: request: many round trips within a region and one retransmission, which
#: takes 0.2 s. Without it, only its deadline ends a request to a host that is
#: cut off.
ACK_TIMEOUT = datetime.timedelta(seconds=0.3)
#: Time by which a backend server's deadline precedes the caller's, so that
#: the server's answer at its deadline still arrives in time.
_TRANSIT_MARGIN = datetime.timedelta(milliseconds=20)
_EVENT_STREAM_TYPE = b"text/event-stream"


class _InvalidAnswerError(Exception):
    """An answer that is malformed or belongs to another request."""


@final
class AnswerWriter:
    """Writes the answer to the caller; shared by all attempts of a request.

    :ivar started: whether part of the answer has been written.
    :ivar first_byte_at: when the first part was written; none before.
    :ivar status: status of the answer; 0 before it is started.
    :ivar last_event_id: id of the last event that was written; before that,
        the one that the caller resumes after, if any.
    """

    def __init__(
        self,
        response: http1.ResponseWriter,
        checked: checked_request.CheckedRequest,
        clock: clock_lib.Clock,
    ) -> None:
        self._response = response
        self._clock = clock
        self.first_byte_at: clock_lib.Instant | None = None
        self.status = 0
        self._held_failure: tuple[http1.ResponseHead, bytes] | None = None
        self.started = False
        self.last_event_id = checked.caller_head.last_event_id

    async def write_complete(
        self, answer: http1.ResponseHead, body: bytes
    ) -> None:
        """Write a complete answer."""
        self._mark_started(answer)
        headers = platform.headers_to_caller(answer.raw_headers)
        await self._response.write_head(
            answer.status, headers, body, complete=True
        )

    def hold_failure(self, answer: http1.ResponseHead, body: bytes) -> None:
        """Keep a failed answer, to be written if no other attempt succeeds."""
        self._held_failure = (answer, body)

    async def write_held_failure(self) -> None:
        """Write the failed answer that was kept last."""
        assert self._held_failure is not None
        await self.write_complete(*self._held_failure)

    async def write_events(
        self, answer: http1.ResponseHead, events: list[bytes]
    ) -> None:
        """Write events, preceded by the head if the answer is not started."""
        data = b"".join(events)
        for event in events:
            self.last_event_id = (
                event_stream.event_id(event) or self.last_event_id
            )
        if self.started:
            await self._response.write_data(data)
            return
        self._mark_started(answer)
        headers = platform.headers_to_caller(answer.raw_headers)
        await self._response.write_head(answer.status, headers, data)

    def _mark_started(self, answer: http1.ResponseHead) -> None:
        self.started = True
        self.status = answer.status
        self.first_byte_at = self._clock.monotonic()

    async def finish(self, answer: http1.ResponseHead) -> None:
        """End a stream regularly."""
        if not self.started:
            await self.write_complete(answer, b"")
            return
        await self._response.finish()


@final
class Attempt:
    """Sends a request to one backend server and forwards its answer.

    :param may_resend: tells whether the request may go to another server if
        this attempt breaks.
    :param new_connection: whether to open a new connection. A crash suspect
        needs one: on an idle connection to a server that has already crashed
        it would be blamed for a crash without having run.
    :ivar connection_lost: whether the server or its host closed the
        connection before the answer was complete.
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
        #: Whether the attempt has reported a result to the server's health.
        self._health_reported = False
        self.connection_lost = False

    async def run(self) -> retry_policy.AttemptOutcome | None:
        """Send the request and forward the answer.

        :returns: none if the caller has the complete answer, otherwise why
            it has not.
        :raises http1.CallerDisconnectedError: when the caller has closed its
            connection.
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
                # The server asked for a backoff while this attempt waited
                # for its connection; many others may have waited with it.
                edge_state.pool.release(self._backend, conn, None)
                return retry_policy.AttemptOutcome.UNREACHED
            return await self._run_on(conn)
        finally:
            if not self._health_reported:
                # The caller disconnected or the deadline passed. Without a
                # result a server on probation would never leave it.
                self._backend_health().record_no_result()
            edge_state.loads.record_ended(self._backend.key)
            edge_state.workspace_usage.request_ended(
                checked.service, checked.workspace_name
            )

    async def _run_on(
        self, conn: http1.ClientConn
    ) -> retry_policy.AttemptOutcome | None:
        reusable = False
        try:
            self._send(conn)
            outcome = await self._receive(conn)
            reusable = conn.reusable
        except (http1.ConnectionBrokenError, _InvalidAnswerError) as exc:
            is_broken = isinstance(exc, http1.ConnectionBrokenError)
            self.connection_lost = is_broken and not self._unacknowledged
            self._report_failure(
                "no byte of the request was acknowledged"
                if self._unacknowledged
                else str(exc)
            )
            return retry_policy.AttemptOutcome.BROKEN
        finally:
            if reusable:
                self._edge_state.pool.release(
                    self._backend, conn, self._keep_alive
                )
            else:
                # Closing tells the server to stop working on the request.
                conn.close()
        return outcome

    def _send(self, conn: http1.ClientConn) -> None:
        checked = self._checked
        resumed = self._answer_writer.started
        time_left = (
            checked.deadline - self._clock.monotonic() - _TRANSIT_MARGIN
        )
        headers = platform.headers_to_backend(
            checked.req.raw_headers,
            backend=self._backend.id,
            workspace=checked.workspace_name,
            time_left=time_left,
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
        answer, head = await self._receive_with_ack_timeout(conn)
        self._keep_alive = head.keep_alive
        self._edge_state.apply_answer_head(self._backend, head)
        if head.not_executed:
            await conn.read_body()
            return self._handle_not_executed(head)
        self._check_answer(head)
        types = [v for n, v in answer.headers if n == b"content-type"]
        streams = bool(types) and types[0].startswith(_EVENT_STREAM_TYPE)
        if head.success and streams:
            self._backend_health().record_answer_started()
            return await self._forward_events(conn, answer)
        return await self._forward_complete(conn, answer, head)

    async def _receive_with_ack_timeout(
        self, conn: http1.ClientConn
    ) -> tuple[http1.ResponseHead, platform.BackendResponseHead]:
        """Return the head of the answer to this request.

        If no byte of the request is acknowledged in time, the connection is
        closed, but only if the request may go to another server. Otherwise
        the answer is awaited until the deadline.
        """
        ack_timer = asyncio.get_running_loop().call_later(
            ACK_TIMEOUT.total_seconds(), self._close_if_unacknowledged, conn
        )
        try:
            return await self._matching_answer(conn)
        finally:
            ack_timer.cancel()

    def _close_if_unacknowledged(self, conn: http1.ClientConn) -> None:
        if not conn.nothing_acknowledged() or not self._may_resend():
            return
        self._unacknowledged = True
        self._edge_state.pool.close_idle(self._backend.key)
        conn.close()

    async def _matching_answer(
        self, conn: http1.ClientConn
    ) -> tuple[http1.ResponseHead, platform.BackendResponseHead]:
        """Return the head of the answer; skip answers to other requests."""
        while True:
            answer = await conn.read_head()
            head = platform.parse_backend_response_head(
                answer.status, answer.headers
            )
            if head.attempt_id in ("", self._checked.caller_head.attempt_id):
                return answer, head
            logging.warning(
                "answer to another request skipped",
                extra={
                    "request": self._checked.caller_head.attempt_id,
                    "backend": self._backend.key,
                    "other": head.attempt_id,
                },
            )
            # Its headers still describe the state of this server.
            self._edge_state.apply_answer_head(self._backend, head)
            await conn.read_body()
            conn.expect_another_response(self._checked.req.method)

    def _handle_not_executed(
        self, head: platform.BackendResponseHead
    ) -> retry_policy.AttemptOutcome:
        if head.wrong_instance:
            self._edge_state.backends.forget(
                self._backend.key, "another life has its address"
            )
        elif head.retry_after is None:
            self._backend_health().record_refusal(self._clock.monotonic())
        return retry_policy.AttemptOutcome.NOT_RUN

    def _check_answer(self, head: platform.BackendResponseHead) -> None:
        if head.content_encoded:
            raise _InvalidAnswerError("the answer has a content encoding")
        if head.success and not head.signed:
            raise _InvalidAnswerError("the answer has no signature")
        if (
            head.success
            and head.attempt_id != self._checked.caller_head.attempt_id
        ):
            raise _InvalidAnswerError("the answer has no request id")

    async def _forward_complete(
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
                # The status means "not executed", but the header that
                # proves it is missing.
                return retry_policy.AttemptOutcome.BROKEN
            self._answer_writer.hold_failure(answer, body)
            return retry_policy.AttemptOutcome.FAILED
        self._report_success()
        if self._answer_writer.started:
            raise _InvalidAnswerError(
                "the answer to a resumed stream is no event stream"
            )
        await self._answer_writer.write_complete(answer, body)
        return None

    async def _forward_events(
        self, conn: http1.ClientConn, answer: http1.ResponseHead
    ) -> retry_policy.AttemptOutcome | None:
        splitter = event_stream.EventSplitter()
        after = (
            self._answer_writer.last_event_id
            if self._answer_writer.started
            else ""
        )
        previous_at: clock_lib.Instant | None = None
        while (data := await conn.read_data()) is not None:
            events = splitter.feed(data)
            if events:
                previous_at = self._observe_event_gap(previous_at)
            if after:
                events = [
                    one
                    for one in events
                    if event_stream.has_later_id(one, after)
                ]
            if events:
                await self._answer_writer.write_events(answer, events)
        if splitter.incomplete:
            raise _InvalidAnswerError(
                "the stream ended in the middle of an event"
            )
        self._report_success()
        await self._answer_writer.finish(answer)
        return None

    def _observe_event_gap(
        self, previous_at: clock_lib.Instant | None
    ) -> clock_lib.Instant:
        now = self._clock.monotonic()
        limit = self._checked.route.max_event_gap
        if previous_at is not None and limit is not None:
            self._edge_state.observe_event_gap(
                self._backend, now - previous_at, limit
            )
        return now

    def _backend_health(self) -> routing.BackendHealth:
        return self._edge_state.loads.health(self._backend.key)

    def _report_success(self) -> None:
        self._health_reported = True
        self._backend_health().record_success()

    def _report_failure(self, why: str) -> None:
        self._health_reported = True
        ejected = self._backend_health().record_failure(
            self._clock.monotonic()
        )
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
