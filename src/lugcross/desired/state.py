# SPDX-License-Identifier: Apache-2.0
"""Desired state: routes, services, workspaces and limits of one version."""

import bisect
from collections.abc import Mapping
import dataclasses
import datetime
import enum
import functools
from typing import final

from lugcross import experts as experts_lib
from lugcross import ids


class RouteKind(enum.Enum):
    """What may be done with the requests of a route.

    ``SAFE`` ones may run more than once, ``UNSAFE`` ones may not;
    ``STREAM`` ones answer with events, and may go on at another backend
    server only if the route says so.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@final
@dataclasses.dataclass(frozen=True)
class WeightedService:
    """Part of a route's requests that one service gets."""

    service: ids.ServiceName
    weight: float


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Which requests go to which service, and how.

    :param path_prefix: path that the requests begin with; ends with a slash.
    :param weighted_services: services, weighted; at least one.
    :param timeout: longest time that a request may be held.
    :param latency_target: time within which an answer (a stream's first event)
        is worth all that it can be.
    :param max_event_gap: longest pause between two events of a stream that is
        still in time.
    :param max_attempts: backend servers that one request may be sent to.
    :param priority: 0 is served first.
    :param public: whether requests need no key.
    :param resumable: whether a stream may go on at another replica.
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
        """Whether running a request twice does no harm."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """How a model engine works, as its operator tells it.

    :param slots: requests that it writes for at once.
    :param kv_cache_tokens: tokens that its memory holds.
    :param steps_per_pass: token steps of one pass.
    :param step_ms: time of a token step with nothing to do.
    :param ms_per_sequence: further time for each request that writes.
    :param ms_per_1k_context_tokens: further time for each 1,000 tokens of
        context.
    :param prefill_tokens_per_s: prompt tokens read in a second.
    :param report_lag: age of what its reports tell from another host.
    :param experts: limits of its expert maps; none if it has no experts.
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
class Service:
    """Something requests are routed to.

    :param health_path: path of its health check.
    :param max_connections: connections that one replica takes, from all
        callers together; 0 sets no limit.
    """

    name: ids.ServiceName
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineSpec | None = None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestLimits:
    """Bounds on what a caller may send.

    :param max_head_bytes: size of a request's head.
    :param max_body_bytes: size of a request's body.
    :param head_timeout: time from the first byte of a head to its last.
    :param idle_timeout: time that a connection may rest.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """Customer's space; its priority goes before the route's, if set."""

    name: ids.WorkspaceName
    priority: int | None = None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class DesiredState:
    """One version of the desired state.

    :param routes: by host; each list has the longest prefix first.
    :param workspaces_by_key: workspace of each key; empty where none are used.
    :param keys_required: whether requests need a key at all.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[ids.ServiceName, Service]
    limits: RequestLimits
    workspaces_by_key: Mapping[str, Workspace]
    keys_required: bool

    def workspace_names(self) -> set[ids.WorkspaceName]:
        """Return the names of all workspaces that have a key."""
        return {space.name for space in self.workspaces_by_key.values()}

    def count_priorities_ahead(
        self, service: ids.ServiceName, priority: int
    ) -> int:
        """Return how many priorities of a service's routes go first."""
        return bisect.bisect_left(
            self._priorities_by_service.get(service, ()), priority
        )

    @functools.cached_property
    def _priorities_by_service(
        self,
    ) -> Mapping[ids.ServiceName, tuple[int, ...]]:
        """Priorities of each service's routes, the most urgent first."""
        found: dict[ids.ServiceName, set[int]] = {}
        for routes in self.routes.values():
            for route in routes:
                for share in route.weighted_services:
                    of_service = found.setdefault(share.service, set())
                    of_service.add(route.priority)
        return {name: tuple(sorted(some)) for name, some in found.items()}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that ``path`` has."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
