# SPDX-License-Identifier: Apache-2.0
"""Ranks of a group as published: maps, orders and passes, without I/O.

What the pages leave open is as it was measured: a map that is being
copied has already taken the place of the one prepared before it, and a
rank that is armed again takes the later order's pass.
"""

import dataclasses

from lugcross import experts


class TwoMapsError(AssertionError):
    """A pass began while two ranks differed in their maps."""


@dataclasses.dataclass
class SimulatedRank:
    """One rank."""

    used: tuple[int, experts.ExpertMap]
    highest: int = 0
    prepared: experts.Prepare | None = None
    copied: bool = False
    armed: experts.Arm | None = None
    held: int | None = None
    min_generation: int = 0

    def execute(self, order: experts.Order, step: int) -> experts.OrderResult:
        """Carry out an order; ``step`` is the pass that began last."""
        done = self._execute(order, step)
        return (
            experts.OrderResult.DONE if done else experts.OrderResult.REFUSED
        )

    def _execute(self, order: experts.Order, step: int) -> bool:
        if isinstance(order, experts.Prepare):
            return self._prepare(order)
        if isinstance(order, experts.Arm):
            return self._arm(order, step)
        if isinstance(order, experts.Disarm):
            if order.version == self.used[0]:
                return False
            if self.armed and self.armed.version == order.version:
                self.armed = None
            return True
        if isinstance(order, experts.Hold):
            if order.step <= step or self.held not in (None, order.step):
                return False
            self.held = order.step
            return True
        if self.held == order.step:
            self.held = None
        return True

    def _prepare(self, order: experts.Prepare) -> bool:
        if self.armed:
            return False
        if self.prepared and order.version == self.prepared.version:
            return True
        if order.version <= self.highest:
            return False
        self.highest = order.version
        self.prepared = order
        self.copied = order.map == self.used[1]
        return True

    def _arm(self, order: experts.Arm, step: int) -> bool:
        ready = self.prepared is not None and self.copied
        if not ready or order.step <= step:
            return False
        assert self.prepared is not None
        if self.prepared.version != order.version:
            return False
        self.armed = order
        return True

    def begin_pass(self, step: int) -> None:
        """Take up an armed map as pass ``step`` begins."""
        if self.armed and self.armed.step == step:
            assert self.prepared is not None
            self.used = self.prepared.version, self.prepared.map
            self.prepared = self.armed = None


class SimulatedGroup:
    """All ranks of a group; passes begin at all of them together."""

    def __init__(self, size: int, first: experts.ExpertMap) -> None:
        self._initial_map = first
        self.size = size
        self.epoch = 0
        self.step = 0
        self.ranks: list[SimulatedRank] = []
        self.form_anew()

    def form_anew(self) -> None:
        """Begin a new life, with the first map and nothing else."""
        self.epoch += 1
        self.step = 0
        self.ranks = [
            SimulatedRank((0, self._initial_map)) for _ in range(self.size)
        ]

    def execute(
        self,
        rank: int,
        order: experts.Order,
        epoch: int,
        generation: int | None = None,
    ) -> experts.OrderResult:
        """Carry out an order at one rank."""
        one = self.ranks[rank]
        if generation is not None:
            if generation < one.min_generation:
                return experts.OrderResult.FENCED
            one.min_generation = generation
        if epoch != self.epoch:
            return experts.OrderResult.REFUSED
        return one.execute(order, self.step)

    @property
    def next_pass_is_held(self) -> bool:
        """Whether a rank keeps the next pass from beginning."""
        return any(rank.held == self.step + 1 for rank in self.ranks)

    def begin_pass(self) -> bool:
        """Begin a pass, unless it is held.

        :raises TwoMapsError: when the ranks differ in their maps.
        """
        if self.next_pass_is_held:
            return False
        self.step += 1
        for rank in self.ranks:
            rank.begin_pass(self.step)
        if any(rank.used != self.ranks[0].used for rank in self.ranks):
            raise TwoMapsError([rank.used[0] for rank in self.ranks])
        return True

    def report(self, rank: int) -> experts.RankReport:
        """Return what a rank tells."""
        one = self.ranks[rank]
        ready = one.prepared is not None and one.copied
        return experts.RankReport(
            group="g",
            size=self.size,
            rank=experts.Rank(rank),
            epoch=experts.Epoch(self.epoch),
            is_open=True,
            running=0,
            step=experts.PassNumber(self.step),
            version_in_use=experts.MapVersion(one.used[0]),
            prepared_version=(
                experts.MapVersion(one.prepared.version)
                if ready and one.prepared
                else None
            ),
            armed_order=one.armed,
            held_pass=None
            if one.held is None
            else experts.PassNumber(one.held),
        )
