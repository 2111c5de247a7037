# SPDX-License-Identifier: Apache-2.0
"""Failure domains that this process cannot reach; no I/O.

Without this, a process learns of the servers of a domain that is cut off one
by one, each at the cost of an attempt or of a connection timeout.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
from typing import final

from absl import logging
import xxhash

from lugcross import clock as clock_lib
from lugcross import ids
from lugcross.reachability import domain_record

#: Servers of a domain to which connections must have failed where nothing is
#: known of its other servers. Two may crash together.
_MIN_FAILED_SERVERS = 3
#: Servers that must have been probed in vain, where others are known. Requests
#: go to crashed servers again and again, as these look idle: by requests alone
#: three crashed servers of six made their domain unreachable, and with two
#: probes four of six still did.
_MIN_FAILED_PROBES = 3
#: Servers that must have failed where these are all servers of the domain; a
#: single one is never enough.
_MIN_FAILED_OF_ALL_SERVERS = 2
#: Age after which a peer's report is discarded, as for broken groups: several
#: heartbeats were lost, or the peer is gone.
_REPORT_MAX_AGE = datetime.timedelta(seconds=1.2)
#: Processes of the own domain whose reports make this one test a domain.
_REPORTERS_TO_DOUBT = 2
#: Steps in which the servers of a domain are used again, and time for each.
_RETURN_STEP_COUNT = 10
_RETURN_STEP = datetime.timedelta(milliseconds=200)
#: Shortest time without a domain after which its use increases gradually.
#: Requests of a shorter time are still in progress elsewhere.
_MIN_TIME_FOR_GRADUAL_RETURN = datetime.timedelta(seconds=1)
#: Time for which it is cached that domains are left out; the list of servers
#: may change meanwhile.
_LEFT_OUT_TTL = datetime.timedelta(milliseconds=100)
#: Domains that one heartbeat names; more than a fleet has.
MAX_REPORTED_DOMAINS = 32


@final
@dataclasses.dataclass(frozen=True)
class Probe:
    """A connection without a request that is due.

    :param server: address of the server to connect to.
    """

    domain: ids.DomainName
    server: str


@final
class DomainReachability:
    """Failure domains that this process cannot reach.

    Servers are named by their address, so that the lives of one server that
    crashes again and again count once.

    :ivar servers_by_domain: returns the addresses of all listed servers.
    :ivar own_address: address of this process; decides which servers of a
        domain are used first when it returns.
    :ivar count_peers_here: returns how many live processes of the own domain
        this process knows.
    :ivar on_change: called when :meth:`unreachable` or
        :meth:`confirmed_unreachable` may have changed.
    :ivar on_suspicion: called when probes are due at once.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._domains: dict[ids.DomainName, domain_record.DomainRecord] = {}
        self._unreachable: frozenset[ids.DomainName] = frozenset()
        self._all_failed = False
        #: What each process of the own domain last reported.
        self._reported_by: dict[str, frozenset[ids.DomainName]] = {}
        self._returning: frozenset[tuple[ids.DomainName, int]] = frozenset()
        #: When these must be computed again.
        self._valid_until = datetime.timedelta.max
        self.own_address = ""
        self.servers_by_domain: Callable[
            [], Mapping[ids.DomainName, Collection[str]]
        ] = dict
        self.count_peers_here: Callable[[], int] = lambda: 0
        self.on_change: Callable[[], None] = lambda: None
        self.on_suspicion: Callable[[], None] = lambda: None

    def _record(self, domain: ids.DomainName) -> domain_record.DomainRecord:
        found = self._domains.get(domain)
        if found is None:
            found = self._domains[domain] = domain_record.DomainRecord()
        return found

    def record_connected(self, domain: ids.DomainName, server: str) -> None:
        """Record that a server was connected to, or that it responded."""
        now = self._clock.monotonic()
        found = self._record(domain)
        was_left_out = found.is_left_out()
        found.connected_at = now
        if found.failures or found.probed_at:
            found.drop_failures()
        if not was_left_out:
            return
        since = found.unreachable_since
        found.unreachable_since = None
        if since is not None:
            if now - since >= _MIN_TIME_FOR_GRADUAL_RETURN:
                found.returned_at = now
            logging.info(
                "failure domain reachable again",
                extra={
                    "domain": domain,
                    "backend": server,
                    "for_s": round((now - since).total_seconds(), 3),
                },
            )
        self._rebuild(now)

    def record_not_connected(
        self,
        domain: ids.DomainName,
        server: str,
        *,
        begun_at: clock_lib.Instant | None = None,
        probe: bool = False,
    ) -> None:
        """Record that a server could not be connected to.

        :param probe: whether that was found by a probe.
        :param begun_at: when the attempt to connect began, by default now. If
            another server was connected to since then, it shows nothing about
            the domain.
        """
        now = self._clock.monotonic()
        found = self._record(domain)
        if (
            begun_at is not None
            and found.connected_at is not None
            and begun_at <= found.connected_at
        ):
            return
        found.failures[server] = now
        if probe:
            found.failed_probes.add(server)
        found.drop_old_failures(now)
        if found.unreachable_since is not None:
            return
        servers = self.servers_by_domain().get(domain, ())
        if not self._is_cut_off(found, servers):
            if found.is_suspected(now):
                self.on_suspicion()
            return
        found.unreachable_since = now
        found.returned_at = None
        logging.warning(
            "failure domain unreachable",
            extra={"domain": domain, "servers": sorted(found.failures)},
        )
        self._rebuild(now)

    def _is_cut_off(
        self, found: domain_record.DomainRecord, servers: Collection[str]
    ) -> bool:
        """Return whether the failed connections show that a domain is cut off.

        :param servers: listed servers of the domain.
        """
        count = len(found.failures)
        if servers and found.failures.keys() >= set(servers):
            return count >= _MIN_FAILED_OF_ALL_SERVERS
        if not servers:
            return count >= _MIN_FAILED_SERVERS
        return len(found.failed_probes) >= _MIN_FAILED_PROBES

    def merge_report(
        self, reporter: str, domains: Iterable[ids.DomainName]
    ) -> None:
        """Replace what a process of the own domain finds unreachable."""
        reported = frozenset(domains)
        previous = self._reported_by.get(reporter, frozenset())
        if not reported and not previous:
            return
        now = self._clock.monotonic()
        is_new = reported != previous or any(
            reporter not in self._record(domain).reports for domain in reported
        )
        before = self.confirmed_unreachable() if is_new else None
        for domain in reported:
            self._record(domain).reports[reporter] = now
        if not is_new:
            return
        for domain in previous - reported:
            self._record(domain).reports.pop(reporter, None)
        self._reported_by[reporter] = reported
        if not reported:
            del self._reported_by[reporter]
        self._valid_until = now
        if before != self.confirmed_unreachable():
            self.on_change()

    def own_findings(self) -> list[ids.DomainName]:
        """Return the domains that this process could not connect to.

        Unlike :meth:`unreachable`, these are reported to peers: without those
        that only peers report, and also if they are all domains.
        """
        found = sorted(
            domain
            for domain, one in self._domains.items()
            if one.unreachable_since is not None
        )
        return found[:MAX_REPORTED_DOMAINS]

    def unreachable(self) -> frozenset[ids.DomainName]:
        """Return the domains whose servers are to get no attempts.

        Empty if these are all domains with servers: the process then tries
        them rather than refuse all requests. Returns the same object until it
        changes.
        """
        self._update(self._clock.monotonic())
        return self._unreachable

    def is_found_unreachable(self, domain: ids.DomainName) -> bool:
        """Return whether this process could not connect to a domain.

        Failed connections there are no faults of single servers.
        """
        found = self._domains.get(domain)
        return found is not None and found.unreachable_since is not None

    def all_failed(self) -> bool:
        """Return whether no domain with servers could be connected to."""
        self._update(self._clock.monotonic())
        return self._all_failed

    def confirmed_unreachable(self) -> frozenset[ids.DomainName]:
        """Return the unreachable domains by which others may be informed.

        A finding counts only if another process of the own domain has the
        same one, unless there is none: all rank groups would be reported as
        broken because of a fault of this host.
        """
        alone = not self.count_peers_here()
        return frozenset(
            domain
            for domain in self.unreachable()
            if self._domains[domain].unreachable_since is not None
            and (alone or self._domains[domain].reports)
        )

    def returning(self) -> frozenset[tuple[ids.DomainName, int]]:
        """Return the domains that are used again in part, with the step.

        Returns the same object until it changes.
        """
        self._update(self._clock.monotonic())
        return self._returning

    def returning_fractions(self) -> list[tuple[ids.DomainName, float]]:
        """Return which part of the requests may go to returning domains."""
        return [
            (domain, step / _RETURN_STEP_COUNT)
            for domain, step in sorted(self.returning())
        ]

    def may_use(self, domain: ids.DomainName, server: str) -> bool:
        """Return whether a server of a returning domain is used already."""
        return all(
            self._order(server) % _RETURN_STEP_COUNT < step
            for name, step in self._returning
            if name == domain
        )

    def _order(self, server: str) -> int:
        """Return a number for a server that differs between processes."""
        return xxhash.xxh3_64_intdigest(
            f"{self.own_address}\0{server}".encode()
        )

    def due_probe(self) -> Probe | None:
        """Return the probe to make now, if one is due, and count it.

        Probes go to the server that was neither probed nor failed for
        longest.
        """
        now = self._clock.monotonic()
        self._update(now)
        for domain, found in self._domains.items():
            if not found.probe_is_due(now):
                continue
            servers = self.servers_by_domain().get(domain, ())
            found.probed_at = {
                one: at
                for one, at in found.probed_at.items()
                if one in servers
            }
            if not found.is_left_out():
                # Others only; so each is probed once on suspicion.
                servers = (
                    set(servers) - found.failures.keys()
                ) - found.probed_at.keys()
            tries = [
                (found.last_try(one), self._order(one), one) for one in servers
            ]
            if tries:
                server = min(tries)[-1]
                found.probed_at[server] = now
                return Probe(domain, server)
        return None

    def retain_only(self, known: Collection[ids.DomainName]) -> None:
        """Drop domains without servers."""
        gone = self._domains.keys() - set(known)
        for domain in gone:
            del self._domains[domain]
        if gone:
            self._rebuild(self._clock.monotonic())

    def _update(self, now: clock_lib.Instant) -> None:
        """Apply what changes with time: reports end, domains return."""
        if now < self._valid_until:
            return
        for domain, found in self._domains.items():
            self._update_reports(domain, found, now)
            if (
                found.returned_at is not None
                and now - found.returned_at
                >= _RETURN_STEP * _RETURN_STEP_COUNT
            ):
                found.returned_at = None
        self._rebuild(now)

    def _update_reports(
        self,
        domain: ids.DomainName,
        found: domain_record.DomainRecord,
        now: clock_lib.Instant,
    ) -> None:
        for reporter, at in list(found.reports.items()):
            if now - at >= _REPORT_MAX_AGE:
                del found.reports[reporter]
        doubted = len(found.reports) >= _REPORTERS_TO_DOUBT
        if doubted and found.doubted_since is None:
            found.doubted_since = now
            logging.info(
                "failure domain reported unreachable",
                extra={"domain": domain, "nodes": sorted(found.reports)},
            )
        elif not doubted:
            found.doubted_since = None

    def _rebuild(self, now: clock_lib.Instant) -> None:
        returning = frozenset(
            (domain, 1 + (now - found.returned_at) // _RETURN_STEP)
            for domain, found in self._domains.items()
            if found.returned_at is not None
        )
        left_out = frozenset(
            domain
            for domain, found in self._domains.items()
            if found.is_left_out()
        )
        is_in_use = left_out or returning or self._has_reports()
        self._valid_until = (
            now + _LEFT_OUT_TTL if is_in_use else datetime.timedelta.max
        )
        if left_out or returning:
            in_use = self.servers_by_domain().keys() - left_out
            self._all_failed = bool(left_out) and not in_use
            if self._all_failed:
                left_out = frozenset()
            if in_use <= {domain for domain, _ in returning}:
                # No other domain has servers that would go on serving.
                returning = frozenset()
        else:
            self._all_failed = False
        if returning != self._returning:
            self._returning = returning
        if left_out != self._unreachable:
            self._unreachable = left_out
            self.on_change()

    def _has_reports(self) -> bool:
        return any(found.reports for found in self._domains.values())
