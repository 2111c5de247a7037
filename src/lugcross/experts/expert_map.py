# SPDX-License-Identifier: Apache-2.0
"""Expert maps of a rank group, and the pass time to expect under them.

Does not use numpy, which would double the memory of an entry process; plain
Python plans for groups of some tens of ranks within milliseconds.
"""

from collections.abc import Sequence
import dataclasses
import operator
from typing import final

#: Experts that one rank holds, indexed by layer set.
ExpertsBySet = tuple[tuple[int, ...], ...]
#: How much each expert is used, indexed by layer set, then by expert; only
#: the proportions matter.
Demand = Sequence[Sequence[float]]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class ExpertLimits:
    """Limits and costs of a service's engines, as set by the operator.

    :param layer_set_count: number of layer sets; all layers of a set have the
        same placement of experts.
    :param expert_count: number of experts in each layer set.
    :param max_experts_per_rank: how many experts of a set a rank can hold.
    :param max_new_experts_per_map: how many experts of a set one map can add
        to a rank.
    :param copy_s: time to copy one expert to a rank, in seconds.
    :param expert_time_ratio: fraction of a pass that is spent in experts when
        all ranks are equally loaded.
    """

    layer_set_count: int
    expert_count: int
    max_experts_per_rank: int
    max_new_experts_per_map: int
    copy_s: float
    expert_time_ratio: float


@final
@dataclasses.dataclass(frozen=True)
class ExpertMap:
    """An assignment of experts to the ranks of a group.

    :param ranks: the experts held, indexed by rank, then by layer set.
    """

    ranks: tuple[ExpertsBySet, ...]

    def copies_needed_at(self, rank: int, current_map: "ExpertMap") -> int:
        """Return how many experts ``rank`` must copy to get this map.

        :param current_map: the map in use.
        """
        pairs = zip(self.ranks[rank], current_map.ranks[rank], strict=True)
        return sum(len(set(new) - set(current)) for new, current in pairs)

    def max_copies_per_rank(self, current_map: "ExpertMap") -> int:
        """Return the largest number of experts that one rank must copy.

        :param current_map: the map in use.
        """
        return max(
            self.copies_needed_at(rank, current_map)
            for rank in range(self.rank_count)
        )

    @property
    def rank_count(self) -> int:
        return len(self.ranks)


def round_robin_map(rank_count: int, limits: ExpertLimits) -> ExpertMap:
    """Return the initial map of a group: expert ``i`` at rank ``i % n``."""
    return ExpertMap(
        tuple(
            tuple(
                tuple(range(rank, limits.expert_count, rank_count))
                for _ in range(limits.layer_set_count)
            )
            for rank in range(rank_count)
        )
    )


def load_skew(
    demand: Demand, expert_map: ExpertMap, slowness: Sequence[float] = ()
) -> float:
    """Return the ratio of the highest rank load to the mean, 1 if even.

    This is the average over the layer sets. A set without any demand counts
    as even.

    :param slowness: factor by which each rank takes longer than usual, by
        rank; all are 1 if empty.
    """
    total = 0.0
    for set_index, weights in enumerate(demand):
        total_weight = sum(weights)
        if total_weight <= 0:
            total += 1.0
            continue
        loads = rank_loads(weights, expert_map, set_index)
        if slowness:
            loads = list(map(operator.mul, loads, slowness))
        total += max(loads) * expert_map.rank_count / total_weight
    return total / max(1, len(demand))


def rank_loads(
    weights: Sequence[float], expert_map: ExpertMap, set_index: int
) -> list[float]:
    """Return the load of each rank in layer set ``set_index``.

    The load of an expert is split evenly among the ranks that hold it.

    :param weights: demand for each expert of the set.
    """
    holder_counts = [0] * len(weights)
    for held in expert_map.ranks:
        for expert in held[set_index]:
            holder_counts[expert] += 1
    return [
        sum(
            weights[expert] / holder_counts[expert]
            for expert in held[set_index]
        )
        for held in expert_map.ranks
    ]


def pass_time_saving(
    skew_before: float, skew_after: float, expert_time_ratio: float
) -> float:
    """Return the fraction of the pass time that a change of skew saves.

    :param expert_time_ratio: fraction of a pass without skew that is spent in
        experts.
    """
    return 1.0 - relative_pass_time(
        skew_after, expert_time_ratio
    ) / relative_pass_time(skew_before, expert_time_ratio)


def relative_pass_time(skew: float, expert_time_ratio: float) -> float:
    """Return the duration of a pass relative to one without skew.

    :param expert_time_ratio: fraction of a pass without skew that is spent in
        experts.
    """
    return (1.0 - expert_time_ratio) + expert_time_ratio * skew
