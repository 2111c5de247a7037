# SPDX-License-Identifier: Apache-2.0
"""Simulation of urgencies that compete for a service, in virtual time.

Each process decides by :mod:`lugcross.edge.admission` with counts of the other
processes that are 0.05 to 0.2 s old. Refused callers retry once after the time
that they were told.
"""

import collections
from collections.abc import Callable
import dataclasses
import datetime
import random

from lugcross import clock as clock_lib
from lugcross.edge import admission
from lugcross.edge import request_errors
from lugcross.edge import unreported_requests
from lugcross import ids
from lugcross import shares
from lugcross import urgency as urgency_lib

SERVICE = ids.ServiceName("s")
SERVERS = 72
SLOTS_PER_SERVER = 5
CAPACITY = SERVERS * SLOTS_PER_SERVER
PROCESSES = 37
MEAN_REQUEST_S = 2.0
TIMEOUT = datetime.timedelta(seconds=8)
TICK = datetime.timedelta(milliseconds=10)
#: Part of the arrivals of each urgency, the most urgent first.
MIX = (0.36, 0.48, 0.16)
URGENCIES = tuple(urgency_lib.Urgency(0, num) for num in range(len(MIX)))
#: Value of a request that is served after its caller's retry.
RETRY_VALUE = 2 / 3
#: Load, as a fraction of what fits, before and after the overload.
USUAL_LOAD = 0.8
LARGE_FRACTION = 0.1
#: Ages of the counts of other processes, in ticks.
_MIN_AGE_TICKS = 5
_MAX_AGE_TICKS = 20


class Policy:
    """Decides on the requests of one process, as the edge does."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.shares = urgency_lib.OverloadShares(clock)

    def refuses(
        self,
        urgency: urgency_lib.Urgency,
        snapshot: admission.LoadSnapshot,
        quota: shares.WorkspaceQuota | None,
        *,
        is_caller_retry: bool,
    ) -> bool:
        """Record a request; return whether it is refused."""
        self.shares.record_arrival(urgency)
        reason = admission.refusal_reason(
            snapshot,
            SLOTS_PER_SERVER,
            admission.AdmissionRequest(
                workspace_quota=quota,
                is_caller_retry=is_caller_retry,
                capacity_fraction=lambda load: self.shares.capacity_fraction(
                    urgency, load
                ),
            ),
        )
        if reason is None:
            self.shares.record_admitted(urgency)
        return reason is not None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Load of a service: a time at the usual load before and after it.

    :param factor: arrivals, as a multiple of what fits, during the overload.
    :param mix: part of the arrivals of each urgency.
    :param workspaces: part of the arrivals of each workspace.
    :param own_urgency: urgency of all requests of a workspace, by workspace,
        where they are not mixed.
    :param has_api_keys: whether admission knows the workspaces.
    """

    factor: float
    seconds: float
    mix: tuple[float, ...] = MIX
    workspaces: tuple[float, ...] = (0.25, 0.25, 0.25, 0.25)
    own_urgency: dict[int, int] = dataclasses.field(default_factory=dict)
    has_api_keys: bool = True
    before_s: float = 6.0
    after_s: float = 4.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request; ``since`` is the time of its first attempt."""

    urgency: int
    workspace: int
    large: bool
    since: clock_lib.Instant
    counted: bool
    is_caller_retry: bool = False


class Overload:
    """Callers, processes and a service of engines.

    :ivar sent: requests that were first sent during the overload.
    :ivar at_once: those of them that were served at once.
    :ivar after_retry: those served after a retry.
    """

    def __init__(
        self,
        load: Load,
        seed: int,
        policy: Callable[[clock_lib.Clock], Policy] = Policy,
    ) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.clock = clock_lib.ManualClock()
        self.policies = [policy(self.clock) for _ in range(PROCESSES)]
        self.sent: collections.Counter[Request] = collections.Counter()
        self.at_once: collections.Counter[Request] = collections.Counter()
        self.after_retry: collections.Counter[Request] = collections.Counter()
        self.max_running = 0
        self._running = 0
        self._own = [0] * PROCESSES
        self._own_started = [0] * PROCESSES
        self._started = 0
        self._by_workspace = [0] * len(load.workspaces)
        #: Counts at recent ticks, the newest first: of all, by process, and
        #: by workspace; and requests started.
        self._history: collections.deque[
            tuple[int, list[int], list[int], int, list[int]]
        ] = collections.deque(maxlen=_MAX_AGE_TICKS + 1)
        self._unreported = [
            unreported_requests.UnreportedRequests(
                same_domain_age=datetime.timedelta(milliseconds=125),
                other_domain_age=datetime.timedelta(milliseconds=125),
            )
            for _ in range(PROCESSES)
        ]
        self._seen_started = [0] * PROCESSES
        self._seen_age = [_MIN_AGE_TICKS] * PROCESSES
        self._ends: dict[int, list[tuple[int, int]]] = {}
        self._retries: dict[int, list[Request]] = {}

    def run(self) -> "Overload":
        """Simulate the load; return the simulation itself."""
        load = self.load
        first = int(load.before_s / TICK.total_seconds())
        last = first + int(load.seconds / TICK.total_seconds())
        ticks = last + int(load.after_s / TICK.total_seconds())
        for tick in range(ticks):
            self.clock.advance(TICK)
            for process, space in self._ends.pop(tick, ()):
                self._running -= 1
                self._own[process] -= 1
                self._by_workspace[space] -= 1
            self._history.appendleft(
                (
                    self._running,
                    self._own[:],
                    self._by_workspace[:],
                    self._started,
                    self._own_started[:],
                )
            )
            self._deliver_counts(tick)
            during = first <= tick < last
            factor = load.factor if during else USUAL_LOAD
            rate = factor * CAPACITY / MEAN_REQUEST_S * TICK.total_seconds()
            due = self._retries.pop(tick, [])
            due += [
                self._new_request(counted=during)
                for _ in range(self._poisson(rate))
            ]
            for one in due:
                self._send(one, tick)
        return self

    def _poisson(self, mean: float) -> int:
        count, at = 0, self.rng.expovariate(mean)
        while at < 1.0:
            count += 1
            at += self.rng.expovariate(mean)
        return count

    def _deliver_counts(self, tick: int) -> None:
        """Give each process new counts of the others, every 50 ms."""
        for process in range(PROCESSES):
            if (tick + process) % _MIN_AGE_TICKS:
                continue
            age = self.rng.randint(_MIN_AGE_TICKS, _MAX_AGE_TICKS)
            # Counts do not get older than those known before.
            age = min(age, self._seen_age[process] + _MIN_AGE_TICKS)
            self._seen_age[process] = age
            seen = self._history[min(age, len(self._history) - 1)]
            started = seen[3] - seen[4][process]
            self._unreported[process].record_started(
                SERVICE,
                max(0, started - self._seen_started[process]),
                self.clock.monotonic(),
                same_domain=True,
            )
            self._seen_started[process] = started

    def _new_request(self, *, counted: bool) -> Request:
        space = self.rng.choices(
            range(len(self.load.workspaces)), self.load.workspaces
        )[0]
        urgency = self.load.own_urgency.get(space)
        if urgency is None:
            urgency = self.rng.choices(
                range(len(self.load.mix)), self.load.mix
            )[0]
        return Request(
            urgency=urgency,
            workspace=space,
            large=self.rng.random() < LARGE_FRACTION,
            since=self.clock.monotonic(),
            counted=counted,
        )

    def _send(self, one: Request, tick: int) -> None:
        process = self.rng.randrange(PROCESSES)
        kind = dataclasses.replace(
            one, since=datetime.timedelta(), is_caller_retry=False
        )
        if one.counted and not one.is_caller_retry:
            self.sent[kind] += 1
        seen = self._history[
            min(self._seen_age[process], len(self._history) - 1)
        ]
        running = seen[0] - seen[1][process] + self._own[process]
        if self.policies[process].refuses(
            URGENCIES[one.urgency],
            admission.LoadSnapshot(
                servers=SERVERS,
                slots=CAPACITY,
                requests=running,
                least_busy_requests=running // SERVERS,
                unreported_requests=self._unreported[process].estimate(
                    SERVICE, self.clock.monotonic()
                ),
            ),
            shares.WorkspaceQuota(
                in_progress=seen[2][one.workspace],
                total_weight=float(len(self.load.workspaces)),
            )
            if self.load.has_api_keys
            else None,
            is_caller_retry=one.is_caller_retry,
        ):
            self._retry(one, tick)
            return
        self._start(one, process, tick)
        if one.counted and one.is_caller_retry:
            self.after_retry[kind] += 1
        elif one.counted:
            self.at_once[kind] += 1

    def _retry(self, one: Request, tick: int) -> None:
        if one.is_caller_retry:
            return
        wait = request_errors.overloaded("", TIMEOUT, self.rng).retry_after
        assert wait is not None
        at = tick + max(1, round(wait / TICK))
        again = dataclasses.replace(one, is_caller_retry=True)
        self._retries.setdefault(at, []).append(again)

    def _start(self, one: Request, process: int, tick: int) -> None:
        # Large requests take 1.3 times as long; the mean stays the same.
        mean = MEAN_REQUEST_S * (1.3 if one.large else 0.967)
        seconds = mean * self.rng.uniform(0.5, 1.5)
        end = tick + max(1, round(seconds / TICK.total_seconds()))
        self._ends.setdefault(end, []).append((process, one.workspace))
        self._running += 1
        self._started += 1
        self._own[process] += 1
        self._own_started[process] += 1
        self._by_workspace[one.workspace] += 1
        self.max_running = max(self.max_running, self._running)

    def served_ratio(self, chosen: Callable[[Request], bool]) -> float:
        """Return the fraction of the chosen requests that were served."""
        sent = sum(num for one, num in self.sent.items() if chosen(one))
        served = sum(
            num
            for counts in (self.at_once, self.after_retry)
            for one, num in counts.items()
            if chosen(one)
        )
        return served / max(1, sent)

    def by_urgency(self) -> list[float]:
        """Return the fraction served of each urgency."""
        return [
            self.served_ratio(lambda one, num=num: one.urgency == num)
            for num in range(len(self.load.mix))
        ]

    def value(self) -> float:
        """Return the mean value of a request, 1 if it is served at once."""
        earned = self.at_once.total() + RETRY_VALUE * self.after_retry.total()
        return earned / max(1, self.sent.total())
