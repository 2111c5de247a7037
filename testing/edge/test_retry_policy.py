# SPDX-License-Identifier: Apache-2.0
"""The retry policy, for any sequence of attempt outcomes."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from lugcross.edge import retry_policy

OUTCOMES = st.lists(
    st.sampled_from(list(retry_policy.AttemptOutcome)), max_size=8
)


def _play(
    outcomes: list[retry_policy.AttemptOutcome],
    *,
    repeatable: bool,
    attempts: int,
) -> tuple[
    retry_policy.RequestState,
    retry_policy.Action | None,
    list[retry_policy.AttemptOutcome],
]:
    state = retry_policy.RequestState(
        repeatable=repeatable, max_attempts=attempts
    )
    used = []
    for outcome in outcomes:
        used.append(outcome)
        state = retry_policy.state_after(state, outcome)
        action = retry_policy.next_action(state, outcome, retry_available=True)
        if action is not retry_policy.Action.RETRY:
            return state, action, used
    return state, None, used


@given(OUTCOMES, st.booleans(), st.integers(1, 4))
def test_never_more_backends_than_the_route_allows(
    outcomes, repeatable, attempts
):
    state, _, used = _play(outcomes, repeatable=repeatable, attempts=attempts)
    unreached = retry_policy.AttemptOutcome.UNREACHED
    assert sum(one is not unreached for one in used) <= attempts
    assert state.attempts_sent <= attempts


@given(OUTCOMES, st.integers(1, 4))
def test_unrepeatable_is_not_retried_once_it_may_have_run(outcomes, attempts):
    _, _, used = _play(outcomes, repeatable=False, attempts=attempts)
    not_run = (
        retry_policy.AttemptOutcome.NOT_RUN,
        retry_policy.AttemptOutcome.UNREACHED,
    )
    assert all(one in not_run for one in used[:-1])


@given(OUTCOMES, st.integers(1, 4))
def test_refused_only_where_nothing_ran(outcomes, attempts):
    _, action, used = _play(outcomes, repeatable=False, attempts=attempts)
    if action is retry_policy.Action.REFUSE:
        may_have_run = (
            retry_policy.AttemptOutcome.BROKEN,
            retry_policy.AttemptOutcome.FAILED,
        )
        assert not any(one in may_have_run for one in used)


@pytest.mark.parametrize("outcome", list(retry_policy.AttemptOutcome))
def test_started_answer_is_aborted_and_never_replaced(outcome):
    state = retry_policy.RequestState(
        repeatable=True,
        max_attempts=2,
        attempts_sent=2,
        may_have_run=True,
        response_started=True,
    )
    assert (
        retry_policy.final_action(state, outcome)
        is retry_policy.Action.ABORT_RESPONSE
    )


def test_attempts_that_reached_nobody_do_not_count_while_servers_are_left():
    """In a cut, a request was refused after four servers of one domain."""
    state = retry_policy.RequestState(repeatable=True, max_attempts=2)
    unreached = retry_policy.AttemptOutcome.UNREACHED
    for _ in range(20):
        state = retry_policy.state_after(state, unreached)
        assert retry_policy.retry_obstacle(state, servers_left=True) is None
        assert not retry_policy.costs_budget(state, unreached)


def test_they_are_limited_where_all_servers_left_have_failed():
    """Or each request would try each server of a service that is down."""
    state = retry_policy.RequestState(repeatable=True, max_attempts=2)
    for _ in range(retry_policy.MAX_FAILED_CONNECTIONS):
        assert retry_policy.retry_obstacle(state, servers_left=False) is None
        state = retry_policy.state_after(
            state, retry_policy.AttemptOutcome.UNREACHED
        )
    assert (
        retry_policy.retry_obstacle(state, servers_left=False)
        is retry_policy.RetryObstacle.NO_ATTEMPTS
    )


def test_budget_is_spent_once_for_a_retry_that_reached_nobody():
    """The budget is for servers, and none has got the retry."""
    state = retry_policy.RequestState(repeatable=True, max_attempts=3)
    not_run = retry_policy.AttemptOutcome.NOT_RUN
    unreached = retry_policy.AttemptOutcome.UNREACHED
    state = retry_policy.state_after(state, not_run)
    assert retry_policy.costs_budget(state, not_run)
    state = retry_policy.state_after(state, unreached)
    assert not retry_policy.costs_budget(state, unreached)
    state = retry_policy.state_after(state, not_run)
    assert retry_policy.costs_budget(state, not_run)
