# SPDX-License-Identifier: Apache-2.0
"""Which failure domains a process finds unreachable, with a manual clock.

A domain must be left out after few failed connections. It must not be for a
server that crashed, however often it is tried, since its requests would be
pressed onto the other domains.
"""

import datetime

import pytest

from lugcross import ids
from lugcross import reachability as reachability_lib

CUT = ids.DomainName("cut")
OWN = ids.DomainName("own")
THIRD = ids.DomainName("third")
SERVERS = {
    domain: [f"{domain}-{num}:80" for num in range(6)]
    for domain in (CUT, OWN, THIRD)
}
A_MOMENT = datetime.timedelta(milliseconds=10)
#: Longer than the time between two probes of an unreachable domain.
PROBE_TIME = datetime.timedelta(milliseconds=350)
#: Longer than failed connections count.
LONG = datetime.timedelta(seconds=5)
CUT_TIME = datetime.timedelta(seconds=6)


@pytest.fixture
def domains(manual_clock):
    """Return the state of a process that knows three domains."""
    found = reachability_lib.DomainReachability(manual_clock)
    found.servers_by_domain = lambda: SERVERS
    found.own_address = "n1:9"
    return found


def _fail(domains, domain=CUT, count=4) -> None:
    """Fail to connect for one request, then by probes."""
    for num, server in enumerate(SERVERS[domain][:count]):
        domains.record_not_connected(domain, server, probe=num > 0)


def _due_probes(domains) -> list[reachability_lib.Probe]:
    return list(iter(domains.due_probe, None))


def test_failures_of_a_request_and_three_probes_are_enough(domains):
    _fail(domains, count=3)
    assert not domains.unreachable()
    _fail(domains)
    assert domains.unreachable() == {CUT}
    assert domains.own_findings() == [CUT]


def test_single_crashed_server_never_does(domains, manual_clock):
    """Also if it is tried again and again, and by a request every second."""
    for _ in range(100):
        domains.record_not_connected(CUT, SERVERS[CUT][0])
        manual_clock.advance(A_MOMENT)
        assert not domains.unreachable()
        assert domains.due_probe() is None


def test_requests_alone_do_not_show_it(domains):
    """Three of six servers may have crashed; the probes tell."""
    for server in SERVERS[CUT][:5]:
        domains.record_not_connected(CUT, server)
    assert not domains.unreachable()
    domains.record_not_connected(CUT, SERVERS[CUT][5])
    assert domains.unreachable() == {CUT}


def test_without_known_servers_three_failures_are_enough(domains):
    """Nothing can be probed then."""
    domains.servers_by_domain = dict
    for server in SERVERS[CUT][:3]:
        assert not domains.own_findings()
        domains.record_not_connected(CUT, server)
    assert domains.own_findings() == [CUT]


def test_single_refused_connection_of_each_server_over_time_never_does(
    domains, manual_clock
):
    for server in SERVERS[CUT]:
        domains.record_not_connected(CUT, server)
        manual_clock.advance(LONG)
    assert not domains.unreachable()


def test_connection_in_between_makes_failures_those_of_single_servers(domains):
    _fail(domains, count=2)
    domains.record_connected(CUT, SERVERS[CUT][5])
    domains.record_not_connected(CUT, SERVERS[CUT][2])
    assert not domains.unreachable()


def test_timeout_that_began_before_a_connection_shows_nothing(
    domains, manual_clock
):
    """At the end of a cut, such timeouts would begin it again."""
    begun_at = manual_clock.monotonic()
    manual_clock.advance(A_MOMENT)
    domains.record_connected(CUT, SERVERS[CUT][0])
    manual_clock.advance(A_MOMENT)
    for server in SERVERS[CUT]:
        domains.record_not_connected(CUT, server, begun_at=begun_at)
    assert not domains.unreachable()


def test_two_failures_are_checked_by_probes_of_other_servers(
    domains, manual_clock
):
    """The last failure must cost no caller an attempt."""
    _fail(domains, count=2)
    probe = domains.due_probe()
    assert probe is not None
    assert probe.domain == CUT
    assert probe.server not in SERVERS[CUT][:2]
    domains.record_connected(probe.domain, probe.server)
    manual_clock.advance(PROBE_TIME)
    assert domains.due_probe() is None


def test_suspicion_is_announced_until_it_is_probed(domains):
    """The prober need not wait for its next check."""
    calls = []
    domains.on_suspicion = lambda: calls.append(len(_due_probes(domains)))
    _fail(domains, count=1)
    assert calls == []
    for server in SERVERS[CUT][1:4]:
        domains.record_not_connected(CUT, server)
    assert len(calls) == 1
    assert calls[0] >= 3


def test_suspicion_of_a_small_domain_ends_the_probes(domains):
    """The prober makes probes until none is due."""
    domains.servers_by_domain = lambda: {**SERVERS, CUT: SERVERS[CUT][:3]}
    for server in SERVERS[CUT][:2]:
        domains.record_not_connected(CUT, server)
    assert domains.due_probe() is not None
    assert domains.due_probe() is None


def test_suspicion_costs_few_probes(domains, manual_clock):
    _fail(domains, count=2)
    probes = []
    for _ in range(100):
        probes += _due_probes(domains)
        manual_clock.advance(A_MOMENT)
    assert 1 <= len(probes) <= 4


def test_unreachable_domain_is_probed_a_few_times_a_second(
    domains, manual_clock
):
    """Each time at another server, as some may be down for good."""
    _fail(domains)
    probes = []
    for _ in range(400):
        probes += _due_probes(domains)
        manual_clock.advance(A_MOMENT)
    assert 8 <= len(probes) <= 16
    assert {one.server for one in probes} == set(SERVERS[CUT])


def test_first_connection_ends_it_with_a_gradual_return(domains, manual_clock):
    _fail(domains)
    manual_clock.advance(CUT_TIME)
    domains.record_connected(CUT, SERVERS[CUT][0])
    assert not domains.unreachable()
    fractions = []
    used = []
    while domains.returning():
        fractions += [part for _, part in domains.returning_fractions()]
        used.append(sum(domains.may_use(CUT, one) for one in SERVERS[CUT]))
        assert all(domains.may_use(OWN, one) for one in SERVERS[OWN])
        manual_clock.advance(datetime.timedelta(milliseconds=100))
    assert fractions[0] <= 0.1
    assert fractions == sorted(fractions)
    assert used == sorted(used)
    assert used[0] < len(SERVERS[CUT])
    assert all(domains.may_use(CUT, one) for one in SERVERS[CUT])


def test_false_suspicion_ends_without_gradual_return(domains, manual_clock):
    """Three servers may crash at once; the others serve on."""
    _fail(domains)
    manual_clock.advance(A_MOMENT)
    domains.record_connected(CUT, SERVERS[CUT][4])
    assert not domains.unreachable()
    assert not domains.returning()


def test_all_domains_unreachable_are_none(domains):
    """A process must not refuse everything because its own link is down."""
    for domain in SERVERS:
        _fail(domains, domain)
    assert not domains.unreachable()
    assert domains.all_failed()
    assert set(domains.own_findings()) == set(SERVERS)
    domains.record_connected(OWN, SERVERS[OWN][0])
    assert domains.unreachable() == {CUT, THIRD}
    assert not domains.all_failed()


def test_domains_that_return_together_are_used_in_full(domains, manual_clock):
    """A part of the servers of each would be overloaded."""
    for domain in SERVERS:
        _fail(domains, domain)
    manual_clock.advance(CUT_TIME)
    domains.record_connected(OWN, SERVERS[OWN][0])
    assert not domains.returning()
    domains.record_connected(CUT, SERVERS[CUT][0])
    domains.record_connected(THIRD, SERVERS[THIRD][0])
    assert not domains.returning()


def test_domain_of_one_server_is_never_unreachable(domains):
    domains.servers_by_domain = lambda: {CUT: ["c:80"], OWN: ["o:80"]}
    for _ in range(10):
        domains.record_not_connected(CUT, "c:80")
    assert not domains.unreachable()


def test_both_servers_of_a_domain_of_two_are_enough(domains):
    domains.servers_by_domain = lambda: {**SERVERS, CUT: ["a:80", "b:80"]}
    domains.record_not_connected(CUT, "a:80")
    assert not domains.unreachable()
    domains.record_not_connected(CUT, "b:80")
    assert domains.unreachable() == {CUT}


def test_report_of_two_peers_is_tested_before_the_domain_is_used(
    domains, manual_clock
):
    domains.merge_report("n2", [CUT])
    assert not domains.unreachable()
    domains.merge_report("n3", [CUT])
    assert domains.unreachable() == {CUT}
    assert domains.own_findings() == []
    probe = domains.due_probe()
    assert probe is not None
    manual_clock.advance(A_MOMENT)
    domains.record_connected(probe.domain, probe.server)
    assert not domains.unreachable()
    # The reports go on: the test counts as long as they do.
    manual_clock.advance(A_MOMENT)
    domains.merge_report("n2", [CUT])
    domains.merge_report("n3", [CUT])
    assert not domains.unreachable()


@pytest.mark.parametrize("withdrawn", [False, True])
def test_reports_end(domains, manual_clock, withdrawn):
    """Reports of a process that is gone must not keep a domain unused."""
    domains.merge_report("n2", [CUT])
    domains.merge_report("n3", [CUT])
    assert domains.unreachable() == {CUT}
    if withdrawn:
        domains.merge_report("n3", [])
    else:
        manual_clock.advance(LONG)
    assert not domains.unreachable()


def test_finding_of_one_process_alone_does_not_break_groups(domains):
    """A fault of one host must not stop all rank groups."""
    _fail(domains)
    assert domains.confirmed_unreachable() == {CUT}
    domains.count_peers_here = lambda: 1
    assert not domains.confirmed_unreachable()
    domains.merge_report("n2", [CUT])
    assert domains.confirmed_unreachable() == {CUT}


def test_unreachable_is_the_same_object_until_it_changes(
    domains, manual_clock
):
    """Selection caches by identity."""
    _fail(domains)
    before = domains.unreachable()
    manual_clock.advance(PROBE_TIME)
    _fail(domains)
    assert domains.unreachable() is before


def test_change_is_announced(domains):
    seen = []
    domains.on_change = lambda: seen.append(domains.unreachable())
    _fail(domains)
    domains.record_connected(CUT, SERVERS[CUT][0])
    assert seen == [{CUT}, frozenset()]


def test_confirmation_by_a_peer_is_announced(domains):
    """The leader for expert maps reports broken groups without delay."""
    seen = []
    domains.count_peers_here = lambda: 1
    _fail(domains)
    domains.on_change = lambda: seen.append(domains.confirmed_unreachable())
    for _ in range(3):
        domains.merge_report("n2", [CUT])
    domains.merge_report("n2", [])
    assert seen == [{CUT}, frozenset()]


def test_report_that_comes_again_after_a_silence_counts(domains, manual_clock):
    domains.merge_report("n2", [CUT])
    domains.merge_report("n3", [CUT])
    manual_clock.advance(LONG)
    assert not domains.unreachable()
    domains.merge_report("n2", [CUT])
    domains.merge_report("n3", [CUT])
    assert domains.unreachable() == {CUT}


def test_domain_without_servers_is_forgotten(domains):
    _fail(domains)
    domains.retain_only([OWN, THIRD])
    assert not domains.unreachable()
    assert domains.own_findings() == []
