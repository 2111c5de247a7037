# SPDX-License-Identifier: Apache-2.0
"""Runs map switches of rank groups as tasks, one per group."""

import asyncio
from collections.abc import Coroutine
import datetime
from typing import Any
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross.edge import map_leadership
from lugcross.edge import rank_groups
from lugcross.edge import rank_queries
from lugcross.edge import switch_driver
from lugcross import experts
from lugcross import ids
from lugcross import platform

#: Time for which a process that could not finish a switch leaves the
#: leadership to others; as long as most network outages of a single host.
_UNFIT_AFTER_FAILURE = datetime.timedelta(seconds=10)


@final
class SwitchTasks:
    """The map switches and recoveries that this process runs as tasks.

    Starts them, and updates their groups when they end. The orders of each
    are sent by a :class:`switch_driver.SwitchDriver`.

    :param engines: client for queries and orders to the ranks.
    :param queries: reads the reports and maps of ranks for recoveries.
    :param allocator: allocates the map versions and passes of this process.
    :param leadership: gives the lease generation that orders carry.
    :param sleep: coroutine function that waits for a number of seconds.
    """

    def __init__(
        self,
        engines: platform.EngineClient,
        queries: rank_queries.RankQueries,
        *,
        allocator: experts.SwitchNumberAllocator,
        leadership: map_leadership.MapLeadership,
        clock: clock_lib.Clock,
        sleep: switch_driver.Sleep,
    ) -> None:
        self._engines = engines
        self._queries = queries
        self._allocator = allocator
        self._leadership = leadership
        self._clock = clock
        self._sleep = sleep
        self._tasks: set[asyncio.Task[None]] = set()
        self._drivers: dict[
            tuple[ids.ServiceName, str], switch_driver.SwitchDriver
        ] = {}
        self._last_failure_at: clock_lib.Instant | None = None

    def has_failed_recently(self) -> bool:
        """Return whether this process recently failed to finish a switch.

        Another process may reach the ranks that this process could not.
        """
        if self._last_failure_at is None:
            return False
        return (
            self._clock.monotonic() - self._last_failure_at
            < _UNFIT_AFTER_FAILURE
        )

    def is_busy(self) -> bool:
        """Return whether a switch or recovery is in progress."""
        return bool(self._tasks)

    async def wait_idle(self) -> None:
        """Wait until no switch or recovery is in progress."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _start_task(
        self,
        group: rank_groups.RankGroup,
        work: Coroutine[Any, Any, None],
    ) -> None:
        group.is_switching = group.was_switched_by_this_process = True
        task = asyncio.create_task(self._run_task(group, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_task(
        self, group: rank_groups.RankGroup, work: Coroutine[Any, Any, None]
    ) -> None:
        try:
            await work
        except Exception:
            # If a pass is still held, the leader sees it in the next report
            # and starts a recovery.
            logging.exception("map switch failed", extra={"group": group.name})
        finally:
            group.is_switching = False
            group.switch_backoff.note_switch_ended(self._clock.monotonic())
            group.reported_at = None
            group.reported_hold = None

    def start_switch(
        self, group: rank_groups.RankGroup, plan: experts.MapPlan
    ) -> None:
        """Start switching a group to the map of ``plan``."""
        self._start_task(group, self._switch(group, plan))

    def start_recovery(self, group: rank_groups.RankGroup) -> None:
        """Start finishing a switch that its process has abandoned.

        The group's ``reported_hold`` must be set.
        """
        self._start_task(group, self._recover(group))

    def cancel_if_copying(self, group: rank_groups.RankGroup) -> None:
        """Cancel the running switch of a group unless copying has finished.

        :raises KeyError: when no switch of the group is running.
        """
        self._drivers[group.service, group.name].cancel_if_copying()

    async def _switch(
        self, group: rank_groups.RankGroup, plan: experts.MapPlan
    ) -> None:
        assert group.current_map is not None
        switch = experts.SwitchStateMachine(
            rank_count=group.rank_count,
            version=self._allocator.next_version(group.highest_version),
            new_map=plan.next_map,
            old_map=group.current_map,
            allocator=self._allocator,
            pass_at_planning=group.last_pass,
        )
        await self._drive_to_end(group, switch, plan)

    async def _recover(self, group: rank_groups.RankGroup) -> None:
        assert group.reported_hold is not None
        held_pass = group.reported_hold[0]
        reports = [
            one
            for one in await asyncio.gather(
                *map(
                    self._queries.fetch_report, group.servers_by_rank.values()
                )
            )
            if one is not None
        ]
        group.highest_version = max(
            [group.highest_version, *(one.highest_version for one in reports)]
        )
        armed_versions = [
            one.armed_order.version
            for one in reports
            if one.armed_order is not None
            and one.armed_order.pass_number == held_pass
        ]
        current_map = group.current_map or await self._queries.read_map(group)
        if current_map is None:
            return
        logging.warning(
            "recovering abandoned map switch",
            extra={
                "group": group.name,
                "step": held_pass,
                "armed": len(armed_versions),
            },
        )
        switch = experts.SwitchStateMachine.resume(
            rank_count=group.rank_count,
            highest_version=group.highest_version,
            armed_version=max(armed_versions, default=None),
            held_pass=held_pass,
            old_map=current_map,
            allocator=self._allocator,
        )
        await self._drive_to_end(group, switch, None)
        group.current_map = None

    async def _drive_to_end(
        self,
        group: rank_groups.RankGroup,
        switch: experts.SwitchStateMachine,
        plan: experts.MapPlan | None,
    ) -> None:
        generation = self._leadership.generation()
        if generation is not None:
            self._allocator.use_generation(generation)
        driver = switch_driver.SwitchDriver(
            self._engines,
            group,
            self._leadership,
            self._clock,
            self._sleep,
            has_rank_backing_off=lambda: self._queries.has_rank_backing_off(
                group
            ),
        )
        self._drivers[group.service, group.name] = driver
        group.map_being_copied = plan.next_map if plan else None
        try:
            finished = await driver.run(
                switch, plan.max_copies_per_rank if plan else 0
            )
        finally:
            group.map_being_copied = None
            del self._drivers[group.service, group.name]
        if not finished:
            self._last_failure_at = self._clock.monotonic()
        logging.info(
            "expert map switched",
            extra={
                "group": group.name,
                "version": switch.version,
                "step": switch.target_pass,
                "outcome": switch.outcome.value,
                "finished": finished,
            },
        )
        if plan and switch.outcome is experts.SwitchOutcome.SWITCHED:
            group.note_switched(switch.version, plan.next_map)
