# SPDX-License-Identifier: Apache-2.0
"""Tests of the planner: limits, skew and number of copies of its plans."""

import random

import pytest

from lugcross import experts

LIMITS = experts.ExpertLimits(
    layer_set_count=2,
    expert_count=24,
    max_experts_per_rank=5,
    max_new_experts_per_map=2,
    copy_s=0.1,
    expert_time_ratio=0.85,
)
RANK_COUNT = 6


def _demand(seed: int) -> list[list[int]]:
    rng = random.Random(seed)
    demand = []
    for _ in range(LIMITS.layer_set_count):
        uses = [rng.randrange(50, 150) for _ in range(LIMITS.expert_count)]
        for weight in (1200, 500, 300):
            uses[rng.randrange(LIMITS.expert_count)] = weight
        demand.append(uses)
    return demand


@pytest.mark.parametrize("seed", range(6))
def test_plan_keeps_all_limits_and_does_not_raise_the_skew(seed: int) -> None:
    current_map = experts.round_robin_map(RANK_COUNT, LIMITS)
    for num in range(5):
        plan = experts.plan_map(
            _demand(seed * 10 + num),
            current_map,
            LIMITS,
            max_copies_per_rank=2,
        )
        assert plan.skew_after <= plan.skew_before
        assert plan.max_copies_per_rank <= 2
        for rank in plan.next_map.ranks:
            assert all(
                len(held) <= LIMITS.max_experts_per_rank for held in rank
            )
        for set_index in range(LIMITS.layer_set_count):
            held = {
                expert
                for rank in plan.next_map.ranks
                for expert in rank[set_index]
            }
            assert held == set(range(LIMITS.expert_count))
        current_map = plan.next_map


@pytest.mark.parametrize("seed", range(6))
def test_skew_of_a_plan_is_the_load_skew_of_its_maps(seed: int) -> None:
    demand = _demand(seed)
    current_map = experts.round_robin_map(RANK_COUNT, LIMITS)
    plan = experts.plan_map(demand, current_map, LIMITS, max_copies_per_rank=1)
    assert plan.skew_before == experts.load_skew(demand, current_map)
    assert plan.skew_after == experts.load_skew(demand, plan.next_map)


def test_planning_again_without_copies_keeps_the_planned_map() -> None:
    """Incrementally updated loads agree with loads computed from the map.

    Full ranks drop replicas, which changes the loads of other ranks.
    """
    current_map = experts.round_robin_map(RANK_COUNT, LIMITS)
    for num in range(8):
        demand = _demand(num)
        plan = experts.plan_map(
            demand, current_map, LIMITS, max_copies_per_rank=3
        )
        again = experts.plan_map(
            demand, plan.next_map, LIMITS, max_copies_per_rank=0
        )
        assert again.next_map == plan.next_map
        assert again.skew_before == pytest.approx(plan.skew_after)
        current_map = plan.next_map


def test_planning_in_small_steps_gives_the_same_plan() -> None:
    current_map = experts.round_robin_map(RANK_COUNT, LIMITS)
    planning = experts.plan_in_steps(
        _demand(1), current_map, LIMITS, max_copies_per_rank=2
    )
    step_count = 0
    while True:
        try:
            next(planning)
        except StopIteration as exc:
            plan = exc.value
            break
        step_count += 1
    assert step_count >= 2 * LIMITS.layer_set_count
    assert plan == experts.plan_map(
        _demand(1), current_map, LIMITS, max_copies_per_rank=2
    )


def _zipf(rng: random.Random, count: int) -> list[float]:
    """Return uses in a Zipf distribution, in which a few experts are hot."""
    row = [1.0 / (num + 1) ** 0.67 for num in range(count)]
    rng.shuffle(row)
    return row


@pytest.mark.parametrize(
    ("rank_count", "layer_set_count", "expert_count", "max_copies"),
    [(24, 4, 96, 45), (32, 3, 128, 50), (63, 2, 252, 45)],
    ids=["24", "32", "63"],
)
def test_loads_of_many_ranks_become_even_with_few_copies(
    rank_count: int, layer_set_count: int, expert_count: int, max_copies: int
) -> None:
    """Plans even out the load although several ranks are equally loaded.

    Symptom: passes took twice as long as with even loads. Sequence: demand
    jumped, a new map was planned and put to use, and the load of the most
    loaded rank was still 1.6 to 2.1 times the mean. Cause: a step was
    considered only if it lowered the highest load of all ranks. If two ranks
    had about the highest load, no step did, and the plan ended with most of
    its copies unused. Fix: the gain of a step is computed from the loads of
    the ranks that it affects.
    """
    rng = random.Random(3)
    limits = experts.ExpertLimits(
        layer_set_count=layer_set_count,
        expert_count=expert_count,
        max_experts_per_rank=5,
        max_new_experts_per_map=2,
        copy_s=0.1,
        expert_time_ratio=0.85,
    )
    demand = [_zipf(rng, expert_count) for _ in range(layer_set_count)]
    current_map = experts.round_robin_map(rank_count, limits)
    plan = experts.plan_map(demand, current_map, limits, max_copies_per_rank=8)
    assert plan.skew_after <= 1.45
    copies = sum(
        plan.next_map.copies_needed_at(rank, current_map)
        for rank in range(rank_count)
    )
    assert copies <= max_copies


def test_slow_rank_gets_less_load() -> None:
    """A slow rank does not slow down its whole group.

    Symptom: while one of 63 ranks was four times slower for eight seconds, a
    tenth of the callers was served in time. Cause: plans assumed that all
    ranks are equally fast, while a pass lasts as long as its slowest rank.
    """
    rng = random.Random(3)
    limits = experts.ExpertLimits(
        layer_set_count=2,
        expert_count=252,
        max_experts_per_rank=5,
        max_new_experts_per_map=2,
        copy_s=0.1,
        expert_time_ratio=0.85,
    )
    demand = [_zipf(rng, 252) for _ in range(2)]
    slowness = [1.0] * 63
    slowness[7] = 4.0
    current_map = experts.round_robin_map(63, limits)
    plan = experts.plan_map(
        demand, current_map, limits, max_copies_per_rank=8, slowness=slowness
    )
    assert plan.skew_before > 4.0
    assert plan.skew_after <= 1.45
    after = experts.plan_map(
        demand, plan.next_map, limits, max_copies_per_rank=8
    )
    assert after.skew_after <= 1.45, "load must return to the recovered rank"


def test_experts_of_full_ranks_are_swapped() -> None:
    """Ranks that hold as many experts as they can only exchange them."""
    limits = experts.ExpertLimits(
        layer_set_count=1,
        expert_count=24,
        max_experts_per_rank=4,
        max_new_experts_per_map=2,
        copy_s=0.1,
        expert_time_ratio=0.85,
    )
    demand = [[10.0] * 4 + [1.0] * 20]
    ranks = [tuple(range(num * 4, num * 4 + 4)) for num in range(6)]
    current_map = experts.ExpertMap(tuple((held,) for held in ranks))
    plan = experts.plan_map(demand, current_map, limits, max_copies_per_rank=2)
    assert plan.skew_before == 4.0
    # A rank may get two new experts, so the hottest rank keeps two of its
    # four hot experts.
    assert plan.skew_after == pytest.approx(2.2)
    assert all(len(rank[0]) == 4 for rank in plan.next_map.ranks)
    held = [expert for rank in plan.next_map.ranks for expert in rank[0]]
    assert sorted(held) == list(range(24))
