# SPDX-License-Identifier: Apache-2.0
"""Ways to stop a request that ends servers, and what the kept one costs.

    python bench/suspects.py [SEEDS]

Plays a fleet of five processes and ten servers in virtual time for 30 s, in
which a request that ends each server that runs it comes every 0.2, 1 and 3 s.
For each way: servers that ended, requests that are refused without reason, and
ordinary tries that were not served. Then the cost of a fingerprint, of one
look at the ledger and of a datagram, on this machine.
"""

import asyncio
import pathlib
import random
import statistics
import sys
import time
from unittest import mock

sys.path.insert(
    0, str(pathlib.Path(__file__).parent.parent / "testing" / "support")
)

from absl import logging  # noqa: E402
import crash_rig  # noqa: E402
import pytest  # noqa: E402
import virtual_time  # noqa: E402

from lugcross import clock as clock_lib  # noqa: E402
from lugcross import crash_suspects  # noqa: E402
from lugcross.crash_suspects import registry as registry_lib  # noqa: E402
from lugcross.edge import edge_state as edge_state_lib  # noqa: E402
from lugcross.edge import messages  # noqa: E402
from lugcross.edge import suspect_gossip  # noqa: E402

ENDING = b"ends who runs it"
GAPS_S = (0.2, 1.0, 3.0)
SECONDS = 30.0
SETTLED_S = 4.0
#: Ordinary requests a second: six in ten of all places are taken.
LOAD = 36.0
ATTEMPTS = 4
#: Seeds of each way unless told otherwise.
SEEDS = 12
ROUNDS = 20_000


def _never(*args: object) -> bool:
    del args
    return False


def _always(*args: object) -> bool:
    del args
    return True


def _anywhere(edge_state: edge_state_lib.EdgeState, plan, tried):
    return edge_state.choose_backend(plan.service, tried)


def _no_ledger(*args: object) -> bool:
    del args
    return False


#: What each way changes of the kept one.
WAYS = {
    "as it was": [(registry_lib.SuspectRegistry, "merge", _no_ledger)],
    "refuse after 3": [
        (registry_lib.SuspectRegistry, "_is_only_explanation", _never),
        (edge_state_lib.EdgeState, "choose_backend_for_suspect", _anywhere),
    ],
    "refuse after 2": [
        (registry_lib, "CRASHES_TO_REFUSE", 2),
        (registry_lib, "CRASHES_TO_REFUSE_IF_MOST_UNRELATED", 2),
        (edge_state_lib.EdgeState, "choose_backend_for_suspect", _anywhere),
    ],
    "2 if sure, anywhere": [
        (edge_state_lib.EdgeState, "choose_backend_for_suspect", _anywhere)
    ],
    "3, suspects apart": [
        (registry_lib.SuspectRegistry, "_is_only_explanation", _never)
    ],
    "2 if sure, apart": [],
}


def _play(seed: int, gap_s: float) -> crash_rig.Fleet:
    async def main() -> crash_rig.Fleet:
        random.seed(seed)
        fleet = crash_rig.Fleet(
            patch, 3, 2, servers=10, attempts=ATTEMPTS, seed=seed
        )
        fleet.crashing_bodies.add(ENDING)
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        with fleet.under_load(LOAD):
            for _ in range(int(SECONDS / gap_s)):
                await asyncio.sleep(gap_s * fleet.rng.uniform(0.5, 1.5))
                fleet.ask(fleet.rng.choice(list(fleet.nodes)), ENDING)
        await asyncio.sleep(2 * crash_rig.REQUEST_S)
        await fleet.stop()
        return fleet

    with pytest.MonkeyPatch.context() as patch:
        return virtual_time.run(main())


def _row(name: str, gap_s: float, seeds: int) -> str:
    ends, innocent, lost = [], set(), []
    for seed in range(1, seeds + 1):
        fleet = _play(seed, gap_s)
        ends.append(len(fleet.crash_times(ENDING)))
        others = [one for one in fleet.answers if one.body != ENDING]
        refused = (o.body for o in others if b"have ended while" in o.text)
        innocent |= {(seed, body) for body in refused}
        lost.append(sum(one.status != 200 for one in others) / len(others))
    return (
        f"| {name} | {gap_s} | {statistics.mean(ends):.1f} | {max(ends)} |"
        f" {len(innocent)} | {100 * statistics.mean(lost):.1f} |"
    )


def _microseconds(call, rounds: int = ROUNDS) -> float:
    begun = time.process_time()
    for _ in range(rounds):
        call()
    return (time.process_time() - begun) / rounds * 1e6


def _identity(size: int) -> crash_suspects.RequestIdentity:
    return crash_suspects.RequestIdentity(
        service="s",
        workspace="w",
        host="h.example",
        method=b"POST",
        target=b"/path/of/it",
        body=b"x" * size,
    )


def _costs() -> None:
    for size, rounds in ((2_000, ROUNDS), (2_000_000, 50)):
        us = _microseconds(_identity(size).fingerprint, rounds)
        print(f"fingerprint of {size} bytes: {us:.0f} us")
    clock = clock_lib.ManualClock()
    ledger = crash_suspects.SuspectRegistry()
    now = clock.monotonic()
    for num in range(registry_lib.MAX_SUSPECTS):
        name = crash_suspects.Fingerprint(
            num.to_bytes(crash_suspects.FINGERPRINT_BYTES, "big")
        )
        for server in range(2 if num < 8 else 1):
            end = crash_suspects.ServerCrash(
                f"i-{num}{server:09}",
                "v1",
                now + clock_lib.seconds(server),
                clock_lib.seconds(0.1),
            )
            ledger.record_crash(name, end, now)
    sound = crash_suspects.Fingerprint(b"s" * crash_suspects.FINGERPRINT_BYTES)
    us = _microseconds(lambda: ledger.find(sound))
    print(f"look of a sound request at a full ledger: {us:.2f} us")
    software = frozenset(["v1"])
    name = crash_suspects.Fingerprint(
        (0).to_bytes(crash_suspects.FINGERPRINT_BYTES, "big")
    )
    us = _microseconds(lambda: ledger.status(name, software, now), 200)
    print(f"standing of one with two ends, full ledger: {us:.0f} us")
    told = suspect_gossip.SuspectGossip(ledger, clock).next_suspects()
    size = len(
        messages.encode(messages.RelayedHeartbeat("", _heartbeat(told)))
    )
    size -= len(messages.encode(messages.RelayedHeartbeat("", _heartbeat([]))))
    print(f"a datagram carries {len(told)} cases in {size} bytes")


def _heartbeat(told: list[messages.Suspect]) -> messages.Heartbeat:
    return messages.Heartbeat(
        "n", "i", "d", 1, False, 1, 1, {}, [], suspects=told
    )


def main() -> None:
    """Print the tables."""
    logging.set_verbosity(logging.FATAL)
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    _costs()
    print("| way | every, s | servers ended | most | refused | lost, % |")
    for name, changes in WAYS.items():
        patches = [mock.patch.object(*one) for one in changes]
        for one in patches:
            one.start()
        for gap_s in GAPS_S:
            print(_row(name, gap_s, seeds), flush=True)
        for one in patches:
            one.stop()


if __name__ == "__main__":
    main()
