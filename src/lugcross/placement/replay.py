# SPDX-License-Identifier: Apache-2.0
"""Tries the planner on recorded load, window by window."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import final

import msgspec
import numpy as np

from lugcross import errors
from lugcross.placement import expert_map
from lugcross.placement import forecast as forecast_lib
from lugcross.placement import planner


@final
class RecordedWindow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of recorded load.

    :param loads: tokens of each expert, for each layer.
    """

    window: int
    loads: list[list[float]]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class WindowResult:
    """What the planner decided at one window, and what came of it.

    :param skew_before: of this window's load on the map before.
    :param skew_next: of the next window's load on the map after; none
        for the last window.
    """

    window: int
    decision: planner.Decision
    reasons: tuple[str, ...]
    moves: tuple[expert_map.Move, ...]
    bytes_moved: int
    skew_before: float
    skew_next: float | None


def parse_planner_cfg(text: str, *, source: str) -> expert_map.PlannerCfg:
    """Return the planner's limits from YAML.

    :raises errors.SettingsError: naming file, field and remedy.
    """
    try:
        return msgspec.yaml.decode(text, type=expert_map.PlannerCfg)
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise errors.SettingsError(
            f"{source}: {exc}",
            remedy="examples/planner.yaml shows all fields",
        ) from exc


def read_windows(
    lines: Iterable[str], *, source: str
) -> Iterator[tuple[int, expert_map.ExpertLoads]]:
    """Yield number and loads of each window of a JSON-lines file.

    :raises errors.SettingsError: naming file, line and fault.
    """
    shape: tuple[int, ...] = ()
    for num, line in enumerate(lines, start=1):
        try:
            window = msgspec.json.decode(line, type=RecordedWindow)
            loads = np.array(window.loads, dtype=np.float64)
        except (msgspec.DecodeError, ValueError) as exc:
            raise _invalid_line(source, num, str(exc)) from exc
        shape = shape or loads.shape
        if loads.ndim != 2 or loads.shape != shape:
            raise _invalid_line(source, num, "its shape differs from line 1")
        if not np.isfinite(loads).all() or (loads < 0).any():
            raise _invalid_line(source, num, "a load is negative or no number")
        yield window.window, loads


def run(
    windows: Iterable[tuple[int, expert_map.ExpertLoads]],
    cfg: expert_map.PlannerCfg,
) -> Iterator[WindowResult]:
    """Yield what the planner decides, from the windows up to each.

    :raises errors.SettingsError: when the experts find no room.
    """
    forecaster = forecast_lib.Forecaster()
    slots: expert_map.Slots | None = None
    pending: WindowResult | None = None
    for num, loads in windows:
        if slots is None:
            slots = _initial_map(loads, cfg)
        if pending is not None:
            # Judged only now, by load that the decision had not seen.
            skew_next = expert_map.skew(loads, slots, cfg)
            yield dataclasses.replace(pending, skew_next=skew_next)
        plan = planner.plan(forecaster.update(loads), loads, slots, cfg)
        pending = WindowResult(
            window=num,
            decision=plan.decision,
            reasons=plan.reasons,
            moves=plan.moves,
            bytes_moved=len(plan.moves) * cfg.expert_bytes,
            skew_before=expert_map.skew(loads, slots, cfg),
            skew_next=None,
        )
        slots = plan.slots
    if pending is not None:
        yield pending


def _initial_map(
    loads: expert_map.ExpertLoads, cfg: expert_map.PlannerCfg
) -> expert_map.Slots:
    layers, experts = loads.shape
    try:
        return expert_map.initial_map(layers, experts, cfg)
    except ValueError as exc:
        raise errors.SettingsError(
            f"the map cannot be made ({exc})",
            remedy="raise ranks or slots in the cfg",
        ) from exc


def _invalid_line(source: str, num: int, why: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"{source}: line {num}: {why}",
        remedy='a line is {"window": 0, "loads": [[tokens of each expert] '
        "for each layer]}",
    )
