# SPDX-License-Identifier: Apache-2.0
"""Drives one switch of a group's map: sends its orders, reads reports."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross.edge import duty as duty_lib
from lugcross.edge import groups as groups_lib
from lugcross import experts
from lugcross import platform

#: Time, past what copying takes, after which a switch that holds nothing
#: yet is left: demand has moved on.
_LEAVE = datetime.timedelta(seconds=1)
#: Time after which a switch that holds a pass is left to another process,
#: which may reach the ranks that this one cannot. Far longer than orders of
#: which half go unanswered take.
_GIVE_UP = datetime.timedelta(seconds=5)
#: Rest between two rounds of orders of which some were not done, seconds.
_AGAIN_S = 0.04
#: Longest rest while ranks copy, in seconds, between two looks whether
#: the map that they copy for is of no use any more.
_COPY_LOOK_S = 0.05
#: Copying is taken to last this much longer than the links alone tell.
_COPY_MORE = 1.1
#: Further time for copying, in seconds: orders reach the ranks one after
#: the other.
_COPY_ADD_S = 0.02
#: The rank at which passes are held.
_HOLDER = experts.Rank(0)

#: Waits for some seconds.
Sleep = Callable[[float], Awaitable[None]]


@final
class Driver:
    """Carries out what a switch asks for.

    :param duty: under whose number all orders are given.
    :param resting: tells whether a rank has asked this process for rest.
    """

    def __init__(
        self,
        engines: platform.EngineClient,
        group: groups_lib.Group,
        duty: duty_lib.Duty,
        clock: clock_lib.Clock,
        sleep: Sleep,
        resting: Callable[[], bool] = lambda: False,
    ) -> None:
        self._resting = resting
        self._duty = duty
        self._generation = duty.generation()
        self._sleep = sleep
        self._engines = engines
        self._group = group
        self._clock = clock
        self._outdated = False

    def abandon(self) -> None:
        """Leave the switch if its ranks are still copying."""
        self._outdated = True

    async def run(self, switch: experts.Switch, copies: int) -> bool:
        """Carry out a switch; tell whether it came to an end.

        :param copies: most experts that a rank copies.
        """
        since = self._clock.monotonic()
        copying = copies * self._group.limits.copy_s
        copying = copying * _COPY_MORE + _COPY_ADD_S
        copied = since + datetime.timedelta(seconds=copying)
        while switch.phase is not experts.Phase.OVER:
            now = self._clock.monotonic()
            if now - copied > _GIVE_UP or not self._may_order():
                return False
            late = now - copied > _LEAVE
            vain = late or self._resting() or not self._group.is_open
            if vain and not switch.holds:
                switch.leave()
                continue
            if switch.phase is experts.Phase.COPY:
                await self._wait_copied(copied, switch)
            elif switch.hold_refused:
                await self._name_step(switch)
            else:
                await self._send_all(switch)
        return True

    async def _wait_copied(
        self, copied: clock_lib.Instant, switch: experts.Switch
    ) -> None:
        left = (copied - self._clock.monotonic()).total_seconds()
        if self._outdated:
            switch.leave()
        elif left > 0:
            await self._sleep(min(left, _COPY_LOOK_S))
        else:
            await self._name_step(switch)

    async def _name_step(self, switch: experts.Switch) -> None:
        """Choose the pass at which all ranks change.

        Only the first rank tells whether a pass is held. While its entry is
        off the list, as in a cut of its failure domain, none is chosen.
        """
        try:
            report = await self._report(_HOLDER)
        except platform.EngineQueryError as exc:
            logging.info("no step", extra={"why": str(exc)})
            await self._sleep(_AGAIN_S)
            return
        if report is None or report.epoch != self._group.epoch:
            switch.epoch_over()
        elif report.held is not None:
            # Another process is switching this group.
            switch.leave()
        else:
            switch.copied(report.step, ahead=self._group.ahead())
            switch.hold_later(report.step)

    async def _report(self, rank: experts.Rank) -> experts.Report | None:
        """Return what a rank reports; none if it is in no group.

        :raises platform.EngineQueryError: when it is silent or off the list.
        """
        backend = self._group.members.get(rank)
        if backend is None:
            raise platform.EngineQueryError(
                f"rank {rank} is off the list", remedy="ask again"
            )
        return await self._engines.report(backend)

    def _may_order(self) -> bool:
        return self._duty.may_order(self._generation)

    async def _send_all(self, switch: experts.Switch) -> None:
        todo = switch.todo()
        verdicts = await asyncio.gather(
            *(self._send(rank, order) for rank, order in todo)
        )
        for (rank, order), verdict in zip(todo, verdicts, strict=True):
            switch.take(rank, order, verdict)
        if all(one is experts.Verdict.DONE for one in verdicts):
            return
        if experts.Verdict.FENCED in verdicts or switch.hold_refused:
            return
        if experts.Verdict.REFUSED in verdicts:
            await self._check_epoch(switch)
        await self._sleep(_AGAIN_S)

    async def _send(
        self, rank: experts.Rank, order: experts.Order
    ) -> experts.Verdict:
        backend = self._group.members.get(rank)
        if backend is None:
            return experts.Verdict.UNKNOWN
        verdict = await self._engines.order(
            backend, order, self._group.epoch, self._generation
        )
        if verdict is experts.Verdict.FENCED and self._generation is not None:
            self._duty.refused(self._generation)
        return verdict

    async def _check_epoch(self, switch: experts.Switch) -> None:
        """End the switch if its group has formed anew.

        Every rank knows the epoch; the first one's entry may be gone.
        """
        lowest = min(self._group.members, default=_HOLDER)
        try:
            report = await self._report(lowest)
        except platform.EngineQueryError as exc:
            logging.info("no epoch", extra={"why": str(exc)})
            return
        if report is not None and report.epoch != self._group.epoch:
            switch.epoch_over()
