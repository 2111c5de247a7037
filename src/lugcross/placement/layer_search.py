# SPDX-License-Identifier: Apache-2.0
"""Greedy search for moves in one layer: each lowers the highest rank."""

from typing import final

import numpy as np
import numpy.typing as npt

from lugcross.placement import expert_map

#: What a replica beside another on one host is taken to cost, as a part
#: of the mean rank load: hosts fail whole.
SAME_HOST_PENALTY = 0.02

_Vector = npt.NDArray[np.float64]


@final
class LayerSearch:
    """One layer's slots with the loads that follow from them.

    :param loads: forecast load of each expert.
    :param slots: expert in each slot; changed in place.
    """

    def __init__(
        self,
        loads: _Vector,
        slots: npt.NDArray[np.int32],
        cfg: expert_map.PlannerCfg,
    ) -> None:
        self._expert_loads = loads
        self.slots = slots
        self._slot_ranks = np.arange(len(slots)) // cfg.slots
        self._slot_hosts = self._slot_ranks // cfg.ranks_a_host
        self._rank_count = cfg.ranks
        self.mean_rank_load = float(loads.sum()) / cfg.ranks
        self._update_loads()

    @property
    def max_rank_load(self) -> float:
        """Load of the slowest rank."""
        return float(self._rank_loads.max())

    def best_change(self) -> tuple[float, list[tuple[int, int]]]:
        """Find the best change for the slowest rank.

        :returns: the load that its ranks would have at most, and the
            changes as pairs of slot and expert; none if nothing helps.
        """
        hottest_rank = int(self._rank_loads.argmax())
        best = self.max_rank_load
        changes: list[tuple[int, int]] = []
        for slot in self._slots_by_load(hottest_rank):
            for peak_load, found in (
                self._best_replication(slot),
                self._best_swap(slot),
            ):
                if peak_load < best:
                    best, changes = peak_load, found
            if changes:
                break
        return best, changes

    def apply(self, changes: list[tuple[int, int]]) -> None:
        """Carry out changes that :meth:`best_change` found."""
        for slot, expert in changes:
            self.slots[slot] = expert
        self._update_loads()

    def _update_loads(self) -> None:
        self._replica_counts = np.bincount(
            self.slots, minlength=len(self._expert_loads)
        )
        self._replica_loads: _Vector = self._expert_loads / np.maximum(
            self._replica_counts, 1
        )
        self._slot_loads = self._replica_loads[self.slots]
        self._rank_loads = np.bincount(
            self._slot_ranks,
            weights=self._slot_loads,
            minlength=self._rank_count,
        )

    def _slots_by_load(self, rank: int) -> list[int]:
        mine = np.flatnonzero(self._slot_ranks == rank)
        order = np.argsort(-self._slot_loads[mine])
        # The heaviest few: the rest cannot be what makes it slow.
        return [int(slot) for slot in mine[order][:3]]

    def _ranks_holding(self, expert: int) -> npt.NDArray[np.bool_]:
        """Return which ranks hold ``expert`` already."""
        taken = np.zeros(self._rank_count, dtype=bool)
        taken[self._slot_ranks[self.slots == expert]] = True
        return taken

    def _same_host_penalty(self, expert: int) -> _Vector:
        there = np.zeros(self._slot_hosts[-1] + 1)
        there[self._slot_hosts[self.slots == expert]] = 1.0
        cost: _Vector = there[self._slot_hosts]
        cost *= SAME_HOST_PENALTY * self.mean_rank_load
        return cost

    def _best_replication(
        self, slot: int
    ) -> tuple[float, list[tuple[int, int]]]:
        """Try one more replica of a slot's expert in another's place."""
        expert = int(self.slots[slot])
        count = self._replica_counts
        new_share = self._expert_loads[expert] / (count[expert] + 1)
        # What the others that hold the replaced expert would get more.
        more = (
            self._expert_loads / np.maximum(count - 1, 1) - self._replica_loads
        )
        peak = np.zeros(len(self._expert_loads))
        np.maximum.at(peak, self.slots, self._rank_loads[self._slot_ranks])
        peak_load = np.maximum(
            self._rank_loads[self._slot_ranks] - self._slot_loads + new_share,
            (peak + more)[self.slots],
        )
        peak_load += self._same_host_penalty(expert)
        excluded = self._ranks_holding(expert)[self._slot_ranks]
        excluded |= count[self.slots] < 2
        peak_load[excluded] = np.inf
        target = int(peak_load.argmin())
        relieved = self._rank_loads[self._slot_ranks[slot]] - (
            self._slot_loads[slot] - new_share
        )
        return max(float(peak_load[target]), float(relieved)), [
            (target, expert)
        ]

    def _best_swap(self, slot: int) -> tuple[float, list[tuple[int, int]]]:
        """Try to trade a slot's expert for a lighter one elsewhere."""
        expert = int(self.slots[slot])
        rank = int(self._slot_ranks[slot])
        gain = self._slot_loads[slot] - self._slot_loads
        peak_load = np.maximum(
            self._rank_loads[rank] - gain,
            self._rank_loads[self._slot_ranks] + gain,
        )
        peak_load += self._same_host_penalty(expert)
        held_here = np.zeros(len(self._expert_loads), dtype=bool)
        held_here[self.slots[self._slot_ranks == rank]] = True
        excluded = self._ranks_holding(expert)[self._slot_ranks]
        peak_load[held_here[self.slots] | excluded] = np.inf
        target = int(peak_load.argmin())
        other = int(self.slots[target])
        return float(peak_load[target]), [(target, expert), (slot, other)]
