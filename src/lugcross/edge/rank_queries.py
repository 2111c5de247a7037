# SPDX-License-Identifier: Apache-2.0
"""Queries ranks for their group, its state, its map and their slowness."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
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

#: Ranks queried for the state of a group that is not open, or whose first
#: rank did not answer: a single rank may be unreachable from this host.
_SAMPLED_RANK_COUNT = 3
#: Least time between two discoveries of the ranks of one service.
_DISCOVERY_INTERVAL = datetime.timedelta(seconds=1)


@final
class RankQueries:
    """Queries ranks and updates the state of their groups.

    Ranks whose backend servers are backing off, or in an unreachable domain,
    are not queried. The state of their groups is taken from the other ranks;
    if there are none, it stays as it was.

    :param unreachable_domains: returns the domains that can't be reached;
        each query there would last until its connection times out.
    """

    def __init__(
        self,
        engines: platform.EngineClient,
        groups: rank_groups.RankGroups,
        clock: clock_lib.Clock,
        backoffs: server_backoffs_lib.ServerBackoffs,
        unreachable_domains: Callable[
            [], frozenset[ids.DomainName]
        ] = frozenset,
    ) -> None:
        self._unreachable_domains = unreachable_domains
        self._backoffs = backoffs
        self._engines = engines
        self._groups = groups
        self._clock = clock
        self._discovered_at: dict[ids.ServiceName, clock_lib.Instant] = {}

    async def discover_ranks(
        self, backends: list[desired.Backend], engine: desired.EngineSpec
    ) -> None:
        """Ask backend servers which rank of which group they are.

        Does nothing within the discovery interval of their service.

        :param backends: servers of one service whose rank is not yet known.
        """
        unavailable = self._unavailable(backends)
        backends = [one for one in backends if one.key not in unavailable]
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
        """Return the report of a backend server, or None if it sent none."""
        try:
            return await self._engines.report(backend)
        except platform.EngineQueryError as exc:
            logging.info(
                "engine did not report",
                extra={"backend": backend.key, "why": str(exc)},
            )
            return None

    async def update_state(self, group: rank_groups.RankGroup) -> None:
        """Query the state of a group from one rank or a few.

        The group is marked unreachable only if none of the sampled ranks
        answers. It is forgotten if it has formed with another number of ranks.
        """
        unavailable = self._unavailable(group.servers_by_rank.values())
        ranks = group.sample_ranks(
            1 if group.is_open else _SAMPLED_RANK_COUNT, unavailable
        )
        if not ranks:
            return
        reports = await self._fetch_reports(group, ranks)
        if not reports:
            others = group.sample_ranks(_SAMPLED_RANK_COUNT, unavailable)
            reports = await self._fetch_reports(group, others)
        now = self._clock.monotonic()
        if not reports:
            group.note_unreachable(now)
        if any(group.has_another_size(report) for report in reports):
            self._groups.forget(group)
            return
        for report in reports:
            group.apply_report(report, now)

    async def update_slowness(self, group: rank_groups.RankGroup) -> None:
        """Query the slowness of all ranks, if that is due."""
        if not group.rank_slowness.query_is_due(self._clock.monotonic()):
            return
        ranks = group.queryable_ranks(self._backoffs.servers())
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
            group.planned_demand_read_at = None

    def _unavailable(
        self, backends: Iterable[desired.Backend]
    ) -> frozenset[desired.BackendKey]:
        """Return the servers that are not queried, of ``backends`` or any."""
        backing_off = self._backoffs.servers()
        domains = self._unreachable_domains()
        if not domains:
            return backing_off
        return backing_off | {
            one.key for one in backends if one.domain in domains
        }

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
        """Return whether the backend server of any rank is backing off."""
        return len(group.queryable_ranks(self._backoffs.servers())) < len(
            group.servers_by_rank
        )

    async def read_map(
        self, group: rank_groups.RankGroup
    ) -> experts.ExpertMap | None:
        """Read the map in use from all ranks of a group.

        :returns: None if any rank is backing off or did not answer.
        """
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
                "expert map not read",
                extra={"group": group.name, "why": str(exc)},
            )
            return None
        return experts.ExpertMap(tuple(ranks))
