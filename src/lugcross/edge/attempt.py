# SPDX-License-Identifier: Apache-2.0
"""One attempt of a request at one backend server."""

import asyncio
from collections.abc import Callable
import datetime
import http
from typing import final

from absl import logging

from lugcross import answer_matching
from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross import desired
from lugcross.edge import caller_response as caller_response_lib
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
#: the server's response at its deadline still arrives in time.
_TRANSIT_MARGIN = datetime.timedelta(milliseconds=20)
#: Larger responses are not joined, which copies them.
_MAX_JOINED_BYTES = 1_048_576
_EVENT_STREAM_TYPE = b"text/event-stream"


class _InvalidResponseError(Exception):
    """A response that must not be forwarded to the caller."""


@final
class Attempt:
    """Sends a request to one backend server and forwards its response.

    :param may_resend: tells whether the request may go to another server if
        this attempt breaks.
    :param may_send: tells, once there is a connection, whether the request may
        still go to this server.
    :param new_connection: whether to open a new connection. A crash suspect
        needs one: on an idle connection to a server that has already crashed
        it would be blamed for a crash without having run.
    :ivar connection_lost: whether the server or its host closed the
        connection before the response was complete.
    :ivar progress: how far the server's answer has come.
    """

    def __init__(
        self,
        edge_state: edge_state_lib.EdgeState,
        clock: clock_lib.Clock,
        checked: checked_request.CheckedRequest,
        backend: desired.Backend,
        caller_response: caller_response_lib.CallerResponse,
        *,
        may_resend: Callable[[], bool],
        may_send: Callable[[], bool],
        new_connection: bool,
    ) -> None:
        self._may_resend = may_resend
        self._may_send = may_send
        self._new_connection = new_connection
        self._edge_state = edge_state
        self._clock = clock
        self._checked = checked
        self._backend = backend
        self._caller_response = caller_response
        self._keep_alive: datetime.timedelta | None = None
        self._unacknowledged = False
        #: Whether the attempt has reported a result to the server's health.
        self._health_reported = False
        self._sent_at = clock.monotonic()
        self.connection_lost = False
        self.progress = crash_suspects.AnswerProgress()

    async def run(self) -> retry_policy.AttemptOutcome | None:
        """Send the request and forward the response.

        :returns: None if the caller has the complete response, otherwise why
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
        edge_state.limits.hold(self._backend.key)
        try:
            try:
                not_repeatable = not self._checked.route.repeatable
                conn = await edge_state.pool.acquire(
                    self._backend,
                    not_repeatable=not_repeatable,
                    new=self._new_connection,
                )
            except http1.NoConnectionError as exc:
                if not edge_state.reachability.is_found_unreachable(
                    self._backend.domain
                ):
                    self._report_failure(str(exc))
                return retry_policy.AttemptOutcome.UNREACHED
            finally:
                edge_state.limits.release(self._backend.key)
            if (
                edge_state.selection.is_evacuated(self._backend)
                or edge_state.backoffs.is_active(self._backend.key)
                or edge_state.backends.has_drained(self._backend.key)
                or not self._may_send()
                or not edge_state.limits.try_spend(self._backend.key)
            ):
                # The server was evacuated, asked for a backoff, has drained or
                # reached its limit while this attempt waited for its
                # connection, or a crash was reported that the request may have
                # caused; many others may have waited with it.
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
        conn.memory = self._caller_response.memory
        try:
            self._send(conn)
            outcome = await self._receive(conn)
            reusable = conn.reusable
        except (http1.ConnectionBrokenError, _InvalidResponseError) as exc:
            # A body without length ends with its connection, so that a server
            # that crashes within it seems to have sent all of the body.
            is_lost = (
                isinstance(exc, http1.ConnectionBrokenError) or conn.closing
            )
            self.connection_lost = is_lost and not self._unacknowledged
            self._report_failure(
                "no byte of the request was acknowledged"
                if self._unacknowledged
                else str(exc)
            )
            return retry_policy.AttemptOutcome.BROKEN
        finally:
            conn.memory = None
            self._caller_response.note_held(0)
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
        self._sent_at = self._clock.monotonic()
        resumed = self._caller_response.started
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
            priority=self._edge_state.request_priority(
                checked.service, checked.urgency
            ),
            resume_after=self._caller_response.last_event_id
            if resumed
            else "",
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
        http_head, parsed_head = await self._read_head_with_ack_timeout(conn)
        self._keep_alive = parsed_head.keep_alive
        self._edge_state.apply_response_head(self._backend, parsed_head)
        if parsed_head.not_executed:
            await conn.skip_body()
            return self._handle_not_executed(parsed_head)
        self._check_head(parsed_head)
        self._edge_state.refusing.record_accepted(
            self._backend.key, self._sent_at
        )
        types = [v for n, v in http_head.headers if n == b"content-type"]
        streams = bool(types) and types[0].startswith(_EVENT_STREAM_TYPE)
        if parsed_head.success and streams:
            self._backend_health().record_response_started()
            return await self._forward_events(conn, http_head)
        return await self._forward_complete(conn, http_head, parsed_head)

    async def _read_head_with_ack_timeout(
        self, conn: http1.ClientConn
    ) -> tuple[http1.ResponseHead, platform.BackendResponseHead]:
        """Return the head of the response, as received and parsed.

        If no byte of the request is acknowledged in time, the connection is
        closed, but only if the request may go to another server. Otherwise
        the response is awaited until the deadline.
        """
        ack_timer = asyncio.get_running_loop().call_later(
            ACK_TIMEOUT.total_seconds(), self._close_if_unacknowledged, conn
        )
        try:
            return await self._read_matching_head(conn)
        finally:
            ack_timer.cancel()

    def _close_if_unacknowledged(self, conn: http1.ClientConn) -> None:
        if not conn.nothing_acknowledged() or not self._may_resend():
            return
        self._unacknowledged = True
        self._edge_state.selection.reachability.record_not_connected(
            self._backend.domain,
            self._backend.address,
            begun_at=self._sent_at,
        )
        self._edge_state.pool.close_idle(self._backend.key)
        conn.close()

    async def _read_matching_head(
        self, conn: http1.ClientConn
    ) -> tuple[http1.ResponseHead, platform.BackendResponseHead]:
        """Read the head; skip responses to other requests."""
        while True:
            http_head = await conn.read_head()
            parsed_head = platform.parse_backend_response_head(
                http_head.status, http_head.headers
            )
            if answer_matching.is_own_answer(
                parsed_head.attempt_id,
                self._checked.caller_head.attempt_id,
                last_answer_named=conn.last_answer_named,
            ):
                conn.last_answer_named = bool(parsed_head.attempt_id)
                return http_head, parsed_head
            logging.warning(
                "answer to another request skipped",
                extra={
                    "request": self._checked.caller_head.attempt_id,
                    "backend": self._backend.key,
                    "other": parsed_head.attempt_id,
                },
            )
            # Its headers still describe the state of this server.
            self._edge_state.apply_response_head(self._backend, parsed_head)
            await conn.skip_body()
            conn.expect_another_response(self._checked.req.method)

    def _handle_not_executed(
        self, parsed_head: platform.BackendResponseHead
    ) -> retry_policy.AttemptOutcome:
        if parsed_head.wrong_instance:
            self._edge_state.backends.forget(
                self._backend.key, "another life has its address"
            )
        elif parsed_head.retry_after is None:
            self._edge_state.selection.record_refusal(self._backend)
        return retry_policy.AttemptOutcome.NOT_RUN

    def _check_head(self, parsed_head: platform.BackendResponseHead) -> None:
        if parsed_head.content_encoded:
            raise _InvalidResponseError("the answer has a content encoding")
        if parsed_head.success and not parsed_head.signed:
            raise _InvalidResponseError("the answer has no signature")
        if (
            parsed_head.success
            and parsed_head.attempt_id != self._checked.caller_head.attempt_id
        ):
            raise _InvalidResponseError("the answer has no request id")

    async def _forward_complete(
        self,
        conn: http1.ClientConn,
        http_head: http1.ResponseHead,
        parsed_head: platform.BackendResponseHead,
    ) -> retry_policy.AttemptOutcome | None:
        failed = parsed_head.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        if parsed_head.status in platform.NOT_EXECUTED_STATUSES:
            # The status means "not executed", but the header that proves it
            # is missing.
            await conn.skip_body()
            self._report_failure(f"status {parsed_head.status}")
            return retry_policy.AttemptOutcome.BROKEN
        if self._caller_response.started:
            raise _InvalidResponseError(
                "the answer to a resumed stream is no event stream"
            )
        parts, complete = await conn.read_body_to_hold()
        if failed and complete:
            self._report_failure(f"status {parsed_head.status}")
            self._caller_response.hold_failure(http_head, b"".join(parts))
            return retry_policy.AttemptOutcome.FAILED
        size = sum(map(len, parts))
        if complete and (
            size <= _MAX_JOINED_BYTES or self._caller_response.memory is None
        ):
            self._report_success()
            body = b"".join(parts)
            # Not held while the caller reads.
            parts.clear()
            await self._caller_response.write_complete(http_head, body)
            return None
        # There is no memory to hold all of it, or to copy it.
        self._caller_response.note_held(0)
        for part in parts:
            await self._caller_response.write_part(
                http_head, part, size if complete else None
            )
        parts.clear()
        if not complete:
            while (data := await conn.read_data()) is not None:
                await self._caller_response.write_part(http_head, data)
        if failed:
            self._report_failure(f"status {parsed_head.status}")
        else:
            self._report_success()
        await self._caller_response.finish(http_head)
        return None

    async def _forward_events(
        self, conn: http1.ClientConn, http_head: http1.ResponseHead
    ) -> retry_policy.AttemptOutcome | None:
        splitter = event_stream.EventSplitter()
        after = (
            self._caller_response.last_event_id
            if self._caller_response.started
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
                await self._caller_response.write_events(http_head, events)
        if splitter.incomplete:
            raise _InvalidResponseError(
                "the stream ended in the middle of an event"
            )
        self._report_success()
        await self._caller_response.finish(http_head)
        return None

    def _observe_event_gap(
        self, previous_at: clock_lib.Instant | None
    ) -> clock_lib.Instant:
        now = self._clock.monotonic()
        if self.progress.note_events(now):
            self._edge_state.crash_tracker.record_sound_run(
                self._checked, self._backend
            )
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
