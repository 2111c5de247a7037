# SPDX-License-Identifier: Apache-2.0
"""Fairness of admission under lasting overload."""

import collections
import dataclasses
import datetime
import random

import pytest

from lugcross.edge import admission

SERVERS = 4
SLOTS_PER_SERVER = 6
#: About twice the rate that can be served.
REQUESTS_PER_S = 40.0
TIMEOUT = datetime.timedelta(seconds=8)
DURATION_S = 120
TICK = datetime.timedelta(milliseconds=10)


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request; ``since`` is the time of its first attempt."""

    route: str
    large: bool
    workspace: str
    since: datetime.timedelta
    is_caller_retry: bool = False

    @property
    def work(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=2.0 if self.large else 0.8)


class Overload:
    """Simulation of callers, admission and servers."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = datetime.timedelta()
        self.running_until: list[datetime.timedelta] = []
        self.retries: list[tuple[datetime.timedelta, Request]] = []
        self.caller_retry_detectors: dict[
            str, admission.CallerRetryDetector
        ] = {}
        self.sent: collections.Counter[tuple[str, bool, str]] = (
            collections.Counter()
        )
        self.served: collections.Counter[tuple[str, bool, str]] = (
            collections.Counter()
        )

    def run(self) -> None:
        ticks = int(datetime.timedelta(seconds=DURATION_S) / TICK)
        for _ in range(ticks):
            self.now += TICK
            self.running_until = [
                end for end in self.running_until if end > self.now
            ]
            due = [one for at, one in self.retries if at <= self.now]
            self.retries = [
                pair for pair in self.retries if pair[0] > self.now
            ]
            if self.rng.random() < REQUESTS_PER_S * TICK.total_seconds():
                due.append(self._new_request())
            for one in due:
                self._send(one)

    def _new_request(self) -> Request:
        request = Request(
            route=self.rng.choice(("draft", "digest")),
            large=self.rng.random() < 0.1,
            workspace=self.rng.choice(("a", "a", "a", "b")),
            since=self.now,
        )
        self.sent[self._class_of(request)] += 1
        return request

    def _class_of(self, one: Request) -> tuple[str, bool, str]:
        return one.route, one.large, one.workspace

    def _send(self, one: Request) -> None:
        left = TIMEOUT - (self.now - one.since)
        detector = self.caller_retry_detectors.setdefault(
            one.route, admission.CallerRetryDetector()
        )
        snapshot = admission.LoadSnapshot(
            servers=SERVERS,
            slots=SERVERS * SLOTS_PER_SERVER,
            requests=len(self.running_until),
            least_busy_requests=len(self.running_until) // SERVERS,
            unreported_requests=0.0,
        )
        verdict = admission.refusal_reason(
            snapshot,
            SLOTS_PER_SERVER,
            admission.AdmissionRequest(
                is_caller_retry=detector.is_caller_retry(left)
            ),
        )
        if verdict is None:
            self.running_until.append(self.now + one.work)
            self.served[self._class_of(one)] += 1
        elif not one.is_caller_retry:
            wait = datetime.timedelta(seconds=self.rng.uniform(0.7, 1.6))
            again = dataclasses.replace(one, is_caller_retry=True)
            self.retries.append((self.now + wait, again))


@pytest.mark.parametrize("seed", range(3))
def test_no_route_size_or_workspace_is_starved(seed: int):
    overload = Overload(seed)
    overload.run()
    total = sum(overload.served.values()) / sum(overload.sent.values())
    # The test is meaningless without overload.
    assert 0.3 < total < 0.9
    for one, sent in overload.sent.items():
        share = overload.served[one] / sent
        assert share > 0.5 * total, one
