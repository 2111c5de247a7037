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
RankExperts = tuple[tuple[int, ...], ...]
#: How much each expert is used in each set of layers; any unit.
Demand = Sequence[Sequence[float]]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class ExpertLimits:
    """What a service's engines allow, as its operator tells it.

    :param sets: sets of layers that share one placement.
    :param places: experts that a rank may hold in a set.
    :param spare: experts of a set that may be new to a rank in one map.
    :param copy_s: time to copy one expert, seconds.
    :param share: part of a pass that is spent in experts.
    """

    sets: int
    experts: int
    places: int
    spare: int
    copy_s: float
    share: float


@final
@dataclasses.dataclass(frozen=True)
class ExpertMap:
    """Which experts each rank holds.

    :param ranks: by rank, then by set.
    """

    ranks: tuple[RankExperts, ...]

    def new_to(self, rank: int, before: "ExpertMap") -> int:
        """Return how many experts ``rank`` must copy, coming from another.

        :param before: the map that is in use.
        """
        pairs = zip(self.ranks[rank], before.ranks[rank], strict=True)
        return sum(len(set(now) - set(then)) for now, then in pairs)

    def copies(self, before: "ExpertMap") -> int:
        """Return the most that any one rank must copy."""
        return max(self.new_to(rank, before) for rank in range(self.size))

    @property
    def size(self) -> int:
        """How many ranks there are."""
        return len(self.ranks)


def round_robin_map(size: int, limits: ExpertLimits) -> ExpertMap:
    """Return the map that every new group starts with: dealt in turn."""
    return ExpertMap(
        tuple(
            tuple(
                tuple(range(rank, limits.experts, size))
                for _ in range(limits.sets)
            )
            for rank in range(size)
        )
    )


def load_skew(
    demand: Demand, used: ExpertMap, slowness: Sequence[float] = ()
) -> float:
    """Return the load of the most loaded rank over the mean of all.

    The mean over sets; a set that nothing is known of counts as even.

    :param slowness: how many times longer each rank takes than usual.
    """
    total = 0.0
    for num, weights in enumerate(demand):
        whole = sum(weights)
        if whole <= 0:
            total += 1.0
            continue
        loads = rank_loads(weights, used, num)
        if slowness:
            loads = list(map(operator.mul, loads, slowness))
        total += max(loads) * used.size / whole
    return total / max(1, len(demand))


def rank_loads(
    weights: Sequence[float], used: ExpertMap, num: int
) -> list[float]:
    """Return each rank's load in set ``num``.

    The tokens of an expert are split evenly among the ranks that hold it.
    """
    holders = [0] * len(weights)
    for rank in used.ranks:
        for expert in rank[num]:
            holders[expert] += 1
    return [
        sum(weights[expert] / holders[expert] for expert in rank[num])
        for rank in used.ranks
    ]


def pass_time_saving(before: float, after: float, share: float) -> float:
    """Return the part of a pass that another skew saves.

    :param before: skew now.
    :param share: part of an even pass that is spent in experts.
    """
    return 1.0 - relative_pass_time(after, share) / relative_pass_time(
        before, share
    )


def relative_pass_time(skew_now: float, share: float) -> float:
    """Return how long a pass takes, where 1 is a pass without any skew.

    :param share: part of an even pass that is spent in experts.
    """
    return (1.0 - share) + share * skew_now
