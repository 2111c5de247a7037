# SPDX-License-Identifier: Apache-2.0
"""What experts are in demand, from the running counts of single ranks."""

from collections.abc import Sequence
import dataclasses
from typing import final

from lugcross.experts import expert_map
from lugcross.experts import orders

#: Uses of an expert between two readings, over all sets, below which they
#: tell of too few requests to plan by.
_MIN_USE_COUNT = 2_000


@final
@dataclasses.dataclass(frozen=True)
class ExpertCounts:
    """How often each expert was used at one rank since its start.

    :param uses_by_set: by set, then by expert.
    """

    epoch: orders.Epoch
    last_pass: orders.PassNumber
    uses_by_set: tuple[tuple[int, ...], ...]


def uses_between(
    earlier: ExpertCounts | None, later: ExpertCounts
) -> tuple[tuple[int, ...], ...] | None:
    """Return the uses between two readings of one rank.

    None if they do not follow each other or tell too little. What lies
    further back is of no use: demand jumps, it does not drift.
    """
    if earlier is None or earlier.epoch != later.epoch:
        return None
    pairs = zip(later.uses_by_set, earlier.uses_by_set, strict=True)
    uses = tuple(
        tuple(new - old for new, old in zip(*pair, strict=True))
        for pair in pairs
    )
    if any(one < 0 for row in uses for one in row):
        return None
    if sum(map(sum, uses)) < _MIN_USE_COUNT:
        return None
    return uses


def counts_by_set(
    counts: Sequence[int], limits: expert_map.ExpertLimits
) -> list[list[int]]:
    """Return counts set by set.

    :raises ValueError: when they are not ``layer_set_count`` times
        ``expert_count``.
    """
    if len(counts) != limits.layer_set_count * limits.expert_count:
        raise ValueError(
            f"{len(counts)} counts, not "
            f"{limits.layer_set_count} x {limits.expert_count}"
        )
    size = limits.expert_count
    return [list(counts[at : at + size]) for at in range(0, len(counts), size)]
