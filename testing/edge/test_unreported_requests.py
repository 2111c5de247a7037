# SPDX-License-Identifier: Apache-2.0
"""Accuracy of the estimate of requests that peers have not reported yet.

Each fleet is simulated on a manual clock: every process gets requests at
random and reports to its peers every 50 ms (same failure domain) or 200 ms.
One process's estimate is compared with the actual number.
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
#: Heartbeat interval within a failure domain and to other domains.
SAME_DOMAIN_GAP_MS, OTHER_DOMAIN_GAP_MS = 50, 200
REQUEST_MS = 1700


@dataclasses.dataclass
class _Peer:
    same_domain: bool
    starts: list[int]
    reported_at: int = 0

    def running(self, at: int) -> int:
        return sum(1 for one in self.starts if at - REQUEST_MS < one <= at)

    def unreported(self) -> int:
        return sum(1 for one in self.starts if one > self.reported_at)


class _Fleet:
    """One process and its simulated peers.

    :param rate: requests per second of all peers together.
    """

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
        self.actual: list[int] = []

    def run(self, end: int) -> None:
        for now in range(end):
            self.clock.advance(MS)
            for num, peer in enumerate(self.peers):
                self._step(num, peer, now)
            if now > 1000 and now % 20 == 0:
                actual = sum(peer.unreported() for peer in self.peers)
                estimate = self.loads.unreported_requests(SERVICE)
                self.actual.append(actual)
                self.errors.append(estimate - actual)

    def _step(self, num: int, peer: _Peer, now: int) -> None:
        if self.rng.random() < self.rate:
            peer.starts.append(now)
        gap = SAME_DOMAIN_GAP_MS if peer.same_domain else OTHER_DOMAIN_GAP_MS
        if (now + 7 * num) % gap == 0:
            peer.reported_at = now
            running = peer.running(now)
            counts = {KEY: running} if running else {}
            self.loads.record_peer_requests(
                str(num), counts, same_domain=peer.same_domain
            )


#: Peers, requests per second, and the allowed mean error relative to the mean
#: number of unreported requests. With seven processes there are so few of them
#: that they vary by two thirds by chance alone.
FLEETS = [(6, 40.0, 1.05), (28, 80.0, 0.5), (98, 240.0, 0.35)]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("peers", "rate", "max_error"), FLEETS, ids=str)
def test_estimate_is_near_what_was_sent(
    peers: int, rate: float, max_error: float, seed: int
):
    """The mean error is small compared with the mean number.

    An earlier estimate, that each peer had sent as many requests as this
    process in 60 ms, was off by 1.1 to 1.5 times the mean for these fleets.
    """
    fleet = _Fleet(peers, rate, seed)
    fleet.run(4000)
    mean = sum(fleet.actual) / len(fleet.actual)
    bias = sum(fleet.errors) / len(fleet.errors)
    mean_error = sum(map(abs, fleet.errors)) / len(fleet.errors)
    # Without unreported requests the test would prove nothing.
    assert mean > 2.0
    assert abs(bias) < 0.4 * mean
    assert mean_error < max_error * mean


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
