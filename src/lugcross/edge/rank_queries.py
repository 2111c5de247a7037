# SPDX-License-Identifier: Apache-2.0
"""Asks ranks who they are, how their group is and what map it has."""

import asyncio
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

#: Ranks that are asked for the state of a group where one is not enough:
#: the first may be the one that is cut off.
_SAMPLED_RANK_COUNT = 3
#: Time between two rounds of asking who is which rank of which group.
_DISCOVERY_INTERVAL = datetime.timedelta(seconds=1)


@final
class RankQueries:
    """Takes what ranks report over into what is known of their groups.

    Ranks that asked this process for rest are not asked; what their groups
    are is known from the others, or stands as it was.
    """

    def __init__(
        self,
        engines: platform.EngineClient,
        groups: rank_groups.RankGroups,
        clock: clock_lib.Clock,
        backoffs: server_backoffs_lib.ServerBackoffs,
    ) -> None:
        self._backoffs = backoffs
        self._engines = engines
        self._groups = groups
        self._clock = clock
        self._discovered_at: dict[ids.ServiceName, clock_lib.Instant] = {}

    async def discover_ranks(
        self, backends: list[desired.Backend], engine: desired.EngineSpec
    ) -> None:
        """Learn which ranks of which groups some servers are."""
        backends = [
            one for one in backends if not self._backoffs.is_active(one.key)
        ]
        if not backends:
            return
        now = self._clock.monotonic()
        last = self._discovered_at.get(backends[0].service)
        if last is not None and now - last < _DISCOVERY_INTERVAL:
            return
        self._discovered_at[backends[0].service] = now
        reports = await asyncio.gather(*map(self.fetch_report, backends))
        for backend, report in zip(backends, reports, strict=True):
            if report is not None:
                self._groups.assign_rank(backend, report, engine)

    async def fetch_report(
        self, backend: desired.Backend
    ) -> experts.RankReport | None:
        """Return what a rank tells; none if it does not."""
        try:
            return await self._engines.report(backend)
        except platform.EngineQueryError as exc:
            logging.info(
                "engine did not report",
                extra={"backend": backend.key, "why": str(exc)},
            )
            return None

    async def update_state(self, group: rank_groups.RankGroup) -> None:
        """Take over what a few ranks tell; one of them may be cut off."""
        resting = self._backoffs.servers()
        ranks = group.sample_ranks(
            1 if group.is_open else _SAMPLED_RANK_COUNT, resting
        )
        if not ranks:
            return
        reports = await self._fetch_reports(group, ranks)
        if not reports:
            others = group.sample_ranks(_SAMPLED_RANK_COUNT, resting)
            reports = await self._fetch_reports(group, others)
        now = self._clock.monotonic()
        if not reports:
            group.note_unreachable(now)
        for report in reports:
            group.apply_report(report, now)

    async def update_slowness(self, group: rank_groups.RankGroup) -> None:
        """Ask all ranks how slow they are, if that is due."""
        if not group.rank_slowness.query_is_due(self._clock.monotonic()):
            return
        ranks = group.ranks_to_ask(self._backoffs.servers())
        reports = await self._fetch_reports(group, ranks)
        factors = {one.rank: one.slowness for one in reports}
        if group.rank_slowness.update(factors, self._clock.monotonic()):
            logging.info(
                "ranks are slow",
                extra={
                    "group": group.name,
                    "ranks": {
                        str(group.servers_by_rank[rank].key): times
                        for rank, times in factors.items()
                        if times > 1.0 and rank in group.servers_by_rank
                    },
                },
            )
            group.planned_reading_at = None

    async def _fetch_reports(
        self, group: rank_groups.RankGroup, ranks: list[experts.Rank]
    ) -> list[experts.RankReport]:
        found = await asyncio.gather(
            *(self.fetch_report(group.servers_by_rank[rank]) for rank in ranks)
        )
        return [
            one for one in found if one is not None and one.group == group.name
        ]

    def has_rank_backing_off(self, group: rank_groups.RankGroup) -> bool:
        """Tell whether a rank wants nothing from this process now."""
        return len(group.ranks_to_ask(self._backoffs.servers())) < len(
            group.servers_by_rank
        )

    async def read_map(
        self, group: rank_groups.RankGroup
    ) -> experts.ExpertMap | None:
        """Return the map that a group uses; none if a rank is silent."""
        if self.has_rank_backing_off(group):
            return None
        try:
            ranks = await asyncio.gather(
                *(
                    self._engines.held_experts(group.servers_by_rank[rank])
                    for rank in sorted(group.servers_by_rank)
                )
            )
        except platform.EngineQueryError as exc:
            logging.info(
                "map not known", extra={"group": group.name, "why": str(exc)}
            )
            return None
        return experts.ExpertMap(tuple(ranks))
