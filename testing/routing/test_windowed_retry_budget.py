# SPDX-License-Identifier: Apache-2.0
"""The windowed retry budget, for any sequence of requests and retries."""

import datetime

from hypothesis import given
from hypothesis import strategies as st

from lugcross import routing

RATIO = 0.2
WINDOW_S = 10.0


@given(
    st.lists(
        st.tuples(st.floats(0, 2), st.booleans()), min_size=1, max_size=300
    )
)
def test_retries_of_any_window_stay_within_the_ratio(steps):
    budget = routing.WindowedRetryBudget(ratio=RATIO, window_s=WINDOW_S)
    now = 0.0
    requests: list[float] = []
    retries: list[float] = []
    for gap, is_request in steps:
        now += gap
        instant = datetime.timedelta(seconds=now)
        if is_request:
            budget.record_request(instant)
            requests.append(now)
        elif budget.try_spend(instant):
            retries.append(now)
            assert _retries_in_window(
                retries, now
            ) <= 1 + RATIO * _requests_within(requests, now, 1)
        # Requests that have left the window since its last retry are in the
        # window before it.
        assert _retries_in_window(
            retries, now
        ) <= 1 + RATIO * _requests_within(requests, now, 2)


def _retries_in_window(retries: list[float], now: float) -> int:
    """Return the number of retries in the last window."""
    return sum(1 for time in retries if now - time < WINDOW_S)


def _requests_within(requests: list[float], now: float, windows: int) -> int:
    """Return the number of requests in the last windows, edges included."""
    return sum(1 for time in requests if now - time <= windows * WINDOW_S)


def test_requests_may_leave_the_window_after_its_last_retry():
    # At 9 s seven requests allow the second retry. At 11 s the window still
    # holds both retries, but only two of the requests.
    budget = routing.WindowedRetryBudget(ratio=RATIO, window_s=WINDOW_S)
    for now in (0, 0, 0, 0, 0, 1):
        budget.record_request(datetime.timedelta(seconds=now))
    assert budget.try_spend(datetime.timedelta(seconds=3))
    budget.record_request(datetime.timedelta(seconds=7))
    assert budget.try_spend(datetime.timedelta(seconds=9))
    assert not budget.try_spend(datetime.timedelta(seconds=11))


def test_budget_is_available_again_after_its_window():
    budget = routing.WindowedRetryBudget(ratio=RATIO, window_s=WINDOW_S)
    assert budget.try_spend(datetime.timedelta())
    assert not budget.try_spend(datetime.timedelta(seconds=5))
    assert budget.try_spend(datetime.timedelta(seconds=11))


def test_slack_is_shared_among_all_processes_that_may_exist():
    budgets = [
        routing.WindowedRetryBudget(ratio=RATIO, window_s=WINDOW_S, slack=80)
        for _ in range(8)
    ]
    now = datetime.timedelta()
    retries = sum(
        budget.try_spend(now, peers=7)
        for budget in budgets
        for _ in range(100)
    )
    assert 8 < retries <= 80


def test_process_without_known_peers_uses_no_slack():
    budget = routing.WindowedRetryBudget(
        ratio=RATIO, window_s=WINDOW_S, slack=80
    )
    now = datetime.timedelta()
    assert sum(budget.try_spend(now) for _ in range(100)) == 1


def test_refused_requests_leave_retries_for_broken_answers():
    budget = routing.WindowedRetryBudget(
        ratio=RATIO, window_s=WINDOW_S, slack=80
    )
    now = datetime.timedelta()
    refused = sum(
        budget.try_spend(now, budget_fraction=0.5, peers=3) for _ in range(99)
    )
    broken = sum(budget.try_spend(now, peers=3) for _ in range(99))
    assert refused >= 1
    assert broken >= refused


def test_memory_does_not_grow_while_no_retry_is_asked_for():
    # Symptom: a process without failures grew by its requests. Sequence:
    # requests for an hour without a retry. Cause: the times of old requests
    # were dropped only when a retry was asked for.
    window_s, requests_per_s, seconds = 10.0, 200, 120
    budget = routing.WindowedRetryBudget(ratio=0.2, window_s=window_s)
    sizes = []
    for num in range(requests_per_s * seconds):
        budget.record_request(datetime.timedelta(seconds=num / requests_per_s))
        sizes.append(len(budget._request_times))
    assert max(sizes) <= window_s * requests_per_s + 1
    # What it kept is enough for the retries of the window.
    now = datetime.timedelta(seconds=seconds)
    allowed = sum(budget.try_spend(now) for _ in range(1000))
    assert allowed == round(1 + 0.8 * 0.2 * window_s * requests_per_s)
