# SPDX-License-Identifier: Apache-2.0
"""Prometheus metrics of one edge process, and the handler that serves them."""

from collections.abc import Callable
from collections.abc import Mapping
import datetime
import enum
import heapq
import http
from typing import final

import prometheus_client

from lugcross import connection_limits
from lugcross import http1
from lugcross import ids

#: Bounds of the latency histogram: dense around the times within which answers
#: count as prompt, and up to the longest deadlines.
_LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
#: Limit on workspaces with a label of their own, which bounds the number of
#: time series.
_MAX_NAMED_WORKSPACES = 20
#: Path of the list of crash suspects, on the metrics listener.
SUSPECTS_PATH = b"/suspects"
#: Path of the list of evacuated failure domains, on the metrics listener.
EVACUATIONS_PATH = b"/evacuations"
#: Label of all workspaces without a label of their own.
_OTHER_WORKSPACES = "(others)"


@final
class EdgeMetrics:
    """Prometheus metrics of one edge process, in a registry of their own."""

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
        self._no_retries = prometheus_client.Counter(
            "lugcross_no_retries",
            "Attempts without an answer that were not followed by another.",
            ("service", "why"),
            registry=self._registry,
        )
        self._suspects_refused = prometheus_client.Counter(
            "lugcross_suspects_refused",
            "Requests refused since servers have ended under them.",
            ("service",),
            registry=self._registry,
        )
        self._closed_unread = prometheus_client.Counter(
            "lugcross_connections_closed_unread",
            "New connections closed before anything was read.",
            ("reason",),
            registry=self._registry,
        )
        self._closed = prometheus_client.Counter(
            "lugcross_edge_connections_closed",
            "Connections closed for what their client does, or refused.",
            ("listener", "reason"),
            registry=self._registry,
        )
        self._store_restores = prometheus_client.Counter(
            "lugcross_store_copies",
            "Returns of the store from an older copy.",
            registry=self._registry,
        )
        self._backoffs_asked = prometheus_client.Counter(
            "lugcross_rests_asked",
            "Answers by which backend servers asked for rest.",
            ("service",),
            registry=self._registry,
        )
        self._backoffs_refused = prometheus_client.Counter(
            "lugcross_rests_refused",
            "Requests refused since all backend servers have asked for rest.",
            ("service",),
            registry=self._registry,
        )
        self._cold_refused = prometheus_client.Counter(
            "lugcross_edge_cold_refused",
            "Requests refused since no cold backend server could take one.",
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
        self._urgency_requests = prometheus_client.Counter(
            "lugcross_edge_urgency_requests",
            "Requests by urgency, 0 the most urgent, and admission.",
            ("service", "urgency", "outcome"),
            registry=self._registry,
        )
        self._urgency_first_byte = prometheus_client.Histogram(
            "lugcross_edge_urgency_first_byte_seconds",
            "Time from a request's head to the first of its answer.",
            ("service", "urgency"),
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
        self._records_behind = prometheus_client.Gauge(
            "lugcross_edge_topic_records_behind",
            "Records that a topic of the store has beyond those read here.",
            ("topic",),
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
                (
                    "edge_held_bytes",
                    "Bytes held for callers and servers that read slowly.",
                ),
                ("edge_held_bytes_limit", "Bound of them; 0 for none."),
                ("suspects", "Requests under which servers have ended."),
                (
                    "edge_evacuated_domains",
                    "Failure domains that are evacuated.",
                ),
                (
                    "edge_unreachable_domains",
                    "Failure domains that can't be reached from here.",
                ),
                ("edge_cold_servers", "Backend servers that are cold."),
            )
        }

    def count_request(
        self, service: str, status: int, first_byte: datetime.timedelta | None
    ) -> None:
        """Count one request by its final status.

        :param first_byte: time from the request's head to the first byte of
            the response; None if nothing was sent.
        """
        self._requests.labels(service, str(status)).inc()
        if first_byte is not None:
            self._first_byte.labels(service).observe(
                first_byte.total_seconds()
            )

    def count_admission(
        self, service: str, urgency: int | None, *, admitted: bool
    ) -> None:
        """Count a request that was admitted or refused by its urgency.

        :param urgency: 0 for the most urgent; None, which is not counted, if
            all requests of the service have the same.
        """
        if urgency is not None:
            outcome = "admitted" if admitted else "refused"
            self._urgency_requests.labels(service, str(urgency), outcome).inc()

    def observe_urgency_first_byte(
        self,
        service: str,
        urgency: int | None,
        first_byte: datetime.timedelta | None,
    ) -> None:
        """Record the time to the first byte, or event, by urgency."""
        if urgency is not None and first_byte is not None:
            self._urgency_first_byte.labels(service, str(urgency)).observe(
                first_byte.total_seconds()
            )

    def count_attempt(self, service: str, event: str) -> None:
        """Count one attempt at a backend server by its outcome."""
        self._attempts.labels(service, event).inc()

    def count_no_retry(self, service: str, why: str) -> None:
        """Count an attempt after which the request was not sent again."""
        self._no_retries.labels(service, why).inc()

    def count_backoff_asked(self, service: str) -> None:
        """Count an answer by which a backend server asked for a backoff."""
        self._backoffs_asked.labels(service).inc()

    def set_records_behind(self, topic: str, count: int) -> None:
        """Set how many records of a topic were left out by the last read."""
        self._records_behind.labels(topic).set(count)

    def count_store_restore(self) -> None:
        """Count a return of the store from an older copy."""
        self._store_restores.inc()

    def count_backoff_refused(self, service: str) -> None:
        """Count a request refused because all servers are backing off."""
        self._backoffs_refused.labels(service).inc()

    def count_cold_refused(self, service: str) -> None:
        """Count a request refused because the servers are cold."""
        self._cold_refused.labels(service).inc()

    def count_closed(self, listener: str, reason: enum.Enum) -> None:
        """Count a connection closed for what its client does, or refused."""
        self._closed.labels(listener, reason.value).inc()
        if isinstance(reason, connection_limits.Refusal):
            self._closed_unread.labels(reason.value).inc()

    def count_suspect_refused(self, service: str) -> None:
        """Count a request refused because it is a crash suspect."""
        self._suspects_refused.labels(service).inc()

    def count_workspace_refused(self, service: str, workspace: str) -> None:
        """Count a request that ends without a backend server's answer.

        The first workspaces counted get a label of their own; the requests of
        all others are counted together.
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
        """Set the requests in progress of each service's workspaces.

        The workspaces with the most requests get a label of their own; the
        others of the service are added up.

        :param uses: requests in progress by service and workspace.
        """
        self._workspace_running.clear()
        for service, counts in uses.items():
            named = heapq.nlargest(
                _MAX_NAMED_WORKSPACES, counts, key=counts.__getitem__
            )
            for space in named:
                self._workspace_running.labels(service, space).set(
                    counts[space]
                )
            others = sum(counts.values()) - sum(counts[one] for one in named)
            if others:
                self._workspace_running.labels(service, _OTHER_WORKSPACES).set(
                    others
                )

    def set_gauges(self, **values: float) -> None:
        """Set gauges by name, without the prefix ``lugcross_``."""
        for name, value in values.items():
            self._gauges[name].set(value)

    def text(self) -> bytes:
        """Return all metrics in Prometheus's text format."""
        return prometheus_client.generate_latest(self._registry)


async def serve(
    metrics: EdgeMetrics,
    response: http1.ResponseWriter,
    req: http1.Request,
    *,
    json_lists: Mapping[bytes, Callable[[], bytes]],
) -> None:
    """Serve the metrics, or a list for operators.

    :param json_lists: functions by path that return a list as JSON.
    """
    json_list = json_lists.get(req.target.partition(b"?")[0])
    if json_list is not None:
        await response.write_head(
            http.HTTPStatus.OK,
            [(b"Content-Type", b"application/json")],
            json_list(),
            complete=True,
        )
        return
    headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
    await response.write_head(
        http.HTTPStatus.OK, headers, metrics.text(), complete=True
    )
