# SPDX-License-Identifier: Apache-2.0
"""Changes come into force in time although connections say nothing.

Symptom: requests were answered as version 14 or older allows 2.3 and 2.9 s
after version 24 was accepted, 2 s being allowed.

Sequence: the store answered nobody for 5.4 s and reset nothing. It was
back, and took versions 14 to 24, while processes still waited for reads
that they had sent into the outage: six of seven until 4.8 s after its
return ("no answer within 5.5 s"). No peer had news to pass on.

Cause: a read was given the time that it may wait for news and the time of
an answer, 5.5 s together, whether or not the store had answered the last
one. What settled it: of the seven, the one whose read had been sent 3 s
earlier than the others' had version 24 1.7 s after the store's return, and
the others had it from this one 0.2 to 0.5 s later.
"""

import asyncio
import random

import fleet_rig
import virtual_time

from lugcross.edge import app
from lugcross.edge import long_poll

#: Until every process has read, registered and heard of the others, s.
SETTLE_TIME_S = 20.0
#: How long the store says nothing, in seconds.
OUTAGE_S = 5.4
#: When trouble begins after that: anywhere in the cycle of reads, s.
PHASES_S = [phase / 4 for phase in range(24)]


def _late(monkeypatch, break_store, seed: int) -> list[str]:
    """Return who goes by an older version once the store counts as sound.

    :param break_store: coroutine that ends when the store is sound again.
    """
    random.seed(seed)

    async def main() -> list[str]:
        fleet = fleet_rig.Fleet(monkeypatch, *fleet_rig.SMALL_FLEET)
        fleet.put_desired(1)
        fleet.start()
        await asyncio.sleep(SETTLE_TIME_S)
        assert fleet.nodes_behind(1) == []
        await break_store(fleet)
        fleet.put_desired(2)
        await asyncio.sleep(fleet_rig.STORE_RECOVERY_S)
        late = fleet.nodes_behind(2)
        await fleet.stop()
        return late

    return virtual_time.run(main())


def _late_by_phase(monkeypatch, break_store) -> dict[float, list[str]]:
    """Return who is late, by the phase at which trouble begins."""
    found = {}
    for phase in PHASES_S:

        async def begin(fleet: fleet_rig.Fleet, phase: float = phase) -> None:
            await asyncio.sleep(phase)
            await break_store(fleet)

        late = _late(monkeypatch, begin, seed=1)
        if late:
            found[phase] = late
    return found


def test_change_after_a_silent_outage_is_in_force_in_time(monkeypatch):
    async def outage(fleet: fleet_rig.Fleet) -> None:
        fleet.store.silent = True
        await asyncio.sleep(OUTAGE_S)
        fleet.store.silent = False

    assert _late_by_phase(monkeypatch, outage) == {}


def test_change_is_in_force_in_time_where_open_connections_went_silent(
    monkeypatch,
):
    async def silence(fleet: fleet_rig.Fleet) -> None:
        fleet.store.silence_connections()

    assert _late_by_phase(monkeypatch, silence) == {}


def test_store_that_answers_again_is_noticed_though_nothing_is_new(
    monkeypatch,
):
    """After a read without an answer none waits for news.

    Where others are answered all the while, a process whose reads had failed
    would otherwise send one that waits 20 s, and tell its peers until then
    that it cannot reach the store; it would get no lease.
    """
    random.seed(1)

    async def main() -> list[str]:
        fleet = fleet_rig.Fleet(monkeypatch, *fleet_rig.SMALL_FLEET)
        fleet.put_desired(1)
        fleet.start()
        await asyncio.sleep(SETTLE_TIME_S)
        some = [
            n
            for n in fleet.nodes.values()
            if not n.state_sync.leaves_store_to_peers()
        ][1:]
        for node in some:
            fleet.store.unreachable_hosts.add(node.store_host)
            fleet.store.silence_connections(node.store_host)
        # As long as a read of those that stand by may hang.
        await asyncio.sleep(long_poll.STANDBY_WAIT.total_seconds() + 3.0)
        assert all(node.state_sync.store_health.failing for node in some)
        fleet.store.unreachable_hosts.clear()
        # One call that still hangs, the longest rest and the next call.
        await asyncio.sleep(app.STORE_TIMEOUT.total_seconds() + 1.1)
        late = [
            node.name for node in some if node.state_sync.store_health.failing
        ]
        await fleet.stop()
        return late

    assert virtual_time.run(main()) == []
