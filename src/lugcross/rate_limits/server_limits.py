# SPDX-License-Identifier: Apache-2.0
"""Request rates that backend servers limit for all processes; no I/O.

A server in need states in its responses how many requests a second it takes
from all processes together. The processes divide this rate among a few of
them, since each needs to be able to send one request at any time: with a part
for each of hundreds of processes, a burst after a quiet moment would be many
times what the server takes.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import datetime
import itertools
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import platform
from lugcross.rate_limits import cold_servers as cold_servers_lib
from lugcross.rate_limits import sharing_processes
from lugcross import routing

#: Fraction of a stated rate that is used. The rest is for processes that have
#: not heard of the limit, or know other peers.
_USED_RATE_RATIO = 0.8
#: Lowest rate that is used, in requests a second: only a response shows that
#: a limit has ended.
_MIN_RATE_PER_S = 0.25
#: Highest rate that is told from others; no server takes as many.
_MAX_RATE_PER_S = 1e6
#: Number of processes that share the lowest rates.
_MIN_SHARING_PROCESSES = 2
#: Further processes for each request a second.
_SHARING_PROCESSES_PER_RATE = 0.5
#: Requests that a process may save up, plus what it gets in a time.
_MAX_SAVED_REQUESTS = 1.0
_MAX_SAVED_TIME = datetime.timedelta(seconds=0.25)
#: Time for which this process's part of a rate is cached; processes come and
#: go more slowly.
_OWN_RATE_TTL = datetime.timedelta(seconds=0.5)
#: How long a change is repeated in heartbeats. Other failure domains get one
#: heartbeat each 0.2 s.
_CHANGE_REPORT_PERIOD = datetime.timedelta(seconds=0.3)
#: Number of changed limits, the newest, that one heartbeat carries.
_MAX_CHANGED_REPORTS = 8
#: Further limits in each heartbeat, in rotation, for processes that have just
#: started or were unreachable.
_MAX_ROTATED_REPORTS = 1
#: Time for which the end of a limit is remembered, so that an older report of
#: a peer does not renew it.
_ENDED_MAX_AGE = datetime.timedelta(seconds=5)
#: Shortest time between two messages other than requests, such as queries for
#: a report, to a server that limits its requests.
_MIN_DEFERRABLE_INTERVAL = datetime.timedelta(seconds=1)


@final
@dataclasses.dataclass(frozen=True)
class LimitReport:
    """What a server's newest response says of its limit.

    :param rate_per_s: requests a second that it takes from all processes; None
        if it states no limit any more.
    :param stated_at: when the response was received.
    """

    key: desired.BackendKey
    rate_per_s: float | None
    stated_at: clock_lib.Instant


@final
@dataclasses.dataclass
class _Limit:
    """The limit of one server and this process's part of it.

    :param changed_at: when this process learned of the present rate.
    :param saved: requests that this process may send now.
    :param updated_at: when ``saved`` was computed.
    :param own_rate_per_s: this process's part of the rate.
    :param own_rate_until: when it must be computed again.
    :param deferrable_sent_at: when the last message other than a request was
        sent.
    """

    report: LimitReport
    changed_at: clock_lib.Instant
    updated_at: clock_lib.Instant
    saved: float = 0.0
    own_rate_per_s: float = 0.0
    own_rate_until: clock_lib.Instant = datetime.timedelta()
    deferrable_sent_at: clock_lib.Instant | None = None


def sharing_process_count(rate_per_s: float) -> int:
    """Return among how many processes a stated rate is divided at most."""
    return _MIN_SHARING_PROCESSES + int(
        min(rate_per_s, _MAX_RATE_PER_S) * _SHARING_PROCESSES_PER_RATE
    )


@final
class ServerLimits:
    """Limits that backend servers state, and this process's parts of them.

    A process that is cut off keeps its part: the processes are those that it
    knows, whether it hears them or not.

    :ivar known_processes: returns the addresses of all known processes.
    :ivar own_address: address of this process among them.
    :ivar processes: the processes that share the rates of cold servers.
    :ivar cold: the servers that are cold.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._limits: dict[desired.BackendKey, _Limit] = {}
        self._servers: frozenset[desired.BackendKey] = frozenset()
        self._rotation_start = 0
        self.own_address = ""
        self.known_processes: Callable[[], Collection[str]] = lambda: ()
        self.processes = sharing_processes.SharingProcesses(
            clock, lambda: {self.own_address, *self.known_processes()}
        )
        self.cold = cold_servers_lib.ColdServers(clock, self.processes)
        self.cold.own_address = lambda: self.own_address

    def servers(self) -> frozenset[desired.BackendKey]:
        """Return the servers that limit their requests, other than cold ones.

        Returns the same object as long as nothing has changed.
        """
        return self._servers

    def cold_servers(self) -> frozenset[desired.BackendKey]:
        """Return the servers that are cold or have just been.

        Returns the same object as long as nothing has changed.
        """
        return self.cold.servers()

    def record_cold(
        self,
        key: desired.BackendKey,
        left: datetime.timedelta,
        source: cold_servers_lib.ColdSource,
    ) -> None:
        """Record for how much longer a server is cold.

        :param left: 0 if it is not cold.
        """
        self.cold.record(key, left, source)

    def record_response(
        self, key: desired.BackendKey, rate_limit: platform.RateLimit
    ) -> None:
        """Record what a server's response says of its limit.

        An invalid limit neither sets a limit nor ends one.
        """
        rate_per_s = rate_limit.per_s
        if rate_per_s is None and (
            rate_limit.stated or key not in self._limits
        ):
            return
        self._apply(LimitReport(key, rate_per_s, self._clock.monotonic()))

    def merge(self, reports: Iterable[LimitReport]) -> None:
        """Merge the reports of a peer; the newest response counts."""
        for report in reports:
            if report.rate_per_s is not None or report.key in self._limits:
                self._apply(report)

    def _apply(self, report: LimitReport) -> None:
        now = self._clock.monotonic()
        limit = self._limits.get(report.key)
        if limit is None:
            self._limits[report.key] = _Limit(report, now, now)
        elif report.stated_at > limit.report.stated_at:
            self._refill(limit)
            if report.rate_per_s != limit.report.rate_per_s:
                limit.changed_at = now
                limit.own_rate_until = now
            limit.report = report
        if (report.rate_per_s is not None) != (report.key in self._servers):
            self._rebuild()

    def may_send(self, key: desired.BackendKey) -> bool:
        """Return whether this process may send a server a request now."""
        if not self.cold.may_send(key):
            return False
        if key not in self._servers:
            return True
        limit = self._limits[key]
        self._refill(limit)
        return limit.saved >= 1.0

    def hold(self, key: desired.BackendKey) -> None:
        """Record that a request has chosen a server and is not sent yet.

        Others that wait for their connections meanwhile would choose the same
        cold server, and only one of them could be sent.
        """
        self.cold.hold(key)

    def release(self, key: desired.BackendKey) -> None:
        """Record that a held request is sent now, or is not sent at all."""
        self.cold.release(key)

    def try_spend(self, key: desired.BackendKey) -> bool:
        """Return whether a request may be sent, and count it."""
        if not self.may_send(key):
            return False
        if key in self._servers:
            self._limits[key].saved -= 1.0
        self.cold.spend(key)
        return True

    def try_spend_deferrable(self, key: desired.BackendKey) -> bool:
        """Return whether a message other than a request may be sent now."""
        if key not in self._servers:
            return True
        limit = self._limits[key]
        now = self._clock.monotonic()
        last = limit.deferrable_sent_at
        if last is not None and now - last < _MIN_DEFERRABLE_INTERVAL:
            return False
        limit.deferrable_sent_at = now
        return True

    def remaining(
        self, keys: Iterable[desired.BackendKey]
    ) -> datetime.timedelta | None:
        """Return the time until one of ``keys`` takes a request again.

        Without a part of a limit, this process goes by the others' rate.

        :returns: None if none of them limits its requests.
        """
        cold = self.cold.servers()
        waits = [
            max(self._remaining(key), self._remaining_cold(key))
            for key in (self._servers | cold) & set(keys)
        ]
        return min(waits, default=None)

    def _remaining_cold(self, key: desired.BackendKey) -> datetime.timedelta:
        if key not in self.cold.servers():
            return datetime.timedelta()
        return self.cold.remaining(key)

    def _remaining(self, key: desired.BackendKey) -> datetime.timedelta:
        if key not in self._servers:
            return datetime.timedelta()
        limit = self._limits[key]
        rate = self._own_rate(limit)
        if not rate:
            return datetime.timedelta(seconds=1.0 / _used_rate(limit.report))
        self._refill(limit)
        return datetime.timedelta(seconds=max(0.0, 1.0 - limit.saved) / rate)

    def own_reports(self) -> list[LimitReport]:
        """Return the reports to send with the next heartbeat."""
        self.processes.refresh()
        if not self._limits:
            return []
        since = self._clock.monotonic() - _CHANGE_REPORT_PERIOD
        by_change = sorted(
            self._limits.values(), key=lambda one: one.changed_at
        )
        changed = [one for one in by_change if one.changed_at >= since]
        others = [one for one in by_change if one.changed_at < since]
        start = self._rotation_start % len(others) if others else 0
        self._rotation_start = start + _MAX_ROTATED_REPORTS
        rotated = itertools.islice(others, start, self._rotation_start)
        chosen = [*changed[-_MAX_CHANGED_REPORTS:], *rotated]
        return [one.report for one in chosen]

    def own_cold_reports(self) -> list[cold_servers_lib.ColdReport]:
        """Return the cold servers to report with the next heartbeat."""
        return self.cold.own_reports()

    def retain_only(self, known: set[desired.BackendKey]) -> None:
        """Drop servers that are not in ``known``, and limits long ended."""
        self.cold.retain_only(known)
        oldest = self._clock.monotonic() - _ENDED_MAX_AGE
        self._limits = {
            key: limit
            for key, limit in self._limits.items()
            if key in known
            and (
                limit.report.rate_per_s is not None
                or limit.report.stated_at > oldest
            )
        }
        self._rebuild()

    def _rebuild(self) -> None:
        servers = frozenset(
            key
            for key, limit in self._limits.items()
            if limit.report.rate_per_s is not None
        )
        if servers != self._servers:
            self._servers = servers

    def _refill(self, limit: _Limit) -> None:
        now = self._clock.monotonic()
        elapsed_s = (now - limit.updated_at).total_seconds()
        limit.updated_at = now
        rate = self._own_rate(limit)
        most = _MAX_SAVED_REQUESTS + rate * _MAX_SAVED_TIME.total_seconds()
        limit.saved = min(most, limit.saved + rate * elapsed_s)

    def _own_rate(self, limit: _Limit) -> float:
        """Return this process's part of a limit, in requests a second."""
        now = self._clock.monotonic()
        if now >= limit.own_rate_until:
            limit.own_rate_per_s = self._compute_own_rate(limit.report)
            limit.own_rate_until = now + _OWN_RATE_TTL
        return limit.own_rate_per_s

    def _compute_own_rate(self, report: LimitReport) -> float:
        if report.rate_per_s is None:
            return 0.0
        processes = {self.own_address, *self.known_processes()}
        ranked = routing.rendezvous_order(report.key, processes)
        sharing = ranked[: sharing_process_count(report.rate_per_s)]
        if self.own_address not in sharing:
            return 0.0
        return _used_rate(report) / len(sharing)


def _used_rate(report: LimitReport) -> float:
    """Return the rate that all processes together use."""
    stated = report.rate_per_s or 0.0
    return max(_MIN_RATE_PER_S, stated * _USED_RATE_RATIO)
