# SPDX-License-Identifier: Apache-2.0
"""Comparison of policies against requests that crash backend servers.

    python bench/suspect_policies.py [SEEDS]

Prints the cost of a fingerprint, of lookups in the suspect registry and of a
heartbeat that carries suspects. Then simulates a fleet of five edge processes
and ten backend servers for 30 s of virtual time, to which a crashing request
is sent every 0.2, 1 and 3 s, and prints for each policy the servers that
crashed, the other requests that were refused as suspects, and the part of all
other attempts that was not served.
"""

import pathlib
import statistics
import sys
import time
from unittest import mock

sys.path.insert(
    0, str(pathlib.Path(__file__).parent.parent / "testing" / "support")
)

from absl import logging  # noqa: E402
import crash_rig  # noqa: E402
import crash_scenario  # noqa: E402
import pytest  # noqa: E402

from lugcross import clock as clock_lib  # noqa: E402
from lugcross import crash_suspects  # noqa: E402
from lugcross.crash_suspects import assessment  # noqa: E402
from lugcross.crash_suspects import registry as registry_lib  # noqa: E402
from lugcross.edge import messages  # noqa: E402
from lugcross.edge import server_selection  # noqa: E402
from lugcross.edge import suspect_gossip  # noqa: E402

INTERVALS_S = (0.2, 1.0, 3.0)
ATTEMPTS = 4
#: Default number of seeds for each policy.
SEEDS = 12
ROUNDS = 20_000


def _choose_any_backend(
    selection: server_selection.ServerSelection,
    plan,
    crash_tracker,
    tried,
    response_started,
):
    del crash_tracker, response_started
    return selection.choose(plan.service, tried)


def _ignore_merge(*args: object) -> bool:
    del args
    return False


#: For each policy, the patches of the implemented one, which comes last.
POLICIES = {
    "as it was": [(registry_lib.SuspectRegistry, "merge", _ignore_merge)],
    "refuse after 3": [
        (
            server_selection.ServerSelection,
            "choose_for_suspect",
            _choose_any_backend,
        ),
    ],
    "refuse after 2": [
        (assessment, "CRASHES_TO_REFUSE", 2),
        (assessment, "CRASHES_TO_REFUSE_IF_UNCERTAIN", 2),
        (
            server_selection.ServerSelection,
            "choose_for_suspect",
            _choose_any_backend,
        ),
    ],
    "3, suspects apart": [],
}


def _run_fleet(seed: int, interval_s: float) -> crash_rig.Fleet:
    with pytest.MonkeyPatch.context() as patch:
        return crash_scenario.run_resends(patch, seed, interval_s, ATTEMPTS)


def _row(name: str, interval_s: float, seeds: int) -> str:
    crash_counts, wrong_refusals, unserved = [], set(), []
    for seed in range(1, seeds + 1):
        fleet = _run_fleet(seed, interval_s)
        crash_counts.append(
            len(fleet.crash_times(crash_scenario.CRASHING_BODY))
        )
        others = [
            one
            for one in fleet.answers
            if one.body != crash_scenario.CRASHING_BODY
        ]
        refused = (o.body for o in others if b"have ended while" in o.text)
        wrong_refusals |= {(seed, body) for body in refused}
        unserved.append(sum(one.status != 200 for one in others) / len(others))
    return (
        f"| {name} | {interval_s} | {statistics.mean(crash_counts):.1f} |"
        f" {max(crash_counts)} | {len(wrong_refusals)} |"
        f" {100 * statistics.mean(unserved):.1f} |"
    )


def _call_us(call, rounds: int = ROUNDS) -> float:
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
        us = _call_us(_identity(size).fingerprint, rounds)
        print(f"fingerprint of {size} bytes: {us:.0f} us")
    clock = clock_lib.ManualClock()
    registry = crash_suspects.SuspectRegistry()
    now = clock.monotonic()
    for num in range(registry_lib.MAX_SUSPECTS):
        name = crash_suspects.Fingerprint(
            num.to_bytes(crash_suspects.FINGERPRINT_BYTES, "big")
        )
        for server in range(2 if num < 8 else 1):
            crash = crash_suspects.ServerCrash(
                f"i-{num}{server:09}",
                "v1",
                now + clock_lib.seconds(server),
                clock_lib.seconds(0.1),
            )
            registry.record_crash(name, crash, now)
    unsuspected = crash_suspects.Fingerprint(
        b"s" * crash_suspects.FINGERPRINT_BYTES
    )
    us = _call_us(lambda: registry.find(unsuspected))
    print(f"look of a sound request at a full ledger: {us:.2f} us")
    software = frozenset(["v1"])
    name = crash_suspects.Fingerprint(
        (0).to_bytes(crash_suspects.FINGERPRINT_BYTES, "big")
    )
    us = _call_us(lambda: registry.assess([name], software, now), 200)
    print(f"standing of one with two ends, full ledger: {us:.0f} us")
    suspects = suspect_gossip.SuspectGossip(registry, clock).next_suspects()
    size = len(
        messages.encode(messages.RelayedHeartbeat("", _heartbeat(suspects)))
    )
    size -= len(messages.encode(messages.RelayedHeartbeat("", _heartbeat([]))))
    print(f"a datagram carries {len(suspects)} cases in {size} bytes")


def _heartbeat(suspects: list[messages.Suspect]) -> messages.Heartbeat:
    return messages.Heartbeat(
        "n", "i", "d", 1, False, 1, 1, {}, [], suspects=suspects
    )


def main() -> None:
    """Print the tables."""
    logging.set_verbosity(logging.FATAL)
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    _costs()
    print("| way | every, s | servers ended | most | refused | lost, % |")
    for name, changes in POLICIES.items():
        patches = [mock.patch.object(*one) for one in changes]
        for one in patches:
            one.start()
        for interval_s in INTERVALS_S:
            print(_row(name, interval_s, seeds), flush=True)
        for one in patches:
            one.stop()


if __name__ == "__main__":
    main()
