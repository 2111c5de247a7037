# SPDX-License-Identifier: Apache-2.0
"""When to move experts, and which: a pure function of what is known."""

from collections.abc import Iterator
import dataclasses
import enum
from typing import final

import numpy as np

from lugcross.placement import expert_map
from lugcross.placement import layer_search

#: Skew that is as good as none; nothing is moved below it.
ACCEPTABLE_SKEW = 1.02
#: Part of the gain that must be moves_left on the newest window as well: a
#: forecast alone may be chasing noise.
MIN_CONFIRMED_GAIN_FRACTION = 0.3

#: Gain that one load of an expert must bring at an even weight, where
#: its transfer costs nothing.
FIXED_LOAD_COST = 0.01

_MIN_GAIN_PER_LOAD = 0.0005


class Decision(enum.Enum):
    """What a plan decides."""

    STAY = "stay"
    MOVE = "move"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The next map, what must be loaded for it, and why.

    :param forecast_skew_before: skew of the forecast on the current map.
    :param forecast_skew_after: skew of the forecast on the next map.
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
    """One change in one layer and what it brings for each transfer."""

    layer: int
    gain_per_load: float
    changes: list[tuple[int, int]]


def plan(
    forecast: expert_map.ExpertLoads,
    newest: expert_map.ExpertLoads,
    slots: expert_map.Slots,
    cfg: expert_map.PlannerCfg,
) -> Plan:
    """Return the next map for a model group, or the same with reasons.

    :param forecast: load expected in the next window; (layers, experts).
    :param newest: load of the newest window, to confirm the gain.
    """
    before = expert_map.skew(forecast, slots, cfg)
    if cfg.surge:
        return _stay(slots, before, "a surge is declared; moves wait")
    if before <= ACCEPTABLE_SKEW:
        return _stay(slots, before, f"skew {before:.3f} is good already")
    if not cfg.skew_weight:
        return _stay(slots, before, "the weight of skew is 0")
    after = _improved_map(forecast, slots, cfg)
    moves = moves_between(slots, after)
    if not moves:
        return _stay(slots, before, "no change is worth its transfer")
    expected = before - expert_map.skew(forecast, after, cfg)
    seen = expert_map.skew(newest, slots, cfg) - expert_map.skew(
        newest, after, cfg
    )
    if seen < MIN_CONFIRMED_GAIN_FRACTION * expected:
        return _stay(
            slots,
            before,
            f"the forecast gains {expected:.3f}, the newest window only "
            f"{seen:.3f}: this may be noise",
        )
    reason = (
        f"skew {before:.3f} -> {before - expected:.3f} for "
        f"{len(moves)} loads of an expert"
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
    """Return the gain that one load of an expert must bring.

    The gain is in the layer's max over mean. A load costs its part of
    the window's transfers and, even where these are cheap, some
    disruption; the weight says what an operator gives for it.
    """
    part = cfg.expert_bytes / (cfg.transfer_bytes_s * cfg.window_s)
    return (1 - cfg.skew_weight) / cfg.skew_weight * (FIXED_LOAD_COST + part)


def moves_between(
    before: expert_map.Slots, after: expert_map.Slots
) -> tuple[expert_map.Move, ...]:
    """Return the replicas to load to get from one map to another."""
    layers, places = np.nonzero(before != after)
    return tuple(
        expert_map.Move(int(layer), int(slot), int(after[layer, slot]))
        for layer, slot in zip(layers, places, strict=True)
    )


def _improved_map(
    forecast: expert_map.ExpertLoads,
    slots: expert_map.Slots,
    cfg: expert_map.PlannerCfg,
) -> expert_map.Slots:
    """Return a map with the improvements that are worth their transfers."""
    after = slots.copy()
    improvements = [
        improvement
        for layer_num in range(len(slots))
        for improvement in _layer_improvements(
            layer_num, forecast[layer_num], after[layer_num].copy(), cfg
        )
    ]
    # The best first, until the transfers of one window are used up. A
    # layer's improvements build on each other, so their order within it stays.
    gains = _layers_by_gain(improvements, len(slots))
    moves_left = cfg.max_moves_per_window
    for layer_num in gains:
        for improvement in (
            one for one in improvements if one.layer == layer_num
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
    """Yield improvements of one layer while they are worth their transfers."""
    layer = layer_search.LayerSearch(loads, slots, cfg)
    if not layer.mean_rank_load:
        return
    min_gain = max(_MIN_GAIN_PER_LOAD, min_gain_per_load(cfg))
    # Several ranks may share the highest load, so a layer could need very
    # many improvements; one for each slot is the limit.
    for _ in range(len(slots)):
        if layer.max_rank_load <= ACCEPTABLE_SKEW * layer.mean_rank_load:
            return
        value, changes = layer.best_change()
        if not changes:
            return
        gain = (
            (layer.max_rank_load - value) / layer.mean_rank_load / len(changes)
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
