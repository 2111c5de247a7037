# SPDX-License-Identifier: Apache-2.0
"""Tries the planner on recorded load, window by window."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import final

import msgspec
import numpy as np

from lugcross import errors
from lugcross.placement import forecast as forecast_lib
from lugcross.placement import model
from lugcross.placement import planner


@final
class Window(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of recorded load.

    :param loads: tokens of each expert, for each layer.
    """

    window: int
    loads: list[list[float]]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """What the planner decided at one window, and what came of it.

    :param skew_before: of this window's load on the map before.
    :param skew_next: of the next window's load on the map after; none
        for the last window.
    """

    window: int
    decision: planner.Choice
    reasons: tuple[str, ...]
    moves: tuple[model.Move, ...]
    bytes_moved: int
    skew_before: float
    skew_next: float | None


def load_cfg(text: str, *, source: str) -> model.PlannerCfg:
    """Return the planner's limits from YAML.

    :raises errors.SettingsError: naming file, field and remedy.
    """
    try:
        return msgspec.yaml.decode(text, type=model.PlannerCfg)
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise errors.SettingsError(
            f"{source}: {exc}",
            remedy="examples/planner.yaml shows all fields",
        ) from exc


def read_windows(
    lines: Iterable[str], *, source: str
) -> Iterator[tuple[int, model.Loads]]:
    """Yield number and loads of each window of a JSON-lines file.

    :raises errors.SettingsError: naming file, line and fault.
    """
    shape: tuple[int, ...] = ()
    for num, line in enumerate(lines, start=1):
        try:
            window = msgspec.json.decode(line, type=Window)
            loads = np.array(window.loads, dtype=np.float64)
        except (msgspec.DecodeError, ValueError) as exc:
            raise _bad_line(source, num, str(exc)) from exc
        shape = shape or loads.shape
        if loads.ndim != 2 or loads.shape != shape:
            raise _bad_line(source, num, "its shape differs from line 1")
        if not np.isfinite(loads).all() or (loads < 0).any():
            raise _bad_line(source, num, "a load is negative or no number")
        yield window.window, loads


def run(
    windows: Iterable[tuple[int, model.Loads]], cfg: model.PlannerCfg
) -> Iterator[Row]:
    """Yield what the planner decides, from the windows up to each.

    :raises errors.SettingsError: when the experts find no room.
    """
    forecaster = forecast_lib.Forecaster()
    slots: model.Slots | None = None
    waiting: Row | None = None
    for num, loads in windows:
        if slots is None:
            slots = _first(loads, cfg)
        if waiting is not None:
            # Judged only now, by load that the decision had not seen.
            judged = model.skew(loads, slots, cfg)
            yield dataclasses.replace(waiting, skew_next=judged)
        made = planner.plan(forecaster.update(loads), loads, slots, cfg)
        waiting = Row(
            window=num,
            decision=made.choice,
            reasons=made.reasons,
            moves=made.moves,
            bytes_moved=len(made.moves) * cfg.expert_bytes,
            skew_before=model.skew(loads, slots, cfg),
            skew_next=None,
        )
        slots = made.slots
    if waiting is not None:
        yield waiting


def _first(loads: model.Loads, cfg: model.PlannerCfg) -> model.Slots:
    layers, experts = loads.shape
    try:
        return model.first_map(layers, experts, cfg)
    except ValueError as exc:
        raise errors.SettingsError(
            f"the map cannot be made ({exc})",
            remedy="raise ranks or slots in the cfg",
        ) from exc


def _bad_line(source: str, num: int, why: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"{source}: line {num}: {why}",
        remedy='a line is {"window": 0, "loads": [[tokens of each expert] '
        "for each layer]}",
    )
