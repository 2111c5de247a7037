# SPDX-License-Identifier: Apache-2.0
"""Parts of the rates of cold servers, also at processes that are cut off.

Without a bound for each second, many processes that had each saved up one
request for a limited server could send them at once.
"""

import collections
import datetime

import cold_rig
import pytest

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import platform
from lugcross import rate_limits

KEY = desired.BackendKey("i-0")
OTHER = desired.BackendKey("i-1")
SECOND = datetime.timedelta(seconds=1)
MS = datetime.timedelta(milliseconds=1)
COLD_TIME = cold_rig.COLD_S * SECOND
#: Time between two looks of a process at whether it may send.
STEP_S = 0.02
ENTRY = rate_limits.ColdSource.ENTRY
RESPONSE = rate_limits.ColdSource.RESPONSE
PEER = rate_limits.ColdSource.PEER


def _cold_limit(per_s: float) -> desired.ColdLimit:
    return desired.ColdLimit(duration=COLD_TIME, requests_per_s=per_s)


class _Fleet:
    """The limits of some processes that know each other."""

    def __init__(
        self,
        clock: clock_lib.ManualClock,
        count: int,
        *,
        per_s: float = cold_rig.COLD_PER_S,
        overshoot: float = cold_rig.OVERSHOOT,
        slack: float = cold_rig.SLACK,
    ) -> None:
        self.clock = clock
        self.per_s = per_s
        self._overshoot = overshoot
        self._slack = slack
        self.names = [f"10.0.0.{num}:4" for num in range(count)]
        self.limits = [self.new(one) for one in self.names]
        self.sent: collections.deque[float] = collections.deque()
        self.most = 0
        self.total = 0

    def new(self, address: str) -> rate_limits.ServerLimits:
        limits = rate_limits.ServerLimits(self.clock)
        limits.own_address = address
        limits.known_processes = lambda: self.names
        limits.cold.limit_of = lambda key: _cold_limit(self.per_s)
        limits.cold.configure(overshoot=self._overshoot, slack=self._slack)
        limits.own_reports()
        return limits

    def settle(self, seconds: float = 10.0) -> None:
        """Let time pass, in which each process looks at its peers."""
        for _ in range(int(seconds)):
            self.clock.advance(SECOND)
            for one in self.limits:
                one.own_reports()

    def record_cold(
        self, left: datetime.timedelta = COLD_TIME, source=ENTRY
    ) -> None:
        for one in self.limits:
            one.record_cold(KEY, left, source)

    def send(self, seconds: float) -> int:
        """Send as often as all processes may; return how often."""
        before = self.total
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S * SECOND)
            now = self.clock.monotonic().total_seconds()
            for one in self.limits:
                while one.try_spend(KEY):
                    self.sent.append(now)
                    self.total += 1
            while self.sent and self.sent[0] <= now - 1.0:
                self.sent.popleft()
            self.most = max(self.most, len(self.sent))
        return self.total - before

    def allowed(self) -> float:
        return max(1.0, self.per_s * self._overshoot + self._slack)


@pytest.mark.parametrize("per_s", [0.5, 2.0, 23.0, 200.0])
@pytest.mark.parametrize("count", [1, 2, 5, 13, 22, 37, 60, 400])
@pytest.mark.parametrize(
    ("overshoot", "slack"), [(1.5, 5.0), (1.0, 0.0)], ids=["edlc", "default"]
)
def test_all_processes_keep_the_bound_in_any_second(
    manual_clock, count, per_s, overshoot, slack
):
    fleet = _Fleet(
        manual_clock, count, per_s=per_s, overshoot=overshoot, slack=slack
    )
    fleet.settle()
    fleet.record_cold()
    # Some wait until they have saved up what they can, others don't.
    fleet.send(1.0)
    fleet.clock.advance(SECOND)
    sent = fleet.send(0.9)
    assert fleet.most <= fleet.allowed()
    assert sent >= 0.4 * per_s * 0.9 - 2


@pytest.mark.parametrize("count", [37, 400])
def test_parts_are_usable(manual_clock, count):
    fleet = _Fleet(manual_clock, count)
    fleet.settle()
    fleet.record_cold()
    sent = fleet.send(cold_rig.COLD_S)
    assert sent >= 0.6 * cold_rig.COLD_PER_S * cold_rig.COLD_S
    # The first ones are not sent at the same time.
    assert fleet.most < 0.8 * fleet.allowed()


def test_nearly_all_processes_have_a_part_of_each_server(manual_clock):
    fleet = _Fleet(manual_clock, 37)
    fleet.settle()
    keys = [desired.BackendKey(f"i-{num}") for num in range(24)]
    for one in fleet.limits:
        for key in keys:
            one.record_cold(key, COLD_TIME, ENTRY)
    fleet.clock.advance(2 * SECOND)
    for one in fleet.limits:
        assert sum(one.may_send(key) for key in keys) >= 18


def test_server_that_becomes_cold_again_is_usable_at_once(manual_clock):
    fleet = _Fleet(manual_clock, 37)
    fleet.settle()
    for _ in range(2):
        fleet.record_cold()
        for _ in range(3):
            assert 10 <= fleet.send(1.0) <= 26
        fleet.clock.advance(10 * SECOND)
    assert fleet.most <= fleet.allowed()


def test_further_reports_add_no_requests(manual_clock):
    fleet = _Fleet(manual_clock, 37)
    fleet.settle()
    for _ in range(20):
        fleet.record_cold()
        fleet.send(0.3)
    assert fleet.most <= fleet.allowed()


def test_server_that_is_never_warm_stays_limited(manual_clock):
    fleet = _Fleet(manual_clock, 37)
    fleet.settle()
    for num in range(10):
        fleet.record_cold(source=(ENTRY, RESPONSE)[num % 2])
        fleet.send(1.2)
    assert fleet.most <= fleet.allowed()
    fleet.send(cold_rig.COLD_S - 1.3)
    assert fleet.most <= fleet.allowed()
    fleet.clock.advance(3 * SECOND)
    assert not fleet.limits[0].cold_servers()


@pytest.mark.parametrize("count", [37, 400])
@pytest.mark.parametrize("cut_s", [2, 50, 100, 200])
def test_processes_that_are_cut_off_keep_to_their_parts(
    manual_clock, count, cut_s
):
    # Peers that are silent for 60 s are forgotten on both sides.
    fleet = _Fleet(manual_clock, count)
    fleet.settle()
    third = count // 3
    cut, others = fleet.names[:third], fleet.names[third:]
    for limits in fleet.limits[:third]:
        limits.known_processes = lambda: cut if cut_s > 60 else fleet.names
    for limits in fleet.limits[third:]:
        limits.known_processes = lambda: others if cut_s > 60 else fleet.names
    fleet.settle(cut_s)
    fleet.record_cold()
    fleet.send(cold_rig.COLD_S)
    assert fleet.most <= fleet.allowed()


@pytest.mark.parametrize("count", [5, 37, 400])
@pytest.mark.parametrize("seeds", [1, 4])
def test_processes_that_start_meanwhile_keep_the_bound(
    manual_clock, count, seeds
):
    fleet = _Fleet(manual_clock, count)
    fleet.settle()
    fleet.record_cold()
    for num in range(3):
        fleet.send(0.5)
        # It knows nobody yet, as the store does not answer, and it replaces
        # a process whose requests still count.
        name = fleet.names[num]
        started = fleet.new(name)
        started.known_processes = lambda: ()
        started.processes.least_count = 1 + seeds
        started.record_cold(KEY, 2 * SECOND, ENTRY)
        fleet.limits[num] = started
    fleet.send(1.5)
    assert fleet.most <= fleet.allowed()


def test_process_without_peers_does_not_take_the_whole_rate(manual_clock):
    fleet = _Fleet(manual_clock, 1)
    fleet.limits[0].processes.least_count = 5
    fleet.settle(60)
    fleet.record_cold()
    assert 1 <= fleet.send(cold_rig.COLD_S) <= 1 + cold_rig.COLD_S


def test_load_rises_gradually_after_the_end(manual_clock):
    fleet = _Fleet(manual_clock, 37)
    fleet.settle()
    fleet.record_cold()
    fleet.send(cold_rig.COLD_S)
    quarters = [fleet.send(0.25) for _ in range(4)]
    assert quarters[0] <= 1.75 * cold_rig.COLD_PER_S * 0.25 + 2
    assert quarters[3] >= 1.5 * quarters[0]
    assert quarters[3] <= 4 * cold_rig.COLD_PER_S * 0.25
    fleet.clock.advance(0.1 * SECOND)
    limits = fleet.limits[0]
    assert not limits.cold_servers()
    assert all(limits.try_spend(KEY) for _ in range(100))


def _one(clock) -> rate_limits.ServerLimits:
    return _Fleet(clock, 1).limits[0]


def _left_s(limits: rate_limits.ServerLimits) -> float:
    return limits.cold.left_ms(KEY) / 1000


def test_cold_state_ends_by_itself_after_the_longest_time(manual_clock):
    limits = _one(manual_clock)
    limits.record_cold(KEY, 50 * SECOND, ENTRY)
    assert _left_s(limits) == cold_rig.COLD_S
    manual_clock.advance(COLD_TIME + 2 * SECOND)
    assert not limits.cold_servers()
    assert limits.remaining([KEY]) is None


@pytest.mark.parametrize("source", [ENTRY, RESPONSE])
def test_reports_of_a_warm_server_do_not_prolong_the_end(manual_clock, source):
    limits = _one(manual_clock)
    limits.record_cold(KEY, COLD_TIME, source)
    manual_clock.advance(SECOND)
    for _ in range(11):
        limits.record_cold(KEY, 0 * SECOND, source)
        manual_clock.advance(0.1 * SECOND)
    assert not limits.cold_servers()


class _JumpingClock:
    """A clock whose time of day jumps each time that it is read."""

    def __init__(self, clock: clock_lib.ManualClock) -> None:
        self._clock = clock
        self._days = 0

    def now(self) -> datetime.datetime:
        self._days = -self._days + 1
        return self._clock.now() + datetime.timedelta(days=self._days)

    def monotonic(self) -> clock_lib.Instant:
        return self._clock.monotonic()


def test_jumps_of_the_time_of_day_change_nothing(manual_clock):
    limits = _one(_JumpingClock(manual_clock))
    limits.record_cold(KEY, COLD_TIME, ENTRY)
    manual_clock.advance(COLD_TIME - MS)
    assert limits.cold_servers()
    assert limits.cold.left_ms(KEY) == 1
    manual_clock.advance(SECOND + MS)
    assert not limits.cold_servers()


def test_other_servers_and_lives_are_not_limited(manual_clock):
    limits = _one(manual_clock)
    limits.record_cold(KEY, COLD_TIME, ENTRY)
    assert limits.cold_servers() == {KEY}
    assert not limits.servers()
    assert all(limits.try_spend(OTHER) for _ in range(100))
    limits.retain_only({OTHER})
    assert not limits.cold_servers()


def test_service_without_a_limit_has_no_cold_servers(manual_clock):
    limits = _one(manual_clock)
    limits.cold.limit_of = lambda key: None
    limits.record_cold(KEY, COLD_TIME, ENTRY)
    assert not limits.cold_servers()
    assert all(limits.try_spend(KEY) for _ in range(100))
    # The desired state may be read after the entries.
    limits.cold.limit_of = lambda key: _cold_limit(23.0)
    limits.cold.invalidate()
    assert limits.cold_servers() == {KEY}


@pytest.mark.parametrize(
    ("reports", "left_s"),
    [
        pytest.param([(ENTRY, 3, 0), (ENTRY, 0, 0)], 0, id="entry-ends"),
        pytest.param([(ENTRY, 3, 0), (RESPONSE, 0, 0)], 0, id="answer-ends"),
        pytest.param(
            [(RESPONSE, 3, 0.5), (ENTRY, 0, 0)], 2.5, id="entry-may-be-older"
        ),
        pytest.param(
            [(RESPONSE, 3, 2.2), (ENTRY, 0, 0)], 0, id="entry-is-newer"
        ),
        pytest.param(
            [(RESPONSE, 3, 0.5), (ENTRY, 3, 0)], 3, id="entry-extends"
        ),
        pytest.param(
            [(ENTRY, 3, 0.5), (PEER, 1, 0)], 2.5, id="peer-does-not-shorten"
        ),
        pytest.param([(ENTRY, 1, 0.5), (PEER, 2, 0)], 2, id="peer-extends"),
    ],
)
def test_report_that_is_newest_counts(manual_clock, reports, left_s):
    limits = _one(manual_clock)
    for source, seconds, wait_s in reports:
        limits.record_cold(KEY, seconds * SECOND, source)
        manual_clock.advance(wait_s * SECOND)
    assert _left_s(limits) == pytest.approx(left_s, abs=0.01)


def test_held_request_is_sent_and_others_choose_another_server(manual_clock):
    limits = _one(manual_clock)
    limits.record_cold(KEY, COLD_TIME, ENTRY)
    while not limits.may_send(KEY):
        manual_clock.advance(MS)
    limits.hold(KEY)
    assert not limits.may_send(KEY)
    limits.release(KEY)
    assert limits.try_spend(KEY)
    assert not limits.may_send(KEY)


def test_request_that_is_not_sent_leaves_its_place_to_others(manual_clock):
    limits = _one(manual_clock)
    limits.hold(KEY)
    limits.record_cold(KEY, COLD_TIME, ENTRY)
    limits.release(KEY)
    limits.hold(KEY)
    limits.release(KEY)
    manual_clock.advance(2 * SECOND)
    assert limits.try_spend(KEY)


def test_stated_limit_and_cold_state_both_hold(manual_clock):
    limits = _one(manual_clock)
    limits.record_cold(KEY, COLD_TIME, ENTRY)
    limits.record_response(KEY, _stated(0.5))
    sent = sum(limits.try_spend(KEY) for _ in range(10))
    for _ in range(100):
        manual_clock.advance(STEP_S * SECOND)
        sent += limits.try_spend(KEY)
    assert sent <= 2


def _stated(rate: float):
    return platform.RateLimit(stated=True, per_s=rate)


def test_remaining_time_holds(manual_clock):
    limits = _Fleet(manual_clock, 37).limits[0]
    limits.record_cold(KEY, COLD_TIME, ENTRY)
    wait = limits.remaining([KEY, OTHER])
    assert wait is not None
    assert not limits.may_send(KEY)
    manual_clock.advance(wait + MS)
    assert limits.may_send(KEY)


def test_changed_bounds_apply_at_once(manual_clock):
    fleet = _Fleet(manual_clock, 37)
    fleet.settle()
    fleet.record_cold()
    for one in fleet.limits:
        one.cold.configure(overshoot=0.2, slack=0.0)
    fleet.send(cold_rig.COLD_S)
    assert fleet.most <= 0.2 * cold_rig.COLD_PER_S
