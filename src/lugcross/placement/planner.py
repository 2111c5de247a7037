# SPDX-License-Identifier: Apache-2.0
"""Decides from forecast and recent load which experts to move.

Planning has no side effects; the result depends on its arguments only.
"""

from collections.abc import Iterator
import dataclasses
import enum
from typing import final

import numpy as np

from lugcross.placement import expert_map
from lugcross.placement import layer_search

#: No experts are moved while the forecast skew is at or below this.
ACCEPTABLE_SKEW = 1.02
#: Fraction of the gain expected from the forecast that a plan must also
#: reach on the newest window, so that it does not follow noise.
MIN_CONFIRMED_GAIN_FRACTION = 0.3

#: Gain in skew required for each expert replica loaded at a skew_weight of
#: 0.5, apart from the share of the transfer limit that the load takes.
FIXED_LOAD_COST = 0.01

_MIN_GAIN_PER_LOAD = 0.0005


class Decision(enum.Enum):
    """Whether a plan keeps the current map or moves experts."""

    STAY = "stay"
    MOVE = "move"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The next expert map, with the moves that lead to it and reasons.

    :param slots: the next map.
    :param moves: replicas to load for the next map.
    :param forecast_skew_before: forecast skew with the current map.
    :param forecast_skew_after: forecast skew with the next map.
    """

    decision: Decision
    reasons: tuple[str, ...]
    slots: expert_map.Slots
    moves: tuple[expert_map.Move, ...]
    forecast_skew_before: float
    forecast_skew_after: float


@final
@dataclasses.dataclass(frozen=True)
class _Improvement:
    """A change to one layer that lowers its maximum rank load.

    :param gain_per_load: reduction of the layer's maximum over mean rank
        load, divided by the number of changes.
    :param changes: pairs of slot and expert to load into it.
    """

    layer: int
    gain_per_load: float
    changes: list[tuple[int, int]]


def plan(
    forecast: expert_map.ExpertLoads,
    newest: expert_map.ExpertLoads,
    slots: expert_map.Slots,
    cfg: expert_map.PlannerCfg,
) -> Plan:
    """Plan the next expert map of a model group.

    :param forecast: load expected in the next window.
    :param newest: load of the newest window, to confirm the gain.
    :param slots: the current map; not changed.
    """
    before = expert_map.skew(forecast, slots, cfg)
    if cfg.surge:
        return _stay(slots, before, "surge is set; moves are held back")
    if before <= ACCEPTABLE_SKEW:
        return _stay(slots, before, f"skew {before:.3f} is acceptable")
    if not cfg.skew_weight:
        return _stay(slots, before, "skew_weight is 0")
    after = _improved_map(forecast, slots, cfg)
    moves = moves_between(slots, after)
    if not moves:
        return _stay(slots, before, "no change is worth its transfers")
    expected = before - expert_map.skew(forecast, after, cfg)
    confirmed = expert_map.skew(newest, slots, cfg) - expert_map.skew(
        newest, after, cfg
    )
    if confirmed < MIN_CONFIRMED_GAIN_FRACTION * expected:
        return _stay(
            slots,
            before,
            f"gain in skew is {expected:.3f} on the forecast but "
            f"{confirmed:.3f} on the newest window: probably noise",
        )
    reason = (
        f"skew {before:.3f} -> {before - expected:.3f} with "
        f"{len(moves)} expert replicas loaded"
    )
    return Plan(
        decision=Decision.MOVE,
        reasons=(reason,),
        slots=after,
        moves=moves,
        forecast_skew_before=before,
        forecast_skew_after=before - expected,
    )


def min_gain_per_load(cfg: expert_map.PlannerCfg) -> float:
    """Return the gain that each load of an expert replica must bring.

    The gain is the reduction of the layer's maximum over mean rank load.
    A load is charged its share of the transfer limit in one window plus
    a fixed cost, as even a fast transfer disturbs the ranks. A higher
    ``skew_weight`` lowers the result; it must not be 0.
    """
    transfer_cost = cfg.expert_bytes / (cfg.transfer_bytes_s * cfg.window_s)
    cost = FIXED_LOAD_COST + transfer_cost
    return (1 - cfg.skew_weight) / cfg.skew_weight * cost


def moves_between(
    before: expert_map.Slots, after: expert_map.Slots
) -> tuple[expert_map.Move, ...]:
    """Return the replicas to load to change ``before`` into ``after``."""
    layers, changed_slots = np.nonzero(before != after)
    return tuple(
        expert_map.Move(int(layer), int(slot), int(after[layer, slot]))
        for layer, slot in zip(layers, changed_slots, strict=True)
    )


def _improved_map(
    forecast: expert_map.ExpertLoads,
    slots: expert_map.Slots,
    cfg: expert_map.PlannerCfg,
) -> expert_map.Slots:
    """Return a copy of the map with all improvements worth their loads."""
    after = slots.copy()
    improvements = [
        improvement
        for layer_num in range(len(slots))
        for improvement in _layer_improvements(
            layer_num, forecast[layer_num], after[layer_num].copy(), cfg
        )
    ]
    # Layers with the largest gain come first, until the moves of one window
    # are used up. Improvements within a layer build on each other and keep
    # their order.
    layer_order = _layers_by_gain(improvements, len(slots))
    moves_left = cfg.max_moves_per_window
    for layer_num in layer_order:
        for improvement in (
            found for found in improvements if found.layer == layer_num
        ):
            if len(improvement.changes) > moves_left:
                break
            moves_left -= len(improvement.changes)
            for slot, expert in improvement.changes:
                after[layer_num, slot] = expert
    return after


def _layers_by_gain(
    improvements: list[_Improvement], layers: int
) -> list[int]:
    gains = np.zeros(layers)
    for improvement in improvements:
        gains[improvement.layer] = max(
            gains[improvement.layer], improvement.gain_per_load
        )
    order = np.argsort(-gains, kind="stable")
    return [int(layer_num) for layer_num in order if gains[layer_num] > 0]


def _layer_improvements(
    layer_num: int,
    loads: expert_map.ExpertLoads,
    slots: expert_map.Slots,
    cfg: expert_map.PlannerCfg,
) -> Iterator[_Improvement]:
    """Yield improvements of one layer while they are worth their loads."""
    layer = layer_search.LayerSearch(loads, slots, cfg)
    if not layer.mean_rank_load:
        return
    min_gain = max(_MIN_GAIN_PER_LOAD, min_gain_per_load(cfg))
    # Several ranks may share the highest load, so a layer could need very
    # many improvements; one for each slot is the limit.
    for _ in range(len(slots)):
        if layer.max_rank_load <= ACCEPTABLE_SKEW * layer.mean_rank_load:
            return
        max_load, changes = layer.best_change()
        if not changes:
            return
        gain = (
            (layer.max_rank_load - max_load)
            / layer.mean_rank_load
            / len(changes)
        )
        layer.apply(changes)
        if gain < min_gain:
            return
        yield _Improvement(layer_num, gain, changes)


def _stay(slots: expert_map.Slots, skew: float, reason: str) -> Plan:
    return Plan(
        decision=Decision.STAY,
        reasons=(reason,),
        slots=slots,
        moves=(),
        forecast_skew_before=skew,
        forecast_skew_after=skew,
    )
