# SPDX-License-Identifier: Apache-2.0
"""When to move experts, and which: a pure function of what is known."""

from collections.abc import Iterator
import dataclasses
import enum
from typing import final

import numpy as np

from lugcross.placement import model
from lugcross.placement import search

#: Skew that is as good as none; nothing is moved below it.
GOOD_SKEW = 1.02
#: Part of the gain that must be left on the newest window as well: a
#: forecast alone may be chasing noise.
CONFIRMED_PART = 0.3

#: Gain that one load of an expert must bring at an even weight, where
#: its transfer costs nothing.
LOAD_COST = 0.01

_LEAST_GAIN = 0.0005


class Choice(enum.Enum):
    """What a plan decides."""

    STAY = "stay"
    MOVE = "move"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The next map, what must be loaded for it, and why.

    :param forecast_before: skew of the forecast on the current map.
    :param forecast_after: skew of the forecast on the next map.
    """

    choice: Choice
    reasons: tuple[str, ...]
    slots: model.Slots
    moves: tuple[model.Move, ...]
    forecast_before: float
    forecast_after: float


@final
@dataclasses.dataclass(frozen=True)
class _Step:
    """One change in one layer and what it brings for each transfer."""

    layer: int
    gain: float
    changes: list[tuple[int, int]]


def plan(
    forecast: model.Loads,
    newest: model.Loads,
    slots: model.Slots,
    cfg: model.PlannerCfg,
) -> Plan:
    """Return the next map for a model group, or the same with reasons.

    :param forecast: load expected in the next window; (layers, experts).
    :param newest: load of the newest window, to confirm the gain.
    """
    before = model.skew(forecast, slots, cfg)
    if cfg.surge:
        return _stay(slots, before, "a surge is declared; moves wait")
    if before <= GOOD_SKEW:
        return _stay(slots, before, f"skew {before:.3f} is good already")
    if not cfg.skew_weight:
        return _stay(slots, before, "the weight of skew is 0")
    after = _improve(forecast, slots, cfg)
    moves = moves_between(slots, after)
    if not moves:
        return _stay(slots, before, "no change is worth its transfer")
    expected = before - model.skew(forecast, after, cfg)
    seen = model.skew(newest, slots, cfg) - model.skew(newest, after, cfg)
    if seen < CONFIRMED_PART * expected:
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
        choice=Choice.MOVE,
        reasons=(reason,),
        slots=after,
        moves=moves,
        forecast_before=before,
        forecast_after=before - expected,
    )


def price(cfg: model.PlannerCfg) -> float:
    """Return the gain that one load of an expert must bring.

    The gain is in the layer's max over mean. A load costs its part of
    the window's transfers and, even where these are cheap, some
    disruption; the weight says what an operator gives for it.
    """
    part = cfg.expert_bytes / (cfg.transfer_bytes_s * cfg.window_s)
    return (1 - cfg.skew_weight) / cfg.skew_weight * (LOAD_COST + part)


def moves_between(
    before: model.Slots, after: model.Slots
) -> tuple[model.Move, ...]:
    """Return the replicas to load to get from one map to another."""
    layers, places = np.nonzero(before != after)
    return tuple(
        model.Move(int(layer), int(slot), int(after[layer, slot]))
        for layer, slot in zip(layers, places, strict=True)
    )


def _improve(
    forecast: model.Loads, slots: model.Slots, cfg: model.PlannerCfg
) -> model.Slots:
    """Return a map with the steps that are worth their transfers."""
    after = slots.copy()
    steps = [
        step
        for num in range(len(slots))
        for step in _steps_of(num, forecast[num], after[num].copy(), cfg)
    ]
    # The best first, until the transfers of one window are used up. A
    # layer's steps build on each other, so their order within it stays.
    worth = _layers_by_worth(steps, len(slots))
    left = cfg.moves_a_window
    for num in worth:
        for step in (one for one in steps if one.layer == num):
            if len(step.changes) > left:
                break
            left -= len(step.changes)
            for slot, expert in step.changes:
                after[num, slot] = expert
    return after


def _layers_by_worth(steps: list[_Step], layers: int) -> list[int]:
    worth = np.zeros(layers)
    for step in steps:
        worth[step.layer] = max(worth[step.layer], step.gain)
    order = np.argsort(-worth, kind="stable")
    return [int(num) for num in order if worth[num] > 0]


def _steps_of(
    num: int,
    loads: model.Loads,
    slots: model.Slots,
    cfg: model.PlannerCfg,
) -> Iterator[_Step]:
    """Yield steps of one layer while they are worth their transfers."""
    layer = search.Layer(loads, slots, cfg)
    if not layer.mean:
        return
    least = max(_LEAST_GAIN, price(cfg))
    # Each step lowers the slowest rank, but others may stand as high, so
    # the way down can be very long; a step a slot is plenty.
    for _ in range(len(slots)):
        if layer.highest <= GOOD_SKEW * layer.mean:
            return
        value, changes = layer.step()
        if not changes:
            return
        gain = (layer.highest - value) / layer.mean / len(changes)
        layer.apply(changes)
        if gain < least:
            return
        yield _Step(num, gain, changes)


def _stay(slots: model.Slots, skew: float, reason: str) -> Plan:
    return Plan(
        choice=Choice.STAY,
        reasons=(reason,),
        slots=slots,
        moves=(),
        forecast_before=skew,
        forecast_after=skew,
    )
