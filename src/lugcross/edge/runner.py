# SPDX-License-Identifier: Apache-2.0
"""Carries each request: checks it, has it sent, tells of refusals."""

from collections.abc import Callable
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import plan as plan_lib
from lugcross.edge import refusal
from lugcross.edge import sending
from lugcross.edge import world as world_lib
from lugcross import http1
from lugcross import ids
from lugcross import platform

_MS = datetime.timedelta(milliseconds=1)


@final
class Runner:
    """Serves requests from what the process believes of the world.

    :param closed: whether new requests can no longer be finished here.
    :param changed: called when requests in progress have changed.
    """

    def __init__(
        self,
        world: world_lib.World,
        *,
        closed: Callable[[], bool],
        changed: Callable[[], None],
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._world = world
        self._closed = closed
        self._changed = changed
        self._clock = clock
        self._rng = rng

    async def handle(
        self, exchange: http1.ResponseWriter, req: http1.Request
    ) -> None:
        """Answer one request."""
        head = platform.parse_caller_request_head(req.headers)
        plan: plan_lib.Plan | None = None
        try:
            plan = self._plan(req, head)
            await sending.Sending(
                self._world,
                self._clock,
                exchange,
                plan,
                self._changed,
                self._rng,
            ).run()
        except refusal.RefusedError as exc:
            self._log_refusal(head, plan, exc)
            if exchange.head_written:
                return
            await exchange.write_head(
                exc.status, exc.headers(), exc.body(), whole=True
            )

    def _plan(
        self, req: http1.Request, head: platform.CallerRequestHead
    ) -> plan_lib.Plan:
        if self._closed():
            raise refusal.not_ready("this process is being stopped")
        state = self._world.desired
        if state is None:
            raise refusal.not_ready("no desired state is known yet")
        route = self._route(state, req)
        workspace = self._workspace(state, route, head)
        wait = min(head.time_left or route.timeout, route.timeout)
        return plan_lib.Plan(
            req=req,
            head=head,
            route=route,
            service=self._service(route),
            workspace=workspace,
            deadline=req.received_at + wait,
            version=state.version,
        )

    def _route(
        self, state: desired.DesiredState, req: http1.Request
    ) -> desired.Route:
        hosts = [value for name, value in req.headers if name == b"host"]
        host = hosts[0].decode("latin-1") if hosts else ""
        path = req.target.decode("latin-1").partition("?")[0]
        route = state.find_route(host, path) or state.find_route(
            host.rpartition(":")[0], path
        )
        if route is None:
            raise refusal.no_route(host, path)
        return route

    def _workspace(
        self,
        state: desired.DesiredState,
        route: desired.Route,
        head: platform.CallerRequestHead,
    ) -> desired.Workspace | None:
        if not state.keys_required or route.public:
            return None
        workspace = state.workspaces_by_key.get(head.api_key)
        if workspace is None:
            raise refusal.bad_key()
        return workspace

    def _service(self, route: desired.Route) -> ids.ServiceName:
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights = [share.weight for share in route.weighted_services]
        return self._rng.choices(route.weighted_services, weights)[0].service

    def _log_refusal(
        self,
        head: platform.CallerRequestHead,
        plan: plan_lib.Plan | None,
        exc: refusal.RefusedError,
    ) -> None:
        service = plan.service if plan else ""
        self._world.figures.answered(service, exc.status, None)
        if plan is not None and plan.space is not None:
            self._world.figures.refused(service, plan.space)
        inputs: dict[str, object] = {}
        if plan is not None:
            picture = self._world.picture(plan.service)
            inputs = {
                "service": plan.service,
                "route": plan.route.name,
                "version": plan.version,
                "servers": picture.servers,
                "resting": len(self._world.rests.servers()),
                "busy": picture.busy,
                "unseen": round(picture.unseen, 1),
                "full": round(self._world.full(plan.route, plan.service), 2),
                **self._share(plan, picture),
                "list_age_s": round(
                    self._world.backends.age().total_seconds(), 3
                ),
            }
        wait = exc.retry_after
        logging.info(
            "refused",
            extra={
                "request": head.attempt_id,
                "status": exc.status.value,
                "why": exc.what,
                "same": plan.told_fingerprint if plan else None,
                "retry_after_ms": None if wait is None else round(wait / _MS),
                **inputs,
            },
        )

    def _share(
        self, plan: plan_lib.Plan, picture: admission.Picture
    ) -> dict[str, object]:
        """Return for a log line what the request's workspace may have."""
        if plan.space is None:
            return {}
        claim = self._world.uses.claim(plan.service, plan.space)
        places = self._world.full(plan.route, plan.service) * picture.servers
        return {
            "workspace": plan.space,
            "use": claim.use,
            "share": round(claim.share(places), 1),
        }
