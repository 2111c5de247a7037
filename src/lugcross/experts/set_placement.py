# SPDX-License-Identifier: Apache-2.0
"""Placement of one set's experts while it is being improved."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import heapq
from typing import final

from lugcross.experts import expert_map

#: Least by which a step must lighten the most loaded rank for each copy, in
#: mean rank loads: below it lies the noise of one reading.
_MIN_GAIN_PER_COPY = 0.04
#: Experts of the most loaded rank that are tried, heaviest first: what is
#: lighter than these cannot be why it is the slowest.
_CANDIDATE_EXPERT_COUNT = 2
#: Ranks that are tried to take something over, least loaded first: what is
#: more loaded than these is no better place, and 256 ranks take too long.
_CANDIDATE_TARGET_COUNT = 5
#: Steps of one set, at most, for each of its ranks: a set that takes more
#: changes the same ranks in circles.
_MAX_RELOCATIONS_PER_RANK = 3


@final
@dataclasses.dataclass(frozen=True)
class Relocation:
    """One expert of the most loaded rank gets another place.

    :param gain: by how much less the ranks that it touches are loaded at
        most, in mean rank loads, for each copy.
    :param keeps_source: whether ``source`` keeps the expert as well.
    :param swapped_expert: expert that ``source`` takes over from ``target``
        for it.
    :param evicted_expert: replica that ``target`` gives up to make room.
    """

    gain: float
    expert: int
    source: int
    target: int
    keeps_source: bool
    swapped_expert: int | None = None
    evicted_expert: int | None = None


@final
class SetPlacement:
    """Which ranks hold which experts of a set, and how loaded they are.

    :param ranks: experts that each rank holds, by rank.
    :param copies_left: copies left to each rank; shared by all sets.
    :param slowness: how many times longer than usual each rank takes.
    """

    def __init__(
        self,
        weights: Sequence[float],
        ranks: Sequence[Sequence[int]],
        limits: expert_map.ExpertLimits,
        copies_left: list[int],
        slowness: Sequence[float],
    ) -> None:
        whole = sum(weights) or 1.0
        self._weights = [one * len(ranks) / whole for one in weights]
        self._limits = limits
        self._copies_left = copies_left
        self._slowness = slowness
        self.ranks = [set(rank) for rank in ranks]
        self._initial_ranks = [frozenset(rank) for rank in ranks]
        self._holders: list[set[int]] = [set() for _ in weights]
        for rank, held in enumerate(self.ranks):
            for expert in held:
                self._holders[expert].add(rank)
        #: Part of each expert that one of its holders does.
        self._replica_loads = [
            weight / max(1, len(held))
            for weight, held in zip(self._weights, self._holders, strict=True)
        ]
        self._new_expert_counts = [0] * len(ranks)
        self._loads = [
            sum(self._replica_loads[one] for one in held) * slowness[rank]
            for rank, held in enumerate(self.ranks)
        ]
        self._relocations_left_count = _MAX_RELOCATIONS_PER_RANK * len(ranks)

    @property
    def max_load(self) -> float:
        """Load of the most loaded rank, in mean rank loads."""
        return max(self._loads)

    def best_relocation(self) -> Relocation | None:
        """Return the step that lightens the most loaded rank most."""
        if self._relocations_left_count <= 0:
            return None
        source = self._loads.index(max(self._loads))
        heavy = heapq.nlargest(
            _CANDIDATE_EXPERT_COUNT,
            self.ranks[source],
            key=self._replica_loads.__getitem__,
        )
        targets = self._candidate_targets(source)
        found: Relocation | None = None
        for expert in heavy:
            holders = self._holders[expert]
            for rank in targets:
                if rank in holders:
                    continue
                for candidate in self._relocations_to(expert, source, rank):
                    if found is None or candidate.gain > found.gain:
                        found = candidate
        if found is None or found.gain < _MIN_GAIN_PER_COPY:
            return None
        return found

    def _candidate_targets(self, source: int) -> list[int]:
        """Return the least loaded ranks that may copy."""
        free = [
            (load, rank)
            for rank, load in enumerate(self._loads)
            if rank != source and self._may_copy(rank)
        ]
        return [
            rank for _, rank in heapq.nsmallest(_CANDIDATE_TARGET_COUNT, free)
        ]

    def apply(self, relocation: Relocation) -> None:
        """Carry out a step."""
        self._relocations_left_count -= 1
        if relocation.evicted_expert is not None:
            self._remove_replica(relocation.evicted_expert, relocation.target)
        if relocation.swapped_expert is not None:
            self._remove_replica(relocation.swapped_expert, relocation.target)
            self._add_replica(relocation.swapped_expert, relocation.source)
        self._add_replica(relocation.expert, relocation.target)
        if not relocation.keeps_source:
            self._remove_replica(relocation.expert, relocation.source)

    def _relocations_to(
        self, expert: int, source: int, target: int
    ) -> Iterator[Relocation]:
        """Yield what ``target`` could do for ``source``."""
        source_load = self._loads[source]
        load_before = self._replica_loads[expert]
        source_slowness, target_slowness = (
            self._slowness[source],
            self._slowness[target],
        )
        evicted, freed, peak = self._choose_eviction(target, expert)
        if evicted is None and self._is_full(target):
            yield from self._swaps(expert, source, target)
            return
        target_load = self._loads[target] - freed * target_slowness
        count = len(self._holders[expert])
        decrease = load_before - load_before * count / (count + 1)
        max_load_if_replicated = max(
            source_load - decrease * source_slowness,
            target_load + (load_before - decrease) * target_slowness,
            peak,
        )
        yield Relocation(
            source_load - max_load_if_replicated,
            expert,
            source,
            target,
            True,
            None,
            evicted,
        )
        max_load_if_moved = max(
            source_load - load_before * source_slowness,
            target_load + load_before * target_slowness,
            peak,
        )
        yield Relocation(
            source_load - max_load_if_moved,
            expert,
            source,
            target,
            False,
            None,
            evicted,
        )

    def _swaps(
        self, expert: int, source: int, target: int
    ) -> Iterator[Relocation]:
        """Yield changes of places with an expert of a full rank."""
        if not self._may_copy(source):
            return
        source_load, target_load = self._loads[source], self._loads[target]
        share = self._replica_loads[expert]
        for other in self.ranks[target]:
            decrease = share - self._replica_loads[other]
            if decrease <= 0 or source in self._holders[other]:
                continue
            max_load_after = max(
                source_load - decrease * self._slowness[source],
                target_load + decrease * self._slowness[target],
            )
            yield Relocation(
                (source_load - max_load_after) / 2,
                expert,
                source,
                target,
                False,
                other,
            )

    def _add_replica(self, expert: int, rank: int) -> None:
        """Give an expert to a rank; the other holders do less of it."""
        self._adjust_loads(expert, -1.0)
        self._holders[expert].add(rank)
        self.ranks[rank].add(expert)
        self._adjust_copy_count(expert, rank, 1)
        self._adjust_loads(expert, 1.0)

    def _remove_replica(self, expert: int, rank: int) -> None:
        """Take an expert from a rank; the other holders do its part."""
        self._adjust_loads(expert, -1.0)
        self._holders[expert].discard(rank)
        self.ranks[rank].discard(expert)
        self._adjust_copy_count(expert, rank, -1)
        self._adjust_loads(expert, 1.0)

    def _adjust_copy_count(self, expert: int, rank: int, change: int) -> None:
        """Count an expert that is new to a rank, or is so no more."""
        if expert not in self._initial_ranks[rank]:
            self._new_expert_counts[rank] += change
            self._copies_left[rank] -= change

    def _adjust_loads(self, expert: int, sign: float) -> None:
        """Add the parts of an expert to its holders, or take them away."""
        count = max(1, len(self._holders[expert]))
        self._replica_loads[expert] = self._weights[expert] / count
        share = self._replica_loads[expert] * sign
        for rank in self._holders[expert]:
            self._loads[rank] += share * self._slowness[rank]

    def _may_copy(self, rank: int) -> bool:
        return (
            self._copies_left[rank] > 0
            and self._new_expert_counts[rank]
            < self._limits.max_new_experts_per_map
        )

    def _is_full(self, rank: int) -> bool:
        return len(self.ranks[rank]) >= self._limits.max_experts_per_rank

    def _choose_eviction(
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
            and one in self._initial_ranks[rank]
        ]
        if not spares:
            return None, 0.0, 0.0
        lightest = min(spares, key=self._load_added_by_removal)
        added = self._load_added_by_removal(lightest)
        peak = max(
            self._loads[other] + added * self._slowness[other]
            for other in self._holders[lightest]
            if other != rank
        )
        return lightest, self._replica_loads[lightest], peak

    def _load_added_by_removal(self, expert: int) -> float:
        """Return what each other holder gets more if one gives it up."""
        count = len(self._holders[expert])
        weight = self._weights[expert]
        return weight / (count - 1) - weight / count
