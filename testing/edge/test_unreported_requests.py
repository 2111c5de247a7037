# SPDX-License-Identifier: Apache-2.0
"""How many requests peers have sent unseen is estimated with a small error.

Each fleet is played in time moved by hand: every process gets requests at
random and tells its peers every 50 ms (those of its domain) or 200 ms, and
one process's estimate is held against what it really has not heard of.
"""

import dataclasses
import datetime
import random

import pytest

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import backend_loads as backend_loads_lib
from lugcross import ids

MS = datetime.timedelta(milliseconds=1)
SERVICE = ids.ServiceName("s")
KEY = desired.BackendKey("i-1")
#: Time from one beat to the next, nearby and to other domains.
SAME_DOMAIN_GAP_MS, OTHER_DOMAIN_GAP_MS = 50, 200
REQUEST_MS = 1700


@dataclasses.dataclass
class _Peer:
    same_domain: bool
    starts: list[int]
    told_at: int = 0

    def running(self, at: int) -> int:
        return sum(1 for one in self.starts if at - REQUEST_MS < one <= at)

    def unreported(self) -> int:
        return sum(1 for one in self.starts if one > self.told_at)


class _Fleet:
    """One process's view of its peers' requests."""

    def __init__(self, peers: int, rate: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.rate = rate / peers / 1000.0
        self.clock = clock_lib.ManualClock()
        self.loads = backend_loads_lib.BackendLoads(
            self.clock, service_of=lambda _: SERVICE
        )
        self.peers = [
            _Peer(same_domain=num % 5 == 0, starts=[]) for num in range(peers)
        ]
        self.errors: list[float] = []
        self.truth: list[int] = []

    def run(self, end: int) -> None:
        for now in range(end):
            self.clock.advance(MS)
            for num, peer in enumerate(self.peers):
                self._step(num, peer, now)
            if now > 1000 and now % 20 == 0:
                truth = sum(peer.unreported() for peer in self.peers)
                seen = self.loads.unreported_requests(SERVICE)
                self.truth.append(truth)
                self.errors.append(seen - truth)

    def _step(self, num: int, peer: _Peer, now: int) -> None:
        if self.rng.random() < self.rate:
            peer.starts.append(now)
        gap = SAME_DOMAIN_GAP_MS if peer.same_domain else OTHER_DOMAIN_GAP_MS
        if (now + 7 * num) % gap == 0:
            peer.told_at = now
            running = peer.running(now)
            counts = {KEY: running} if running else {}
            self.loads.record_peer_requests(
                str(num), counts, same_domain=peer.same_domain
            )


#: Peers, requests a second, and the typical error as a part of the mean. Of
#: the few requests that seven processes have unseen chance alone moves the
#: number by two thirds.
FLEETS = [(6, 40.0, 1.05), (28, 80.0, 0.5), (98, 240.0, 0.35)]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("peers", "rate", "most"), FLEETS, ids=str)
def test_estimate_is_near_what_was_sent(
    peers: int, rate: float, most: float, seed: int
):
    """The typical error stays under a part of the mean.

    Taking each peer to have sent as many as this process in 60 ms was off
    by 1.1 to 1.5 times the mean at each of these sizes.
    """
    fleet = _Fleet(peers, rate, seed)
    fleet.run(4000)
    mean = sum(fleet.truth) / len(fleet.truth)
    bias = sum(fleet.errors) / len(fleet.errors)
    typical = sum(map(abs, fleet.errors)) / len(fleet.errors)
    # Without requests unseen the test would say nothing.
    assert mean > 2.0
    assert abs(bias) < 0.4 * mean
    assert typical < most * mean


def test_nothing_is_unreported_after_an_idle_second():
    fleet = _Fleet(6, 40.0, 1)
    fleet.run(1500)
    fleet.clock.advance(datetime.timedelta(seconds=1))
    assert fleet.loads.unreported_requests(SERVICE) < 0.01


def test_requests_of_a_silent_peer_do_not_count_as_new():
    clock = clock_lib.ManualClock()
    loads = backend_loads_lib.BackendLoads(clock, service_of=lambda _: SERVICE)
    loads.record_peer_requests("n2", {KEY: 1})
    clock.advance(datetime.timedelta(seconds=3))
    loads.record_peer_requests("n2", {KEY: 30})
    assert loads.unreported_requests(SERVICE) == 0.0
