# SPDX-License-Identifier: Apache-2.0
"""Servers that refuse requests without asking for a backoff.

Five of 16 servers refused all requests. They look idle, since a refusal takes
a millisecond, and each process tried each of them again 0.8 s after its last
refusal, at any request rate: half of all first attempts went to them. The
retry budget pays for a tenth of the requests, so the others were refused.
"""

import asyncio
import collections
import datetime
import random

import crash_rig
import edge_rig
import msgspec
import pytest
import virtual_time

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import messages
from lugcross.edge import probe_allowance as probe_allowance_lib
from lugcross.edge import refusal_reports
from lugcross.edge import refusing_servers as refusing_servers_lib

KEY = desired.BackendKey("i-0")
OTHER = desired.BackendKey("i-1")
A_MOMENT = datetime.timedelta(milliseconds=50)
#: Longer than refusals are remembered.
LONG = datetime.timedelta(seconds=6)
#: Fraction of refused requests above which users want an alert.
MAX_REFUSED_RATIO = 0.1
#: Retries that all processes together may send in ten seconds, in addition to
#: a fifth of the callers' requests.
RETRY_SLACK = 90
#: Time until every process has read the store and knows its peers.
SETTLED_S = 4.0
#: Rate of requests that takes four in ten of the slots of 16 servers.
LOAD_PER_S = 36.0


def _run_fleet(
    monkeypatch,
    seed: int,
    *,
    servers: int = 16,
    refusing: int,
    ratio: float = 1.0,
    load_per_s: float = LOAD_PER_S,
    refusing_s: float = 9.0,
    accepting_s: float = 0.0,
) -> crash_rig.Fleet:
    """Run five processes while some servers refuse and accept in turn.

    The servers refuse and accept twice if ``accepting_s`` is given.

    :param ratio: fraction of the requests that the servers refuse.
    """

    async def main() -> crash_rig.Fleet:
        random.seed(seed)
        fleet = crash_rig.Fleet(monkeypatch, 3, 2, servers=servers, seed=seed)
        for node in fleet.nodes.values():
            node.edge_state.bounds = msgspec.structs.replace(
                edge_rig.BOUNDS, repeat_slack=RETRY_SLACK
            )
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        some = fleet.rng.sample(fleet.servers, refusing)
        with fleet.under_load(load_per_s):
            for _ in range(2 if accepting_s else 1):
                for one in some:
                    one.refused_ratio = ratio
                await asyncio.sleep(refusing_s)
                for one in some:
                    one.refused_ratio = 0.0
                await asyncio.sleep(accepting_s)
        await asyncio.sleep(2 * crash_rig.REQUEST_S)
        await fleet.stop()
        return fleet

    return virtual_time.run(main())


def _refused_ratio(fleet: crash_rig.Fleet) -> float:
    answers = collections.Counter(one.status for one in fleet.answers)
    return answers[503] / answers.total()


@pytest.mark.parametrize(
    "how",
    [
        pytest.param({"refusing": 3}, id="3-of-16"),
        pytest.param({"refusing": 7}, id="7-of-16"),
        pytest.param(
            {"servers": 10, "refusing": 3, "load_per_s": 24.0}, id="3-of-10"
        ),
        pytest.param(
            {"servers": 40, "refusing": 14, "load_per_s": 90.0},
            id="14-of-40",
        ),
        pytest.param(
            {"refusing": 5, "refusing_s": 1.0, "accepting_s": 4.0},
            id="accept-again-after-1-s",
        ),
        pytest.param(
            {"refusing": 5, "accepting_s": 6.0}, id="accept-again-after-9-s"
        ),
        pytest.param({"refusing": 5, "ratio": 0.5}, id="refuse-half"),
        pytest.param({"refusing": 5, "ratio": 0.2}, id="refuse-a-fifth"),
    ],
)
def test_refusing_servers_do_not_draw_the_load(monkeypatch, how):
    refused = [
        _refused_ratio(_run_fleet(monkeypatch, seed, **how))
        for seed in (11, 12)
    ]
    assert max(refused) < MAX_REFUSED_RATIO, refused


def test_servers_that_accept_again_get_their_share_within_seconds(
    monkeypatch,
):
    for seed in (11, 12):
        fleet = _run_fleet(
            monkeypatch, seed, refusing=5, refusing_s=4.0, accepting_s=4.0
        )
        # The last two seconds of load, when all 16 servers accept.
        since = SETTLED_S + 14.0
        sends = collections.Counter(
            one.server for one in fleet.sends if since < one.at
        )
        assert len(sends) == 16
        assert min(sends.values()) >= sends.total() / 16 / 3, sends


def _refusing(clock) -> refusing_servers_lib.RefusingServers:
    return refusing_servers_lib.RefusingServers(clock)


def _tell(
    sender: refusing_servers_lib.RefusingServers,
    receiver: refusing_servers_lib.RefusingServers,
    clock: clock_lib.ManualClock,
    node: str = "peer",
) -> None:
    """Pass on a heartbeat as its encoded bytes."""
    heartbeat = messages.Heartbeat(
        node,
        "i",
        "d",
        1,
        False,
        1,
        1,
        {},
        [],
        server_reports=refusal_reports.own_messages(sender, clock.monotonic()),
    )
    received = messages.decode_datagram(messages.encode(heartbeat))
    assert isinstance(received, messages.Heartbeat)
    refusal_reports.merge(receiver, received, clock.monotonic())


def test_one_refusal_does_not_make_a_server_refusing(manual_clock):
    refusing = _refusing(manual_clock)
    refusing.record_refusal(KEY)
    assert not refusing.servers()
    refusing.record_refusal(KEY)
    assert refusing.servers() == {KEY}


def test_unchanged_servers_are_the_same_object(manual_clock):
    refusing = _refusing(manual_clock)
    refusing.record_refusal(KEY)
    refusing.record_refusal(KEY)
    before = refusing.servers()
    refusing.record_refusal(KEY)
    refusing.record_refusal(OTHER)
    assert refusing.servers() is before


def test_accepted_request_counts_from_when_it_was_sent(manual_clock):
    refusing = _refusing(manual_clock)
    sent_before = manual_clock.monotonic()
    manual_clock.advance(A_MOMENT)
    refusing.record_refusal(KEY)
    refusing.record_refusal(KEY)
    manual_clock.advance(A_MOMENT)
    refusing.record_accepted(KEY, sent_before)
    assert refusing.servers() == {KEY}
    refusing.record_accepted(KEY, manual_clock.monotonic())
    assert not refusing.servers()


def test_refusals_at_two_processes_add_up(manual_clock):
    one, two = _refusing(manual_clock), _refusing(manual_clock)
    one.record_refusal(KEY)
    two.record_refusal(KEY)
    _tell(one, two, manual_clock)
    assert two.servers() == {KEY}
    assert not one.servers()


def test_repeated_heartbeat_does_not_count_a_refusal_twice(manual_clock):
    one, two = _refusing(manual_clock), _refusing(manual_clock)
    one.record_refusal(KEY)
    for _ in range(3):
        _tell(one, two, manual_clock)
        manual_clock.advance(A_MOMENT)
    assert not two.servers()


def test_peers_learn_that_a_server_accepts_again(manual_clock):
    one, two = _refusing(manual_clock), _refusing(manual_clock)
    one.record_refusal(KEY)
    one.record_refusal(KEY)
    _tell(one, two, manual_clock)
    assert two.servers() == {KEY}
    manual_clock.advance(A_MOMENT)
    two.record_accepted(KEY, manual_clock.monotonic())
    _tell(two, one, manual_clock)
    assert not one.servers()
    # An old heartbeat of the process that saw the refusals changes nothing.
    _tell(one, two, manual_clock)
    assert not two.servers()


def test_refusals_are_forgotten_if_nobody_probes_the_server(manual_clock):
    refusing = _refusing(manual_clock)
    refusing.record_refusal(KEY)
    refusing.record_refusal(KEY)
    manual_clock.advance(LONG)
    assert not refusing.servers()
    assert not refusing.own_reports()


def test_heartbeat_reports_few_servers_and_only_for_a_while(manual_clock):
    refusing = _refusing(manual_clock)
    for num in range(100):
        refusing.record_refusal(desired.BackendKey(f"i-{num}"))
    reported = [one.key for one in refusing.own_reports()]
    assert reported == [f"i-{num}" for num in range(92, 100)]
    manual_clock.advance(2 * clock_lib.seconds(1))
    assert not refusing.own_reports()


def test_many_reporting_peers_do_not_grow_the_state(manual_clock):
    refusing = _refusing(manual_clock)
    for num in range(400):
        peer = _refusing(manual_clock)
        peer.record_refusal(KEY)
        _tell(peer, refusing, manual_clock, f"n{num}")
    assert len(refusing._entries[KEY].refusals) <= 2
    assert refusing.servers() == {KEY}


def test_only_failed_probes_use_up_the_allowance():
    allowance = probe_allowance_lib.ProbeAllowance()
    assert allowance.may_probe()
    allowance.record_failed_probe()
    needed = 0
    while not allowance.may_probe():
        allowance.record_request()
        needed += 1
    assert 10 <= needed <= 21
    allowance.record_request()
    allowance.record_failed_probe()
    assert not allowance.may_probe()
