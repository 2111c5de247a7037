# SPDX-License-Identifier: Apache-2.0
"""Ranks of a group as published: maps, orders and passes, without I/O.

What the pages leave open is as it was measured: a map that is being
copied has already taken the place of the one prepared before it, and a
rank that is armed again takes the later order's pass.
"""

import dataclasses

from lugcross import experts


class MixedMapsError(AssertionError):
    """A pass began while two ranks differed in their maps."""


@dataclasses.dataclass
class SimulatedRank:
    """One rank."""

    version_and_map: tuple[int, experts.ExpertMap]
    highest_version: int = 0
    prepared_order: experts.Prepare | None = None
    has_copied: bool = False
    armed_order: experts.Arm | None = None
    held_pass: int | None = None
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
            if order.version == self.version_and_map[0]:
                return False
            if self.armed_order and self.armed_order.version == order.version:
                self.armed_order = None
            return True
        if isinstance(order, experts.Hold):
            if order.pass_number <= step or self.held_pass not in (
                None,
                order.pass_number,
            ):
                return False
            self.held_pass = order.pass_number
            return True
        if self.held_pass == order.pass_number:
            self.held_pass = None
        return True

    def _prepare(self, order: experts.Prepare) -> bool:
        if self.armed_order:
            return False
        if (
            self.prepared_order
            and order.version == self.prepared_order.version
        ):
            return True
        if order.version <= self.highest_version:
            return False
        self.highest_version = order.version
        self.prepared_order = order
        self.has_copied = order.map == self.version_and_map[1]
        return True

    def _arm(self, order: experts.Arm, step: int) -> bool:
        ready = self.prepared_order is not None and self.has_copied
        if not ready or order.pass_number <= step:
            return False
        assert self.prepared_order is not None
        if self.prepared_order.version != order.version:
            return False
        self.armed_order = order
        return True

    def begin_pass(self, step: int) -> None:
        """Take up an armed map as pass ``step`` begins."""
        if self.armed_order and self.armed_order.pass_number == step:
            assert self.prepared_order is not None
            self.version_and_map = (
                self.prepared_order.version,
                self.prepared_order.map,
            )
            self.prepared_order = self.armed_order = None


class SimulatedGroup:
    """All ranks of a group; passes begin at all of them together."""

    def __init__(self, size: int, first: experts.ExpertMap) -> None:
        self._initial_map = first
        self.size = size
        self.epoch = 0
        self.last_pass = 0
        self.ranks: list[SimulatedRank] = []
        self.start_new_epoch()

    def start_new_epoch(self) -> None:
        """Begin a new life, with the first map and nothing else."""
        self.epoch += 1
        self.last_pass = 0
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
        return one.execute(order, self.last_pass)

    @property
    def next_pass_is_held(self) -> bool:
        """Whether a rank keeps the next pass from beginning."""
        return any(rank.held_pass == self.last_pass + 1 for rank in self.ranks)

    def begin_pass(self) -> bool:
        """Begin a pass, unless it is held.

        :raises MixedMapsError: when the ranks differ in their maps.
        """
        if self.next_pass_is_held:
            return False
        self.last_pass += 1
        for rank in self.ranks:
            rank.begin_pass(self.last_pass)
        if any(
            rank.version_and_map != self.ranks[0].version_and_map
            for rank in self.ranks
        ):
            raise MixedMapsError(
                [rank.version_and_map[0] for rank in self.ranks]
            )
        return True

    def report(self, rank: int) -> experts.RankReport:
        """Return what a rank tells."""
        one = self.ranks[rank]
        ready = one.prepared_order is not None and one.has_copied
        return experts.RankReport(
            group="g",
            rank_count=self.size,
            rank=experts.Rank(rank),
            epoch=experts.Epoch(self.epoch),
            is_open=True,
            request_count=0,
            last_pass=experts.PassNumber(self.last_pass),
            version_in_use=experts.MapVersion(one.version_and_map[0]),
            prepared_version=(
                experts.MapVersion(one.prepared_order.version)
                if ready and one.prepared_order
                else None
            ),
            armed_order=one.armed_order,
            held_pass=None
            if one.held_pass is None
            else experts.PassNumber(one.held_pass),
        )
