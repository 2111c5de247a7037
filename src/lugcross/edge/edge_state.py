# SPDX-License-Identifier: Apache-2.0
"""What one process knows, in one place for those who decide by it."""

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
from lugcross.edge import avoided_servers as avoided_servers_lib
from lugcross.edge import backend_choice
from lugcross.edge import backend_loads as backend_loads_lib
from lugcross.edge import backends as backends_lib
from lugcross.edge import checked_request
from lugcross.edge import concurrency_limit as concurrency_limit_lib
from lugcross.edge import connection_pool
from lugcross.edge import crash_tracker as crash_tracker_lib
from lugcross.edge import desired_history as desired_history_lib
from lugcross.edge import eligible_servers
from lugcross.edge import metrics as metrics_lib
from lugcross.edge import retry_policy
from lugcross.edge import server_backoffs as server_backoffs_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import workspace_usage
from lugcross import ids
from lugcross import platform
from lugcross import routing

#: Part of the repeat budget that refused requests may use.
_REFUSED_BUDGET_FRACTION = 0.5


@final
@dataclasses.dataclass(frozen=True)
class _CachedServing:
    """The servers of a service, and what they were put together from.

    :param excluded: sets of servers that were left out.
    """

    listed: tuple[desired.Backend, ...]
    excluded: tuple[frozenset[desired.BackendKey], ...]
    serving: eligible_servers.EligibleServers

    def is_current(
        self,
        listed: tuple[desired.Backend, ...],
        excluded: tuple[frozenset[desired.BackendKey], ...],
    ) -> bool:
        """Tell whether nothing of this has changed."""
        pairs = zip(self.excluded, excluded, strict=True)
        return self.listed is listed and all(a is b for a, b in pairs)


@final
class EdgeState:
    """Desired state, backend servers, loads, connections and budgets."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        #: What the operators allow now; settings may be read anew.
        self.bounds = settings.bounds
        self._clock = clock
        self._rng = rng
        self._own_domain = ids.DomainName(settings.domain)
        self._retry_budgets: dict[
            ids.ServiceName, routing.WindowedRetryBudget
        ] = {}
        self._retry_detectors: dict[str, admission.RetryDetector] = {}
        self._concurrency_limits: dict[
            ids.ServiceName, concurrency_limit_lib.ConcurrencyLimit
        ] = {}
        #: Called with each pause between two events of a stream.
        self.on_pause: Callable[
            [desired.BackendKey, datetime.timedelta], None
        ] = lambda key, pause: None
        #: How many peers may exist, set by whoever listens to them.
        self.count_known_peers: Callable[[], int] = lambda: 0
        self.desired: desired.DesiredState | None = None
        self.records = desired_history_lib.DesiredHistory()
        self.backends = backends_lib.Backends(
            clock, drain=lambda: self.bounds.drain
        )
        self.loads = backend_loads_lib.BackendLoads(
            clock, service_of=self.backends.service_of
        )
        self.workspace_usage = workspace_usage.WorkspaceUsage(clock)
        self.workspace_usage.weights = settings.shares.weights
        self.broken_group_servers = avoided_servers_lib.AvoidedServers(clock)
        self.slow_servers = avoided_servers_lib.AvoidedServers(clock)
        self.backoffs = server_backoffs_lib.ServerBackoffs(clock)
        self.pool = connection_pool.ConnectionPool(clock)
        self.metrics = metrics_lib.EdgeMetrics()
        self.crash_tracker = crash_tracker_lib.CrashTracker(
            clock, software_versions=self.software_versions
        )
        self.crash_tracker.exempt_requests = _cleared_requests(
            settings.suspects
        )
        self._serving: dict[ids.ServiceName, _CachedServing] = {}

    def software_versions(self, service: ids.ServiceName) -> frozenset[str]:
        """Return the versions that servers of ``service`` run now."""
        return frozenset(
            one.software_version for one in self.backends.usable(service)
        )

    @property
    def version(self) -> int:
        """Version of the desired state in force; 0 without one."""
        return self.desired.version if self.desired else 0

    def adopt(self, state: desired.DesiredState, record: bytes) -> bool:
        """Put a desired state in force, unless it is not newer."""
        held = self.desired
        if held is not None and state.version <= held.version:
            return False
        self.desired = state
        self.records.add(record)
        self.workspace_usage.set_names(state.services, state.workspace_names())
        logging.info(
            "desired state",
            extra={
                "version": state.version,
                "before": held.version if held else None,
            },
        )
        return True

    def apply_settings(self, settings: settings_lib.Settings) -> None:
        """Go by other bounds, shares and exemptions from now on."""
        bounds = settings.bounds
        self.bounds = bounds
        self.workspace_usage.weights = settings.shares.weights
        self.crash_tracker.exempt_requests = _cleared_requests(
            settings.suspects
        )
        for budget in self._retry_budgets.values():
            budget.configure(
                ratio=bounds.repeat_ratio,
                window_s=bounds.repeat_window_s,
                slack=bounds.repeat_slack,
            )

    def engine(self, service: ids.ServiceName) -> desired.EngineSpec | None:
        """Return how the engines of ``service`` work, if it has any."""
        if self.desired is None:
            return None
        found = self.desired.services.get(service)
        return found.engine if found else None

    def serving(
        self, service: ids.ServiceName
    ) -> eligible_servers.EligibleServers:
        """Return the servers of ``service`` that new requests may go to."""
        listed = self.backends.usable(service)
        broken = self.broken_group_servers.servers()
        resting = self.backoffs.servers()
        slow = self.slow_servers.servers()
        held = self._serving.get(service)
        if held and held.is_current(listed, (broken, resting, slow)):
            return held.serving
        out = broken | resting
        usable = [one for one in listed if one.key not in out]
        usable = eligible_servers.without_slow(usable, slow)
        found = eligible_servers.split_by_domain(
            usable, own_domain=self._own_domain
        )
        self._serving[service] = _CachedServing(
            listed, (broken, resting, slow), found
        )
        return found

    def remaining_backoff(
        self, service: ids.ServiceName
    ) -> datetime.timedelta | None:
        """Return how long nobody serves ``service`` because servers rest.

        :returns: 0 if one does not rest, none if there is none or all that
            there are belong to broken groups.
        """
        listed = self.backends.usable(service)
        whole = {
            one.key for one in listed
        } - self.broken_group_servers.servers()
        if whole - self.backoffs.servers():
            return datetime.timedelta()
        return self.backoffs.time_left(whole)

    def apply_answer_head(
        self, backend: desired.Backend, head: platform.BackendResponseHead
    ) -> None:
        """Take over what a server says of itself beside its answer."""
        key = backend.key
        if head.load is not None:
            self.loads.record_reported_load(key, head.load)
        if head.leaving and not head.wrong_instance:
            self.backends.note_leaving_answer(key)
        if head.retry_after is None:
            return
        self.metrics.count_backoff_asked(backend.service)
        logging.info(
            "backend server asks for rest",
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

    def load_snapshot(
        self, service: ids.ServiceName, *, min_busy: int = 0
    ) -> admission.LoadSnapshot:
        """Return the load of ``service`` as it looks from here.

        :param min_busy: requests of the least busy server looked at.
        """
        servers = self.serving(service)
        return admission.LoadSnapshot(
            servers=len(servers),
            slots=servers.slots,
            busy=self.loads.total_requests(servers.keys),
            min_busy=min_busy,
            unreported=self.loads.unreported_requests(service),
        )

    def max_requests_per_server(
        self, route: desired.Route, service: ids.ServiceName
    ) -> float:
        """Return how many requests one server of ``service`` may have."""
        engine = self.engine(service)
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

    def requester(
        self,
        route: desired.Route,
        service: ids.ServiceName,
        workspace: desired.Workspace | None,
        *,
        is_retry: bool = False,
    ) -> admission.Requester:
        """Return who asks for a place of ``service``.

        :param is_retry: whether the request was refused before.
        """
        claim = None
        priority = route.priority
        if workspace is not None:
            claim = self.workspace_usage.claim(service, workspace.name)
            if workspace.priority is not None:
                priority = workspace.priority
        state = self.desired
        more_urgent_priorities = (
            state.count_priorities_ahead(service, priority) if state else 0
        )
        return admission.Requester(
            claim=claim,
            is_retry=is_retry,
            more_urgent_priorities=more_urgent_priorities,
        )

    def concurrency_limit(
        self, service: ids.ServiceName
    ) -> concurrency_limit_lib.ConcurrencyLimit:
        """Return what the pauses of the streams of ``service`` taught."""
        return self._concurrency_limits.setdefault(
            service, concurrency_limit_lib.ConcurrencyLimit()
        )

    def retry_detector(self, route: str) -> admission.RetryDetector:
        """Return what tells requests of ``route`` that come back."""
        return self._retry_detectors.setdefault(
            route, admission.RetryDetector()
        )

    def observe_pause(
        self,
        backend: desired.Backend,
        pause: datetime.timedelta,
        max_pause: datetime.timedelta,
    ) -> None:
        """Learn from a pause between two events of a stream."""
        self.on_pause(backend.key, pause)
        service = backend.service
        engine = self.engine(service)
        if engine is None:
            return
        servers = self.serving(service)
        if not servers:
            return
        self.concurrency_limit(service).observe_pause(
            pause,
            self._clock.monotonic(),
            engine=engine,
            mean_requests=self.loads.total_requests(servers.keys)
            / len(servers),
            max_pause=max_pause,
        )

    def choose_backend(
        self,
        service: ids.ServiceName,
        tried: Collection[desired.BackendKey],
    ) -> backend_choice.BackendChoice | None:
        """Return where a request of ``service`` should go.

        All servers are looked at only where those drawn are all tried or
        ejected.
        """
        servers = self.serving(service)
        found = self._choose_among(servers.sample(self._rng), tried)
        if found is None or found.best.ejected:
            return self._choose_among(servers.all, tried)
        return found

    def choose_backend_for_suspect(
        self,
        checked: checked_request.CheckedRequest,
        tried: Collection[desired.BackendKey],
    ) -> backend_choice.BackendChoice | None:
        """Return where a suspect should go, apart from other suspects."""
        servers = self.serving(checked.service).all
        usual = self._choose_among(servers, tried)
        free = {
            one.key: one
            for one, busy in zip(
                servers,
                self.loads.requests_at_each(one.key for one in servers),
                strict=True,
            )
            if busy < one.slots
            and one.key not in tried
            and not self.loads.is_ejected(one.key)
        }
        key = self.crash_tracker.assign_server(checked, list(free))
        if usual is None or key is None:
            return usual
        return backend_choice.BackendChoice(
            backend_choice.Candidate(
                backend=free[key], requests=self.loads.requests_at(key)
            ),
            usual.min_requests,
        )

    def _choose_among(
        self,
        servers: Sequence[desired.Backend],
        tried: Collection[desired.BackendKey],
    ) -> backend_choice.BackendChoice | None:
        busy = self.loads.requests_at_each(one.key for one in servers)
        candidates = [
            backend_choice.Candidate(
                backend=one,
                requests=count,
                ejected=self.loads.is_ejected(one.key),
                on_probation=self.loads.on_probation(one.key),
                probing_after_backoff=self.loads.is_probing_after_backoff(
                    one.key
                ),
            )
            for one, count in zip(servers, busy, strict=True)
        ]
        return backend_choice.choose_backend(
            candidates, own_domain=self._own_domain, tried=tried, rng=self._rng
        )

    def retry_budget(
        self, service: ids.ServiceName
    ) -> routing.WindowedRetryBudget:
        """Return this process's part of the repeats of ``service``."""
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
        self, service: ids.ServiceName, event: retry_policy.AttemptOutcome
    ) -> bool:
        """Take one repeat of ``service`` from the budget, if it has one.

        A refusal often comes from all servers at once, and its caller can
        come back; a broken answer is lost, so that more is kept for it.
        """
        refused = event is retry_policy.AttemptOutcome.NOT_RUN
        return self.retry_budget(service).try_spend(
            self._clock.monotonic(),
            budget_fraction=_REFUSED_BUDGET_FRACTION if refused else 1.0,
            peers=self.count_known_peers(),
        )

    def forget_gone_backends(self) -> None:
        """Forget what belongs to backend servers that are gone."""
        self.crash_tracker.drop_expired()
        known = {one.key for one in self.backends.all()}
        self.pool.close_unusable(known)
        self.loads.retain_only(known)


def _cleared_requests(
    cfg: settings_lib.Suspects,
) -> frozenset[crash_suspects.Fingerprint]:
    """Return the requests that the operators have cleared."""
    return frozenset(
        crash_suspects.Fingerprint(bytes.fromhex(one)) for one in cfg.cleared
    )
