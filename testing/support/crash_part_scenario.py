# SPDX-License-Identifier: Apache-2.0
"""Runs of a fleet in which one part of prompts crashes the servers.

Sound requests share the caller and the first part of the crashing ones; no
two crashing requests are alike.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import itertools
import random
from typing import Any

import crash_rig
import crash_scenario
import edge_rig
import pytest
import virtual_time

#: Part that crashes each server which begins an answer on it.
BAD_PART = "bad"
#: First parts of the prompts of all requests.
FIRST_PARTS = ("f0", "f1", "f2", "f3")
#: Time of sound load before the first crashing request.
BEFORE_S = 8.0
#: Time during which crashing requests are sent.
CRASHING_S = 24.0
CONTACT_S = edge_rig.BOUNDS.store_recovery_time.total_seconds()


def prompt(*parts: str) -> str:
    """Return the parts of a prompt as callers send them."""
    return ",".join(f"{one}:40" for one in parts)


async def sound_load(fleet: crash_rig.Fleet, per_s: float) -> None:
    """Start callers of sound requests until cancelled."""
    for num in itertools.count():
        await asyncio.sleep(fleet.rng.expovariate(per_s))
        first = fleet.rng.choice(FIRST_PARTS)
        fleet.start_caller(
            fleet.rng.choice(list(fleet.nodes)),
            b"sound %d" % num,
            fleet.rng.choice(crash_rig.KEYS),
            prompt(first, f"own{num}"),
        )


async def crashing_load(
    fleet: crash_rig.Fleet,
    per_s: float,
    *shared: str,
    seconds: float = CRASHING_S,
) -> None:
    """Start callers of requests whose prompts begin with ``shared``."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    for num in itertools.count():
        await asyncio.sleep(fleet.rng.expovariate(per_s))
        if loop.time() > end:
            return
        fleet.start_caller(
            fleet.rng.choice(list(fleet.nodes)),
            b"crashing %s %d" % (shared[-1].encode(), num),
            crash_rig.KEYS[0],
            prompt(*shared, f"crash{num}"),
        )


def run(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[crash_rig.Fleet], Coroutine[Any, Any, None]],
    *,
    seed: int = 1,
    attempts: int = 2,
    before_s: float = BEFORE_S,
) -> crash_rig.Fleet:
    """Run a scenario beside sound load in five processes and ten servers.

    :param attempts: attempts per request that the route allows.
    :param before_s: time of sound load before the scenario starts.
    """

    async def main() -> crash_rig.Fleet:
        random.seed(seed)
        fleet = crash_rig.Fleet(
            monkeypatch, 3, 2, servers=10, attempts=attempts, seed=seed
        )
        fleet.crashing_parts.add(BAD_PART)
        fleet.start()
        await asyncio.sleep(crash_scenario.SETTLED_S)
        load = asyncio.create_task(
            sound_load(fleet, crash_scenario.LOAD_PER_S)
        )
        await asyncio.sleep(before_s)
        await scenario(fleet)
        load.cancel()
        await asyncio.sleep(2 * crash_rig.REQUEST_S)
        await fleet.stop()
        return fleet

    return virtual_time.run(main())


def run_crashing(
    monkeypatch: pytest.MonkeyPatch,
    per_s: float,
    *shared: str,
    seed: int = 1,
    attempts: int = 2,
) -> crash_rig.Fleet:
    """Run requests that share the given parts beside sound load."""
    return run(
        monkeypatch,
        lambda fleet: crashing_load(fleet, per_s, *shared),
        seed=seed,
        attempts=attempts,
    )


def crash_times(fleet: crash_rig.Fleet, part: str = BAD_PART) -> list[float]:
    """Return the times of the crashes of servers that ran a part."""
    ran = {one.server for one in fleet.sends if part in one.parts}
    return [at for at, name in fleet.crashes if name in ran]


def late_sends(fleet: crash_rig.Fleet, part: str = BAD_PART) -> int:
    """Return the sends later than the contact bound after five crashes."""
    times = crash_times(fleet, part)
    if len(times) < 5:
        return 0
    since = times[4] + CONTACT_S
    return sum(one.at > since for one in fleet.sends if part in one.parts)


def started_ratio(
    fleet: crash_rig.Fleet, first: str, since_s: float, until_s: float
) -> float:
    """Return the fraction of sound requests that began at a server.

    Only the first try of each caller counts.

    :param first: first part of their prompts.
    """
    tries: dict[bytes, crash_rig.Answer] = {}
    for one in sorted(fleet.answers, key=lambda one: one.at):
        if one.body.startswith(b"sound") and one.parts[0] == first:
            tries.setdefault(one.body, one)
    firsts = [one for one in tries.values() if since_s < one.at < until_s]
    began = {(one.body, one.node) for one in fleet.sends}
    return sum((one.body, one.node) in began for one in firsts) / len(firsts)


def started_ratio_change(fleet: crash_rig.Fleet, first: str) -> float:
    """Return how many sound requests begin, relative to before the crashes.

    Counted from twice the contact bound after the fifth crash, or after the
    last if there are fewer, while crashing requests are sent.
    """
    times = crash_times(fleet)[:5]
    start = crash_scenario.SETTLED_S
    before = started_ratio(fleet, first, start, times[0])
    end = start + BEFORE_S + CRASHING_S
    since = times[-1] + 2 * CONTACT_S
    return started_ratio(fleet, first, since, end) / before
