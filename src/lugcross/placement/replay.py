# SPDX-License-Identifier: Apache-2.0
"""Replays recorded load through the planner, window by window."""

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
    """One line of a file of recorded load.

    :param window: number of the window.
    :param loads: tokens of each expert, for each layer.
    """

    window: int
    loads: list[list[float]]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class WindowResult:
    """Decision of the planner after one window, and its effect.

    :param skew_before: skew of this window's load with the map in use
        before the decision.
    :param skew_next: skew of the next window's load with the map that
        was decided; none for the last window.
    """

    window: int
    decision: planner.Decision
    reasons: tuple[str, ...]
    moves: tuple[expert_map.Move, ...]
    bytes_moved: int
    skew_before: float
    skew_next: float | None


def parse_planner_cfg(text: str, *, source: str) -> expert_map.PlannerCfg:
    """Return the planner configuration from YAML text.

    :param source: file name for error messages.
    :raises errors.SettingsError: if the text or a field is invalid.
    """
    try:
        return msgspec.yaml.decode(text, type=expert_map.PlannerCfg)
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise errors.SettingsError(
            f"{source}: {exc}",
            remedy="see examples/planner.yaml for all fields",
        ) from exc


def read_windows(
    lines: Iterable[str], *, source: str
) -> Iterator[tuple[int, expert_map.ExpertLoads]]:
    """Yield the number and loads of each window of a JSON Lines file.

    :param source: file name for error messages.
    :raises errors.SettingsError: if a line is invalid.
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
            raise _invalid_line(
                source, num, "shape of loads differs from line 1"
            )
        if not np.isfinite(loads).all() or (loads < 0).any():
            raise _invalid_line(
                source, num, "a load is negative or not finite"
            )
        yield window.window, loads


def run(
    windows: Iterable[tuple[int, expert_map.ExpertLoads]],
    cfg: expert_map.PlannerCfg,
) -> Iterator[WindowResult]:
    """Plan after each window, from the windows up to it.

    A result is yielded once the next window is known.

    :raises errors.SettingsError: if there are fewer slots than experts.
    """
    forecaster = forecast_lib.Forecaster()
    slots: expert_map.Slots | None = None
    pending: WindowResult | None = None
    for num, loads in windows:
        if slots is None:
            slots = _initial_map(loads, cfg)
        if pending is not None:
            # The decision is measured on load that it did not depend on.
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
            f"cannot create the initial map ({exc})",
            remedy="increase ranks or slots in the configuration",
        ) from exc


def _invalid_line(source: str, num: int, why: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"{source}: line {num}: {why}",
        remedy='each line must be {"window": 0, "loads": [[tokens of each '
        "expert] for each layer]}",
    )
