# SPDX-License-Identifier: Apache-2.0
"""What experts are in demand, as one process sees it from afar."""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import rank_groups
from lugcross.edge import server_backoffs as server_backoffs_lib
from lugcross import experts
from lugcross import ids
from lugcross import platform

#: Time between two readings of counts. Demand jumps every few seconds;
#: each reading is priced by its counts.
_READ_INTERVAL = datetime.timedelta(milliseconds=800)
#: The same where nothing has been seen yet, as after a takeover or where
#: the group has just formed: a few passes, of which the counts of one rank
#: tell enough.
_FIRST_READ_INTERVAL = datetime.timedelta(milliseconds=250)
#: Age up to which a group that formed anew is planned for by old demand.
_MAX_AGE_FOR_NEW_GROUP = datetime.timedelta(seconds=15)


@final
@dataclasses.dataclass(frozen=True)
class _CountsReading:
    """Counts of one rank and when they were read."""

    backend: desired.BackendKey
    counts: experts.ExpertCounts
    read_at: clock_lib.Instant


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RecentDemand:
    """What was in demand between two readings.

    :param read_at: when the second of them was made.
    :param is_outdated: whether demand has jumped since.
    """

    uses: experts.Demand
    read_at: clock_lib.Instant
    is_outdated: bool = False


@final
class DemandReader:
    """Reads the counts of one rank of each service again and again."""

    def __init__(
        self,
        engines: platform.EngineClient,
        clock: clock_lib.Clock,
        backoffs: server_backoffs_lib.ServerBackoffs,
    ) -> None:
        self._backoffs = backoffs
        self._engines = engines
        self._clock = clock
        self._last_readings: dict[ids.ServiceName, _CountsReading] = {}
        self._next_intervals: dict[ids.ServiceName, datetime.timedelta] = {}
        self._recent: dict[ids.ServiceName, RecentDemand] = {}

    def clear(self) -> None:
        """Forget everything: another process has looked meanwhile."""
        self._last_readings.clear()
        self._next_intervals.clear()
        self._recent.clear()

    def note_jump(
        self, service: ids.ServiceName, settle_time: datetime.timedelta
    ) -> None:
        """Begin anew: what was counted before tells of the past.

        :param settle_time: time in which counts tell enough of the new demand.
        """
        self._last_readings.pop(service, None)
        self._next_intervals[service] = settle_time
        recent = self._recent.get(service)
        if recent is not None:
            self._recent[service] = dataclasses.replace(
                recent, is_outdated=True
            )

    async def read_counts(
        self,
        service: ids.ServiceName,
        groups: Iterable[rank_groups.RankGroup],
        limits: experts.ExpertLimits,
    ) -> None:
        """Read the counts of one rank, if that is due.

        All groups of a service see the same demand, so that one rank of
        one of them tells enough.
        """
        group = next((g for g in groups if g.is_open and g.is_complete), None)
        now = self._clock.monotonic()
        last = self._last_readings.get(service)
        if group is None:
            return
        if last is not None and now - last.read_at < self._interval(service):
            return
        ranks = group.ranks_to_ask(self._backoffs.servers())
        if not ranks:
            return
        backend = group.servers_by_rank[ranks[0]]
        try:
            counts = await self._engines.counts(backend, limits)
        except platform.EngineQueryError as exc:
            logging.info("no counts", extra={"why": str(exc)})
            return
        self._last_readings[service] = _CountsReading(backend.key, counts, now)
        if last is None or last.backend != backend.key:
            return
        self._next_intervals.pop(service, None)
        if last.counts.epoch != counts.epoch:
            self._next_intervals[service] = _FIRST_READ_INTERVAL
        uses = experts.uses_between(last.counts, counts)
        if uses is not None:
            self._recent[service] = RecentDemand(uses=uses, read_at=now)

    def _interval(self, service: ids.ServiceName) -> datetime.timedelta:
        usual = (
            _READ_INTERVAL if service in self._recent else _FIRST_READ_INTERVAL
        )
        return self._next_intervals.get(service, usual)

    def demand_for(
        self, service: ids.ServiceName, group: rank_groups.RankGroup
    ) -> RecentDemand | None:
        """Return what a group's map should be planned by, if it is known.

        For one that has just formed anew that may be what was in demand a
        while ago: about half of it has changed every few seconds; the rest
        is more than the group's first map knows.
        """
        recent = self._recent.get(service)
        if recent is None:
            return None
        age = self._clock.monotonic() - recent.read_at
        if group.has_initial_map:
            return recent if age <= _MAX_AGE_FOR_NEW_GROUP else None
        return (
            recent
            if age <= _READ_INTERVAL and not recent.is_outdated
            else None
        )
