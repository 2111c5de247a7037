# SPDX-License-Identifier: Apache-2.0
"""Failure domains that are cut off for six seconds under load.

Each process learned of the servers of the domain one by one. A request tried
four of them in turn and was refused, though other domains could serve it.
"""

import asyncio
import collections
import datetime
import random

import crash_rig
import cut_rig
import edge_rig
import msgspec
import pytest
import virtual_time

from lugcross.edge import retry_policy
from lugcross import reachability
from lugcross.reachability import domain_reachability

#: Time until every process has read the store and knows its peers.
SETTLED_S = 4.0
CUT_S = 6.0
#: Time after a cut until its domain is used in full.
RETURN_S = 3.0
#: Rate of requests that takes half of the slots of two domains.
LOAD_PER_S = 50.0
SERVERS = 24
#: Retries of all processes in ten seconds, in addition to a fifth of the
#: requests.
RETRY_SLACK = 90
SEEDS = [1, 2]
#: Time in which all processes find which domain is cut off. Those with little
#: load seldom send to other domains.
FOUND_S = 3.0
#: Time after a cut until a process that has reached nobody serves all.
BACK_S = 0.5
#: Time after a cut in which a surge would show.
FIRST_S = 0.5
LONG = datetime.timedelta(days=1)
#: Callers' attempts at servers of a domain that one process may lose until it
#: leaves the domain out.
MAX_LOST = 12


def _run(
    monkeypatch,
    seed: int,
    *pairs: tuple[str, str],
    timing_out: bool = False,
    faults_only: bool = False,
) -> tuple[cut_rig.Fleet, float, float]:
    """Run nine processes, and cut domains for some time.

    :param faults_only: whether processes go by single servers only, as
        without this part.
    :returns: the fleet, and when the cut began and ended.
    """

    async def main() -> tuple[cut_rig.Fleet, float, float]:
        random.seed(seed)
        fleet = cut_rig.Fleet(
            monkeypatch, 3, 3, 3, servers=SERVERS, seed=seed, attempts=3
        )
        for node in fleet.nodes.values():
            node.edge_state.bounds = msgspec.structs.replace(
                edge_rig.BOUNDS, repeat_slack=RETRY_SLACK
            )
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        loop = asyncio.get_running_loop()
        with fleet.under_load(LOAD_PER_S):
            await asyncio.sleep(2.0)
            begun = loop.time()
            with fleet.cut(*pairs, timing_out=timing_out):
                await asyncio.sleep(CUT_S)
            ended = loop.time()
            await asyncio.sleep(RETURN_S)
        await asyncio.sleep(2 * crash_rig.REQUEST_S)
        await fleet.stop()
        return fleet, begun, ended

    with monkeypatch.context() as patch:
        if faults_only:
            _disable_reachability(patch)
        return virtual_time.run(main())


def _disable_reachability(monkeypatch) -> None:
    obstacle = retry_policy.retry_obstacle
    monkeypatch.setattr(
        retry_policy,
        "retry_obstacle",
        lambda state, *, servers_left=True: obstacle(
            state, servers_left=False
        ),
    )
    monkeypatch.setattr(
        reachability.DomainReachability,
        "record_not_connected",
        lambda *args, **kwargs: None,
    )


def _statuses(fleet: cut_rig.Fleet) -> collections.Counter[int]:
    return collections.Counter(one.status for one in fleet.answers)


def _most_lost(fleet: cut_rig.Fleet, begun: float, ended: float) -> int:
    """Return the most attempts that any process lost in a cut."""
    lost = fleet.lost_connects(begun, ended)
    return max(collections.Counter(one.node for one in lost).values())


def _found_domains(fleet: cut_rig.Fleet) -> set[str]:
    """Return the domains that any process finds unreachable at the end."""
    return {
        domain
        for node in fleet.nodes.values()
        for domain in node.edge_state.reachability.own_findings()
    }


def _requests_from_others(fleet: cut_rig.Fleet, ended: float) -> int:
    """Return the requests of other domains that d2 got just after a cut."""
    return sum(
        fleet.nodes[one.node].domain != "d2"
        for one in fleet.sends_to("d2", ended, ended + FIRST_S)
    )


TIMING_OUT = pytest.mark.parametrize(
    "timing_out", [False, True], ids=["refused", "timing-out"]
)


@TIMING_OUT
@pytest.mark.parametrize("seed", SEEDS)
def test_cut_domain_costs_few_attempts_and_no_refusal(
    monkeypatch, seed, timing_out
):
    """Guards against learning of a cut domain at each caller's cost."""
    cut = cut_rig.all_pairs("d2")
    fleet, begun, ended = _run(monkeypatch, seed, *cut, timing_out=timing_out)
    before, begun_before, ended_before = _run(
        monkeypatch, seed, *cut, timing_out=timing_out, faults_only=True
    )
    lost = len(fleet.lost_connects(begun, ended))
    lost_before = len(before.lost_connects(begun_before, ended_before))
    assert lost <= lost_before / 3
    assert _most_lost(fleet, begun, ended) <= MAX_LOST
    assert set(_statuses(fleet)) == {200}
    assert _statuses(before)[503] > 0
    assert not _found_domains(fleet)


@TIMING_OUT
@pytest.mark.parametrize("seed", SEEDS)
def test_two_domains_cut_from_each_other_serve_by_what_they_reach(
    monkeypatch, seed, timing_out
):
    """Guards against refusals while the third domain reaches both."""
    fleet, begun, ended = _run(
        monkeypatch, seed, ("d0", "d1"), timing_out=timing_out
    )
    assert set(_statuses(fleet)) == {200}
    assert _most_lost(fleet, begun, ended) <= MAX_LOST
    assert all(
        one.made
        for one in fleet.connects
        if "d2" in (one.node_domain, one.server_domain)
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_all_domains_unreachable_are_tried_as_before(monkeypatch, seed):
    """Guards against a process that refuses all requests by its findings."""
    fleet, begun, ended = _run(monkeypatch, seed, *cut_rig.every_pair())
    tried = fleet.lost_connects(begun + FOUND_S, ended)
    # A request that came just before may be tried within the time.
    asked = [
        one for one in fleet.answers if begun + FOUND_S - 0.2 < one.at < ended
    ]
    later = [one for one in fleet.answers if one.at > ended + BACK_S]
    assert 0 < len(tried) <= (retry_policy.MAX_FAILED_CONNECTIONS * len(asked))
    assert later
    assert all(one.status == 200 for one in later)


@pytest.mark.parametrize("seed", SEEDS)
def test_end_of_a_cut_brings_no_surge(monkeypatch, seed):
    """Guards against all processes choosing the idle servers at once."""
    cut = cut_rig.all_pairs("d2")
    fleet, _, ended = _run(monkeypatch, seed, *cut)
    monkeypatch.setattr(
        domain_reachability, "_MIN_TIME_FOR_GRADUAL_RETURN", LONG
    )
    at_once, _, ended_at_once = _run(monkeypatch, seed, *cut)
    surge = _requests_from_others(at_once, ended_at_once)
    assert 0 < surge
    assert _requests_from_others(fleet, ended) <= surge / 2
    assert set(_statuses(fleet)) == {200}
    assert fleet.sends_to("d2", ended + RETURN_S / 2, ended + RETURN_S)
