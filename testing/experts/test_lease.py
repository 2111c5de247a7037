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
        self.kept: list[experts.LeaseRecord] = []

    def put(self, record: experts.LeaseRecord, end: int) -> bool:
        if end != self.end:
            return False
        self.end += 1
        self.newest = record
        self.kept.append(record)
        return True


@dataclasses.dataclass
class Node:
    """A process that drives its lease against a store."""

    name: str
    store: Store
    clock: clock_lib.ManualClock
    wants: bool = True
    elsewhere: bool = False

    def __post_init__(self) -> None:
        self.lease = experts.Lease(self.name, self.clock)

    def next_action(self) -> experts.LeaseAction:
        return self.lease.next_action(
            wants=self.wants, held_elsewhere=self.elsewhere
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
def new(store: Store, clock: clock_lib.ManualClock) -> Callable[[str], Node]:
    return lambda name: Node(name, store, clock)


def test_lease_that_nobody_has_is_claimed_at_once(new) -> None:
    node = new("a")
    node.settle()
    assert node.lease.held_generation == 1


def test_process_that_should_not_have_it_calls_nobody(new) -> None:
    node = new("a")
    node.wants = False
    assert node.step() is LeaseAction.NONE
    node.wants, node.elsewhere = True, True
    assert node.step() is LeaseAction.NONE


def test_lease_that_is_renewed_is_left_to_its_holder(new, clock) -> None:
    holder, other = new("a"), new("b")
    holder.settle()
    for _ in range(60):
        clock.advance(100 * MS)
        holder.settle()
        other.settle()
    assert other.lease.held_generation is None
    assert holder.lease.held_generation == 1


def test_lease_of_a_dead_holder_passes_on_after_its_time(new, clock) -> None:
    holder, other = new("a"), new("b")
    holder.settle()
    other.settle()
    assert other.lease.held_generation is None
    clock.advance(lease_lib.TIME_TO_LIVE)
    other.settle()
    assert other.lease.held_generation == 2


def test_time_to_live_runs_from_the_first_look(new, clock) -> None:
    holder, other = new("a"), new("b")
    holder.settle()
    clock.advance(10 * lease_lib.TIME_TO_LIVE)
    other.settle()
    assert other.lease.held_generation is None


def test_released_lease_passes_on_at_once(new) -> None:
    holder, other = new("a"), new("b")
    holder.settle()
    holder.wants = False
    assert holder.step() is LeaseAction.RELEASE
    assert holder.lease.held_generation is None
    other.settle()
    assert other.lease.held_generation == 2


def test_frozen_holder_learns_at_its_renewal(new, clock) -> None:
    holder, other = new("a"), new("b")
    holder.settle()
    other.settle()
    clock.advance(lease_lib.TIME_TO_LIVE)
    other.settle()
    assert holder.lease.held_generation == 1
    assert holder.step() is LeaseAction.RENEW
    holder.step()
    assert holder.lease.held_generation is None
    assert other.lease.held_generation == 2


def test_lease_is_kept_while_the_store_is_away(new, clock) -> None:
    holder = new("a")
    holder.settle()
    for _ in range(20):
        clock.advance(lease_lib.TIME_TO_LIVE)
        if holder.next_action() is not LeaseAction.NONE:
            holder.lease.note_no_answer()
    assert holder.lease.held_generation == 1


def test_store_that_does_not_answer_is_left_alone_for_a_while(
    new, clock
) -> None:
    node = new("a")
    assert node.next_action() is LeaseAction.READ
    node.lease.note_no_answer()
    assert node.next_action() is LeaseAction.NONE
    clock.advance(lease_lib.RETRY_DELAY)
    assert node.next_action() is LeaseAction.READ


def test_claim_whose_answer_was_lost_counts(new, store, clock) -> None:
    node = new("a")
    node.step()
    assert node.next_action() is LeaseAction.CLAIM
    assert store.put(
        node.lease.record_for(LeaseAction.CLAIM), node.lease.expected_end
    )
    node.lease.note_no_answer()
    clock.advance(lease_lib.RETRY_DELAY)
    node.settle()
    assert node.lease.held_generation == 1
    assert len(store.kept) == 1


def test_claim_that_comes_late_after_anothers_is_void(
    new, store, clock
) -> None:
    late, other = new("a"), new("b")
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


def test_number_that_an_engine_refused_is_never_used_again(new, clock) -> None:
    node = new("a")
    node.settle()
    node.lease.note_refused(experts.Generation(1))
    assert node.lease.held_generation is None
    node.step()
    assert node.lease.held_generation is None
    clock.advance(lease_lib.TIME_TO_LIVE)
    node.settle()
    assert node.lease.held_generation == 2


def test_number_rises_above_a_refused_one_though_the_record_is_lost(
    new, store, clock
) -> None:
    node = new("a")
    node.settle()
    node.lease.note_refused(experts.Generation(1))
    store.newest = None
    node.settle()
    assert node.lease.held_generation == 2


def test_store_is_read_again_after_a_write_without_an_answer(
    new, store, clock
) -> None:
    node = new("a")
    node.settle()
    clock.advance(lease_lib.RENEWAL_INTERVAL)
    assert node.next_action() is LeaseAction.RENEW
    node.lease.note_no_answer()
    clock.advance(lease_lib.RETRY_DELAY)
    assert node.next_action() is LeaseAction.READ


@pytest.mark.parametrize(
    ("number", "held"), [(1, 1), (2, None)], ids=["own", "higher"]
)
def test_peers_higher_number_ends_the_lease(
    new, number: int, held: int | None
) -> None:
    node = new("a")
    node.settle()
    node.lease.note_newer_generation(experts.Generation(number))
    assert node.lease.held_generation == held


@pytest.mark.parametrize("seed", range(20))
def test_no_two_processes_ever_hold_one_number(seed: int) -> None:
    """Answers are lost, writes come late, processes rest and start anew."""
    rng = random.Random(seed)
    clock, store = clock_lib.ManualClock(), Store()
    nodes = [Node(f"n{num}.0", store, clock) for num in range(3)]
    late: list[tuple[experts.LeaseRecord, int]] = []
    holders: dict[int, str] = {}
    lives = 0
    for _ in range(3000):
        clock.advance(rng.choice((10, 100, 400)) * MS)
        if late and rng.random() < 0.1:
            store.put(*late.pop(rng.randrange(len(late))))
        num = rng.randrange(len(nodes))
        node = nodes[num]
        if rng.random() < 0.01:
            lives += 1
            nodes[num] = Node(f"n{num}.{lives}", store, clock)
            continue
        node.wants = rng.random() < 0.95
        node.elsewhere = rng.random() < 0.3
        if node.lease.held_generation and rng.random() < 0.01:
            node.lease.note_refused(node.lease.held_generation)
        action = node.next_action()
        lost = rng.random() < 0.2
        if lost and action not in (LeaseAction.NONE, LeaseAction.READ):
            record, end = (
                node.lease.record_for(action),
                node.lease.expected_end,
            )
            if rng.random() < 0.5:
                store.put(record, end)
            else:
                late.append((record, end))
            node.lease.note_no_answer()
        elif not lost:
            node.step()
        if node.lease.held_generation is not None:
            first = holders.setdefault(node.lease.held_generation, node.name)
            assert first == node.name
    numbers = [one.generation for one in store.kept]
    assert numbers == sorted(numbers)
    assert len(holders) > 20
