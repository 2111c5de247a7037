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

from lugcross.experts import model
from lugcross.experts import orders

#: Tries of one rank's order to prepare after which the switch is left. No
#: harm is done yet; where orders go unanswered so often, arming all ranks
#: would hold up the group for long.
_MAX_PREPARE_COUNT = 3
#: Tries to hold a pass. Each refusal means that the pass had begun.
_MAX_HOLD_COUNT = 6
#: Refusals of one rank to be armed after which it is asked to decide
#: against the switch; copying may last a little longer than reckoned.
_MAX_ARM_REFUSAL_COUNT = 4


class SwitchPhase(enum.Enum):
    """What is being done."""

    PREPARE = "prepare"
    COPY = "copy"
    HOLD = "hold"
    ARM = "arm"
    DECIDE = "decide"
    VOID = "void"
    RELEASE = "release"
    OVER = "over"


class SwitchOutcome(enum.Enum):
    """What came of it."""

    SWITCHED = "switched"
    LEFT = "left"
    VOIDED = "voided"


@final
class MapSwitch:
    """One change of one group's map; no I/O.

    Whoever drives it sends all of :meth:`todo`, hands each verdict to
    :meth:`take` and begins again, until :attr:`phase` is ``OVER``.

    :param version: version of the new map, above all the ranks had.
    :param since: pass that had begun when the switch was planned.
    :param after: the new map; none where a left one is only finished.
    :param before: the map in use, given to ranks when the new is voided.
    """

    def __init__(
        self,
        *,
        size: int,
        version: orders.MapVersion,
        after: model.ExpertMap | None,
        before: model.ExpertMap,
        owner: orders.NumberAllocator,
        since: orders.PassNumber = orders.PassNumber(0),
    ) -> None:
        self._since = since
        self._size = size
        self._version = version
        self._after = after
        self._before = before
        self._owner = owner
        self._void_version = owner.version(version)
        self._left = self._all()
        self._tries = 0
        self._refusals: collections.Counter[orders.Rank] = (
            collections.Counter()
        )
        self._unheard: collections.Counter[orders.Rank] = collections.Counter()
        self._decider = orders.Rank(0)
        self._may_arm = True
        self._disarmed: set[orders.Rank] = set()
        self._step = orders.PassNumber(0)
        self._held: set[orders.PassNumber] = set()
        self._ended = SwitchOutcome.LEFT
        self.phase = SwitchPhase.PREPARE

    @classmethod
    def found(
        cls,
        *,
        size: int,
        newest: orders.MapVersion,
        armed: orders.MapVersion | None,
        step: orders.PassNumber,
        before: model.ExpertMap,
        owner: orders.NumberAllocator,
    ) -> "MapSwitch":
        """Return one that finishes what another process has left.

        :param newest: highest version that any rank tells of.
        :param armed: version that a rank is armed with for ``step``. None
            is voided: to arm a version that another pass may have been
            named for could change that pass at some ranks only.
        :param step: the pass that is held.
        """
        made = cls(
            size=size,
            version=newest if armed is None else armed,
            after=None,
            before=before,
            owner=owner,
        )
        made._void_version = owner.version(newest)
        made._may_arm = armed is not None
        made._step = step
        made._held = {step}
        made._enter(SwitchPhase.ARM if made._may_arm else SwitchPhase.DECIDE)
        return made

    @property
    def holds(self) -> bool:
        """Whether a pass may be held, so that it must be brought to an end."""
        return bool(self._held) and self.phase is not SwitchPhase.OVER

    @property
    def outcome(self) -> SwitchOutcome:
        """What came of it, once it is over."""
        return self._ended

    @property
    def version(self) -> orders.MapVersion:
        """Version of the new map."""
        return self._version

    @property
    def step(self) -> orders.PassNumber:
        """The pass at which the ranks take up the new map."""
        return self._step

    def todo(self) -> list[tuple[orders.Rank, orders.Order]]:
        """Return what to send now, to whom."""
        if self.phase is SwitchPhase.PREPARE:
            assert self._after is not None
            order = orders.Prepare(self._version, self._after)
            return [(rank, order) for rank in sorted(self._left)]
        if self.phase is SwitchPhase.HOLD:
            return [(orders.Rank(0), orders.Hold(self.step))]
        if self.phase is SwitchPhase.ARM:
            arm = orders.Arm(self._version, self.step)
            return [(rank, arm) for rank in sorted(self._left)]
        if self.phase is SwitchPhase.DECIDE:
            return [(self._decider, self._higher())]
        if self.phase is SwitchPhase.VOID:
            return [(rank, self._undo(rank)) for rank in sorted(self._left)]
        if self.phase is SwitchPhase.RELEASE:
            return [
                (orders.Rank(0), orders.Release(step))
                for step in sorted(self._held)
            ]
        return []

    def take(
        self,
        rank: orders.Rank,
        order: orders.Order,
        verdict: orders.OrderResult,
    ) -> None:
        """Take over what became of an order that :meth:`todo` named.

        Orders of one round are answered in any order; what an earlier
        answer has made needless is left out.
        """
        if verdict is orders.OrderResult.FENCED:
            # A later holder is at work; it finishes what this one left.
            self._end(SwitchOutcome.LEFT)
            return
        if (rank, order) not in self.todo():
            return
        if self.phase is SwitchPhase.PREPARE:
            self._prepared(rank, verdict)
        elif self.phase is SwitchPhase.HOLD:
            self._hold_tried(verdict)
        elif self.phase is SwitchPhase.ARM:
            self._arm_tried(rank, verdict)
        elif self.phase is SwitchPhase.DECIDE:
            self._decided(verdict)
        elif self.phase is SwitchPhase.VOID:
            self._undone(rank, order, verdict)
        elif self.phase is SwitchPhase.RELEASE:
            self._released(order, verdict)

    def copied(self, now: orders.PassNumber, *, ahead: int = 0) -> None:
        """Go on once the ranks have probably copied what they need.

        :param now: pass that began last, as a report tells.
        :param ahead: passes that may begin from that report until all
            ranks are armed; more of them delay the map, fewer hold up the
            group.
        """
        if self.phase is not SwitchPhase.COPY:
            return
        if now <= self._since:
            self._end(SwitchOutcome.LEFT)
            return
        self._enter(SwitchPhase.HOLD)
        self._name(now, ahead)

    def hold_later(self, now: orders.PassNumber) -> None:
        """Hold a later pass where the one that was named had begun.

        :param now: pass that began last, as a report tells. That the
            named one has begun is newer, so that the next one is near.
        """
        if self.hold_refused:
            self._name(orders.PassNumber(max(now, self._step)), 1)

    @property
    def hold_refused(self) -> bool:
        """Whether a later pass must be named before going on."""
        return self.phase is SwitchPhase.HOLD and self._step not in self._held

    def leave(self) -> None:
        """Give up before anything is armed; a hold may stand or come."""
        if self.phase in (SwitchPhase.PREPARE, SwitchPhase.COPY):
            self._end(SwitchOutcome.LEFT)
        elif self.phase is SwitchPhase.HOLD:
            self._ended = SwitchOutcome.LEFT
            self._enter(
                SwitchPhase.RELEASE if self._held else SwitchPhase.OVER
            )

    def epoch_over(self) -> None:
        """End: the group has a new life, and knows none of this."""
        self._end(SwitchOutcome.LEFT)

    def _name(self, now: orders.PassNumber, ahead: int) -> None:
        """Choose the pass; from now on it may be held."""
        self._step = self._owner.step(orders.PassNumber(now + ahead))
        self._held.add(self._step)

    def _all(self) -> set[orders.Rank]:
        return {orders.Rank(rank) for rank in range(self._size)}

    def _enter(self, phase: SwitchPhase) -> None:
        self.phase = phase
        self._left = self._all()
        self._tries = 0
        self._refusals.clear()

    def _end(self, outcome: SwitchOutcome) -> None:
        self._ended = outcome
        self.phase = SwitchPhase.OVER

    def _prepared(
        self, rank: orders.Rank, verdict: orders.OrderResult
    ) -> None:
        if verdict is orders.OrderResult.REFUSED:
            self._end(SwitchOutcome.LEFT)
        elif verdict is orders.OrderResult.DONE:
            self._left.discard(rank)
            if not self._left:
                self._enter(SwitchPhase.COPY)
        else:
            self._unheard[rank] += 1
            if self._unheard[rank] >= _MAX_PREPARE_COUNT:
                self._end(SwitchOutcome.LEFT)

    def _hold_tried(self, verdict: orders.OrderResult) -> None:
        if verdict is orders.OrderResult.DONE:
            self._enter(SwitchPhase.ARM)
            return
        self._tries += 1
        if verdict is orders.OrderResult.REFUSED:
            self._held.discard(self._step)
        if self._tries >= _MAX_HOLD_COUNT:
            self.leave()

    def _arm_tried(
        self, rank: orders.Rank, verdict: orders.OrderResult
    ) -> None:
        if verdict is orders.OrderResult.DONE:
            self._left.discard(rank)
            if not self._left:
                self._ended = SwitchOutcome.SWITCHED
                self._enter(SwitchPhase.RELEASE)
        elif verdict is orders.OrderResult.REFUSED:
            self._refusals[rank] += 1
            if self._refusals[rank] >= _MAX_ARM_REFUSAL_COUNT:
                self._decider = rank
                self._enter(SwitchPhase.DECIDE)

    def _decided(self, verdict: orders.OrderResult) -> None:
        if verdict is orders.OrderResult.DONE:
            self._disarmed = set()
            self._enter(SwitchPhase.VOID)
            self._left.discard(self._decider)
        elif verdict is orders.OrderResult.REFUSED:
            # It is armed by now, or has had a higher version.
            self._raise_void_version()
            if self._may_arm:
                self._enter(SwitchPhase.ARM)
            else:
                self._refused_unarmed(self._decider)

    def _refused_unarmed(self, rank: orders.Rank) -> None:
        """Leave it after a few refusals: the rank is armed with something.

        Newer reports tell with what, and it is found again.
        """
        self._refusals[rank] += 1
        if self._refusals[rank] >= _MAX_ARM_REFUSAL_COUNT:
            self._end(SwitchOutcome.LEFT)

    def _undo(self, rank: orders.Rank) -> orders.Order:
        if rank in self._disarmed or not self._may_arm:
            return self._higher()
        return orders.Disarm(self._version)

    def _undone(
        self,
        rank: orders.Rank,
        order: orders.Order,
        verdict: orders.OrderResult,
    ) -> None:
        if isinstance(order, orders.Disarm):
            if verdict is orders.OrderResult.DONE:
                self._disarmed.add(rank)
        elif verdict is orders.OrderResult.DONE:
            self._left.discard(rank)
        elif verdict is orders.OrderResult.REFUSED:
            # A late order has armed it anew, or it had a higher version.
            self._disarmed.discard(rank)
            self._raise_void_version()
            if not self._may_arm:
                self._refused_unarmed(rank)
                return
        if not self._left:
            self._ended = SwitchOutcome.VOIDED
            self._enter(SwitchPhase.RELEASE)

    def _released(
        self, order: orders.Order, verdict: orders.OrderResult
    ) -> None:
        if verdict is orders.OrderResult.UNKNOWN:
            return
        assert isinstance(order, orders.Release)
        # Refused means that the group has a new life by now.
        self._held.discard(order.step)
        if not self._held:
            self.phase = SwitchPhase.OVER

    def _higher(self) -> orders.Prepare:
        return orders.Prepare(self._void_version, self._before)

    def _raise_void_version(self) -> None:
        self._void_version = self._owner.version(self._void_version)
