# SPDX-License-Identifier: Apache-2.0
"""How busy each backend server is, from what several sources tell."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import fleet_counts as fleet_counts_lib
from lugcross.edge import unreported_requests as unreported_requests_lib
from lugcross import ids
from lugcross import platform
from lugcross import routing

#: Age at which what a peer told of its requests counts no more: a few of
#: its messages were lost, or it is gone and so are its requests.
_PEER_REPORT_MAX_AGE = datetime.timedelta(seconds=1.5)
#: Age at which a load told in an answer counts no more; about the time
#: in which a server's requests are replaced by others.
_REPORTED_LOAD_MAX_AGE = datetime.timedelta(milliseconds=500)
#: Mean age of the news of peers nearby: half of the time between two
#: datagrams, and the way.
_SAME_DOMAIN_REPORT_AGE = datetime.timedelta(milliseconds=30)
#: The same of peers in other failure domains.
_OTHER_DOMAIN_REPORT_AGE = datetime.timedelta(milliseconds=105)


@final
@dataclasses.dataclass
class _ReportedLoad:
    """Requests that an answer told of its server."""

    requests: int
    at: clock_lib.Instant


@final
class BackendLoads:
    """Requests in progress at each backend server, as far as known.

    :param service_of: service of a backend server; none if not known.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        *,
        service_of: Callable[
            [desired.BackendKey], ids.ServiceName | None
        ] = lambda key: None,
    ) -> None:
        self._clock = clock
        self._service_of = service_of
        self._running: fleet_counts_lib.FleetCounts[desired.BackendKey] = (
            fleet_counts_lib.FleetCounts(clock, max_age=_PEER_REPORT_MAX_AGE)
        )
        self._unreported = unreported_requests_lib.UnreportedRequests(
            same_domain_age=_SAME_DOMAIN_REPORT_AGE,
            other_domain_age=_OTHER_DOMAIN_REPORT_AGE,
        )
        #: By backend server; whoever told longest ago comes first.
        self._reported: collections.OrderedDict[
            desired.BackendKey, _ReportedLoad
        ] = collections.OrderedDict()
        self._health: dict[desired.BackendKey, routing.BackendHealth] = {}

    def record_started(self, key: desired.BackendKey) -> None:
        """Note that a request was sent from here."""
        self._running.add(key, 1)
        self.health(key).record_sent(self._clock.monotonic())

    def record_ended(self, key: desired.BackendKey) -> None:
        """Note that a request sent from here is over."""
        self._running.add(key, -1)

    def record_reported_load(
        self, key: desired.BackendKey, load: platform.ServerLoad
    ) -> None:
        """Take over the load that an answer told."""
        self._reported[key] = _ReportedLoad(
            load.running + load.waiting, self._clock.monotonic()
        )
        self._reported.move_to_end(key)

    def record_peer_requests(
        self,
        node: str,
        running: Mapping[desired.BackendKey, int],
        *,
        same_domain: bool = True,
    ) -> None:
        """Take over what a peer has in progress.

        :param same_domain: whether it is of this process's failure domain.
        """
        before = self._running.set_peer_counts(node, running)
        if before is None:
            # What it has had in progress for long is no burst.
            return
        now = self._clock.monotonic()
        for key, count in running.items():
            more = count - before.get(key, 0)
            service = self._service_of(key) if more > 0 else None
            if service is not None:
                self._unreported.record_started(
                    service, more, now, same_domain=same_domain
                )

    def unreported_requests(self, service: ids.ServiceName) -> float:
        """Return how many requests peers have sent and not told yet."""
        return self._unreported.estimate(service, self._clock.monotonic())

    def own_requests(self) -> dict[desired.BackendKey, int]:
        """Return what is in progress from here."""
        return self._running.own()

    def requests_at(self, key: desired.BackendKey) -> int:
        """Return how many requests ``key`` probably has."""
        return self.requests_at_each([key])[0]

    def requests_at_each(
        self, keys: Iterable[desired.BackendKey]
    ) -> list[int]:
        """Return how many requests each of several servers has."""
        running = self._running.sums()
        reported = self._fresh_reports()
        return [
            max(running.get(key, 0), reported[key].requests)
            if key in reported
            else running.get(key, 0)
            for key in keys
        ]

    def total_requests(self, keys: Set[desired.BackendKey]) -> int:
        """Return how many requests several servers probably have."""
        running = self._running.sums()
        total = self._running.sum_of_all(keys)
        for key, reported in self._fresh_reports().items():
            if key in keys:
                total += max(0, reported.requests - running.get(key, 0))
        return total

    def _fresh_reports(self) -> Mapping[desired.BackendKey, _ReportedLoad]:
        limit = self._clock.monotonic() - _REPORTED_LOAD_MAX_AGE
        while self._reported:
            key = next(iter(self._reported))
            if self._reported[key].at > limit:
                break
            del self._reported[key]
        return self._reported

    def health(self, key: desired.BackendKey) -> routing.BackendHealth:
        """Return what was seen of ``key`` from here."""
        return self._health.setdefault(key, routing.BackendHealth())

    def is_ejected(self, key: desired.BackendKey) -> bool:
        """Tell whether requests should go elsewhere."""
        health = self._health.get(key)
        return health is not None and health.is_ejected(
            self._clock.monotonic()
        )

    def on_probation(self, key: desired.BackendKey) -> bool:
        """Tell whether it was left alone and has answered nothing since."""
        health = self._health.get(key)
        return health is not None and health.on_probation

    def is_probing_after_backoff(self, key: desired.BackendKey) -> bool:
        """Tell whether one request is finding out whether it has rested."""
        health = self._health.get(key)
        return health is not None and health.is_probing_after_backoff()

    def retain_only(self, known: set[desired.BackendKey]) -> None:
        """Forget servers that are gone."""
        for table in (self._reported, self._health):
            for key in table.keys() - known:
                del table[key]
