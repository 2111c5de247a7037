# SPDX-License-Identifier: Apache-2.0
"""Plans of maps: few copies, of what is in demand, in small steps."""

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
    found = []
    for _ in range(LIMITS.layer_set_count):
        uses = [rng.randrange(50, 150) for _ in range(LIMITS.expert_count)]
        for weight in (1200, 500, 300):
            uses[rng.randrange(LIMITS.expert_count)] = weight
        found.append(uses)
    return found


@pytest.mark.parametrize("seed", range(6))
def test_plan_keeps_every_limit_and_lowers_the_skew(seed: int) -> None:
    used = experts.round_robin_map(RANK_COUNT, LIMITS)
    for num in range(5):
        plan = experts.plan_map(
            _demand(seed * 10 + num), used, LIMITS, max_copies_per_rank=2
        )
        assert plan.skew_after <= plan.skew_before
        assert plan.max_copies_per_rank <= 2
        for rank in plan.next_map.ranks:
            assert all(
                len(held) <= LIMITS.max_experts_per_rank for held in rank
            )
        for num_set in range(LIMITS.layer_set_count):
            held = {
                one for rank in plan.next_map.ranks for one in rank[num_set]
            }
            assert held == set(range(LIMITS.expert_count))
        used = plan.next_map


@pytest.mark.parametrize("seed", range(6))
def test_planned_skew_is_that_of_the_map(seed: int) -> None:
    demand = _demand(seed)
    used = experts.round_robin_map(RANK_COUNT, LIMITS)
    plan = experts.plan_map(demand, used, LIMITS, max_copies_per_rank=1)
    assert plan.skew_before == experts.load_skew(demand, used)
    assert plan.skew_after == experts.load_skew(demand, plan.next_map)


def test_loads_kept_while_planning_are_those_of_the_map() -> None:
    """Full ranks give experts up, which changes loads of other ranks."""
    used = experts.round_robin_map(RANK_COUNT, LIMITS)
    for num in range(8):
        demand = _demand(num)
        plan = experts.plan_map(demand, used, LIMITS, max_copies_per_rank=3)
        again = experts.plan_map(
            demand, plan.next_map, LIMITS, max_copies_per_rank=0
        )
        assert again.next_map == plan.next_map
        assert again.skew_before == pytest.approx(plan.skew_after)
        used = plan.next_map


def test_planning_can_be_interrupted_between_small_steps() -> None:
    used = experts.round_robin_map(RANK_COUNT, LIMITS)
    planning = experts.plan_in_steps(
        _demand(1), used, LIMITS, max_copies_per_rank=2
    )
    count = 0
    while True:
        try:
            next(planning)
        except StopIteration as exc:
            plan = exc.value
            break
        count += 1
    assert count >= 2 * LIMITS.layer_set_count
    assert plan == experts.plan_map(
        _demand(1), used, LIMITS, max_copies_per_rank=2
    )


def _zipf(rng: random.Random, count: int) -> list[float]:
    """Return uses as engines showed them: a few of each set are hot."""
    row = [1.0 / (num + 1) ** 0.67 for num in range(count)]
    rng.shuffle(row)
    return row


@pytest.mark.parametrize(
    ("size", "sets", "count", "copies"),
    [(24, 4, 96, 45), (32, 3, 128, 50), (63, 2, 252, 45)],
    ids=["24", "32", "63"],
)
def test_many_ranks_become_even_with_few_copies(
    size: int, sets: int, count: int, copies: int
) -> None:
    """Plans reach an even load where several ranks are equally loaded.

    Symptom: passes took twice as long as even ones. Sequence: demand jumped,
    a map was planned and in force, and the most loaded rank still had 1.6 to
    2.1 times the mean. Cause: a step counted only if it lowered the highest
    load of all; where two ranks were about as loaded, none did, and the plan
    ended with most of its copies left. What settled it: plans of 63 ranks
    ended at 2.08 with 37 copies, at 1.4 with 136 where steps count by the
    ranks that they touch.
    """
    rng = random.Random(3)
    limits = experts.ExpertLimits(
        layer_set_count=sets,
        expert_count=count,
        max_experts_per_rank=5,
        max_new_experts_per_map=2,
        copy_s=0.1,
        expert_time_ratio=0.85,
    )
    demand = [_zipf(rng, count) for _ in range(sets)]
    used = experts.round_robin_map(size, limits)
    plan = experts.plan_map(demand, used, limits, max_copies_per_rank=8)
    assert plan.skew_after <= 1.45
    made = sum(
        plan.next_map.copies_needed_at(rank, used) for rank in range(size)
    )
    assert made <= copies


def test_slow_rank_keeps_only_what_it_can_do_in_time() -> None:
    """One slow rank does not hold its group back.

    Symptom: of 63 ranks one was four times slower for eight seconds; a tenth
    of the callers was served in time meanwhile. Cause: plans took all ranks
    for equal, and a pass lasts as long as its slowest rank.
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
    slow = [1.0] * 63
    slow[7] = 4.0
    used = experts.round_robin_map(63, limits)
    plan = experts.plan_map(
        demand, used, limits, max_copies_per_rank=8, slowness=slow
    )
    assert plan.skew_before > 4.0
    assert plan.skew_after <= 1.45
    after = experts.plan_map(
        demand, plan.next_map, limits, max_copies_per_rank=8
    )
    assert after.skew_after <= 1.45, "it gets its part back"


def test_plan_for_full_ranks_keeps_the_number_of_their_experts() -> None:
    """Without a free place experts change places."""
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
    used = experts.ExpertMap(tuple((held,) for held in ranks))
    plan = experts.plan_map(demand, used, limits, max_copies_per_rank=2)
    assert plan.skew_before == 4.0
    # Two experts may be new to a rank: the hottest keeps two of its four.
    assert plan.skew_after == pytest.approx(2.2)
    assert all(len(rank[0]) == 4 for rank in plan.next_map.ranks)
    held = [one for rank in plan.next_map.ranks for one in rank[0]]
    assert sorted(held) == list(range(24))
