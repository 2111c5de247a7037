# SPDX-License-Identifier: Apache-2.0
"""Runs of a fleet under load to which a crashing request is sent."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
from typing import Any

import crash_rig
import pytest
import virtual_time

#: Time until every process has read the store and knows its peers.
SETTLED_S = 4.0
#: Rate of ordinary requests; they take six in ten of all slots.
LOAD_PER_S = 36.0
#: Seeds and timings of the runs belong to this body: its hash selects servers.
CRASHING_BODY = b"ends who runs it"


async def resend(fleet: crash_rig.Fleet, gap_s: float, seconds: float) -> None:
    """Send the crashing request to random processes, again and again."""
    for _ in range(int(seconds / gap_s)):
        await asyncio.sleep(gap_s * fleet.rng.uniform(0.5, 1.5))
        fleet.ask(fleet.rng.choice(list(fleet.nodes)), CRASHING_BODY)


def run(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[crash_rig.Fleet], Coroutine[Any, Any, None]],
    *,
    seed: int = 1,
    attempts: int = 2,
) -> crash_rig.Fleet:
    """Run a scenario in a fleet of five processes and ten servers.

    :param attempts: attempts per request that the route allows.
    """

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


def run_resends(
    monkeypatch: pytest.MonkeyPatch, seed: int, gap_s: float, attempts: int
) -> crash_rig.Fleet:
    """Send the crashing request about every ``gap_s`` for 30 seconds."""
    return run(
        monkeypatch,
        lambda fleet: resend(fleet, gap_s, 30.0),
        seed=seed,
        attempts=attempts,
    )
