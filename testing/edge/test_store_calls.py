# SPDX-License-Identifier: Apache-2.0
"""A fleet that is at rest asks the store little, and misses nothing."""

import asyncio
import random

import fleet_rig
import pytest
import virtual_time

#: Processes of each failure domain.
DOMAINS = (3, 3, 3, 3, 3)
#: Until every process has read, registered and heard of the others, s.
SETTLE_TIME_S = 20.0
#: How long the fleet is at rest, in seconds.
OBSERVED_S = 60.0


class _CallCounter:
    """Counts the calls to the store of a fleet."""

    def __init__(self, fleet: fleet_rig.Fleet) -> None:
        self.calls = 0
        self._call = fleet.store.standin.handle_request
        fleet.store.standin.handle_request = self._count

    def _count(self, *args):
        self.calls += 1
        return self._call(*args)


async def _settled_fleet(monkeypatch) -> fleet_rig.Fleet:
    """Return a fleet whose processes have all heard of each other."""
    fleet = fleet_rig.Fleet(monkeypatch, *DOMAINS)
    fleet.put_desired(1)
    fleet.start()
    await asyncio.sleep(SETTLE_TIME_S)
    return fleet


def _calls_at_rest(monkeypatch, *, changes: int = 0) -> int:
    """Return the calls of a fleet within a minute of few or no changes."""
    random.seed(1)

    async def main() -> int:
        fleet = await _settled_fleet(monkeypatch)
        counter = _CallCounter(fleet)
        for num in range(changes):
            fleet.put_desired(2 + num)
            await asyncio.sleep(1.0)
            assert fleet.nodes_behind(2 + num) == []
        await asyncio.sleep(OBSERVED_S - changes)
        await fleet.stop()
        return counter.calls

    return virtual_time.run(main())


def test_fleet_at_rest_makes_two_calls_in_three_seconds(monkeypatch):
    """One process reads each topic every few seconds, for all of them.

    Calls were the dearest price of fifteen processes in five domains: ten of
    them each made two every 1.1 to 1.4 s, 790 in this minute.
    """
    assert _calls_at_rest(monkeypatch) < 150


@pytest.mark.parametrize("changes", [10])
def test_each_change_wakes_one_read_in_a_domain(monkeypatch, changes: int):
    more = _calls_at_rest(monkeypatch, changes=changes)
    assert more - _calls_at_rest(monkeypatch) <= changes * len(DOMAINS)


def test_others_take_over_when_who_asks_for_all_goes_silent(monkeypatch):
    random.seed(1)

    async def main() -> None:
        fleet = await _settled_fleet(monkeypatch)
        first = min(
            fleet.nodes.values(), key=lambda node: node.state_sync.incarnation
        )
        fleet.store.silence_connections()
        fleet.cut_off(first.name)
        fleet.put_desired(2)
        await asyncio.sleep(fleet_rig.STORE_RECOVERY_S)
        late = [name for name in fleet.nodes_behind(2) if name != first.name]
        await fleet.stop()
        assert late == []

    virtual_time.run(main())
