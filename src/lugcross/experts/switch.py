# SPDX-License-Identifier: Apache-2.0
"""State machine that switches all ranks of a group to a map at the same pass.

It works like a two-phase commit: the ranks prepare the new map by copying
experts, rank 0 holds a pass S that is soon due, all ranks are armed to start
using the map at S, and S is released. If a rank cannot be armed, the
switch is rolled back, by preparing the old map under a higher version.

Invariant: no pass begins with different maps at different ranks. This must
hold although an order that got no answer may be carried out many seconds
later, and although another process may be switching the same group, because
one of them was frozen or partitioned. The following rules ensure it:

- Ranks are armed for pass S only while one rank holds S, so that S cannot
  begin while only some ranks are armed.
- S is released only when every rank has confirmed that it is armed for S
  with this version, or when every rank has accepted a higher version. In the
  latter case no rank can be armed with this version again, even by a late
  order.
- A group that makes no passes is not switched. A pass that was released
  there may not have begun yet, and could be held and released a second time.
- A version is armed for one pass only. A rank that is armed again with the
  same version would switch at the pass of the later order.
- No rank is disarmed before one rank, the deciding rank, has accepted a higher
  version. It refuses a higher version while it is armed; once it has accepted
  one, no process can arm all ranks with this version any more.

:meth:`SwitchStateMachine.resume` finishes a switch that another process has
abandoned.
"""

import collections
import enum
from typing import final

from lugcross.experts import expert_map
from lugcross.experts import orders

#: Prepare orders of one rank without an answer after which the switch is
#: cancelled. Nothing is held yet; with so many unanswered orders, arming all
#: ranks would stall the group for long.
_MAX_UNANSWERED_PREPARE_COUNT = 3
#: Hold orders that were refused, since the pass had begun, or got no answer,
#: after which the switch is cancelled.
_MAX_FAILED_HOLD_COUNT = 6
#: Refusals of one rank to be armed after which the rollback starts. More than
#: one, since copying may take a little longer than estimated.
_MAX_ARM_REFUSAL_COUNT = 4


class SwitchPhase(enum.Enum):
    """The current step of a switch.

    ``START_ROLLBACK`` asks the deciding rank to accept a higher version; when
    it has, ``ROLL_BACK`` asks all others.
    """

    PREPARE = "prepare"
    COPY = "copy"
    HOLD = "hold"
    ARM = "arm"
    START_ROLLBACK = "decide"
    ROLL_BACK = "void"
    RELEASE = "release"
    OVER = "over"


class SwitchOutcome(enum.Enum):
    """The result of a switch.

    ``SWITCHED``: all ranks were armed. ``ROLLED_BACK``: all ranks accepted the
    old map under a higher version. ``CANCELLED``: neither; the switch was
    given up, left to another process, or ended by a new epoch.
    """

    SWITCHED = "switched"
    CANCELLED = "left"
    ROLLED_BACK = "voided"


@final
class SwitchStateMachine:
    """One switch of one group to another map; does no I/O.

    The caller sends all :meth:`pending_orders`, passes each result to
    :meth:`apply_result` and repeats this until :attr:`phase` is ``OVER``. In
    phase ``COPY`` and while :attr:`hold_refused`, no orders are pending: the
    caller calls :meth:`note_copied` or :meth:`hold_later_pass` to proceed.

    :param version: version of the new map; higher than any that the ranks
        have had.
    :param new_map: the new map; None if an abandoned switch is resumed.
    :param old_map: the map in use, which a rollback prepares again.
    :param pass_at_planning: the last pass that had begun when the switch was
        planned.
    """

    def __init__(
        self,
        *,
        rank_count: int,
        version: orders.MapVersion,
        new_map: expert_map.ExpertMap | None,
        old_map: expert_map.ExpertMap,
        allocator: orders.SwitchNumberAllocator,
        pass_at_planning: orders.PassNumber = orders.PassNumber(0),
    ) -> None:
        self._pass_at_planning = pass_at_planning
        self._rank_count = rank_count
        self._version = version
        self._new_map = new_map
        self._old_map = old_map
        self._allocator = allocator
        self._rollback_version = allocator.next_version(version)
        self._pending_ranks = self._all_ranks()
        self._failed_hold_count = 0
        self._refusal_counts: collections.Counter[orders.Rank] = (
            collections.Counter()
        )
        self._unanswered_counts: collections.Counter[orders.Rank] = (
            collections.Counter()
        )
        self._deciding_rank = orders.Rank(0)
        #: Whether ranks may be armed with the version. False only if no rank
        #: is known to be armed with it in an abandoned switch that is resumed:
        #: the switch is then rolled back without disarming any rank.
        self._may_arm = True
        self._disarmed_ranks: set[orders.Rank] = set()
        self._target_pass = orders.PassNumber(0)
        self._possibly_held_passes: set[orders.PassNumber] = set()
        self._outcome = SwitchOutcome.CANCELLED
        self.phase = SwitchPhase.PREPARE

    @classmethod
    def resume(
        cls,
        *,
        rank_count: int,
        highest_version: orders.MapVersion,
        armed_version: orders.MapVersion | None,
        held_pass: orders.PassNumber,
        old_map: expert_map.ExpertMap,
        allocator: orders.SwitchNumberAllocator,
    ) -> "SwitchStateMachine":
        """Return a switch that finishes one abandoned by another process.

        :param highest_version: the highest version that any rank reports.
        :param armed_version: the version that a rank is armed with for
            ``held_pass``. If None, the switch is rolled back: ranks may have
            been armed with the version for another pass, and arming the
            version again could change the pass at some ranks only.
        :param held_pass: the pass that is held.
        """
        switch = cls(
            rank_count=rank_count,
            version=highest_version
            if armed_version is None
            else armed_version,
            new_map=None,
            old_map=old_map,
            allocator=allocator,
        )
        switch._rollback_version = allocator.next_version(highest_version)
        switch._may_arm = armed_version is not None
        switch._target_pass = held_pass
        switch._possibly_held_passes = {held_pass}
        switch._enter_phase(
            SwitchPhase.ARM if switch._may_arm else SwitchPhase.START_ROLLBACK
        )
        return switch

    @property
    def is_pass_possibly_held(self) -> bool:
        """Whether a pass may be held, so that the switch must be finished.

        An order to hold a pass counts from when it becomes pending.
        """
        return (
            bool(self._possibly_held_passes)
            and self.phase is not SwitchPhase.OVER
        )

    @property
    def outcome(self) -> SwitchOutcome:
        """The result; final once :attr:`phase` is ``OVER``."""
        return self._outcome

    @property
    def version(self) -> orders.MapVersion:
        """Version of the new map."""
        return self._version

    @property
    def target_pass(self) -> orders.PassNumber:
        """The pass at which the ranks switch to the new map."""
        return self._target_pass

    def pending_orders(self) -> list[tuple[orders.Rank, orders.Order]]:
        """Return the orders to send now, each with the rank that gets it."""
        if self.phase is SwitchPhase.PREPARE:
            assert self._new_map is not None
            order = orders.Prepare(self._version, self._new_map)
            return [(rank, order) for rank in sorted(self._pending_ranks)]
        if self.phase is SwitchPhase.HOLD:
            return [(orders.Rank(0), orders.Hold(self.target_pass))]
        if self.phase is SwitchPhase.ARM:
            arm = orders.Arm(self._version, self.target_pass)
            return [(rank, arm) for rank in sorted(self._pending_ranks)]
        if self.phase is SwitchPhase.START_ROLLBACK:
            return [(self._deciding_rank, self._rollback_prepare())]
        if self.phase is SwitchPhase.ROLL_BACK:
            return [
                (rank, self._rollback_order(rank))
                for rank in sorted(self._pending_ranks)
            ]
        if self.phase is SwitchPhase.RELEASE:
            return [
                (orders.Rank(0), orders.Release(held_pass))
                for held_pass in sorted(self._possibly_held_passes)
            ]
        return []

    def apply_result(
        self,
        rank: orders.Rank,
        order: orders.Order,
        result: orders.OrderResult,
    ) -> None:
        """Process the result of one of the :meth:`pending_orders`.

        Results may come in any sequence. The result of an order that is no
        longer pending, because of an earlier result, is ignored.
        """
        if result is orders.OrderResult.FENCED:
            # A later lease holder is active and finishes this switch.
            self._finish(SwitchOutcome.CANCELLED)
            return
        if (rank, order) not in self.pending_orders():
            return
        if self.phase is SwitchPhase.PREPARE:
            self._handle_prepare(rank, result)
        elif self.phase is SwitchPhase.HOLD:
            self._handle_hold(result)
        elif self.phase is SwitchPhase.ARM:
            self._handle_arm(rank, result)
        elif self.phase is SwitchPhase.START_ROLLBACK:
            self._handle_start_rollback(result)
        elif self.phase is SwitchPhase.ROLL_BACK:
            self._handle_roll_back(rank, order, result)
        elif self.phase is SwitchPhase.RELEASE:
            self._handle_release(order, result)

    def note_copied(
        self, current_pass: orders.PassNumber, *, passes_ahead: int = 0
    ) -> None:
        """Proceed from ``COPY``, as the ranks have probably copied by now.

        Cancels the switch if no pass has begun since it was planned.

        :param current_pass: the last pass begun, from a recent report.
        :param passes_ahead: estimate of how many passes begin between that
            report and the arming of all ranks. Too high a value delays the
            switch; too low a value stalls the group.
        """
        if self.phase is not SwitchPhase.COPY:
            return
        if current_pass <= self._pass_at_planning:
            self._finish(SwitchOutcome.CANCELLED)
            return
        self._enter_phase(SwitchPhase.HOLD)
        self._choose_pass(current_pass, passes_ahead)

    def hold_later_pass(self, current_pass: orders.PassNumber) -> None:
        """Choose a later pass to hold, if the chosen one had begun.

        :param current_pass: the last pass begun, from a recent report. The
            refusal of the hold may show that a later pass has begun.
        """
        if self.hold_refused:
            self._choose_pass(
                orders.PassNumber(max(current_pass, self._target_pass)), 1
            )

    @property
    def hold_refused(self) -> bool:
        """Whether the target pass had begun before it could be held.

        :meth:`hold_later_pass` must then be called to proceed.
        """
        return (
            self.phase is SwitchPhase.HOLD
            and self._target_pass not in self._possibly_held_passes
        )

    def cancel(self) -> None:
        """Cancel the switch, if no rank has been asked to arm yet.

        A pass that may be held, now or by a late order, is released first.
        """
        if self.phase in (SwitchPhase.PREPARE, SwitchPhase.COPY):
            self._finish(SwitchOutcome.CANCELLED)
        elif self.phase is SwitchPhase.HOLD:
            self._outcome = SwitchOutcome.CANCELLED
            self._enter_phase(
                SwitchPhase.RELEASE
                if self._possibly_held_passes
                else SwitchPhase.OVER
            )

    def note_epoch_ended(self) -> None:
        """End the switch, as the group has begun a new epoch.

        The new epoch has the initial map and none of the switch's orders.
        """
        self._finish(SwitchOutcome.CANCELLED)

    def _choose_pass(
        self, current_pass: orders.PassNumber, passes_ahead: int
    ) -> None:
        """Choose the target pass, which may be held from now on."""
        self._target_pass = self._allocator.next_pass_to_hold(
            orders.PassNumber(current_pass + passes_ahead)
        )
        self._possibly_held_passes.add(self._target_pass)

    def _all_ranks(self) -> set[orders.Rank]:
        return {orders.Rank(rank) for rank in range(self._rank_count)}

    def _enter_phase(self, phase: SwitchPhase) -> None:
        self.phase = phase
        self._pending_ranks = self._all_ranks()
        self._failed_hold_count = 0
        self._refusal_counts.clear()

    def _finish(self, outcome: SwitchOutcome) -> None:
        self._outcome = outcome
        self.phase = SwitchPhase.OVER

    def _handle_prepare(
        self, rank: orders.Rank, result: orders.OrderResult
    ) -> None:
        if result is orders.OrderResult.REFUSED:
            self._finish(SwitchOutcome.CANCELLED)
        elif result is orders.OrderResult.DONE:
            self._pending_ranks.discard(rank)
            if not self._pending_ranks:
                self._enter_phase(SwitchPhase.COPY)
        else:
            self._unanswered_counts[rank] += 1
            if self._unanswered_counts[rank] >= _MAX_UNANSWERED_PREPARE_COUNT:
                self._finish(SwitchOutcome.CANCELLED)

    def _handle_hold(self, result: orders.OrderResult) -> None:
        if result is orders.OrderResult.DONE:
            self._enter_phase(SwitchPhase.ARM)
            return
        self._failed_hold_count += 1
        if result is orders.OrderResult.REFUSED:
            self._possibly_held_passes.discard(self._target_pass)
        if self._failed_hold_count >= _MAX_FAILED_HOLD_COUNT:
            self.cancel()

    def _handle_arm(
        self, rank: orders.Rank, result: orders.OrderResult
    ) -> None:
        if result is orders.OrderResult.DONE:
            self._pending_ranks.discard(rank)
            if not self._pending_ranks:
                self._outcome = SwitchOutcome.SWITCHED
                self._enter_phase(SwitchPhase.RELEASE)
        elif result is orders.OrderResult.REFUSED:
            self._refusal_counts[rank] += 1
            if self._refusal_counts[rank] >= _MAX_ARM_REFUSAL_COUNT:
                self._deciding_rank = rank
                self._enter_phase(SwitchPhase.START_ROLLBACK)

    def _handle_start_rollback(self, result: orders.OrderResult) -> None:
        if result is orders.OrderResult.DONE:
            self._disarmed_ranks = set()
            self._enter_phase(SwitchPhase.ROLL_BACK)
            self._pending_ranks.discard(self._deciding_rank)
        elif result is orders.OrderResult.REFUSED:
            # The rank has been armed meanwhile, or has had a higher version.
            self._raise_rollback_version()
            if self._may_arm:
                self._enter_phase(SwitchPhase.ARM)
            else:
                self._count_rollback_refusal(self._deciding_rank)

    def _count_rollback_refusal(self, rank: orders.Rank) -> None:
        """Cancel after a few refusals, as the rank is armed with a version.

        Newer reports show which, and the switch is then resumed with it.
        """
        self._refusal_counts[rank] += 1
        if self._refusal_counts[rank] >= _MAX_ARM_REFUSAL_COUNT:
            self._finish(SwitchOutcome.CANCELLED)

    def _rollback_order(self, rank: orders.Rank) -> orders.Order:
        if rank in self._disarmed_ranks or not self._may_arm:
            return self._rollback_prepare()
        return orders.Disarm(self._version)

    def _handle_roll_back(
        self,
        rank: orders.Rank,
        order: orders.Order,
        result: orders.OrderResult,
    ) -> None:
        if isinstance(order, orders.Disarm):
            if result is orders.OrderResult.DONE:
                self._disarmed_ranks.add(rank)
        elif result is orders.OrderResult.DONE:
            self._pending_ranks.discard(rank)
        elif result is orders.OrderResult.REFUSED:
            # A late order has armed the rank again, or the rank has had a
            # higher version.
            self._disarmed_ranks.discard(rank)
            self._raise_rollback_version()
            if not self._may_arm:
                self._count_rollback_refusal(rank)
                return
        if not self._pending_ranks:
            self._outcome = SwitchOutcome.ROLLED_BACK
            self._enter_phase(SwitchPhase.RELEASE)

    def _handle_release(
        self, order: orders.Order, result: orders.OrderResult
    ) -> None:
        if result is orders.OrderResult.UNKNOWN:
            return
        assert isinstance(order, orders.Release)
        # A refusal means that the group has a new epoch by now.
        self._possibly_held_passes.discard(order.pass_number)
        if not self._possibly_held_passes:
            self.phase = SwitchPhase.OVER

    def _rollback_prepare(self) -> orders.Prepare:
        return orders.Prepare(self._rollback_version, self._old_map)

    def _raise_rollback_version(self) -> None:
        self._rollback_version = self._allocator.next_version(
            self._rollback_version
        )
