# SPDX-License-Identifier: Apache-2.0
"""Claims: at most one agent runs a key, whatever the log does."""

import datetime

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from lugcross.agent import claimer as claimer_lib
from lugcross.agent import claims
from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import standin

NOW = datetime.timedelta()
KEY = claims.Claim(b"k" * 16, b"b" * 8)


def index(backend: str, life: str = "1") -> claims.ClaimIndex:
    return claims.ClaimIndex(
        ids.BackendName(backend), ids.Incarnation(f"{backend}-{life}")
    )


def batch(backend: str, life: str, *found: claims.Claim) -> claims.Batch:
    return claims.Batch(
        ids.BackendName(backend),
        ids.Incarnation(f"{backend}-{life}"),
        found,
    )


def ruled(reader: claims.ClaimIndex, claim: claims.Claim = KEY) -> str:
    ruling = reader.rule(claim)
    return ruling.verdict.value if ruling else "open"


def test_first_claim_in_the_log_counts_for_every_reader() -> None:
    readers = [index("a"), index("b"), index("a", "2")]
    for reader in readers:
        reader.apply(ids.Offset(1), batch("a", "1", KEY), NOW)
        reader.apply(ids.Offset(2), batch("b", "1", KEY), NOW)
    assert [ruled(reader) for reader in readers] == [
        "won",
        "taken",
        "taken-before-restart",
    ]


def test_claim_of_a_key_for_another_body_is_told_apart() -> None:
    reader = index("a")
    reader.apply(ids.Offset(1), batch("a", "1", KEY), NOW)
    assert ruled(reader, claims.Claim(KEY.key, b"x" * 8)) == "other-body"


def test_gap_in_the_stream_is_detected() -> None:
    with pytest.raises(errors.ReplayGapError):
        index("a").apply(ids.Offset(2), batch("a", "1", KEY), NOW)


def test_claims_are_forgotten_after_their_time_and_not_before() -> None:
    reader = index("a")
    reader.apply(ids.Offset(1), batch("b", "1", KEY), NOW)
    reader.expire(claims.KEPT)
    assert ruled(reader) == "taken"
    reader.expire(claims.KEPT + datetime.timedelta(seconds=1))
    assert ruled(reader) == "open"
    assert len(reader) == 0


def test_record_comes_back_as_it_went_and_bad_bytes_are_refused() -> None:
    one = batch("a", "1", KEY)
    assert claims.decode(claims.encode(one)) == one
    with pytest.raises(errors.ChangeError):
        claims.decode(b"\x83\x01")


class AgentModel:
    """One agent's claimer, driven by hand instead of by its threads."""

    def __init__(
        self,
        log: standin.InMemoryLog,
        clock: clock_lib.Clock,
        name: str,
        life: int,
        poll_s: float = 0.0,
    ) -> None:
        self.name = name
        self.decided: list[tuple[str, claims.Ruling]] = []
        self.claimer = claimer_lib.Claimer(
            log,
            index(name, str(life)),
            lambda uid, ruling: self.decided.append((uid, ruling)),
            backend=ids.BackendName(name),
            incarnation=ids.Incarnation(f"{name}-{life}"),
            clock=clock,
            poll_s=poll_s,
        )


def test_no_read_of_claims_waits_until_one_was_answered(
    manual_clock: clock_lib.ManualClock,
) -> None:
    # Sent into an outage, it would hang past its end, and keyed requests
    # would be refused for as long.
    log = standin.InMemoryLog()
    claimer = AgentModel(log, manual_clock, "a", 1, poll_s=9.0).claimer
    claimer.read_once()
    log.read_waits_s.clear()
    for log.down in (True, True, False, False):
        try:
            claimer.read_once()
        except errors.LogUnavailableError:
            assert log.down
    assert log.read_waits_s == [9.0, 0.0, 0.0, 9.0]


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Several agents, one log with outages and lost answers, restarts.

    A frozen agent is one whose rules are not drawn for a while.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = standin.InMemoryLog()
        self.clock = clock_lib.ManualClock()
        self.lives = {"a": 1, "b": 1, "c": 1}
        self.agents = {name: self.begin(name) for name in self.lives}
        self.count = 0
        self.asked: dict[str, claims.Claim] = {}
        self.runs: dict[bytes, set[str]] = {}

    def begin(self, name: str) -> AgentModel:
        return AgentModel(self.log, self.clock, name, self.lives[name])

    @stateful.rule(name=st.sampled_from("abc"), key=st.sampled_from(b"xy"))
    def ask(self, name: str, key: int) -> None:
        self.count += 1
        uid = f"u{self.count}"
        self.asked[uid] = claims.Claim(bytes([key]) * 16, b"b" * 8)
        self.agents[name].claimer.ask(uid, self.asked[uid])
        self.collect(name)

    @stateful.rule(name=st.sampled_from("abc"))
    def append(self, name: str) -> None:
        self.agents[name].claimer.append_once()

    @stateful.rule(name=st.sampled_from("abc"))
    def read(self, name: str) -> None:
        try:
            self.agents[name].claimer.read_once()
        except errors.LogUnavailableError:
            pass
        self.collect(name)

    @stateful.rule(name=st.sampled_from("abc"))
    def give_up(self, name: str) -> None:
        self.agents[name].claimer.give_up_once()
        self.collect(name)

    @stateful.rule(name=st.sampled_from("abc"))
    def restart(self, name: str) -> None:
        self.lives[name] += 1
        self.agents[name] = self.begin(name)

    @stateful.rule(down=st.booleans(), lost=st.integers(0, 2))
    def trouble(self, down: bool, lost: int) -> None:
        self.log.down = down
        self.log.lose_answers = lost

    @stateful.rule()
    def wait(self) -> None:
        self.clock.advance(claimer_lib.PATIENCE)

    def collect(self, name: str) -> None:
        agent = self.agents[name]
        for uid, ruling in agent.decided:
            if ruling.verdict is claims.Verdict.WON:
                life = f"{name}-{self.lives[name]}"
                self.runs.setdefault(self.asked[uid].key, set()).add(life)
        agent.decided.clear()

    @stateful.invariant()
    def one_life_of_one_agent_runs_a_key(self) -> None:
        assert all(len(lives) == 1 for lives in self.runs.values())

    def teardown(self) -> None:
        """Once all is well again, every claim is decided."""
        self.log.down = False
        self.log.lose_answers = 0
        for name, agent in self.agents.items():
            agent.claimer.read_once()
            agent.claimer.append_once()
            agent.claimer.read_once()
            self.collect(name)
            assert agent.claimer.waiting == 0
        self.one_life_of_one_agent_runs_a_key()


ClaimsMachine.TestCase.settings = hypothesis.settings(
    hypothesis.settings.get_profile("default"),
    derandomize=True,
    deadline=None,
    max_examples=400,
    stateful_step_count=30,
)
TestClaims = ClaimsMachine.TestCase


def test_claims_that_gather_during_an_append_go_in_one_record() -> None:
    log = standin.InMemoryLog()
    agent = AgentModel(log, clock_lib.ManualClock(), "a", 1)
    agent.claimer.read_once()
    for num in range(50):
        agent.claimer.ask(str(num), claims.Claim(bytes([num]) * 16, b"b"))
    agent.claimer.append_once()
    agent.claimer.read_once()
    assert log.append_count == 1
    assert len(agent.decided) == 50


def test_no_claim_is_decided_before_the_stream_was_read() -> None:
    log = standin.InMemoryLog()
    other = AgentModel(log, clock_lib.ManualClock(), "b", 1)
    other.claimer.read_once()
    other.claimer.ask("u0", KEY)
    other.claimer.append_once()
    agent = AgentModel(log, clock_lib.ManualClock(), "a", 1)
    agent.claimer.ask("u1", KEY)
    agent.claimer.append_once()
    assert agent.decided == []
    agent.claimer.read_once()
    assert agent.decided[0][1].verdict is claims.Verdict.TAKEN
