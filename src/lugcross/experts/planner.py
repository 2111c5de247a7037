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

from lugcross.experts import model
from lugcross.experts import set_placement

#: Most that the most loaded rank of a set may do, in mean rank loads, for the
#: set to be left as it is. Lower, and copies rise faster than the load falls:
#: 63 ranks, 8 sets, 252 experts, to 1.5 with 106 copies, to 1.3 with 163,
#: and what one reading tells of demand is no more exact than that.
_EVEN_LOAD_RATIO = 1.4
#: Most by which a plan may stay above the best that was reached for a set,
#: in mean rank loads, to be left with fewer copies.
_MIN_LOAD_DECREASE_RATIO = 0.03


@final
@dataclasses.dataclass(frozen=True)
class MapPlan:
    """A map that may follow the one in use.

    :param skew_before: of the demand under the map in use.
    :param skew_after: of the demand under ``next``.
    :param copies: most experts that one rank must copy.
    """

    next: model.ExpertMap
    skew_before: float
    skew_after: float
    copies: int


def plan_map(
    demand: model.Demand,
    used: model.ExpertMap,
    limits: model.ExpertLimits,
    *,
    most_copies: int,
    slowness: Sequence[float] = (),
) -> MapPlan:
    """Return the best map that costs each rank few copies.

    :param used: the map in use.
    :param most_copies: experts that one rank may copy, over all sets.
    :param slowness: how many times longer each rank takes than usual; all
        as usual without it.
    """
    planning = plan_in_steps(
        demand, used, limits, most_copies=most_copies, slowness=slowness
    )
    while True:
        try:
            next(planning)
        except StopIteration as exc:
            found: MapPlan = exc.value
            return found


def plan_in_steps(
    demand: model.Demand,
    used: model.ExpertMap,
    limits: model.ExpertLimits,
    *,
    most_copies: int,
    slowness: Sequence[float] = (),
) -> Generator[None, None, MapPlan]:
    """Plan as :func:`plan_map` does, a fraction of a millisecond at a time.

    Whoever must not block its process for long does something else
    between two steps.
    """
    slow = tuple(slowness) or (1.0,) * used.size
    budget = [most_copies] * used.size
    sets = []
    for num, weights in enumerate(demand):
        ranks = [rank[num] for rank in used.ranks]
        one = set_placement.SetPlacement(weights, ranks, limits, budget, slow)
        sets.append((one, _BestPlacement(one)))
        yield
    # Every set adds its most loaded rank to a pass: the worst goes first,
    # so that it finds copies left.
    open_sets = list(sets)
    while open_sets:
        worst = max(open_sets, key=_max_load)
        one, trail = worst
        step = one.best() if one.highest > _EVEN_LOAD_RATIO else None
        if step is None:
            open_sets.remove(worst)
        else:
            one.apply(step)
            trail.note()
        yield
    after = model.ExpertMap(
        tuple(
            tuple(tuple(sorted(trail.best[rank])) for _, trail in sets)
            for rank in range(used.size)
        )
    )
    return MapPlan(
        next=after,
        skew_before=model.load_skew(demand, used, slow),
        skew_after=model.load_skew(demand, after, slow),
        copies=after.copies(used),
    )


def _max_load(
    one: "tuple[set_placement.SetPlacement, _BestPlacement]",
) -> float:
    return one[0].highest


@final
class _BestPlacement:
    """The best of the placements that the steps of a set have passed.

    Where several ranks are as loaded as each other, the first steps lower
    nothing yet, and the last may come to nothing: what follows the best one
    is not copied.
    """

    def __init__(self, one: set_placement.SetPlacement) -> None:
        self._one = one
        self.best = [frozenset(held) for held in one.ranks]
        self._highest = one.highest

    def note(self) -> None:
        """Take a step that was just made into account."""
        highest = self._one.highest
        if highest < self._highest - _MIN_LOAD_DECREASE_RATIO:
            self._highest = highest
            self.best = [frozenset(held) for held in self._one.ranks]
