# SPDX-License-Identifier: Apache-2.0
"""Life of a request at an entry host, over any order of events."""

import hypothesis
from hypothesis import strategies as st
import pytest

from lugcross.entry import lifecycle
from lugcross import errors
from lugcross import ids
from lugcross import wire

ID = ids.StreamId(1)
ANSWER = [b"a", b"b", b"c", b"d"]


def fail(kind: errors.FailureKind, outcome: errors.Outcome) -> wire.Failure:
    return wire.Failure(
        id=ID, kind=kind, outcome=outcome, what="w", remedy="r"
    )


def chunk(seq: int, count: int) -> wire.ResponseChunk:
    events = tuple(ANSWER[seq : seq + count])
    return wire.ResponseChunk(id=ID, seq=seq, events=events)


def after(
    *events: lifecycle.Event, repeatable: bool = True
) -> tuple[lifecycle.State, lifecycle.Action]:
    state = lifecycle.State(repeatable=repeatable)
    action: lifecycle.Action = lifecycle.Wait()
    for event in events:
        state, action = lifecycle.step(event, state)
    return state, action


def outcome(action: lifecycle.Action) -> errors.Outcome:
    assert isinstance(action, lifecycle.GiveUp)
    return action.error.outcome


@pytest.mark.parametrize("repeatable", [True, False])
def test_lost_link_asks_the_same_agent_first(repeatable: bool) -> None:
    _, action = after(
        lifecycle.Sent(), lifecycle.LinkLost(), repeatable=repeatable
    )
    assert action == lifecycle.Reattach(0)


def test_agent_gone_is_unknown_and_never_sent_again_if_not_repeatable() -> (
    None
):
    _, action = after(
        lifecycle.Sent(),
        lifecycle.LinkLost(),
        lifecycle.AgentGone(),
        repeatable=False,
    )
    assert outcome(action) is errors.Outcome.UNKNOWN


def test_agent_gone_before_any_answer_is_sent_again_if_repeatable() -> None:
    _, action = after(
        lifecycle.Sent(), lifecycle.LinkLost(), lifecycle.AgentGone()
    )
    assert isinstance(action, lifecycle.TryAgain)
    assert action.costs


def test_refusal_with_proof_goes_elsewhere_though_not_repeatable() -> None:
    refusal = fail(errors.FailureKind.DRAINING, errors.Outcome.NOT_RUN)
    _, action = after(lifecycle.Sent(), refusal, repeatable=False)
    assert isinstance(action, lifecycle.TryAgain)
    assert not action.costs


def test_attempts_are_bounded_and_the_last_refusal_is_told() -> None:
    refusal = fail(errors.FailureKind.OVERLOADED, errors.Outcome.NOT_RUN)
    _, action = after(*[lifecycle.Sent(), refusal] * lifecycle.MAX_ATTEMPTS)
    assert outcome(action) is errors.Outcome.NOT_RUN


def test_reused_key_is_not_tried_elsewhere() -> None:
    refusal = fail(
        errors.FailureKind.IDEMPOTENCY_KEY_REUSED, errors.Outcome.NOT_RUN
    )
    _, action = after(lifecycle.Sent(), refusal)
    assert outcome(action) is errors.Outcome.NOT_RUN


def test_later_proof_says_nothing_of_an_earlier_attempt() -> None:
    refusal = fail(
        errors.FailureKind.DEADLINE_EXCEEDED, errors.Outcome.NOT_RUN
    )
    _, action = after(
        lifecycle.Sent(),
        lifecycle.LinkLost(),
        lifecycle.AgentGone(),
        lifecycle.Sent(),
        refusal,
    )
    assert outcome(action) is errors.Outcome.UNKNOWN


def test_stream_goes_on_at_another_replica_from_its_last_token() -> None:
    state = lifecycle.State(repeatable=True, resumable=True)
    for event in (lifecycle.Sent(), chunk(0, 2), lifecycle.LinkLost()):
        state, _ = lifecycle.step(event, state)
    state, action = lifecycle.step(lifecycle.AgentGone(), state)
    assert isinstance(action, lifecycle.TryAgain)
    assert state.base == 2
    state, _ = lifecycle.step(lifecycle.Sent(), state)
    rest = wire.ResponseChunk(id=ID, seq=0, events=(b"c", b"d"))
    state, action = lifecycle.step(rest, state)
    assert action == lifecycle.Deliver((b"c", b"d"))
    _, action = lifecycle.step(wire.ResponseEnd(id=ID, events=2), state)
    assert action == lifecycle.Finish()


def test_keyed_request_goes_to_the_holder_of_its_key() -> None:
    state = lifecycle.State(repeatable=False, keyed=True)
    state, _ = lifecycle.step(lifecycle.Sent(), state)
    refusal = wire.Failure(
        id=ID,
        kind=errors.FailureKind.IDEMPOTENCY_KEY_ELSEWHERE,
        outcome=errors.Outcome.UNKNOWN,
        what="w",
        remedy="r",
        holder="b7",
    )
    _, action = lifecycle.step(refusal, state)
    assert isinstance(action, lifecycle.TryAgain)
    assert action.holder == "b7"


def test_silent_agent_is_left_only_where_that_is_safe() -> None:
    events = lifecycle.Sent(), lifecycle.AgentSilent()
    _, safe = after(*events)
    _, unsafe = after(*events, repeatable=False)
    assert isinstance(safe, lifecycle.TryAgain)
    assert unsafe == lifecycle.Wait()


def test_overlap_after_a_reattach_is_delivered_once() -> None:
    state, action = after(
        lifecycle.Sent(), chunk(0, 3), lifecycle.LinkLost(), chunk(1, 3)
    )
    assert action == lifecycle.Deliver((b"d",))
    assert state.taken == 4


@pytest.mark.parametrize(
    "event",
    [chunk(2, 1), wire.ResponseEnd(id=ID, events=3)],
    ids=["gap", "early-end"],
)
def test_partial_answer_never_looks_whole(event: lifecycle.Event) -> None:
    _, action = after(lifecycle.Sent(), chunk(0, 1), event)
    assert isinstance(action, lifecycle.GiveUp)
    assert action.error.kind is errors.FailureKind.STREAM_BROKEN


def test_timeout_before_sending_is_not_run_and_after_it_unknown() -> None:
    _, early = after(lifecycle.TimedOut())
    _, late = after(lifecycle.Sent(), lifecycle.TimedOut())
    assert outcome(early) is errors.Outcome.NOT_RUN
    assert outcome(late) is errors.Outcome.UNKNOWN


class Attempt:
    """One dispatch as a model that sees everything knows it."""

    def __init__(self, start: int) -> None:
        self.start = start
        self.sent = 0
        self.ran = False


def next_event(
    data: st.DataObject, attempt: Attempt, claimed_by_other: bool
) -> lifecycle.Event:
    """Draw an event that can truly happen to an attempt."""
    kind = data.draw(
        st.sampled_from(
            ["lost", "gone", "silent", "late", "fail", "chunk", "end"]
        )
    )
    if kind == "lost":
        return lifecycle.LinkLost()
    if kind == "late":
        return lifecycle.TimedOut()
    if kind in ("gone", "silent"):
        # The agent may run it behind the entry host's back.
        attempt.ran |= not claimed_by_other and data.draw(st.booleans())
        gone = kind == "gone"
        return lifecycle.AgentGone() if gone else lifecycle.AgentSilent()
    if kind == "fail" or claimed_by_other:
        outcome = data.draw(st.sampled_from(errors.Outcome))
        if attempt.ran and outcome is errors.Outcome.NOT_RUN:
            outcome = errors.Outcome.UNKNOWN
        if outcome is errors.Outcome.RAN:
            attempt.ran |= not claimed_by_other
        return fail(data.draw(st.sampled_from(errors.FailureKind)), outcome)
    attempt.ran = True
    left = len(ANSWER) - attempt.start - attempt.sent
    if kind == "end" and not left:
        return wire.ResponseEnd(id=ID, events=attempt.sent)
    back = data.draw(st.integers(0, attempt.sent))
    count = data.draw(st.integers(0, left))
    first = attempt.start + attempt.sent - back
    events = tuple(ANSWER[first : first + back + count])
    seq = attempt.sent - back
    attempt.sent += count
    return wire.ResponseChunk(id=ID, seq=seq, events=events)


@hypothesis.settings(max_examples=2000)
@hypothesis.given(st.booleans(), st.booleans(), st.booleans(), st.data())
def test_any_order_of_events_keeps_the_promises(
    repeatable: bool, keyed: bool, resumable: bool, data: st.DataObject
) -> None:
    state = lifecycle.State(
        repeatable=repeatable, keyed=keyed, resumable=resumable
    )
    attempts = [Attempt(0)]
    given: list[bytes] = []
    state, _ = lifecycle.step(lifecycle.Sent(), state)
    for _ in range(12):
        ran_before = any(one.ran for one in attempts[:-1])
        event = next_event(data, attempts[-1], keyed and ran_before)
        state, action = lifecycle.step(event, state)
        if isinstance(action, lifecycle.Deliver):
            given += action.events
            assert given == ANSWER[: len(given)], "a gap or a double"
        if isinstance(action, lifecycle.TryAgain):
            if attempts[-1].ran:
                assert repeatable or keyed, "sent again after it ran"
            assert not given or resumable, "answer begun elsewhere"
            told = action.otherwise.outcome
            assert told is not errors.Outcome.NOT_RUN or not any(
                one.ran for one in attempts
            )
            attempts.append(Attempt(len(given)))
            state, _ = lifecycle.step(lifecycle.Sent(), state)
        if isinstance(action, lifecycle.Finish):
            assert given == ANSWER, "a partial answer looks whole"
            return
        if isinstance(action, lifecycle.GiveUp):
            if action.error.outcome is errors.Outcome.NOT_RUN:
                assert not any(one.ran for one in attempts), "false not-run"
            return
        assert len(attempts) <= lifecycle.MAX_ATTEMPTS
