# SPDX-License-Identifier: Apache-2.0
"""Shares of workspaces in a full service."""

import dataclasses
import datetime

import edge_rig
from hypothesis import given
from hypothesis import strategies as st
import pytest
import share_accuracy
import share_simulator

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import metrics
from lugcross.edge import settings as settings_lib
from lugcross.edge import workspace_usage
from lugcross import ids
from lugcross import shares
from lugcross import urgency

SERVICE = ids.ServiceName("s")
SPACE_A, SPACE_B = ids.WorkspaceName("a"), ids.WorkspaceName("b")

SURGE = share_accuracy.SURGE
OTHERS = share_accuracy.OTHERS
RATES = share_accuracy.RATES


def _run_fleet(
    load: share_simulator.LoadProfile,
    processes: int,
    news: share_simulator.GossipTiming,
    **kwargs,
) -> share_simulator.Fleet:
    fleet = share_simulator.Fleet(
        load, processes=processes, servers=16, gossip=news, **kwargs
    )
    return fleet.run(12.0)


#: Heartbeats at short and long intervals, and the fraction of the others'
#: requests that must be served. Between late heartbeats thirty processes
#: admit more than a workspace's share, and admission is not revoked.
NEWS = {
    "50-ms": (share_simulator.GossipTiming(), 0.95),
    "500-ms": (share_simulator.GossipTiming(interval_s=0.5, delay_s=0.1), 0.9),
}


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("news", "min_served"), NEWS.values(), ids=NEWS)
@pytest.mark.parametrize("processes", [7, 30])
def test_surge_of_one_workspace_does_not_starve_the_others(
    processes: int,
    news: share_simulator.GossipTiming,
    min_served: float,
    seed: int,
):
    """A surge of one workspace must not starve the others.

    Symptom: while one workspace sent 7.5 times its usual load for 8 s, up to
    half of the requests of all workspaces were refused. Cause: admission
    ignored workspaces, so the one with the most requests took each slot that
    became free. With this load and no shares, 0.49 of the others' requests
    are served.
    """
    fleet = _run_fleet(SURGE, processes, news, seed=seed)
    assert fleet.served_ratio(OTHERS, 4, 12) > min_served
    # The surging workspace gets the remaining capacity.
    hot = fleet.served_ratio({"w0"}, 4, 12)
    assert 0.15 < hot < 0.9
    assert fleet.max_running < share_simulator.SLOTS * 16


@pytest.mark.parametrize("seed", range(2))
def test_surge_starves_the_others_without_shares(seed: int):
    fleet = _run_fleet(
        SURGE, 7, share_simulator.GossipTiming(), seed=seed, by_workspace=False
    )
    assert fleet.served_ratio(OTHERS, 4, 12) < 0.6


def test_process_without_heartbeats_applies_its_own_counts():
    """A process that is cut off still limits by its own counts."""
    fleet = _run_fleet(
        SURGE, 1, share_simulator.GossipTiming(interval_s=0.0), seed=1
    )
    assert fleet.served_ratio(OTHERS, 4, 12) > 0.95


@pytest.mark.parametrize("seed", range(2))
def test_normal_load_of_a_large_workspace_is_not_limited(seed: int):
    fleet = _run_fleet(
        share_simulator.LoadProfile(rates=RATES),
        7,
        share_simulator.GossipTiming(),
        seed=seed,
    )
    assert fleet.served_ratio({"w0"}, 0, 12) > 0.98


def test_two_greedy_workspaces_get_equal_shares():
    load = share_simulator.LoadProfile(
        rates={"w0": 60.0, "w1": 25.0, "w2": 1.0}
    )
    fleet = _run_fleet(load, 7, share_simulator.GossipTiming(), seed=1)
    served = {
        name: sum(fleet.served[name, second] for second in range(4, 12))
        for name in load.rates
    }
    assert 0.8 < served["w0"] / served["w1"] < 1.25
    assert fleet.served_ratio({"w2"}, 4, 12) > 0.95


@given(
    st.integers(0, 60),
    st.floats(0.0, 64.0),
    st.floats(0.5, 4.0),
)
def test_lower_use_is_never_refused_where_higher_is_admitted(
    use, free_places, weight
):
    workspace_quota = shares.WorkspaceQuota(in_progress=use, weight=weight)
    less = shares.WorkspaceQuota(in_progress=max(0, use - 1), weight=weight)
    assert less.may_take_slot(
        free_places
    ) or not workspace_quota.may_take_slot(free_places)


@given(
    st.lists(st.floats(0.1, 10.0), min_size=1, max_size=40),
    st.floats(1.0, 500.0),
)
def test_fair_shares_add_up_to_the_capacity(weights, places):
    parts = [
        shares.WorkspaceQuota(
            in_progress=0, weight=one, total_weight=sum(weights)
        ).fair_share(places)
        for one in weights
    ]
    assert sum(parts) == pytest.approx(places)


def _workspace_usage(**weights: float) -> workspace_usage.WorkspaceUsage:
    found = workspace_usage.WorkspaceUsage(clock_lib.ManualClock())
    found.set_known_workspaces([SERVICE], [SPACE_A, SPACE_B])
    found.weights = weights
    return found


def test_requests_at_peers_count_for_the_workspace():
    here, there = _workspace_usage(), _workspace_usage()
    there.request_started(SERVICE, SPACE_A)
    there.request_started(SERVICE, SPACE_A)
    here.apply_peer_counts("n2", there.own_counts())
    here.request_started(SERVICE, SPACE_B)
    assert here.quota_of(SERVICE, SPACE_A).in_progress == 2
    assert here.quota_of(SERVICE, SPACE_A).total_weight == 2.0
    here.apply_peer_counts("n2", {})
    assert here.quota_of(SERVICE, SPACE_A).in_progress == 0


def test_fair_share_follows_weights():
    found = _workspace_usage(a=3.0)
    found.request_started(SERVICE, SPACE_B)
    assert found.quota_of(SERVICE, SPACE_A).fair_share(40.0) == 30.0
    assert found.quota_of(SERVICE, SPACE_B).fair_share(40.0) == 40.0


@pytest.mark.parametrize("weight", [0.0, -1.0, float("inf")], ids=str)
def test_invalid_weight_is_rejected(weight: float):
    with pytest.raises(ValueError, match="'a'"):
        settings_lib.Shares(weights={"a": weight})


def test_only_the_heaviest_workspaces_are_sent():
    found = workspace_usage.WorkspaceUsage(clock_lib.ManualClock())
    for num in range(40):
        for _ in range(1 + num):
            found.request_started(SERVICE, ids.WorkspaceName(f"w{num}"))
    sent = found.own_counts()
    assert len(sent) == 32
    assert min(sent.values()) == 9


def test_unknown_usage_hash_is_ignored():
    found = _workspace_usage()
    found.apply_peer_counts("n2", {12345: 9})
    assert found.quota_of(SERVICE, SPACE_A).in_progress == 0


def _admission_request(**fields) -> admission.AdmissionRequest:
    return admission.AdmissionRequest(**fields)


def _load_snapshot(requests: int) -> admission.LoadSnapshot:
    return admission.LoadSnapshot(
        servers=16,
        slots=96,
        requests=requests,
        least_busy_requests=requests // 16,
        unreported_requests=0.0,
    )


def test_workspace_below_its_share_is_admitted_up_to_the_slots():
    below = shares.WorkspaceQuota(in_progress=1, total_weight=10.0)
    over = shares.WorkspaceQuota(in_progress=40, total_weight=10.0)
    full = _load_snapshot(64)
    assert (
        admission.refusal_reason(
            full, 4.0, _admission_request(workspace_quota=below)
        )
        is None
    )
    assert admission.refusal_reason(
        full, 4.0, _admission_request(workspace_quota=over)
    )
    slots_taken = _load_snapshot(96)
    assert admission.refusal_reason(
        slots_taken, 4.0, _admission_request(workspace_quota=below)
    )


def test_refusal_reason_tells_a_surge_from_a_full_service():
    over = shares.WorkspaceQuota(in_progress=40, total_weight=10.0)
    assert "exceeds its fair share" in (
        admission.refusal_reason(
            _load_snapshot(62), 4.0, _admission_request(workspace_quota=over)
        )
        or ""
    )
    assert "every backend" in (
        admission.refusal_reason(
            _load_snapshot(64), 4.0, _admission_request(workspace_quota=over)
        )
        or ""
    )


def test_less_urgent_requests_are_refused_first():
    nearly = _load_snapshot(61)
    asked = []

    def most_is_open(load: float) -> float:
        asked.append(load)
        return 0.95

    assert admission.refusal_reason(nearly, 4.0, _admission_request()) is None
    assert admission.refusal_reason(
        nearly, 4.0, _admission_request(capacity_fraction=most_is_open)
    )
    assert asked == [61 / 64]
    # Half of the slots stay open to every urgency.
    assert (
        admission.refusal_reason(
            _load_snapshot(47),
            3.0,
            _admission_request(capacity_fraction=lambda load: 0.1),
        )
        is None
    )


def test_share_of_a_workspace_is_smaller_for_less_urgent_requests():
    """The share of a workspace must leave room for its urgent requests.

    Symptom: workspaces within their shares were admitted to each free slot,
    so that urgencies made no difference where all workspaces send alike.
    """
    quota = shares.WorkspaceQuota(in_progress=15, total_weight=4.0)
    full = _load_snapshot(64)
    urgent = _admission_request(workspace_quota=quota)
    other = _admission_request(
        workspace_quota=quota, capacity_fraction=lambda load: 0.9
    )
    assert admission.refusal_reason(full, 4.0, urgent) is None
    assert admission.refusal_reason(full, 4.0, other)


def _state(*priorities: int) -> desired.DesiredState:
    routes = tuple(
        desired.Route(
            name=f"r{num}",
            host="h",
            path_prefix=f"/{num}/",
            kind=desired.RouteKind.SAFE,
            weighted_services=(desired.WeightedService(SERVICE, 1.0),),
            timeout=datetime.timedelta(seconds=1),
            latency_target=datetime.timedelta(seconds=1),
            priority=priority,
        )
        for num, priority in enumerate(priorities)
    )
    return desired.DesiredState(
        version=1,
        routes={"h": routes},
        services={},
        limits=edge_rig.LIMITS,
        workspaces_by_key={},
        keys_required=False,
    )


@pytest.mark.parametrize(
    ("priority", "expected"), [(1, 0), (2, 1), (5, 2), (9, 3), (0, 0)], ids=str
)
def test_more_urgent_requests_of_a_service_are_counted(priority, expected):
    own = urgency.Urgency(priority, priority)
    in_use = _state(1, 2, 2, 5).urgencies(SERVICE)
    assert urgency.count_more_urgent(own, in_use) == expected
    assert _state(1).urgencies(ids.ServiceName("other")) == ()


@pytest.mark.parametrize("workspace_priority", [None, 4], ids=str)
def test_routes_differ_in_admission_whatever_the_workspaces_priority(
    workspace_priority: int | None,
):
    """A priority of the workspace must not hide that of the route.

    Symptom: all workspaces had the same priority, and requests of the most
    urgent route were refused as often as those of the least urgent one.
    """
    space = desired.Workspace(name=SPACE_A, priority=workspace_priority)
    state = dataclasses.replace(
        _state(0, 1, 2), workspaces_by_key={"k": space}, keys_required=True
    )
    edge_state = edge_state_lib.EdgeState(
        edge_rig.settings(),
        clock=clock_lib.ManualClock(),
        rng=edge_rig.new_rng(),
    )
    edge_state.adopt(state, b"")
    found = []
    for route in state.routes["h"]:
        edge_state.overload_shares[SERVICE].record_arrival(
            desired.request_urgency(route, space)
        )
        request = edge_state.admission_request(route, SERVICE, space)
        found.append(request.capacity_fraction(1.0))
    assert found[0] == 1.0
    assert found[0] > found[1] > found[2]


def test_urgencies_of_public_routes_have_no_workspace():
    space = desired.Workspace(name=SPACE_A, priority=4)
    private, public = _state(1, 2).routes["h"]
    state = dataclasses.replace(
        _state(),
        routes={"h": (private, dataclasses.replace(public, public=True))},
        workspaces_by_key={"k": space},
        keys_required=True,
    )
    assert state.urgencies(SERVICE) == ((2, 2), (4, 1))


def test_metrics_name_only_the_heaviest_workspaces():
    found = metrics.EdgeMetrics()
    counts = {ids.WorkspaceName(f"w{num}"): 1 + num for num in range(25)}
    found.set_workspace_running({SERVICE: counts})
    for num in range(25):
        found.count_workspace_refused("s", f"w{num}")
    text = found.text().decode()
    running = [
        line
        for line in text.splitlines()
        if line.startswith("lugcross_workspace_running{")
    ]
    assert len(running) == 21
    assert 'workspace="w24"} 25.0' in text
    assert 'running{service="s",workspace="(others)"} 15.0' in text
    assert 'refused_total{service="s",workspace="(others)"} 5.0' in text
