# SPDX-License-Identifier: Apache-2.0
"""Tests of the map manager against simulated ranks, with a manual clock."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime

import edge_rig
import pytest
import rank_simulator

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import map_manager
from lugcross.edge import rank_groups
from lugcross.edge import settings as settings_lib
from lugcross import evacuation
from lugcross import experts
from lugcross import ids
from lugcross import platform
from lugcross import positions

RANK_COUNT = 4
SERVICE = ids.ServiceName("llm")
LIMITS = experts.ExpertLimits(
    layer_set_count=1,
    expert_count=8,
    max_experts_per_rank=4,
    max_new_experts_per_map=2,
    copy_s=0.1,
    expert_time_ratio=0.8,
)
INITIAL_MAP = experts.round_robin_map(RANK_COUNT, LIMITS)
#: Uses of each expert added per call of ``run_passes``; nearly all are of the
#: first expert.
HOT_USES = (100_000, 1000, 1000, 1000, 1000, 1000, 1000, 1000)
SECOND = datetime.timedelta(seconds=1)


class SimulatedEngines:
    """Engine client for a simulated group that runs a pass every 50 ms.

    :ivar unreachable: ranks that answer neither queries nor orders.
    :ivar not_receiving: ranks that answer queries, but get no orders.
    :ivar called_ranks: rank of each query and order, in order.
    """

    def __init__(self) -> None:
        self.group = rank_simulator.SimulatedGroup(RANK_COUNT, INITIAL_MAP)
        self.uses = [0] * LIMITS.expert_count
        self.is_open = True
        self.unreachable: set[int] = set()
        self.not_receiving: set[int] = set()
        self.orders: list[experts.Order] = []
        self.called_ranks: list[int] = []
        self.generations: list[experts.Generation | None] = []

    def run_passes(self, seconds: float) -> None:
        """Run passes for some seconds, finish copies and count uses."""
        for _ in range(max(1, int(seconds / 0.05))):
            self.group.begin_pass()
        for rank in self.group.ranks:
            rank.has_copied = True
        self.uses = [
            old + new for old, new in zip(self.uses, HOT_USES, strict=True)
        ]

    def _rank(self, backend: desired.Backend) -> int:
        rank = int(backend.key)
        self.called_ranks.append(rank)
        if rank in self.unreachable:
            raise platform.EngineQueryError("silent", remedy="")
        return rank

    async def report(self, backend: desired.Backend) -> experts.RankReport:
        rank = self._rank(backend)
        report = self.group.report(rank)
        return dataclasses.replace(report, is_open=self.is_open)

    async def counts(
        self, backend: desired.Backend, limits: experts.ExpertLimits
    ) -> experts.ExpertCounts:
        self._rank(backend)
        assert limits is LIMITS
        return experts.ExpertCounts(
            experts.Epoch(self.group.epoch),
            experts.PassNumber(self.group.last_pass),
            (tuple(self.uses),),
        )

    async def held_experts(
        self, backend: desired.Backend
    ) -> experts.ExpertsBySet:
        rank = self._rank(backend)
        return self.group.ranks[rank].version_and_map[1].ranks[rank]

    async def order(
        self,
        backend: desired.Backend,
        order: experts.Order,
        epoch: experts.Epoch,
        generation: experts.Generation | None,
    ) -> experts.OrderResult:
        self.orders.append(order)
        self.generations.append(generation)
        rank = int(backend.key)
        self.called_ranks.append(rank)
        if rank in self.unreachable or rank in self.not_receiving:
            return experts.OrderResult.UNKNOWN
        return self.group.execute(rank, order, epoch, generation)


class MapLeadership:
    """Leadership that a test grants and revokes by its attributes."""

    def __init__(self) -> None:
        self.leads = True
        self.current_generation: experts.Generation | None = None
        self.refused_generations: list[experts.Generation] = []

    def is_leader(self) -> bool:
        return self.leads

    def generation(self) -> experts.Generation | None:
        return self.current_generation

    def may_send_orders(self, generation: experts.Generation | None) -> bool:
        return (
            generation == self.current_generation
            and generation not in self.refused_generations
        )

    def note_fenced(self, generation: experts.Generation) -> None:
        self.refused_generations.append(generation)
        self.leads = False


class Rig:
    """A map manager with simulated engines and a manual clock.

    :ivar notification_count: number of group state changes it has notified.
    """

    def __init__(self, cfg: settings_lib.Maps) -> None:
        self.clock = clock_lib.ManualClock()
        self.engines = SimulatedEngines()
        self.edge_state = edge_state_lib.EdgeState(
            edge_rig.settings(), clock=self.clock, rng=edge_rig.new_rng()
        )
        self.leadership = MapLeadership()
        self.notification_count = 0
        self.maps = map_manager.MapManager(
            self.edge_state,
            self.engines,
            clock=self.clock,
            sleep=self._sleep,
            leadership=self.leadership,
            allocator=experts.SwitchNumberAllocator(1),
            on_group_state_change=self._count_notification,
            node="n1",
            cfg=cfg,
        )
        self._add_service()

    def _count_notification(self) -> None:
        self.notification_count += 1

    def _add_service(self) -> None:
        engine = desired.EngineSpec(
            slots=6, kv_cache_tokens=1000, experts=LIMITS
        )
        service = desired.Service(name=SERVICE, engine=engine)
        state = desired.DesiredState(
            version=1,
            routes={},
            services={SERVICE: service},
            limits=edge_rig.LIMITS,
            workspaces_by_key={},
            keys_required=False,
        )
        self.edge_state.adopt(state, b"")
        rows = tuple(
            platform.KeyedRecord(
                ids.Offset(rank),
                str(rank),
                edge_rig.backend_entry("llm", f"10.0.0.1:{1000 + rank}"),
            )
            for rank in range(RANK_COUNT)
        )
        tail = platform.ReadResult(end=ids.Offset(RANK_COUNT), records=rows)
        self.edge_state.backends.apply(tail, store_was_away=False)

    async def _sleep(self, seconds: float) -> None:
        self.clock.advance(datetime.timedelta(seconds=seconds))
        self.engines.run_passes(seconds)
        await asyncio.sleep(0)

    async def rounds(self, count: int) -> None:
        """Run rounds one second apart, each with its switches to the end."""
        for _ in range(count):
            self.clock.advance(SECOND)
            self.engines.run_passes(1.0)
            await self.maps.round()
            await self.maps.switch_tasks.wait_idle()


def run(
    act: Callable[[Rig], Awaitable[object]],
    cfg: settings_lib.Maps | None = None,
) -> None:
    async def main() -> None:
        await act(Rig(cfg or settings_lib.Maps()))

    asyncio.run(main())


def test_hot_expert_gets_replicas_and_all_ranks_change_together():
    async def act(rig: Rig) -> None:
        await rig.rounds(5)
        used = [rank.version_and_map for rank in rig.engines.group.ranks]
        assert used[0][0] > 0
        assert used == [used[0]] * RANK_COUNT
        before = experts.round_robin_map(RANK_COUNT, LIMITS)
        assert experts.load_skew([rig.engines.uses], before) > 1.9
        assert experts.load_skew([rig.engines.uses], used[0][1]) <= 1.4
        assert sum(0 in rank[0] for rank in used[0][1].ranks) > 1

    run(act)


def test_group_in_an_evacuated_domain_is_queried_and_switched_as_before():
    """Failure: a group stalls if one of its ranks gets no orders."""

    async def act(rig: Rig) -> None:
        (domain,) = {one.domain for one in rig.edge_state.backends.all()}
        rig.edge_state.evacuations.apply(
            evacuation.Record(domain, positions.Position(1), requested=True)
        )
        await rig.rounds(5)
        assert not rig.edge_state.selection.eligible_servers(SERVICE)
        assert len(rig.edge_state.backends.usable(SERVICE)) == RANK_COUNT
        used = [rank.version_and_map for rank in rig.engines.group.ranks]
        assert used[0][0] > 0
        assert used == [used[0]] * RANK_COUNT

    run(act)


def test_process_that_is_not_leader_sends_no_orders():
    async def act(rig: Rig) -> None:
        rig.leadership.leads = False
        await rig.rounds(5)
        assert not rig.engines.orders
        assert rig.engines.group.ranks[0].version_and_map == (0, INITIAL_MAP)

    run(act)


def test_even_demand_causes_no_switch():
    async def act(rig: Rig) -> None:
        rig.engines.run_passes = lambda seconds: None
        rig.engines.uses = [0] * LIMITS.expert_count
        for _ in range(4):
            rig.engines.uses = [one + 5000 for one in rig.engines.uses]
            rig.engines.group.begin_pass()
            rig.clock.advance(SECOND)
            await rig.maps.round()
        assert not rig.engines.orders

    run(act)


@pytest.mark.parametrize(
    "backing_off",
    [(0,), (2,), (0, 1, 2, 3)],
    ids=["first", "another", "all"],
)
def test_rank_that_is_backing_off_gets_neither_queries_nor_orders(
    backing_off,
):
    async def act(rig: Rig) -> None:
        await rig.rounds(1)
        duration = 6 * SECOND
        for rank in backing_off:
            key = desired.BackendKey(str(rank))
            rig.edge_state.backoffs.start(key, duration)
        rig.engines.called_ranks.clear()
        await rig.rounds(5)
        assert not set(backing_off) & set(rig.engines.called_ranks)
        assert not rig.engines.orders
        # A backoff is no sign that the group is broken.
        assert not rig.edge_state.broken_group_servers.servers()
        # The backoff has ended.
        await rig.rounds(5)
        assert rig.engines.group.ranks[0].version_and_map != (0, INITIAL_MAP)

    run(act)


def test_least_saving_of_one_disables_switches():
    async def act(rig: Rig) -> None:
        await rig.rounds(5)
        assert not rig.engines.orders

    run(act, settings_lib.Maps(least_saving=1.0))


@pytest.mark.parametrize(
    "fields",
    [{"least_saving": 1.5}, {"least_saving": -0.1}, {"copy_ms": 0}],
    ids=["over-one", "negative", "no-time"],
)
def test_settings_out_of_range_are_rejected(fields: dict[str, float]):
    with pytest.raises(ValueError, match=next(iter(fields))):
        settings_lib.Maps(**fields)


def test_abandoned_hold_of_another_process_is_released():
    async def act(rig: Rig) -> None:
        await rig.rounds(1)
        group = rig.engines.group
        held = experts.Hold(experts.PassNumber(group.last_pass + 1))
        group.execute(0, held, group.epoch)
        assert not group.begin_pass()
        await rig.rounds(3)
        assert group.begin_pass()

    run(act)


def test_group_is_reported_broken_and_open_again():
    async def act(rig: Rig) -> None:
        await rig.rounds(2)
        assert (
            len(rig.edge_state.selection.eligible_servers(SERVICE))
            == RANK_COUNT
        )
        rig.engines.is_open = False
        before = rig.notification_count
        await rig.rounds(1)
        assert not rig.edge_state.selection.eligible_servers(SERVICE)
        assert len(rig.maps.servers_of_broken_groups()) == RANK_COUNT
        assert rig.notification_count > before
        rig.engines.is_open = True
        await rig.rounds(1)
        assert (
            len(rig.edge_state.selection.eligible_servers(SERVICE))
            == RANK_COUNT
        )

    run(act)


def test_group_of_a_crashed_rank_is_broken_until_its_next_epoch():
    """Requests went to its other ranks until these reported it as broken.

    They stood still for more than a second after the crash and reported the
    group as open meanwhile.
    """

    async def act(rig: Rig) -> None:
        await rig.rounds(2)
        tracker = rig.edge_state.crash_tracker
        tracker.on_crashed_servers(frozenset({"1"}))
        assert not rig.edge_state.selection.eligible_servers(SERVICE)
        await rig.rounds(1)
        assert len(rig.maps.servers_of_broken_groups()) == RANK_COUNT
        rig.engines.group.epoch += 1
        await rig.rounds(1)
        assert not rig.maps.servers_of_broken_groups()

    run(act)


def test_group_whose_ranks_stay_open_after_a_reported_crash_opens_again():
    """A cut of less than a second closed the group for ten minutes.

    Connections to the rank were refused, which counted as a crash. The group
    went on in the same epoch, but no request went there any more that could
    have shown that the rank was still running.
    """

    async def act(rig: Rig) -> None:
        await rig.rounds(2)
        tracker = rig.edge_state.crash_tracker
        tracker.on_crashed_servers(frozenset({"1"}))
        await rig.rounds(2)
        assert len(rig.maps.servers_of_broken_groups()) == RANK_COUNT
        await rig.rounds(2)
        assert not rig.maps.servers_of_broken_groups()

    run(act)


def test_group_is_open_again_if_its_rank_has_not_crashed_after_all():
    async def act(rig: Rig) -> None:
        await rig.rounds(2)
        tracker = rig.edge_state.crash_tracker
        tracker.on_crashed_servers(frozenset({"1"}))
        tracker.on_crashed_servers(frozenset())
        await rig.rounds(1)
        assert not rig.maps.servers_of_broken_groups()

    run(act)


def test_group_state_is_read_from_other_ranks_if_rank_0_is_unreachable():
    async def act(rig: Rig) -> None:
        await rig.rounds(1)
        rig.engines.unreachable = {0}
        rig.engines.is_open = False
        await rig.rounds(1)
        assert len(rig.maps.servers_of_broken_groups()) == RANK_COUNT
        rig.engines.is_open = True
        await rig.rounds(1)
        assert not rig.maps.servers_of_broken_groups()

    run(act)


def test_group_is_broken_only_once_all_ranks_are_unreachable():
    async def act(rig: Rig) -> None:
        await rig.rounds(2)
        rig.engines.unreachable = {0}
        for _ in range(3):
            await rig.rounds(1)
            assert not rig.maps.servers_of_broken_groups()
        rig.engines.unreachable = set(range(RANK_COUNT))
        await rig.rounds(1)
        assert len(rig.maps.servers_of_broken_groups()) == RANK_COUNT

    run(act)


def _lose_first_entry(rig: Rig, at: experts.Order | type) -> None:
    """Remove rank 0 from the list and its group at each order of type ``at``.

    The removal comes before the order itself reaches its rank.
    """
    order = rig.engines.order

    async def watched(
        backend: desired.Backend, one: experts.Order, *args: object
    ) -> experts.OrderResult:
        if isinstance(one, at):
            gone = platform.KeyedRecord(ids.Offset(50), "0", b"")
            tail = platform.ReadResult(end=ids.Offset(51), records=(gone,))
            rig.edge_state.backends.apply(tail, store_was_away=False)
            rig.edge_state.backends.forget(desired.BackendKey("0"), "test")
            group = rig.maps._groups.of_service(SERVICE)[0]
            group.servers_by_rank.pop(experts.Rank(0), None)
        return await order(backend, one, *args)

    rig.engines.order = watched


@pytest.mark.parametrize(
    "at",
    [experts.Prepare, experts.Hold, experts.Arm],
    ids=lambda at: at.__name__,
)
def test_switch_ends_if_rank_0_is_removed_from_the_list_meanwhile(
    at: type, caplog: pytest.LogCaptureFixture
):
    """A switch failed with an error when rank 0's entry was removed.

    Symptom: ``map switch failed`` with a KeyError for rank 0, in a run in
    which a failure domain was cut off from the network. Sequence: a switch is
    in progress; the entry of rank 0 lapses; the driver queries rank 0 for the
    current pass. Cause: the driver looked up rank 0 in ``servers_by_rank``
    without checking that it is there.
    """

    async def act(rig: Rig) -> None:
        _lose_first_entry(rig, at)
        await rig.rounds(5)
        assert "map switch failed" not in caplog.text
        used = [rank.version_and_map for rank in rig.engines.group.ranks]
        assert used == [used[0]] * RANK_COUNT

    run(act)


def test_report_of_an_earlier_epoch_changes_nothing():
    group = rank_groups.RankGroup("g", SERVICE, LIMITS, RANK_COUNT)
    ranks = rank_simulator.SimulatedGroup(RANK_COUNT, INITIAL_MAP)
    old = ranks.report(1)
    ranks.start_new_epoch()
    group.apply_report(ranks.report(0), SECOND)
    group.apply_report(dataclasses.replace(old, is_open=False), SECOND)
    assert group.is_open
    assert group.epoch == 2


def test_process_that_loses_the_leadership_reports_no_broken_group():
    async def act(rig: Rig) -> None:
        rig.engines.is_open = False
        await rig.rounds(2)
        rig.leadership.leads = False
        await rig.rounds(1)
        assert not rig.maps.servers_of_broken_groups()
        assert (
            len(rig.edge_state.selection.eligible_servers(SERVICE))
            == RANK_COUNT
        )

    run(act)


def test_process_whose_switch_has_failed_reports_it():
    async def act(rig: Rig) -> None:
        await rig.rounds(1)
        rig.engines.not_receiving = {2}
        group = rig.engines.group
        group.execute(
            0,
            experts.Hold(experts.PassNumber(group.last_pass + 9)),
            group.epoch,
        )
        assert not rig.maps.switch_tasks.has_failed_recently()
        await rig.rounds(3)
        assert rig.maps.switch_tasks.has_failed_recently()

    run(act)


def test_exception_in_a_round_does_not_end_the_loop():
    async def act(rig: Rig) -> None:
        rounds = []

        async def fail(backend: desired.Backend) -> experts.RankReport:
            rounds.append(backend)
            raise KeyError("a fault of our own")

        rig.engines.report = fail
        loop_task = asyncio.create_task(rig.maps.run())
        while len(rounds) < 3 * RANK_COUNT and not loop_task.done():
            await asyncio.sleep(0)
        assert not loop_task.done()
        loop_task.cancel()

    run(act)


def test_group_is_switched_later_if_a_switch_raised_an_exception():
    async def act(rig: Rig) -> None:
        order = rig.engines.order

        async def fail(*args: object) -> experts.OrderResult:
            rig.engines.order = order
            raise KeyError("a fault of our own")

        rig.engines.order = fail
        await rig.rounds(6)
        assert rig.engines.group.ranks[0].version_and_map[0] > 0

    run(act)


@pytest.mark.parametrize("epochs", [1, 2])
def test_group_in_a_new_epoch_is_switched_again(epochs: int):
    async def act(rig: Rig) -> None:
        await rig.rounds(4)
        for _ in range(epochs):
            rig.engines.group.start_new_epoch()
            assert rig.engines.group.ranks[0].version_and_map == (
                0,
                INITIAL_MAP,
            )
            await rig.rounds(3)
        assert rig.engines.group.ranks[0].version_and_map[0] > 0

    run(act)


def test_group_that_breaks_at_each_switch_is_no_longer_switched():
    """A rank crashed whenever it was ordered to prepare a map.

    The group formed again in a new epoch and got the same order in the next
    round: 60 epochs in 60 rounds, each ended by its first order.
    """

    async def act(rig: Rig) -> None:
        engines = rig.engines
        obey = engines.order

        async def order(backend, order, epoch, generation):
            if isinstance(order, experts.Prepare) and engines.is_open:
                engines.is_open = False
                engines.group.start_new_epoch()
                return experts.OrderResult.UNKNOWN
            return await obey(backend, order, epoch, generation)

        engines.order = order
        for _ in range(60):
            await rig.rounds(1)
            await rig.rounds(1)
            engines.is_open = True
        assert engines.group.epoch <= 7

    run(act)


def test_every_order_carries_the_generation_of_the_lease():
    async def act(rig: Rig) -> None:
        rig.leadership.current_generation = experts.Generation(4)
        await rig.rounds(5)
        assert rig.engines.orders
        assert set(rig.engines.generations) == {4}
        assert rig.engines.group.ranks[0].version_and_map[0] > 0

    run(act)


def test_lease_holder_sends_no_orders_after_one_was_fenced():
    async def act(rig: Rig) -> None:
        rig.leadership.current_generation = experts.Generation(4)
        for rank in rig.engines.group.ranks:
            rank.min_generation = 5
        await rig.rounds(5)
        assert rig.leadership.refused_generations
        # One round of orders, all of which were refused.
        assert len(rig.engines.orders) == RANK_COUNT
        assert rig.engines.group.ranks[0].version_and_map == (0, INITIAL_MAP)

    run(act)


def test_no_orders_are_sent_after_the_lease_is_lost_during_a_switch():
    async def act(rig: Rig) -> None:
        rig.leadership.current_generation = experts.Generation(4)
        order = rig.engines.order

        async def lose_lease(*args: object) -> experts.OrderResult:
            rig.leadership.current_generation = None
            return await order(*args)

        rig.engines.order = lose_lease
        await rig.rounds(4)
        assert len(rig.engines.orders) == RANK_COUNT
        assert rig.maps.switch_tasks.has_failed_recently()

    run(act)


#: As ``HOT_USES`` after a jump of demand: nearly all are of another expert.
JUMPED_USES = (1000, 1000, 1000, 100_000, 1000, 1000, 1000, 1000)


class JumpingDemand:
    """Gives a rig's engines demand that can jump, and a stream of events.

    :ivar reads: number of times that expert counts were read.
    :ivar uses: uses of each expert added at each call of :meth:`run_passes`.
    """

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.reads = 0
        self.uses = HOT_USES
        counts = rig.engines.counts

        async def counted(*args: object) -> experts.ExpertCounts:
            self.reads += 1
            return await counts(*args)

        rig.engines.counts = counted
        rig.engines.run_passes = self.run_passes

    def run_passes(self, seconds: float) -> None:
        for _ in range(max(1, int(seconds / 0.05))):
            self.rig.engines.group.begin_pass()
        if seconds > 0.5:
            self.finish_copies()
        self.rig.engines.uses = [
            old + new
            for old, new in zip(self.rig.engines.uses, self.uses, strict=True)
        ]

    def finish_copies(self) -> None:
        for rank in self.rig.engines.group.ranks:
            rank.has_copied = True

    def event(self, pause_ms: float) -> None:
        """Let a stream get its next event after a pause."""
        pause = datetime.timedelta(milliseconds=pause_ms)
        self.rig.clock.advance(pause)
        self.rig.edge_state.on_event_gap(desired.BackendKey("1"), pause)

    async def short_rounds(self, count: int) -> None:
        """Run rounds 0.1 s apart, with two passes before each."""
        for _ in range(count):
            self.rig.clock.advance(datetime.timedelta(seconds=0.1))
            self.run_passes(0.1)
            await self.rig.maps.round()


def test_jump_of_pass_times_triggers_two_reads_of_counts():
    async def act(rig: Rig) -> None:
        jumping_demand = JumpingDemand(rig)
        await rig.rounds(4)
        jumping_demand.event(50)
        before = jumping_demand.reads
        await jumping_demand.short_rounds(2)
        assert jumping_demand.reads == before
        jumping_demand.event(120)
        await jumping_demand.short_rounds(3)
        assert jumping_demand.reads == before + 2

    run(act, settings_lib.Maps(least_saving=1.0))


@pytest.mark.parametrize("jumps", [True, False], ids=["jump", "steady"])
def test_switch_is_cancelled_if_demand_jumps_while_ranks_copy(jumps: bool):
    async def act(rig: Rig) -> None:
        jumping_demand = JumpingDemand(rig)
        released = asyncio.Event()
        sleep = rig.maps.switch_tasks._sleep

        async def held(seconds: float) -> None:
            await released.wait()
            await sleep(seconds)

        rig.maps.switch_tasks._sleep = held
        for _ in range(4):
            rig.clock.advance(SECOND)
            jumping_demand.run_passes(0.1)
            await rig.maps.round()
        for _ in range(20):
            await asyncio.sleep(0)
        first = list(rig.engines.orders)
        assert {type(one) for one in first} == {experts.Prepare}
        if jumps:
            jumping_demand.uses = JUMPED_USES
        jumping_demand.event(50)
        jumping_demand.event(120)
        await jumping_demand.short_rounds(3)
        released.set()
        jumping_demand.finish_copies()
        await rig.maps.switch_tasks.wait_idle()
        armed = {
            one.version
            for one in rig.engines.orders
            if isinstance(one, experts.Arm)
        }
        assert bool(armed) != jumps

    run(act)


@pytest.mark.parametrize("leased", [True, False], ids=["lease", "none"])
def test_new_lease_holder_releases_a_foreign_hold_at_once(leased: bool):
    async def act(rig: Rig) -> None:
        rig.leadership.current_generation = (
            experts.Generation(4) if leased else None
        )
        group = rig.engines.group
        held = experts.Hold(experts.PassNumber(group.last_pass + 1))
        group.execute(0, held, group.epoch)
        for _ in range(3):
            rig.clock.advance(datetime.timedelta(milliseconds=50))
            await rig.maps.round()
            await rig.maps.switch_tasks.wait_idle()
        assert group.begin_pass() == leased

    run(act)


def test_new_leader_first_measures_demand_within_a_few_passes():
    async def act(rig: Rig) -> None:
        await rig.rounds(2)
        jumping_demand = JumpingDemand(rig)
        for _ in range(8):
            rig.clock.advance(datetime.timedelta(milliseconds=50))
            jumping_demand.run_passes(0.05)
            await rig.maps.round()
        assert jumping_demand.reads == 2

    run(act, settings_lib.Maps(least_saving=1.0))


def test_group_in_a_new_epoch_is_planned_for_demand_of_the_previous_one():
    async def act(rig: Rig) -> None:
        await rig.rounds(6)
        jumping_demand = JumpingDemand(rig)
        rig.engines.group.start_new_epoch()
        rig.engines.uses = [0] * LIMITS.expert_count
        before = jumping_demand.reads
        for _ in range(12):
            rig.clock.advance(datetime.timedelta(milliseconds=50))
            jumping_demand.run_passes(0.05)
            await rig.maps.round()
            await asyncio.sleep(0)
        # Prepared before a second reading gave the demand of the new epoch.
        prepared = [
            one.map
            for one in rig.engines.orders
            if isinstance(one, experts.Prepare)
        ]
        assert len(prepared) > RANK_COUNT
        assert jumping_demand.reads <= before + 2

    run(act)
