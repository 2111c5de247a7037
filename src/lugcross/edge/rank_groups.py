# SPDX-License-Identifier: Apache-2.0
"""What one process believes of the groups of ranks that it looks after."""

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

#: Time between two looks at a group that is about to change; as old as
#: reports are where they are read from another host.
_SHORT_REPORT_INTERVAL = datetime.timedelta(milliseconds=200)
#: Passes from a report to the one at which maps change, at most, and where
#: it is not known what a pass takes.
_MAX_PASSES_AHEAD_COUNT = 5


@final
@dataclasses.dataclass
class RankGroup:
    """One group of ranks.

    :param servers_by_rank: who is which rank; whole once there are
        ``rank_count``.
    :param current_map: the map in use; none while it is not known.
    :param armed_version: version that all ranks are armed with, until it is in
        use.
    :param reported_at: when rank 0 told its state last.
    :param foreign_hold: a pass held by someone else, and since when.
    :param was_switched_here: whether this process has switched it: only then
        may a report that is some time old show a hold of its own.
    :param planned_demand_read_at: when the reading was made that a map was last
        planned by.
    :param map_being_copied: the map that its ranks copy experts for.
    :param report_lag: age of what its ranks report.
    :param pass_times: what its passes take.
    :param rank_slowness: which of its ranks are slow.
    :param switch_backoff: whether changes of its map break it.
    """

    name: str
    service: ids.ServiceName
    limits: experts.ExpertLimits
    rank_count: int
    servers_by_rank: dict[experts.Rank, desired.Backend] = dataclasses.field(
        default_factory=dict
    )
    epoch: experts.Epoch = experts.Epoch(0)
    is_open: bool = False
    last_pass: experts.PassNumber = experts.PassNumber(0)
    version_in_use: experts.MapVersion = experts.MapVersion(0)
    highest_version: experts.MapVersion = experts.MapVersion(0)
    current_map: experts.ExpertMap | None = None
    armed_version: experts.MapVersion | None = None
    reported_at: clock_lib.Instant | None = None
    foreign_hold: tuple[experts.PassNumber, clock_lib.Instant] | None = None
    is_switching: bool = False
    was_switched_here: bool = False
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
        """Whether every rank is known."""
        return len(self.servers_by_rank) == self.rank_count > 0

    @property
    def can_switch(self) -> bool:
        """Whether a switch may be planned."""
        settled = self.armed_version is None and self.foreign_hold is None
        known = self.is_complete and self.current_map is not None
        return self.is_open and known and settled and not self.is_switching

    @property
    def has_initial_map(self) -> bool:
        """Whether it still has the map that it began its life with."""
        return self.version_in_use == 0

    def passes_ahead(self) -> int:
        """Return how many passes may begin until all ranks are armed.

        Those that have begun since what a report tells, and one in which
        the orders are given.
        """
        typical = self.pass_times.typical
        if not typical or not self.report_lag:
            return _MAX_PASSES_AHEAD_COUNT
        return min(_MAX_PASSES_AHEAD_COUNT, 1 + int(self.report_lag / typical))

    def ranks_to_ask(
        self, backing_off: Collection[desired.BackendKey]
    ) -> list[experts.Rank]:
        """Return the ranks that may be asked, in order.

        :param backing_off: servers that want nothing from this process.
        """
        return sorted(
            rank
            for rank, backend in self.servers_by_rank.items()
            if backend.key not in backing_off
        )

    def sample_ranks(
        self, count: int, backing_off: Collection[desired.BackendKey] = ()
    ) -> list[experts.Rank]:
        """Return the first rank and others spread over the group.

        Ranks of one failure domain mostly have numbers side by side.
        """
        ranks = self.ranks_to_ask(backing_off)
        return ranks[:: max(1, math.ceil(len(ranks) / count))]

    def report_is_due(
        self, now: clock_lib.Instant, interval: datetime.timedelta
    ) -> bool:
        """Tell whether its state should be asked for.

        Sooner than usual where something is about to change.
        """
        if self.reported_at is None:
            return True
        if not self.is_open:
            interval = min(interval, _SHORT_REPORT_INTERVAL)
        if self.foreign_hold is not None or self.armed_version is not None:
            interval = min(interval, _SHORT_REPORT_INTERVAL)
        return now - self.reported_at >= interval

    def note_unreachable(self, now: clock_lib.Instant) -> None:
        """Note that no rank tells its state."""
        self.is_open = False
        self.reported_at = now

    def apply_report(
        self, report: experts.RankReport, now: clock_lib.Instant
    ) -> None:
        """Take over what a rank tells; only rank 0 is ever held."""
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
            # What was seen before it broke is the best to plan by now.
            self.planned_demand_read_at = None
        self.is_open = report.is_open
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
            # Someone else has switched it; ranks are asked for the map.
            self.version_in_use = report.version_in_use
            self.current_map = None
        if report.rank == 0 and not self.is_switching:
            self._note_hold(report.held_pass, now)

    def _note_hold(
        self, held_pass: experts.PassNumber | None, now: clock_lib.Instant
    ) -> None:
        if held_pass is None:
            self.foreign_hold = None
        elif self.foreign_hold is None or self.foreign_hold[0] != held_pass:
            self.foreign_hold = held_pass, now

    def hold_is_abandoned(
        self, now: clock_lib.Instant, min_age: datetime.timedelta
    ) -> bool:
        """Tell whether nobody will release the pass that is held."""
        seen = self.foreign_hold
        return seen is not None and now - seen[1] >= min_age

    def note_switched(
        self, version: experts.MapVersion, new_map: experts.ExpertMap
    ) -> None:
        """Note that all ranks will take up a map soon."""
        self.version_in_use = version
        self.highest_version = max(self.highest_version, version)
        self.current_map = new_map
        self.armed_version = version


@final
class RankGroups:
    """All groups of the services with expert maps."""

    def __init__(self) -> None:
        self._groups: dict[tuple[ids.ServiceName, str], RankGroup] = {}
        self._group_by_server: dict[desired.BackendKey, RankGroup] = {}

    def clear(self) -> None:
        """Forget all but what is being switched."""
        self._groups = {
            k: g for k, g in self._groups.items() if g.is_switching
        }
        self._group_by_server = {
            k: g for k, g in self._group_by_server.items() if g.is_switching
        }

    def of_service(self, service: ids.ServiceName) -> list[RankGroup]:
        """Return the groups of a service, in order of their names."""
        found = [g for k, g in self._groups.items() if k[0] == service]
        return sorted(found, key=lambda group: group.name)

    def servers_of_broken_groups(self) -> list[desired.BackendKey]:
        """Return the backend servers whose groups take no requests."""
        return [
            backend.key
            for group in self._groups.values()
            if group.reported_at is not None and not group.is_open
            for backend in group.servers_by_rank.values()
        ]

    def slow_servers(self) -> list[desired.BackendKey]:
        """Return the backend servers that hold their groups back."""
        return [
            group.servers_by_rank[rank].key
            for group in self._groups.values()
            for rank in group.rank_slowness.slow_ranks()
            if rank in group.servers_by_rank
        ]

    def of_backend(self, key: desired.BackendKey) -> RankGroup | None:
        """Return the group that a backend server is a rank of, if known."""
        return self._group_by_server.get(key)

    def servers_of_unknown_rank(
        self, backends: Iterable[desired.Backend]
    ) -> list[desired.Backend]:
        """Return those of which it is not known what rank they are."""
        return [
            one for one in backends if one.key not in self._group_by_server
        ]

    def assign_rank(
        self,
        backend: desired.Backend,
        report: experts.RankReport,
        engine: desired.EngineSpec,
    ) -> None:
        """Note which rank of which group a backend server is."""
        limits = engine.experts
        assert limits is not None
        key = backend.service, report.group
        group = self._groups.get(key)
        if group is None or group.rank_count != report.rank_count:
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

    def retain_servers(self, backends: Iterable[desired.Backend]) -> None:
        """Forget ranks that are gone."""
        known = {one.key for one in backends}
        for key in self._group_by_server.keys() - known:
            del self._group_by_server[key]
        for group in self._groups.values():
            for rank, backend in list(group.servers_by_rank.items()):
                if backend.key not in known:
                    del group.servers_by_rank[rank]
