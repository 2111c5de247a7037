# SPDX-License-Identifier: Apache-2.0
"""Placement of one layer set's experts, which the planner improves stepwise.

Loads are in units of the mean rank load: 1.0 is the load of every rank if
the demand is spread evenly and no rank is slow.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import heapq
from typing import final

from lugcross.experts import expert_map

#: A relocation must lower the load by at least this much for each copy; a
#: smaller gain is within the noise of one reading of demand.
_MIN_GAIN_PER_COPY = 0.04
#: How many experts of the most loaded rank are considered, heaviest first.
#: Lighter ones cannot be the reason why it is the slowest rank.
_CANDIDATE_EXPERT_COUNT = 2
#: How many ranks are considered as targets, least loaded first. More loaded
#: ones are no better targets, and trying all takes too long for groups of 256
#: ranks.
_CANDIDATE_TARGET_COUNT = 5
#: Limit on the relocations in a set, as a multiple of the rank count; it ends
#: cycles of relocations among the same ranks.
_MAX_RELOCATIONS_PER_RANK = 3


@final
@dataclasses.dataclass(frozen=True)
class Relocation:
    """A change that gives one expert of the most loaded rank to another rank.

    The expert is replicated, moved or swapped for another.

    :param gain: by how much the highest load among the affected ranks falls,
        divided by the number of copies needed.
    :param expert: the expert that ``target`` gets.
    :param source: the most loaded rank.
    :param keeps_source: whether ``source`` keeps the expert (a replication).
    :param swapped_expert: the expert that moves from ``target`` to ``source``
        in exchange, if it is a swap.
    :param evicted_expert: the expert whose replica ``target`` drops to make
        room, if it is full.
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
    """A mutable placement of one layer set's experts, with rank loads.

    :param weights: demand for each expert, in any unit.
    :param ranks: the experts that each rank holds, by rank.
    :param copies_left: how many more experts each rank may copy; one list is
        shared by the placements of all sets, and updated by each.
    :param slowness: factor by which each rank takes longer than usual.
    """

    def __init__(
        self,
        weights: Sequence[float],
        ranks: Sequence[Sequence[int]],
        limits: expert_map.ExpertLimits,
        copies_left: list[int],
        slowness: Sequence[float],
    ) -> None:
        total = sum(weights) or 1.0
        self._weights = [weight * len(ranks) / total for weight in weights]
        self._limits = limits
        self._copies_left = copies_left
        self._slowness = slowness
        self.ranks = [set(rank) for rank in ranks]
        self._initial_ranks = [frozenset(rank) for rank in ranks]
        self._holders: list[set[int]] = [set() for _ in weights]
        for rank, held in enumerate(self.ranks):
            for expert in held:
                self._holders[expert].add(rank)
        #: Load that each expert puts on each of its holders.
        self._replica_loads = [
            weight / max(1, len(held))
            for weight, held in zip(self._weights, self._holders, strict=True)
        ]
        self._new_expert_counts = [0] * len(ranks)
        self._loads = [
            sum(self._replica_loads[expert] for expert in held)
            * slowness[rank]
            for rank, held in enumerate(self.ranks)
        ]
        self._relocations_left_count = _MAX_RELOCATIONS_PER_RANK * len(ranks)

    @property
    def max_load(self) -> float:
        """Load of the most loaded rank."""
        return max(self._loads)

    def best_relocation(self) -> Relocation | None:
        """Return the relocation with the highest gain.

        :returns: None if no relocation gains enough, or if the limit on
            relocations is reached.
        """
        if self._relocations_left_count <= 0:
            return None
        source = self._loads.index(max(self._loads))
        heaviest_experts = heapq.nlargest(
            _CANDIDATE_EXPERT_COUNT,
            self.ranks[source],
            key=self._replica_loads.__getitem__,
        )
        targets = self._candidate_targets(source)
        best: Relocation | None = None
        for expert in heaviest_experts:
            holders = self._holders[expert]
            for rank in targets:
                if rank in holders:
                    continue
                for candidate in self._relocations_to(expert, source, rank):
                    if best is None or candidate.gain > best.gain:
                        best = candidate
        if best is None or best.gain < _MIN_GAIN_PER_COPY:
            return None
        return best

    def _candidate_targets(self, source: int) -> list[int]:
        """Return the least loaded ranks that may copy another expert."""
        candidates = [
            (load, rank)
            for rank, load in enumerate(self._loads)
            if rank != source and self._may_copy(rank)
        ]
        return [
            rank
            for _, rank in heapq.nsmallest(_CANDIDATE_TARGET_COUNT, candidates)
        ]

    def apply(self, relocation: Relocation) -> None:
        """Apply a relocation that :meth:`best_relocation` returned."""
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
        """Yield the relocations of ``expert`` from ``source`` to ``target``.

        A replication and a move if ``target`` has or can make room for the
        expert, otherwise swaps.
        """
        source_load = self._loads[source]
        load_before = self._replica_loads[expert]
        source_slowness, target_slowness = (
            self._slowness[source],
            self._slowness[target],
        )
        evicted, freed, max_load_elsewhere = self._replica_to_evict(
            target, expert
        )
        if evicted is None and self._is_full(target):
            yield from self._swaps(expert, source, target)
            return
        target_load = self._loads[target] - freed * target_slowness
        count = len(self._holders[expert])
        decrease = load_before - load_before * count / (count + 1)
        max_load_if_replicated = max(
            source_load - decrease * source_slowness,
            target_load + (load_before - decrease) * target_slowness,
            max_load_elsewhere,
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
            max_load_elsewhere,
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
        """Yield the swaps of ``expert`` for an expert of a full ``target``."""
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
            # A swap needs two copies.
            yield Relocation(
                (source_load - max_load_after) / 2,
                expert,
                source,
                target,
                False,
                other,
            )

    def _add_replica(self, expert: int, rank: int) -> None:
        """Add a replica and spread the expert's load over all its holders."""
        self._adjust_loads(expert, -1.0)
        self._holders[expert].add(rank)
        self.ranks[rank].add(expert)
        self._adjust_copy_count(expert, rank, 1)
        self._adjust_loads(expert, 1.0)

    def _remove_replica(self, expert: int, rank: int) -> None:
        """Remove a replica and spread its load over the other holders."""
        self._adjust_loads(expert, -1.0)
        self._holders[expert].discard(rank)
        self.ranks[rank].discard(expert)
        self._adjust_copy_count(expert, rank, -1)
        self._adjust_loads(expert, 1.0)

    def _adjust_copy_count(self, expert: int, rank: int, change: int) -> None:
        """Update the copy counts of a rank that gains or loses an expert.

        An expert that the rank held initially needs no copy.

        :param change: 1 if the rank gains the expert, -1 if it loses it.
        """
        if expert not in self._initial_ranks[rank]:
            self._new_expert_counts[rank] += change
            self._copies_left[rank] -= change

    def _adjust_loads(self, expert: int, sign: float) -> None:
        """Add an expert's load to that of each holder, or subtract it.

        :param sign: 1 to add, -1 to subtract.
        """
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

    def _replica_to_evict(
        self, rank: int, expert: int
    ) -> tuple[int | None, float, float]:
        """Return the replica that a full rank would drop to get ``expert``.

        :returns: the expert whose replica is dropped, the load that ``rank``
            loses by it, and the highest load that results among its other
            holders; ``(None, 0.0, 0.0)`` if the rank has room, or holds no
            replica that it may drop.
        """
        if not self._is_full(rank):
            return None, 0.0, 0.0
        droppable = [
            other
            for other in self.ranks[rank]
            if len(self._holders[other]) > 1
            and other != expert
            and other in self._initial_ranks[rank]
        ]
        if not droppable:
            return None, 0.0, 0.0
        lightest = min(droppable, key=self._load_added_by_removal)
        added = self._load_added_by_removal(lightest)
        max_load_elsewhere = max(
            self._loads[holder] + added * self._slowness[holder]
            for holder in self._holders[lightest]
            if holder != rank
        )
        return lightest, self._replica_loads[lightest], max_load_elsewhere

    def _load_added_by_removal(self, expert: int) -> float:
        """Return the load added to each other holder if one drops it."""
        count = len(self._holders[expert])
        weight = self._weights[expert]
        return weight / (count - 1) - weight / count
