# SPDX-License-Identifier: Apache-2.0
"""Plans of maps: few copies, of what is in demand, in small steps."""

import random

import pytest

from lugcross import experts

LIMITS = experts.Limits(
    sets=2, experts=24, places=5, spare=2, copy_s=0.1, share=0.85
)
SIZE = 6


def _demand(seed: int) -> list[list[int]]:
    rng = random.Random(seed)
    found = []
    for _ in range(LIMITS.sets):
        uses = [rng.randrange(50, 150) for _ in range(LIMITS.experts)]
        for weight in (1200, 500, 300):
            uses[rng.randrange(LIMITS.experts)] = weight
        found.append(uses)
    return found


@pytest.mark.parametrize("seed", range(6))
def test_plan_keeps_every_limit_and_lowers_the_skew(seed: int) -> None:
    used = experts.dealt_out(SIZE, LIMITS)
    for num in range(5):
        plan = experts.plan(
            _demand(seed * 10 + num), used, LIMITS, most_copies=2
        )
        assert plan.skew_after <= plan.skew_before
        assert plan.copies <= 2
        for rank in plan.next.ranks:
            assert all(len(held) <= LIMITS.places for held in rank)
        for num_set in range(LIMITS.sets):
            held = {one for rank in plan.next.ranks for one in rank[num_set]}
            assert held == set(range(LIMITS.experts))
        used = plan.next


@pytest.mark.parametrize("seed", range(6))
def test_skew_told_is_that_of_the_map(seed: int) -> None:
    demand = _demand(seed)
    used = experts.dealt_out(SIZE, LIMITS)
    plan = experts.plan(demand, used, LIMITS, most_copies=1)
    assert plan.skew_before == experts.skew(demand, used)
    assert plan.skew_after == experts.skew(demand, plan.next)


def test_loads_kept_while_planning_are_those_of_the_map() -> None:
    """Full ranks give experts up, which changes loads of other ranks."""
    used = experts.dealt_out(SIZE, LIMITS)
    for num in range(8):
        demand = _demand(num)
        plan = experts.plan(demand, used, LIMITS, most_copies=3)
        again = experts.plan(demand, plan.next, LIMITS, most_copies=0)
        assert again.next == plan.next
        assert again.skew_before == pytest.approx(plan.skew_after)
        used = plan.next


def test_planning_can_be_interrupted_between_small_steps() -> None:
    used = experts.dealt_out(SIZE, LIMITS)
    planning = experts.steps(_demand(1), used, LIMITS, most_copies=2)
    count = 0
    while True:
        try:
            next(planning)
        except StopIteration as exc:
            plan = exc.value
            break
        count += 1
    assert count >= 2 * LIMITS.sets
    assert plan == experts.plan(_demand(1), used, LIMITS, most_copies=2)
