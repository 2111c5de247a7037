# SPDX-License-Identifier: Apache-2.0
"""Decoding of stored records and of request and response headers."""

import datetime
import json

import edge_rig
from hypothesis import given
from hypothesis import strategies
import pytest

from lugcross import desired
from lugcross import errors
from lugcross import ids
from lugcross import platform
from lugcross import positions

ROUTE = {
    "name": "r1",
    "host": "h",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 8000,
    "latency_target_ms": 400,
    "service": "s1",
    "attempts": 2,
    "priority": 1,
    "resumable": True,
    "gap_target_ms": 120,
}
STATE = {
    "version": 7,
    "routes": [
        ROUTE,
        ROUTE
        | {
            "path_prefix": "/a/b/",
            "kind": "unsafe",
            "split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "s1",
            "health_path": "/health",
            "connection_limit": 418,
            "engine": {"slots": 6, "stride": 6, "step_ms": 4.8, "sets": 6},
        }
    ],
    "limits": {
        "header_bytes": 16384,
        "body_bytes": 4096,
        "header_ms": 3000,
        "idle_ms": 15000,
    },
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
    "unknown": 1,
}


def _decode_changed(**changes: object) -> desired.DesiredState:
    return platform.decode_desired(json.dumps(STATE | changes).encode())


def test_route_with_the_longest_prefix_is_found():
    state = _decode_changed()
    found = state.find_route("h", "/a/b/c")
    assert found is not None and found.kind is desired.RouteKind.UNSAFE
    found = state.find_route("h", "/a/bc")
    assert found is not None and found.kind is desired.RouteKind.STREAM
    assert state.find_route("h", "/b/") is None
    assert state.find_route("other", "/a/") is None


def test_timeouts_weights_api_keys_and_engine_are_decoded():
    state = _decode_changed()
    stream = state.find_route("h", "/a/")
    split = state.find_route("h", "/a/b/")
    assert stream is not None and split is not None
    assert stream.timeout == datetime.timedelta(seconds=8)
    assert stream.max_event_gap == datetime.timedelta(milliseconds=120)
    assert stream.repeatable
    assert [share.weight for share in split.weighted_services] == [90, 10]
    assert state.workspaces_by_key["k2"].name == "t"
    engine = state.services["s1"].engine
    assert engine is not None and (engine.slots, engine.steps_per_pass) == (
        6,
        6,
    )


def test_stream_that_is_not_resumable_is_not_repeatable():
    state = _decode_changed(routes=[ROUTE | {"resumable": False}])
    found = state.find_route("h", "/a/")
    assert found is not None and not found.repeatable


def test_without_workspaces_no_api_key_is_required():
    raw = {name: one for name, one in STATE.items() if name != "tenants"}
    state = platform.decode_desired(json.dumps(raw).encode())
    assert not state.keys_required


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b'{"version": "x"}',
        json.dumps(STATE | {"routes": [ROUTE | {"kind": "?"}]}).encode(),
    ],
    ids=["no-json", "wrong-type", "unknown-kind"],
)
def test_invalid_desired_state_is_refused(data):
    with pytest.raises(errors.ChangeError):
        platform.decode_desired(data)


def test_backend_server_is_decoded():
    value = edge_rig.backend_entry(
        "s", "10.1.2.3:80", "z", state="draining", models=[{"name": "m"}]
    )
    found = platform.decode_backend("i-1", value)
    assert (found.host, found.port, found.domain) == ("10.1.2.3", 80, "z")
    assert found.state is desired.BackendState.LEAVING


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b'{"service":"s","address":"nowhere"}',
        b'{"service":1}',
        b"\xff",
        b"[" * 100_000,
        b'{"more":' * 100_000,
    ],
    ids=["empty", "no-port", "wrong-type", "bytes", "nested", "nested-map"],
)
def test_malformed_entry_is_refused(value):
    with pytest.raises(errors.ChangeError):
        platform.decode_backend("i-1", value)


@pytest.mark.parametrize("born", [None, 0, 1_790_000_000_000])
def test_life_is_identified_by_its_start_time(born):
    value = edge_rig.backend_entry("s", "10.1.2.3:80", born=born)
    found = platform.decode_backend("i-1", value)
    assert (found.id, found.started_at_ms) == ("i-1", born)
    assert (found.key == "i-1") == (born is None)


#: Invalid values of each field of an entry; none leaves the field out.
INVALID_FIELD_VALUES = {
    "service": (None, "", 1),
    "address": (None, "", 1, "10.0.0.1", ":80", "host:80", "10.0.0.1:0")
    + ("10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:x"),
    "zone": (None, "", 1),
    "version": (None, 1),
    "slots": (None, 0, -1, 1.5, "6", True, 10**9, 10**30),
    "state": (None, "zombie", "", 1, "READY"),
    "cold_ms": (None, "0", -1),
    "sequence": (None, "1", -1, 1.5, True),
    "born": (1.5, -1, "1000", True, 10**30, [1000]),
}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        (name, one)
        for name, some in INVALID_FIELD_VALUES.items()
        for one in some
    ],
)
def test_entry_with_an_invalid_field_is_refused(field, value):
    entry = edge_rig.backend_entry("s", "10.1.2.3:80", **{field: value})
    with pytest.raises(errors.ChangeError):
        platform.decode_backend("i-1", entry)


@pytest.mark.parametrize("key", ["", "a b", "a\r\nX: 1", "\u00e9", "\ufffd"])
def test_id_that_cannot_be_sent_in_a_header_is_refused(key):
    with pytest.raises(errors.ChangeError):
        platform.decode_backend(
            key, edge_rig.backend_entry("s", "10.1.2.3:80")
        )


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=3
        )
    ),
    max_leaves=5,
)
ENTRY = json.loads(edge_rig.backend_entry("s", "10.1.2.3:80", born=1000))


@given(
    changes=strategies.dictionaries(
        strategies.sampled_from(sorted(ENTRY)), JSON_VALUES, max_size=4
    )
)
def test_any_entry_is_decoded_to_valid_values_or_refused(changes):
    try:
        found = platform.decode_backend("i-1", json.dumps(ENTRY | changes))
    except errors.ChangeError:
        return
    assert found.slots >= 1 and 0 < found.port < 65_536
    assert found.service and found.domain and found.started_at_ms != -1


@given(data=strategies.binary(max_size=60))
def test_random_bytes_are_refused(data):
    with pytest.raises(errors.ChangeError):
        platform.decode_backend("i-1", data)


@given(
    changes=strategies.dictionaries(
        strategies.sampled_from(sorted(STATE)), JSON_VALUES, max_size=3
    ),
    route=strategies.dictionaries(
        strategies.sampled_from(sorted(ROUTE)), JSON_VALUES, max_size=3
    ),
)
def test_any_desired_state_is_decoded_or_refused(changes, route):
    state = STATE | {"routes": [ROUTE | route]} | changes
    try:
        found = platform.decode_desired(json.dumps(state).encode())
    except errors.ChangeError:
        return
    assert isinstance(found, desired.DesiredState)


def test_caller_request_head_is_decoded_and_drops_invalid_numbers():
    head = platform.parse_caller_request_head(
        [
            (b"attempt-identifier", b"a1"),
            (b"time-remaining", b"8050"),
            (b"token-counts", b"1460,80"),
            (b"length-hint", b"-3"),
        ]
    )
    assert head.attempt_id == "a1"
    assert head.time_left == datetime.timedelta(milliseconds=8050)
    assert (head.prompt_tokens, head.max_tokens) == (1460, 80)
    assert head.expected_tokens == 0


@pytest.mark.parametrize(
    ("status", "headers", "not_executed", "load"),
    [
        (503, [(b"not-executed", b"1")], True, None),
        (503, [], False, None),
        (421, [], True, None),
        (
            200,
            [(b"server-load", b"3,0,8")],
            False,
            platform.ServerLoad(3, 0, 8),
        ),
        (200, [(b"server-load", b"x,0")], False, None),
    ],
    ids=["not-executed", "unavailable", "wrong-instance", "load", "bad-load"],
)
def test_backend_response_head_is_decoded(status, headers, not_executed, load):
    head = platform.parse_backend_response_head(status, headers)
    assert (head.not_executed, head.load) == (not_executed, load)


def test_headers_that_connection_names_are_not_forwarded():
    kept = platform.headers_to_caller(
        [(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"X-Y", b"2")]
    )
    assert kept == [(b"X-Y", b"2")]


def _operator_record(key: str, value: bytes) -> platform.KeyedRecord:
    position = positions.position_of(positions.Era(2), ids.Offset(5))
    return platform.KeyedRecord(position, key, value)


@pytest.mark.parametrize(
    ("value", "requested"),
    [(b"{}", True), (b'{"note": "x"}', True), (b"", False)],
    ids=["empty-object", "further-field", "no-value"],
)
def test_evacuation_is_decoded(value, requested):
    found = platform.decode_evacuation(_operator_record("evacuate/d/1", value))
    assert found is not None
    assert found.domain == "d/1"
    assert found.requested == requested
    assert positions.era(found.position) == 2
    assert positions.offset(found.position) == 5


@pytest.mark.parametrize("key", ["config", "evacuate", "evacuated/d1", ""])
def test_other_keys_are_no_evacuation(key):
    assert platform.decode_evacuation(_operator_record(key, b"{}")) is None
    assert platform.evacuation_domain(key) is None


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("evacuate/", b"{}"),
        ("evacuate/" + "d" * 101, b"{}"),
        ("evacuate/d\n1", b"{}"),
        ("evacuate/d1", b"{"),
        ("evacuate/d1", b"[]"),
        ("evacuate/d1", b"null"),
        ("evacuate/d1", b"\xff"),
        ("evacuate/d1", b"[" * 100_000),
    ],
    ids=[
        "no-name",
        "long-name",
        "line-end",
        "no-json",
        "list",
        "null",
        "bytes",
        "nested",
    ],
)
def test_malformed_evacuation_is_refused(key, value):
    with pytest.raises(errors.ChangeError):
        platform.decode_evacuation(_operator_record(key, value))
