# SPDX-License-Identifier: Apache-2.0
"""What may be sent again and what may be told, for any run of events."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from lugcross.edge import retry_policy

EVENTS = st.lists(
    st.sampled_from(list(retry_policy.AttemptOutcome)), max_size=8
)


def _play(
    events: list[retry_policy.AttemptOutcome],
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
    for event in events:
        used.append(event)
        state = retry_policy.state_after(state, event)
        action = retry_policy.next_action(state, event, retry_available=True)
        if action is not retry_policy.Action.RETRY:
            return state, action, used
    return state, None, used


@given(EVENTS, st.booleans(), st.integers(1, 4))
def test_never_more_backends_than_the_route_allows(events, rep, attempts):
    state, _, used = _play(events, repeatable=rep, attempts=attempts)
    unreached = retry_policy.AttemptOutcome.UNREACHED
    assert sum(one is not unreached for one in used) <= attempts
    assert state.attempts_sent <= attempts


@given(EVENTS, st.integers(1, 4))
def test_unrepeatable_is_not_retried_once_it_may_have_run(events, attempts):
    _, _, used = _play(events, repeatable=False, attempts=attempts)
    proved = (
        retry_policy.AttemptOutcome.NOT_RUN,
        retry_policy.AttemptOutcome.UNREACHED,
    )
    assert all(one in proved for one in used[:-1])


@given(EVENTS, st.integers(1, 4))
def test_refused_only_where_nothing_ran(events, attempts):
    _, action, used = _play(events, repeatable=False, attempts=attempts)
    if action is retry_policy.Action.REFUSE:
        ran = (
            retry_policy.AttemptOutcome.BROKEN,
            retry_policy.AttemptOutcome.FAILED,
        )
        assert not any(one in ran for one in used)


@pytest.mark.parametrize("event", list(retry_policy.AttemptOutcome))
def test_started_answer_is_aborted_and_never_replaced(event):
    state = retry_policy.RequestState(
        repeatable=True,
        max_attempts=2,
        attempts_sent=2,
        may_have_run=True,
        answer_started=True,
    )
    assert (
        retry_policy.final_action(state, event)
        is retry_policy.Action.ABORT_ANSWER
    )
