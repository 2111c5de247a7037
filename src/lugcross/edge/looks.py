# SPDX-License-Identifier: Apache-2.0
"""Asks ranks who they are, how their group is and what map it has."""

import asyncio
import datetime
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import groups as groups_lib
from lugcross.edge import rests as rests_lib
from lugcross import experts
from lugcross import ids
from lugcross import platform

#: Ranks that are asked for the state of a group where one is not enough:
#: the first may be the one that is cut off.
_ASKED = 3
#: Time between two rounds of asking who is which rank of which group.
_PLACE = datetime.timedelta(seconds=1)


@final
class Looks:
    """Takes what ranks report over into what is known of their groups.

    Ranks that asked this process for rest are not asked; what their groups
    are is known from the others, or stands as it was.
    """

    def __init__(
        self,
        engines: platform.EngineClient,
        groups: groups_lib.Groups,
        clock: clock_lib.Clock,
        rests: rests_lib.Rests,
    ) -> None:
        self._rests = rests
        self._engines = engines
        self._groups = groups
        self._clock = clock
        self._placed_at: dict[ids.ServiceName, clock_lib.Instant] = {}

    async def place(
        self, backends: list[desired.Backend], engine: desired.EngineSpec
    ) -> None:
        """Learn which ranks of which groups some servers are."""
        backends = [one for one in backends if not self._rests.rests(one.key)]
        if not backends:
            return
        now = self._clock.monotonic()
        last = self._placed_at.get(backends[0].service)
        if last is not None and now - last < _PLACE:
            return
        self._placed_at[backends[0].service] = now
        reports = await asyncio.gather(*map(self.report, backends))
        for backend, report in zip(backends, reports, strict=True):
            if report is not None:
                self._groups.place(backend, report, engine)

    async def report(self, backend: desired.Backend) -> experts.Report | None:
        """Return what a rank tells; none if it does not."""
        try:
            return await self._engines.report(backend)
        except platform.EngineQueryError as exc:
            logging.info(
                "engine did not report",
                extra={"backend": backend.key, "why": str(exc)},
            )
            return None

    async def ask_ranks(self, group: groups_lib.Group) -> None:
        """Take over what a few ranks tell; one of them may be cut off."""
        resting = self._rests.servers()
        ranks = group.sample(1 if group.is_open else _ASKED, resting)
        if not ranks:
            return
        reports = await self._reports(group, ranks)
        if not reports:
            others = group.sample(_ASKED, resting)
            reports = await self._reports(group, others)
        now = self._clock.monotonic()
        if not reports:
            group.lost(now)
        for report in reports:
            group.take(report, now)

    async def ask_slowness(self, group: groups_lib.Group) -> None:
        """Ask all ranks how slow they are, if that is due."""
        if not group.slowness.is_due(self._clock.monotonic()):
            return
        awake = group.awake(self._rests.servers())
        reports = await self._reports(group, awake)
        told = {one.rank: one.slowness for one in reports}
        if group.slowness.told(told, self._clock.monotonic()):
            logging.info(
                "ranks are slow",
                extra={
                    "group": group.name,
                    "ranks": {
                        str(group.members[rank].key): times
                        for rank, times in told.items()
                        if times > 1.0 and rank in group.members
                    },
                },
            )
            group.planned_at = None

    async def _reports(
        self, group: groups_lib.Group, ranks: list[experts.Rank]
    ) -> list[experts.Report]:
        found = await asyncio.gather(
            *(self.report(group.members[rank]) for rank in ranks)
        )
        return [
            one for one in found if one is not None and one.group == group.name
        ]

    def is_resting(self, group: groups_lib.Group) -> bool:
        """Tell whether a rank wants nothing from this process now."""
        return len(group.awake(self._rests.servers())) < len(group.members)

    async def read_map(
        self, group: groups_lib.Group
    ) -> experts.ExpertMap | None:
        """Return the map that a group uses; none if a rank is silent."""
        if self.is_resting(group):
            return None
        try:
            ranks = await asyncio.gather(
                *(
                    self._engines.held_experts(group.members[rank])
                    for rank in sorted(group.members)
                )
            )
        except platform.EngineQueryError as exc:
            logging.info(
                "map not known", extra={"group": group.name, "why": str(exc)}
            )
            return None
        return experts.ExpertMap(tuple(ranks))
