# SPDX-License-Identifier: Apache-2.0
"""One lease has one holder, whatever becomes of calls to the store."""

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


class Store:
    """One key of a log with conditional writes."""

    def __init__(self) -> None:
        self.end = 0
        self.newest: experts.LeaseRecord | None = None
        #: Every record that was kept, in order.
        self.written_records: list[experts.LeaseRecord] = []

    def put(self, record: experts.LeaseRecord, end: int) -> bool:
        if end != self.end:
            return False
        self.end += 1
        self.newest = record
        self.written_records.append(record)
        return True


@dataclasses.dataclass
class LeaseProcess:
    """A process that drives its lease against a store."""

    name: str
    store: Store
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
        """Do what is to be done now; the store answers at once."""
        action = self.next_action()
        if action is LeaseAction.READ:
            self.lease.note_read(self.store.newest, ids.Offset(self.store.end))
        elif action is not LeaseAction.NONE:
            record = self.lease.record_for(action)
            if self.store.put(record, self.lease.expected_end):
                self.lease.note_written(record, ids.Offset(self.store.end))
            else:
                self.lease.note_conflict()
        return action

    def settle(self) -> None:
        while self.step() is not LeaseAction.NONE:
            pass


@pytest.fixture
def clock() -> clock_lib.ManualClock:
    return clock_lib.ManualClock()


@pytest.fixture
def store() -> Store:
    return Store()


@pytest.fixture
def new_process(
    store: Store, clock: clock_lib.ManualClock
) -> Callable[[str], LeaseProcess]:
    return lambda name: LeaseProcess(name, store, clock)


def test_lease_that_nobody_has_is_claimed_at_once(new_process) -> None:
    process = new_process("a")
    process.settle()
    assert process.lease.held_generation == 1


def test_process_that_should_not_have_it_calls_nobody(new_process) -> None:
    process = new_process("a")
    process.wants_lease = False
    assert process.step() is LeaseAction.NONE
    process.wants_lease, process.held_by_peer = True, True
    assert process.step() is LeaseAction.NONE


def test_lease_that_is_renewed_is_left_to_its_holder(
    new_process, clock
) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.settle()
    for _ in range(60):
        clock.advance(100 * MS)
        holder.settle()
        other.settle()
    assert other.lease.held_generation is None
    assert holder.lease.held_generation == 1


def test_lease_of_a_dead_holder_passes_on_after_its_time(
    new_process, clock
) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.settle()
    other.settle()
    assert other.lease.held_generation is None
    clock.advance(lease_lib.TIME_TO_LIVE)
    other.settle()
    assert other.lease.held_generation == 2


def test_time_to_live_runs_from_the_first_look(new_process, clock) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.settle()
    clock.advance(10 * lease_lib.TIME_TO_LIVE)
    other.settle()
    assert other.lease.held_generation is None


def test_released_lease_passes_on_at_once(new_process) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.settle()
    holder.wants_lease = False
    assert holder.step() is LeaseAction.RELEASE
    assert holder.lease.held_generation is None
    other.settle()
    assert other.lease.held_generation == 2


def test_frozen_holder_learns_at_its_renewal(new_process, clock) -> None:
    holder, other = new_process("a"), new_process("b")
    holder.settle()
    other.settle()
    clock.advance(lease_lib.TIME_TO_LIVE)
    other.settle()
    assert holder.lease.held_generation == 1
    assert holder.step() is LeaseAction.RENEW
    holder.step()
    assert holder.lease.held_generation is None
    assert other.lease.held_generation == 2


def test_lease_is_kept_while_the_store_is_away(new_process, clock) -> None:
    holder = new_process("a")
    holder.settle()
    for _ in range(20):
        clock.advance(lease_lib.TIME_TO_LIVE)
        if holder.next_action() is not LeaseAction.NONE:
            holder.lease.note_no_answer()
    assert holder.lease.held_generation == 1


def test_store_that_does_not_answer_is_left_alone_for_a_while(
    new_process, clock
) -> None:
    process = new_process("a")
    assert process.next_action() is LeaseAction.READ
    process.lease.note_no_answer()
    assert process.next_action() is LeaseAction.NONE
    clock.advance(lease_lib.RETRY_DELAY)
    assert process.next_action() is LeaseAction.READ


def test_claim_whose_answer_was_lost_counts(new_process, store, clock) -> None:
    process = new_process("a")
    process.step()
    assert process.next_action() is LeaseAction.CLAIM
    assert store.put(
        process.lease.record_for(LeaseAction.CLAIM), process.lease.expected_end
    )
    process.lease.note_no_answer()
    clock.advance(lease_lib.RETRY_DELAY)
    process.settle()
    assert process.lease.held_generation == 1
    assert len(store.written_records) == 1


def test_claim_that_comes_late_after_anothers_is_void(
    new_process, store, clock
) -> None:
    late, other = new_process("a"), new_process("b")
    late.step()
    record, end = (
        late.lease.record_for(LeaseAction.CLAIM),
        late.lease.expected_end,
    )
    late.lease.note_no_answer()
    other.settle()
    assert not store.put(record, end)
    clock.advance(lease_lib.RETRY_DELAY)
    late.settle()
    assert late.lease.held_generation is None
    assert other.lease.held_generation == 1


def test_number_that_an_engine_refused_is_never_used_again(
    new_process, clock
) -> None:
    process = new_process("a")
    process.settle()
    process.lease.note_fenced(experts.Generation(1))
    assert process.lease.held_generation is None
    process.step()
    assert process.lease.held_generation is None
    clock.advance(lease_lib.TIME_TO_LIVE)
    process.settle()
    assert process.lease.held_generation == 2


def test_number_rises_above_a_refused_one_though_the_record_is_lost(
    new_process, store, clock
) -> None:
    process = new_process("a")
    process.settle()
    process.lease.note_fenced(experts.Generation(1))
    store.newest = None
    process.settle()
    assert process.lease.held_generation == 2


def test_store_is_read_again_after_a_write_without_an_answer(
    new_process, store, clock
) -> None:
    process = new_process("a")
    process.settle()
    clock.advance(lease_lib.RENEWAL_INTERVAL)
    assert process.next_action() is LeaseAction.RENEW
    process.lease.note_no_answer()
    clock.advance(lease_lib.RETRY_DELAY)
    assert process.next_action() is LeaseAction.READ


@pytest.mark.parametrize(
    ("number", "held"), [(1, 1), (2, None)], ids=["own", "higher"]
)
def test_peers_higher_number_ends_the_lease(
    new_process, number: int, held: int | None
) -> None:
    process = new_process("a")
    process.settle()
    process.lease.note_newer_generation(experts.Generation(number))
    assert process.lease.held_generation == held


@pytest.mark.parametrize("seed", range(20))
def test_no_two_processes_ever_hold_one_number(seed: int) -> None:
    """Answers are lost, writes come late, processes rest and start anew."""
    rng = random.Random(seed)
    clock, store = clock_lib.ManualClock(), Store()
    processes = [LeaseProcess(f"n{num}.0", store, clock) for num in range(3)]
    late_writes: list[tuple[experts.LeaseRecord, int]] = []
    holders: dict[int, str] = {}
    restart_count = 0
    for _ in range(3000):
        clock.advance(rng.choice((10, 100, 400)) * MS)
        if late_writes and rng.random() < 0.1:
            store.put(*late_writes.pop(rng.randrange(len(late_writes))))
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
                process.lease.expected_end,
            )
            if rng.random() < 0.5:
                store.put(record, end)
            else:
                late_writes.append((record, end))
            process.lease.note_no_answer()
        elif not lost:
            process.step()
        if process.lease.held_generation is not None:
            first = holders.setdefault(
                process.lease.held_generation, process.name
            )
            assert first == process.name
    numbers = [one.generation for one in store.written_records]
    assert numbers == sorted(numbers)
    assert len(holders) > 20
