# SPDX-License-Identifier: Apache-2.0
"""Load of each backend server, combined from several sources."""

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

#: Age after which a peer's report is discarded: several of its heartbeats
#: were lost, or the peer is gone and its requests with it.
_PEER_REPORT_MAX_AGE = datetime.timedelta(seconds=1.5)
#: Age after which the load that a server reported in a response is discarded:
#: about the time in which its requests are replaced by others.
_REPORTED_LOAD_MAX_AGE = datetime.timedelta(milliseconds=500)
#: Mean age of reports from peers in the same failure domain: half of the
#: heartbeat interval plus the network latency.
_SAME_DOMAIN_REPORT_AGE = datetime.timedelta(milliseconds=30)
#: The same for peers in other failure domains.
_OTHER_DOMAIN_REPORT_AGE = datetime.timedelta(milliseconds=105)


@final
@dataclasses.dataclass
class _ReportedLoad:
    """Number of requests that a server reported in a response."""

    requests: int
    at: clock_lib.Instant


@final
class BackendLoads:
    """Estimated requests in progress on each backend server, and its health.

    Combines this process's own requests, the counts reported by peers and the
    loads that servers report in their responses.

    :param service_of: returns the service of a backend server, or None if it
        is not known.
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
        #: Ordered by time of the report, oldest first.
        self._reported: collections.OrderedDict[
            desired.BackendKey, _ReportedLoad
        ] = collections.OrderedDict()
        self._health: dict[desired.BackendKey, routing.BackendHealth] = {}

    def record_started(self, key: desired.BackendKey) -> None:
        """Record that this process has sent a request to a server."""
        self._running.add(key, 1)
        self.health(key).record_sent(self._clock.monotonic())

    def record_ended(self, key: desired.BackendKey) -> None:
        """Record that a request sent by this process has ended."""
        self._running.add(key, -1)

    def record_reported_load(
        self, key: desired.BackendKey, load: platform.ServerLoad
    ) -> None:
        """Record the load that a server reported in a response."""
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
        """Replace the counts of requests that a peer has in progress.

        :param node: the peer.
        :param running: its requests in progress, by backend server.
        :param same_domain: whether it is in this process's failure domain.
        """
        before = self._running.set_peer_counts(node, running)
        if before is None:
            # First report, or the first after a silence: these requests may
            # have been running for long and must not count as a burst.
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
        """Return the estimated requests that peers have not reported yet."""
        return self._unreported.estimate(service, self._clock.monotonic())

    def own_requests(self) -> dict[desired.BackendKey, int]:
        """Return this process's requests in progress, by server."""
        return self._running.own()

    def requests_at(self, key: desired.BackendKey) -> int:
        """Return the estimated number of requests on a server."""
        return self.requests_at_each([key])[0]

    def requests_at_each(
        self, keys: Iterable[desired.BackendKey]
    ) -> list[int]:
        """Return the estimated number of requests on each of ``keys``."""
        running = self._running.sums()
        reported = self._fresh_reports()
        return [
            max(running.get(key, 0), reported[key].requests)
            if key in reported
            else running.get(key, 0)
            for key in keys
        ]

    def total_requests(self, keys: Set[desired.BackendKey]) -> int:
        """Return the estimated number of requests on all of ``keys``."""
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
        """Return the health of a server as observed by this process."""
        return self._health.setdefault(key, routing.BackendHealth())

    def is_avoided(self, key: desired.BackendKey) -> bool:
        """Return whether requests should go to other servers for now."""
        health = self._health.get(key)
        return health is not None and health.is_avoided(
            self._clock.monotonic()
        )

    def on_probation(self, key: desired.BackendKey) -> bool:
        """Return whether it was avoided and has not answered since."""
        health = self._health.get(key)
        return health is not None and health.on_probation

    def is_probing_after_backoff(self, key: desired.BackendKey) -> bool:
        """Return whether the probe after a backoff is in progress."""
        health = self._health.get(key)
        return health is not None and health.is_probing_after_backoff()

    def retain_only(self, known: set[desired.BackendKey]) -> None:
        """Drop the state of servers that are not in ``known``."""
        for table in (self._reported, self._health):
            for key in table.keys() - known:
                del table[key]
