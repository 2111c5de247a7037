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
from lugcross.edge import pulse as pulse_lib
from lugcross.edge import slowness as slowness_lib
from lugcross import experts
from lugcross import ids

#: Time between two looks at a group that is about to change; as old as
#: reports are where they are read from another host.
_LOOK_SOON = datetime.timedelta(milliseconds=200)
#: Passes from a report to the one at which maps change, at most, and where
#: it is not known what a pass takes.
_AHEAD = 5


@final
@dataclasses.dataclass
class Group:
    """One group of ranks.

    :param members: who is which rank; whole once there are ``size``.
    :param used: the map in use; none while it is not known.
    :param awaited: version that all ranks are armed with, until it is in
        use.
    :param looked_at: when rank 0 told its state last.
    :param hold_seen: a pass held by someone else, and since when.
    :param touched: whether this process has switched it: only then may a
        report that is some time old show a hold of its own.
    :param planned_at: when the reading was made that a map was last
        planned by.
    :param copying: the map that its ranks copy experts for.
    :param report_lag: age of what its ranks report.
    :param pulse: what its passes take.
    :param slowness: which of its ranks are slow.
    :param restraint: whether changes of its map break it.
    """

    name: str
    service: ids.ServiceName
    limits: experts.Limits
    size: int
    members: dict[experts.Rank, desired.Backend] = dataclasses.field(
        default_factory=dict
    )
    epoch: experts.Epoch = experts.Epoch(0)
    is_open: bool = False
    step: experts.Step = experts.Step(0)
    version: experts.MapVersion = experts.MapVersion(0)
    newest: experts.MapVersion = experts.MapVersion(0)
    used: experts.ExpertMap | None = None
    awaited: experts.MapVersion | None = None
    looked_at: clock_lib.Instant | None = None
    hold_seen: tuple[experts.Step, clock_lib.Instant] | None = None
    busy: bool = False
    touched: bool = False
    planned_at: clock_lib.Instant | None = None
    copying: experts.ExpertMap | None = None
    report_lag: datetime.timedelta = datetime.timedelta()
    pulse: pulse_lib.Pulse = dataclasses.field(default_factory=pulse_lib.Pulse)
    slowness: slowness_lib.Slowness = dataclasses.field(
        default_factory=slowness_lib.Slowness
    )
    restraint: experts.Restraint = dataclasses.field(
        default_factory=experts.Restraint
    )

    @property
    def whole(self) -> bool:
        """Whether every rank is known."""
        return len(self.members) == self.size > 0

    @property
    def ready(self) -> bool:
        """Whether a switch may be planned."""
        settled = self.awaited is None and self.hold_seen is None
        known = self.whole and self.used is not None
        return self.is_open and known and settled and not self.busy

    @property
    def is_new(self) -> bool:
        """Whether it still has the map that it began its life with."""
        return self.version == 0

    def ahead(self) -> int:
        """Return how many passes may begin until all ranks are armed.

        Those that have begun since what a report tells, and one in which
        the orders are given.
        """
        usual = self.pulse.usual
        if not usual or not self.report_lag:
            return _AHEAD
        return min(_AHEAD, 1 + int(self.report_lag / usual))

    def awake(
        self, resting: Collection[desired.BackendKey]
    ) -> list[experts.Rank]:
        """Return the ranks that may be asked, in order.

        :param resting: servers that want nothing from this process.
        """
        return sorted(
            rank
            for rank, backend in self.members.items()
            if backend.key not in resting
        )

    def sample(
        self, count: int, resting: Collection[desired.BackendKey] = ()
    ) -> list[experts.Rank]:
        """Return the first rank and others spread over the group.

        Ranks of one failure domain mostly have numbers side by side.
        """
        ranks = self.awake(resting)
        return ranks[:: max(1, math.ceil(len(ranks) / count))]

    def look_due(
        self, now: clock_lib.Instant, gap: datetime.timedelta
    ) -> bool:
        """Tell whether its state should be asked for.

        Sooner than usual where something is about to change.
        """
        if self.looked_at is None:
            return True
        if not self.is_open:
            gap = min(gap, _LOOK_SOON)
        if self.hold_seen is not None or self.awaited is not None:
            gap = min(gap, _LOOK_SOON)
        return now - self.looked_at >= gap

    def lost(self, now: clock_lib.Instant) -> None:
        """Note that no rank tells its state."""
        self.is_open = False
        self.looked_at = now

    def take(self, report: experts.Report, now: clock_lib.Instant) -> None:
        """Take over what a rank tells; only rank 0 is ever held."""
        self.looked_at = now
        if report.epoch < self.epoch:
            return
        if report.epoch != self.epoch:
            self.epoch = report.epoch
            self.version = self.newest = experts.MapVersion(0)
            self.used = experts.dealt_out(self.size, self.limits)
            self.awaited = None
            # What was seen before it broke is the best to plan by now.
            self.planned_at = None
        self.is_open = report.is_open
        self.step = report.step
        self.newest = max(self.newest, report.newest)
        if report.used == self.awaited:
            self.awaited = None
        if report.used != self.version and self.awaited is None:
            # Someone else has switched it; ranks are asked for the map.
            self.version = report.used
            self.used = None
        if report.rank == 0 and not self.busy:
            self._note_hold(report.held, now)

    def _note_hold(
        self, held: experts.Step | None, now: clock_lib.Instant
    ) -> None:
        if held is None:
            self.hold_seen = None
        elif self.hold_seen is None or self.hold_seen[0] != held:
            self.hold_seen = held, now

    def hold_is_left(
        self, now: clock_lib.Instant, after: datetime.timedelta
    ) -> bool:
        """Tell whether nobody will release the pass that is held."""
        seen = self.hold_seen
        return seen is not None and now - seen[1] >= after

    def switched(
        self, version: experts.MapVersion, used: experts.ExpertMap
    ) -> None:
        """Note that all ranks will take up a map soon."""
        self.version = version
        self.newest = max(self.newest, version)
        self.used = used
        self.awaited = version


@final
class Groups:
    """All groups of the services with expert maps."""

    def __init__(self) -> None:
        self._groups: dict[tuple[ids.ServiceName, str], Group] = {}
        self._placed: dict[desired.BackendKey, Group] = {}

    def clear(self) -> None:
        """Forget all but what is being switched."""
        self._groups = {k: g for k, g in self._groups.items() if g.busy}
        self._placed = {k: g for k, g in self._placed.items() if g.busy}

    def of(self, service: ids.ServiceName) -> list[Group]:
        """Return the groups of a service, in order of their names."""
        found = [g for k, g in self._groups.items() if k[0] == service]
        return sorted(found, key=lambda group: group.name)

    def broken(self) -> list[desired.BackendKey]:
        """Return the backend servers whose groups take no requests."""
        return [
            backend.key
            for group in self._groups.values()
            if group.looked_at is not None and not group.is_open
            for backend in group.members.values()
        ]

    def slow(self) -> list[desired.BackendKey]:
        """Return the backend servers that hold their groups back."""
        return [
            group.members[rank].key
            for group in self._groups.values()
            for rank in group.slowness.ranks()
            if rank in group.members
        ]

    def of_backend(self, key: desired.BackendKey) -> Group | None:
        """Return the group that a backend server is a rank of, if known."""
        return self._placed.get(key)

    def unplaced(
        self, backends: Iterable[desired.Backend]
    ) -> list[desired.Backend]:
        """Return those of which it is not known what rank they are."""
        return [one for one in backends if one.key not in self._placed]

    def place(
        self,
        backend: desired.Backend,
        report: experts.Report,
        engine: desired.EngineSpec,
    ) -> None:
        """Note which rank of which group a backend server is."""
        limits = engine.experts
        assert limits is not None
        key = backend.service, report.group
        group = self._groups.get(key)
        if group is None or group.size != report.size:
            group = Group(
                report.group,
                backend.service,
                limits,
                report.size,
                report_lag=engine.report_lag,
            )
            self._groups[key] = group
        group.members[report.rank] = backend
        self._placed[backend.key] = group

    def keep_only(self, backends: Iterable[desired.Backend]) -> None:
        """Forget ranks that are gone."""
        known = {one.key for one in backends}
        for key in self._placed.keys() - known:
            del self._placed[key]
        for group in self._groups.values():
            for rank, backend in list(group.members.items()):
                if backend.key not in known:
                    del group.members[rank]
