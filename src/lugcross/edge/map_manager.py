# SPDX-License-Identifier: Apache-2.0
"""Looks after the expert maps of all groups while this process leads."""

import asyncio
from collections.abc import Callable
import datetime
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import demand_reader
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import map_leadership
from lugcross.edge import rank_groups
from lugcross.edge import rank_queries
from lugcross.edge import settings as settings_lib
from lugcross.edge import switch_driver
from lugcross.edge import switch_runner
from lugcross import experts
from lugcross import ids
from lugcross import platform

#: Time between two rounds, in seconds: about one pass of an engine, so
#: that a jump of demand is followed at the next.
_ROUND_INTERVAL_S = 0.05
#: Passes after a jump in which one rank's counts tell the new demand.
_SETTLE_PASS_COUNT = 1.2
#: Time between two looks at a group; a report costs as much as a health
#: check, and what it tells changes only with faults.
_REPORT_INTERVAL = datetime.timedelta(milliseconds=500)
#: How long a pass held by someone else is left alone: a switch releases
#: it within some tens of milliseconds, reports are some hundred old.
_ABANDONED_HOLD_AGE = datetime.timedelta(milliseconds=400)
#: Longest time that planning blocks its process, past one of its steps:
#: a few requests' worth of work.
_MAX_PLANNING_SLICE = datetime.timedelta(milliseconds=5)
#: Stands for the time of one copy where the platform tells none, seconds.
_DEFAULT_COPY_S = 0.001


@final
class MapManager:
    """Sees demand, plans and has groups switched.

    :param engines: reaches the ranks.
    :param sleep: waits for some seconds.
    :param leadership: tells whether they are this process's to look after.
    :param allocator: chooses versions and passes for this process.
    :param on_group_state_change: called when a group has broken or formed
        anew.
    :param node: name of this process's host.
    :param cfg: when a map is worth changing.
    """

    def __init__(
        self,
        edge_state: edge_state_lib.EdgeState,
        engines: platform.EngineClient,
        *,
        clock: clock_lib.Clock,
        sleep: switch_driver.Sleep,
        leadership: map_leadership.MapLeadership,
        allocator: experts.NumberAllocator,
        on_group_state_change: Callable[[], None],
        node: str,
        cfg: settings_lib.Maps,
    ) -> None:
        self.cfg = cfg
        self._on_group_state_change = on_group_state_change
        self._node = node
        self._edge_state = edge_state
        edge_state.on_event_gap = self._note_pause
        self._clock = clock
        self._leadership = leadership
        self._sleep = sleep
        self._groups = rank_groups.RankGroups()
        self._demand_reader = demand_reader.DemandReader(
            engines, clock, edge_state.backoffs
        )
        self._queries = rank_queries.RankQueries(
            engines, self._groups, clock, edge_state.backoffs
        )
        self.switch_runner = switch_runner.SwitchRunner(
            engines,
            self._queries,
            allocator=allocator,
            leadership=leadership,
            clock=clock,
            sleep=sleep,
        )
        self._was_leader = False

    def _note_pause(
        self, key: desired.BackendKey, pause: datetime.timedelta
    ) -> None:
        """Learn what a pass takes from a pause between two events."""
        group = self._groups.of_backend(key)
        if group is None:
            return
        if group.pass_times.note_pause(pause, self._clock.monotonic()):
            logging.info(
                "passes have jumped",
                extra={"group": group.name, "pass_s": pause.total_seconds()},
            )
            self._demand_reader.note_jump(
                group.service, pause * _SETTLE_PASS_COUNT
            )
            group.rank_slowness.note_jump(
                self._clock.monotonic(), group.report_lag
            )

    def servers_of_broken_groups(self) -> list[desired.BackendKey]:
        """Return the servers whose groups this process saw broken."""
        return (
            self._groups.servers_of_broken_groups() if self._was_leader else []
        )

    def slow_servers(self) -> list[desired.BackendKey]:
        """Return the servers that hold their groups back, as they told."""
        return self._groups.slow_servers() if self._was_leader else []

    async def run(self) -> None:
        """Look after the maps until cancelled."""
        while True:
            await self._sleep(_ROUND_INTERVAL_S)
            try:
                await self.round()
            except Exception:
                # A fault in here must not end the looking: maps would stay
                # as they are, and a pass held by a dead process held.
                logging.exception("looking after expert maps failed")

    def _note_leadership(self, is_leader: bool) -> None:
        if is_leader == self._was_leader:
            return
        self._was_leader = is_leader
        self._groups.clear()
        self._demand_reader.clear()
        logging.info("duty of expert maps", extra={"mine": is_leader})

    async def round(self) -> None:
        """Look once at all that is due."""
        self._note_leadership(self._leadership.is_leader())
        if self._was_leader:
            await self._manage_all()
        self._edge_state.broken_group_servers.report(
            self._node, self.servers_of_broken_groups()
        )
        self._edge_state.slow_servers.report(self._node, self.slow_servers())

    async def _manage_all(self) -> None:
        state = self._edge_state.desired
        for service in state.services.values() if state else ():
            engine = service.engine
            if engine is not None and engine.experts is not None:
                await self._manage_service(
                    service.name, engine, engine.experts
                )

    async def _manage_service(
        self,
        service: ids.ServiceName,
        engine: desired.EngineSpec,
        limits: experts.ExpertLimits,
    ) -> None:
        backends = [
            one
            for one in self._edge_state.backends.all()
            if one.service == service
        ]
        self._groups.retain_servers(backends)
        groups = self._groups.of_service(service)
        await asyncio.gather(
            self._demand_reader.read_counts(service, groups, limits),
            self._queries.discover_ranks(
                self._groups.servers_of_unknown_rank(backends), engine
            ),
            *map(self._update_group, groups),
            *(
                self._queries.update_slowness(group)
                for group in groups
                if group.is_open and group.is_complete
            ),
        )
        for group in groups:
            demand = self._demand_reader.demand_for(service, group)
            if demand is None or demand.read_at == group.planned_reading_at:
                continue
            if group.map_being_copied is not None:
                group.planned_reading_at = demand.read_at
                await self._cancel_if_outdated(group, demand.uses)
            elif group.can_switch and not self._must_keep_map(group):
                group.planned_reading_at = demand.read_at
                await self._switch_if_worthwhile(group, demand.uses)

    async def _update_group(self, group: rank_groups.RankGroup) -> None:
        now = self._clock.monotonic()
        if not group.servers_by_rank or not group.report_is_due(
            now, _REPORT_INTERVAL
        ):
            return
        was_open, epoch = group.is_open, group.epoch
        await self._queries.update_state(group)
        if was_open and (not group.is_open or group.epoch != epoch):
            self._note_break(group)
        if group.is_open != was_open:
            self._publish_state(group)
        if group.is_switching or not group.is_open or not group.is_complete:
            return
        if group.current_map is None:
            group.current_map = await self._queries.read_map(group)
        leased = self._leadership.generation() is not None
        # With a lease of our own, whoever held it before cannot go on.
        previous_holder_is_fenced = leased and not group.was_switched_here
        min_age = (
            datetime.timedelta()
            if previous_holder_is_fenced
            else _ABANDONED_HOLD_AGE
        )
        if group.hold_is_abandoned(now, min_age):
            self.switch_runner.start_recovery(group)

    def _note_break(self, group: rank_groups.RankGroup) -> None:
        if group.switch_backoff.note_group_broken(self._clock.monotonic()):
            logging.warning(
                "group breaks at each change of its map",
                extra={"group": group.name, "epoch": group.epoch},
            )

    def _publish_state(self, group: rank_groups.RankGroup) -> None:
        logging.info(
            "group opened" if group.is_open else "group broken",
            extra={"group": group.name, "epoch": group.epoch},
        )
        self._edge_state.broken_group_servers.report(
            self._node, self.servers_of_broken_groups()
        )
        self._on_group_state_change()

    async def _plan(
        self, group: rank_groups.RankGroup, uses: experts.Demand
    ) -> experts.MapPlan:
        """Plan a map; requests are served between its steps."""
        assert group.current_map is not None
        copies = int(
            self.cfg.copy_s / (group.limits.copy_s or _DEFAULT_COPY_S)
        )
        planning = experts.plan_in_steps(
            uses,
            group.current_map,
            group.limits,
            max_copies_per_rank=max(1, copies),
            slowness=group.rank_slowness.factors(group.rank_count),
        )
        begun = self._clock.monotonic()
        while True:
            try:
                next(planning)
            except StopIteration as exc:
                plan: experts.MapPlan = exc.value
                return plan
            if self._clock.monotonic() - begun >= _MAX_PLANNING_SLICE:
                await asyncio.sleep(0)
                begun = self._clock.monotonic()

    async def _cancel_if_outdated(
        self, group: rank_groups.RankGroup, uses: experts.Demand
    ) -> None:
        """Leave a map that demand has left behind while it is copied."""
        copying = group.map_being_copied
        assert copying is not None
        plan = await self._plan(group, uses)
        if group.map_being_copied is not copying:
            return
        skew = experts.load_skew(
            uses, copying, group.rank_slowness.factors(group.rank_count)
        )
        saving = experts.pass_time_saving(
            skew, plan.skew_after, group.limits.expert_time_ratio
        )
        if saving >= self.cfg.least_saving:
            self.switch_runner.cancel_if_copying(group)
            # Planned anew by the same reading, once it is left.
            group.planned_reading_at = None

    async def _switch_if_worthwhile(
        self, group: rank_groups.RankGroup, uses: experts.Demand
    ) -> None:
        plan = await self._plan(group, uses)
        saving = experts.pass_time_saving(
            plan.skew_before, plan.skew_after, group.limits.expert_time_ratio
        )
        is_worthwhile = saving >= self.cfg.least_saving
        logging.info(
            "expert map planned",
            extra={
                "group": group.name,
                "version": group.version_in_use,
                "skew": round(plan.skew_before, 2),
                "planned": round(plan.skew_after, 2),
                "copies": plan.max_copies_per_rank,
                "switch": is_worthwhile,
            },
        )
        if is_worthwhile:
            group.switch_backoff.note_switch_started()
            self.switch_runner.start_switch(group, plan)

    def _must_keep_map(self, group: rank_groups.RankGroup) -> bool:
        """Tell whether a map is to be left as it is for now.

        A switch needs orders to all ranks, also to those that want nothing.
        """
        if self._queries.has_rank_backing_off(group):
            return True
        return group.switch_backoff.is_active(self._clock.monotonic())
