# SPDX-License-Identifier: Apache-2.0
"""Planner: every expert keeps a slot, and moves are worth their loads."""

import json
import pathlib

from click import testing as click_testing
import hypothesis
from hypothesis import strategies as st
import numpy as np
import pytest

from lugcross.cli import plan as plan_cli
from lugcross import errors
from lugcross import placement
from lugcross.placement import planner
from lugcross.placement import replay


def make_cfg(**fields: object) -> placement.PlannerCfg:
    base: dict[str, object] = {
        "ranks": 8,
        "ranks_a_host": 4,
        "slots": 5,
        "expert_bytes": 1000,
        "transfer_bytes_s": 1e6,
    }
    return placement.PlannerCfg(**{**base, **fields})  # type: ignore


def skewed_loads(
    layers: int, experts: int, seed: int
) -> placement.ExpertLoads:
    rng = np.random.default_rng(seed)
    loads: placement.ExpertLoads = rng.gamma(0.5, 100.0, (layers, experts)) + 1
    return loads


def naive_skew(
    loads: placement.ExpertLoads,
    slots: placement.Slots,
    cfg: placement.PlannerCfg,
) -> float:
    """Return the skew computed by a loop over all slots, as a reference."""
    ratios = []
    for layer, row in zip(loads, slots, strict=True):
        ranks = [0.0] * cfg.ranks
        for slot, expert in enumerate(row):
            copies = list(row).count(expert)
            ranks[slot // cfg.slots] += layer[expert] / copies
        ratios.append(max(ranks) / (sum(ranks) / cfg.ranks))
    return float(np.mean(ratios))


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    seed=st.integers(0, 10_000),
    weight=st.sampled_from([0.1, 0.5, 0.9, 1.0]),
    experts=st.integers(8, 40),
)
def test_plan_keeps_every_expert_and_never_makes_the_forecast_worse(
    seed: int, weight: float, experts: int
) -> None:
    cfg = make_cfg(skew_weight=weight)
    loads = skewed_loads(2, experts, seed)
    slots = placement.initial_map(2, experts, cfg)
    before = slots.copy()
    plan = placement.plan(loads, loads, slots, cfg)
    assert (slots == before).all(), "the input was changed"
    for row in plan.slots:
        assert set(row) == set(range(experts))
    after = placement.skew(loads, plan.slots, cfg)
    assert after <= placement.skew(loads, slots, cfg) + 1e-9
    assert after == pytest.approx(naive_skew(loads, plan.slots, cfg))
    assert len(plan.moves) <= cfg.max_moves_per_window
    assert (plan.decision is placement.Decision.STAY) == (not plan.moves)
    rebuilt = slots.copy()
    for move in plan.moves:
        rebuilt[move.layer, move.slot] = move.expert
    assert (rebuilt == plan.slots).all()


def test_plan_nearly_evens_out_the_load() -> None:
    cfg = make_cfg(skew_weight=1.0)
    loads = skewed_loads(4, 24, 7)
    plan = placement.plan(loads, loads, placement.initial_map(4, 24, cfg), cfg)
    assert plan.forecast_skew_before > 1.5
    assert plan.forecast_skew_after < 1.15


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({"surge": True}, "surge"),
        ({"skew_weight": 0.0}, "weight"),
        ({"skew_weight": 0.001}, "worth"),
    ],
    ids=["surge", "zero-weight", "costly-moves"],
)
def test_plan_that_stays_gives_the_reason(
    fields: dict[str, object], message: str
) -> None:
    cfg = make_cfg(**fields)
    loads = skewed_loads(1, 24, 7)
    plan = placement.plan(loads, loads, placement.initial_map(1, 24, cfg), cfg)
    assert plan.decision is placement.Decision.STAY
    assert message in plan.reasons[0]


def test_even_load_causes_no_moves() -> None:
    loads = np.ones((1, 20))
    plan = placement.plan(
        loads, loads, placement.initial_map(1, 20, make_cfg()), make_cfg()
    )
    assert "acceptable" in plan.reasons[0]


def test_gain_not_confirmed_by_the_newest_window_is_rejected_as_noise() -> (
    None
):
    cfg = make_cfg()
    plan = placement.plan(
        skewed_loads(1, 24, 1),
        skewed_loads(1, 24, 2),
        placement.initial_map(1, 24, cfg),
        cfg,
    )
    assert plan.decision is placement.Decision.STAY
    assert "noise" in plan.reasons[0]


def test_transfer_limit_of_a_window_bounds_the_moves() -> None:
    cfg = make_cfg(skew_weight=1.0, transfer_bytes_s=100.0, window_s=60.0)
    loads = skewed_loads(4, 24, 7)
    plan = placement.plan(loads, loads, placement.initial_map(4, 24, cfg), cfg)
    assert 0 < len(plan.moves) <= 6


def test_lower_skew_weight_moves_fewer_experts() -> None:
    loads = skewed_loads(4, 24, 7)
    counts = []
    for weight in (0.1, 0.5, 1.0):
        cfg = make_cfg(skew_weight=weight)
        slots = placement.initial_map(4, 24, cfg)
        counts.append(len(placement.plan(loads, loads, slots, cfg).moves))
    assert counts == sorted(counts)
    assert counts[0] < counts[-1]


def test_too_few_slots_raise_an_error_with_a_remedy() -> None:
    with pytest.raises(ValueError, match="add ranks"):
        placement.initial_map(1, 41, make_cfg())


def forecast_error(
    windows: list[placement.ExpertLoads],
) -> tuple[float, float]:
    """Return the errors of the forecaster and of a naive forecast.

    The naive forecast repeats the newest window.
    """
    forecaster = placement.Forecaster()
    forecaster_error = naive_error = 0.0
    for now, later in zip(windows, windows[1:], strict=False):
        forecaster_error += float(np.abs(forecaster.update(now) - later).sum())
        naive_error += float(np.abs(now - later).sum())
    return forecaster_error, naive_error


def test_forecast_uses_the_mean_of_alternating_loads() -> None:
    pair = [skewed_loads(1, 8, 1), skewed_loads(1, 8, 2)]
    forecaster_error, naive_error = forecast_error(pair * 20)
    assert forecaster_error < 0.7 * naive_error


def test_forecast_adapts_to_a_sudden_change() -> None:
    first, second = skewed_loads(1, 8, 1), skewed_loads(1, 8, 2)
    forecaster = placement.Forecaster()
    for loads in [first] * 10 + [second] * 3:
        forecast = forecaster.update(loads)
    assert np.abs(forecast - second).sum() < 0.1 * second.sum()


def write_windows(
    path: pathlib.Path, windows: list[placement.ExpertLoads]
) -> None:
    path.write_text(
        "".join(
            json.dumps({"window": num, "loads": loads.tolist()}) + "\n"
            for num, loads in enumerate(windows)
        )
    )


def test_command_uses_no_later_window_for_a_decision(
    tmp_path: pathlib.Path,
) -> None:
    windows = [skewed_loads(2, 128, num // 3) for num in range(6)]
    rows = []
    for count in (4, 6):
        path = tmp_path / f"{count}.jsonl"
        write_windows(path, windows[:count])
        result = click_testing.CliRunner().invoke(
            plan_cli.plan,
            ["--cfg", "examples/planner.yaml", "--json"]
            + ["--loads", str(path)],
        )
        assert result.exit_code == 0, result.output
        rows.append(
            [json.loads(line) for line in result.output.split("\n")[:-1]]
        )
    assert rows[0][:3] == rows[1][:3]
    assert rows[1][0]["decision"] == "move"
    assert rows[1][0]["skew_next"] < rows[1][0]["skew_before"]
    assert rows[1][5]["skew_next"] is None
    bytes_moved = sum(row["bytes_moved"] for row in rows[1])
    moves = sum(len(row["moves"]) for row in rows[1])
    assert bytes_moved == moves * 20_000_000


def test_command_writes_a_plot(tmp_path: pathlib.Path) -> None:
    write_windows(tmp_path / "l.jsonl", [skewed_loads(2, 128, 1)] * 3)
    plot = tmp_path / "p.png"
    result = click_testing.CliRunner().invoke(
        plan_cli.plan,
        ["--cfg", "examples/planner.yaml", "--plot", str(plot)]
        + ["--loads", str(tmp_path / "l.jsonl")],
    )
    assert result.exit_code == 0, result.output
    assert plot.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("{", "line 1"),
        ('{"window": 0, "loads": [[1], [1, 2]]}', "line 1"),
        ('{"window": 0, "loads": [[-1.0, 2.0]]}', "negative"),
        ('{"window": 0, "load": [[1]]}', "load"),
    ],
    ids=["broken", "ragged", "negative", "unknown-field"],
)
def test_invalid_line_is_reported(line: str, message: str) -> None:
    with pytest.raises(errors.SettingsError, match=message):
        list(replay.read_windows([line], source="l.jsonl"))


def test_min_gain_per_load_falls_with_the_weight_of_skew() -> None:
    min_gains = [
        planner.min_gain_per_load(make_cfg(skew_weight=w))
        for w in (0.2, 0.5, 1.0)
    ]
    assert min_gains == sorted(min_gains, reverse=True)
