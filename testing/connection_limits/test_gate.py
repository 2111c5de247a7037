# SPDX-License-Identifier: Apache-2.0
"""New connections that a process takes, at any rate of arrival."""

import collections
import datetime
import resource

import pytest

from lugcross import connection_limits

NO_LAG = datetime.timedelta()
LATE = datetime.timedelta(milliseconds=51)
#: Processor time for one request, and the interval of the gate.
REQUEST_S = 0.002
INTERVAL_S = 0.05
#: Requests a second that the process could serve at most, and usually gets.
CAPACITY_PER_S = 1 / REQUEST_S
USUAL_PER_S = 10.0
#: Time without an answer after which a caller gives up.
PATIENCE_S = 0.4


def _admitted(gate: connection_limits.ConnectionGate, tries: int) -> int:
    return sum(gate.try_admit(0) is None for _ in range(tries))


def test_usual_load_is_admitted_in_spite_of_a_pause():
    """A process that was suspended for a second admits its usual load."""
    gate = connection_limits.ConnectionGate(1000)
    gate.start_interval(datetime.timedelta(seconds=1))
    assert _admitted(gate, 100) == 100


def test_number_is_halved_while_late_and_grows_otherwise():
    gate = connection_limits.ConnectionGate(1000)
    before = gate.max_admitted
    gate.start_interval(LATE)
    assert gate.max_admitted == before // 2
    gate.start_interval(NO_LAG)
    assert before // 2 < gate.max_admitted < before


def test_some_are_admitted_however_late_it_is():
    gate = connection_limits.ConnectionGate(1000)
    for _ in range(100):
        gate.start_interval(LATE)
    assert _admitted(gate, 10) > 0
    assert gate.try_admit(0) is connection_limits.Refusal.BEHIND


def test_open_connections_are_bounded():
    gate = connection_limits.ConnectionGate(100)
    assert gate.try_admit(99) is None
    assert gate.try_admit(100) is connection_limits.Refusal.TOO_MANY


def test_connections_leave_descriptors_for_all_else():
    assert 1000 <= connection_limits.default_max_connections(4100) <= 3000


def test_process_without_a_limit_of_descriptors_admits_connections():
    limit = connection_limits.default_max_connections(resource.RLIM_INFINITY)
    assert connection_limits.ConnectionGate(limit).try_admit(10_000) is None


class _Process:
    """A process that handles one request after the other.

    :ivar served: by second: requests that were served in time.
    :ivar read: by second: requests that were read.
    """

    def __init__(self, gate: connection_limits.ConnectionGate | None) -> None:
        self._gate = gate
        self._queue: list[float] = []
        self.served = [0] * 20
        self.read = [0] * 20

    def run(self, rates: list[float]) -> None:
        """Let connections arrive, at each rate for a second."""
        arrivals = collections.deque(
            second + num / rate
            for second, rate in enumerate(rates)
            for num in range(int(rate))
        )
        now = 0.0
        while now < len(rates):
            while arrivals and arrivals[0] <= now:
                at = arrivals.popleft()
                if self._gate is None or self._gate.try_admit(0) is None:
                    self._queue.append(at)
                    self.read[int(at)] += 1
            now = self._work(now)

    def _work(self, now: float) -> float:
        """Handle what came; return when the next interval begins."""
        waiting, self._queue = self._queue, []
        took = 0.0
        for at in waiting:
            took += REQUEST_S
            if now + took - at <= PATIENCE_S:
                self.served[int(at)] += 1
        lag = max(0.0, took - INTERVAL_S)
        if self._gate is not None:
            self._gate.start_interval(datetime.timedelta(seconds=lag))
        return now + max(took, INTERVAL_S)


@pytest.mark.parametrize("times_usual", [30, 300])
def test_most_requests_that_are_read_are_served(times_usual):
    """Nearly all connections came to one process for some seconds.

    It read them all, and answered none before its caller had left.
    """
    rates = [USUAL_PER_S] * 3 + [USUAL_PER_S * times_usual] * 6
    rates += [USUAL_PER_S] * 3
    one = _Process(connection_limits.ConnectionGate(1000))
    one.run(rates)
    for second in range(3, 9):
        assert one.served[second] >= 0.75 * one.read[second], second
    # Most of its time is spent on requests that are served.
    possible = min(CAPACITY_PER_S, USUAL_PER_S * times_usual)
    assert sum(one.served[4:9]) >= 0.6 * 5 * possible
    assert one.served[10:12] == one.read[10:12] == [USUAL_PER_S] * 2


def test_without_a_gate_requests_are_read_in_vain():
    one = _Process(None)
    one.run([USUAL_PER_S] * 3 + [USUAL_PER_S * 300] * 6)
    assert sum(one.served[3:9]) < 0.75 * sum(one.read[3:9])
