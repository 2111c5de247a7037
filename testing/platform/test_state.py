# SPDX-License-Identifier: Apache-2.0
"""Decoding what the operator and the backend servers write."""

import datetime
import json

import pytest

from lugcross import desired
from lugcross import errors
from lugcross import platform

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


def _read(**changes: object) -> desired.Desired:
    return platform.read_desired(json.dumps(STATE | changes).encode())


def test_longest_prefix_wins():
    state = _read()
    found = state.route("h", "/a/b/c")
    assert found is not None and found.kind is desired.Kind.UNSAFE
    found = state.route("h", "/a/bc")
    assert found is not None and found.kind is desired.Kind.STREAM
    assert state.route("h", "/b/") is None
    assert state.route("other", "/a/") is None


def test_times_shares_keys_and_engine_are_decoded():
    state = _read()
    stream = state.route("h", "/a/")
    split = state.route("h", "/a/b/")
    assert stream is not None and split is not None
    assert stream.timeout == datetime.timedelta(seconds=8)
    assert stream.max_gap == datetime.timedelta(milliseconds=120)
    assert stream.repeatable
    assert [share.weight for share in split.shares] == [90, 10]
    assert state.keys["k2"].name == "t"
    engine = state.services["s1"].engine
    assert engine is not None and (engine.slots, engine.stride) == (6, 6)


def test_stream_that_may_not_resume_is_not_repeatable():
    state = _read(routes=[ROUTE | {"resumable": False}])
    found = state.route("h", "/a/")
    assert found is not None and not found.repeatable


def test_without_workspaces_no_key_is_asked_for():
    raw = {name: one for name, one in STATE.items() if name != "tenants"}
    state = platform.read_desired(json.dumps(raw).encode())
    assert not state.keyed


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b'{"version": "x"}',
        json.dumps(STATE | {"routes": [ROUTE | {"kind": "?"}]}).encode(),
    ],
    ids=["no-json", "wrong-type", "unknown-kind"],
)
def test_what_is_no_desired_state_is_kept_out(data):
    with pytest.raises(errors.ChangeError):
        platform.read_desired(data)


def test_backend_server_is_decoded():
    value = (
        b'{"service":"s","address":"10.1.2.3:80","zone":"z","slots":6,'
        b'"state":"draining","models":[{"name":"m"}]}'
    )
    found = platform.read_backend("i-1", value)
    assert (found.host, found.port, found.domain) == ("10.1.2.3", 80, "z")
    assert found.state is desired.BackendState.LEAVING


@pytest.mark.parametrize(
    "value",
    [b"", b'{"service":"s","address":"nowhere"}', b'{"service":1}'],
    ids=["empty", "no-port", "wrong-type"],
)
def test_what_is_no_backend_server_is_kept_out(value):
    with pytest.raises(errors.ChangeError):
        platform.read_backend("i-1", value)


def test_caller_head_takes_numbers_and_drops_what_is_none():
    head = platform.read_caller_head(
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
    ("status", "headers", "not_run", "load"),
    [
        (503, [(b"not-executed", b"1")], True, None),
        (503, [], False, None),
        (421, [], True, None),
        (200, [(b"server-load", b"3,0,8")], False, platform.Load(3, 0, 8)),
        (200, [(b"server-load", b"x,0")], False, None),
    ],
    ids=["refused", "no-proof", "moved", "load", "bad-load"],
)
def test_answer_head_is_decoded(status, headers, not_run, load):
    head = platform.read_answer_head(status, headers)
    assert (head.not_run, head.load) == (not_run, load)


def test_headers_that_a_connection_names_stay_on_it():
    kept = platform.answer_headers(
        [(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"X-Y", b"2")]
    )
    assert kept == [(b"X-Y", b"2")]
