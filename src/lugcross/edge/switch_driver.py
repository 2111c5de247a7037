# SPDX-License-Identifier: Apache-2.0
"""Drives one map switch of a rank group: sends orders and reads reports."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross.edge import map_leadership
from lugcross.edge import rank_groups
from lugcross import experts
from lugcross import platform

#: Time after the expected end of copying at which a switch that cannot hold
#: a pass yet is cancelled: by then the demand that it was planned for is old.
_CANCEL_AFTER = datetime.timedelta(seconds=1)
#: Time after the expected end of copying at which this process abandons a
#: switch that may hold a pass. Another process, which may reach the ranks that
#: this one cannot, then recovers it. Long enough for a switch to finish while
#: half of its orders go unanswered.
_GIVE_UP_AFTER = datetime.timedelta(seconds=5)
#: Delay before orders that were not carried out, or a query that was not
#: answered, are sent again.
_RETRY_DELAY_S = 0.04
#: Time between two checks for a cancellation while ranks copy experts.
_COPY_POLL_INTERVAL_S = 0.05
#: Allowance for copies that take longer than ``ExpertLimits.copy_s``.
_COPY_TIME_FACTOR = 1.1
#: Allowance for the time until the orders have reached all ranks.
_COPY_MARGIN_S = 0.02
#: The rank at which passes are held.
_HOLD_RANK = experts.Rank(0)

#: Coroutine function that waits for a number of seconds.
Sleep = Callable[[float], Awaitable[None]]


@final
class SwitchDriver:
    """Sends the orders of one map switch and feeds back their results.

    What to send is decided by an :class:`experts.SwitchStateMachine`.

    All orders carry the lease generation that this process held when the
    driver was created.

    :param engines: client for queries and orders to the ranks.
    :param leadership: tells whether orders may still be sent.
    :param sleep: coroutine function that waits for a number of seconds.
    :param has_rank_backing_off: tells whether a rank of the group has asked
        this process for a backoff.
    """

    def __init__(
        self,
        engines: platform.EngineClient,
        group: rank_groups.RankGroup,
        leadership: map_leadership.MapLeadership,
        clock: clock_lib.Clock,
        sleep: Sleep,
        has_rank_backing_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._has_rank_backing_off = has_rank_backing_off
        self._leadership = leadership
        self._generation = leadership.generation()
        self._sleep = sleep
        self._engines = engines
        self._group = group
        self._clock = clock
        self._cancel_requested = False

    def cancel_if_copying(self) -> None:
        """Cancel the switch unless its ranks have finished copying."""
        self._cancel_requested = True

    async def run(
        self, switch: experts.SwitchStateMachine, max_copies_per_rank: int
    ) -> bool:
        """Run a switch to its end.

        :param max_copies_per_rank: greatest number of experts that any rank
            must copy.
        :returns: False if the switch was abandoned, because it took too long
            or this process may no longer send orders.
        """
        started_at = self._clock.monotonic()
        copy_time_s = max_copies_per_rank * self._group.limits.copy_s
        copy_time_s = copy_time_s * _COPY_TIME_FACTOR + _COPY_MARGIN_S
        copy_end = started_at + datetime.timedelta(seconds=copy_time_s)
        while switch.phase is not experts.SwitchPhase.OVER:
            now = self._clock.monotonic()
            if now - copy_end > _GIVE_UP_AFTER or not self._may_order():
                return False
            is_late = now - copy_end > _CANCEL_AFTER
            should_cancel = (
                is_late
                or self._has_rank_backing_off()
                or not self._group.is_open
            )
            if should_cancel and not switch.is_pass_possibly_held:
                switch.cancel()
                continue
            if switch.phase is experts.SwitchPhase.COPY:
                await self._wait_until_copied(copy_end, switch)
            elif switch.hold_refused:
                await self._choose_pass(switch)
            else:
                await self._send_pending_orders(switch)
        return True

    async def _wait_until_copied(
        self, copy_end: clock_lib.Instant, switch: experts.SwitchStateMachine
    ) -> None:
        left_s = (copy_end - self._clock.monotonic()).total_seconds()
        if self._cancel_requested:
            switch.cancel()
        elif left_s > 0:
            await self._sleep(min(left_s, _COPY_POLL_INTERVAL_S))
        else:
            await self._choose_pass(switch)

    async def _choose_pass(self, switch: experts.SwitchStateMachine) -> None:
        """Choose the pass at which all ranks change to the new map.

        Only rank 0 knows whether a pass is held. While it does not answer, or
        has no entry in the list of backend servers, no pass is chosen.
        """
        try:
            report = await self._fetch_report(_HOLD_RANK)
        except platform.EngineQueryError as exc:
            logging.info(
                "pass for map switch not chosen", extra={"why": str(exc)}
            )
            await self._sleep(_RETRY_DELAY_S)
            return
        if report is None or report.epoch != self._group.epoch:
            switch.note_epoch_ended()
        elif report.held_pass is not None:
            # Another process is switching this group.
            switch.cancel()
        else:
            switch.note_copied(
                report.last_pass, passes_ahead=self._group.passes_ahead()
            )
            switch.hold_later_pass(report.last_pass)

    async def _fetch_report(
        self, rank: experts.Rank
    ) -> experts.RankReport | None:
        """Return the report of a rank, or None if it is in no group.

        :raises platform.EngineQueryError: when the rank does not answer or has
            no entry in the list of backend servers.
        """
        backend = self._group.servers_by_rank.get(rank)
        if backend is None:
            raise platform.EngineQueryError(
                f"rank {rank} is not in the list of backend servers",
                remedy="ask again",
            )
        return await self._engines.report(backend)

    def _may_order(self) -> bool:
        return self._leadership.may_send_orders(self._generation)

    async def _send_pending_orders(
        self, switch: experts.SwitchStateMachine
    ) -> None:
        pending = switch.pending_orders()
        results = await asyncio.gather(
            *(self._send_order(rank, order) for rank, order in pending)
        )
        for (rank, order), result in zip(pending, results, strict=True):
            switch.apply_result(rank, order, result)
        if all(one is experts.OrderResult.DONE for one in results):
            return
        if experts.OrderResult.FENCED in results or switch.hold_refused:
            return
        if experts.OrderResult.REFUSED in results:
            await self._check_epoch(switch)
        await self._sleep(_RETRY_DELAY_S)

    async def _send_order(
        self, rank: experts.Rank, order: experts.Order
    ) -> experts.OrderResult:
        backend = self._group.servers_by_rank.get(rank)
        if backend is None:
            return experts.OrderResult.UNKNOWN
        result = await self._engines.order(
            backend, order, self._group.epoch, self._generation
        )
        if (
            result is experts.OrderResult.FENCED
            and self._generation is not None
        ):
            self._leadership.note_fenced(self._generation)
        return result

    async def _check_epoch(self, switch: experts.SwitchStateMachine) -> None:
        """End the switch if its group has begun a new epoch.

        Queries the lowest rank that is listed: any rank knows the epoch, and
        rank 0 may have no entry.
        """
        lowest = min(self._group.servers_by_rank, default=_HOLD_RANK)
        try:
            report = await self._fetch_report(lowest)
        except platform.EngineQueryError as exc:
            logging.info(
                "epoch of rank group not read", extra={"why": str(exc)}
            )
            return
        if report is not None and report.epoch != self._group.epoch:
            switch.note_epoch_ended()
