# SPDX-License-Identifier: Apache-2.0
"""A request that ends each server that runs it, at processes by turns.

Servers ended one after the other, by twos at the pace at which a caller came
back, and each group of ranks stood still most of the time. Whatever process
the request came to knew nothing of its earlier tries: it sent the request to
one server, saw the connection break, and sent it to the next one within 2 ms.
The lines that settled it, of one try at a second process::

    24.983 reaches server i-c5655f2b68 from front-didube-hall-2
    25.183 its run ends: 200 crashed
    25.185 reaches server i-23e785bdf0 from front-didube-hall-2
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import itertools
import math
import os
import random
from typing import Any

import crash_rig
import edge_rig
import pytest
import virtual_time

#: Until every process has read the store and heard of the others, s.
SETTLED_S = 4.0
#: Ordinary requests a second: six in ten of all places are taken.
LOAD_PER_S = 36.0
CONTACT_S = edge_rig.BOUNDS.store_recovery_time.total_seconds()
CRASHING_BODY = b"ends who runs it"


#: Moments at which faults strike, in seconds from the first try: just before
#: and after the ends that decide.
FAULT_MOMENTS_S = (0.0, 0.15, 0.3, 1.2)


def _resend(
    fleet: crash_rig.Fleet, gap_s: float, seconds: float
) -> Coroutine[Any, Any, None]:
    """Let the request come to processes drawn at random."""

    async def come() -> None:
        for _ in range(int(seconds / gap_s)):
            await asyncio.sleep(gap_s * fleet.rng.uniform(0.5, 1.5))
            fleet.ask(fleet.rng.choice(list(fleet.nodes)), CRASHING_BODY)

    return come()


def _run(
    monkeypatch,
    scenario: Callable[[crash_rig.Fleet], Coroutine[Any, Any, None]],
    *,
    seed: int = 1,
    attempts: int = 2,
) -> crash_rig.Fleet:
    """Play a day in a fleet of five processes and ten servers."""

    async def main() -> crash_rig.Fleet:
        random.seed(seed)
        fleet = crash_rig.Fleet(
            monkeypatch, 3, 2, servers=10, attempts=attempts, seed=seed
        )
        fleet.crashing_bodies.add(CRASHING_BODY)
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        with fleet.under_load(LOAD_PER_S):
            await scenario(fleet)
        await asyncio.sleep(2 * crash_rig.REQUEST_S)
        await fleet.stop()
        return fleet

    return virtual_time.run(main())


def _run_resends(
    monkeypatch, seed: int, gap_s: float, attempts: int
) -> crash_rig.Fleet:
    """Let the request come again every ``gap_s`` for half a minute."""
    return _run(
        monkeypatch,
        lambda fleet: _resend(fleet, gap_s, 30.0),
        seed=seed,
        attempts=attempts,
    )


def _refused_innocents(fleet: crash_rig.Fleet) -> list[bytes]:
    return [
        one.body
        for one in fleet.answers
        if one.body != CRASHING_BODY and b"have ended while" in one.text
    ]


def test_request_that_crashes_servers_is_stopped(monkeypatch):
    crashes = {}
    late = {}
    for play in itertools.product((1, 2), (0.2, 1.0, 3.0), (2, 4)):
        fleet = _run_resends(monkeypatch, *play)
        crashes[play] = len(fleet.crash_times(CRASHING_BODY))
        late[play] = fleet.sends_after_third_crash(CRASHING_BODY)
    assert max(crashes.values()) <= 3, crashes
    assert not any(late.values()), late


def test_requests_running_beside_it_are_not_refused(monkeypatch):
    for seed in (3, 4, 5):
        fleet = _run_resends(monkeypatch, seed, 1.0, 4)
        assert _refused_innocents(fleet) == []


def test_process_that_saw_it_may_be_killed_at_any_moment(monkeypatch):
    for moment, seed in itertools.product(FAULT_MOMENTS_S, (1, 2)):

        async def scenario(fleet: crash_rig.Fleet, moment=moment) -> None:
            fleet.ask("n0-0", CRASHING_BODY)
            await asyncio.sleep(moment)
            await fleet.restart("n0-0")
            await _resend(fleet, 0.5, 15.0)

        fleet = _run(monkeypatch, scenario, seed=seed)
        assert len(fleet.crash_times(CRASHING_BODY)) <= 3
        assert fleet.sends_after_third_crash(CRASHING_BODY) == 0


def _kill(fleet: crash_rig.Fleet, name: str) -> Coroutine[Any, Any, None]:
    return fleet.restart(name)


async def _cut_off(fleet: crash_rig.Fleet, name: str) -> None:
    fleet.cut_off(name)


async def _turn_away(fleet: crash_rig.Fleet, name: str) -> None:
    fleet.cut_off_from_store(name)


FAULTS = (_kill, _cut_off, _turn_away)
NODE_FAULTS = list(
    itertools.product(FAULTS, ("n0-0", "n0-1", "n0-2", "n1-0", "n1-1"))
)
FAULT_PAIRS = [
    (one, two)
    for one, two in itertools.combinations(NODE_FAULTS, 2)
    if one[1] != two[1]
]
#: How many placings are left out between two where not all are played; all
#: 90 at each moment: ``ENDING_MODEL=all pytest THIS-FILE``.
PAIR_STEP = 1 if os.environ.get("ENDING_MODEL") == "all" else 11
#: Placing in which a process went on after the third end of all: two others
#: were cut off, and one of the three had ended behind the cut. Ends at 4.09,
#: 4.19 (told to nobody outside) and 4.89; a send at 8.49.
PAIR_WITH_UNREPORTED_CRASH = 51
#: Placing in which four were needed: behind two cuts the request ended four
#: servers that those outside saw end without it. Sends of those outside at
#: 4.00, 4.10, 5.93 and, with i-3, i-5, i-7 and i-9 ended besides, 12.19.
PAIR_NEEDING_FOUR_CRASHES = 66


def test_any_two_faults_at_the_moment_of_a_crash(monkeypatch):
    """Whoever is not cut off sends it to no more than three servers.

    A process that is cut off finds out by itself, and one that is killed
    while it runs the request cannot tell whose end that was. What ends
    behind a cut is seen outside as servers that end at large, so that one
    more is needed; counted with all that ended there, three sends may be late.
    """
    for moment in FAULT_MOMENTS_S[1:3]:
        for num in sorted(
            {
                *range(0, len(FAULT_PAIRS), PAIR_STEP),
                PAIR_WITH_UNREPORTED_CRASH,
                PAIR_NEEDING_FOUR_CRASHES,
            }
        ):
            pair = FAULT_PAIRS[num]

            async def scenario(fleet, moment=moment, pair=pair) -> None:
                fleet.ask("n0-0", CRASHING_BODY)
                await asyncio.sleep(moment)
                for fault, name in pair:
                    await fault(fleet, name)
                await _resend(fleet, 0.5, 10.0)

            fleet = _run(monkeypatch, scenario, seed=num + 1)
            cut = {name for fault, name in pair if fault is _cut_off}
            sends = [one for one in fleet.sends if one.body == CRASHING_BODY]
            others = [one for one in sends if one.node not in cut]
            killed = sum(fault is _kill for fault, _ in pair)
            at_large = 1 if cut else 0
            assert len(others) <= 3 + killed + at_large, pair
            late = fleet.sends_after_third_crash(CRASHING_BODY, leave_out=cut)
            assert late <= at_large, pair
            ends = fleet.crash_times(CRASHING_BODY)
            since = ends[2] + CONTACT_S if len(ends) > 2 else math.inf
            assert sum(one.at > since for one in others) <= 3, pair


def test_process_that_was_cut_off_learns_of_it(monkeypatch):
    """Cut off it ends as many as one that knows nothing, and then no more."""

    async def scenario(fleet: crash_rig.Fleet) -> None:
        fleet.cut_off("n1-1")
        await _resend(fleet, 0.5, 8.0)
        fleet.reconnect("n1-1")
        await asyncio.sleep(
            edge_rig.BOUNDS.store_recovery_time.total_seconds()
        )
        before = len(fleet.sends)
        for name in fleet.nodes:
            fleet.ask(name, CRASHING_BODY)
        await asyncio.sleep(1.0)
        late = [
            one for one in fleet.sends[before:] if one.body == CRASHING_BODY
        ]
        assert late == []

    fleet = _run(monkeypatch, scenario)
    assert len(fleet.crash_times(CRASHING_BODY)) <= 6


def test_copies_at_all_processes_at_once_crash_one_server_more(monkeypatch):
    """What nobody has heard of ends a server each; then one for all."""

    async def scenario(fleet: crash_rig.Fleet) -> None:
        for name in fleet.nodes:
            fleet.ask(name, CRASHING_BODY)
        await asyncio.sleep(1.0)
        await _resend(fleet, 0.5, 15.0)

    for seed in (1, 2, 3):
        fleet = _run(monkeypatch, scenario, seed=seed, attempts=4)
        assert len(fleet.crash_times(CRASHING_BODY)) <= len(fleet.nodes) + 1
        assert fleet.sends_after_third_crash(CRASHING_BODY) == 0


def test_all_processes_lose_power_at_once(monkeypatch):
    async def scenario(fleet: crash_rig.Fleet) -> None:
        await _resend(fleet, 0.5, 8.0)
        await fleet.restart_all()
        await asyncio.sleep(SETTLED_S)
        await _resend(fleet, 0.5, 8.0)

    for seed in (1, 2, 3):
        fleet = _run(monkeypatch, scenario, seed=seed)
        assert len(fleet.crash_times(CRASHING_BODY)) <= 3


def test_popular_request_is_not_refused_when_all_servers_crash(monkeypatch):
    """Copies of one request run everywhere, and every server ends at once."""
    popular = b"what many send"

    async def scenario(fleet: crash_rig.Fleet) -> None:
        for num in range(100):
            await asyncio.sleep(0.1)
            fleet.ask(fleet.rng.choice(list(fleet.nodes)), popular)
            if num == 30:
                for server in fleet.servers:
                    fleet.crash(server)
        await asyncio.sleep(2.0)

    fleet = _run(monkeypatch, scenario)
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

        fleet = _run(monkeypatch, scenario, seed=seed, attempts=4)
        assert len(fleet.crashes) > most
        assert _refused_innocents(fleet) == []
