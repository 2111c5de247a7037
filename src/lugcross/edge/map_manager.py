# SPDX-License-Identifier: Apache-2.0
"""Manages the expert maps of all rank groups while this process is leader."""

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
from lugcross.edge import switch_tasks
from lugcross.edge import unreachable_ranks
from lugcross import experts
from lugcross import ids
from lugcross import platform

#: About one pass of an engine, so that the round after a jump of demand comes
#: within the next pass.
_ROUND_INTERVAL_S = 0.05
#: Passes after a jump of demand over which the new demand is counted.
_SETTLE_PASS_COUNT = 1.2
#: Time between two state queries of a group in a steady state. A report costs
#: an engine as much as a health check, and changes only with faults.
_REPORT_INTERVAL = datetime.timedelta(milliseconds=500)
#: Time after which a pass held by another process counts as abandoned. A
#: switch releases it within tens of milliseconds, but reports of it lag by
#: some hundred.
_ABANDONED_HOLD_AGE = datetime.timedelta(milliseconds=400)
#: Time for which planning may block the event loop before it yields. Checked
#: between planning steps, so that a slice may exceed it by one step.
_MAX_PLANNING_SLICE = datetime.timedelta(milliseconds=5)
#: Time to copy one expert, used where the engine's limits give none.
_DEFAULT_COPY_S = 0.001


@final
class MapManager:
    """Periodic task that plans and switches the expert maps of rank groups.

    Manages maps only while this process is the leader. Also publishes which
    backend servers belong to broken groups or are slow ranks.

    :param engines: client for queries and orders to the ranks.
    :param sleep: coroutine function that waits for a number of seconds.
    :param leadership: tells whether this process is the leader.
    :param allocator: allocates the map versions and passes of this process.
    :param on_group_state_change: called when a group has broken or opened.
    :param node: name under which this process publishes its observations.
    :param cfg: thresholds for switching a map.
    """

    def __init__(
        self,
        edge_state: edge_state_lib.EdgeState,
        engines: platform.EngineClient,
        *,
        clock: clock_lib.Clock,
        sleep: switch_driver.Sleep,
        leadership: map_leadership.MapLeadership,
        allocator: experts.SwitchNumberAllocator,
        on_group_state_change: Callable[[], None],
        node: str,
        cfg: settings_lib.Maps,
    ) -> None:
        self.cfg = cfg
        self._on_group_state_change = on_group_state_change
        self._node = node
        self._edge_state = edge_state
        edge_state.on_event_gap = self._on_event_gap
        edge_state.crash_tracker.on_crashed_servers = self._on_crashed_servers
        self._clock = clock
        self._leadership = leadership
        self._sleep = sleep
        self._groups = rank_groups.RankGroups()
        self._demand_reader = demand_reader.DemandReader(
            engines, clock, edge_state.backoffs
        )
        self._queries = rank_queries.RankQueries(
            engines,
            self._groups,
            clock,
            edge_state.backoffs,
            edge_state.reachability.unreachable,
        )
        edge_state.reachability.on_change = self._on_reachability_change
        self.switch_tasks = switch_tasks.SwitchTasks(
            engines,
            self._queries,
            allocator=allocator,
            leadership=leadership,
            clock=clock,
            sleep=sleep,
        )
        self._was_leader = False
        #: Servers of unknown rank that belong to broken groups.
        self._servers_without_group: dict[
            ids.ServiceName, list[desired.BackendKey]
        ] = {}

    def _on_event_gap(
        self, key: desired.BackendKey, gap: datetime.timedelta
    ) -> None:
        """Update pass times from the gap between two events of a stream."""
        group = self._groups.of_backend(key)
        if group is None:
            return
        if group.pass_times.observe_event_gap(gap, self._clock.monotonic()):
            logging.info(
                "pass time jumped",
                extra={"group": group.name, "pass_s": gap.total_seconds()},
            )
            self._demand_reader.note_jump(
                group.service, gap * _SETTLE_PASS_COUNT
            )
            group.rank_slowness.note_jump(
                self._clock.monotonic(), group.report_lag
            )

    def _on_crashed_servers(self, servers: frozenset[str]) -> None:
        """Report the groups of crashed ranks as broken at once.

        Their other ranks report that only after they have stood still for
        more than a second.
        """
        if not self._was_leader:
            return
        for group in self._groups.note_crashed_servers(
            servers, self._clock.monotonic()
        ):
            self._note_break(group)
            self._publish_state(group)

    def _on_reachability_change(self) -> None:
        """Report the groups that span an unreachable domain at once.

        A round of queries may have to wait for connections to time out.
        """
        if self._was_leader:
            for backends in self._engines_by_service().values():
                self._mark_unreachable(backends)

    def _mark_unreachable(self, backends: list[desired.Backend]) -> None:
        unreachable = self._edge_state.reachability.confirmed_unreachable()
        for group in unreachable_ranks.mark_groups(
            self._groups, backends, unreachable
        ):
            self._note_break(group)
            self._publish_state(group)
        if backends:
            self._servers_without_group[backends[0].service] = (
                unreachable_ranks.servers_without_group(self._groups, backends)
            )

    def _engines_by_service(
        self,
    ) -> dict[ids.ServiceName, list[desired.Backend]]:
        """Return the backend servers of each service with expert maps."""
        found: dict[ids.ServiceName, list[desired.Backend]] = {}
        for one in self._edge_state.backends.all():
            if self._edge_state.has_rank_groups(one.service):
                found.setdefault(one.service, []).append(one)
        return found

    def servers_of_broken_groups(self) -> list[desired.BackendKey]:
        """Return the backend servers of broken groups, if this is the leader.

        Empty in any other process, which queries no groups.
        """
        if not self._was_leader:
            return []
        found = self._groups.servers_of_broken_groups()
        for servers in self._servers_without_group.values():
            found += servers
        return found

    def slow_servers(self) -> list[desired.BackendKey]:
        """Return the slow ranks' backend servers, if this is the leader."""
        return self._groups.slow_servers() if self._was_leader else []

    async def run(self) -> None:
        """Run a round at every interval until cancelled."""
        while True:
            await self._sleep(_ROUND_INTERVAL_S)
            try:
                await self.round()
            except Exception:
                # The loop must outlive any fault: without it maps would no
                # longer change, and a pass held by a process that has died
                # would never be released.
                logging.exception("expert map round failed")

    def _note_leadership(self, is_leader: bool) -> None:
        if is_leader == self._was_leader:
            return
        self._was_leader = is_leader
        self._groups.clear()
        self._servers_without_group.clear()
        self._demand_reader.clear()
        logging.info("expert map leadership", extra={"mine": is_leader})

    async def round(self) -> None:
        """Query, plan and switch once, and publish the groups' state."""
        self._note_leadership(self._leadership.is_leader())
        if self._was_leader:
            await self._manage_all()
        self._edge_state.report_broken_groups(
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
        self._groups.retain_servers(service, backends)
        self._mark_unreachable(backends)
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
            if (
                demand is None
                or demand.read_at == group.planned_demand_read_at
            ):
                continue
            if group.map_being_copied is not None:
                group.planned_demand_read_at = demand.read_at
                await self._cancel_if_outdated(group, demand.uses)
            elif group.can_switch and not self._must_keep_map(group):
                group.planned_demand_read_at = demand.read_at
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
        has_lease = self._leadership.generation() is not None
        # Engines refuse orders of any earlier lease holder, so a hold can be
        # recovered at once, unless it may be this process's own.
        previous_holder_is_fenced = (
            has_lease and not group.was_switched_by_this_process
        )
        min_age = (
            datetime.timedelta()
            if previous_holder_is_fenced
            else _ABANDONED_HOLD_AGE
        )
        if group.hold_is_abandoned(now, min_age):
            self.switch_tasks.start_recovery(group)

    def _note_break(self, group: rank_groups.RankGroup) -> None:
        if group.switch_backoff.note_group_broken(self._clock.monotonic()):
            logging.warning(
                "group breaks at each map switch",
                extra={"group": group.name, "epoch": group.epoch},
            )

    def _publish_state(self, group: rank_groups.RankGroup) -> None:
        logging.info(
            "group opened" if group.is_open else "group broken",
            extra={"group": group.name, "epoch": group.epoch},
        )
        self._edge_state.report_broken_groups(
            self._node, self.servers_of_broken_groups()
        )
        self._on_group_state_change()

    async def _plan(
        self, group: rank_groups.RankGroup, uses: experts.Demand
    ) -> experts.MapPlan:
        """Plan a map for ``uses``, yielding to the event loop regularly."""
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
        """Cancel the switch in progress if a new plan is much better.

        :param uses: demand counted while ranks copy experts for the switch.
        """
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
            self.switch_tasks.cancel_if_copying(group)
            # Plan again for the same demand once the switch has ended.
            group.planned_demand_read_at = None

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
            self.switch_tasks.start_switch(group, plan)

    def _must_keep_map(self, group: rank_groups.RankGroup) -> bool:
        """Return whether a group's map must not be switched now.

        A switch sends orders to all ranks, so none is started while any of
        them is backing off, nor during the group's own switch backoff.
        """
        if self._queries.has_rank_backing_off(group):
            return True
        return group.switch_backoff.is_active(self._clock.monotonic())
