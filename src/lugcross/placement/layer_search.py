# SPDX-License-Identifier: Apache-2.0
"""Greedy search for changes that lower the maximum rank load of a layer."""

from typing import final

import numpy as np
import numpy.typing as npt

from lugcross.placement import expert_map

#: Penalty for a second replica of an expert on one host, as a fraction of
#: the mean rank load: all replicas on a host fail together with it.
SAME_HOST_PENALTY = 0.02

#: Slots of the most loaded rank for which changes are tried.
_SLOTS_TO_TRY = 3

_Vector = npt.NDArray[np.float64]


@final
class LayerSearch:
    """The slots of one layer, with the slot and rank loads they cause.

    :param loads: forecast load of each expert, in tokens.
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
        """Load of the most loaded rank, in tokens."""
        return float(self._rank_loads.max())

    def best_change(self) -> tuple[float, list[tuple[int, int]]]:
        """Find the change that best relieves the most loaded rank.

        :returns: the resulting load of the most loaded rank among those
            that take part, including penalties, and the slots to
            change as pairs of slot and expert; no pairs if no change
            lowers the maximum rank load.
        """
        hottest_rank = int(self._rank_loads.argmax())
        best = self.max_rank_load
        changes: list[tuple[int, int]] = []
        for slot in self._most_loaded_slots(hottest_rank):
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
        """Apply changes that :meth:`best_change` returned."""
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

    def _most_loaded_slots(self, rank: int) -> list[int]:
        rank_slots = np.flatnonzero(self._slot_ranks == rank)
        order = np.argsort(-self._slot_loads[rank_slots])
        return [int(slot) for slot in rank_slots[order][:_SLOTS_TO_TRY]]

    def _ranks_holding(self, expert: int) -> npt.NDArray[np.bool_]:
        """Return a mask of the ranks that hold ``expert``."""
        holding = np.zeros(self._rank_count, dtype=bool)
        holding[self._slot_ranks[self.slots == expert]] = True
        return holding

    def _same_host_penalty(self, expert: int) -> _Vector:
        """Return for each slot the penalty of placing ``expert`` there."""
        on_host = np.zeros(self._slot_hosts[-1] + 1)
        on_host[self._slot_hosts[self.slots == expert]] = 1.0
        cost: _Vector = on_host[self._slot_hosts]
        cost *= SAME_HOST_PENALTY * self.mean_rank_load
        return cost

    def _best_replication(
        self, slot: int
    ) -> tuple[float, list[tuple[int, int]]]:
        """Find the best slot for another replica of the expert in ``slot``.

        The replica replaces one of an expert that has other replicas.
        """
        expert = int(self.slots[slot])
        count = self._replica_counts
        new_replica_load = self._expert_loads[expert] / (count[expert] + 1)
        # Load that each remaining replica of a replaced expert takes over.
        added_load = (
            self._expert_loads / np.maximum(count - 1, 1) - self._replica_loads
        )
        max_holder_load = np.zeros(len(self._expert_loads))
        np.maximum.at(
            max_holder_load, self.slots, self._rank_loads[self._slot_ranks]
        )
        peak_load = np.maximum(
            self._rank_loads[self._slot_ranks]
            - self._slot_loads
            + new_replica_load,
            (max_holder_load + added_load)[self.slots],
        )
        peak_load += self._same_host_penalty(expert)
        excluded = self._ranks_holding(expert)[self._slot_ranks]
        excluded |= count[self.slots] < 2
        peak_load[excluded] = np.inf
        target = int(peak_load.argmin())
        relieved_load = self._rank_loads[self._slot_ranks[slot]] - (
            self._slot_loads[slot] - new_replica_load
        )
        return max(float(peak_load[target]), float(relieved_load)), [
            (target, expert)
        ]

    def _best_swap(self, slot: int) -> tuple[float, list[tuple[int, int]]]:
        """Find the best slot to swap experts with ``slot``."""
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
