# SPDX-License-Identifier: Apache-2.0
"""Expert maps of a group of ranks, and how long a pass takes under them.

Plain Python on purpose: an entry process plans for groups of some tens of
ranks within milliseconds, and numpy alone would double its memory.
"""

from collections.abc import Sequence
import dataclasses
import operator
from typing import final

#: Experts that one rank holds, set by set.
ExpertsBySet = tuple[tuple[int, ...], ...]
#: How much each expert is used in each set of layers; any unit.
Demand = Sequence[Sequence[float]]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class ExpertLimits:
    """What a service's engines allow, as its operator tells it.

    :param layer_set_count: sets of layers that share one placement.
    :param max_experts_per_rank: experts that a rank may hold in a set.
    :param max_new_experts_per_map: experts of a set that may be new to a rank
        in one map.
    :param copy_s: time to copy one expert, seconds.
    :param expert_time_ratio: part of a pass that is spent in experts.
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
    """Which experts each rank holds.

    :param ranks: by rank, then by set.
    """

    ranks: tuple[ExpertsBySet, ...]

    def copies_needed_at(self, rank: int, current_map: "ExpertMap") -> int:
        """Return how many experts ``rank`` must copy, coming from another.

        :param current_map: the map that is in use.
        """
        pairs = zip(self.ranks[rank], current_map.ranks[rank], strict=True)
        return sum(len(set(now) - set(then)) for now, then in pairs)

    def max_copies_per_rank(self, current_map: "ExpertMap") -> int:
        """Return the most that any one rank must copy."""
        return max(
            self.copies_needed_at(rank, current_map)
            for rank in range(self.rank_count)
        )

    @property
    def rank_count(self) -> int:
        """How many ranks there are."""
        return len(self.ranks)


def round_robin_map(rank_count: int, limits: ExpertLimits) -> ExpertMap:
    """Return the map that every new group starts with: dealt in turn."""
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
    """Return the load of the most loaded rank over the mean of all.

    The mean over sets; a set that nothing is known of counts as even.

    :param slowness: how many times longer each rank takes than usual.
    """
    total = 0.0
    for set_index, weights in enumerate(demand):
        whole = sum(weights)
        if whole <= 0:
            total += 1.0
            continue
        loads = rank_loads(weights, expert_map, set_index)
        if slowness:
            loads = list(map(operator.mul, loads, slowness))
        total += max(loads) * expert_map.rank_count / whole
    return total / max(1, len(demand))


def rank_loads(
    weights: Sequence[float], expert_map: ExpertMap, set_index: int
) -> list[float]:
    """Return each rank's load in set ``set_index``.

    The tokens of an expert are split evenly among the ranks that hold it.
    """
    holders = [0] * len(weights)
    for rank in expert_map.ranks:
        for expert in rank[set_index]:
            holders[expert] += 1
    return [
        sum(weights[expert] / holders[expert] for expert in rank[set_index])
        for rank in expert_map.ranks
    ]


def pass_time_saving(
    skew_before: float, skew_after: float, expert_time_ratio: float
) -> float:
    """Return the part of a pass that another skew saves.

    :param skew_before: skew now.
    :param expert_time_ratio: part of an even pass that is spent in experts.
    """
    return 1.0 - relative_pass_time(
        skew_after, expert_time_ratio
    ) / relative_pass_time(skew_before, expert_time_ratio)


def relative_pass_time(skew: float, expert_time_ratio: float) -> float:
    """Return how long a pass takes, where 1 is a pass without any skew.

    :param expert_time_ratio: part of an even pass that is spent in experts.
    """
    return (1.0 - expert_time_ratio) + expert_time_ratio * skew
