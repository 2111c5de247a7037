# SPDX-License-Identifier: Apache-2.0
"""Planning of the next expert map: even rank loads at the cost of few copies.

Demand shifts to other experts every few seconds, and every expert that a map
newly assigns to a rank must be copied there. The planner is greedy: each step
relieves the most loaded rank of a layer set by replicating, moving or swapping
one of its experts, whichever lowers the load of the affected ranks most per
copy. The load of a slow rank is multiplied by its slowness.
"""

from collections.abc import Generator
from collections.abc import Sequence
import dataclasses
from typing import final

from lugcross.experts import expert_map
from lugcross.experts import set_placement

#: A set whose highest rank load is at most this multiple of the mean is not
#: improved further: below it, copies rise faster than the load falls, and the
#: difference is within the noise of one reading of demand. In a group of 63
#: ranks, going from 1.5 to 1.3 takes half as many copies again.
_ACCEPTABLE_LOAD_RATIO = 1.4
#: A set's highest load must fall by more than this, in mean rank loads, for
#: the additional copies to be kept in the plan.
_MIN_LOAD_DECREASE_RATIO = 0.03


@final
@dataclasses.dataclass(frozen=True)
class MapPlan:
    """A proposed map, with its effect and cost.

    :param skew_before: load skew under the map in use.
    :param skew_after: load skew under ``next_map``.
    :param max_copies_per_rank: the largest number of experts that one rank
        must copy.
    """

    next_map: expert_map.ExpertMap
    skew_before: float
    skew_after: float
    max_copies_per_rank: int


def plan_map(
    demand: expert_map.Demand,
    current_map: expert_map.ExpertMap,
    limits: expert_map.ExpertLimits,
    *,
    max_copies_per_rank: int,
    slowness: Sequence[float] = (),
) -> MapPlan:
    """Plan the next map.

    :param current_map: the map in use.
    :param max_copies_per_rank: how many experts one rank may copy, over all
        layer sets.
    :param slowness: factor by which each rank takes longer than usual, by
        rank; all are 1 if empty.
    """
    planning = plan_in_steps(
        demand,
        current_map,
        limits,
        max_copies_per_rank=max_copies_per_rank,
        slowness=slowness,
    )
    while True:
        try:
            next(planning)
        except StopIteration as exc:
            plan: MapPlan = exc.value
            return plan


def plan_in_steps(
    demand: expert_map.Demand,
    current_map: expert_map.ExpertMap,
    limits: expert_map.ExpertLimits,
    *,
    max_copies_per_rank: int,
    slowness: Sequence[float] = (),
) -> Generator[None, None, MapPlan]:
    """Plan as :func:`plan_map` does, but as a generator.

    Each step takes a fraction of a millisecond, so that the caller can run
    other work between two steps. The generator returns the plan.
    """
    slowness_factors = tuple(slowness) or (1.0,) * current_map.rank_count
    copies_left = [max_copies_per_rank] * current_map.rank_count
    placements = []
    for set_index, weights in enumerate(demand):
        ranks = [rank[set_index] for rank in current_map.ranks]
        placement = set_placement.SetPlacement(
            weights, ranks, limits, copies_left, slowness_factors
        )
        placements.append((placement, _BestPlacement(placement)))
        yield
    # Each set adds the load of its most loaded rank to the pass time, so the
    # set with the highest load uses the remaining copies first.
    improvable_placements = list(placements)
    while improvable_placements:
        worst = max(improvable_placements, key=_max_load)
        placement, best = worst
        relocation = (
            placement.best_relocation()
            if placement.max_load > _ACCEPTABLE_LOAD_RATIO
            else None
        )
        if relocation is None:
            improvable_placements.remove(worst)
        else:
            placement.apply(relocation)
            best.update()
        yield
    next_map = expert_map.ExpertMap(
        tuple(
            tuple(tuple(sorted(best.ranks[rank])) for _, best in placements)
            for rank in range(current_map.rank_count)
        )
    )
    return MapPlan(
        next_map=next_map,
        skew_before=expert_map.load_skew(
            demand, current_map, slowness_factors
        ),
        skew_after=expert_map.load_skew(demand, next_map, slowness_factors),
        max_copies_per_rank=next_map.max_copies_per_rank(current_map),
    )


def _max_load(
    candidate: "tuple[set_placement.SetPlacement, _BestPlacement]",
) -> float:
    return candidate[0].max_load


@final
class _BestPlacement:
    """The best placement of a set among all that were reached so far.

    While several ranks have about the highest load, relieving one of them
    does not lower the maximum. The last relocations of a plan may therefore
    gain nothing; they are not included.
    """

    def __init__(self, placement: set_placement.SetPlacement) -> None:
        self._placement = placement
        self.ranks = [frozenset(held) for held in placement.ranks]
        self._max_load = placement.max_load

    def update(self) -> None:
        """Record the current placement if it is better."""
        max_load = self._placement.max_load
        if max_load < self._max_load - _MIN_LOAD_DECREASE_RATIO:
            self._max_load = max_load
            self.ranks = [frozenset(held) for held in self._placement.ranks]
