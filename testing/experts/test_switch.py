# SPDX-License-Identifier: Apache-2.0
"""Tests of map switches: all ranks switch at the same pass.

Orders may be lost, delayed or carried out without an answer, and processes
may die or switch the same group concurrently.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import rank_simulator

from lugcross import experts

RANK_COUNT = 3
MAPS = [
    experts.ExpertMap(tuple(((num, rank),) for rank in range(RANK_COUNT)))
    for num in range(3)
]
PROCESS_COUNT = 2
#: Number of pass classes among which the process number selects. Two processes
#: of the same class may hold the same pass, and one may then release the
#: other's hold (see docs/design/0006-expert-maps.md). Therefore each process
#: here has a class of its own, and gets another one when it restarts.
PASS_CLASS_COUNT = 4
#: Random walks for each seed, and events in each walk.
WALK_COUNT = 60
EVENTS_PER_WALK_COUNT = 500

Event = tuple[Callable[["Fleet", int], None], int]


@dataclasses.dataclass
class SwitchingProcess:
    """A process that considers itself the leader.

    :param life: how often the process has restarted.
    :param epoch: the group's epoch when the switch began.
    :param unanswered_count: orders whose results the process still waits for.
    :param generation: generation of its lease, if ranks check it; the process
        may have been superseded without noticing.
    """

    index: int
    allocator: experts.SwitchNumberAllocator
    life: int = 0
    switch: experts.SwitchStateMachine | None = None
    epoch: int = 0
    unanswered_count: int = 0
    generation: int | None = None


@dataclasses.dataclass
class InFlightOrder:
    """An order that has been sent but has not reached its rank.

    :param sender: the process that waits for the result; None once it has
        timed out.
    :param life: index and life of the process that sent the order.
    """

    rank: experts.Rank
    order: experts.Order
    epoch: int
    sender: SwitchingProcess | None
    switch: experts.SwitchStateMachine | None
    life: tuple[int, int]
    generation: int | None


def _allocator_number(index: int, life: int) -> int:
    """Return an unused process number whose class was not used recently."""
    return life * PROCESS_COUNT + index


class Fleet:
    """Several processes that switch the same group, without coordination.

    Each process may begin a switch, die, or resume the switch of another
    at any time, based on reports of any age. Orders may be lost, delayed or
    repeated. Each public method is an event of a random walk; ``pick`` selects
    the process, order or rank that the event affects.

    :param fenced: whether ranks check the lease generation of orders.
    """

    def __init__(self, *, fenced: bool = False) -> None:
        self.fenced = fenced
        self.claim_count = 0
        self.group = rank_simulator.SimulatedGroup(RANK_COUNT, MAPS[0])
        self.processes = [
            SwitchingProcess(
                num, experts.SwitchNumberAllocator(_allocator_number(num, 0))
            )
            for num in range(PROCESS_COUNT)
        ]
        self.in_flight: list[InFlightOrder] = []
        self.read_reports(0)

    def _process(self, pick: int) -> SwitchingProcess:
        return self.processes[pick % PROCESS_COUNT]

    def claim(self, pick: int) -> None:
        """Claim the lease; its former holder does not notice."""
        process = self._process(pick)
        if self.fenced and process.switch is None:
            self.claim_count += 1
            process.generation = self.claim_count
            process.allocator.use_generation(
                experts.Generation(self.claim_count)
            )

    def _may_begin(self, process: SwitchingProcess) -> bool:
        lacks_lease = self.fenced and process.generation is None
        return process.switch is None and not lacks_lease

    def start(self, pick: int) -> None:
        process = self._process(pick)
        if (
            not self._may_begin(process)
            or self.last_reports[0].held_pass is not None
        ):
            return
        highest_version = max(
            report.highest_version for report in self.last_reports
        )
        self._start_switch(
            process,
            experts.SwitchStateMachine(
                rank_count=RANK_COUNT,
                version=process.allocator.next_version(highest_version),
                new_map=MAPS[pick % len(MAPS)],
                old_map=self.group.ranks[0].version_and_map[1],
                allocator=process.allocator,
                pass_at_planning=experts.PassNumber(self.group.last_pass),
            ),
        )

    def resume_switch(self, pick: int) -> None:
        process = self._process(pick)
        held_pass = self.last_reports[0].held_pass
        if not self._may_begin(process) or held_pass is None:
            return
        armed_versions = [
            report.armed_order.version
            for report in self.last_reports
            if report.armed_order
            and report.armed_order.pass_number == held_pass
        ]
        highest_version = max(
            report.highest_version for report in self.last_reports
        )
        self._start_switch(
            process,
            experts.SwitchStateMachine.resume(
                rank_count=RANK_COUNT,
                highest_version=highest_version,
                armed_version=max(armed_versions, default=None),
                held_pass=held_pass,
                old_map=self.group.ranks[0].version_and_map[1],
                allocator=process.allocator,
            ),
        )

    def _start_switch(
        self, process: SwitchingProcess, switch: experts.SwitchStateMachine
    ) -> None:
        process.epoch = self.last_reports[0].epoch
        process.unanswered_count = 0
        process.switch = switch

    def send(self, pick: int) -> None:
        process = self._process(pick)
        switch = process.switch
        if switch is None or process.unanswered_count:
            return
        if switch.phase is experts.SwitchPhase.OVER:
            process.switch = None
        elif switch.phase is experts.SwitchPhase.COPY or switch.hold_refused:
            report = self.group.report(0)
            if report.held_pass is not None:
                return
            switch.note_copied(report.last_pass)
            switch.hold_later_pass(report.last_pass)
        else:
            pending = switch.pending_orders()
            life = process.index, process.life
            process.unanswered_count = len(pending)
            self.in_flight += [
                InFlightOrder(
                    rank,
                    order,
                    process.epoch,
                    process,
                    switch,
                    life,
                    process.generation,
                )
                for rank, order in pending
            ]

    def arrive(self, pick: int) -> None:
        self._arrive(pick, answer_lost=False)

    def arrive_with_answer_lost(self, pick: int) -> None:
        self._arrive(pick, answer_lost=True)

    def _arrive(self, pick: int, *, answer_lost: bool) -> None:
        if not self.in_flight:
            return
        sent = self.in_flight.pop(pick % len(self.in_flight))
        result = self.group.execute(
            sent.rank, sent.order, sent.epoch, sent.generation
        )
        self._deliver_result(
            sent, experts.OrderResult.UNKNOWN if answer_lost else result
        )

    def time_out(self, pick: int) -> None:
        """Let a sender stop waiting; the order itself arrives later."""
        waiting = [sent for sent in self.in_flight if sent.sender is not None]
        if waiting:
            sent = waiting[pick % len(waiting)]
            self._deliver_result(sent, experts.OrderResult.UNKNOWN)
            sent.sender = None

    def _deliver_result(
        self, sent: InFlightOrder, result: experts.OrderResult
    ) -> None:
        process = sent.sender
        if process is None or process.switch is not sent.switch:
            return
        assert process.switch is not None
        process.unanswered_count -= 1
        process.switch.apply_result(sent.rank, sent.order, result)
        if result is experts.OrderResult.FENCED:
            assert process.switch.phase is experts.SwitchPhase.OVER
            process.generation = None

    def restart_process(self, pick: int) -> None:
        process = self._process(pick)
        process.switch = None
        # Orders of the life before this one are no longer in flight.
        self.in_flight = [
            sent
            for sent in self.in_flight
            if sent.life != (process.index, process.life - 1)
        ]
        process.life += 1
        process.generation = None
        process.allocator = experts.SwitchNumberAllocator(
            _allocator_number(process.index, process.life)
        )

    def finish_copying(self, pick: int) -> None:
        self.group.ranks[pick % RANK_COUNT].has_copied = True

    def read_reports(self, pick: int) -> None:
        del pick
        self.last_reports = [
            self.group.report(rank) for rank in range(RANK_COUNT)
        ]

    def begin_pass(self, pick: int) -> None:
        del pick
        self.group.begin_pass()

    def start_new_epoch(self, pick: int) -> None:
        del pick
        self.group.start_new_epoch()


#: Relative frequency of each event in a random walk.
EVENT_WEIGHTS = {
    Fleet.start: 3.0,
    Fleet.resume_switch: 1.0,
    Fleet.send: 8.0,
    Fleet.arrive: 20.0,
    Fleet.arrive_with_answer_lost: 2.0,
    Fleet.time_out: 2.0,
    Fleet.restart_process: 0.2,
    Fleet.finish_copying: 6.0,
    Fleet.read_reports: 4.0,
    Fleet.begin_pass: 4.0,
    Fleet.start_new_epoch: 0.05,
    Fleet.claim: 0.2,
}
with_and_without_fencing = pytest.mark.parametrize(
    "fenced", [False, True], ids=["unchecked", "fenced"]
)


@with_and_without_fencing
@hypothesis.settings(max_examples=60)
@hypothesis.given(
    events=st.lists(
        st.tuples(st.sampled_from(list(EVENT_WEIGHTS)), st.integers(0, 59)),
        max_size=400,
    )
)
def test_no_pass_begins_with_different_maps(
    events: list[Event], fenced: bool
) -> None:
    fleet = Fleet(fenced=fenced)
    for event, pick in events:
        event(fleet, pick)


@with_and_without_fencing
@pytest.mark.parametrize("seed", range(12))
def test_no_pass_begins_with_different_maps_in_long_walks(
    seed: int, fenced: bool
) -> None:
    """Random walks with realistic event frequencies, which complete switches.

    Each safety rule of the switch was removed in turn, to verify that the test
    then fails.
    """
    rng = random.Random(seed)
    events = list(EVENT_WEIGHTS)
    weights = list(EVENT_WEIGHTS.values())
    switched_count = 0
    for _ in range(WALK_COUNT):
        fleet = Fleet(fenced=fenced)
        for event in rng.choices(events, weights, k=EVENTS_PER_WALK_COUNT):
            event(fleet, rng.randrange(60))
        switched_count += fleet.group.ranks[0].version_and_map[0] > 0
    # Walks without any completed switch would not test the invariant.
    assert switched_count > WALK_COUNT // 10


#: Returns the result that the sender sees, given the actual result.
ResultFilter = Callable[
    [experts.Order, experts.OrderResult], experts.OrderResult
]


def keep_result(
    order: experts.Order, result: experts.OrderResult
) -> experts.OrderResult:
    del order
    return result


def advance(
    group: rank_simulator.SimulatedGroup,
    switch: experts.SwitchStateMachine,
    *,
    copied: Sequence[int] = range(RANK_COUNT),
    max_orders: int | None = None,
    result_filter: ResultFilter = keep_result,
) -> int:
    """Carry out one round of a switch.

    :param copied: ranks that finish copying.
    :param max_orders: the largest number of orders to send.
    :returns: how many orders were sent.
    """
    if switch.phase is experts.SwitchPhase.COPY or switch.hold_refused:
        for rank in copied:
            group.ranks[rank].has_copied = True
        group.begin_pass()
        switch.note_copied(experts.PassNumber(group.last_pass))
        switch.hold_later_pass(experts.PassNumber(group.last_pass))
        return 0
    pending = switch.pending_orders()[:max_orders]
    for rank, order in pending:
        result = group.execute(rank, order, group.epoch)
        switch.apply_result(rank, order, result_filter(order, result))
    return len(pending)


def run_to_end(
    group: rank_simulator.SimulatedGroup,
    switch: experts.SwitchStateMachine,
    *,
    copied: Sequence[int] = range(RANK_COUNT),
    result_filter: ResultFilter = keep_result,
) -> None:
    """Carry out a switch until it is over."""
    for _ in range(200):
        if switch.phase is experts.SwitchPhase.OVER:
            return
        advance(group, switch, copied=copied, result_filter=result_filter)
    raise AssertionError(f"still in {switch.phase}")


def assert_passes_continue(group: rank_simulator.SimulatedGroup) -> None:
    for _ in range(5):
        assert group.begin_pass()


def new_switch(version: int = 5) -> experts.SwitchStateMachine:
    return experts.SwitchStateMachine(
        rank_count=RANK_COUNT,
        version=experts.MapVersion(version),
        new_map=MAPS[1],
        old_map=MAPS[0],
        allocator=experts.SwitchNumberAllocator(1),
    )


@pytest.mark.parametrize(
    "lost_every", [0, 2, 3], ids=["none", "half", "third"]
)
def test_ranks_switch_though_answers_are_lost(lost_every: int) -> None:
    answers = itertools.count(1)

    def result_filter(
        order: experts.Order, result: experts.OrderResult
    ) -> experts.OrderResult:
        del order
        lost = lost_every and next(answers) % lost_every == 0
        return experts.OrderResult.UNKNOWN if lost else result

    group = rank_simulator.SimulatedGroup(RANK_COUNT, MAPS[0])
    switch = new_switch()
    run_to_end(group, switch, result_filter=result_filter)
    assert switch.outcome is experts.SwitchOutcome.SWITCHED
    assert_passes_continue(group)
    assert [rank.version_and_map for rank in group.ranks] == [
        (5, MAPS[1])
    ] * RANK_COUNT


def test_switch_is_rolled_back_if_one_rank_cannot_be_armed() -> None:
    group = rank_simulator.SimulatedGroup(RANK_COUNT, MAPS[0])
    switch = new_switch()
    run_to_end(group, switch, copied=range(RANK_COUNT - 1))
    assert switch.outcome is experts.SwitchOutcome.ROLLED_BACK
    assert_passes_continue(group)
    assert [rank.version_and_map[1] for rank in group.ranks] == [
        MAPS[0]
    ] * RANK_COUNT


@pytest.mark.parametrize("sent_count", range(0, 14))
def test_successor_releases_the_hold_of_a_dead_holder(sent_count: int) -> None:
    """The holder dies after it has sent ``sent_count`` orders."""
    group = rank_simulator.SimulatedGroup(RANK_COUNT, MAPS[0])
    switch = new_switch()
    left = sent_count
    while left > 0 and switch.phase is not experts.SwitchPhase.OVER:
        left -= advance(group, switch, max_orders=left)
    report = group.report(0)
    if report.held_pass is not None:
        armed_versions = [
            rank.armed_order.version
            for rank in group.ranks
            if rank.armed_order
        ]
        highest_version = max(
            group.report(rank).highest_version for rank in range(RANK_COUNT)
        )
        resumed = experts.SwitchStateMachine.resume(
            rank_count=RANK_COUNT,
            highest_version=highest_version,
            armed_version=max(armed_versions, default=None),
            held_pass=report.held_pass,
            old_map=MAPS[0],
            allocator=experts.SwitchNumberAllocator(2),
        )
        run_to_end(group, resumed)
    assert_passes_continue(group)


def test_late_orders_of_a_frozen_holder_change_nothing() -> None:
    group = rank_simulator.SimulatedGroup(RANK_COUNT, MAPS[0])
    frozen = new_switch()
    while frozen.phase is not experts.SwitchPhase.ARM:
        advance(group, frozen)
    late_orders = frozen.pending_orders()
    resumed = experts.SwitchStateMachine.resume(
        rank_count=RANK_COUNT,
        highest_version=frozen.version,
        armed_version=frozen.version,
        held_pass=frozen.target_pass,
        old_map=MAPS[0],
        allocator=experts.SwitchNumberAllocator(2),
    )
    run_to_end(group, resumed)
    for rank, order in late_orders:
        group.execute(rank, order, group.epoch)
    assert_passes_continue(group)


def test_pass_is_released_though_the_first_release_gets_no_answer() -> None:
    lost_releases: list[experts.Order] = []
    group = rank_simulator.SimulatedGroup(RANK_COUNT, MAPS[0])
    switch = new_switch()
    while switch.phase is not experts.SwitchPhase.OVER:
        pending = switch.pending_orders()
        releases = [
            order for _, order in pending if isinstance(order, experts.Release)
        ]
        if releases and len(lost_releases) < 3:
            # The release is lost before it reaches the rank.
            lost_releases += releases
            for rank, order in pending:
                switch.apply_result(rank, order, experts.OrderResult.UNKNOWN)
            continue
        advance(group, switch)
    assert len(lost_releases) == 3
    assert not group.next_pass_is_held
    assert group.begin_pass()


def test_group_that_makes_no_passes_is_not_switched() -> None:
    group = rank_simulator.SimulatedGroup(RANK_COUNT, MAPS[0])
    switch = new_switch()
    for rank, order in switch.pending_orders():
        switch.apply_result(
            rank, order, group.execute(rank, order, group.epoch)
        )
    switch.note_copied(experts.PassNumber(group.last_pass))
    assert switch.phase is experts.SwitchPhase.OVER
    assert switch.outcome is experts.SwitchOutcome.CANCELLED


def test_version_is_never_allocated_twice() -> None:
    allocator = experts.SwitchNumberAllocator(7)
    first = allocator.next_version(experts.MapVersion(0))
    assert allocator.next_version(experts.MapVersion(0)) > first


def test_switch_is_cancelled_when_its_epoch_ends() -> None:
    group = rank_simulator.SimulatedGroup(RANK_COUNT, MAPS[0])
    switch = new_switch()
    switch.note_epoch_ended()
    assert switch.phase is experts.SwitchPhase.OVER
    assert switch.outcome is experts.SwitchOutcome.CANCELLED
    assert group.begin_pass()


@pytest.mark.parametrize("last_pass", range(6))
def test_processes_of_different_classes_never_hold_the_same_pass(
    last_pass: int,
) -> None:
    passes = [
        experts.SwitchNumberAllocator(process_number).next_pass_to_hold(
            experts.PassNumber(last_pass)
        )
        for process_number in range(PASS_CLASS_COUNT)
    ]
    assert len(set(passes)) == PASS_CLASS_COUNT
    assert min(passes) > last_pass


@pytest.mark.parametrize("last_pass", range(6))
def test_consecutive_lease_holders_never_hold_the_same_pass(
    last_pass: int,
) -> None:
    passes = []
    for generation in (7, 8):
        allocator = experts.SwitchNumberAllocator(3)
        allocator.use_generation(experts.Generation(generation))
        passes.append(
            allocator.next_pass_to_hold(experts.PassNumber(last_pass))
        )
    assert len(set(passes)) == 2
    assert min(passes) == last_pass + 1


def test_superseded_holder_sends_no_further_orders() -> None:
    group = rank_simulator.SimulatedGroup(RANK_COUNT, MAPS[0])
    switch = new_switch()
    while switch.phase is not experts.SwitchPhase.ARM:
        advance(group, switch)
    for rank in range(RANK_COUNT):
        group.ranks[rank].min_generation = 2
    (rank, order), *_ = switch.pending_orders()
    result = group.execute(rank, order, group.epoch, 1)
    switch.apply_result(rank, order, result)
    assert switch.phase is experts.SwitchPhase.OVER
    assert not switch.pending_orders()
    assert not group.ranks[rank].armed_order
