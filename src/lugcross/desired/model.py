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


class Kind(enum.Enum):
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
class Share:
    """Part of a route's requests that one service gets."""

    service: ids.ServiceName
    weight: float


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Which requests go to which service, and how.

    :param prefix: path that the requests begin with; ends with a slash.
    :param shares: services, weighted; at least one.
    :param timeout: longest time that a request may be held.
    :param target: time within which an answer (a stream's first event)
        is worth all that it can be.
    :param max_gap: longest pause between two events of a stream that is
        still in time.
    :param attempts: backend servers that one request may be sent to.
    :param priority: 0 is served first.
    :param public: whether requests need no key.
    :param resumable: whether a stream may go on at another replica.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout: datetime.timedelta
    target: datetime.timedelta
    max_gap: datetime.timedelta | None = None
    attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether running a request twice does no harm."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.SAFE


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Engine:
    """How a model engine works, as its operator tells it.

    :param slots: requests that it writes for at once.
    :param kv_tokens: tokens that its memory holds.
    :param stride: token steps of one pass.
    :param step_ms: time of a token step with nothing to do.
    :param per_seq_ms: further time for each request that writes.
    :param context_ms: further time for each 1,000 tokens of context.
    :param read_per_s: prompt tokens read in a second.
    :param report_lag: age of what its reports tell from another host.
    :param experts: limits of its expert maps; none if it has no experts.
    """

    slots: int
    kv_tokens: int
    stride: int = 1
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    context_ms: float = 0.0
    read_per_s: float = 0.0
    report_lag: datetime.timedelta = datetime.timedelta()
    experts: experts_lib.ExpertLimits | None = None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """Something requests are routed to.

    :param health_path: path of its health check.
    :param connections: connections that one replica takes, from all
        callers together; 0 sets no limit.
    """

    name: ids.ServiceName
    health_path: str = "/health"
    connections: int = 0
    engine: Engine | None = None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds on what a caller may send.

    :param head_bytes: size of a request's head.
    :param body_bytes: size of a request's body.
    :param head_time: time from the first byte of a head to its last.
    :param idle_time: time that a connection may rest.
    """

    head_bytes: int
    body_bytes: int
    head_time: datetime.timedelta
    idle_time: datetime.timedelta


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """Customer's space; its priority goes before the route's, if set."""

    name: ids.WorkspaceName
    priority: int | None = None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Desired:
    """One version of the desired state.

    :param routes: by host; each list has the longest prefix first.
    :param keys: workspace of each key; empty where none are used.
    :param keyed: whether requests need a key at all.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[ids.ServiceName, Service]
    limits: Limits
    keys: Mapping[str, Workspace]
    keyed: bool

    def workspaces(self) -> set[ids.WorkspaceName]:
        """Return the names of all workspaces that have a key."""
        return {space.name for space in self.keys.values()}

    def behind(self, service: ids.ServiceName, priority: int) -> int:
        """Return how many priorities of a service's routes go first."""
        return bisect.bisect_left(self._priorities.get(service, ()), priority)

    @functools.cached_property
    def _priorities(self) -> Mapping[ids.ServiceName, tuple[int, ...]]:
        """Priorities of each service's routes, the most urgent first."""
        found: dict[ids.ServiceName, set[int]] = {}
        for routes in self.routes.values():
            for route in routes:
                for share in route.shares:
                    of_service = found.setdefault(share.service, set())
                    of_service.add(route.priority)
        return {name: tuple(sorted(some)) for name, some in found.items()}

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that ``path`` has."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
