# SPDX-License-Identifier: Apache-2.0
"""Requests that cannot be served are refused at once with Retry-After."""

import dataclasses
import logging

import edge_rig

from lugcross import desired
from lugcross import ids
from lugcross import urgency

BACKEND_KEYS = [desired.BackendKey("i-0")]


def _count_eligible_servers_calls(rig: edge_rig.Rig) -> list[None]:
    """Return a list that grows with each call of ``eligible_servers``."""
    calls: list[None] = []
    eligible_servers = rig.edge_state.selection.eligible_servers

    def count(service: ids.ServiceName) -> list[desired.Backend]:
        calls.append(None)
        return eligible_servers(service)

    rig.edge_state.selection.eligible_servers = count
    return calls


def test_request_to_a_broken_group_is_refused_at_once(run_with_rig):
    async def act(rig: edge_rig.Rig) -> edge_rig.CallerAnswer:
        rig.edge_state.broken_group_servers.report("peer", BACKEND_KEYS)
        got = await rig.ask()
        assert not rig.backends[0].seen
        return got

    got = run_with_rig(edge_rig.SAFE_ROUTE, [[edge_rig.answer()]], act)
    assert got.status == 503
    # Late, since a group takes seconds to form, but still in time.
    assert 1.0 < float(got.headers[b"retry-after"]) < 5.0 / 3


def test_caller_retry_to_a_broken_group_is_refused_at_once(
    run_with_rig,
):
    async def act(rig: edge_rig.Rig) -> edge_rig.CallerAnswer:
        await rig.ask(time_left=5000)
        rig.edge_state.broken_group_servers.report("peer", BACKEND_KEYS)
        calls = _count_eligible_servers_calls(rig)
        got = await rig.ask(time_left=4000)
        # One for the choice, one for admission, one for the log line.
        assert len(calls) <= 3
        assert len(rig.backends[0].seen) == 1
        return got

    got = run_with_rig(edge_rig.SAFE_ROUTE, [[edge_rig.answer()]], act)
    assert got.status == 503
    assert b"retry-after" in got.headers


def test_caller_retry_to_a_repaired_group_is_served(run_with_rig):
    async def act(rig: edge_rig.Rig) -> edge_rig.CallerAnswer:
        rig.edge_state.broken_group_servers.report("peer", BACKEND_KEYS)
        await rig.ask(time_left=5000)
        rig.edge_state.broken_group_servers.report("peer", [])
        return await rig.ask(time_left=4000)

    got = run_with_rig(edge_rig.SAFE_ROUTE, [[edge_rig.answer()]], act)
    assert (got.status, got.body) == (200, b"whole")


def test_requests_and_their_admission_count_for_the_reserve(run_with_rig):
    """Admission must know what urgent requests ask for, and what they get.

    If the admitted ones were not counted, all of the reserve would be closed
    without overload.
    """
    less_urgent = urgency.Urgency(1, 1)

    async def act(rig: edge_rig.Rig) -> tuple[float, float]:
        overload_shares = rig.edge_state.overload_shares[
            ids.ServiceName("app")
        ]
        before = overload_shares.capacity_fraction(less_urgent, 1.0)
        got = await rig.ask()
        assert got.status == 200
        return before, overload_shares.capacity_fraction(less_urgent, 1.0)

    before, after = run_with_rig(
        edge_rig.SAFE_ROUTE, [[edge_rig.answer()]], act
    )
    assert before == 1.0
    assert 0.9 < after < 1.0


def test_metrics_and_log_lines_show_the_urgency(run_with_rig, caplog):
    """Operators must see whom an overload costs.

    The line of a refusal also says how much was open to the request.
    """

    async def act(rig: edge_rig.Rig) -> str:
        urgent = dataclasses.replace(edge_rig.SAFE_ROUTE, path_prefix="/u/")
        other = dataclasses.replace(edge_rig.SAFE_ROUTE, priority=3)
        rig.adopt(urgent, other, version=2)
        assert (await rig.ask(path=b"/u/x")).status == 200
        rig.edge_state.broken_group_servers.report("peer", BACKEND_KEYS)
        assert (await rig.ask()).status == 503
        return rig.edge_state.metrics.text().decode()

    with caplog.at_level(logging.INFO):
        text = run_with_rig(edge_rig.SAFE_ROUTE, [[edge_rig.answer()]], act)
    requests = 'lugcross_edge_urgency_requests_total{outcome="%s",'
    service = 'service="app",urgency="%d"} 1.0'
    assert requests % "admitted" + service % 0 in text
    assert requests % "refused" + service % 1 in text
    assert (
        'lugcross_edge_urgency_first_byte_seconds_count{service="app",'
        'urgency="0"} 1.0'
    ) in text
    lines = {
        one.getMessage(): vars(one)
        for one in caplog.records
        if one.getMessage() in ("answered", "refused")
    }
    assert lines["answered"]["urgency"] == 0
    assert lines["refused"]["urgency"] == 1
    assert 0.8 < lines["refused"]["open"] < 1.0


def test_service_with_one_urgency_has_no_series_by_urgency(run_with_rig):
    async def act(rig: edge_rig.Rig) -> str:
        assert (await rig.ask()).status == 200
        return rig.edge_state.metrics.text().decode()

    text = run_with_rig(edge_rig.SAFE_ROUTE, [[edge_rig.answer()]], act)
    assert "lugcross_edge_urgency_requests_total{" not in text
    assert "lugcross_edge_urgency_first_byte_seconds_count{" not in text


def test_refused_unrepeatable_request_has_not_run(run_with_rig):
    async def act(rig: edge_rig.Rig) -> edge_rig.CallerAnswer:
        await rig.ask(time_left=5000)
        rig.edge_state.broken_group_servers.report("peer", BACKEND_KEYS)
        got = await rig.ask(time_left=1000)
        assert len(rig.backends[0].seen) == 1
        return got

    got = run_with_rig(edge_rig.UNSAFE_ROUTE, [[edge_rig.answer()]], act)
    assert got.status == 503
    assert b"retry-after" in got.headers
