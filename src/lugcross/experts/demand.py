# SPDX-License-Identifier: Apache-2.0
"""What experts are in demand, from the running counts of single ranks."""

from collections.abc import Sequence
import dataclasses
from typing import final

from lugcross.experts import model
from lugcross.experts import orders

#: Uses of an expert between two readings, over all sets, below which they
#: tell of too few requests to plan by.
_MIN_USE_COUNT = 2_000


@final
@dataclasses.dataclass(frozen=True)
class ExpertCounts:
    """How often each expert was used at one rank since its start.

    :param sets: by set, then by expert.
    """

    epoch: orders.Epoch
    step: orders.PassNumber
    sets: tuple[tuple[int, ...], ...]


def uses_between(
    before: ExpertCounts | None, now: ExpertCounts
) -> tuple[tuple[int, ...], ...] | None:
    """Return the uses between two readings of one rank.

    None if they do not follow each other or tell too little. What lies
    further back is of no use: demand jumps, it does not drift.
    """
    if before is None or before.epoch != now.epoch:
        return None
    pairs = zip(now.sets, before.sets, strict=True)
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
    flat: Sequence[int], limits: model.ExpertLimits
) -> list[list[int]]:
    """Return counts set by set.

    :raises ValueError: when they are not ``sets`` times ``experts``.
    """
    if len(flat) != limits.sets * limits.experts:
        raise ValueError(
            f"{len(flat)} counts, not {limits.sets} x {limits.experts}"
        )
    size = limits.experts
    return [list(flat[at : at + size]) for at in range(0, len(flat), size)]
