# SPDX-License-Identifier: Apache-2.0
"""A request that crashes every server and is retried at other processes.

Servers crashed one after the other, two each time the caller
retried, and each rank group was down most of the time. The process that the
retry reached knew nothing of earlier attempts: it sent the request to one
server, saw the connection break, and sent it to the next one within 2 ms. Log
of one retry at a second process::

    24.983 reaches server i-c5655f2b68 from front-didube-hall-2
    25.183 its run ends: 200 crashed
    25.185 reaches server i-23e785bdf0 from front-didube-hall-2
"""

import asyncio
from collections.abc import Coroutine
import itertools
import math
import os
import random
from typing import Any

import crash_rig
import crash_scenario
import edge_rig
import pytest
import virtual_time

CONTACT_S = edge_rig.BOUNDS.store_recovery_time.total_seconds()


#: Times of faults, from the first send: just before and after the crashes
#: that decide about the request.
FAULT_TIMES_S = (0.0, 0.15, 0.3, 1.2)


def _refused_innocents(fleet: crash_rig.Fleet) -> list[bytes]:
    return [
        one.body
        for one in fleet.answers
        if one.body != crash_scenario.CRASHING_BODY
        and b"have ended while" in one.text
    ]


def test_request_that_crashes_servers_is_stopped(monkeypatch):
    crashes = {}
    late = {}
    for case in itertools.product((1, 2), (0.2, 1.0, 3.0), (2, 4)):
        fleet = crash_scenario.run_resends(monkeypatch, *case)
        crashes[case] = len(fleet.crash_times(crash_scenario.CRASHING_BODY))
        late[case] = fleet.sends_after_third_crash(
            crash_scenario.CRASHING_BODY
        )
    assert max(crashes.values()) <= 3, crashes
    assert not any(late.values()), late


def test_requests_running_beside_it_are_not_refused(monkeypatch):
    for seed in (3, 4, 5):
        fleet = crash_scenario.run_resends(monkeypatch, seed, 1.0, 4)
        assert _refused_innocents(fleet) == []


def test_process_that_saw_it_may_be_killed_at_any_moment(monkeypatch):
    for fault_s, seed in itertools.product(FAULT_TIMES_S, (1, 2)):

        async def scenario(fleet: crash_rig.Fleet, fault_s=fault_s) -> None:
            fleet.ask("n0-0", crash_scenario.CRASHING_BODY)
            await asyncio.sleep(fault_s)
            await fleet.restart("n0-0")
            await crash_scenario.resend(fleet, 0.5, 15.0)

        fleet = crash_scenario.run(monkeypatch, scenario, seed=seed)
        assert len(fleet.crash_times(crash_scenario.CRASHING_BODY)) <= 3
        assert fleet.sends_after_third_crash(crash_scenario.CRASHING_BODY) == 0


def _kill(fleet: crash_rig.Fleet, name: str) -> Coroutine[Any, Any, None]:
    return fleet.restart(name)


async def _cut_off(fleet: crash_rig.Fleet, name: str) -> None:
    fleet.cut_off(name)


async def _cut_off_from_store(fleet: crash_rig.Fleet, name: str) -> None:
    fleet.cut_off_from_store(name)


FAULTS = (_kill, _cut_off, _cut_off_from_store)
NODE_FAULTS = list(
    itertools.product(FAULTS, ("n0-0", "n0-1", "n0-2", "n1-0", "n1-1"))
)
FAULT_PAIRS = [
    (one, two)
    for one, two in itertools.combinations(NODE_FAULTS, 2)
    if one[1] != two[1]
]
#: Every how many pairs one is tested. To test all 90 at each time, run
#: ``ENDING_MODEL=all pytest THIS-FILE``.
PAIR_STEP = 1 if os.environ.get("ENDING_MODEL") == "all" else 11
#: Pair in which a process went on sending after three crashes: two others were
#: cut off, and one of the crashes could be seen only by them. Crashes at 4.09,
#: 4.19 (unknown to the others) and 4.89; a send at 8.49.
PAIR_WITH_UNREPORTED_CRASH = 51
#: Pair in which four crashes were needed: two processes that were cut off sent
#: the request to four servers, and the others saw these crash without knowing
#: about the request. Sends of the others at 4.00, 4.10, 5.93 and, after i-3,
#: i-5, i-7 and i-9 had crashed, 12.19.
PAIR_NEEDING_FOUR_CRASHES = 66


def test_any_two_faults_at_the_moment_of_a_crash(monkeypatch):
    """Processes that are not cut off send it to three servers at most.

    One more is allowed for each process that is killed while it handles the
    request, since it cannot report the crash, and one more if processes are
    cut off: to the others the crashes there look unrelated to the request,
    which raises the threshold. Processes that are cut off must find out by
    themselves, so their own sends do not count. Counted from the third crash
    of all, including theirs, three sends of the others may be late.
    """
    for fault_s in FAULT_TIMES_S[1:3]:
        for num in sorted(
            {
                *range(0, len(FAULT_PAIRS), PAIR_STEP),
                PAIR_WITH_UNREPORTED_CRASH,
                PAIR_NEEDING_FOUR_CRASHES,
            }
        ):
            pair = FAULT_PAIRS[num]

            async def scenario(fleet, fault_s=fault_s, pair=pair) -> None:
                fleet.ask("n0-0", crash_scenario.CRASHING_BODY)
                await asyncio.sleep(fault_s)
                for fault, name in pair:
                    await fault(fleet, name)
                await crash_scenario.resend(fleet, 0.5, 10.0)

            fleet = crash_scenario.run(monkeypatch, scenario, seed=num + 1)
            cut = {name for fault, name in pair if fault is _cut_off}
            sends = [
                one
                for one in fleet.sends
                if one.body == crash_scenario.CRASHING_BODY
            ]
            others = [one for one in sends if one.node not in cut]
            killed = sum(fault is _kill for fault, _ in pair)
            unrelated = 1 if cut else 0
            assert len(others) <= 3 + killed + unrelated, pair
            late = fleet.sends_after_third_crash(
                crash_scenario.CRASHING_BODY, exclude_nodes=cut
            )
            assert late <= unrelated, pair
            crashes = fleet.crash_times(crash_scenario.CRASHING_BODY)
            since = crashes[2] + CONTACT_S if len(crashes) > 2 else math.inf
            assert sum(one.at > since for one in others) <= 3, pair


def test_process_that_was_cut_off_learns_of_it(monkeypatch):
    """While cut off it may crash three servers itself, and then no more."""

    async def scenario(fleet: crash_rig.Fleet) -> None:
        fleet.cut_off("n1-1")
        await crash_scenario.resend(fleet, 0.5, 8.0)
        fleet.reconnect("n1-1")
        await asyncio.sleep(
            edge_rig.BOUNDS.store_recovery_time.total_seconds()
        )
        before = len(fleet.sends)
        for name in fleet.nodes:
            fleet.ask(name, crash_scenario.CRASHING_BODY)
        await asyncio.sleep(1.0)
        late = [
            one
            for one in fleet.sends[before:]
            if one.body == crash_scenario.CRASHING_BODY
        ]
        assert late == []

    fleet = crash_scenario.run(monkeypatch, scenario)
    assert len(fleet.crash_times(crash_scenario.CRASHING_BODY)) <= 6


def test_copies_at_all_processes_at_once_crash_one_server_more(monkeypatch):
    """Each copy of a yet unknown request crashes one server, then one more."""

    async def scenario(fleet: crash_rig.Fleet) -> None:
        for name in fleet.nodes:
            fleet.ask(name, crash_scenario.CRASHING_BODY)
        await asyncio.sleep(1.0)
        await crash_scenario.resend(fleet, 0.5, 15.0)

    for seed in (1, 2, 3):
        fleet = crash_scenario.run(
            monkeypatch, scenario, seed=seed, attempts=4
        )
        assert (
            len(fleet.crash_times(crash_scenario.CRASHING_BODY))
            <= len(fleet.nodes) + 1
        )
        assert fleet.sends_after_third_crash(crash_scenario.CRASHING_BODY) == 0


def test_all_processes_lose_power_at_once(monkeypatch):
    async def scenario(fleet: crash_rig.Fleet) -> None:
        await crash_scenario.resend(fleet, 0.5, 8.0)
        await fleet.restart_all()
        await asyncio.sleep(crash_scenario.SETTLED_S)
        await crash_scenario.resend(fleet, 0.5, 8.0)

    for seed in (1, 2, 3):
        fleet = crash_scenario.run(monkeypatch, scenario, seed=seed)
        assert len(fleet.crash_times(crash_scenario.CRASHING_BODY)) <= 3


def test_popular_request_is_not_refused_when_all_servers_crash(monkeypatch):
    """Copies of one request run everywhere, and all servers crash at once."""
    popular = b"what many send"

    async def scenario(fleet: crash_rig.Fleet) -> None:
        for num in range(100):
            await asyncio.sleep(0.1)
            fleet.ask(fleet.rng.choice(list(fleet.nodes)), popular)
            if num == 30:
                for server in fleet.servers:
                    fleet.crash(server)
        await asyncio.sleep(2.0)

    fleet = crash_scenario.run(monkeypatch, scenario)
    assert len(fleet.crashes) == len(fleet.servers)
    assert _refused_innocents(fleet) == []
    late = [one for one in fleet.answers if one.body == popular][-5:]
    assert [one.status for one in late] == [200] * 5


@pytest.mark.parametrize(("gap_s", "most"), [(1.0, 1), (4.0, 4), (6.0, 10)])
def test_unrelated_server_crashes_get_no_request_refused(
    monkeypatch, gap_s, most
):
    for seed in (1, 2):

        async def scenario(fleet: crash_rig.Fleet) -> None:
            crashes = asyncio.create_task(fleet.crash_repeatedly(gap_s, most))
            await asyncio.sleep(25.0)
            crashes.cancel()

        fleet = crash_scenario.run(
            monkeypatch, scenario, seed=seed, attempts=4
        )
        assert len(fleet.crashes) > most
        assert _refused_innocents(fleet) == []


@pytest.mark.parametrize(
    ("refusing", "seed"),
    [
        pytest.param(0, 8, id="all-servers-accept"),
        pytest.param(5, 1, id="five-servers-refuse"),
    ],
)
def test_two_unrelated_crashes_get_no_request_refused(
    monkeypatch, refusing, seed
):
    """A request is running by chance at the first two servers that crash.

    Nobody else was at both, no other server has crashed yet, and it had run
    for about as long at each, so it is taken for the cause.
    """

    async def main() -> crash_rig.Fleet:
        random.seed(seed)
        fleet = crash_rig.Fleet(
            monkeypatch, 3, 2, servers=16, attempts=4, seed=seed
        )
        fleet.start()
        await asyncio.sleep(crash_scenario.SETTLED_S)
        for one in fleet.rng.sample(fleet.servers, refusing):
            one.refused_ratio = 1.0
        with fleet.under_load(crash_scenario.LOAD_PER_S):
            crashes = asyncio.create_task(fleet.crash_repeatedly(1.0, 1))
            await asyncio.sleep(15.0)
            crashes.cancel()
        await asyncio.sleep(2 * crash_rig.REQUEST_S)
        await fleet.stop()
        return fleet

    fleet = virtual_time.run(main())
    assert len(fleet.crashes) > 5
    assert _refused_innocents(fleet) == []
