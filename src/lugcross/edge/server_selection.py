# SPDX-License-Identifier: Apache-2.0
"""What a process knows of the backend servers, and the choice among them."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import datetime
import random
from typing import Any
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import backend_choice
from lugcross.edge import backend_loads as backend_loads_lib
from lugcross.edge import backends as backends_lib
from lugcross.edge import checked_request
from lugcross.edge import crash_tracker as crash_tracker_lib
from lugcross.edge import eligible_servers as eligible_servers_lib
from lugcross.edge import flagged_servers as flagged_servers_lib
from lugcross.edge import probe_allowance as probe_allowance_lib
from lugcross.edge import refusing_servers as refusing_servers_lib
from lugcross.edge import server_backoffs as server_backoffs_lib
from lugcross import evacuation
from lugcross import ids
from lugcross import rate_limits
from lugcross import reachability as reachability_lib

#: Fraction of its slots up to which a server that refuses a request is not
#: merely full. Requests that have just started at peers are not known yet.
_MAX_BUSY_SLOT_FRACTION = 0.5


@final
@dataclasses.dataclass(frozen=True)
class _CachedEligibleServers:
    """Eligible servers of a service, and the inputs they were computed from.

    :param listed: usable servers of the service.
    :param filter_sets: the servers of broken groups, and those that are
        backing off, refusing, limited or slow, of all services; the
        evacuated and the unreachable domains, those used again in part, and
        cold servers.
    :param servers: the result, which may include slow servers.
    """

    listed: tuple[desired.Backend, ...]
    filter_sets: tuple[frozenset[Any], ...]
    servers: eligible_servers_lib.EligibleServers

    def is_current(
        self,
        listed: tuple[desired.Backend, ...],
        filter_sets: tuple[frozenset[Any], ...],
    ) -> bool:
        """Return whether the inputs are the same objects as before."""
        pairs = zip(self.filter_sets, filter_sets, strict=True)
        return self.listed is listed and all(a is b for a, b in pairs)


@final
class ServerSelection:
    """Chooses the backend server for a request.

    :param max_drain_time: returns the time after which a leaving server must
        get no new requests.
    :ivar refusing: servers that refuse whatever they are sent.
    :ivar limits: limits that servers state for all processes together, and
        cold servers.
    :ivar evacuations: failure domains whose servers get no requests.
    :ivar reachability: failure domains that this process cannot reach.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
        own_domain: ids.DomainName,
        max_drain_time: Callable[[], datetime.timedelta],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._own_domain = own_domain
        self.backends = backends_lib.Backends(
            clock, max_drain_time=max_drain_time
        )
        self.loads = backend_loads_lib.BackendLoads(
            clock, service_of=self.backends.service_of
        )
        self.broken_group_servers = flagged_servers_lib.FlaggedServers(clock)
        self.slow_servers = flagged_servers_lib.FlaggedServers(clock)
        self.backoffs = server_backoffs_lib.ServerBackoffs(clock)
        self.limits = rate_limits.ServerLimits(clock)
        self.refusing = refusing_servers_lib.RefusingServers(clock)
        self.evacuations = evacuation.Evacuations(clock)
        self.reachability = reachability_lib.DomainReachability(clock)
        self.reachability.servers_by_domain = self.backends.addresses_by_domain
        self._probe_allowances: dict[
            ids.ServiceName, probe_allowance_lib.ProbeAllowance
        ] = {}
        self._eligible_servers: dict[
            ids.ServiceName, _CachedEligibleServers
        ] = {}

    def eligible_servers(
        self, service: ids.ServiceName
    ) -> eligible_servers_lib.EligibleServers:
        """Return the servers of ``service`` that any new request may go to.

        Servers that limit their requests are left out, since they take some
        only; so are refusing ones as long as there are others.
        """
        listed = self.backends.usable(service)
        broken = self.broken_group_servers.servers()
        backing_off = self.backoffs.servers()
        slow = self.slow_servers.servers()
        refusing = self.refusing.servers()
        limited = self.limits.servers()
        evacuated = self.evacuations.domains()
        unreachable = self.reachability.unreachable()
        returning = self.reachability.returning()
        cold = self.limits.cold_servers()
        filter_sets = (
            broken,
            backing_off,
            refusing,
            limited,
            slow,
            evacuated,
            unreachable,
            returning,
            cold,
        )
        cached = self._eligible_servers.get(service)
        if cached and cached.is_current(listed, filter_sets):
            return cached.servers
        unavailable = broken | backing_off | limited
        usable = [
            one
            for one in listed
            if one.key not in unavailable
            and one.domain not in evacuated
            and one.domain not in unreachable
        ]
        if returning:
            usable = eligible_servers_lib.without_unused(
                usable, self.reachability, cold
            )
        accepting = [one for one in usable if one.key not in refusing]
        usable = eligible_servers_lib.without_slow(accepting or usable, slow)
        found = eligible_servers_lib.split_by_domain(
            usable, own_domain=self._own_domain
        )
        self._eligible_servers[service] = _CachedEligibleServers(
            listed, filter_sets, found
        )
        return found

    def has_reachable_server(self, service: ids.ServiceName) -> bool:
        """Return whether a server of the service is in a reachable domain."""
        unreachable = self.reachability.unreachable()
        return any(
            one.domain not in unreachable
            for one in self.backends.usable(service)
        )

    def remaining_backoff(
        self, service: ids.ServiceName
    ) -> datetime.timedelta | None:
        """Return the time until the first server's backoff ends.

        :returns: 0 if a server is not backing off; None if the service has no
            reachable servers outside broken rank groups and evacuated
            domains.
        """
        unreachable = self.reachability.unreachable()
        outside_broken_groups = {
            one.key
            for one in self._outside_evacuated_domains(service)
            if one.domain not in unreachable
        } - self.broken_group_servers.servers()
        if outside_broken_groups - self.backoffs.servers():
            return datetime.timedelta()
        return self.backoffs.remaining(outside_broken_groups)

    def choose(
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
        sample = self._without_waiting_cold(
            eligible_servers_lib.without_returning(
                servers.sample(self._rng),
                self.reachability,
                self._rng,
                self.limits.cold_servers(),
            )
        )
        found = self._choose_among([*sample, *limited], tried)
        if found is None or found.best.avoided:
            everyone = self._without_waiting_cold(servers.all)
            found = self._choose_among([*everyone, *limited], tried)
        if not tried and (found is None or found.best.avoided):
            found = self._choose_probe(service) or found
        return found or self._choose_among(self._refusing(service), tried)

    def _without_waiting_cold(
        self, servers: Sequence[desired.Backend]
    ) -> Sequence[desired.Backend]:
        """Return the servers without cold ones that take no request now."""
        cold = self.limits.cold_servers()
        if not cold:
            return servers
        return [
            one
            for one in servers
            if one.key not in cold or self.limits.may_send(one.key)
        ]

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
        unreachable = self.reachability.unreachable()
        return [
            one
            for one in self._outside_evacuated_domains(service)
            if one.key in keys
            and one.key not in unavailable
            and one.domain not in unreachable
        ]

    def _outside_evacuated_domains(
        self, service: ids.ServiceName
    ) -> list[desired.Backend]:
        evacuated = self.evacuations.domains()
        return [
            one
            for one in self.backends.usable(service)
            if one.domain not in evacuated
        ]

    def is_evacuated(self, backend: desired.Backend) -> bool:
        """Return whether a server must get no requests, as an operator asked.

        Queries and orders to engines go on, so that its rank group can run.
        """
        return backend.domain in self.evacuations.domains()

    def all_evacuated(self, service: ids.ServiceName) -> bool:
        """Return whether all servers of a service are in evacuated domains.

        :returns: False if the service has no servers.
        """
        return bool(
            self.backends.usable(service)
        ) and not self._outside_evacuated_domains(service)

    def remaining_limit_wait(
        self, service: ids.ServiceName
    ) -> datetime.timedelta | None:
        """Return the time until a limited server takes a request again.

        :returns: None if a server without a limit could be used, or if the
            service has no server that limits its requests.
        """
        limited_keys = self.limits.servers() | self.limits.cold_servers()
        if not limited_keys or self._without_waiting_cold(
            self.eligible_servers(service).all
        ):
            return None
        limited = self._listed_in(service, limited_keys)
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

    def choose_for_suspect(
        self,
        checked: checked_request.CheckedRequest,
        crash_tracker: crash_tracker_lib.CrashTracker,
        tried: Collection[desired.BackendKey],
        *,
        response_started: bool,
    ) -> backend_choice.BackendChoice | None:
        """Return a server for a crash suspect, if there is any.

        Suspects of the same crashes go to different servers where enough of
        them have a free slot, all in the rank groups of these crashes.

        :param crash_tracker: knows the other suspects.
        :param tried: servers that the request has been sent to.
        :param response_started: whether the caller has part of the response.
        """
        allowed = crash_tracker.allowed_servers(
            checked, response_started=response_started
        )
        servers = [
            one
            for one in (
                *self._without_waiting_cold(
                    self.eligible_servers(checked.service).all
                ),
                *self._limited_with_room(checked.service),
            )
            if allowed is None or one.key in allowed
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
        key = crash_tracker.assign_server(checked, list(free))
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
