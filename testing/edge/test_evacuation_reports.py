# SPDX-License-Identifier: Apache-2.0
"""What one process does with evacuations: choice, heartbeats, operators.

Failure: nothing read the operator's evacuation records, so that servers of
evacuated domains were chosen and counted as capacity.
"""

import asyncio
import datetime
import json

import cbor2
import edge_rig
import msgspec
import pytest

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import evacuation_reports
from lugcross.edge import messages
from lugcross.edge import metrics as metrics_lib
from lugcross import evacuation
from lugcross import http1
from lugcross import ids
from lugcross import platform
from lugcross import positions

SERVICE = ids.ServiceName("app")


def _set_up(
    manual_clock: clock_lib.ManualClock, *domains: str
) -> edge_state_lib.EdgeState:
    """Return the state of a process in ``d1`` with a server per domain."""
    edge_state = edge_state_lib.EdgeState(
        edge_rig.settings(), clock=manual_clock, rng=edge_rig.new_rng()
    )
    records = tuple(
        platform.KeyedRecord(
            positions.Position(number),
            f"i-{number}",
            edge_rig.backend_entry("app", f"10.0.0.{number + 1}:80", domain),
        )
        for number, domain in enumerate(domains)
    )
    edge_state.backends.apply(
        platform.ReadResult(
            end=positions.Position(len(records)), records=records
        ),
        store_was_away=False,
    )
    return edge_state


def _evacuate(
    edge_state: edge_state_lib.EdgeState, offset: int, *domains: str
) -> None:
    """Put the evacuation of just these domains in force."""
    records = [
        evacuation.Record(
            ids.DomainName(one), positions.Position(offset), True
        )
        for one in domains
    ]
    edge_state.evacuations.apply_listing(
        records, positions.Position(offset + 1)
    )


@pytest.mark.parametrize(
    ("evacuated", "servers", "all_evacuated"),
    [
        ((), {"i-0", "i-1", "i-2"}, False),
        (("d0",), {"i-1", "i-2"}, False),
        (("d1",), {"i-0"}, False),
        (("d7",), {"i-0", "i-1", "i-2"}, False),
        (("d0", "d7"), {"i-1", "i-2"}, False),
        (("d0", "d1"), set(), True),
    ],
)
def test_capacity_is_that_of_the_other_domains(
    manual_clock, evacuated, servers, all_evacuated
):
    edge_state = _set_up(manual_clock, "d0", "d1", "d1")
    # Fill the cache of eligible servers with another result first.
    assert edge_state.load_snapshot(SERVICE).servers == 3
    _evacuate(edge_state, 10, *evacuated)
    selection = edge_state.selection
    snapshot = edge_state.load_snapshot(SERVICE)
    assert selection.eligible_servers(SERVICE).keys == servers
    assert (snapshot.servers, snapshot.slots) == (
        len(servers),
        6 * len(servers),
    )
    assert selection.all_evacuated(SERVICE) == all_evacuated
    assert (selection.remaining_backoff(SERVICE) is None) == all_evacuated
    _evacuate(edge_state, 20)
    assert edge_state.load_snapshot(SERVICE).servers == 3


def _ready(edge_state, key):
    del edge_state, key


def _refusing(edge_state, key):
    for _ in range(5):
        edge_state.refusing.record_refusal(key)
    assert key in edge_state.refusing.servers()
    edge_state.selection.probe_allowance(SERVICE).record_request()


def _limited(edge_state, key):
    edge_state.limits.record_response(
        key, platform.RateLimit(stated=True, per_s=5.0)
    )
    assert key in edge_state.limits.servers()


def _slow(edge_state, key):
    edge_state.slow_servers.report("n2", [key])


@pytest.mark.parametrize("state", [_ready, _refusing, _limited, _slow])
def test_no_choice_falls_on_an_evacuated_server(manual_clock, state):
    """Each way to choose a server, for each state of the only server."""
    edge_state = _set_up(manual_clock, "d0")
    (server,) = edge_state.backends.all()
    state(edge_state, server.key)
    # A process saves up the first request to a limited server.
    manual_clock.advance(datetime.timedelta(seconds=1))
    selection = edge_state.selection
    assert selection.choose(SERVICE, ()) is not None
    _evacuate(edge_state, 10, "d0")
    for tried in ((), (desired.BackendKey("i-other"),)):
        assert selection.choose(SERVICE, tried) is None
    assert selection.choose_spare(SERVICE) is None
    assert selection.remaining_limit_wait(SERVICE) is None
    assert selection.is_evacuated(server)
    _evacuate(edge_state, 20)
    assert selection.choose(SERVICE, ()) is not None


def test_list_for_operators_has_each_known_domain(manual_clock):
    edge_state = _set_up(manual_clock, "d0", "d0", "d1")
    changes = []
    edge_state.evacuations.on_change = changes.append
    position = positions.position_of(positions.Era(2), ids.Offset(5))
    for domain, requested in (("d0", True), ("d7", True), ("d1", False)):
        edge_state.evacuations.apply(
            evacuation.Record(ids.DomainName(domain), position, requested)
        )
        position = positions.Position(position + 1)
    listed = json.loads(
        evacuation_reports.to_json(edge_state.evacuations, edge_state.backends)
    )
    assert listed == {
        "evacuations": [
            {
                "domain": domain,
                "evacuated": evacuated,
                "offset": offset,
                "era": 2,
                "servers": servers,
            }
            for domain, evacuated, offset, servers in (
                ("d1", False, 7, 1),
                ("d7", True, 6, 0),
                ("d0", True, 5, 2),
            )
        ]
    }


@pytest.mark.parametrize(
    "entry",
    [
        ["", 1, True],
        ["d" * 101, 1, True],
        ["d0", -1, True],
        ["d0", 2**60, True],
        ["d0", 1.5, True],
        ["d0", 1, 1],
        ["d0", 1],
        [b"d0", 1, True],
        "d0",
    ],
    ids=str,
)
def test_heartbeat_with_an_invalid_evacuation_is_rejected(entry):
    with pytest.raises(msgspec.ValidationError):
        messages.decode_datagram(_datagram([entry]))


def test_heartbeat_with_too_many_evacuations_is_rejected():
    valid = ["d0", 1, True]
    assert messages.decode_datagram(_datagram([valid] * 32))
    with pytest.raises(msgspec.ValidationError):
        messages.decode_datagram(_datagram([valid] * 33))


def test_evacuations_take_one_byte_while_there_are_none():
    """They follow the server limits; older builds end there."""
    heartbeat = messages.Heartbeat(
        "n", "i", "d", 1, False, 1, 1, {}, [], evacuations=[]
    )
    fields = heartbeat.__struct_fields__
    index = fields.index("evacuations")
    assert fields[index - 1] == "server_limits"
    raw = cbor2.loads(messages.encode(heartbeat))
    assert len(cbor2.dumps(raw[index])) == 1
    older = messages.decode_datagram(cbor2.dumps(raw[:index]))
    assert older.evacuations is None
    assert not evacuation_reports.merge(
        evacuation.Evacuations(clock_lib.ManualClock()), older
    )


def _datagram(entries: list[object]) -> bytes:
    heartbeat = messages.Heartbeat("n", "i", "d", 1, False, 1, 1, {}, [])
    raw = cbor2.loads(messages.encode(heartbeat))
    raw[heartbeat.__struct_fields__.index("evacuations")] = entries
    return cbor2.dumps(raw)


def _scrape(path: bytes) -> bytes:
    """Return the body of a response at the metrics address."""
    bodies = []

    class Response:
        async def write_head(self, status, headers, body, *, complete):
            del headers
            assert status == 200 and complete
            bodies.append(body)

    metrics = metrics_lib.EdgeMetrics()
    metrics.set_gauges(edge_evacuated_domains=2)
    req = http1.Request(
        method=b"GET",
        target=path,
        headers=[],
        raw_headers=[],
        body=None,
        received_at=datetime.timedelta(),
    )
    lists = {
        metrics_lib.SUSPECTS_PATH: lambda: b"suspects",
        metrics_lib.EVACUATIONS_PATH: lambda: b"evacuations",
    }
    asyncio.run(metrics_lib.serve(metrics, Response(), req, json_lists=lists))
    (body,) = bodies
    return body


def test_metrics_address_serves_the_gauge_and_the_lists():
    assert b"\nlugcross_edge_evacuated_domains 2.0\n" in _scrape(b"/metrics")
    assert _scrape(b"/suspects") == b"suspects"
    assert _scrape(b"/evacuations?x=1") == b"evacuations"
