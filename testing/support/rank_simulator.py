# SPDX-License-Identifier: Apache-2.0
"""Simulation of a rank group: maps, orders and passes, without I/O.

Follows the published behaviour of engines. Where that is not specified, it
follows what was observed: a map that is still being copied has already
replaced the map prepared before it, and a rank that is armed again uses the
pass of the later order.
"""

import dataclasses

from lugcross import experts


class MixedMapsError(AssertionError):
    """A pass began with different maps at different ranks."""


@dataclasses.dataclass
class SimulatedRank:
    """The state of one rank.

    :param highest_version: the highest version that was ever prepared.
    :param has_copied: whether the prepared map is ready to be armed.
    :param min_generation: orders with a lower lease generation are refused.
    """

    version_and_map: tuple[int, experts.ExpertMap]
    highest_version: int = 0
    prepared_order: experts.Prepare | None = None
    has_copied: bool = False
    armed_order: experts.Arm | None = None
    held_pass: int | None = None
    min_generation: int = 0

    def execute(
        self, order: experts.Order, last_pass: int
    ) -> experts.OrderResult:
        """Carry out an order.

        :param last_pass: the pass that began last.
        """
        done = self._execute(order, last_pass)
        return (
            experts.OrderResult.DONE if done else experts.OrderResult.REFUSED
        )

    def _execute(self, order: experts.Order, last_pass: int) -> bool:
        if isinstance(order, experts.Prepare):
            return self._prepare(order)
        if isinstance(order, experts.Arm):
            return self._arm(order, last_pass)
        if isinstance(order, experts.Disarm):
            if order.version == self.version_and_map[0]:
                return False
            if self.armed_order and self.armed_order.version == order.version:
                self.armed_order = None
            return True
        if isinstance(order, experts.Hold):
            if order.pass_number <= last_pass or self.held_pass not in (
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

    def _arm(self, order: experts.Arm, last_pass: int) -> bool:
        is_ready = self.prepared_order is not None and self.has_copied
        if not is_ready or order.pass_number <= last_pass:
            return False
        assert self.prepared_order is not None
        if self.prepared_order.version != order.version:
            return False
        self.armed_order = order
        return True

    def begin_pass(self, pass_number: int) -> None:
        """Switch to the prepared map if it is armed for this pass."""
        if self.armed_order and self.armed_order.pass_number == pass_number:
            assert self.prepared_order is not None
            self.version_and_map = (
                self.prepared_order.version,
                self.prepared_order.map,
            )
            self.prepared_order = self.armed_order = None


class SimulatedGroup:
    """A group of simulated ranks, which begin each pass together."""

    def __init__(
        self, rank_count: int, initial_map: experts.ExpertMap
    ) -> None:
        self._initial_map = initial_map
        self.rank_count = rank_count
        self.epoch = 0
        self.last_pass = 0
        self.ranks: list[SimulatedRank] = []
        self.start_new_epoch()

    def start_new_epoch(self) -> None:
        """Form anew: all ranks lose their state and get the initial map."""
        self.epoch += 1
        self.last_pass = 0
        self.ranks = [
            SimulatedRank((0, self._initial_map))
            for _ in range(self.rank_count)
        ]

    def execute(
        self,
        rank: int,
        order: experts.Order,
        epoch: int,
        generation: int | None = None,
    ) -> experts.OrderResult:
        """Carry out an order at one rank.

        :param epoch: epoch that the order was given for.
        :param generation: lease generation of the order, if it carries one.
        """
        target = self.ranks[rank]
        if generation is not None:
            if generation < target.min_generation:
                return experts.OrderResult.FENCED
            target.min_generation = generation
        if epoch != self.epoch:
            return experts.OrderResult.REFUSED
        return target.execute(order, self.last_pass)

    @property
    def next_pass_is_held(self) -> bool:
        """Whether any rank holds the next pass."""
        return any(rank.held_pass == self.last_pass + 1 for rank in self.ranks)

    def begin_pass(self) -> bool:
        """Begin the next pass, unless it is held.

        :returns: whether the pass has begun.
        :raises MixedMapsError: if the ranks differ in their maps.
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
        """Return the report of a rank."""
        source = self.ranks[rank]
        is_ready = source.prepared_order is not None and source.has_copied
        return experts.RankReport(
            group="g",
            rank_count=self.rank_count,
            rank=experts.Rank(rank),
            epoch=experts.Epoch(self.epoch),
            is_open=True,
            request_count=0,
            last_pass=experts.PassNumber(self.last_pass),
            version_in_use=experts.MapVersion(source.version_and_map[0]),
            prepared_version=(
                experts.MapVersion(source.prepared_order.version)
                if is_ready and source.prepared_order
                else None
            ),
            armed_order=source.armed_order,
            held_pass=None
            if source.held_pass is None
            else experts.PassNumber(source.held_pass),
        )
