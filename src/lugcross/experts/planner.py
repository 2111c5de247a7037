# SPDX-License-Identifier: Apache-2.0
"""The next expert map: replicas of what is in demand, few copies.

Demand jumps to other experts every few seconds, and copying an expert to
a rank takes a good part of a second for all sets together. So a plan is
a list of single replicas, each worth its copy, the best first, until the
slowest rank to copy has as many as the caller allows.
"""

from collections.abc import Generator
from collections.abc import Sequence
import dataclasses
from typing import final

from lugcross.experts import model

#: Least fall of a set's highest rank load, in mean rank loads, that one
#: more copy must bring: below it lies the noise of one reading.
_LEAST_GAIN = 0.04
#: Experts of the most loaded rank that are tried, heaviest first: what is
#: lighter than these cannot be why it is the slowest.
_TRIED = 3
#: Ranks that are tried for one more replica, least loaded first: what is
#: more loaded than these is no better place, and 256 ranks take too long.
_RANKS_TRIED = 12


@final
@dataclasses.dataclass(frozen=True)
class Plan:
    """A map that may follow the one in use.

    :param skew_before: of the demand under the map in use.
    :param skew_after: of the demand under ``next``.
    :param copies: most experts that one rank must copy.
    """

    next: model.ExpertMap
    skew_before: float
    skew_after: float
    copies: int


@final
@dataclasses.dataclass(frozen=True)
class _Step:
    """One more replica: of which expert, where, instead of which other."""

    gain: float
    expert: int
    rank: int
    evicted: int | None


def plan(
    demand: model.Demand,
    used: model.ExpertMap,
    limits: model.Limits,
    *,
    most_copies: int,
) -> Plan:
    """Return the best map that costs each rank few copies.

    :param used: the map in use.
    :param most_copies: experts that one rank may copy, over all sets.
    """
    planning = steps(demand, used, limits, most_copies=most_copies)
    while True:
        try:
            next(planning)
        except StopIteration as exc:
            found: Plan = exc.value
            return found


def steps(
    demand: model.Demand,
    used: model.ExpertMap,
    limits: model.Limits,
    *,
    most_copies: int,
) -> Generator[None, None, Plan]:
    """Plan as :func:`plan` does, a fraction of a millisecond at a time.

    Whoever must not block its process for long does something else
    between two steps.
    """
    budget = [most_copies] * used.size
    sets = []
    best: list[_Step | None] = []
    for num, weights in enumerate(demand):
        ranks = [rank[num] for rank in used.ranks]
        sets.append(_Set(weights, ranks, limits, budget))
        yield
        best.append(sets[num].best())
        yield
    while any(best):
        num = max(range(len(best)), key=lambda n: _gain(best[n]))
        step = best[num]
        assert step is not None
        # Another set may have used the rank up since this was found.
        if budget[step.rank]:
            sets[num].apply(step)
            budget[step.rank] -= 1
        best[num] = sets[num].best()
        yield
    after = model.ExpertMap(
        tuple(
            tuple(tuple(sorted(one.ranks[rank])) for one in sets)
            for rank in range(used.size)
        )
    )
    return Plan(
        next=after,
        skew_before=model.skew(demand, used),
        skew_after=model.skew(demand, after),
        copies=after.copies(used),
    )


def _gain(step: _Step | None) -> float:
    return -1.0 if step is None else step.gain


@final
class _Set:
    """One set's placement while it is being improved.

    :param ranks: experts that each rank holds, by rank.
    :param budget: copies left to each rank; shared by all sets.
    """

    def __init__(
        self,
        weights: Sequence[float],
        ranks: Sequence[Sequence[int]],
        limits: model.Limits,
        budget: list[int],
    ) -> None:
        whole = sum(weights) or 1.0
        self._weights = [one * len(ranks) / whole for one in weights]
        self._limits = limits
        self._budget = budget
        self.ranks = [set(rank) for rank in ranks]
        self._new: list[set[int]] = [set() for _ in ranks]
        self._holders: list[set[int]] = [set() for _ in weights]
        for rank, held in enumerate(self.ranks):
            for expert in held:
                self._holders[expert].add(rank)
        self._loads = [0.0] * len(self.ranks)
        shares = [self._share(one) for one in range(len(weights))]
        for rank, held in enumerate(self.ranks):
            self._loads[rank] = sum(shares[one] for one in held)

    def best(self) -> _Step | None:
        """Return the replica that lowers the highest load most."""
        high = max(self._loads)
        hot = self._loads.index(high)
        heavy = sorted(self.ranks[hot], key=self._share, reverse=True)
        found: _Step | None = None
        for expert in heavy[:_TRIED]:
            step = self._best_for(expert, high)
            if step is not None and _gain(step) > _gain(found):
                found = step
        return found

    def apply(self, step: _Step) -> None:
        """Carry out a step."""
        if step.evicted is not None:
            self._drop(step.evicted, step.rank)
        share = self._share(step.expert)
        for rank in self._holders[step.expert]:
            self._loads[rank] -= share
        self.ranks[step.rank].add(step.expert)
        self._new[step.rank].add(step.expert)
        self._holders[step.expert].add(step.rank)
        for rank in self._holders[step.expert]:
            self._loads[rank] += self._share(step.expert)

    def _drop(self, expert: int, rank: int) -> None:
        """Take an expert from a rank; the other holders do its part."""
        self._loads[rank] -= self._share(expert)
        added = self._added_by_leaving(expert)
        self.ranks[rank].discard(expert)
        self._holders[expert].discard(rank)
        for other in self._holders[expert]:
            self._loads[other] += added

    def _share(self, expert: int) -> float:
        return self._weights[expert] / max(1, len(self._holders[expert]))

    def _best_for(self, expert: int, high: float) -> _Step | None:
        """Return where one more replica of ``expert`` does most."""
        holders = self._holders[expert]
        share = self._weights[expert] / (len(holders) + 1)
        less = self._share(expert) - share
        held = max(self._loads[rank] for rank in holders) - less
        others = sorted(
            (
                (load, rank)
                for rank, load in enumerate(self._loads)
                if rank not in holders
            ),
            reverse=True,
        )
        found: _Step | None = None
        free = [one for one in reversed(others) if self._may_copy(one[1])]
        for load, rank in free[:_RANKS_TRIED]:
            evicted, freed, peak = self._make_room(rank, expert)
            if evicted is None and self._is_full(rank):
                continue
            rest = next((one for one, other in others if other != rank), 0.0)
            after = max(held, rest, load + share - freed, peak)
            gain = high - after
            if gain >= _LEAST_GAIN and gain > _gain(found):
                found = _Step(gain, expert, rank, evicted)
        return found

    def _may_copy(self, rank: int) -> bool:
        spare = len(self._new[rank]) < self._limits.spare
        return spare and self._budget[rank] > 0

    def _is_full(self, rank: int) -> bool:
        return len(self.ranks[rank]) >= self._limits.places

    def _make_room(
        self, rank: int, expert: int
    ) -> tuple[int | None, float, float]:
        """Return what a full rank would give up for ``expert``.

        :returns: that expert, the load it frees, and the highest load of
            the ranks that take its part over; none while there is room.
        """
        if not self._is_full(rank):
            return None, 0.0, 0.0
        spares = [
            one
            for one in self.ranks[rank]
            if len(self._holders[one]) > 1
            and one != expert
            and one not in self._new[rank]
        ]
        if not spares:
            return None, 0.0, 0.0
        lightest = min(spares, key=self._added_by_leaving)
        added = self._added_by_leaving(lightest)
        peak = max(
            self._loads[other] + added
            for other in self._holders[lightest]
            if other != rank
        )
        return lightest, self._share(lightest), peak

    def _added_by_leaving(self, expert: int) -> float:
        """Return what each other holder gets more if one gives it up."""
        count = len(self._holders[expert])
        weight = self._weights[expert]
        return weight / (count - 1) - weight / count
