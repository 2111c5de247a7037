# SPDX-License-Identifier: Apache-2.0
"""Greedy search for moves in one layer: each lowers the highest rank."""

from typing import final

import numpy as np
import numpy.typing as npt

from lugcross.placement import model

#: What a replica beside another on one host is taken to cost, as a part
#: of the mean rank load: hosts fail whole.
SAME_HOST_COST = 0.02

_Vector = npt.NDArray[np.float64]


@final
class Layer:
    """One layer's slots with the loads that follow from them.

    :param loads: forecast load of each expert.
    :param slots: expert in each slot; changed in place.
    """

    def __init__(
        self,
        loads: _Vector,
        slots: npt.NDArray[np.int32],
        cfg: model.PlannerCfg,
    ) -> None:
        self._loads = loads
        self.slots = slots
        self._rank_of = np.arange(len(slots)) // cfg.slots
        self._host_of = self._rank_of // cfg.ranks_a_host
        self._ranks = cfg.ranks
        self.mean = float(loads.sum()) / cfg.ranks
        self._refresh()

    @property
    def highest(self) -> float:
        """Load of the slowest rank."""
        return float(self._of_rank.max())

    def step(self) -> tuple[float, list[tuple[int, int]]]:
        """Find the best change for the slowest rank.

        :returns: the load that its ranks would have at most, and the
            changes as pairs of slot and expert; none if nothing helps.
        """
        hot = int(self._of_rank.argmax())
        best = self.highest
        changes: list[tuple[int, int]] = []
        for slot in self._slots_by_load(hot):
            for value, found in (self._replicate(slot), self._swap(slot)):
                if value < best:
                    best, changes = value, found
            if changes:
                break
        return best, changes

    def apply(self, changes: list[tuple[int, int]]) -> None:
        """Carry out changes that :meth:`step` found."""
        for slot, expert in changes:
            self.slots[slot] = expert
        self._refresh()

    def _refresh(self) -> None:
        self._count = np.bincount(self.slots, minlength=len(self._loads))
        self._share: _Vector = self._loads / np.maximum(self._count, 1)
        self._of_slot = self._share[self.slots]
        self._of_rank = np.bincount(
            self._rank_of, weights=self._of_slot, minlength=self._ranks
        )

    def _slots_by_load(self, rank: int) -> list[int]:
        mine = np.flatnonzero(self._rank_of == rank)
        order = np.argsort(-self._of_slot[mine])
        # The heaviest few: the rest cannot be what makes it slow.
        return [int(slot) for slot in mine[order][:3]]

    def _taken_by(self, expert: int) -> npt.NDArray[np.bool_]:
        """Return which ranks hold ``expert`` already."""
        taken = np.zeros(self._ranks, dtype=bool)
        taken[self._rank_of[self.slots == expert]] = True
        return taken

    def _host_cost(self, expert: int) -> _Vector:
        there = np.zeros(self._host_of[-1] + 1)
        there[self._host_of[self.slots == expert]] = 1.0
        cost: _Vector = there[self._host_of]
        cost *= SAME_HOST_COST * self.mean
        return cost

    def _replicate(self, slot: int) -> tuple[float, list[tuple[int, int]]]:
        """Try one more replica of a slot's expert in another's place."""
        expert = int(self.slots[slot])
        count = self._count
        new_share = self._loads[expert] / (count[expert] + 1)
        # What the others that hold the replaced expert would get more.
        more = self._loads / np.maximum(count - 1, 1) - self._share
        peak = np.zeros(len(self._loads))
        np.maximum.at(peak, self.slots, self._of_rank[self._rank_of])
        value = np.maximum(
            self._of_rank[self._rank_of] - self._of_slot + new_share,
            (peak + more)[self.slots],
        )
        value += self._host_cost(expert)
        barred = self._taken_by(expert)[self._rank_of]
        barred |= count[self.slots] < 2
        value[barred] = np.inf
        target = int(value.argmin())
        relieved = self._of_rank[self._rank_of[slot]] - (
            self._of_slot[slot] - new_share
        )
        return max(float(value[target]), float(relieved)), [(target, expert)]

    def _swap(self, slot: int) -> tuple[float, list[tuple[int, int]]]:
        """Try to trade a slot's expert for a lighter one elsewhere."""
        expert = int(self.slots[slot])
        rank = int(self._rank_of[slot])
        gain = self._of_slot[slot] - self._of_slot
        value = np.maximum(
            self._of_rank[rank] - gain, self._of_rank[self._rank_of] + gain
        )
        value += self._host_cost(expert)
        held_here = np.zeros(len(self._loads), dtype=bool)
        held_here[self.slots[self._rank_of == rank]] = True
        barred = self._taken_by(expert)[self._rank_of]
        value[held_here[self.slots] | barred] = np.inf
        target = int(value.argmin())
        other = int(self.slots[target])
        return float(value[target]), [(target, expert), (slot, other)]
