# SPDX-License-Identifier: Apache-2.0
"""No process uses a removed server beyond the drain time.

Symptom: requests reached servers 2.2 s after the store had confirmed that they
were gone, 2 s being allowed, and some were lost as the servers ended.

Sequence: two of the three servers of a service left without reporting it, just
after a reader had got another answer. The reader paused until its next read,
and its peers asked it later still.

Cause: a removal that a peer passed on counted as one that may have happened
only because the store was away, although neither process had lost it, so that
the servers were still used; and the time for that ran from when each process
heard of the removal.
"""

import asyncio
import datetime
import os
import random

import edge_rig
import fleet_rig
import pytest
import virtual_time

from lugcross import desired
from lugcross import drain_times
from lugcross.edge import backends as backends_lib
from lugcross import ids
from lugcross import platform
from lugcross import positions

SETTLE_TIME_S = 8.0
DRAIN_S = edge_rig.BOUNDS.max_drain_time.total_seconds()
CHECK_INTERVAL_S = 0.02
SERVICE = ids.ServiceName("s")
SERVERS = ("i-0", "i-1", "i-2")
LEAVING = SERVERS[:2]
OUTAGE_S = 4.0

FLEETS = pytest.mark.parametrize(
    "domains",
    [
        pytest.param((2, 2, 2), id="6-processes"),
        pytest.param((10, 10, 10), id="30-processes"),
    ],
)


class _Scene:
    """A fleet with three servers of a service."""

    def __init__(self, monkeypatch, domains: tuple[int, ...], seed: int):
        random.seed(seed)
        self.fleet = fleet_rig.Fleet(monkeypatch, *domains)
        self.fleet.put_desired(1)
        for num, name in enumerate(SERVERS):
            self.write(name, edge_rig.backend_entry("s", f"10.0.0.{num}:80"))

    def write(self, name: str, entry: bytes) -> None:
        self.fleet.store.standin.append(platform.BACKENDS_TOPIC, name, entry)

    async def start(self) -> None:
        self.fleet.start()
        await asyncio.sleep(SETTLE_TIME_S)

    def remove(self, *, reported: bool) -> None:
        """Let two servers leave, with or without reporting it."""
        for name in LEAVING:
            entry = edge_rig.backend_entry(
                "s", f"10.0.0.{name[-1]}:80", state="draining"
            )
            self.write(name, entry if reported else b"")

    def users(self) -> list[str]:
        """Return the processes that may send requests to leaving servers."""
        return [
            node.name
            for node in self.fleet.nodes.values()
            if self._uses(node.edge_state.backends)
        ]

    def _uses(self, backends) -> bool:
        usable = [str(one.id) for one in backends.usable(SERVICE)]
        return bool(set(usable) & set(LEAVING))

    async def last_use_s(self) -> float:
        """Return the time from now until nobody uses the servers."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        last = 0.0
        while loop.time() - begun < 3 * DRAIN_S:
            if self.users():
                last = loop.time() - begun
            await asyncio.sleep(CHECK_INTERVAL_S)
        return last


@FLEETS
@pytest.mark.parametrize("lead_s", [0.002, 0.02, 0.1, 0.3])
@pytest.mark.parametrize(
    "reported", [False, True], ids=["unreported", "reported"]
)
def test_removed_servers_are_not_used_beyond_the_drain_time(
    monkeypatch, domains, lead_s, reported
):
    async def main() -> float:
        scene = _Scene(monkeypatch, domains, seed=1)
        await scene.start()
        # Readers pause after the answer with this entry.
        scene.write("o-1", edge_rig.backend_entry("other", "10.0.1.1:80"))
        await asyncio.sleep(lead_s)
        scene.remove(reported=reported)
        last = await scene.last_use_s()
        await scene.fleet.stop()
        return last

    # Another server is ready, so that each process stops when it hears of it.
    assert virtual_time.run(main()) < DRAIN_S / 2


@FLEETS
@pytest.mark.parametrize("lead_s", [0.02, 0.3])
def test_last_servers_are_not_used_beyond_the_drain_time(
    monkeypatch, domains, lead_s
):
    """Leaving servers are used while no other is left, but not for longer."""

    async def main() -> float:
        scene = _Scene(monkeypatch, domains, seed=1)
        await scene.start()
        scene.write("o-1", edge_rig.backend_entry("other", "10.0.1.1:80"))
        await asyncio.sleep(lead_s)
        scene.remove(reported=True)
        scene.write("i-2", b"")
        last = await scene.last_use_s()
        await scene.fleet.stop()
        return last

    assert virtual_time.run(main()) < DRAIN_S


@FLEETS
def test_servers_whose_entries_lapse_in_an_outage_are_still_used(
    monkeypatch, domains
):
    async def main() -> tuple[set[str], float]:
        scene = _Scene(monkeypatch, domains, seed=1)
        await scene.start()
        scene.fleet.store.standin.unavailable = True
        await asyncio.sleep(OUTAGE_S)
        scene.remove(reported=False)
        scene.fleet.store.standin.unavailable = False
        users = set()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        # All have heard of it by then, and still use them.
        while loop.time() - begun < DRAIN_S / 2:
            users = set(scene.users())
            await asyncio.sleep(CHECK_INTERVAL_S)
        last = loop.time() - begun + await scene.last_use_s()
        await scene.fleet.stop()
        return users, last

    users, last = virtual_time.run(main())
    assert len(users) == sum(domains)
    assert last < DRAIN_S + OUTAGE_S


@pytest.mark.parametrize("lead_s", [0.02, 0.1])
def test_removal_is_certain_where_only_one_process_lost_the_store(
    monkeypatch, lead_s
):
    async def main() -> tuple[list[str], float]:
        scene = _Scene(monkeypatch, (2, 2, 2), seed=1)
        await scene.start()
        scene.fleet.cut_off_from_store("n0-1")
        await asyncio.sleep(OUTAGE_S)
        scene.write("o-1", edge_rig.backend_entry("other", "10.0.1.1:80"))
        await asyncio.sleep(lead_s)
        scene.remove(reported=False)
        await asyncio.sleep(DRAIN_S / 2)
        users = scene.users()
        last = DRAIN_S / 2 + await scene.last_use_s()
        await scene.fleet.stop()
        return users, last

    users, last = virtual_time.run(main())
    assert set(users) <= {"n0-1"}
    assert last < DRAIN_S


def test_many_processes_stop_using_removed_servers_in_time(monkeypatch):
    """With 400 processes it takes minutes: set ``DRAIN_TEST_PROCESSES``."""
    in_domain = int(os.environ.get("DRAIN_TEST_PROCESSES", "60")) // 3

    async def main() -> float:
        scene = _Scene(monkeypatch, (in_domain,) * 3, seed=1)
        await scene.start()
        scene.write("o-1", edge_rig.backend_entry("other", "10.0.1.1:80"))
        await asyncio.sleep(0.1)
        scene.remove(reported=False)
        last = await scene.last_use_s()
        await scene.fleet.stop()
        return last

    assert virtual_time.run(main()) < DRAIN_S


#: Latest that a reader learns of a record, after its pause between two reads,
#: and a process of it from a peer, by two checks and a slow answer.
READER_DELAY_S = 0.45
PEER_DELAY_S = 0.75
#: Peers that a record passes through until it has reached a process.
RELAY_COUNT = 2


@pytest.mark.parametrize("processes", [6, 30, 400])
@pytest.mark.parametrize("certain", [True, False], ids=["certain", "lapsed"])
def test_use_ends_in_time_however_late_each_process_hears(
    processes, certain, manual_clock
):
    """Each reader is late by its whole interval, and each peer by its own."""
    rng = random.Random(processes)
    fleet = [
        backends_lib.Backends(
            manual_clock,
            max_drain_time=lambda: edge_rig.BOUNDS.max_drain_time,
        )
        for _ in range(processes)
    ]
    for backends in fleet:
        backends.apply(
            platform.ReadResult(
                end=positions.Position(len(SERVERS)),
                records=tuple(
                    platform.KeyedRecord(
                        positions.Position(num),
                        name,
                        edge_rig.backend_entry("s", f"10.0.0.{num}:80"),
                    )
                    for num, name in enumerate(SERVERS)
                ),
            ),
            store_was_away=False,
        )
    removals = [
        platform.KeyedRecord(positions.Position(10 + num), name, b"")
        for num, name in enumerate(LEAVING)
    ]
    delays_s = [
        READER_DELAY_S + rng.randint(0, RELAY_COUNT) * PEER_DELAY_S
        for _ in fleet
    ]
    due = sorted(zip(delays_s, range(processes), strict=True))
    elapsed_s = 0.0
    while elapsed_s < DRAIN_S + READER_DELAY_S + RELAY_COUNT * PEER_DELAY_S:
        while due and due[0][0] <= elapsed_s:
            delay_s, num = due.pop(0)
            confirmation = drain_times.Confirmation(
                datetime.timedelta(seconds=delay_s), not certain
            )
            fleet[num].apply_confirmed(
                [(one, confirmation) for one in removals],
                positions.Position(12),
            )
        elapsed_s += CHECK_INTERVAL_S
        manual_clock.advance(datetime.timedelta(seconds=CHECK_INTERVAL_S))
        if elapsed_s < DRAIN_S:
            continue
        for backends in fleet:
            usable = {str(one.id) for one in backends.usable(SERVICE)}
            assert not usable & set(LEAVING)
            assert all(
                backends.has_drained(desired.BackendKey(name))
                for name in LEAVING
            )
