# SPDX-License-Identifier: Apache-2.0
"""Tests of the leadership for expert maps, with and without a lease."""

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


class FakeCandidacy:
    """A candidacy whose answers the test sets."""

    def __init__(self) -> None:
        self.eligible = True
        self.is_first = True
        self.held_by_peer = False

    def is_eligible(self) -> bool:
        return self.eligible

    def is_first_candidate(self) -> bool:
        return self.is_first

    def lease_held_by_peer(self) -> bool:
        return self.held_by_peer


class Rig:
    """Processes that share a store, with a manual clock."""

    def __init__(self, store: standin.StoreStandin, address: str) -> None:
        self.store = store
        self.clock = clock_lib.ManualClock()
        self.fenced = True
        self.notification_count = 0
        self.client = platform.StoreClient(address, timeout=LONG_TIMEOUT)

    def _count_notification(self) -> None:
        self.notification_count += 1

    def new_process(
        self, name: str
    ) -> tuple[map_leadership.MapLeadership, FakeCandidacy]:
        candidacy = FakeCandidacy()
        leadership = map_leadership.MapLeadership(
            experts.Lease(name, self.clock),
            self.client,
            candidacy,
            needs_fencing=lambda: self.fenced,
            on_lease_change=self._count_notification,
        )
        return leadership, candidacy


def run_with_store(act: Callable[[Rig], Awaitable[None]]) -> None:
    async def main() -> None:
        store = standin.StoreStandin()
        rig = Rig(store, await store.start("127.0.0.1"))
        try:
            await act(rig)
        finally:
            rig.client.close()
            store.close()

    asyncio.run(main())


async def run_rounds(
    leadership: map_leadership.MapLeadership, count: int = 3
) -> None:
    for _ in range(count):
        await leadership.round()


def test_process_is_leader_only_with_the_lease():
    async def act(rig: Rig) -> None:
        leadership, _ = rig.new_process("a")
        assert not leadership.is_leader()
        assert not leadership.may_send_orders(None)
        await run_rounds(leadership)
        assert leadership.is_leader()
        assert leadership.generation() == 1
        assert leadership.may_send_orders(experts.Generation(1))

    run_with_store(act)


def test_without_fencing_the_first_candidate_leads_and_makes_no_calls():
    async def act(rig: Rig) -> None:
        rig.fenced = False
        leadership, candidacy = rig.new_process("a")
        assert leadership.is_leader()
        assert leadership.generation() is None
        assert leadership.may_send_orders(None)
        candidacy.is_first = False
        assert not leadership.is_leader()
        assert not rig.store.called_paths

    run_with_store(act)


def test_holder_keeps_the_lease_when_it_is_no_longer_first():
    async def act(rig: Rig) -> None:
        leadership, candidacy = rig.new_process("a")
        await run_rounds(leadership)
        candidacy.is_first = False
        await run_rounds(leadership)
        assert leadership.is_leader()

    run_with_store(act)


def test_ineligible_holder_releases_the_lease_at_once():
    async def act(rig: Rig) -> None:
        old, old_candidacy = rig.new_process("a")
        new, _ = rig.new_process("b")
        await run_rounds(old)
        old_candidacy.eligible = False
        assert not old.is_leader()
        await run_rounds(old)
        await run_rounds(new)
        assert new.generation() == 2
        assert old.generation() is None
        # Two claims and a release.
        assert rig.notification_count == 3

    run_with_store(act)


def test_lease_is_released_only_once_a_switch_has_ended():
    async def act(rig: Rig) -> None:
        leadership, candidacy = rig.new_process("a")
        await run_rounds(leadership)
        switch_in_progress = True
        leadership.has_work_in_progress = lambda: switch_in_progress
        candidacy.eligible = False
        await run_rounds(leadership)
        assert leadership.may_send_orders(experts.Generation(1))
        switch_in_progress = False
        await run_rounds(leadership)
        assert leadership.generation() is None

    run_with_store(act)


def test_fenced_process_sends_no_orders_until_it_has_a_new_generation():
    async def act(rig: Rig) -> None:
        leadership, _ = rig.new_process("a")
        await run_rounds(leadership)
        leadership.note_fenced(experts.Generation(1))
        assert not leadership.is_leader()
        assert not leadership.may_send_orders(experts.Generation(1))
        await run_rounds(leadership)
        rig.clock.advance(lease_lib.TIME_TO_LIVE)
        await run_rounds(leadership)
        assert leadership.generation() == 2

    run_with_store(act)


def test_holder_keeps_the_leadership_while_the_store_is_unavailable():
    async def act(rig: Rig) -> None:
        leadership, _ = rig.new_process("a")
        await run_rounds(leadership)
        rig.store.unavailable = True
        for _ in range(5):
            rig.clock.advance(lease_lib.TIME_TO_LIVE)
            await run_rounds(leadership)
        assert leadership.is_leader()

    run_with_store(act)


def test_process_cannot_become_leader_while_the_store_is_unavailable():
    async def act(rig: Rig) -> None:
        rig.store.unavailable = True
        leadership, _ = rig.new_process("a")
        for _ in range(5):
            rig.clock.advance(lease_lib.TIME_TO_LIVE)
            await run_rounds(leadership)
        assert not leadership.is_leader()

    run_with_store(act)


def test_malformed_lease_record_is_replaced():
    async def act(rig: Rig) -> None:
        rig.store.append(platform.LEASES_TOPIC, "maps", b"\xff no record")
        leadership, _ = rig.new_process("a")
        await run_rounds(leadership)
        assert leadership.is_leader()

    run_with_store(act)


def test_error_in_one_round_does_not_stop_the_loop(monkeypatch):
    monkeypatch.setattr(map_leadership, "_ROUND_INTERVAL_S", 0.0)

    async def act(rig: Rig) -> None:
        leadership, candidacy = rig.new_process("a")
        failures = []

        def fail() -> bool:
            failures.append(None)
            raise KeyError("simulated error")

        candidacy.is_eligible = fail
        loop_task = asyncio.create_task(leadership.run())
        while len(failures) < 3 and not loop_task.done():
            await asyncio.sleep(0)
        assert not loop_task.done()
        loop_task.cancel()

    run_with_store(act)


def test_store_answers_tells_whether_the_last_call_succeeded():
    async def act(rig: Rig) -> None:
        leadership, _ = rig.new_process("a")
        rig.store.unavailable = True
        await run_rounds(leadership)
        assert not leadership.store_answers()
        rig.store.unavailable = False
        rig.clock.advance(lease_lib.RETRY_DELAY)
        await run_rounds(leadership)
        assert leadership.store_answers()

    run_with_store(act)
