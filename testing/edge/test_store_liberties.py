# SPDX-License-Identifier: Apache-2.0
"""Processes are in time and right whatever the protocol lets the store do."""

import asyncio
import datetime
import random

import edge_rig
import fleet_rig
import pytest
import virtual_time

from lugcross import clock as clock_lib
from lugcross.edge import map_leadership
from lugcross import errors
from lugcross import experts
from lugcross import ids
from lugcross import platform
from lugcross.standin import store as standin

HOST = edge_rig.HOST
SETTLE_TIME_S = 8.0
FAULT_S = 3.0
MAX_CHANGE_S = edge_rig.BOUNDS.max_change_time.total_seconds()
#: Longest wait until a call that failed is repeated.
MAX_CALL_RETRY_S = 1.0
CHECK_INTERVAL_S = 0.02
TOPIC = "keyed.t"
CALL_TIMEOUT = datetime.timedelta(seconds=0.2)


async def _seconds_until_applied(fleet: fleet_rig.Fleet, version: int):
    loop = asyncio.get_running_loop()
    begun = loop.time()
    while fleet.nodes_behind(version) and loop.time() - begun < 10.0:
        await asyncio.sleep(CHECK_INTERVAL_S)
    return loop.time() - begun


@pytest.mark.parametrize(
    ("fault", "value", "lasts", "bound_s"),
    [
        pytest.param("answer_delay_s", 0.2, True, MAX_CHANGE_S, id="slow"),
        pytest.param("wakes_reads", False, True, MAX_CHANGE_S, id="not-woken"),
        pytest.param(
            "overloaded",
            True,
            False,
            MAX_CHANGE_S + MAX_CALL_RETRY_S,
            id="too-many-calls",
        ),
        pytest.param(
            "unavailable",
            True,
            False,
            MAX_CHANGE_S + MAX_CALL_RETRY_S,
            id="unavailable",
        ),
    ],
)
def test_change_is_applied_in_time(monkeypatch, fault, value, lasts, bound_s):
    """A change is written during a fault, which lasts or is over then."""

    async def main() -> float:
        random.seed(1)
        fleet = fleet_rig.Fleet(monkeypatch, *fleet_rig.SMALL_FLEET)
        store = fleet.store.standin
        fleet.put_desired(1)
        fleet.start()
        await asyncio.sleep(SETTLE_TIME_S)
        usual = getattr(store, fault)
        setattr(store, fault, value)
        await asyncio.sleep(FAULT_S)
        fleet.put_desired(2)
        if not lasts:
            setattr(store, fault, usual)
        delay_s = await _seconds_until_applied(fleet, 2)
        await fleet.stop()
        return delay_s

    assert virtual_time.run(main()) <= bound_s


def _run_with_store(action):
    async def main():
        store = standin.StoreStandin()
        client = platform.StoreClient(
            await store.start(HOST), timeout=CALL_TIMEOUT
        )
        try:
            return await action(store, client)
        finally:
            client.close()
            store.close()

    return asyncio.run(main())


def test_outcome_of_an_append_without_an_answer_is_unknown():
    async def action(store, client):
        store.lost_appends = 1
        with pytest.raises(errors.AppendUnknownError):
            await client.append_if_end(TOPIC, "a", b"1", ids.Offset(0))
        # It has been done, so that its condition holds no more.
        with pytest.raises(errors.AppendConflictError):
            await client.append_if_end(TOPIC, "a", b"2", ids.Offset(0))
        result = await client.read_newest(TOPIC)
        return [one.value for one in result.records]

    assert _run_with_store(action) == [b"1"]


def test_late_append_is_done_only_if_its_condition_still_holds():
    async def action(store, client):
        store.lost_appends, store.late_append_s = 1, 0.3
        with pytest.raises(errors.AppendUnknownError):
            await client.append_if_end(TOPIC, "a", b"1", ids.Offset(0))
        await client.append_if_end(TOPIC, "a", b"2", ids.Offset(0))
        await asyncio.sleep(store.late_append_s)
        result = await client.read_newest(TOPIC)
        return [one.value for one in result.records], result.end

    assert _run_with_store(action) == ([b"2"], 1)


class _Candidacy:
    """A process that may always lead."""

    def is_eligible(self) -> bool:
        return True

    def is_first_candidate(self) -> bool:
        return True

    def lease_held_by_peer(self) -> bool:
        return False


def _leadership(name, client, clock) -> map_leadership.MapLeadership:
    return map_leadership.MapLeadership(
        experts.Lease(name, clock),
        client,
        _Candidacy(),
        needs_fencing=lambda: True,
        on_lease_change=lambda: None,
    )


@pytest.mark.parametrize("late_s", [0.0, 0.5], ids=["done", "done-late"])
def test_two_processes_never_lead_after_a_claim_without_an_answer(late_s):
    """The first claim gets no answer; a second process claims meanwhile."""

    async def action(store, client):
        clock = clock_lib.ManualClock()
        one = _leadership("a", client, clock)
        two = _leadership("b", client, clock)
        store.lost_appends, store.late_append_s = 1, late_s
        for _ in range(8):
            for process in (one, two):
                await process.round()
                assert not (one.is_leader() and two.is_leader())
            clock.advance(datetime.timedelta(seconds=1))
            await asyncio.sleep(0.1)
        assert one.is_leader() or two.is_leader()

    _run_with_store(action)
