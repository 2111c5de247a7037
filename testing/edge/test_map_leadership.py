# SPDX-License-Identifier: Apache-2.0
"""The leadership of expert maps: who has it, and under which number."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime

from lugcross import clock as clock_lib
from lugcross.edge import map_leadership
from lugcross import experts
from lugcross.experts import lease as lease_lib
from lugcross import platform
from lugcross.standin import store as standin

LONG_TIMEOUT = datetime.timedelta(seconds=30)


class Candidacy:
    """What a test says of the processes that could be the leader."""

    def __init__(self) -> None:
        self.is_fit = True
        self.is_first = True
        self.elsewhere = False

    def is_eligible(self) -> bool:
        return self.is_fit

    def is_first_candidate(self) -> bool:
        return self.is_first

    def lease_held_by_peer(self) -> bool:
        return self.elsewhere


class Rig:
    """Processes before one store, with time moved by hand."""

    def __init__(self, store: standin.StoreStandin, address: str) -> None:
        self.store = store
        self.clock = clock_lib.ManualClock()
        self.fenced = True
        self.notification_count = 0
        self.client = platform.StoreClient(address, timeout=LONG_TIMEOUT)

    def _changed(self) -> None:
        self.notification_count += 1

    def process(
        self, name: str
    ) -> tuple[map_leadership.MapLeadership, Candidacy]:
        candidacy = Candidacy()
        leadership = map_leadership.MapLeadership(
            experts.Lease(name, self.clock),
            self.client,
            candidacy,
            needs_fencing=lambda: self.fenced,
            on_lease_change=self._changed,
        )
        return leadership, candidacy


def run(act: Callable[[Rig], Awaitable[None]]) -> None:
    async def main() -> None:
        store = standin.StoreStandin()
        rig = Rig(store, await store.start("127.0.0.1"))
        try:
            await act(rig)
        finally:
            rig.client.close()
            store.close()

    asyncio.run(main())


async def rounds(
    leadership: map_leadership.MapLeadership, count: int = 3
) -> None:
    for _ in range(count):
        await leadership.round()


def test_process_leads_only_with_the_lease():
    async def act(rig: Rig) -> None:
        leadership, _ = rig.process("a")
        assert not leadership.is_leader()
        assert not leadership.may_send_orders(None)
        await rounds(leadership)
        assert leadership.is_leader()
        assert leadership.generation() == 1
        assert leadership.may_send_orders(experts.Generation(1))

    run(act)


def test_without_fences_the_first_leads_and_calls_nobody():
    async def act(rig: Rig) -> None:
        rig.fenced = False
        leadership, candidacy = rig.process("a")
        assert leadership.is_leader()
        assert leadership.generation() is None
        assert leadership.may_send_orders(None)
        candidacy.is_first = False
        assert not leadership.is_leader()
        assert not rig.store.called_paths

    run(act)


def test_holder_keeps_the_lease_though_it_is_no_longer_first():
    async def act(rig: Rig) -> None:
        leadership, candidacy = rig.process("a")
        await rounds(leadership)
        candidacy.is_first = False
        await rounds(leadership)
        assert leadership.is_leader()

    run(act)


def test_process_that_leaves_passes_the_lease_on_at_once():
    async def act(rig: Rig) -> None:
        old, leaving = rig.process("a")
        new, _ = rig.process("b")
        await rounds(old)
        leaving.is_fit = False
        assert not old.is_leader()
        await rounds(old)
        await rounds(new)
        assert new.generation() == 2
        assert old.generation() is None
        # Peers hear of each claim and of the release.
        assert rig.notification_count == 3

    run(act)


def test_lease_is_released_only_once_a_switch_has_ended():
    async def act(rig: Rig) -> None:
        leadership, candidacy = rig.process("a")
        await rounds(leadership)
        busy = True
        leadership.has_work_in_progress = lambda: busy
        candidacy.is_fit = False
        await rounds(leadership)
        assert leadership.may_send_orders(experts.Generation(1))
        busy = False
        await rounds(leadership)
        assert leadership.generation() is None

    run(act)


def test_refused_process_gives_no_order_until_it_has_a_new_number():
    async def act(rig: Rig) -> None:
        leadership, _ = rig.process("a")
        await rounds(leadership)
        leadership.note_fenced(experts.Generation(1))
        assert not leadership.is_leader()
        assert not leadership.may_send_orders(experts.Generation(1))
        await rounds(leadership)
        rig.clock.advance(lease_lib.TIME_TO_LIVE)
        await rounds(leadership)
        assert leadership.generation() == 2

    run(act)


def test_holder_keeps_the_leadership_while_the_store_is_busy():
    async def act(rig: Rig) -> None:
        leadership, _ = rig.process("a")
        await rounds(leadership)
        rig.store.unavailable = True
        for _ in range(5):
            rig.clock.advance(lease_lib.TIME_TO_LIVE)
            await rounds(leadership)
        assert leadership.is_leader()

    run(act)


def test_process_without_the_lease_rests_while_the_store_is_busy():
    async def act(rig: Rig) -> None:
        rig.store.unavailable = True
        leadership, _ = rig.process("a")
        for _ in range(5):
            rig.clock.advance(lease_lib.TIME_TO_LIVE)
            await rounds(leadership)
        assert not leadership.is_leader()

    run(act)


def test_malformed_record_is_replaced():
    async def act(rig: Rig) -> None:
        rig.store.append(platform.LEASES_TOPIC, "maps", b"\xff no record")
        leadership, _ = rig.process("a")
        await rounds(leadership)
        assert leadership.is_leader()

    run(act)


def test_fault_in_one_round_does_not_stop_the_loop(monkeypatch):
    monkeypatch.setattr(map_leadership, "_ROUND_INTERVAL_S", 0.0)

    async def act(rig: Rig) -> None:
        leadership, candidacy = rig.process("a")
        faults = []

        def fail() -> bool:
            faults.append(None)
            raise KeyError("a fault of our own")

        candidacy.is_eligible = fail
        loop_task = asyncio.create_task(leadership.run())
        while len(faults) < 3 and not loop_task.done():
            await asyncio.sleep(0)
        assert not loop_task.done()
        loop_task.cancel()

    run(act)


def test_process_that_the_store_turns_away_says_that_it_cannot_claim():
    async def act(rig: Rig) -> None:
        leadership, _ = rig.process("a")
        rig.store.unavailable = True
        await rounds(leadership)
        assert not leadership.store_answers()
        rig.store.unavailable = False
        rig.clock.advance(lease_lib.RETRY_DELAY)
        await rounds(leadership)
        assert leadership.store_answers()

    run(act)
