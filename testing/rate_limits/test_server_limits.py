# SPDX-License-Identifier: Apache-2.0
"""Servers that limit the requests of all processes together.

Nothing read the limit that a server in need states in its responses, so each
process went on sending to it as to any other server.
"""

import asyncio
import collections
import datetime
import random

import crash_rig
import edge_rig
import pytest
import soak_checks
import virtual_time

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import messages
from lugcross import platform
from lugcross import rate_limits

KEY = desired.BackendKey("i-0")
OTHER = desired.BackendKey("i-1")
SECOND = datetime.timedelta(seconds=1)
A_MOMENT = datetime.timedelta(milliseconds=50)
SETTLED_S = 4.0


def _most_in_window(fleet: crash_rig.Fleet, server: str) -> int:
    """Return the most requests that count in one interval."""
    return soak_checks.most_limited_requests(
        [
            soak_checks.ReceivedRequest(
                server=one.server, sender=one.node, received_s=one.at
            )
            for one in fleet.limited
            if one.server == server
        ]
    )


def _run_fleet(
    monkeypatch,
    seed: int,
    limit: bytes,
    *,
    domains: tuple[int, ...],
    load_per_s: float,
    limited: int = 1,
    fault=None,
) -> crash_rig.Fleet:
    """Run a fleet whose load comes and goes; some servers state a limit.

    :param limited: how many of the four servers state the limit.
    :param fault: called with the fleet in the first load.
    """

    async def main() -> crash_rig.Fleet:
        random.seed(seed)
        fleet = crash_rig.Fleet(monkeypatch, *domains, servers=4, seed=seed)
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        for num in range(3):
            with fleet.under_load(load_per_s):
                await asyncio.sleep(1.0)
                for one in fleet.servers[:limited]:
                    one.limit = limit
                await asyncio.sleep(5.0)
                if not num and fault is not None:
                    fault(fleet)
            await asyncio.sleep(4.0)
        await asyncio.sleep(2 * crash_rig.REQUEST_S)
        await fleet.stop()
        return fleet

    return virtual_time.run(main())


@pytest.mark.parametrize(
    ("limit", "domains", "load_per_s"),
    [
        pytest.param(b"5", (4, 4), 40.0, id="5-a-second"),
        pytest.param(b"1.5", (4, 4), 20.0, id="1.5-a-second"),
        pytest.param(b"0.3", (4, 4), 20.0, id="below-1-a-second"),
        pytest.param(b"0", (4, 4), 20.0, id="0-a-second"),
        pytest.param(b"5", (20, 20), 60.0, id="40-processes"),
    ],
)
def test_all_processes_together_keep_a_limit(
    monkeypatch, limit, domains, load_per_s
):
    most = {}
    for seed in (1, 2):
        fleet = _run_fleet(
            monkeypatch, seed, limit, domains=domains, load_per_s=load_per_s
        )
        most[seed] = _most_in_window(fleet, fleet.servers[0].name)
    allowed = soak_checks.allowed_requests(float(limit))
    assert max(most.values()) <= allowed, most


def test_process_that_is_cut_off_keeps_to_its_part(monkeypatch):
    fleet = _run_fleet(
        monkeypatch,
        1,
        b"3",
        domains=(4, 4),
        load_per_s=30.0,
        fault=lambda fleet: [
            fleet.cut_off(name) for name in ("n1-0", "n1-1", "n1-2", "n1-3")
        ],
    )
    most = _most_in_window(fleet, fleet.servers[0].name)
    assert most <= soak_checks.allowed_requests(3.0)


def test_a_limited_server_is_used_up_to_its_limit(monkeypatch):
    fleet = _run_fleet(
        monkeypatch, 1, b"4", domains=(2, 2), load_per_s=30.0, limited=4
    )
    # The last load lasts 6 s: 4 servers take 4 requests a second each.
    since = SETTLED_S + 20.0
    served = sum(one.at > since for one in fleet.sends)
    assert served > 0.5 * 4 * 4 * 6
    refused = [one for one in fleet.answers if one.status == 503]
    assert refused
    assert any(b"limits its requests" in one.text for one in refused)


def test_others_serve_beyond_a_limit(monkeypatch):
    fleet = _run_fleet(monkeypatch, 1, b"0.5", domains=(3, 2), load_per_s=12.0)
    answers = collections.Counter(one.status for one in fleet.answers)
    assert answers[200] >= 0.98 * answers.total(), answers


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        pytest.param([b"5"], 5.0, id="integer"),
        pytest.param([b" 0.25 "], 0.25, id="below-1"),
        pytest.param([b"0"], 0.0, id="zero"),
        pytest.param([b"0.0"], 0.0, id="decimal-zero"),
        pytest.param([b"1e300"], 1e300, id="absurd"),
        pytest.param([b"9" * 200], 1e200, id="digits"),
        pytest.param([b"7", b"3", b"x"], 3.0, id="lowest-of-several"),
    ],
)
def test_limit_is_read_as_a_decimal(values, rate):
    headers = [(b"server-limit", one) for one in values]
    head = platform.parse_backend_response_head(200, headers)
    assert head.rate_limit.per_s == pytest.approx(rate)
    assert head.rate_limit.stated


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"-1",
        b"nan",
        b"inf",
        b"1e400",
        b"1,5",
        b"five",
        b"9" * 100_000,
        b"\xff",
    ],
    ids=[
        "empty",
        "negative",
        "nan",
        "infinite",
        "beyond-numbers",
        "comma",
        "word",
        "far-too-many-digits",
        "no-text",
    ],
)
def test_malformed_limit_neither_sets_nor_ends_a_limit(value, manual_clock):
    headers = [(b"server-limit", value)]
    head = platform.parse_backend_response_head(503, headers)
    assert head.rate_limit.stated
    assert head.rate_limit.per_s is None
    limits = rate_limits.ServerLimits(manual_clock)
    limits.record_response(KEY, head.rate_limit)
    assert not limits.servers()
    limits.record_response(KEY, platform.RateLimit(stated=True, per_s=2.0))
    manual_clock.advance(A_MOMENT)
    limits.record_response(KEY, head.rate_limit)
    assert limits.servers() == {KEY}


def _stated(rate: float) -> platform.RateLimit:
    return platform.RateLimit(stated=True, per_s=rate)


NOT_STATED = platform.RateLimit(stated=False, per_s=None)


def _limits(clock, own: int = 0, count: int = 1):
    """Return the limits at one of ``count`` processes that know each other."""
    limits = rate_limits.ServerLimits(clock)
    limits.own_address = f"p{own}"
    limits.known_processes = lambda: [f"p{num}" for num in range(count)]
    return limits


def _sent_in(limits, clock, seconds: float) -> int:
    """Send as often as possible; return how often."""
    sent = 0
    for _ in range(int(seconds * 100)):
        clock.advance(SECOND / 100)
        sent += limits.try_spend(KEY)
    return sent


def test_new_limit_begins_without_saved_requests(manual_clock):
    limits = _limits(manual_clock)
    limits.record_response(KEY, _stated(2.0))
    assert not limits.try_spend(KEY)
    assert limits.try_spend(OTHER)
    assert 6 <= _sent_in(limits, manual_clock, 4.0) <= 8


def test_quiet_time_saves_up_little(manual_clock):
    limits = _limits(manual_clock)
    limits.record_response(KEY, _stated(2.0))
    manual_clock.advance(100 * SECOND)
    assert limits.try_spend(KEY)
    assert not limits.try_spend(KEY)


@pytest.mark.parametrize("rate", [0.0, 0.4, 1.0, 5.0, 50.0])
@pytest.mark.parametrize("count", [1, 2, 5, 40, 400])
def test_parts_of_all_processes_keep_the_limit(manual_clock, rate, count):
    fleet = [_limits(manual_clock, own, count) for own in range(count)]
    for limits in fleet:
        limits.record_response(KEY, _stated(rate))
    # All have saved up what they can when the load comes.
    manual_clock.advance(60 * SECOND)
    sent = 0
    for _ in range(40):
        for limits in fleet:
            while limits.try_spend(KEY):
                sent += 1
        manual_clock.advance(soak_checks.LIMIT_WINDOW_S / 40 * SECOND)
    assert sent <= soak_checks.allowed_requests(rate)
    assert sent >= 0.6 * soak_checks.LIMIT_WINDOW_S * rate


@pytest.mark.parametrize(
    ("answers", "limited"),
    [
        pytest.param([_stated(5.0), NOT_STATED], False, id="no-longer-stated"),
        pytest.param([NOT_STATED, _stated(5.0)], True, id="stated-later"),
        pytest.param(
            [_stated(5.0), NOT_STATED, _stated(1.0)], True, id="stated-again"
        ),
    ],
)
def test_newest_response_counts(manual_clock, answers, limited):
    limits = _limits(manual_clock)
    for one in answers:
        manual_clock.advance(A_MOMENT)
        limits.record_response(KEY, one)
    assert bool(limits.servers()) is limited


def test_changed_limit_applies_at_once(manual_clock):
    limits = _limits(manual_clock)
    limits.record_response(KEY, _stated(0.5))
    manual_clock.advance(A_MOMENT)
    limits.record_response(KEY, _stated(50.0))
    assert _sent_in(limits, manual_clock, 1.0) >= 30


def test_new_incarnation_has_no_limit(manual_clock):
    limits = _limits(manual_clock)
    limits.record_response(desired.BackendKey("i-0 1"), _stated(0.0))
    assert limits.try_spend(desired.BackendKey("i-0 2"))


def _tell(sender, receiver, clock) -> None:
    """Pass on a heartbeat as its encoded bytes."""
    heartbeat = messages.Heartbeat(
        "peer",
        "i",
        "d",
        1,
        False,
        1,
        1,
        {},
        [],
        server_limits=rate_limits.own_limit_messages(
            sender, clock.monotonic()
        ),
    )
    received = messages.decode_datagram(messages.encode(heartbeat))
    assert isinstance(received, messages.Heartbeat)
    rate_limits.apply_limit_messages(
        receiver, received.server_limits, clock.monotonic()
    )


def test_peers_hear_of_a_limit_and_of_its_end(manual_clock):
    one, two = _limits(manual_clock, 0, 2), _limits(manual_clock, 1, 2)
    one.record_response(KEY, _stated(2.0))
    _tell(one, two, manual_clock)
    assert two.servers() == {KEY}
    manual_clock.advance(SECOND)
    two.record_response(KEY, NOT_STATED)
    _tell(two, one, manual_clock)
    assert not one.servers()
    # What a process says that has not heard of the end does not renew it.
    late = _limits(manual_clock, 2, 2)
    late.merge(
        [
            rate_limits.LimitReport(
                KEY, 2.0, manual_clock.monotonic() - 2 * SECOND
            )
        ]
    )
    _tell(late, one, manual_clock)
    assert not one.servers()


def test_process_that_starts_later_hears_of_a_limit(manual_clock):
    one, two = _limits(manual_clock, 0, 2), _limits(manual_clock, 1, 2)
    for num in range(20):
        one.record_response(desired.BackendKey(f"i-{num}"), _stated(2.0))
    manual_clock.advance(60 * SECOND)
    for _ in range(20):
        manual_clock.advance(A_MOMENT)
        _tell(one, two, manual_clock)
    assert len(two.servers()) == 20


def test_few_other_messages_go_to_a_limited_server(manual_clock):
    limits = _limits(manual_clock)
    assert all(limits.try_spend_deferrable(KEY) for _ in range(9))
    limits.record_response(KEY, _stated(0.0))
    sent = 0
    for _ in range(80):
        sent += limits.try_spend_deferrable(KEY)
        manual_clock.advance(A_MOMENT)
    assert sent == 4


def test_all_limited_callers_get_a_time_that_holds():
    limited = edge_rig.answer(200, b"whole", b"Server-Limit: 0.5")

    async def act(rig, clock):
        assert (await rig.ask()).status == 200
        refused = await rig.ask()
        assert refused.status == 503
        assert b"limits its requests" in refused.body
        wait = float(refused.headers[b"retry-after"])
        clock.advance(wait * SECOND)
        assert (await rig.ask()).status == 200
        return wait

    async def main():
        clock = clock_lib.ManualClock()
        rig = edge_rig.Rig(clock)
        rig.adopt(edge_rig.SAFE_ROUTE)
        await rig.start([limited] * 3)
        try:
            return await act(rig, clock)
        finally:
            rig.close()

    assert 1.0 < asyncio.run(main()) < 5.0


def test_retry_does_not_exceed_a_limit():
    refuses = edge_rig.answer(503, b"", b"Not-Executed: 1", seal=False)
    limited = edge_rig.answer(200, b"whole", b"Server-Limit: 0.5")

    async def main():
        clock = clock_lib.ManualClock()
        rig = edge_rig.Rig(clock)
        rig.adopt(edge_rig.SAFE_ROUTE)
        await rig.start([limited] * 9, [refuses] * 9)
        try:
            for _ in range(6):
                await rig.ask()
                clock.advance(A_MOMENT)
            return len(rig.backends[0].seen)
        finally:
            rig.close()

    assert asyncio.run(main()) == 1
