# SPDX-License-Identifier: Apache-2.0
"""Forwards one request: attempts, retries and the final error."""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import attempt as attempt_lib
from lugcross.edge import backend_choice
from lugcross.edge import caller_response
from lugcross.edge import checked_request
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import request_errors
from lugcross.edge import retry_policy
from lugcross import http1

_MS = datetime.timedelta(milliseconds=1)


@final
class RequestForwarder:
    """Forwards one request to backend servers until one answers it.

    :param on_change: called when the requests in progress have changed.
    """

    def __init__(
        self,
        edge_state: edge_state_lib.EdgeState,
        clock: clock_lib.Clock,
        response: http1.ResponseWriter,
        checked: checked_request.CheckedRequest,
        on_change: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._edge_state = edge_state
        self._clock = clock
        self._checked = checked
        self._on_change = on_change
        self._caller_response = caller_response.CallerResponse(
            response, checked, clock
        )
        self._tried_backends: set[desired.BackendKey] = set()
        #: Whether the server of the last attempt closed the connection.
        self._connection_lost = False
        #: How far the answer of the last attempt came.
        self._progress = crash_suspects.AnswerProgress()
        #: Why admission refused the request, if it is sent to a spare server
        #: all the same.
        self._not_admitted_reason: str | None = None
        #: When the last attempt was started.
        self._attempt_sent_at = checked.req.received_at
        #: Number of its urgency at the service, None if it has only one.
        self._urgency_number = edge_state.urgency_number(
            checked.service, checked.urgency
        )
        self._state = retry_policy.RequestState(
            repeatable=checked.route.repeatable,
            max_attempts=checked.route.max_attempts,
        )

    async def run(self) -> None:
        """Forward the request and write its response to the caller.

        :raises request_errors.RequestError: when no response can be given,
            or one that was started cannot be completed.
        :raises http1.CallerDisconnectedError: when the caller has closed its
            connection.
        """
        self._edge_state.retry_budget(self._checked.service).record_request(
            self._clock.monotonic()
        )
        self._edge_state.selection.probe_allowance(
            self._checked.service
        ).record_request()
        left = self._time_left()
        try:
            async with asyncio.timeout(left.total_seconds()):
                await self._send_until_answered(self._choose_first_backend())
        except TimeoutError:
            self._raise_timeout()

    def _time_left(self) -> datetime.timedelta:
        return self._checked.deadline - self._clock.monotonic()

    def _choose_first_backend(self) -> desired.Backend:
        """Return the backend server of the first attempt.

        There is no queue: most queued requests would miss their deadlines,
        and their callers would learn that late.

        :raises request_errors.RequestError: when the request is refused.
        """
        self._refuse_crash_suspect()
        is_caller_retry = self._edge_state.caller_retry_detector(
            self._checked.route.name
        ).is_caller_retry(self._checked.caller_head.time_left)
        choice = self._choose_backend()
        if choice is None and self._is_suspect():
            raise request_errors.unavailable(
                "the rank group in which this request may have crashed a "
                "server is not open",
                self._time_left(),
            )
        reason = self._refusal_reason(choice, is_caller_retry=is_caller_retry)
        if reason is not None and not self._is_suspect():
            spare = self._edge_state.selection.choose_spare(
                self._checked.service
            )
            if spare is not None:
                self._not_admitted_reason = reason
                return spare.best.backend
        if choice is None or reason is not None:
            self._count_admission(admitted=False)
            raise self._refusal_error(choice, reason)
        return choice.best.backend

    def _count_admission(self, *, admitted: bool) -> None:
        self._edge_state.metrics.count_admission(
            self._checked.service, self._urgency_number, admitted=admitted
        )

    def _refuse_crash_suspect(self) -> None:
        """Raise if the request has crashed too many servers already.

        Without this limit a single request that crashes its servers could
        take down a service by its caller's retries.
        """
        tracker = self._edge_state.crash_tracker
        found = tracker.assess(self._checked)
        if (
            found.status is not crash_suspects.SuspectStatus.REFUSED
            or found.suspect is None
        ):
            return
        self._edge_state.metrics.count_suspect_refused(self._checked.service)
        raise request_errors.crash_suspect(
            len(found.crashes),
            tracker.time_until_expiry(found.crashes),
            part=self._checked.parts.get(found.suspect),
        )

    def _refusal_reason(
        self,
        choice: backend_choice.BackendChoice | None,
        *,
        is_caller_retry: bool,
    ) -> str | None:
        checked = self._checked
        edge_state = self._edge_state
        overload_shares = edge_state.overload_shares[checked.service]
        overload_shares.record_arrival(checked.urgency)
        reason = admission.refusal_reason(
            edge_state.load_snapshot(
                checked.service,
                least_busy_requests=choice.least_busy_requests
                if choice
                else 0,
            ),
            edge_state.max_requests_per_server(checked.route, checked.service),
            edge_state.admission_request(
                checked.route,
                checked.service,
                checked.workspace,
                is_caller_retry=is_caller_retry,
            ),
        )
        if reason is None and choice is not None:
            overload_shares.record_admitted(checked.urgency)
        return reason

    def _refusal_error(
        self, choice: backend_choice.BackendChoice | None, reason: str | None
    ) -> request_errors.RequestError:
        if self._edge_state.selection.all_evacuated(self._checked.service):
            return request_errors.all_evacuated(self._time_left())
        limited = self._all_limited_error()
        if limited is not None:
            return limited
        if choice is not None:
            return request_errors.overloaded(
                reason or "", self._time_left(), self._rng
            )
        backoff = self._edge_state.selection.remaining_backoff(
            self._checked.service
        )
        if backoff is not None:
            return self._all_backing_off_error(backoff)
        return self._no_server_error()

    def _no_server_error(self) -> request_errors.RequestError:
        """Return the refusal while no known server can serve the request."""
        service = self._checked.service
        if not self._edge_state.backends.usable(service):
            return request_errors.not_ready("no backend server is known")
        return request_errors.cut_off(
            "all rank groups of the service are broken"
            if self._edge_state.selection.has_reachable_server(service)
            else "no backend server of the service can be reached",
            self._time_left(),
            self._rng,
        )

    def _all_limited_error(self) -> request_errors.RequestError | None:
        """Return the refusal while all servers have reached their limits.

        :returns: None if not all of them limit their requests.
        """
        wait = self._edge_state.selection.remaining_limit_wait(
            self._checked.service
        )
        if wait is None:
            return None
        if self._edge_state.limits.cold_servers():
            self._edge_state.metrics.count_cold_refused(self._checked.service)
        return request_errors.all_limited(wait, self._rng)

    def _all_backing_off_error(
        self, backoff: datetime.timedelta
    ) -> request_errors.RequestError:
        """Return the refusal while all servers back off or are probed."""
        self._edge_state.metrics.count_backoff_refused(self._checked.service)
        return request_errors.all_backing_off(backoff, self._rng)

    async def _send_until_answered(self, first: desired.Backend) -> None:
        self._count_admission(admitted=True)
        backend = first
        while True:
            self._tried_backends.add(backend.key)
            outcome = await self._send(backend)
            if outcome is None:
                await self._caller_response.flush()
                self._log_response(backend)
                return
            self._edge_state.metrics.count_attempt(
                self._checked.service, outcome.value
            )
            self._state = retry_policy.state_after(self._state, outcome)
            await self._check_for_crash(outcome, backend)
            choice = self._choose_backend()
            obstacle = self._retry_obstacle(choice, outcome)
            action = retry_policy.next_action(
                self._state, outcome, retry_available=obstacle is None
            )
            self._log_attempt(outcome, backend, action, obstacle)
            if action is not retry_policy.Action.RETRY or choice is None:
                await self._finish_unanswered(action, outcome)
                return
            backend = choice.best.backend

    async def _send(
        self, backend: desired.Backend
    ) -> retry_policy.AttemptOutcome | None:
        is_suspect = self._is_suspect()
        attempt = attempt_lib.Attempt(
            self._edge_state,
            self._clock,
            self._checked,
            backend,
            self._caller_response,
            may_resend=self._may_resend,
            may_send=lambda: self._may_send(is_suspect=is_suspect),
            new_connection=is_suspect,
        )
        self._on_change()
        self._attempt_sent_at = self._clock.monotonic()
        try:
            outcome = await attempt.run()
        finally:
            self._on_change()
        self._connection_lost = attempt.connection_lost
        self._progress = attempt.progress
        if outcome is None and self._caller_response.success:
            self._edge_state.crash_tracker.record_sound_run(
                self._checked, backend
            )
        if outcome in (None, retry_policy.AttemptOutcome.FAILED):
            self._edge_state.crash_tracker.record_completion(
                self._checked, backend, self._attempt_sent_at
            )
        started = self._caller_response.started
        self._state = dataclasses.replace(
            self._state, response_started=started
        )
        if self._caller_response.in_parts:
            # No other server can go on with it.
            self._state = dataclasses.replace(self._state, max_attempts=0)
        return outcome

    async def _check_for_crash(
        self, outcome: retry_policy.AttemptOutcome, backend: desired.Backend
    ) -> None:
        """Record a crash if the server ended while it ran the request."""
        if (
            outcome is retry_policy.AttemptOutcome.BROKEN
            and self._connection_lost
        ):
            await self._edge_state.crash_tracker.record_broken_attempt(
                self._checked,
                backend,
                self._attempt_sent_at,
                self._progress,
            )

    def _may_send(self, *, is_suspect: bool) -> bool:
        """Return whether the request may still go to the chosen server.

        It may have become a suspect while it waited for its connection. A
        suspect goes to another server, and a refused one to none.

        :param is_suspect: whether it was one when the server was chosen.
        """
        status = self._edge_state.crash_tracker.assess(self._checked).status
        if status is crash_suspects.SuspectStatus.SUSPECT:
            return is_suspect
        return status is crash_suspects.SuspectStatus.NOT_SUSPECT

    def _may_resend(self) -> bool:
        """Return whether the request may be retried if this attempt breaks."""
        broken = retry_policy.state_after(
            self._state, retry_policy.AttemptOutcome.BROKEN
        )
        return (
            retry_policy.may_send(broken)
            and self._choose_backend() is not None
        )

    def _retry_obstacle(
        self,
        choice: backend_choice.BackendChoice | None,
        outcome: retry_policy.AttemptOutcome,
    ) -> retry_policy.RetryObstacle | None:
        """Return why there is no retry; None after taking one from the budget.

        A retry costs nothing while no attempt has reached a backend server.
        """
        obstacle = retry_policy.retry_obstacle(
            self._state,
            servers_left=self._servers_left(choice),
        )
        if obstacle is not None:
            return obstacle
        if self._not_admitted_reason is not None:
            return retry_policy.RetryObstacle.NOT_ADMITTED
        if choice is None:
            return retry_policy.RetryObstacle.NO_SERVER
        broke = outcome is retry_policy.AttemptOutcome.BROKEN
        if not self._edge_state.crash_tracker.may_retry(
            self._checked,
            last_attempt_broke=broke,
            within_rank_group=self._edge_state.has_rank_groups(
                self._checked.service
            ),
            response_started=self._state.response_started,
        ):
            return retry_policy.RetryObstacle.CRASHES
        if retry_policy.costs_budget(
            self._state, outcome
        ) and not self._edge_state.spend_retry(self._checked.service, outcome):
            return retry_policy.RetryObstacle.NO_BUDGET
        return None

    def _servers_left(
        self, choice: backend_choice.BackendChoice | None
    ) -> bool:
        """Return whether ``choice`` is a server that has not failed lately.

        Where no domain can be reached, none is known to be any better.
        """
        return (
            choice is not None
            and not choice.best.avoided
            and not self._edge_state.reachability.all_failed()
        )

    def _choose_backend(self) -> backend_choice.BackendChoice | None:
        if self._is_suspect():
            return self._edge_state.selection.choose_for_suspect(
                self._checked,
                self._edge_state.crash_tracker,
                self._tried_backends,
                response_started=self._state.response_started,
            )
        return self._edge_state.selection.choose(
            self._checked.service, self._tried_backends
        )

    def _is_suspect(self) -> bool:
        status = self._edge_state.crash_tracker.assess(self._checked).status
        return status is crash_suspects.SuspectStatus.SUSPECT

    async def _finish_unanswered(
        self, action: retry_policy.Action, outcome: retry_policy.AttemptOutcome
    ) -> None:
        if action is retry_policy.Action.RETURN_FAILURE:
            await self._caller_response.write_held_failure()
            await self._caller_response.flush()
        elif action is retry_policy.Action.ABORT_RESPONSE:
            raise request_errors.response_interrupted(
                "the backend server broke off its answer"
            )
        elif action is retry_policy.Action.REFUSE:
            self._refuse_crash_suspect()
            if self._edge_state.selection.all_evacuated(self._checked.service):
                raise request_errors.all_evacuated(self._time_left())
            limited = self._all_limited_error()
            if limited is not None:
                raise limited
            if self._not_admitted_reason is not None:
                raise request_errors.overloaded(
                    self._not_admitted_reason, self._time_left(), self._rng
                )
            backoff = self._edge_state.selection.remaining_backoff(
                self._checked.service
            )
            if backoff:
                raise self._all_backing_off_error(backoff)
            if backoff is None:
                raise self._no_server_error()
            raise request_errors.unavailable(
                f"no backend server ran the request ({outcome.value})",
                self._time_left(),
            )
        else:
            raise request_errors.outcome_unknown(
                "a backend server gave no valid answer"
            )

    def _raise_timeout(self) -> None:
        if self._caller_response.started:
            raise request_errors.response_interrupted(
                "the deadline passed before the answer was complete"
            )
        raise request_errors.timed_out()

    def _log_response(self, backend: desired.Backend) -> None:
        """Count and log a request that has been answered."""
        checked = self._checked
        first = self._caller_response.first_byte_at
        first_byte_after = (
            None if first is None else first - checked.req.received_at
        )
        status = self._caller_response.status
        self._edge_state.metrics.count_request(
            checked.service, status, first_byte_after
        )
        self._edge_state.metrics.observe_urgency_first_byte(
            checked.service, self._urgency_number, first_byte_after
        )
        total = self._clock.monotonic() - checked.req.received_at
        logging.info(
            "answered",
            extra={
                "request": checked.caller_head.attempt_id,
                "service": checked.service,
                "route": checked.route.name,
                "workspace": checked.workspace_name,
                "urgency": self._urgency_number,
                "version": checked.desired_version,
                "backend": backend.key,
                "domain": backend.domain,
                "status": status,
                "sent": self._state.attempts_sent + 1,
                "first_ms": None
                if first_byte_after is None
                else round(first_byte_after / _MS),
                "whole_ms": round(total / _MS),
                "last_id": self._caller_response.last_event_id,
            },
        )

    def _log_attempt(
        self,
        outcome: retry_policy.AttemptOutcome,
        backend: desired.Backend,
        action: retry_policy.Action,
        obstacle: retry_policy.RetryObstacle | None,
    ) -> None:
        if obstacle is not None:
            self._edge_state.metrics.count_no_retry(
                self._checked.service, obstacle.value
            )
        logging.info(
            "attempt ended",
            extra={
                "request": self._checked.caller_head.attempt_id,
                "backend": backend.key,
                "event": outcome.value,
                "action": action.value,
                "sent": self._state.attempts_sent,
                "no_retry": None if obstacle is None else obstacle.value,
            },
        )
