# SPDX-License-Identifier: Apache-2.0
"""Tests of the lease: no two holders share a generation, whatever calls fail.

Calls to the store may be lost, delayed, or carried out without an answer.
"""

from collections.abc import Callable
import dataclasses
import datetime
import random

import pytest

from lugcross import clock as clock_lib
from lugcross import experts
from lugcross.experts import lease as lease_lib
from lugcross import ids

LeaseAction = experts.LeaseAction
MS = datetime.timedelta(milliseconds=1)


class FakeStore:
    """The lease's key in a log with conditional appends."""

    def __init__(self) -> None:
        self.end = 0
        self.newest: experts.LeaseRecord | None = None
        #: All records that were appended, in order.
        self.written_records: list[experts.LeaseRecord] = []

    def append_if_end(
        self, record: experts.LeaseRecord, expected_end: int
    ) -> bool:
        if expected_end != self.end:
            return False
        self.end += 1
        self.newest = record
        self.written_records.append(record)
        return True


@dataclasses.dataclass
class LeaseProcess:
    """A process that drives its own lease against the store."""

    name: str
    store: FakeStore
    clock: clock_lib.ManualClock
    wants_lease: bool = True
    held_by_peer: bool = False

    def __post_init__(self) -> None:
        self.lease = experts.Lease(self.name, self.clock)

    def next_action(self) -> experts.LeaseAction:
        return self.lease.next_action(
            wants_lease=self.wants_lease, held_by_peer=self.held_by_peer
        )

    def step(self) -> experts.LeaseAction:
        """Make the call that is due now, if any; the store answers at once.

        :returns: the action that was due.
        """
        action = self.next_action()
        if action is LeaseAction.READ:
            self.lease.note_read(self.store.newest, ids.Offset(self.store.end))
        elif action is not LeaseAction.NONE:
            record = self.lease.record_for(action)
            if self.store.append_if_end(record, self.lease.expected_log_end):
                self.lease.note_written(record, ids.Offset(self.store.end))
            else:
                self.lease.note_conflict()
        return action

    def step_until_idle(self) -> None:
        while self.step() is not LeaseAction.NONE:
            pass


@pytest.fixture
def clock() -> clock_lib.ManualClock:
    return clock_lib.ManualClock()


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def new_process(
    store: FakeStore, clock: clock_lib.ManualClock
) -> Callable[[str], LeaseProcess]:
    return lambda name: LeaseProcess(name, store, clock)


def test_lease_without_a_record_is_claimed_at_once(new_process) -> None:
    process = new_process("a")
    process.step_until_idle()
    assert process.lease.held_generation == 1


def test_process_that_must_not_claim_makes_no_calls(new_process) -> None:
    process = new_process("a")
    process.wants_lease = False
    assert process.step() is LeaseAction.NONE
    process.wants_lease, process.held_by_peer = True, True
    assert process.step() is LeaseAction.NONE


def test_renewed_lease_is_not_claimed_by_others(new_process, clock) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.step_until_idle()
    for _ in range(60):
        clock.advance(100 * MS)
        holder.step_until_idle()
        other.step_until_idle()
    assert other.lease.held_generation is None
    assert holder.lease.held_generation == 1


def test_lease_of_a_dead_holder_is_claimed_after_the_time_to_live(
    new_process, clock
) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.step_until_idle()
    other.step_until_idle()
    assert other.lease.held_generation is None
    clock.advance(lease_lib.TIME_TO_LIVE)
    other.step_until_idle()
    assert other.lease.held_generation == 2


def test_time_to_live_runs_from_the_first_read(new_process, clock) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.step_until_idle()
    clock.advance(10 * lease_lib.TIME_TO_LIVE)
    other.step_until_idle()
    assert other.lease.held_generation is None


def test_released_lease_is_claimed_at_once(new_process) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.step_until_idle()
    holder.wants_lease = False
    assert holder.step() is LeaseAction.RELEASE
    assert holder.lease.held_generation is None
    other.step_until_idle()
    assert other.lease.held_generation == 2


def test_frozen_holder_loses_the_lease_at_its_next_renewal(
    new_process, clock
) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.step_until_idle()
    other.step_until_idle()
    clock.advance(lease_lib.TIME_TO_LIVE)
    other.step_until_idle()
    assert holder.lease.held_generation == 1
    assert holder.step() is LeaseAction.RENEW
    holder.step()
    assert holder.lease.held_generation is None
    assert other.lease.held_generation == 2


def test_holder_keeps_the_lease_while_the_store_is_unavailable(
    new_process, clock
) -> None:
    holder = new_process("a")
    holder.step_until_idle()
    for _ in range(20):
        clock.advance(lease_lib.TIME_TO_LIVE)
        if holder.next_action() is not LeaseAction.NONE:
            holder.lease.note_no_answer()
    assert holder.lease.held_generation == 1


def test_unanswered_call_is_retried_after_the_retry_delay(
    new_process, clock
) -> None:
    process = new_process("a")
    assert process.next_action() is LeaseAction.READ
    process.lease.note_no_answer()
    assert process.next_action() is LeaseAction.NONE
    clock.advance(lease_lib.RETRY_DELAY)
    assert process.next_action() is LeaseAction.READ


def test_claim_takes_effect_though_its_answer_was_lost(
    new_process, store, clock
) -> None:
    process = new_process("a")
    process.step()
    assert process.next_action() is LeaseAction.CLAIM
    assert store.append_if_end(
        process.lease.record_for(LeaseAction.CLAIM),
        process.lease.expected_log_end,
    )
    process.lease.note_no_answer()
    clock.advance(lease_lib.RETRY_DELAY)
    process.step_until_idle()
    assert process.lease.held_generation == 1
    assert len(store.written_records) == 1


def test_claim_that_reaches_the_store_after_another_fails(
    new_process, store, clock
) -> None:
    late, other = new_process("a"), new_process("b")
    late.step()
    record, end = (
        late.lease.record_for(LeaseAction.CLAIM),
        late.lease.expected_log_end,
    )
    late.lease.note_no_answer()
    other.step_until_idle()
    assert not store.append_if_end(record, end)
    clock.advance(lease_lib.RETRY_DELAY)
    late.step_until_idle()
    assert late.lease.held_generation is None
    assert other.lease.held_generation == 1


def test_generation_that_an_engine_refused_is_never_used_again(
    new_process, clock
) -> None:
    process = new_process("a")
    process.step_until_idle()
    process.lease.note_fenced(experts.Generation(1))
    assert process.lease.held_generation is None
    process.step()
    assert process.lease.held_generation is None
    clock.advance(lease_lib.TIME_TO_LIVE)
    process.step_until_idle()
    assert process.lease.held_generation == 2


def test_next_generation_is_above_a_refused_one_though_the_record_is_lost(
    new_process, store, clock
) -> None:
    process = new_process("a")
    process.step_until_idle()
    process.lease.note_fenced(experts.Generation(1))
    store.newest = None
    process.step_until_idle()
    assert process.lease.held_generation == 2


def test_store_is_read_again_after_a_write_without_an_answer(
    new_process, store, clock
) -> None:
    process = new_process("a")
    process.step_until_idle()
    clock.advance(lease_lib.RENEWAL_INTERVAL)
    assert process.next_action() is LeaseAction.RENEW
    process.lease.note_no_answer()
    clock.advance(lease_lib.RETRY_DELAY)
    assert process.next_action() is LeaseAction.READ


@pytest.mark.parametrize(
    ("peer_generation", "held_generation"),
    [(1, 1), (2, None)],
    ids=["own", "higher"],
)
def test_higher_generation_of_a_peer_ends_the_lease(
    new_process, peer_generation: int, held_generation: int | None
) -> None:
    process = new_process("a")
    process.step_until_idle()
    process.lease.note_newer_generation(experts.Generation(peer_generation))
    assert process.lease.held_generation == held_generation


@pytest.mark.parametrize("seed", range(20))
def test_no_two_processes_ever_hold_the_same_generation(seed: int) -> None:
    """Random walk of three processes that share a lease.

    Answers are lost, writes reach the store late, and processes restart.
    """
    rng = random.Random(seed)
    clock, store = clock_lib.ManualClock(), FakeStore()
    processes = [LeaseProcess(f"n{num}.0", store, clock) for num in range(3)]
    late_writes: list[tuple[experts.LeaseRecord, int]] = []
    holders: dict[int, str] = {}
    restart_count = 0
    for _ in range(3000):
        clock.advance(rng.choice((10, 100, 400)) * MS)
        if late_writes and rng.random() < 0.1:
            late_write = late_writes.pop(rng.randrange(len(late_writes)))
            store.append_if_end(*late_write)
        num = rng.randrange(len(processes))
        process = processes[num]
        if rng.random() < 0.01:
            restart_count += 1
            processes[num] = LeaseProcess(
                f"n{num}.{restart_count}", store, clock
            )
            continue
        process.wants_lease = rng.random() < 0.95
        process.held_by_peer = rng.random() < 0.3
        if process.lease.held_generation and rng.random() < 0.01:
            process.lease.note_fenced(process.lease.held_generation)
        action = process.next_action()
        lost = rng.random() < 0.2
        if lost and action not in (LeaseAction.NONE, LeaseAction.READ):
            record, end = (
                process.lease.record_for(action),
                process.lease.expected_log_end,
            )
            if rng.random() < 0.5:
                store.append_if_end(record, end)
            else:
                late_writes.append((record, end))
            process.lease.note_no_answer()
        elif not lost:
            process.step()
        if process.lease.held_generation is not None:
            first_holder = holders.setdefault(
                process.lease.held_generation, process.name
            )
            assert first_holder == process.name
    generations = [record.generation for record in store.written_records]
    assert generations == sorted(generations)
    assert len(holders) > 20
