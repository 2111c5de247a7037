# SPDX-License-Identifier: Apache-2.0
"""Cold servers of a whole fleet under load, in virtual time.

Nothing read how long a server is cold, so that all processes sent to servers
that had just started, and had nothing to do, more than these take.
"""

import asyncio
from collections.abc import Callable
import random

import cold_rig
import crash_rig
import pytest
import virtual_time

#: 37 processes, as on the smallest deployment with cold servers.
DOMAINS = (13, 12, 12)
SERVERS = 9
SETTLED_S = 4.0
#: 40 requests a second for each server, 60 while a third of them is away.
LOAD_PER_S = 360.0


def _run(
    monkeypatch,
    event: Callable[[cold_rig.Fleet], None],
    *,
    seed: int = 1,
    load_per_s: float = LOAD_PER_S,
    seconds: float = crash_rig.RESTART_S + cold_rig.COLD_S + 2.5,
) -> cold_rig.Fleet:
    """Run a fleet under load, with an event a second after its begin."""

    async def main() -> cold_rig.Fleet:
        random.seed(seed)
        fleet = cold_rig.Fleet(
            monkeypatch, *DOMAINS, servers=SERVERS, seed=seed
        )
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        with fleet.under_load(load_per_s):
            await asyncio.sleep(1.0)
            event(fleet)
            await asyncio.sleep(seconds)
        await asyncio.sleep(1.0)
        await fleet.stop()
        return fleet

    return virtual_time.run(main())


def _crash_domain(fleet: cold_rig.Fleet) -> None:
    for server in fleet.in_domain("d0"):
        fleet.crash(server)


def _crash_domain_and_cut_off(fleet: cold_rig.Fleet) -> None:
    """Cut off some processes just after they heard of the cold servers."""
    _crash_domain(fleet)
    for name in ("n0-0", "n0-1", "n1-0", "n1-1", "n2-0"):
        asyncio.get_running_loop().call_later(
            crash_rig.RESTART_S + 0.4, fleet.cut_off, name
        )


def _crash_domain_and_restart(fleet: cold_rig.Fleet) -> None:
    """Restart some processes while servers are cold."""
    _crash_domain(fleet)
    loop = asyncio.get_running_loop()
    for name in ("n0-0", "n1-1", "n2-2"):
        loop.call_later(
            crash_rig.RESTART_S + 0.5,
            lambda name=name: loop.create_task(fleet.restart(name)),
        )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "event",
    [
        pytest.param(_crash_domain, id="whole-domain"),
        pytest.param(_crash_domain_and_cut_off, id="processes-cut-off"),
        pytest.param(_crash_domain_and_restart, id="processes-restart"),
    ],
)
def test_cold_domain_gets_no_more_than_its_bound(monkeypatch, event, seed):
    fleet = _run(monkeypatch, event, seed=seed)
    most = cold_rig.most_in_window(fleet.cold)
    assert most <= cold_rig.allowed_requests()
    # The three servers are used as far as their rate allows.
    rate = cold_rig.COLD_PER_S * len(fleet.in_domain("d0"))
    assert len(fleet.cold) >= 0.5 * rate * cold_rig.COLD_S


def _chill_domain(fleet: cold_rig.Fleet) -> None:
    """Make running servers cold that nobody has expected to be."""
    for server in fleet.in_domain("d0"):
        fleet.chill(server)


def _chill_without_store(fleet: cold_rig.Fleet) -> None:
    """Make servers cold while only their answers can say so."""
    fleet.store.silent = True
    fleet.tells_entries = False
    _chill_domain(fleet)


def _chill_again_and_again(fleet: cold_rig.Fleet) -> None:
    """Make servers cold before they have become warm."""
    loop = asyncio.get_running_loop()
    for num in range(3):
        loop.call_later(2.0 * num, _chill_domain, fleet)


@pytest.mark.parametrize(
    "event",
    [
        pytest.param(_chill_domain, id="entries-and-answers"),
        pytest.param(_chill_without_store, id="answers-only"),
        pytest.param(_chill_again_and_again, id="again-and-again"),
    ],
)
def test_server_that_becomes_cold_during_traffic(monkeypatch, event):
    # Until the cold state is known, a server gets its usual 20 a second.
    fleet = _run(
        monkeypatch,
        event,
        load_per_s=20.0 * SERVERS,
        seconds=cold_rig.COLD_S + 2.0,
    )
    most = cold_rig.most_in_window(fleet.cold)
    assert most <= cold_rig.allowed_requests()


def test_load_returns_after_the_cold_time(monkeypatch):
    # Answers say all the time that a server is no longer cold.
    fleet = _run(monkeypatch, _crash_domain)
    back = SETTLED_S + 1.0 + crash_rig.RESTART_S + cold_rig.COLD_S
    cold = {one.server for one in fleet.cold}
    after = [one for one in fleet.sends if one.at > back + 1.5]
    assert sum(one.server in cold for one in after) >= 0.28 * len(after)
