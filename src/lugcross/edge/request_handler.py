# SPDX-License-Identifier: Apache-2.0
"""Handles callers' requests: checks, forwarding and refusals."""

from collections.abc import Callable
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import checked_request
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import request_errors
from lugcross.edge import request_forwarder
from lugcross import http1
from lugcross import ids
from lugcross import platform

_MS = datetime.timedelta(milliseconds=1)


@final
class RequestHandler:
    """Handles the requests of all callers of this process.

    :param is_stopping: whether the process stops too soon to finish new
        requests.
    :param on_change: called when the requests in progress have changed.
    """

    def __init__(
        self,
        edge_state: edge_state_lib.EdgeState,
        *,
        is_stopping: Callable[[], bool],
        on_change: Callable[[], None],
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._edge_state = edge_state
        self._is_stopping = is_stopping
        self._on_change = on_change
        self._clock = clock
        self._rng = rng

    async def handle(
        self, response: http1.ResponseWriter, req: http1.Request
    ) -> None:
        """Forward one request, or write an error response to the caller.

        :raises http1.CallerDisconnectedError: when the caller has closed its
            connection.
        """
        head = platform.parse_caller_request_head(req.headers)
        checked: checked_request.CheckedRequest | None = None
        try:
            checked = self._check_request(req, head)
            await request_forwarder.RequestForwarder(
                self._edge_state,
                self._clock,
                response,
                checked,
                self._on_change,
                self._rng,
            ).run()
        except request_errors.RequestError as exc:
            self._log_refusal(head, checked, exc)
            if response.head_written:
                return
            await response.write_head(
                exc.status, exc.headers(), exc.body(), complete=True
            )

    def time_limit(
        self, target: bytes, headers: list[tuple[bytes, bytes]]
    ) -> datetime.timedelta | None:
        """Return the time that a request has from its head on.

        :returns: None if there is no route for it.
        """
        state = self._edge_state.desired
        if state is None:
            return None
        try:
            route = self._find_route(state, target, headers)
        except request_errors.RequestError:
            # It is refused once its body has been read.
            return None
        head = platform.parse_caller_request_head(headers)
        return _time_limit(route, head)

    def _check_request(
        self, req: http1.Request, head: platform.CallerRequestHead
    ) -> checked_request.CheckedRequest:
        if self._is_stopping():
            raise request_errors.not_ready("this process is being stopped")
        if req.refused:
            raise request_errors.no_memory(self._rng)
        state = self._edge_state.desired
        if state is None:
            raise request_errors.not_ready("no desired state is known yet")
        route = self._find_route(state, req.target, req.headers)
        workspace = self._authenticate(state, route, head)
        return checked_request.CheckedRequest(
            req=req,
            caller_head=head,
            route=route,
            service=self._pick_service(route),
            workspace=workspace,
            deadline=req.received_at + _time_limit(route, head),
            desired_version=state.version,
        )

    def _find_route(
        self,
        state: desired.DesiredState,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
    ) -> desired.Route:
        hosts = [value for name, value in headers if name == b"host"]
        host = hosts[0].decode("latin-1") if hosts else ""
        path = target.decode("latin-1").partition("?")[0]
        route = state.find_route(host, path) or state.find_route(
            host.rpartition(":")[0], path
        )
        if route is None:
            raise request_errors.no_route(host, path)
        return route

    def _authenticate(
        self,
        state: desired.DesiredState,
        route: desired.Route,
        head: platform.CallerRequestHead,
    ) -> desired.Workspace | None:
        if not state.keys_required or route.public:
            return None
        workspace = state.workspaces_by_key.get(head.api_key)
        if workspace is None:
            raise request_errors.unknown_key()
        return workspace

    def _pick_service(self, route: desired.Route) -> ids.ServiceName:
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights = [share.weight for share in route.weighted_services]
        return self._rng.choices(route.weighted_services, weights)[0].service

    def _log_refusal(
        self,
        head: platform.CallerRequestHead,
        checked: checked_request.CheckedRequest | None,
        exc: request_errors.RequestError,
    ) -> None:
        service = checked.service if checked else ""
        self._edge_state.metrics.count_request(service, exc.status, None)
        if checked is not None and checked.workspace_name is not None:
            self._edge_state.metrics.count_workspace_refused(
                service, checked.workspace_name
            )
        load_fields: dict[str, object] = {}
        if checked is not None:
            snapshot = self._edge_state.load_snapshot(checked.service)
            load_fields = {
                "service": checked.service,
                "route": checked.route.name,
                "version": checked.desired_version,
                "servers": snapshot.servers,
                "resting": len(self._edge_state.backoffs.servers()),
                "refusing": len(self._edge_state.refusing.servers()),
                "busy": snapshot.requests,
                "unseen": round(snapshot.unreported_requests, 1),
                "full": round(
                    self._edge_state.max_requests_per_server(
                        checked.route, checked.service
                    ),
                    2,
                ),
                **self._suspect_fields(checked),
                **self._urgency_fields(checked, snapshot),
                **self._share_fields(checked, snapshot),
                "list_age_s": round(
                    self._edge_state.backends.age().total_seconds(), 3
                ),
            }
        wait = exc.retry_after
        logging.info(
            "refused",
            extra={
                "request": head.attempt_id,
                "status": exc.status.value,
                "why": exc.what,
                "same": checked.logged_fingerprint if checked else None,
                "retry_after_ms": None if wait is None else round(wait / _MS),
                **load_fields,
            },
        )

    def _suspect_fields(
        self, checked: checked_request.CheckedRequest
    ) -> dict[str, object]:
        """Return what makes the request a crash suspect, if it is one."""
        found = self._edge_state.crash_tracker.assess(checked)
        if found.suspect is None:
            return {}
        return {
            "suspect": found.suspect.hex(),
            "part": checked.parts.get(found.suspect),
            "ends": [crash.server for crash in found.crashes],
        }

    def _urgency_fields(
        self,
        checked: checked_request.CheckedRequest,
        snapshot: admission.LoadSnapshot,
    ) -> dict[str, object]:
        """Return the urgency and what is open to it, as log fields."""
        service = checked.service
        number = self._edge_state.urgency_number(service, checked.urgency)
        if number is None:
            return {}
        per_server = self._edge_state.max_requests_per_server(
            checked.route, service
        )
        open_fraction = self._edge_state.overload_shares[
            service
        ].capacity_fraction(
            checked.urgency, snapshot.load_fraction(per_server)
        )
        return {"urgency": number, "open": round(open_fraction, 3)}

    def _share_fields(
        self,
        checked: checked_request.CheckedRequest,
        snapshot: admission.LoadSnapshot,
    ) -> dict[str, object]:
        """Return the workspace's use and fair share, as log fields."""
        if checked.workspace_name is None:
            return {}
        workspace_quota = self._edge_state.workspace_usage.quota_of(
            checked.service, checked.workspace_name
        )
        capacity = (
            self._edge_state.max_requests_per_server(
                checked.route, checked.service
            )
            * snapshot.servers
        )
        return {
            "workspace": checked.workspace_name,
            "use": workspace_quota.in_progress,
            "share": round(workspace_quota.fair_share(capacity), 1),
        }


def _time_limit(
    route: desired.Route, head: platform.CallerRequestHead
) -> datetime.timedelta:
    return min(head.time_left or route.timeout, route.timeout)
