# SPDX-License-Identifier: Apache-2.0
"""The repeat budget, for any run of requests and repeats."""

import datetime

from hypothesis import given
from hypothesis import strategies as st

from lugcross import routing

RATIO = 0.2
WINDOW = 10.0


@given(
    st.lists(
        st.tuples(st.floats(0, 2), st.booleans()), min_size=1, max_size=300
    )
)
def test_repeats_of_any_window_stay_within_the_ratio(steps):
    budget = routing.RepeatBudget(ratio=RATIO, window_s=WINDOW)
    now = 0.0
    asked: list[float] = []
    spent: list[float] = []
    for gap, asks in steps:
        now += gap
        moment = datetime.timedelta(seconds=now)
        if asks:
            budget.asked(moment)
            asked.append(now)
        elif budget.spend(moment):
            spent.append(now)
        # One second of slack: the window's edges are inclusive.
        in_window = [t for t in spent if now - t < WINDOW]
        requests = [t for t in asked if now - t <= WINDOW]
        assert len(in_window) <= 1 + RATIO * len(requests)


def test_budget_is_there_again_once_its_window_has_passed():
    budget = routing.RepeatBudget(ratio=RATIO, window_s=WINDOW)
    assert budget.spend(datetime.timedelta())
    assert not budget.spend(datetime.timedelta(seconds=5))
    assert budget.spend(datetime.timedelta(seconds=11))


def test_slack_is_shared_among_all_processes_that_may_exist():
    budgets = [
        routing.RepeatBudget(ratio=RATIO, window_s=WINDOW, slack=80)
        for _ in range(8)
    ]
    now = datetime.timedelta()
    spent = sum(
        budget.spend(now, peers=7) for budget in budgets for _ in range(100)
    )
    assert 8 < spent <= 80


def test_process_that_knows_no_peers_leaves_the_slack_alone():
    budget = routing.RepeatBudget(ratio=RATIO, window_s=WINDOW, slack=80)
    now = datetime.timedelta()
    assert sum(budget.spend(now) for _ in range(100)) == 1


def test_refused_requests_leave_repeats_for_broken_answers():
    budget = routing.RepeatBudget(ratio=RATIO, window_s=WINDOW, slack=80)
    now = datetime.timedelta()
    refused = sum(budget.spend(now, part=0.5, peers=3) for _ in range(99))
    broken = sum(budget.spend(now, peers=3) for _ in range(99))
    assert refused >= 1
    assert broken >= refused
