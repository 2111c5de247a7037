# SPDX-License-Identifier: Apache-2.0
"""The next expert map: the most loaded ranks are relieved, with few copies.

Demand jumps to other experts every few seconds, and every expert that is new
to a rank must be copied there. A plan is a list of single steps, each of which
lightens the most loaded rank of a set: one of its experts gets a replica,
moves, or changes places with another rank's, whichever leaves the ranks that
it touches the least loaded for each copy. A rank that is slower than the
others counts as loaded by as much more.
"""

from collections.abc import Generator
from collections.abc import Sequence
import dataclasses
from typing import final

from lugcross.experts import expert_map
from lugcross.experts import set_placement

#: Most that the most loaded rank of a set may do, in mean rank loads, for the
#: set to be left as it is. Lower, and copies rise faster than the load falls:
#: 63 ranks, 8 sets, 252 experts, to 1.5 with 106 copies, to 1.3 with 163,
#: and what one reading tells of demand is no more exact than that.
_ACCEPTABLE_LOAD_RATIO = 1.4
#: Most by which a plan may stay above the best that was reached for a set,
#: in mean rank loads, to be left with fewer copies.
_MIN_LOAD_DECREASE_RATIO = 0.03


@final
@dataclasses.dataclass(frozen=True)
class MapPlan:
    """A map that may follow the one in use.

    :param skew_before: of the demand under the map in use.
    :param skew_after: of the demand under ``next_map``.
    :param max_copies_per_rank: most experts that one rank must copy.
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
    """Return the best map that costs each rank few copies.

    :param current_map: the map in use.
    :param max_copies_per_rank: experts that one rank may copy, over all sets.
    :param slowness: how many times longer each rank takes than usual; all
        as usual without it.
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
            found: MapPlan = exc.value
            return found


def plan_in_steps(
    demand: expert_map.Demand,
    current_map: expert_map.ExpertMap,
    limits: expert_map.ExpertLimits,
    *,
    max_copies_per_rank: int,
    slowness: Sequence[float] = (),
) -> Generator[None, None, MapPlan]:
    """Plan as :func:`plan_map` does, a fraction of a millisecond at a time.

    Whoever must not block its process for long does something else
    between two steps.
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
    # Every set adds its most loaded rank to a pass: the worst goes first,
    # so that it finds copies left.
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
    after = expert_map.ExpertMap(
        tuple(
            tuple(tuple(sorted(best.ranks[rank])) for _, best in placements)
            for rank in range(current_map.rank_count)
        )
    )
    return MapPlan(
        next_map=after,
        skew_before=expert_map.load_skew(
            demand, current_map, slowness_factors
        ),
        skew_after=expert_map.load_skew(demand, after, slowness_factors),
        max_copies_per_rank=after.max_copies_per_rank(current_map),
    )


def _max_load(
    candidate: "tuple[set_placement.SetPlacement, _BestPlacement]",
) -> float:
    return candidate[0].max_load


@final
class _BestPlacement:
    """The best of the placements that the steps of a set have passed.

    Where several ranks are as loaded as each other, the first steps lower
    nothing yet, and the last may come to nothing: what follows the best one
    is not copied.
    """

    def __init__(self, placement: set_placement.SetPlacement) -> None:
        self._placement = placement
        self.ranks = [frozenset(held) for held in placement.ranks]
        self._max_load = placement.max_load

    def update(self) -> None:
        """Take a step that was just made into account."""
        highest = self._placement.max_load
        if highest < self._max_load - _MIN_LOAD_DECREASE_RATIO:
            self._max_load = highest
            self.ranks = [frozenset(held) for held in self._placement.ranks]
