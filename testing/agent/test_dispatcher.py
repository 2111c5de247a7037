# SPDX-License-Identifier: Apache-2.0
"""What an agent decides, over any order of messages and failures."""

import dataclasses
import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from lugcross import agent
from lugcross.agent import claims
from lugcross.agent import dispatcher as dispatcher_lib
from lugcross.agent import events
from lugcross.agent import kept
from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import wire

L1 = agent.LinkId(1)
L2 = agent.LinkId(2)
NOW = datetime.timedelta()
INCARNATION = ids.Incarnation("i1")


def dispatch(num: int = 1, **fields: object) -> wire.Dispatch:
    base = wire.Dispatch(
        id=ids.StreamId(num),
        uid=f"u{num}",
        req=ids.RequestId(f"r{num}"),
        incarnation=INCARNATION,
        workspace=ids.WorkspaceName("w"),
        group=ids.WorkspaceGroupName("g"),
        service=ids.ServiceName("s"),
        method="POST",
        path="/",
        headers=(),
        body=b"{}",
        timeout_ms=10_000,
        cost=10,
        credit=4,
    )
    return wire.Dispatch(
        **{f: fields.get(f, getattr(base, f)) for f in base.__struct_fields__}
    )


WON = claims.Ruling(claims.Verdict.WON)


def run_keyed(disp: agent.Dispatcher, num: int, key: str = "k") -> None:
    """Dispatch a keyed request and let the log rule that it may run."""
    disp.on_message(L1, dispatch(num, once_key=key), NOW)
    assert runs(disp.on_ruling(f"u{num}", WON, NOW)) == [f"u{num}"]


def reattach(
    num: int, *, after: int = 0, id: int = 7, link: int = 1
) -> wire.Reattach:
    return wire.Reattach(
        id=ids.StreamId(id),
        uid=f"u{num}",
        after=after,
        credit=9,
        previous_link=link,
        previous_id=ids.StreamId(num),
    )


@pytest.fixture
def disp() -> agent.Dispatcher:
    return new_dispatcher()


def new_dispatcher(capacity: int = 1) -> agent.Dispatcher:
    return agent.Dispatcher(
        incarnation=INCARNATION, weight=lambda group: 1.0, capacity=capacity
    )


def sent(actions: list[events.Action], link: agent.LinkId) -> list[object]:
    return [
        a.msg
        for a in actions
        if isinstance(a, events.Send)
        and a.link == link
        and not isinstance(a.msg, wire.AgentLoad)
    ]


def runs(actions: list[events.Action]) -> list[str]:
    return [a.dispatch.uid for a in actions if isinstance(a, events.Run)]


def failure(actions: list[events.Action], link: agent.LinkId) -> wire.Failure:
    (fail,) = [m for m in sent(actions, link) if isinstance(m, wire.Failure)]
    return fail


def test_dispatch_runs_and_its_answer_ends_with_its_count(
    disp: agent.Dispatcher,
) -> None:
    assert runs(disp.on_message(L1, dispatch(), NOW)) == ["u1"]
    disp.on_runner("u1", events.GotHead(200, ()), NOW)
    disp.on_runner("u1", events.GotEvents((b"a", b"b")), NOW)
    last = sent(disp.on_runner("u1", events.GotEnd(), NOW), L1)
    assert last == [wire.ResponseEnd(id=ids.StreamId(1), events=2)]


def test_dispatch_for_another_incarnation_is_refused_as_not_run(
    disp: agent.Dispatcher,
) -> None:
    actions = disp.on_message(L1, dispatch(incarnation="i0"), NOW)
    assert not runs(actions)
    assert failure(actions, L1).outcome is errors.Outcome.NOT_RUN


def test_deadline_in_the_queue_is_not_run_and_frees_nothing_else(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(1), NOW)
    disp.on_message(L1, dispatch(2, timeout_ms=100), NOW)
    actions = disp.on_tick(datetime.timedelta(seconds=1))
    fail = failure(actions, L1)
    assert (fail.id, fail.outcome) == (2, errors.Outcome.NOT_RUN)
    assert not runs(disp.on_runner("u1", events.GotEnd(), NOW))


def test_deadline_while_running_is_unknown_and_frees_the_slot(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(1, timeout_ms=100), NOW)
    actions = disp.on_tick(datetime.timedelta(seconds=1))
    assert failure(actions, L1).outcome is errors.Outcome.UNKNOWN
    assert events.Abort("u1") in actions


def test_cancel_in_the_queue_means_it_never_runs(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(1), NOW)
    disp.on_message(L1, dispatch(2), NOW)
    disp.on_message(L1, wire.Cancel(id=ids.StreamId(2)), NOW)
    assert not runs(disp.on_runner("u1", events.GotEnd(), NOW))


def test_cancel_while_running_frees_the_slot_for_the_next(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(1), NOW)
    disp.on_message(L1, dispatch(2), NOW)
    actions = disp.on_message(L1, wire.Cancel(id=ids.StreamId(1)), NOW)
    assert actions == [events.Abort("u1")]
    stopped = events.GotFailure(agent.failures.STOPPED)
    assert runs(disp.on_runner("u1", stopped, NOW)) == ["u2"]


def test_leaving_agent_refuses_new_work_and_finishes_the_old(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(1), NOW)
    disp.set_leaving("an operator says so")
    fail = failure(disp.on_message(L1, dispatch(2), NOW), L1)
    assert fail.kind is errors.FailureKind.DRAINING
    assert fail.outcome is errors.Outcome.NOT_RUN
    assert not disp.idle
    disp.on_runner("u1", events.GotEnd(), NOW)
    assert disp.idle


def test_slow_caller_bounds_what_is_sent_and_what_is_read(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(credit=2), NOW)
    actions = disp.on_runner("u1", events.GotEvents((b"a",) * 5), NOW)
    (chunk,) = [
        m for m in sent(actions, L1) if isinstance(m, wire.ResponseChunk)
    ]
    assert len(chunk.events) == 2
    assert [a for a in actions if isinstance(a, events.Resume)] == [
        events.Resume("u1", 2)
    ]
    more = wire.Credit(id=ids.StreamId(1), events=2, have=2)
    (chunk,) = sent(disp.on_message(L1, more, NOW), L1)
    assert chunk.seq == 2


def test_lost_link_resumes_from_the_last_event_that_the_entry_has(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(credit=9), NOW)
    disp.on_runner("u1", events.GotEvents((b"a", b"b", b"c")), NOW)
    disp.on_link_lost(L1, NOW)
    back = reattach(1, after=1)
    messages = sent(disp.on_message(L2, back, NOW), L2)
    assert messages[-1] == wire.ResponseChunk(
        id=ids.StreamId(7), seq=1, events=(b"b", b"c")
    )


def test_reattach_of_what_never_arrived_bars_its_late_dispatch(
    disp: agent.Dispatcher,
) -> None:
    disp.on_link(L1)
    fail = failure(disp.on_message(L2, reattach(1), NOW), L2)
    assert fail.outcome is errors.Outcome.NOT_RUN
    # The frame still sat in the dead link's buffer.
    assert not runs(disp.on_message(L1, dispatch(1), NOW))


def test_reattach_of_what_arrived_and_is_forgotten_is_not_called_not_run(
    disp: agent.Dispatcher,
) -> None:
    disp.on_link(L1)
    disp.on_message(L1, dispatch(1), NOW)
    disp.on_runner("u1", events.GotEnd(), NOW)
    disp.on_tick(dispatcher_lib.LINGER + datetime.timedelta(seconds=1))
    fail = failure(disp.on_message(L2, reattach(1), NOW), L2)
    assert fail.outcome is errors.Outcome.UNKNOWN


def test_reattach_over_a_link_of_which_nothing_is_known_is_unknown(
    disp: agent.Dispatcher,
) -> None:
    fail = failure(disp.on_message(L2, reattach(1), NOW), L2)
    assert fail.outcome is errors.Outcome.UNKNOWN


def test_nobody_coming_back_frees_the_slot(disp: agent.Dispatcher) -> None:
    disp.on_message(L1, dispatch(1, timeout_ms=99_000), NOW)
    disp.on_link_lost(L1, NOW)
    late = dispatcher_lib.LINGER + datetime.timedelta(seconds=1)
    assert disp.on_tick(late) == [events.Abort("u1")]


def test_repeat_under_a_key_gets_the_same_answer_and_runs_once(
    disp: agent.Dispatcher,
) -> None:
    run_keyed(disp, 1)
    disp.on_runner("u1", events.GotEvents((b"receipt",)), NOW)
    actions = disp.on_message(L2, dispatch(2, once_key="k"), NOW)
    assert not runs(actions)
    last = sent(disp.on_runner("u1", events.GotEnd(), NOW), L2)
    assert last == [wire.ResponseEnd(id=ids.StreamId(2), events=1)]
    again = sent(disp.on_message(L1, dispatch(3, once_key="k"), NOW), L1)
    assert wire.ResponseEnd(id=ids.StreamId(3), events=1) in again


def test_key_with_another_body_is_refused(disp: agent.Dispatcher) -> None:
    disp.on_message(L1, dispatch(1, once_key="k"), NOW)
    other = dispatch(2, once_key="k", body=b"other")
    fail = failure(disp.on_message(L1, other, NOW), L1)
    assert fail.kind is errors.FailureKind.IDEMPOTENCY_KEY_REUSED


def test_key_of_a_request_that_did_not_run_is_free_again(
    disp: agent.Dispatcher,
) -> None:
    run_keyed(disp, 1)
    refused = dataclasses.replace(
        agent.failures.STOPPED, outcome=errors.Outcome.NOT_RUN
    )
    disp.on_runner("u1", events.GotFailure(refused), NOW)
    run_keyed(disp, 2)


def test_caller_that_hangs_up_does_not_stop_what_may_run_only_once(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(1, once_key="k", credit=0), NOW)
    disp.on_ruling("u1", WON, NOW)
    disp.on_runner("u1", events.GotEvents((b"a", b"b")), NOW)
    actions = disp.on_message(L1, wire.Cancel(id=ids.StreamId(1)), NOW)
    assert actions == [events.Resume("u1", 2)]
    actions = disp.on_runner("u1", events.GotEvents((b"c",)), NOW)
    assert actions == [events.Resume("u1", 1)]


@pytest.mark.parametrize(
    ("verdict", "kind", "outcome"),
    [
        ("taken", "key-elsewhere", "unknown"),
        ("taken-before-restart", "key-lost", "unknown"),
        ("other-body", "key-reused", "not-run"),
        ("log-away", "once-unavailable", "not-run"),
    ],
)
def test_keyed_request_without_the_claim_never_runs(
    disp: agent.Dispatcher, verdict: str, kind: str, outcome: str
) -> None:
    actions = disp.on_message(L1, dispatch(1, once_key="k"), NOW)
    assert not runs(actions)
    ruling = claims.Ruling(claims.Verdict(verdict), ids.BackendName("other"))
    actions = disp.on_ruling("u1", ruling, NOW)
    fail = failure(actions, L1)
    assert not runs(actions)
    assert (fail.kind.value, fail.outcome.value) == (kind, outcome)
    assert fail.holder == "other"
    assert not runs(disp.on_ruling("u1", WON, NOW))


def test_ruling_after_the_deadline_runs_nothing(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(1, once_key="k", timeout_ms=100), NOW)
    fail = failure(disp.on_tick(datetime.timedelta(seconds=1)), L1)
    assert fail.outcome is errors.Outcome.NOT_RUN
    assert not runs(disp.on_ruling("u1", WON, NOW))


def test_end_of_the_grace_hands_over_what_runs(
    disp: agent.Dispatcher,
) -> None:
    disp.on_message(L1, dispatch(1), NOW)
    disp.on_message(L1, dispatch(2), NOW)
    actions = disp.hand_over(NOW)
    fails = [m for m in sent(actions, L1) if isinstance(m, wire.Failure)]
    assert [(f.id, f.outcome.value) for f in fails] == [
        (1, "ran"),
        (2, "not-run"),
    ]
    assert events.Abort("u1") in actions


def test_stalled_engine_shows_in_the_load(disp: agent.Dispatcher) -> None:
    disp.on_message(L1, dispatch(1, model=True, credit=99), NOW)
    for ms in range(0, 100, 10):
        now = datetime.timedelta(milliseconds=ms)
        disp.on_runner("u1", events.GotEvents((b"t",)), now)
    assert 9 < disp.load().step_ms < 11
    disp.on_tick(datetime.timedelta(milliseconds=590))
    assert disp.load().step_ms >= 500


def test_keys_are_refused_rather_than_forgotten_when_there_are_too_many(
    disp: agent.Dispatcher,
) -> None:
    disp.once = agent.OnceRecord(max_keys=1)
    disp.on_message(L1, dispatch(1, once_key="k1"), NOW)
    fail = failure(disp.on_message(L1, dispatch(2, once_key="k2"), NOW), L1)
    assert fail.kind is errors.FailureKind.IDEMPOTENCY_UNAVAILABLE


def test_oldest_answers_go_first_and_their_keys_are_not_run_again(
    disp: agent.Dispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    answers = kept.KeptAnswers(most_bytes=10)
    monkeypatch.setattr(disp, "_kept", answers)
    for num in (1, 2):
        run_keyed(disp, num, key=f"k{num}")
        disp.on_runner(f"u{num}", events.GotEvents((b"x" * 8,)), NOW)
        disp.on_runner(f"u{num}", events.GotEnd(), NOW)
    disp.on_tick(dispatcher_lib.LINGER + datetime.timedelta(seconds=1))
    assert answers.get("u1") is None
    assert answers.get("u2") is not None
    gone = failure(disp.on_message(L2, dispatch(3, once_key="k1"), NOW), L2)
    assert (gone.kind.value, gone.outcome.value) == ("key-lost", "ran")


class DispatcherMachine(stateful.RuleBasedStateMachine):
    """Any order of dispatch, answer, loss, repeat, cancel and time.

    The naive model sees everything: which bytes each runner made, what
    was sent to whom, and how often each key ran.
    """

    def __init__(self) -> None:
        super().__init__()
        self.disp = new_dispatcher(capacity=2)
        self.clock = clock_lib.ManualClock()
        for link in (L1, L2):
            self.disp.on_link(link)
        self.count = 0
        self.running: dict[str, wire.Dispatch] = {}
        self.made: dict[str, list[bytes]] = {}
        self.key_runs: dict[str, int] = {}
        self.uid_of: dict[tuple[int, int], str] = {}
        self.got: dict[tuple[int, int], list[bytes]] = {}
        self.skipped: dict[tuple[int, int], int] = {}
        self.ran: set[str] = set()
        self.sent_on: dict[str, int] = {}
        self.claiming: list[str] = []
        self.done: set[tuple[int, int]] = set()

    def act(self, actions: list[events.Action]) -> None:
        for action in actions:
            if isinstance(action, events.Run):
                uid = action.dispatch.uid
                assert uid not in self.ran, "ran twice"
                self.ran.add(uid)
                self.running[uid] = action.dispatch
                self.made[uid] = []
                key = action.dispatch.once_key
                if key:
                    self.key_runs[key] = self.key_runs.get(key, 0) + 1
            elif isinstance(action, events.AskClaim):
                self.claiming.append(action.dispatch.uid)
            elif isinstance(action, events.Send):
                self.check(action.link.num, action.msg)

    def check(self, link: int, msg: wire.Message) -> None:
        if isinstance(msg, wire.AgentLoad):
            return
        assert not isinstance(msg, wire.Leaving)
        place = (link, msg.id)
        assert place not in self.done, "something after the end"
        uid = self.uid_of[place]
        if isinstance(msg, wire.ResponseChunk):
            have = self.skipped[place] + len(self.got[place])
            assert msg.seq == have, "a gap or an overlap"
            self.got[place] += msg.events
            known = self.made[uid][self.skipped[place] :]
            assert self.got[place] == known[: len(self.got[place])]
        elif isinstance(msg, wire.ResponseEnd):
            self.done.add(place)
            assert msg.events == len(self.made[uid])
            assert self.got[place] == self.made[uid][self.skipped[place] :]
        elif isinstance(msg, wire.Failure):
            self.done.add(place)
            if msg.outcome is errors.Outcome.NOT_RUN:
                assert uid not in self.ran, "false not-run"

    def now(self) -> clock_lib.Instant:
        return self.clock.monotonic()

    def send(self, link: int, msg: wire.Message) -> None:
        self.act(self.disp.on_message(agent.LinkId(link), msg, self.now()))

    @stateful.rule(
        link=st.integers(1, 2),
        key=st.sampled_from(["", "", "k1", "k2"]),
        timeout=st.sampled_from([100, 5_000]),
        credit=st.integers(0, 3),
    )
    def dispatch(self, link: int, key: str, timeout: int, credit: int) -> None:
        self.count += 1
        msg = dispatch(
            self.count, once_key=key, timeout_ms=timeout, credit=credit
        )
        place = (link, self.count)
        owner = self.owner_of(key)
        self.uid_of[place] = owner or msg.uid
        self.got[place] = []
        self.skipped[place] = 0
        self.sent_on[msg.uid] = link
        self.send(link, msg)

    def owner_of(self, key: str) -> str:
        probe = dispatch(0, once_key=key)
        if not key or self.disp.once.find(probe).value != "same":
            return ""
        return self.disp.once.uid_of(probe)

    @stateful.rule(data=st.data(), link=st.integers(1, 2))
    def reattach(self, data: st.DataObject, link: int) -> None:
        if not self.made:
            return
        uid = data.draw(st.sampled_from(sorted(self.made)))
        after = data.draw(st.integers(0, len(self.made[uid])))
        self.count += 1
        place = (link, self.count)
        self.uid_of[place] = uid
        self.got[place] = []
        self.skipped[place] = after
        msg = reattach(
            int(uid[1:]),
            after=after,
            id=self.count,
            link=self.sent_on[uid],
        )
        self.send(link, msg)

    @stateful.rule(data=st.data(), count=st.integers(1, 3))
    def credit(self, data: st.DataObject, count: int) -> None:
        open_ = sorted(set(self.got) - self.done)
        if not open_:
            return
        link, num = data.draw(st.sampled_from(open_))
        have = self.skipped[link, num] + len(self.got[link, num])
        self.send(
            link,
            wire.Credit(id=ids.StreamId(num), events=count, have=have),
        )

    @stateful.rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        open_ = sorted(set(self.got) - self.done)
        if open_:
            link, num = data.draw(st.sampled_from(open_))
            self.done.add((link, num))
            self.send(link, wire.Cancel(id=ids.StreamId(num)))

    @stateful.rule(data=st.data(), count=st.integers(1, 3))
    def engine_makes(self, data: st.DataObject, count: int) -> None:
        if self.running:
            uid = data.draw(st.sampled_from(sorted(self.running)))
            start = len(self.made[uid])
            fresh = [f"{uid}-{start + n}".encode() for n in range(count)]
            self.made[uid] += fresh
            event = events.GotEvents(tuple(fresh))
            self.act(self.disp.on_runner(uid, event, self.now()))

    @stateful.rule(data=st.data(), whole=st.booleans())
    def engine_ends(self, data: st.DataObject, whole: bool) -> None:
        if self.running:
            uid = data.draw(st.sampled_from(sorted(self.running)))
            del self.running[uid]
            event: events.RunnerEvent = (
                events.GotEnd(5)
                if whole
                else events.GotFailure(agent.failures.STOPPED)
            )
            self.act(self.disp.on_runner(uid, event, self.now()))

    @stateful.rule(
        data=st.data(),
        verdict=st.sampled_from(["won", "won", "taken", "log-away"]),
    )
    def rule_on_claim(self, data: st.DataObject, verdict: str) -> None:
        if self.claiming:
            uid = data.draw(st.sampled_from(self.claiming))
            self.claiming.remove(uid)
            ruling = claims.Ruling(claims.Verdict(verdict))
            self.act(self.disp.on_ruling(uid, ruling, self.now()))

    @stateful.rule(link=st.integers(1, 2))
    def lose_link(self, link: int) -> None:
        self.done |= {place for place in self.got if place[0] == link}
        self.act(self.disp.on_link_lost(agent.LinkId(link), self.now()))

    @stateful.rule(ms=st.sampled_from([50, 200, 6_000, 11_000]))
    def wait(self, ms: int) -> None:
        self.clock.advance(datetime.timedelta(milliseconds=ms))
        self.act(self.disp.on_tick(self.now()))

    @stateful.invariant()
    def keys_run_at_most_once(self) -> None:
        assert all(count == 1 for count in self.key_runs.values())

    @stateful.invariant()
    def slots_are_not_exceeded(self) -> None:
        assert len(self.running) <= 2


DispatcherMachine.TestCase.settings = hypothesis.settings(
    hypothesis.settings.get_profile("default"),
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
)
TestDispatcher = DispatcherMachine.TestCase
