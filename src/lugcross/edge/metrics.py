# SPDX-License-Identifier: Apache-2.0
"""Counters and histograms of one process, as text for collectors."""

from collections.abc import Callable
from collections.abc import Mapping
import datetime
import heapq
import http
from typing import final

import prometheus_client

from lugcross import http1
from lugcross import ids

#: Bounds of the latency histograms, in seconds: around the times within
#: which answers count as prompt, and up to the longest deadlines.
_LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
#: Workspaces of a service that are told by name, so that figures stay small
#: however many there are; all others are told as one.
_MAX_NAMED_WORKSPACES = 20
#: Where the list of suspect requests is.
SUSPECTS_PATH = b"/suspects"
#: Stands for all workspaces that are not told by name.
_OTHER_WORKSPACES = "(others)"


@final
class EdgeMetrics:
    """What a process tells of itself in numbers."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "lugcross_requests",
            "Requests by their final status.",
            ("service", "status"),
            registry=self._registry,
        )
        self._attempts = prometheus_client.Counter(
            "lugcross_attempts",
            "Attempts at backend servers by how they ended.",
            ("service", "event"),
            registry=self._registry,
        )
        self._suspects_refused = prometheus_client.Counter(
            "lugcross_suspects_refused",
            "Requests refused since servers have ended under them.",
            ("service",),
            registry=self._registry,
        )
        self._store_copies = prometheus_client.Counter(
            "lugcross_store_copies",
            "Returns of the store from an older copy.",
            registry=self._registry,
        )
        self._rests_asked = prometheus_client.Counter(
            "lugcross_rests_asked",
            "Answers by which backend servers asked for rest.",
            ("service",),
            registry=self._registry,
        )
        self._rests_refused = prometheus_client.Counter(
            "lugcross_rests_refused",
            "Requests refused since all backend servers have asked for rest.",
            ("service",),
            registry=self._registry,
        )
        self._first_byte = prometheus_client.Histogram(
            "lugcross_first_byte_seconds",
            "Time from a request's head to the first of its answer.",
            ("service",),
            buckets=_LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._workspace_refused = prometheus_client.Counter(
            "lugcross_workspace_refused",
            "Requests that got no answer of a backend server.",
            ("service", "workspace"),
            registry=self._registry,
        )
        self._workspace_running = prometheus_client.Gauge(
            "lugcross_workspace_running",
            "Requests in progress at all processes, as far as known here.",
            ("service", "workspace"),
            registry=self._registry,
        )
        self._named_workspaces: set[tuple[str, str]] = set()
        self._gauges = {
            name: prometheus_client.Gauge(
                f"lugcross_{name}", text, registry=self._registry
            )
            for name, text in (
                ("desired_version", "Version of the desired state in force."),
                ("backends", "Backend servers that are known."),
                ("backends_age_seconds", "Age of the list of them."),
                ("store_lost", "1 while the store does not answer."),
                ("peers", "Peers that were heard lately."),
                ("connections", "Callers' connections that are open."),
                ("suspects", "Requests under which servers have ended."),
            )
        }

    def count_request(
        self, service: str, status: int, first_byte: datetime.timedelta | None
    ) -> None:
        """Count one request; ``first_byte`` is none if nothing was given."""
        self._requests.labels(service, str(status)).inc()
        if first_byte is not None:
            self._first_byte.labels(service).observe(
                first_byte.total_seconds()
            )

    def count_attempt(self, service: str, event: str) -> None:
        """Count one attempt at a backend server."""
        self._attempts.labels(service, event).inc()

    def count_backoff_asked(self, service: str) -> None:
        """Count an answer by which a backend server asked for rest."""
        self._rests_asked.labels(service).inc()

    def count_store_copy(self) -> None:
        """Count a return of the store from an older copy."""
        self._store_copies.inc()

    def count_backoff_refused(self, service: str) -> None:
        """Count a request that is refused since all servers rest."""
        self._rests_refused.labels(service).inc()

    def count_suspect_refused(self, service: str) -> None:
        """Count a request that is refused since servers ended under it."""
        self._suspects_refused.labels(service).inc()

    def count_workspace_refused(self, service: str, workspace: str) -> None:
        """Count a request that ends without a backend server's answer.

        The first workspaces that are refused are told by name.
        """
        named = self._named_workspaces
        if (service, workspace) not in named:
            if len(named) < _MAX_NAMED_WORKSPACES:
                named.add((service, workspace))
            else:
                workspace = _OTHER_WORKSPACES
        self._workspace_refused.labels(service, workspace).inc()

    def set_workspace_running(
        self,
        uses: Mapping[ids.ServiceName, Mapping[ids.WorkspaceName, int]],
    ) -> None:
        """Set what each service's heaviest workspaces have in progress."""
        self._workspace_running.clear()
        for service, counts in uses.items():
            named = heapq.nlargest(
                _MAX_NAMED_WORKSPACES, counts, key=counts.__getitem__
            )
            for space in named:
                self._workspace_running.labels(service, space).set(
                    counts[space]
                )
            rest = sum(counts.values()) - sum(counts[one] for one in named)
            if rest:
                self._workspace_running.labels(service, _OTHER_WORKSPACES).set(
                    rest
                )

    def set_gauges(self, **values: float) -> None:
        """Set gauges to what holds now."""
        for name, value in values.items():
            self._gauges[name].set(value)

    def text(self) -> bytes:
        """Return all figures in Prometheus's text format."""
        return prometheus_client.generate_latest(self._registry)


async def serve(
    metrics: EdgeMetrics,
    response: http1.ResponseWriter,
    req: http1.Request,
    *,
    suspects_json: Callable[[], bytes],
) -> None:
    """Answer a collector, or an operator.

    :param suspects_json: tells which requests are suspect.
    """
    if req.target.partition(b"?")[0] == SUSPECTS_PATH:
        await response.write_head(
            http.HTTPStatus.OK,
            [(b"Content-Type", b"application/json")],
            suspects_json(),
            whole=True,
        )
        return
    headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
    await response.write_head(
        http.HTTPStatus.OK, headers, metrics.text(), whole=True
    )
