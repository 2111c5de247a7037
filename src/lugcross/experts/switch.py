# SPDX-License-Identifier: Apache-2.0
"""Takes all ranks of a group to another expert map at the same pass.

A pass must never begin with two maps. Orders may get no answer and be
carried out many seconds later, and another process may be switching the
same group, because this one was frozen or cut off for a while. What makes
it safe:

- Ranks are armed for pass S only while one rank holds S, so that S cannot
  begin half armed.
- S is released only when every rank has confirmed that it is armed for S
  with this version, or when every rank has accepted a higher version, so
  that this one can never be armed there again, also not by a late order.
- A group that makes no passes is left alone: a pass that was released
  there has not begun yet, and could be held and released once more.
- A version is armed for one pass only: armed again, a rank would take it
  up at the later order's pass.
- No rank is disarmed before one rank has accepted a higher version. That
  rank decides: once it has, nobody can arm all ranks any more; as long as
  it is armed, it refuses the higher version.

The same object finishes what a process that died has left behind.
"""

import collections
import enum
from typing import final

from lugcross.experts import expert_map
from lugcross.experts import orders

#: Tries of one rank's order to prepare after which the switch is left. No
#: harm is done yet; where orders go unanswered so often, arming all ranks
#: would hold up the group for long.
_MAX_UNANSWERED_PREPARE_COUNT = 3
#: Tries to hold a pass. Each refusal means that the pass had begun.
_MAX_FAILED_HOLD_COUNT = 6
#: Refusals of one rank to be armed after which it is asked to decide
#: against the switch; copying may last a little longer than reckoned.
_MAX_ARM_REFUSAL_COUNT = 4


class SwitchPhase(enum.Enum):
    """What is being done."""

    PREPARE = "prepare"
    COPY = "copy"
    HOLD = "hold"
    ARM = "arm"
    START_ROLLBACK = "decide"
    ROLL_BACK = "void"
    RELEASE = "release"
    OVER = "over"


class SwitchOutcome(enum.Enum):
    """What came of it."""

    SWITCHED = "switched"
    CANCELLED = "left"
    ROLLED_BACK = "voided"


@final
class MapSwitch:
    """One change of one group's map; no I/O.

    Whoever drives it sends all of :meth:`pending_orders`, hands each verdict
    to :meth:`apply_result` and begins again, until :attr:`phase` is ``OVER``.

    :param version: version of the new map, above all the ranks had.
    :param pass_at_planning: pass that had begun when the switch was planned.
    :param new_map: the new map; none where a left one is only finished.
    :param old_map: the map in use, given to ranks when the new is voided.
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
    ) -> "MapSwitch":
        """Return one that finishes what another process has left.

        :param highest_version: highest version that any rank tells of.
        :param armed_version: version that a rank is armed with for
            ``held_pass``. None is voided: to arm a version that another
            pass may have been named for could change that pass at some
            ranks only.
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
    def may_hold_pass(self) -> bool:
        """Whether a pass may be held, so that it must be brought to an end."""
        return (
            bool(self._possibly_held_passes)
            and self.phase is not SwitchPhase.OVER
        )

    @property
    def outcome(self) -> SwitchOutcome:
        """What came of it, once it is over."""
        return self._outcome

    @property
    def version(self) -> orders.MapVersion:
        """Version of the new map."""
        return self._version

    @property
    def target_pass(self) -> orders.PassNumber:
        """The pass at which the ranks take up the new map."""
        return self._target_pass

    def pending_orders(self) -> list[tuple[orders.Rank, orders.Order]]:
        """Return what to send now, to whom."""
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
                (orders.Rank(0), orders.Release(step))
                for step in sorted(self._possibly_held_passes)
            ]
        return []

    def apply_result(
        self,
        rank: orders.Rank,
        order: orders.Order,
        result: orders.OrderResult,
    ) -> None:
        """Take over what became of an order that :meth:`pending_orders` named.

        Orders of one round are answered in any order; what an earlier
        answer has made needless is left out.
        """
        if result is orders.OrderResult.FENCED:
            # A later holder is at work; it finishes what this one left.
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
        """Go on once the ranks have probably copied what they need.

        :param current_pass: pass that began last, as a report tells.
        :param passes_ahead: passes that may begin from that report until all
            ranks are armed; more of them delay the map, fewer hold up the
            group.
        """
        if self.phase is not SwitchPhase.COPY:
            return
        if current_pass <= self._pass_at_planning:
            self._finish(SwitchOutcome.CANCELLED)
            return
        self._enter_phase(SwitchPhase.HOLD)
        self._choose_pass(current_pass, passes_ahead)

    def hold_later_pass(self, current_pass: orders.PassNumber) -> None:
        """Hold a later pass where the one that was named had begun.

        :param current_pass: pass that began last, as a report tells. That the
            named one has begun is newer, so that the next one is near.
        """
        if self.hold_refused:
            self._choose_pass(
                orders.PassNumber(max(current_pass, self._target_pass)), 1
            )

    @property
    def hold_refused(self) -> bool:
        """Whether a later pass must be named before going on."""
        return (
            self.phase is SwitchPhase.HOLD
            and self._target_pass not in self._possibly_held_passes
        )

    def cancel(self) -> None:
        """Give up before anything is armed; a hold may stand or come."""
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
        """End: the group has a new life, and knows none of this."""
        self._finish(SwitchOutcome.CANCELLED)

    def _choose_pass(
        self, current_pass: orders.PassNumber, passes_ahead: int
    ) -> None:
        """Choose the pass; from now on it may be held."""
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
            # It is armed by now, or has had a higher version.
            self._raise_rollback_version()
            if self._may_arm:
                self._enter_phase(SwitchPhase.ARM)
            else:
                self._count_rollback_refusal(self._deciding_rank)

    def _count_rollback_refusal(self, rank: orders.Rank) -> None:
        """Leave it after a few refusals: the rank is armed with something.

        Newer reports tell with what, and it is found again.
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
            # A late order has armed it anew, or it had a higher version.
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
        # Refused means that the group has a new life by now.
        self._possibly_held_passes.discard(order.pass_number)
        if not self._possibly_held_passes:
            self.phase = SwitchPhase.OVER

    def _rollback_prepare(self) -> orders.Prepare:
        return orders.Prepare(self._rollback_version, self._old_map)

    def _raise_rollback_version(self) -> None:
        self._rollback_version = self._allocator.next_version(
            self._rollback_version
        )
