# SPDX-License-Identifier: Apache-2.0
"""State of an edge process that its decisions are based on."""

import collections
from collections.abc import Callable
from collections.abc import Collection
import datetime
import functools
import math
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import concurrency_limit as concurrency_limit_lib
from lugcross.edge import connection_pool
from lugcross.edge import crash_tracker as crash_tracker_lib
from lugcross.edge import desired_history as desired_history_lib
from lugcross.edge import metrics as metrics_lib
from lugcross.edge import retry_policy
from lugcross.edge import server_selection as server_selection_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import workspace_usage
from lugcross import held_bytes
from lugcross import ids
from lugcross import platform
from lugcross import rate_limits
from lugcross import routing
from lugcross import urgency

#: Fraction of the retry budget that retries after refusals may use.
_REFUSED_BUDGET_FRACTION = 0.5


@final
class EdgeState:
    """Desired state, backend servers, loads, connections and budgets.

    A process has one, which all its components read and update.

    :ivar bounds: operator's limits; replaced when settings are reloaded.
    :ivar on_event_gap: called with each gap between two events of a stream.
    :ivar count_known_peers: returns how many peers may exist.
    :ivar overload_shares: decides, by service, which part of the capacity is
        open to each urgency.
    :ivar desired: desired state in force; None before the first.
    :ivar selection: what is known of the backend servers, and the choice among
        them.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self.bounds = settings.bounds
        self._clock = clock
        self._retry_budgets: dict[
            ids.ServiceName, routing.WindowedRetryBudget
        ] = {}
        self._caller_retry_detectors: dict[
            str, admission.CallerRetryDetector
        ] = {}
        self.overload_shares: collections.defaultdict[
            ids.ServiceName, urgency.OverloadShares
        ] = collections.defaultdict(lambda: urgency.OverloadShares(clock))
        self._concurrency_limits: dict[
            ids.ServiceName, concurrency_limit_lib.ConcurrencyLimit
        ] = {}
        self.on_event_gap: Callable[
            [desired.BackendKey, datetime.timedelta], None
        ] = lambda key, gap: None
        self.count_known_peers: Callable[[], int] = lambda: 0
        self.desired: desired.DesiredState | None = None
        self.desired_history = desired_history_lib.DesiredHistory()
        self.selection = server_selection_lib.ServerSelection(
            clock=clock,
            rng=rng,
            own_domain=ids.DomainName(settings.domain),
            max_drain_time=lambda: self.bounds.max_drain_time,
        )
        self.backends = self.selection.backends
        self.loads = self.selection.loads
        self.broken_group_servers = self.selection.broken_group_servers
        self.slow_servers = self.selection.slow_servers
        self.backoffs = self.selection.backoffs
        self.limits = self.selection.limits
        self._cold_capacity = rate_limits.ColdCapacity(clock, self.limits)
        self.cold_recorder = rate_limits.ColdRecorder(
            self.limits,
            service_of=self.backends.service_of,
            services=lambda: self.desired.services if self.desired else {},
        )
        self._apply_cold_bounds()
        self.backends.on_entry = self.cold_recorder.record_entry
        self.refusing = self.selection.refusing
        self.evacuations = self.selection.evacuations
        self.workspace_usage = workspace_usage.WorkspaceUsage(clock)
        self.workspace_usage.weights = settings.shares.weights
        self.reachability = self.selection.reachability
        self.reachability.own_address = settings.listen.peers
        self.held_bytes = held_bytes.HeldBytes(
            held_bytes.limit_bytes(settings.memory_mb)
        )
        self.pool = connection_pool.ConnectionPool(
            clock,
            self.reachability,
            bounded=self.held_bytes.limit is not None,
        )
        self.metrics = metrics_lib.EdgeMetrics()
        self.crash_tracker = crash_tracker_lib.CrashTracker(
            clock, software_versions=self.software_versions
        )
        self.crash_tracker.exempt_requests = _exempt_requests(
            settings.suspects
        )

    def software_versions(self, service: ids.ServiceName) -> frozenset[str]:
        """Return the software versions that servers of ``service`` run."""
        return frozenset(
            one.software_version for one in self.backends.usable(service)
        )

    @property
    def version(self) -> int:
        """Version of the desired state in force; 0 if there is none."""
        return self.desired.version if self.desired else 0

    def adopt(self, state: desired.DesiredState, record: bytes) -> bool:
        """Put a desired state in force if it is newer; return whether it is.

        :param record: its encoded form, kept for peers.
        """
        current = self.desired
        if current is not None and state.version <= current.version:
            return False
        self.desired = state
        self.desired_history.add(record)
        self.limits.cold.invalidate()
        self.workspace_usage.set_known_workspaces(
            state.services, state.workspace_names()
        )
        logging.info(
            "desired state",
            extra={
                "version": state.version,
                "before": current.version if current else None,
            },
        )
        return True

    def apply_settings(self, settings: settings_lib.Settings) -> None:
        """Apply the bounds, shares and exemptions of reloaded settings."""
        bounds = settings.bounds
        self.bounds = bounds
        self._apply_cold_bounds()
        self.workspace_usage.weights = settings.shares.weights
        self.crash_tracker.exempt_requests = _exempt_requests(
            settings.suspects
        )
        for budget in self._retry_budgets.values():
            budget.configure(
                ratio=bounds.repeat_ratio,
                window_s=bounds.repeat_window_s,
                slack=bounds.repeat_slack,
            )

    def engine_spec(
        self, service: ids.ServiceName
    ) -> desired.EngineSpec | None:
        """Return the specification of the service's engines, if any."""
        if self.desired is None:
            return None
        found = self.desired.services.get(service)
        return found.engine if found else None

    def has_rank_groups(self, service: ids.ServiceName) -> bool:
        """Return whether the servers of a service are ranks of groups."""
        engine = self.engine_spec(service)
        return engine is not None and engine.experts is not None

    def report_broken_groups(
        self, node: str, servers: Collection[desired.BackendKey]
    ) -> None:
        """Replace the servers of broken groups that a process reports."""
        self.broken_group_servers.report(node, servers)
        self.crash_tracker.note_broken_groups(frozenset(servers))

    def apply_response_head(
        self, backend: desired.Backend, head: platform.BackendResponseHead
    ) -> None:
        """Apply the state that a server reports in its response headers."""
        key = backend.key
        self.reachability.record_connected(backend.domain, backend.address)
        if head.load is not None:
            self.loads.record_reported_load(key, head.load)
        if head.leaving and not head.wrong_instance:
            self.backends.mark_leaving(key)
        if not head.wrong_instance:
            self._record_limit(backend, head)
            self.cold_recorder.record_response(key, head.cold_time)
        if head.retry_after is None:
            return
        self.metrics.count_backoff_asked(backend.service)
        logging.info(
            "backend server asked for backoff",
            extra={
                "request": head.attempt_id,
                "backend": key,
                "status": head.status,
                "rest_s": head.retry_after.total_seconds(),
                "rested": self.backoffs.is_active(key),
            },
        )
        self.backoffs.start(key, head.retry_after)
        self.loads.health(key).record_backoff(
            self._clock.monotonic() + head.retry_after
        )

    def _apply_cold_bounds(self) -> None:
        self.limits.cold.configure(
            overshoot=self.bounds.cold_overshoot, slack=self.bounds.cold_slack
        )

    def _record_limit(
        self, backend: desired.Backend, head: platform.BackendResponseHead
    ) -> None:
        was_limited = backend.key in self.limits.servers()
        self.limits.record_response(backend.key, head.rate_limit)
        is_limited = backend.key in self.limits.servers()
        if is_limited != was_limited:
            logging.info(
                "backend server limits its requests"
                if is_limited
                else "backend server no longer limits its requests",
                extra={
                    "request": head.attempt_id,
                    "backend": backend.key,
                    "per_s": head.rate_limit.per_s,
                },
            )

    def load_snapshot(
        self, service: ids.ServiceName, *, least_busy_requests: int = 0
    ) -> admission.LoadSnapshot:
        """Return this process's estimate of the load of ``service``.

        :param least_busy_requests: requests at the least busy server that was
            compared for the request; 0 if none was.
        """
        servers = self.selection.eligible_servers(service)
        closed = self._cold_capacity.closed(
            service, servers.all, self.loads.requests_at_each
        )
        return admission.LoadSnapshot(
            servers=len(servers) - closed.servers,
            slots=servers.slots - math.ceil(closed.slots),
            requests=self.loads.total_requests(servers.keys),
            least_busy_requests=least_busy_requests,
            unreported_requests=self.loads.unreported_requests(service),
        )

    def max_requests_per_server(
        self, route: desired.Route, service: ids.ServiceName
    ) -> float:
        """Return how many requests one server may have at once."""
        engine = self.engine_spec(service)
        if engine is not None:
            slow = self.slow_servers.servers()
            return self.concurrency_limit(service).max_requests_per_engine(
                engine,
                route.max_event_gap,
                has_slow_rank=any(
                    self.backends.service_of(key) == service for key in slow
                ),
            )
        slots = [one.slots for one in self.backends.usable(service)]
        return admission.MAX_REQUESTS_PER_PLAIN_SLOT * min(slots, default=1)

    def admission_request(
        self,
        route: desired.Route,
        service: ids.ServiceName,
        workspace: desired.Workspace | None,
        *,
        is_caller_retry: bool = False,
    ) -> admission.AdmissionRequest:
        """Return what admission looks at in a request to ``service``.

        :param workspace: None if the route needs no API key.
        :param is_caller_retry: whether the caller retries a refused request.
        """
        workspace_quota = None
        if workspace is not None:
            workspace_quota = self.workspace_usage.quota_of(
                service, workspace.name
            )
        return admission.AdmissionRequest(
            workspace_quota=workspace_quota,
            is_caller_retry=is_caller_retry,
            capacity_fraction=functools.partial(
                self.overload_shares[service].capacity_fraction,
                desired.request_urgency(route, workspace),
            ),
        )

    def urgency_number(
        self, service: ids.ServiceName, of: urgency.Urgency
    ) -> int | None:
        """Return the number of an urgency at a service, 0 the most urgent.

        :returns: None if all requests of the service have the same urgency.
        """
        in_use = self.desired.urgencies(service) if self.desired else ()
        return urgency.request_priority(of, in_use)

    def request_priority(
        self, service: ids.ServiceName, of: urgency.Urgency
    ) -> int | None:
        """Return the priority that an engine is told, 0 for the most urgent.

        :returns: None if the servers of the service are not engines, or all
            of its requests have the same urgency.
        """
        if self.engine_spec(service) is None:
            return None
        return self.urgency_number(service, of)

    def concurrency_limit(
        self, service: ids.ServiceName
    ) -> concurrency_limit_lib.ConcurrencyLimit:
        """Return the concurrency limit of the service's engines."""
        return self._concurrency_limits.setdefault(
            service, concurrency_limit_lib.ConcurrencyLimit()
        )

    def caller_retry_detector(
        self, route: str
    ) -> admission.CallerRetryDetector:
        """Return the detector of callers' retries on a route.

        :param route: name of the route.
        """
        return self._caller_retry_detectors.setdefault(
            route, admission.CallerRetryDetector()
        )

    def observe_event_gap(
        self,
        backend: desired.Backend,
        gap: datetime.timedelta,
        max_event_gap: datetime.timedelta,
    ) -> None:
        """Record the gap between two events of a stream.

        :param max_event_gap: longest gap that the stream's route allows.
        """
        self.on_event_gap(backend.key, gap)
        service = backend.service
        engine = self.engine_spec(service)
        if engine is None:
            return
        servers = self.selection.eligible_servers(service)
        if not servers:
            return
        self.concurrency_limit(service).observe_event_gap(
            gap,
            self._clock.monotonic(),
            engine=engine,
            mean_requests=self.loads.total_requests(servers.keys)
            / len(servers),
            max_event_gap=max_event_gap,
        )

    def retry_budget(
        self, service: ids.ServiceName
    ) -> routing.WindowedRetryBudget:
        """Return this process's retry budget for ``service``."""
        found = self._retry_budgets.get(service)
        if found is None:
            bounds = self.bounds
            found = routing.WindowedRetryBudget(
                ratio=bounds.repeat_ratio,
                window_s=bounds.repeat_window_s,
                slack=bounds.repeat_slack,
            )
            self._retry_budgets[service] = found
        return found

    def spend_retry(
        self, service: ids.ServiceName, outcome: retry_policy.AttemptOutcome
    ) -> bool:
        """Take one retry from the budget; return whether there was one.

        Part of the budget is reserved for broken attempts. Refusals often
        come from all servers at once, and their callers can retry, while the
        response of a broken attempt is lost.
        """
        refused = outcome is retry_policy.AttemptOutcome.NOT_RUN
        return self.retry_budget(service).try_spend(
            self._clock.monotonic(),
            budget_fraction=_REFUSED_BUDGET_FRACTION if refused else 1.0,
            peers=self.count_known_peers(),
        )

    def drop_outdated(self) -> None:
        """Drop expired suspicions, connections, and state of gone servers."""
        self.crash_tracker.drop_expired()
        known = {one.key for one in self.backends.all()}
        self.pool.close_unusable(known)
        self.loads.retain_only(known)
        self.limits.retain_only(known)
        self.reachability.retain_only(self.backends.addresses_by_domain())
        self.cold_recorder.log_changes()


def _exempt_requests(
    cfg: settings_lib.Suspects,
) -> frozenset[crash_suspects.Fingerprint]:
    """Return the fingerprints of requests that the operator lets run."""
    return frozenset(
        crash_suspects.Fingerprint(bytes.fromhex(one)) for one in cfg.cleared
    )
