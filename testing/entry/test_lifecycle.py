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


def fail(kind: errors.RefusalKind, outcome: errors.Outcome) -> wire.Fail:
    return wire.Fail(id=ID, kind=kind, outcome=outcome, what="w", remedy="r")


def chunk(seq: int, count: int) -> wire.Chunk:
    events = tuple(ANSWER[seq : seq + count])
    return wire.Chunk(id=ID, seq=seq, events=events)


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
    refusal = fail(errors.RefusalKind.DRAINING, errors.Outcome.NOT_RUN)
    _, action = after(lifecycle.Sent(), refusal, repeatable=False)
    assert isinstance(action, lifecycle.TryAgain)
    assert not action.costs


def test_attempts_are_bounded_and_the_last_refusal_is_told() -> None:
    refusal = fail(errors.RefusalKind.OVERLOADED, errors.Outcome.NOT_RUN)
    _, action = after(*[lifecycle.Sent(), refusal] * lifecycle.MAX_ATTEMPTS)
    assert outcome(action) is errors.Outcome.NOT_RUN


def test_reused_key_is_not_tried_elsewhere() -> None:
    refusal = fail(errors.RefusalKind.KEY_REUSED, errors.Outcome.NOT_RUN)
    _, action = after(lifecycle.Sent(), refusal)
    assert outcome(action) is errors.Outcome.NOT_RUN


def test_overlap_after_a_reattach_is_delivered_once() -> None:
    state, action = after(
        lifecycle.Sent(), chunk(0, 3), lifecycle.LinkLost(), chunk(1, 3)
    )
    assert action == lifecycle.Deliver((b"d",))
    assert state.taken == 4


@pytest.mark.parametrize(
    "event",
    [chunk(2, 1), wire.End(id=ID, events=3)],
    ids=["gap", "early-end"],
)
def test_partial_answer_never_looks_whole(event: lifecycle.Event) -> None:
    _, action = after(lifecycle.Sent(), chunk(0, 1), event)
    assert isinstance(action, lifecycle.GiveUp)
    assert action.error.kind is errors.RefusalKind.STREAM_BROKEN


def test_timeout_before_sending_is_not_run_and_after_it_unknown() -> None:
    _, early = after(lifecycle.TimedOut())
    _, late = after(lifecycle.Sent(), lifecycle.TimedOut())
    assert outcome(early) is errors.Outcome.NOT_RUN
    assert outcome(late) is errors.Outcome.UNKNOWN


EVENTS = st.one_of(
    st.just(lifecycle.LinkLost()),
    st.just(lifecycle.AgentGone()),
    st.just(lifecycle.TimedOut()),
    st.just(wire.Started(id=ID)),
    st.builds(chunk, st.integers(0, 3), st.integers(0, 4)),
    st.builds(wire.End, id=st.just(ID), events=st.integers(0, 4)),
    st.builds(
        fail,
        st.sampled_from(errors.RefusalKind),
        st.sampled_from(errors.Outcome),
    ),
)


@hypothesis.settings(max_examples=1000)
@hypothesis.given(st.booleans(), st.lists(EVENTS, max_size=12))
def test_any_order_of_events_keeps_the_promises(
    repeatable: bool, events: list[lifecycle.Event]
) -> None:
    state = lifecycle.State(repeatable=repeatable)
    state, _ = lifecycle.step(lifecycle.Sent(), state)
    given: list[bytes] = []
    for event in events:
        state, action = lifecycle.step(event, state)
        if isinstance(action, lifecycle.Deliver):
            given += action.events
            assert given == ANSWER[: len(given)]
        if isinstance(action, lifecycle.TryAgain):
            proof = (
                isinstance(event, wire.Fail)
                and event.outcome is errors.Outcome.NOT_RUN
            )
            assert proof or repeatable
            assert not given, "an answer begun elsewhere"
            return
        if isinstance(action, lifecycle.Finish):
            assert isinstance(event, wire.End)
            assert len(given) == event.events
            return
        if isinstance(action, lifecycle.GiveUp):
            if action.error.outcome is errors.Outcome.NOT_RUN:
                assert isinstance(event, wire.Fail)
                assert event.outcome is errors.Outcome.NOT_RUN
            return
