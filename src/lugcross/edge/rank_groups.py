# SPDX-License-Identifier: Apache-2.0
"""State of the rank groups whose expert maps this process manages."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import datetime
import math
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import pass_times as pass_times_lib
from lugcross.edge import rank_slowness as rank_slowness_lib
from lugcross import experts
from lugcross import ids

#: Shortened report interval for a group whose state is about to change. About
#: the delay with which engine reports become readable from other hosts, so
#: that asking more often would return the same report.
_SHORT_REPORT_INTERVAL = datetime.timedelta(milliseconds=200)
#: How long the crash of a rank keeps its group closed while other ranks report
#: it as open. They report it as broken after they have stood still for 1.5 s,
#: and reports lag by up to 0.5 s. If they still report it as open, the rank's
#: host was only unreachable for a moment.
_CRASH_HOLD_TIME = datetime.timedelta(seconds=3)
#: Upper bound of :meth:`RankGroup.passes_ahead`, also used while the pass time
#: or the report lag is unknown.
_MAX_PASSES_AHEAD_COUNT = 5


@final
@dataclasses.dataclass
class RankGroup:
    """State of one rank group, as reported by its ranks.

    :param servers_by_rank: the backend server of each known rank; complete
        once it has ``rank_count`` entries.
    :param epoch: newest epoch that a rank has reported.
    :param epoch_of_crash: epoch in which a rank has crashed; for a while the
        group opens again only in a later one, whatever its ranks report.
    :param crash_noted_at: when that was noted.
    :param has_unreachable_rank: whether a rank is in an unreachable domain,
        or is missing and cannot be known to be reachable; the group is not
        open then, whatever its other ranks report.
    :param is_open: whether the group accepts requests.
    :param current_map: the map in use, or None while it is unknown.
    :param armed_version: version that all ranks have been armed with by this
        process, until a rank reports it as in use.
    :param reported_at: when the last report was applied, or when all queried
        ranks were found unreachable.
    :param reported_hold: the pass that rank 0 last reported as held while this
        process was not switching the group, and when it was first reported.
        Another process holds it, or a delayed report shows a hold of this one.
    :param is_switching: whether this process is running a map switch of the
        group.
    :param was_switched_by_this_process: whether this process has run a switch
        of the group, so that a delayed report may still show its own hold.
    :param planned_demand_read_at: read time of the demand that the group's map
        was last planned for, or None to plan again.
    :param map_being_copied: the map of the switch in progress, while ranks may
        still be copying its experts.
    :param report_lag: delay until a rank's state shows in its reports.
    """

    name: str
    service: ids.ServiceName
    limits: experts.ExpertLimits
    rank_count: int
    servers_by_rank: dict[experts.Rank, desired.Backend] = dataclasses.field(
        default_factory=dict
    )
    epoch: experts.Epoch = experts.Epoch(0)
    epoch_of_crash: experts.Epoch | None = None
    crash_noted_at: clock_lib.Instant = datetime.timedelta()
    has_unreachable_rank: bool = False
    is_open: bool = False
    last_pass: experts.PassNumber = experts.PassNumber(0)
    version_in_use: experts.MapVersion = experts.MapVersion(0)
    highest_version: experts.MapVersion = experts.MapVersion(0)
    current_map: experts.ExpertMap | None = None
    armed_version: experts.MapVersion | None = None
    reported_at: clock_lib.Instant | None = None
    reported_hold: tuple[experts.PassNumber, clock_lib.Instant] | None = None
    is_switching: bool = False
    was_switched_by_this_process: bool = False
    planned_demand_read_at: clock_lib.Instant | None = None
    map_being_copied: experts.ExpertMap | None = None
    report_lag: datetime.timedelta = datetime.timedelta()
    pass_times: pass_times_lib.PassTimes = dataclasses.field(
        default_factory=pass_times_lib.PassTimes
    )
    rank_slowness: rank_slowness_lib.RankSlowness = dataclasses.field(
        default_factory=rank_slowness_lib.RankSlowness
    )
    switch_backoff: experts.SwitchBackoff = dataclasses.field(
        default_factory=experts.SwitchBackoff
    )

    @property
    def is_complete(self) -> bool:
        """Whether the backend server of every rank is known."""
        return len(self.servers_by_rank) == self.rank_count > 0

    def is_split(self, domains: Collection[ids.DomainName]) -> bool:
        """Return whether the server of a known rank is in ``domains``."""
        return any(
            backend.domain in domains
            for backend in self.servers_by_rank.values()
        )

    def without_state(self) -> "RankGroup":
        """Return the group with its ranks, but without reported state."""
        return RankGroup(
            self.name,
            self.service,
            self.limits,
            self.rank_count,
            servers_by_rank=dict(self.servers_by_rank),
            report_lag=self.report_lag,
        )

    @property
    def can_switch(self) -> bool:
        """Whether a new map switch may be planned and started."""
        settled = self.armed_version is None and self.reported_hold is None
        known = self.is_complete and self.current_map is not None
        return self.is_open and known and settled and not self.is_switching

    @property
    def has_initial_map(self) -> bool:
        """Whether the group still uses the map that its epoch began with."""
        return self.version_in_use == 0

    def passes_ahead(self) -> int:
        """Estimate how many passes begin before all ranks are armed.

        Counts the passes that began within the lag of the last report, and
        one during which the orders are sent.
        """
        typical = self.pass_times.typical
        if not typical or not self.report_lag:
            return _MAX_PASSES_AHEAD_COUNT
        return min(_MAX_PASSES_AHEAD_COUNT, 1 + int(self.report_lag / typical))

    def queryable_ranks(
        self, backing_off: Collection[desired.BackendKey]
    ) -> list[experts.Rank]:
        """Return the ranks that may be queried, in ascending order.

        :param backing_off: backend servers that have asked this process for a
            backoff; their ranks are left out.
        """
        return sorted(
            rank
            for rank, backend in self.servers_by_rank.items()
            if backend.key not in backing_off
        )

    def sample_ranks(
        self, count: int, backing_off: Collection[desired.BackendKey] = ()
    ) -> list[experts.Rank]:
        """Return at most ``count`` ranks, spread evenly over the group.

        Ranks of one failure domain mostly have consecutive numbers, so an
        even spread covers several domains. The lowest rank that may be
        queried is always included.
        """
        ranks = self.queryable_ranks(backing_off)
        return ranks[:: max(1, math.ceil(len(ranks) / count))]

    def report_is_due(
        self, now: clock_lib.Instant, interval: datetime.timedelta
    ) -> bool:
        """Return whether the group's state should be queried again.

        :param interval: time between two queries of a group in a steady
            state; shortened while its state is about to change.
        """
        if self.reported_at is None:
            return True
        if not self.is_open:
            interval = min(interval, _SHORT_REPORT_INTERVAL)
        if self.reported_hold is not None or self.armed_version is not None:
            interval = min(interval, _SHORT_REPORT_INTERVAL)
        return now - self.reported_at >= interval

    def has_another_size(self, report: experts.RankReport) -> bool:
        """Return whether the group has formed with another number of ranks."""
        return (
            report.epoch >= self.epoch and report.rank_count != self.rank_count
        )

    def note_unreachable(self, now: clock_lib.Instant) -> None:
        """Mark the group as not open because no queried rank answered."""
        self.is_open = False
        self.reported_at = now

    def apply_report(
        self, report: experts.RankReport, now: clock_lib.Instant
    ) -> None:
        """Update the state of the group from the report of one rank.

        Reports of an earlier epoch are ignored. Holds are read from rank 0
        only, since passes are held there.
        """
        self.reported_at = now
        if report.epoch < self.epoch:
            return
        if report.epoch != self.epoch:
            self.epoch = report.epoch
            self.version_in_use = self.highest_version = experts.MapVersion(0)
            self.current_map = experts.round_robin_map(
                self.rank_count, self.limits
            )
            self.armed_version = None
            # Plan again for the demand read before the group broke: it is
            # the best estimate until new counts have been read.
            self.planned_demand_read_at = None
        self.is_open = (
            report.is_open
            and not self._has_crashed_rank(now)
            and not self.has_unreachable_rank
        )
        self.last_pass = report.last_pass
        self.highest_version = max(
            self.highest_version, report.highest_version
        )
        if report.version_in_use == self.armed_version:
            self.armed_version = None
        if (
            report.version_in_use != self.version_in_use
            and self.armed_version is None
        ):
            # Another process has switched the map; read it from the ranks.
            self.version_in_use = report.version_in_use
            self.current_map = None
        if report.rank == 0 and not self.is_switching:
            self._note_hold(report.held_pass, now)

    def _has_crashed_rank(self, now: clock_lib.Instant) -> bool:
        return (
            self.epoch == self.epoch_of_crash
            and now - self.crash_noted_at < _CRASH_HOLD_TIME
        )

    def _note_hold(
        self, held_pass: experts.PassNumber | None, now: clock_lib.Instant
    ) -> None:
        if held_pass is None:
            self.reported_hold = None
        elif self.reported_hold is None or self.reported_hold[0] != held_pass:
            self.reported_hold = held_pass, now

    def hold_is_abandoned(
        self, now: clock_lib.Instant, min_age: datetime.timedelta
    ) -> bool:
        """Return whether the reported hold has lasted for too long.

        :param min_age: time for which the same pass must have been seen held
            to count as abandoned by its holder.
        """
        seen = self.reported_hold
        return seen is not None and now - seen[1] >= min_age

    def note_switched(
        self, version: experts.MapVersion, new_map: experts.ExpertMap
    ) -> None:
        """Record that all ranks are armed to change to ``new_map``."""
        self.version_in_use = version
        self.highest_version = max(self.highest_version, version)
        self.current_map = new_map
        self.armed_version = version


@final
class RankGroups:
    """The rank groups of all services with expert maps."""

    def __init__(self) -> None:
        self._groups: dict[tuple[ids.ServiceName, str], RankGroup] = {}
        self._group_by_server: dict[desired.BackendKey, RankGroup] = {}
        self._noted_crashed_servers: frozenset[str] = frozenset()

    def note_crashed_servers(
        self, servers: frozenset[str], now: clock_lib.Instant
    ) -> list[RankGroup]:
        """Mark the groups of crashed ranks as not open.

        :param servers: all servers that are known to have crashed. One that
            is no longer among them has not crashed after all.
        :returns: the groups that were open so far.
        """
        if servers is self._noted_crashed_servers:
            # Heartbeats repeat what is known.
            return []
        broken = []
        for name in servers - self._noted_crashed_servers:
            group = self._group_by_server.get(desired.BackendKey(name))
            if group is None:
                continue
            group.epoch_of_crash = group.epoch
            group.crash_noted_at = now
            if group.is_open:
                group.is_open = False
                broken.append(group)
        for name in self._noted_crashed_servers - servers:
            group = self._group_by_server.get(desired.BackendKey(name))
            if group is not None:
                group.epoch_of_crash = None
        self._noted_crashed_servers = servers
        return broken

    def clear(self) -> None:
        """Forget all but the ranks of each group.

        This process may not reach all ranks when it manages maps again.
        Groups that it is switching stay as they are.
        """
        kept = {
            id(group): group if group.is_switching else group.without_state()
            for group in self._groups.values()
        }
        self._groups = {k: kept[id(g)] for k, g in self._groups.items()}
        self._group_by_server = {
            k: kept[id(g)]
            for k, g in self._group_by_server.items()
            if id(g) in kept
        }

    def of_service(self, service: ids.ServiceName) -> list[RankGroup]:
        """Return the groups of a service, sorted by name."""
        found = [g for k, g in self._groups.items() if k[0] == service]
        return sorted(found, key=lambda group: group.name)

    def servers_of_broken_groups(self) -> list[desired.BackendKey]:
        """Return the backend servers of groups reported as not open."""
        return [
            backend.key
            for group in self._groups.values()
            if (group.reported_at is not None and not group.is_open)
            or group.has_unreachable_rank
            for backend in group.servers_by_rank.values()
        ]

    def slow_servers(self) -> list[desired.BackendKey]:
        """Return the backend servers that are slow ranks of their groups."""
        return [
            group.servers_by_rank[rank].key
            for group in self._groups.values()
            for rank in group.rank_slowness.slow_ranks()
            if rank in group.servers_by_rank
        ]

    def of_backend(self, key: desired.BackendKey) -> RankGroup | None:
        """Return the group of a backend server, or None if unknown."""
        return self._group_by_server.get(key)

    def servers_of_unknown_rank(
        self, backends: Iterable[desired.Backend]
    ) -> list[desired.Backend]:
        """Return those of ``backends`` whose rank is not yet known."""
        return [
            one for one in backends if one.key not in self._group_by_server
        ]

    def assign_rank(
        self,
        backend: desired.Backend,
        report: experts.RankReport,
        engine: desired.EngineSpec,
    ) -> None:
        """Record the group and rank that a backend server has reported.

        A group that reports another number of ranks than before is replaced,
        and its other servers count as of unknown rank.
        """
        limits = engine.experts
        assert limits is not None
        key = backend.service, report.group
        group = self._groups.get(key)
        if group is not None and group.rank_count != report.rank_count:
            self.forget(group)
            group = None
        if group is None:
            group = RankGroup(
                report.group,
                backend.service,
                limits,
                report.rank_count,
                report_lag=engine.report_lag,
            )
            self._groups[key] = group
        group.servers_by_rank[report.rank] = backend
        self._group_by_server[backend.key] = group

    def forget(self, group: RankGroup) -> None:
        """Forget a group and which servers are its ranks.

        The servers are then asked for their ranks again.
        """
        self._groups = {
            k: g for k, g in self._groups.items() if g is not group
        }
        self._group_by_server = {
            k: g for k, g in self._group_by_server.items() if g is not group
        }

    def retain_servers(
        self, service: ids.ServiceName, backends: Iterable[desired.Backend]
    ) -> None:
        """Forget the ranks of a service's servers but ``backends``."""
        known = {one.key for one in backends}
        for key, group in list(self._group_by_server.items()):
            if key not in known and group.service == service:
                del self._group_by_server[key]
        for group in self.of_service(service):
            for rank, backend in list(group.servers_by_rank.items()):
                if backend.key not in known:
                    del group.servers_by_rank[rank]
