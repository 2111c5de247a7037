# SPDX-License-Identifier: Apache-2.0
"""Processor time to plan an expert map, by the size of the rank group.

    python bench/map_planning.py

Prints for each size the processor time of one plan from the round-robin map,
the skew before and after, and the size of one message to prepare the map.
"""

import random
import time

import msgspec

from lugcross import experts

#: Ranks, layer sets and experts of each rank group.
SIZES = [
    (8, 6, 64),
    (32, 12, 128),
    (63, 8, 252),
    (96, 16, 192),
    (256, 12, 128),
    (256, 60, 128),
]
#: Demand falls with this power of an expert's place by popularity.
_POPULARITY_EXPONENT = 1.6
_MAX_COPIES_PER_RANK = 3


def demand(layer_sets: int, expert_count: int) -> list[list[float]]:
    """Return the demand by layer set and expert, shuffled in each set."""
    rng = random.Random(1)
    rows = []
    for _ in range(layer_sets):
        row = [
            1e6 / (num + 1) ** _POPULARITY_EXPONENT
            for num in range(expert_count)
        ]
        rng.shuffle(row)
        rows.append(row)
    return rows


def main() -> None:
    """Print a line for each size."""
    for ranks, layer_sets, expert_count in SIZES:
        max_per_rank = max(2, expert_count // ranks + 3)
        limits = experts.ExpertLimits(
            layer_set_count=layer_sets,
            expert_count=expert_count,
            max_experts_per_rank=max_per_rank,
            max_new_experts_per_map=4,
            copy_s=0.1,
            expert_time_ratio=0.85,
        )
        # Every expert needs a slot, and the planner some to spare.
        first = experts.round_robin_map(ranks, limits)
        begun = time.process_time()
        plan = experts.plan_map(
            demand(layer_sets, expert_count),
            first,
            limits,
            max_copies_per_rank=_MAX_COPIES_PER_RANK,
        )
        took_ms = (time.process_time() - begun) * 1000
        prepare_order = msgspec.json.encode(
            list(zip(*plan.next_map.ranks, strict=True))
        )
        print(
            f"{ranks} ranks x {layer_sets} sets x {expert_count} experts: "
            f"{took_ms:.1f} ms, skew {plan.skew_before:.2f} -> "
            f"{plan.skew_after:.2f}, order {len(prepare_order)} bytes"
        )


if __name__ == "__main__":
    main()
