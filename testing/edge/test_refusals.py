# SPDX-License-Identifier: Apache-2.0
"""Who gets no place is told at once when to come back."""

import edge_rig

from lugcross import desired
from lugcross import ids

BACKEND_KEYS = [desired.BackendKey("i-0")]


def _count_eligible_servers_calls(rig: edge_rig.Rig) -> list[None]:
    """Return a list that grows with each look for a place."""
    calls: list[None] = []
    eligible_servers = rig.edge_state.eligible_servers

    def count(service: ids.ServiceName) -> list[desired.Backend]:
        calls.append(None)
        return eligible_servers(service)

    rig.edge_state.eligible_servers = count
    return calls


def test_first_request_of_a_broken_group_is_refused_at_once(run_with_rig):
    async def act(rig: edge_rig.Rig) -> edge_rig.CallerAnswer:
        rig.edge_state.broken_group_servers.report("peer", BACKEND_KEYS)
        got = await rig.ask()
        assert not rig.backends[0].seen
        return got

    got = run_with_rig(edge_rig.SAFE_ROUTE, [[edge_rig.answer()]], act)
    assert got.status == 503
    # As late as leaves time for an answer: a group takes seconds to form.
    assert 1.0 < float(got.headers[b"retry-after"]) < 5.0 / 3


def test_request_that_comes_back_to_a_broken_group_is_refused_at_once(
    run_with_rig,
):
    async def act(rig: edge_rig.Rig) -> edge_rig.CallerAnswer:
        await rig.ask(time_left=5000)
        rig.edge_state.broken_group_servers.report("peer", BACKEND_KEYS)
        calls = _count_eligible_servers_calls(rig)
        got = await rig.ask(time_left=4000)
        # One choice, one snapshot for the verdict, one for the log line.
        assert len(calls) <= 3
        assert len(rig.backends[0].seen) == 1
        return got

    got = run_with_rig(edge_rig.SAFE_ROUTE, [[edge_rig.answer()]], act)
    assert got.status == 503
    assert b"retry-after" in got.headers


def test_request_that_comes_back_to_an_open_group_is_served(run_with_rig):
    async def act(rig: edge_rig.Rig) -> edge_rig.CallerAnswer:
        rig.edge_state.broken_group_servers.report("peer", BACKEND_KEYS)
        await rig.ask(time_left=5000)
        rig.edge_state.broken_group_servers.report("peer", [])
        return await rig.ask(time_left=4000)

    got = run_with_rig(edge_rig.SAFE_ROUTE, [[edge_rig.answer()]], act)
    assert (got.status, got.body) == (200, b"whole")


def test_refused_request_that_may_not_be_repeated_has_not_run(run_with_rig):
    async def act(rig: edge_rig.Rig) -> edge_rig.CallerAnswer:
        await rig.ask(time_left=5000)
        rig.edge_state.broken_group_servers.report("peer", BACKEND_KEYS)
        got = await rig.ask(time_left=1000)
        assert len(rig.backends[0].seen) == 1
        return got

    got = run_with_rig(edge_rig.UNSAFE_ROUTE, [[edge_rig.answer()]], act)
    assert got.status == 503
    assert b"retry-after" in got.headers
