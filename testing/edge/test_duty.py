# SPDX-License-Identifier: Apache-2.0
"""The duty of expert maps: who has it, and under which number."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime

from lugcross import clock as clock_lib
from lugcross.edge import duty as duty_lib
from lugcross import experts
from lugcross.experts import lease as lease_lib
from lugcross import platform
from lugcross.standin import store as standin

LONG = datetime.timedelta(seconds=30)


class Claimants:
    """What a test says of the processes that could have the duty."""

    def __init__(self) -> None:
        self.is_fit = True
        self.is_first = True
        self.elsewhere = False

    def fit(self) -> bool:
        return self.is_fit

    def first(self) -> bool:
        return self.is_first

    def held_elsewhere(self) -> bool:
        return self.elsewhere


class Rig:
    """Processes before one store, with time moved by hand."""

    def __init__(self, store: standin.StoreStandin, address: str) -> None:
        self.store = store
        self.clock = clock_lib.ManualClock()
        self.fenced = True
        self.news = 0
        self.client = platform.StoreClient(address, timeout=LONG)

    def _changed(self) -> None:
        self.news += 1

    def process(self, name: str) -> tuple[duty_lib.Duty, Claimants]:
        claimants = Claimants()
        duty = duty_lib.Duty(
            experts.Lease(name, self.clock),
            self.client,
            claimants,
            fenced=lambda: self.fenced,
            changed=self._changed,
        )
        return duty, claimants


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


async def rounds(duty: duty_lib.Duty, count: int = 3) -> None:
    for _ in range(count):
        await duty.round()


def test_duty_is_had_only_with_the_lease():
    async def act(rig: Rig) -> None:
        duty, _ = rig.process("a")
        assert not duty.mine()
        assert not duty.may_order(None)
        await rounds(duty)
        assert duty.mine()
        assert duty.generation() == 1
        assert duty.may_order(experts.Generation(1))

    run(act)


def test_without_fences_the_first_has_the_duty_and_calls_nobody():
    async def act(rig: Rig) -> None:
        rig.fenced = False
        duty, claimants = rig.process("a")
        assert duty.mine()
        assert duty.generation() is None
        assert duty.may_order(None)
        claimants.is_first = False
        assert not duty.mine()
        assert not rig.store.called_paths

    run(act)


def test_holder_keeps_the_lease_though_it_is_no_longer_first():
    async def act(rig: Rig) -> None:
        duty, claimants = rig.process("a")
        await rounds(duty)
        claimants.is_first = False
        await rounds(duty)
        assert duty.mine()

    run(act)


def test_process_that_leaves_passes_the_lease_on_at_once():
    async def act(rig: Rig) -> None:
        old, leaving = rig.process("a")
        new, _ = rig.process("b")
        await rounds(old)
        leaving.is_fit = False
        assert not old.mine()
        await rounds(old)
        await rounds(new)
        assert new.generation() == 2
        assert old.generation() is None
        # Peers hear of each claim and of the release.
        assert rig.news == 3

    run(act)


def test_lease_is_released_only_once_a_switch_has_ended():
    async def act(rig: Rig) -> None:
        duty, claimants = rig.process("a")
        await rounds(duty)
        busy = True
        duty.busy = lambda: busy
        claimants.is_fit = False
        await rounds(duty)
        assert duty.may_order(experts.Generation(1))
        busy = False
        await rounds(duty)
        assert duty.generation() is None

    run(act)


def test_refused_process_gives_no_order_until_it_has_a_new_number():
    async def act(rig: Rig) -> None:
        duty, _ = rig.process("a")
        await rounds(duty)
        duty.refused(experts.Generation(1))
        assert not duty.mine()
        assert not duty.may_order(experts.Generation(1))
        await rounds(duty)
        rig.clock.advance(lease_lib.TIME_TO_LIVE)
        await rounds(duty)
        assert duty.generation() == 2

    run(act)


def test_holder_keeps_the_duty_while_the_store_is_busy():
    async def act(rig: Rig) -> None:
        duty, _ = rig.process("a")
        await rounds(duty)
        rig.store.unavailable = True
        for _ in range(5):
            rig.clock.advance(lease_lib.TIME_TO_LIVE)
            await rounds(duty)
        assert duty.mine()

    run(act)


def test_process_without_the_lease_rests_while_the_store_is_busy():
    async def act(rig: Rig) -> None:
        rig.store.unavailable = True
        duty, _ = rig.process("a")
        for _ in range(5):
            rig.clock.advance(lease_lib.TIME_TO_LIVE)
            await rounds(duty)
        assert not duty.mine()

    run(act)


def test_malformed_record_is_replaced():
    async def act(rig: Rig) -> None:
        rig.store.append(platform.LEASES_TOPIC, "maps", b"\xff no record")
        duty, _ = rig.process("a")
        await rounds(duty)
        assert duty.mine()

    run(act)


def test_fault_in_one_round_does_not_end_the_looking(monkeypatch):
    monkeypatch.setattr(duty_lib, "_ROUND_S", 0.0)

    async def act(rig: Rig) -> None:
        duty, claimants = rig.process("a")
        faults = []

        def fail() -> bool:
            faults.append(None)
            raise KeyError("a fault of our own")

        claimants.fit = fail
        looking = asyncio.create_task(duty.run())
        while len(faults) < 3 and not looking.done():
            await asyncio.sleep(0)
        assert not looking.done()
        looking.cancel()

    run(act)


def test_process_that_the_store_turns_away_says_that_it_cannot_claim():
    async def act(rig: Rig) -> None:
        duty, _ = rig.process("a")
        rig.store.unavailable = True
        await rounds(duty)
        assert not duty.can_claim()
        rig.store.unavailable = False
        rig.clock.advance(lease_lib.RETRY_AFTER)
        await rounds(duty)
        assert duty.can_claim()

    run(act)
