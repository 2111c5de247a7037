# SPDX-License-Identifier: Apache-2.0
"""Switches of groups that are under way, begun here or left by others."""

import asyncio
from collections.abc import Coroutine
import datetime
from typing import Any
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross.edge import duty as duty_lib
from lugcross.edge import groups as groups_lib
from lugcross.edge import looks as looks_lib
from lugcross.edge import switching
from lugcross import experts
from lugcross import ids
from lugcross import platform

#: How long a process that could not finish a switch leaves the duty to
#: others; as long as most cuts of single hosts last.
_UNFIT = datetime.timedelta(seconds=10)


@final
class Switches:
    """Starts switches, one a group, and keeps what came of them.

    :param engines: takes the orders.
    :param owner: chooses versions and passes for this process.
    :param duty: under whose number orders are given.
    :param sleep: waits for some seconds.
    """

    def __init__(
        self,
        engines: platform.EngineClient,
        looks: looks_lib.Looks,
        *,
        owner: experts.Owner,
        duty: duty_lib.Duty,
        clock: clock_lib.Clock,
        sleep: switching.Sleep,
    ) -> None:
        self._engines = engines
        self._looks = looks
        self._owner = owner
        self._duty = duty
        self._clock = clock
        self._sleep = sleep
        self._tasks: set[asyncio.Task[None]] = set()
        self._drivers: dict[tuple[ids.ServiceName, str], switching.Driver] = {}
        self._stuck_at: clock_lib.Instant | None = None

    def is_stuck(self) -> bool:
        """Tell whether a switch did not get on lately.

        Another process may reach the ranks that this one cannot.
        """
        if self._stuck_at is None:
            return False
        return self._clock.monotonic() - self._stuck_at < _UNFIT

    def is_busy(self) -> bool:
        """Tell whether a switch is under way."""
        return bool(self._tasks)

    async def idle(self) -> None:
        """Return once no switch is under way."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _start(
        self,
        group: groups_lib.Group,
        work: Coroutine[Any, Any, None],
    ) -> None:
        group.busy = group.touched = True
        task = asyncio.create_task(self._work_on(group, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work_on(
        self, group: groups_lib.Group, work: Coroutine[Any, Any, None]
    ) -> None:
        try:
            await work
        except Exception:
            # Whoever looks next finds what this one may have left held.
            logging.exception("a switch failed", extra={"group": group.name})
        finally:
            group.busy = False
            group.restraint.ended(self._clock.monotonic())
            group.looked_at = None
            group.hold_seen = None

    def change(self, group: groups_lib.Group, plan: experts.Plan) -> None:
        """Take a group to the map of a plan."""
        self._start(group, self._change(group, plan))

    def finish(self, group: groups_lib.Group) -> None:
        """Finish what another process has left half done."""
        self._start(group, self._finish(group))

    def abandon(self, group: groups_lib.Group) -> None:
        """Leave the switch of a group whose ranks are still copying."""
        self._drivers[group.service, group.name].abandon()

    async def _change(
        self, group: groups_lib.Group, plan: experts.Plan
    ) -> None:
        assert group.used is not None
        switch = experts.Switch(
            size=group.size,
            version=self._owner.version(group.newest),
            after=plan.next,
            before=group.used,
            owner=self._owner,
            since=group.step,
        )
        await self._drive(group, switch, plan)

    async def _finish(self, group: groups_lib.Group) -> None:
        assert group.hold_seen is not None
        step = group.hold_seen[0]
        reports = [
            one
            for one in await asyncio.gather(
                *map(self._looks.report, group.members.values())
            )
            if one is not None
        ]
        group.newest = max([group.newest, *(one.newest for one in reports)])
        armed = [
            one.armed.version
            for one in reports
            if one.armed is not None and one.armed.step == step
        ]
        used = group.used or await self._looks.read_map(group)
        if used is None:
            return
        logging.warning(
            "held pass was left",
            extra={"group": group.name, "step": step, "armed": len(armed)},
        )
        switch = experts.Switch.found(
            size=group.size,
            newest=group.newest,
            armed=max(armed, default=None),
            step=step,
            before=used,
            owner=self._owner,
        )
        await self._drive(group, switch, None)
        group.used = None

    async def _drive(
        self,
        group: groups_lib.Group,
        switch: experts.Switch,
        plan: experts.Plan | None,
    ) -> None:
        generation = self._duty.generation()
        if generation is not None:
            self._owner.take_turn(generation)
        driver = switching.Driver(
            self._engines,
            group,
            self._duty,
            self._clock,
            self._sleep,
            resting=lambda: self._looks.is_resting(group),
        )
        self._drivers[group.service, group.name] = driver
        group.copying = plan.next if plan else None
        try:
            finished = await driver.run(switch, plan.copies if plan else 0)
        finally:
            group.copying = None
            del self._drivers[group.service, group.name]
        if not finished:
            self._stuck_at = self._clock.monotonic()
        logging.info(
            "expert map switched",
            extra={
                "group": group.name,
                "version": switch.version,
                "step": switch.step,
                "outcome": switch.outcome.value,
                "finished": finished,
            },
        )
        if plan and switch.outcome is experts.Outcome.SWITCHED:
            group.switched(switch.version, plan.next)
