# SPDX-License-Identifier: Apache-2.0
"""Desired state: a version of routes, services, workspaces and limits."""

from collections.abc import Mapping
import dataclasses
import datetime
import enum
import functools
import itertools
from typing import final

from lugcross import experts as experts_lib
from lugcross import ids
from lugcross import urgency as urgency_lib


class RouteKind(enum.Enum):
    """How the requests of a route may be retried.

    ``SAFE``: a request may run more than once. ``UNSAFE``: it may not.
    ``STREAM``: the response is a stream of events, which may continue on
    another backend server only if the route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@final
@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service with its share of a route's requests, relative to others."""

    service: ids.ServiceName
    weight: float


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Maps requests of a host and path prefix to services.

    :param host: value of the requests' Host header.
    :param path_prefix: prefix of the requests' paths; ends with a slash.
    :param weighted_services: services with weights; at least one.
    :param timeout: maximum time from a request to its complete response.
    :param latency_target: time within which the response (of a stream, its
        first event) should begin.
    :param max_event_gap: maximum time between two events of a stream; None
        sets no limit.
    :param max_attempts: maximum number of backend servers that a request is
        sent to.
    :param priority: lower numbers are served first; 0 is the most urgent.
    :param public: whether requests need no API key.
    :param resumable: whether a stream may continue on another backend server.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    weighted_services: tuple[WeightedService, ...]
    timeout: datetime.timedelta
    latency_target: datetime.timedelta
    max_event_gap: datetime.timedelta | None = None
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may safely run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """Performance model of a model engine, as its operator configures it.

    :param slots: requests that it decodes concurrently.
    :param kv_cache_tokens: capacity of its KV cache in tokens.
    :param steps_per_pass: decode steps per pass.
    :param step_ms: duration of a decode step without any load.
    :param ms_per_sequence: additional step time per decoding request.
    :param ms_per_1k_context_tokens: additional step time per 1,000 tokens of
        context.
    :param prefill_tokens_per_s: prompt tokens processed per second.
    :param report_lag: age of the data that its ranks report.
    :param experts: limits of its expert maps; None if it has no experts.
    """

    slots: int
    kv_cache_tokens: int
    steps_per_pass: int = 1
    step_ms: float = 0.0
    ms_per_sequence: float = 0.0
    ms_per_1k_context_tokens: float = 0.0
    prefill_tokens_per_s: float = 0.0
    report_lag: datetime.timedelta = datetime.timedelta()
    experts: experts_lib.ExpertLimits | None = None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class ColdLimit:
    """What a backend server can handle for some time after its start.

    :param duration: longest time for which it is cold.
    :param requests_per_s: requests a second that it can handle then.
    """

    duration: datetime.timedelta
    requests_per_s: float


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service that requests are routed to.

    :param health_path: path of its health check.
    :param max_connections: connections that one of its backend servers accepts
        from all clients together; 0 sets no limit.
    :param engine: performance model; None if it runs no model engine.
    :param cold_limit: limit of its cold backend servers; None if there is
        none.
    """

    name: ids.ServiceName
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineSpec | None = None
    cold_limit: ColdLimit | None = None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestLimits:
    """Limits on callers' requests.

    :param max_head_bytes: maximum size of a request head.
    :param max_body_bytes: maximum size of a request body.
    :param head_timeout: maximum time from the first to the last byte of a
        request head.
    :param idle_timeout: maximum time without data, between two requests or
        within a request body.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer's workspace.

    :param priority: goes before the route's priority; None counts as that.
    """

    name: ids.WorkspaceName
    priority: int | None = None


def request_urgency(
    route: Route, workspace: Workspace | None
) -> urgency_lib.Urgency:
    """Return the urgency of the requests of a workspace to a route.

    :param workspace: None if the route needs no API key.
    """
    return urgency_lib.Urgency.of(
        workspace_priority=workspace.priority if workspace else None,
        route_priority=route.priority,
    )


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class DesiredState:
    """One version of the desired state.

    :param routes: routes by host, those with the longest prefix first.
    :param workspaces_by_key: workspaces by API key; empty if none are used.
    :param keys_required: whether requests to non-public routes need a key.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[ids.ServiceName, Service]
    limits: RequestLimits
    workspaces_by_key: Mapping[str, Workspace]
    keys_required: bool

    def workspace_names(self) -> set[ids.WorkspaceName]:
        """Return the names of all workspaces that have an API key."""
        return {space.name for space in self.workspaces_by_key.values()}

    def urgencies(
        self, service: ids.ServiceName
    ) -> tuple[urgency_lib.Urgency, ...]:
        """Return the urgencies in use at a service, most urgent first."""
        return self._urgencies_by_service.get(service, ())

    @functools.cached_property
    def _urgencies_by_service(
        self,
    ) -> Mapping[ids.ServiceName, tuple[urgency_lib.Urgency, ...]]:
        """Urgencies of each service's routes and the workspaces using them."""
        of_workspaces = {
            space.priority for space in self.workspaces_by_key.values()
        }
        found: dict[ids.ServiceName, set[urgency_lib.Urgency]] = {}
        for route in itertools.chain.from_iterable(self.routes.values()):
            has_workspace = self.keys_required and not route.public
            of_route = {
                urgency_lib.Urgency.of(
                    workspace_priority=one, route_priority=route.priority
                )
                for one in (of_workspaces if has_workspace else (None,))
            }
            for share in route.weighted_services:
                found.setdefault(share.service, set()).update(of_route)
        return {name: tuple(sorted(some)) for name, some in found.items()}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, if any."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
