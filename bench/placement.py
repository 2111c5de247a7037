# SPDX-License-Identifier: Apache-2.0
"""Comparison of the placement planner with simple ones.

    python bench/placement.py --json

For four kinds of drift in the load, each planner gets the windows up to now
and is evaluated by the skew of its map in the next window.
"""

from collections.abc import Callable
import json
import math
import time
from typing import Any

import click
import numpy as np

import bench_stats

from lugcross import placement

_WINDOWS = 96
_Planner = Callable[
    [list[placement.ExpertLoads], placement.Slots], placement.Slots
]


def drift_windows(
    layers: int, experts: int, seed: int
) -> dict[str, list[placement.ExpertLoads]]:
    """Return the load windows for each kind of drift."""
    rng = np.random.default_rng(seed)
    base = rng.gamma(0.8, 1.0, (layers, experts)) + 0.05
    other = rng.gamma(0.8, 1.0, (layers, experts)) + 0.05
    phase = rng.uniform(0, 2 * math.pi, (layers, experts))

    def noisy(loads: placement.ExpertLoads) -> placement.ExpertLoads:
        tokens = loads / loads.sum(axis=1, keepdims=True) * 50_000
        counts: placement.ExpertLoads = rng.poisson(
            tokens * rng.lognormal(0, 0.1, loads.shape)
        ).astype(np.float64)
        return counts

    def daily(num: int) -> placement.ExpertLoads:
        angle = 2 * math.pi * num / _WINDOWS
        return base * (1 + 0.8 * np.sin(phase + angle))

    return {
        "slow-daily": [noisy(daily(num)) for num in range(_WINDOWS)],
        "sudden-switch": [
            noisy(base if num < _WINDOWS // 2 else other)
            for num in range(_WINDOWS)
        ],
        "alternating": [
            noisy(other if num % 2 else base) for num in range(_WINDOWS)
        ],
        "stationary": [noisy(base) for _ in range(_WINDOWS)],
    }


def _keep_map(
    seen: list[placement.ExpertLoads], slots: placement.Slots
) -> placement.Slots:
    del seen
    return slots


def _repack_all(cfg: placement.PlannerCfg) -> _Planner:
    """Return a planner that packs all experts anew in each window."""

    def layer(loads: Any) -> Any:
        experts = len(loads)
        counts = np.ones(experts, dtype=int)
        for _ in range(cfg.ranks * cfg.slots - experts):
            counts[np.argmax(loads / counts)] += 1
        share = loads / counts
        left = np.full(cfg.ranks, cfg.slots)
        load = np.zeros(cfg.ranks)
        rows: list[list[int]] = [[] for _ in range(cfg.ranks)]
        for expert in np.argsort(-share):
            for _ in range(counts[expert]):
                cost = np.where(left > 0, load, np.inf)
                mine = [r for r in range(cfg.ranks) if expert in rows[r]]
                alone = cost.copy()
                alone[mine] = np.inf
                best = alone if np.isfinite(alone).any() else cost
                rank = int(best.argmin())
                rows[rank].append(int(expert))
                load[rank] += share[expert]
                left[rank] -= 1
        return np.array(rows, dtype=np.int32).reshape(-1)

    def step(
        seen: list[placement.ExpertLoads], slots: placement.Slots
    ) -> placement.Slots:
        del slots
        return np.stack([layer(row) for row in seen[-1]])

    return step


def _replicate_hottest(cfg: placement.PlannerCfg) -> _Planner:
    """Return a planner that copies hot experts to the least loaded rank."""

    def step(
        seen: list[placement.ExpertLoads], slots: placement.Slots
    ) -> placement.Slots:
        after = slots.copy()
        rank_loads = placement.rank_loads(seen[-1], slots, cfg)
        for num, loads in enumerate(seen[-1]):
            counts = np.bincount(after[num], minlength=len(loads))
            hot = int((loads / counts).argmax())
            rank = int(rank_loads[num].argmin())
            places = range(rank * cfg.slots, (rank + 1) * cfg.slots)
            spare = [p for p in places if counts[after[num, p]] > 1]
            if spare and hot not in after[num, list(places)]:
                after[num, spare[0]] = hot
        return after

    return step


def _lugcross_planner(cfg: placement.PlannerCfg) -> _Planner:
    forecaster = placement.Forecaster()

    def step(
        seen: list[placement.ExpertLoads], slots: placement.Slots
    ) -> placement.Slots:
        forecast = forecaster.update(seen[-1])
        return placement.plan(forecast, seen[-1], slots, cfg).slots

    return step


def evaluate(
    windows: list[placement.ExpertLoads],
    planner: _Planner,
    cfg: placement.PlannerCfg,
) -> dict[str, Any]:
    """Run a planner over the windows; evaluate each map in the next one."""
    layers, experts = windows[0].shape
    slots = placement.initial_map(layers, experts, cfg)
    skews = []
    moved = switches = 0
    for num in range(len(windows) - 1):
        after = planner(windows[: num + 1], slots)
        count = len(placement.moves_between(slots, after))
        moved += count
        switches += count > 0
        slots = after
        skews.append(placement.skew(windows[num + 1], slots, cfg))
    transfer_s = moved * cfg.expert_bytes / cfg.transfer_bytes_s
    return {
        "skew_mean": float(np.mean(skews)),
        "skew_p99": bench_stats.percentile(skews, 0.99),
        "experts_moved": moved,
        "gb_moved": moved * cfg.expert_bytes / 1e9,
        "switches": switches,
        "transfer_s": transfer_s,
    }


def compare(seed: int) -> dict[str, Any]:
    """Return the results by kind of drift and planner."""
    cfg = placement.PlannerCfg(
        ranks=32,
        ranks_a_host=8,
        slots=5,
        expert_bytes=20_000_000,
        transfer_bytes_s=5e9,
    )
    found: dict[str, Any] = {}
    for name, windows in drift_windows(8, 128, seed).items():
        found[name] = {
            "never": evaluate(windows, _keep_map, cfg),
            "repack": evaluate(windows, _repack_all(cfg), cfg),
            "hottest": evaluate(windows, _replicate_hottest(cfg), cfg),
        }
        for weight in (0.2, 0.5, 0.9):
            weighted_cfg = placement.PlannerCfg(
                **{
                    **{f: getattr(cfg, f) for f in cfg.__struct_fields__},
                    "skew_weight": weight,
                }
            )
            found[name][f"lugcross-{weight}"] = evaluate(
                windows, _lugcross_planner(weighted_cfg), weighted_cfg
            )
    return found


def measure_planning(seed: int) -> list[dict[str, Any]]:
    """Measure the time of one plan by ranks and layers."""
    found = []
    for ranks, layers in ((8, 60), (64, 60), (256, 15), (256, 60)):
        cfg = placement.PlannerCfg(
            ranks=ranks,
            ranks_a_host=8,
            slots=math.ceil(192 / ranks),
            expert_bytes=20_000_000,
            transfer_bytes_s=5e9,
        )
        windows = drift_windows(layers, 128, seed)["stationary"]
        slots = placement.initial_map(layers, 128, cfg)
        began = time.process_time()
        plan = placement.plan(windows[0], windows[0], slots, cfg)
        found.append(
            {
                "ranks": ranks,
                "layers": layers,
                "seconds": time.process_time() - began,
                "moves": len(plan.moves),
                "skew": [plan.forecast_skew_before, plan.forecast_skew_after],
            }
        )
    return found


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--seed", default=1, show_default=True)
def main(as_json: bool, seed: int) -> None:
    """Compare planners on four kinds of drift."""
    found = {"drifts": compare(seed), "speed": measure_planning(seed)}
    click.echo(json.dumps(found, indent=None if as_json else 2))


if __name__ == "__main__":
    main()
