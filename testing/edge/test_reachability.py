# SPDX-License-Identifier: Apache-2.0
"""What edge processes do with their findings about unreachable domains.

Requests were sent to servers that could not be reached, or tried at servers
that would refuse them, where an immediate refusal would have been better.
"""

import asyncio
import datetime
import random

import cbor2
import crash_rig
import cut_rig
import edge_rig
import msgspec
import pytest
import virtual_time

from lugcross import desired
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import messages
from lugcross.edge import request_errors
from lugcross import ids
from lugcross import platform
from lugcross import reachability

SETTLED_S = 4.0
#: Servers by service and failure domain.
SERVERS = {
    ("app", "d1"): 4,
    ("app", "d2"): 4,
    ("llm", "d2"): 4,
}
APP = ids.ServiceName("app")
LLM = ids.ServiceName("llm")
TIME_LEFT = datetime.timedelta(seconds=6)
HEARTBEAT = messages.Heartbeat("n", "i", "d", 1, False, 1, 1, {}, [])


@pytest.fixture
def edge_state(manual_clock):
    """Return the state of a process in d1 that knows servers."""
    found = edge_state_lib.EdgeState(
        edge_rig.settings(), clock=manual_clock, rng=edge_rig.new_rng()
    )
    records = []
    for (service, domain), count in SERVERS.items():
        for num in range(count):
            value = edge_rig.backend_entry(
                service, f"10.0.{len(records)}.{num}:80", domain
            )
            key = f"{service}-{domain}-{num}"
            records.append(
                platform.KeyedRecord(ids.Offset(len(records)), key, value)
            )
    found.backends.apply(
        platform.ReadResult(
            end=ids.Offset(len(records)), records=tuple(records)
        ),
        store_was_away=False,
    )
    return found


def _backends(edge_state, service, domain) -> list[desired.Backend]:
    return [
        one
        for one in edge_state.backends.usable(service)
        if one.domain == domain
    ]


def _fail(edge_state, service=APP, domain="d2", count=3) -> None:
    for one in _backends(edge_state, service, domain)[:count]:
        edge_state.reachability.record_not_connected(
            one.domain, one.address, probe=True
        )


def test_servers_of_unreachable_domain_are_no_capacity(edge_state):
    _fail(edge_state)
    eligible = edge_state.selection.eligible_servers(APP)
    assert {one.domain for one in eligible.all} == {"d1"}
    assert edge_state.load_snapshot(APP).servers == SERVERS["app", "d1"]
    # A domain is unreachable for all services.
    assert edge_state.selection.choose(LLM, ()) is None
    assert not edge_state.selection.has_reachable_server(LLM)
    assert edge_state.selection.remaining_backoff(LLM) is None


def test_limited_and_refusing_servers_there_are_not_used_either(edge_state):
    """These are chosen apart from the eligible servers."""
    for one in _backends(edge_state, LLM, "d2"):
        edge_state.limits.record_response(
            one.key, platform.RateLimit(stated=True, per_s=50.0)
        )
    assert edge_state.selection.remaining_limit_wait(LLM) is not None
    _fail(edge_state)
    assert edge_state.selection.choose(LLM, ()) is None
    assert edge_state.selection.choose_spare(LLM) is None
    assert edge_state.selection.remaining_limit_wait(LLM) is None


def test_returning_domain_is_used_if_it_is_all_there_is(
    edge_state, manual_clock
):
    """Nobody may be refused for the sake of a gradual return."""
    _fail(edge_state)
    manual_clock.advance(TIME_LEFT)
    back = _backends(edge_state, LLM, "d2")[0]
    edge_state.reachability.record_connected(back.domain, back.address)
    assert edge_state.reachability.returning()
    assert all(edge_state.selection.choose(LLM, ()) for _ in range(20))
    eligible = edge_state.selection.eligible_servers(APP)
    assert len(eligible) < SERVERS["app", "d1"] + SERVERS["app", "d2"]
    manual_clock.advance(TIME_LEFT)
    eligible = edge_state.selection.eligible_servers(APP)
    assert len(eligible) == SERVERS["app", "d1"] + SERVERS["app", "d2"]


def test_response_shows_that_a_domain_is_reachable(edge_state):
    """Requests on open connections open none."""
    _fail(edge_state, count=2)
    one = _backends(edge_state, APP, "d2")[3]
    head = platform.parse_backend_response_head(200, [])
    edge_state.apply_response_head(one, head)
    _fail(edge_state, count=2)
    assert not edge_state.reachability.unreachable()


def test_domain_whose_servers_are_all_gone_is_forgotten(edge_state):
    _fail(edge_state)
    edge_state.backends.replace(
        platform.ReadResult(end=ids.Offset(100), records=()),
        store_was_away=False,
    )
    edge_state.drop_outdated()
    assert edge_state.reachability.own_findings() == []


def test_callers_of_a_service_that_is_cut_off_come_back_spread():
    """They would all come back in the moment when the group opens."""
    rng = random.Random(1)
    waits = [
        request_errors.cut_off("cut", TIME_LEFT, rng).retry_after
        for _ in range(100)
    ]
    assert min(waits) >= TIME_LEFT * 0.2
    assert max(waits) <= TIME_LEFT / 3
    assert max(waits) - min(waits) > TIME_LEFT * 0.1
    short = request_errors.cut_off("cut", datetime.timedelta(seconds=1), rng)
    assert short.retry_after >= request_errors.MIN_RETRY_AFTER


def test_heartbeat_without_findings_grows_by_one_byte():
    last = HEARTBEAT.__struct_fields__.index("unreachable_domains")
    values = cbor2.loads(messages.encode(HEARTBEAT))
    assert len(cbor2.dumps(values[last])) == 1


def test_heartbeat_of_an_old_build_has_no_findings():
    values = cbor2.loads(messages.encode(HEARTBEAT))
    last = HEARTBEAT.__struct_fields__.index("unreachable_domains")
    old = messages.decode_datagram(cbor2.dumps(values[:last]))
    assert isinstance(old, messages.Heartbeat)
    assert old.unreachable_domains == []


@pytest.mark.parametrize(
    "domains",
    [
        "d1",
        [1],
        ["d" * 201],
        [f"d{num}" for num in range(reachability.MAX_REPORTED_DOMAINS + 1)],
    ],
    ids=["text", "number", "long-name", "too-many"],
)
def test_invalid_findings_are_rejected(domains):
    broken = msgspec.structs.replace(HEARTBEAT, unreachable_domains=domains)
    with pytest.raises(msgspec.ValidationError):
        messages.decode_datagram(messages.encode(broken))


def _run_fleet(monkeypatch, act, seed: int = 1) -> cut_rig.Fleet:
    async def main() -> cut_rig.Fleet:
        random.seed(seed)
        fleet = cut_rig.Fleet(
            monkeypatch, 3, 3, 3, servers=18, seed=seed, attempts=3
        )
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        await act(fleet)
        await fleet.stop()
        return fleet

    return virtual_time.run(main())


def test_process_without_load_learns_from_two_peers(monkeypatch):
    """It would else send its first requests to servers it can't reach."""
    found = {}

    async def act(fleet: cut_rig.Fleet) -> None:
        names = [name for name in fleet.nodes if name.startswith("n0")]
        with fleet.cut(*cut_rig.all_pairs("d2"), timing_out=True):
            for name in names[:2]:
                reach = fleet.nodes[name].edge_state.reachability
                for server in sorted(reach.servers_by_domain()["d2"])[:3]:
                    reach.record_not_connected(ids.DomainName("d2"), server)
            await asyncio.sleep(0.8)
            reach = fleet.nodes[names[2]].edge_state.reachability
            found["in-cut"] = reach.unreachable()
            await asyncio.sleep(2.0)
            found["own"] = reach.own_findings()
        await asyncio.sleep(3.0)
        found["after"] = {
            domain
            for node in fleet.nodes.values()
            for domain in node.edge_state.reachability.unreachable()
        }

    fleet = _run_fleet(monkeypatch, act)
    assert found == {"in-cut": {"d2"}, "own": ["d2"], "after": set()}
    assert not any(one.for_request for one in fleet.connects)


@pytest.mark.parametrize(
    ("count", "gap_s"),
    [(1, 1.5), (2, 3.0)],
    ids=["one", "two-at-once"],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_crashing_servers_make_no_domain_unreachable(
    monkeypatch, seed, count, gap_s
):
    """Others would have to serve the requests of the whole domain.

    A server is down for 3 s, so two or three are down most of the time.
    """
    changes: list[str] = []

    async def act(fleet: cut_rig.Fleet) -> None:
        for name, node in fleet.nodes.items():
            node.edge_state.reachability.on_change = lambda name=name: (
                changes.append(name)
            )
        crashes = asyncio.create_task(fleet.crash_repeatedly(gap_s, count))
        with fleet.under_load(40.0):
            await asyncio.sleep(15.0)
        crashes.cancel()
        await asyncio.sleep(2 * crash_rig.REQUEST_S)

    fleet = _run_fleet(monkeypatch, act, seed)
    assert len(fleet.crashes) > 5
    assert changes == []
