# SPDX-License-Identifier: Apache-2.0
"""State of an edge process that its decisions are based on."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import backend_choice
from lugcross.edge import backend_loads as backend_loads_lib
from lugcross.edge import backends as backends_lib
from lugcross.edge import checked_request
from lugcross.edge import concurrency_limit as concurrency_limit_lib
from lugcross.edge import connection_pool
from lugcross.edge import crash_tracker as crash_tracker_lib
from lugcross.edge import desired_history as desired_history_lib
from lugcross.edge import eligible_servers as eligible_servers_lib
from lugcross.edge import flagged_servers as flagged_servers_lib
from lugcross.edge import metrics as metrics_lib
from lugcross.edge import probe_allowance as probe_allowance_lib
from lugcross.edge import refusing_servers as refusing_servers_lib
from lugcross.edge import retry_policy
from lugcross.edge import server_backoffs as server_backoffs_lib
from lugcross.edge import server_limits as server_limits_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import workspace_usage
from lugcross import ids
from lugcross import platform
from lugcross import routing

#: Fraction of the retry budget that retries after refusals may use.
_REFUSED_BUDGET_FRACTION = 0.5
#: Fraction of its slots up to which a server that refuses a request is not
#: merely full. Requests that have just started at peers are not known yet.
_MAX_BUSY_SLOT_FRACTION = 0.5


@final
@dataclasses.dataclass(frozen=True)
class _CachedEligibleServers:
    """Eligible servers of a service, and the inputs they were computed from.

    :param listed: usable servers of the service.
    :param filter_sets: the servers of broken groups, those that are backing
        off and the slow ones, of all services.
    :param servers: the result, which may include slow servers.
    """

    listed: tuple[desired.Backend, ...]
    filter_sets: tuple[frozenset[desired.BackendKey], ...]
    servers: eligible_servers_lib.EligibleServers

    def is_current(
        self,
        listed: tuple[desired.Backend, ...],
        filter_sets: tuple[frozenset[desired.BackendKey], ...],
    ) -> bool:
        """Return whether the inputs are the same objects as before."""
        pairs = zip(self.filter_sets, filter_sets, strict=True)
        return self.listed is listed and all(a is b for a, b in pairs)


@final
class EdgeState:
    """Desired state, backend servers, loads, connections and budgets.

    A process has one, which all its components read and update.

    :ivar bounds: operator's limits; replaced when settings are reloaded.
    :ivar on_event_gap: called with each gap between two events of a stream.
    :ivar count_known_peers: returns how many peers may exist.
    :ivar desired: desired state in force; None before the first.
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
        self._rng = rng
        self._own_domain = ids.DomainName(settings.domain)
        self._retry_budgets: dict[
            ids.ServiceName, routing.WindowedRetryBudget
        ] = {}
        self._caller_retry_detectors: dict[
            str, admission.CallerRetryDetector
        ] = {}
        self._concurrency_limits: dict[
            ids.ServiceName, concurrency_limit_lib.ConcurrencyLimit
        ] = {}
        self.on_event_gap: Callable[
            [desired.BackendKey, datetime.timedelta], None
        ] = lambda key, gap: None
        self.count_known_peers: Callable[[], int] = lambda: 0
        self.desired: desired.DesiredState | None = None
        self.desired_history = desired_history_lib.DesiredHistory()
        self.backends = backends_lib.Backends(
            clock, max_drain_time=lambda: self.bounds.max_drain_time
        )
        self.loads = backend_loads_lib.BackendLoads(
            clock, service_of=self.backends.service_of
        )
        self.workspace_usage = workspace_usage.WorkspaceUsage(clock)
        self.workspace_usage.weights = settings.shares.weights
        self.broken_group_servers = flagged_servers_lib.FlaggedServers(clock)
        self.slow_servers = flagged_servers_lib.FlaggedServers(clock)
        self.backoffs = server_backoffs_lib.ServerBackoffs(clock)
        self.limits = server_limits_lib.ServerLimits(clock)
        self.refusing = refusing_servers_lib.RefusingServers(clock)
        self._probe_allowances: dict[
            ids.ServiceName, probe_allowance_lib.ProbeAllowance
        ] = {}
        self.pool = connection_pool.ConnectionPool(clock)
        self.metrics = metrics_lib.EdgeMetrics()
        self.crash_tracker = crash_tracker_lib.CrashTracker(
            clock, software_versions=self.software_versions
        )
        self.crash_tracker.exempt_requests = _exempt_requests(
            settings.suspects
        )
        self._eligible_servers: dict[
            ids.ServiceName, _CachedEligibleServers
        ] = {}

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

    def eligible_servers(
        self, service: ids.ServiceName
    ) -> eligible_servers_lib.EligibleServers:
        """Return the servers of ``service`` that new requests may go to."""
        listed = self.backends.usable(service)
        broken = self.broken_group_servers.servers()
        backing_off = self.backoffs.servers()
        slow = self.slow_servers.servers()
        refusing = self.refusing.servers()
        limited = self.limits.servers()
        filter_sets = (broken, backing_off, refusing, limited, slow)
        cached = self._eligible_servers.get(service)
        if cached and cached.is_current(listed, filter_sets):
            return cached.servers
        unavailable = broken | backing_off | limited
        usable = [one for one in listed if one.key not in unavailable]
        accepting = [one for one in usable if one.key not in refusing]
        usable = eligible_servers_lib.without_slow(accepting or usable, slow)
        found = eligible_servers_lib.split_by_domain(
            usable, own_domain=self._own_domain
        )
        self._eligible_servers[service] = _CachedEligibleServers(
            listed, filter_sets, found
        )
        return found

    def remaining_backoff(
        self, service: ids.ServiceName
    ) -> datetime.timedelta | None:
        """Return the time until the first server's backoff ends.

        :returns: 0 if a server is not backing off; None if the service has no
            servers outside broken rank groups.
        """
        listed = self.backends.usable(service)
        outside_broken_groups = {
            one.key for one in listed
        } - self.broken_group_servers.servers()
        if outside_broken_groups - self.backoffs.servers():
            return datetime.timedelta()
        return self.backoffs.remaining(outside_broken_groups)

    def apply_response_head(
        self, backend: desired.Backend, head: platform.BackendResponseHead
    ) -> None:
        """Apply the state that a server reports in its response headers."""
        key = backend.key
        if head.load is not None:
            self.loads.record_reported_load(key, head.load)
        if head.leaving and not head.wrong_instance:
            self.backends.mark_leaving(key)
        if not head.wrong_instance:
            self._record_limit(backend, head)
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
        servers = self.eligible_servers(service)
        return admission.LoadSnapshot(
            servers=len(servers),
            slots=servers.slots,
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
        priority = route.priority
        if workspace is not None:
            workspace_quota = self.workspace_usage.quota_of(
                service, workspace.name
            )
            if workspace.priority is not None:
                priority = workspace.priority
        state = self.desired
        more_urgent_priorities = (
            state.count_priorities_ahead(service, priority) if state else 0
        )
        return admission.AdmissionRequest(
            workspace_quota=workspace_quota,
            is_caller_retry=is_caller_retry,
            more_urgent_priorities=more_urgent_priorities,
        )

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
        servers = self.eligible_servers(service)
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

    def choose_backend(
        self,
        service: ids.ServiceName,
        tried: Collection[desired.BackendKey],
    ) -> backend_choice.BackendChoice | None:
        """Return the best server for a request, if there is any.

        It is chosen from a random sample. If all servers of the sample have
        been tried or are avoided, it is chosen from all eligible servers.

        :param tried: servers that the request has been sent to.
        """
        servers = self.eligible_servers(service)
        if not tried and self.probe_allowance(service).may_probe():
            probe = self._choose_probe(service)
            if probe is not None:
                return probe
        limited = self._limited_with_room(service)
        found = self._choose_among(
            [*servers.sample(self._rng), *limited], tried
        )
        if found is None or found.best.avoided:
            found = self._choose_among([*servers.all, *limited], tried)
        if not tried and (found is None or found.best.avoided):
            found = self._choose_probe(service) or found
        return found or self._choose_among(self._refusing(service), tried)

    def choose_spare(
        self, service: ids.ServiceName
    ) -> backend_choice.BackendChoice | None:
        """Return a server for a request that the service has no room for.

        This is a server that limits its requests and takes one now, or a
        refusing one that is due for a probe. Neither is counted as capacity.
        """
        limited = [
            one
            for one in self._limited_with_room(service)
            if self.loads.requests_at(one.key) < one.slots
            and not self.loads.is_avoided(one.key)
        ]
        return self._choose_among(limited, ()) or self._choose_probe(service)

    def _choose_probe(
        self, service: ids.ServiceName
    ) -> backend_choice.BackendChoice | None:
        """Return a refusing server that is due for a probe, if there is one.

        It is the one whose last refusal was longest ago.
        """
        due = [
            one
            for one in self._refusing(service)
            if not self.loads.is_avoided(one.key)
        ]
        if not due:
            return None
        oldest = min(
            due, key=lambda one: self.refusing.last_refusal_at(one.key)
        )
        return self._choose_among([oldest], ())

    def _refusing(self, service: ids.ServiceName) -> list[desired.Backend]:
        """Return the refusing servers that may be sent a request now."""
        return [
            one
            for one in self._listed_in(service, self.refusing.servers())
            if self.limits.may_send(one.key)
        ]

    def _limited_with_room(
        self, service: ids.ServiceName
    ) -> list[desired.Backend]:
        """Return the servers whose limit allows a request now."""
        refusing = self.refusing.servers()
        return [
            one
            for one in self._listed_in(service, self.limits.servers())
            if one.key not in refusing and self.limits.may_send(one.key)
        ]

    def _listed_in(
        self,
        service: ids.ServiceName,
        keys: frozenset[desired.BackendKey],
    ) -> list[desired.Backend]:
        """Return the servers of ``service`` among some, if not unavailable."""
        if not keys:
            return []
        unavailable = (
            self.broken_group_servers.servers() | self.backoffs.servers()
        )
        return [
            one
            for one in self.backends.usable(service)
            if one.key in keys and one.key not in unavailable
        ]

    def remaining_limit_wait(
        self, service: ids.ServiceName
    ) -> datetime.timedelta | None:
        """Return the time until a limited server takes a request again.

        :returns: None if a server without a limit could be used, or if the
            service has no server that limits its requests.
        """
        if not self.limits.servers() or self.eligible_servers(service):
            return None
        limited = self._listed_in(service, self.limits.servers())
        return self.limits.remaining(one.key for one in limited)

    def record_refusal(self, backend: desired.Backend) -> None:
        """Record that a server refused a request and named no time."""
        key = backend.key
        self.loads.health(key).record_refusal(self._clock.monotonic())
        if key in self.refusing.servers():
            self.probe_allowance(backend.service).record_failed_probe()
        # The refused request still counts as one of the server's.
        others = self.loads.requests_at(key) - 1
        if others <= backend.slots * _MAX_BUSY_SLOT_FRACTION:
            self.refusing.record_refusal(key)

    def probe_allowance(
        self, service: ids.ServiceName
    ) -> probe_allowance_lib.ProbeAllowance:
        """Return this process's limit on probes of ``service``."""
        return self._probe_allowances.setdefault(
            service, probe_allowance_lib.ProbeAllowance()
        )

    def choose_backend_for_suspect(
        self,
        checked: checked_request.CheckedRequest,
        tried: Collection[desired.BackendKey],
    ) -> backend_choice.BackendChoice | None:
        """Return a server for a crash suspect, if there is any.

        Suspects of the same crashes go to different servers where enough of
        them have a free slot.

        :param tried: servers that the request has been sent to.
        """
        servers = [
            *self.eligible_servers(checked.service).all,
            *self._limited_with_room(checked.service),
        ]
        best_choice = self._choose_among(servers, tried)
        free = {
            one.key: one
            for one, requests in zip(
                servers,
                self.loads.requests_at_each(one.key for one in servers),
                strict=True,
            )
            if requests < one.slots
            and one.key not in tried
            and not self.loads.is_avoided(one.key)
        }
        key = self.crash_tracker.assign_server(checked, list(free))
        if best_choice is None or key is None:
            return best_choice
        return backend_choice.BackendChoice(
            backend_choice.Candidate(
                backend=free[key], requests=self.loads.requests_at(key)
            ),
            best_choice.least_busy_requests,
        )

    def _choose_among(
        self,
        servers: Sequence[desired.Backend],
        tried: Collection[desired.BackendKey],
    ) -> backend_choice.BackendChoice | None:
        request_counts = self.loads.requests_at_each(
            one.key for one in servers
        )
        candidates = [
            backend_choice.Candidate(
                backend=one,
                requests=count,
                avoided=self.loads.is_avoided(one.key),
                on_probation=self.loads.on_probation(one.key),
                probing_after_backoff=self.loads.is_probing_after_backoff(
                    one.key
                ),
            )
            for one, count in zip(servers, request_counts, strict=True)
        ]
        return backend_choice.choose_backend(
            candidates, own_domain=self._own_domain, tried=tried, rng=self._rng
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


def _exempt_requests(
    cfg: settings_lib.Suspects,
) -> frozenset[crash_suspects.Fingerprint]:
    """Return the fingerprints of requests that the operator lets run."""
    return frozenset(
        crash_suspects.Fingerprint(bytes.fromhex(one)) for one in cfg.cleared
    )
