# SPDX-License-Identifier: Apache-2.0
"""Looks after the expert maps of all groups while this is our duty."""

import asyncio
from collections.abc import Callable
import datetime
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import duty as duty_lib
from lugcross.edge import groups as groups_lib
from lugcross.edge import looks as looks_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import sight as sight_lib
from lugcross.edge import switches as switches_lib
from lugcross.edge import switching
from lugcross.edge import world as world_lib
from lugcross import experts
from lugcross import ids
from lugcross import platform

#: Time between two rounds, in seconds: about one pass of an engine, so
#: that a jump of demand is followed at the next.
_ROUND_S = 0.05
#: Passes after a jump in which one rank's counts tell the new demand.
_SETTLE_PASSES = 1.2
#: Time between two looks at a group; a report costs as much as a health
#: check, and what it tells changes only with faults.
_LOOK = datetime.timedelta(milliseconds=500)
#: How long a pass held by someone else is left alone: a switch releases
#: it within some tens of milliseconds, reports are some hundred old.
_LEFT_AFTER = datetime.timedelta(milliseconds=400)
#: Longest time that planning blocks its process, past one of its steps:
#: a few requests' worth of work.
_PLAN_SLICE = datetime.timedelta(milliseconds=5)
#: Stands for the time of one copy where the platform tells none, seconds.
_NO_COPY_S = 0.001


@final
class Maps:
    """Sees demand, plans and has groups switched.

    :param engines: reaches the ranks.
    :param sleep: waits for some seconds.
    :param duty: tells whether they are this process's to look after.
    :param owner: chooses versions and passes for this process.
    :param changed: called when a group has broken or formed anew.
    :param node: name of this process's host.
    :param cfg: when a map is worth changing.
    """

    def __init__(
        self,
        world: world_lib.World,
        engines: platform.EngineClient,
        *,
        clock: clock_lib.Clock,
        sleep: switching.Sleep,
        duty: duty_lib.Duty,
        owner: experts.Owner,
        changed: Callable[[], None],
        node: str,
        cfg: settings_lib.Maps,
    ) -> None:
        self.cfg = cfg
        self._changed = changed
        self._node = node
        self._world = world
        world.on_pause = self._paused
        self._clock = clock
        self._duty = duty
        self._sleep = sleep
        self._groups = groups_lib.Groups()
        self._sight = sight_lib.Sight(engines, clock, world.rests)
        self._looks = looks_lib.Looks(
            engines, self._groups, clock, world.rests
        )
        self.switches = switches_lib.Switches(
            engines,
            self._looks,
            owner=owner,
            duty=duty,
            clock=clock,
            sleep=sleep,
        )
        self._had = False

    def _paused(
        self, key: desired.BackendKey, pause: datetime.timedelta
    ) -> None:
        """Learn what a pass takes from a pause between two events."""
        group = self._groups.of_backend(key)
        if group is None:
            return
        if group.pulse.paused(pause, self._clock.monotonic()):
            logging.info(
                "passes have jumped",
                extra={"group": group.name, "pass_s": pause.total_seconds()},
            )
            self._sight.jumped(group.service, pause * _SETTLE_PASSES)
            group.slowness.jumped(self._clock.monotonic(), group.report_lag)

    def seen_broken(self) -> list[desired.BackendKey]:
        """Return the servers whose groups this process saw broken."""
        return self._groups.broken() if self._had else []

    def seen_slow(self) -> list[desired.BackendKey]:
        """Return the servers that hold their groups back, as they told."""
        return self._groups.slow() if self._had else []

    async def run(self) -> None:
        """Look after the maps until cancelled."""
        while True:
            await self._sleep(_ROUND_S)
            try:
                await self.round()
            except Exception:
                # A fault in here must not end the looking: maps would stay
                # as they are, and a pass held by a dead process held.
                logging.exception("looking after expert maps failed")

    def _note_duty(self, mine: bool) -> None:
        if mine == self._had:
            return
        self._had = mine
        self._groups.clear()
        self._sight.clear()
        logging.info("duty of expert maps", extra={"mine": mine})

    async def round(self) -> None:
        """Look once at all that is due."""
        self._note_duty(self._duty.mine())
        if self._had:
            await self._look_at_all()
        self._world.outages.told(self._node, self.seen_broken())
        self._world.slow.told(self._node, self.seen_slow())

    async def _look_at_all(self) -> None:
        state = self._world.desired
        for service in state.services.values() if state else ():
            engine = service.engine
            if engine is not None and engine.experts is not None:
                await self._serve(service.name, engine, engine.experts)

    async def _serve(
        self,
        service: ids.ServiceName,
        engine: desired.EngineSpec,
        limits: experts.Limits,
    ) -> None:
        backends = [
            one for one in self._world.backends.all() if one.service == service
        ]
        self._groups.keep_only(backends)
        groups = self._groups.of(service)
        await asyncio.gather(
            self._sight.look(service, groups, limits),
            self._looks.place(self._groups.unplaced(backends), engine),
            *map(self._look, groups),
            *(
                self._looks.ask_slowness(group)
                for group in groups
                if group.is_open and group.whole
            ),
        )
        for group in groups:
            seen = self._sight.demand(service, group)
            if seen is None or seen.at == group.planned_at:
                continue
            if group.copying is not None:
                group.planned_at = seen.at
                await self._reconsider(group, seen.uses)
            elif group.ready and not self._keeps_map(group):
                group.planned_at = seen.at
                await self._consider(group, seen.uses)

    async def _look(self, group: groups_lib.Group) -> None:
        now = self._clock.monotonic()
        if not group.members or not group.look_due(now, _LOOK):
            return
        was_open, epoch = group.is_open, group.epoch
        await self._looks.ask_ranks(group)
        if was_open and (not group.is_open or group.epoch != epoch):
            self._note_break(group)
        if group.is_open != was_open:
            self._note_state(group)
        if group.busy or not group.is_open or not group.whole:
            return
        if group.used is None:
            group.used = await self._looks.read_map(group)
        leased = self._duty.generation() is not None
        # With a lease of our own, whoever held it before cannot go on.
        at_once = leased and not group.touched
        after = datetime.timedelta() if at_once else _LEFT_AFTER
        if group.hold_is_left(now, after):
            self.switches.finish(group)

    def _note_break(self, group: groups_lib.Group) -> None:
        if group.restraint.broke(self._clock.monotonic()):
            logging.warning(
                "group breaks at each change of its map",
                extra={"group": group.name, "epoch": group.epoch},
            )

    def _note_state(self, group: groups_lib.Group) -> None:
        logging.info(
            "group opened" if group.is_open else "group broken",
            extra={"group": group.name, "epoch": group.epoch},
        )
        self._world.outages.told(self._node, self.seen_broken())
        self._changed()

    async def _plan(
        self, group: groups_lib.Group, uses: experts.Demand
    ) -> experts.Plan:
        """Plan a map; requests are served between its steps."""
        assert group.used is not None
        copies = int(self.cfg.copy_s / (group.limits.copy_s or _NO_COPY_S))
        planning = experts.steps(
            uses,
            group.used,
            group.limits,
            most_copies=max(1, copies),
            slowness=group.slowness.of(group.size),
        )
        begun = self._clock.monotonic()
        while True:
            try:
                next(planning)
            except StopIteration as exc:
                plan: experts.Plan = exc.value
                return plan
            if self._clock.monotonic() - begun >= _PLAN_SLICE:
                await asyncio.sleep(0)
                begun = self._clock.monotonic()

    async def _reconsider(
        self, group: groups_lib.Group, uses: experts.Demand
    ) -> None:
        """Leave a map that demand has left behind while it is copied."""
        copying = group.copying
        assert copying is not None
        plan = await self._plan(group, uses)
        if group.copying is not copying:
            return
        skew = experts.skew(uses, copying, group.slowness.of(group.size))
        saving = experts.saving(skew, plan.skew_after, group.limits.share)
        if saving >= self.cfg.least_saving:
            self.switches.abandon(group)
            # Planned anew by the same reading, once it is left.
            group.planned_at = None

    async def _consider(
        self, group: groups_lib.Group, uses: experts.Demand
    ) -> None:
        plan = await self._plan(group, uses)
        saving = experts.saving(
            plan.skew_before, plan.skew_after, group.limits.share
        )
        worth = saving >= self.cfg.least_saving
        logging.info(
            "expert map planned",
            extra={
                "group": group.name,
                "version": group.version,
                "skew": round(plan.skew_before, 2),
                "planned": round(plan.skew_after, 2),
                "copies": plan.copies,
                "switch": worth,
            },
        )
        if worth:
            group.restraint.began()
            self.switches.change(group, plan)

    def _keeps_map(self, group: groups_lib.Group) -> bool:
        """Tell whether a map is to be left as it is for now.

        A switch needs orders to all ranks, also to those that want nothing.
        """
        if self._looks.is_resting(group):
            return True
        return group.restraint.rests(self._clock.monotonic())
