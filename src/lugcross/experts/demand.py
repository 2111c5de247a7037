# SPDX-License-Identifier: Apache-2.0
"""Demand for experts, computed from the cumulative use counts of one rank."""

from collections.abc import Sequence
import dataclasses
from typing import final

from lugcross.experts import expert_map
from lugcross.experts import orders

#: Fewer expert uses than this between two readings, summed over all experts
#: and sets, are too small a sample to plan a map from.
_MIN_USE_COUNT = 2_000


@final
@dataclasses.dataclass(frozen=True)
class ExpertCounts:
    """Cumulative use counts of the experts, as read from one rank.

    :param epoch: the epoch of the group in which the counts were read.
    :param last_pass: the pass that had begun last at the time of the reading.
    :param uses_by_set: uses since the rank's start, indexed by layer set,
        then by expert.
    """

    epoch: orders.Epoch
    last_pass: orders.PassNumber
    uses_by_set: tuple[tuple[int, ...], ...]


def uses_between(
    earlier: ExpertCounts | None, later: ExpertCounts
) -> tuple[tuple[int, ...], ...] | None:
    """Return the uses between two readings of one rank, by set and expert.

    Older readings are not averaged in, since demand changes abruptly rather
    than gradually.

    :returns: None if there is no earlier reading, if the epochs differ, if a
        count has decreased, or if there are too few uses to plan from.
    """
    if earlier is None or earlier.epoch != later.epoch:
        return None
    pairs = zip(later.uses_by_set, earlier.uses_by_set, strict=True)
    uses = tuple(
        tuple(new - old for new, old in zip(*pair, strict=True))
        for pair in pairs
    )
    if any(count < 0 for row in uses for count in row):
        return None
    if sum(map(sum, uses)) < _MIN_USE_COUNT:
        return None
    return uses


def counts_by_set(
    counts: Sequence[int], limits: expert_map.ExpertLimits
) -> list[list[int]]:
    """Split a flat list of counts into one list for each layer set.

    :param counts: the counts of all experts of the first set, then those of
        the second, and so on.
    :raises ValueError: if there are not ``layer_set_count`` times
        ``expert_count`` counts.
    """
    if len(counts) != limits.layer_set_count * limits.expert_count:
        raise ValueError(
            f"expected {limits.layer_set_count} x {limits.expert_count} "
            f"expert counts, got {len(counts)}"
        )
    size = limits.expert_count
    return [list(counts[at : at + size]) for at in range(0, len(counts), size)]
