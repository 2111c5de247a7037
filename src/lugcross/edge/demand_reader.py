# SPDX-License-Identifier: Apache-2.0
"""Measures the demand for experts from the counters of the engines."""

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

#: Time between two readings of counts. Demand jumps every few seconds, and
#: the cost of a reading grows with the number of its counts.
_READ_INTERVAL = datetime.timedelta(milliseconds=800)
#: Interval while the demand of the service is unknown, as after a change of
#: leader, and after its group began a new epoch. It spans a few passes, which
#: are enough for an estimate.
_FIRST_READ_INTERVAL = datetime.timedelta(milliseconds=250)
#: Greatest age of the demand that a group in a new epoch is planned for.
_MAX_AGE_FOR_NEW_GROUP = datetime.timedelta(seconds=15)


@final
@dataclasses.dataclass(frozen=True)
class _CountsReading:
    """Cumulative expert counts of one rank, and when they were read."""

    backend: desired.BackendKey
    counts: experts.ExpertCounts
    read_at: clock_lib.Instant


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RecentDemand:
    """Demand for the experts of a service between two readings of counts.

    :param uses: uses of each expert between the two readings.
    :param read_at: when the second reading was made.
    :param is_outdated: whether demand has jumped since.
    """

    uses: experts.Demand
    read_at: clock_lib.Instant
    is_outdated: bool = False


@final
class DemandReader:
    """Measures the demand of each service from periodic counts of one rank."""

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
        """Forget all readings, as when the leadership changes."""
        self._last_readings.clear()
        self._next_intervals.clear()
        self._recent.clear()

    def note_jump(
        self, service: ids.ServiceName, settle_time: datetime.timedelta
    ) -> None:
        """Start a new measurement because the demand of a service has jumped.

        :param settle_time: time over which to count the new demand.
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
        """Read the counts of one rank of a service, if that is due.

        All groups of a service have the same demand, so one rank of one
        open group is representative.
        """
        group = next((g for g in groups if g.is_open and g.is_complete), None)
        now = self._clock.monotonic()
        last = self._last_readings.get(service)
        if group is None:
            return
        if last is not None and now - last.read_at < self._interval(service):
            return
        ranks = group.queryable_ranks(self._backoffs.servers())
        if not ranks:
            return
        backend = group.servers_by_rank[ranks[0]]
        try:
            counts = await self._engines.counts(backend, limits)
        except platform.EngineQueryError as exc:
            logging.info("expert counts not read", extra={"why": str(exc)})
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
        """Return the demand to plan a group's map for, or None if unknown.

        For a group that still has its initial map this may be older demand:
        part of it has changed since, but the initial map takes no demand into
        account at all.
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
